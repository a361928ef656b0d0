#include "peerfetch_p.h"

#include <magnoliaspread/answerreader.h>
#include <magnoliaspread/confsync.h>
#include <magnoliaspread/silence.h>
#include <magnoliaspread/traffic.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <charconv>

namespace magnoliaspread {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

constexpr const char *SentField = "X-Fleet-Sent-Ms";
constexpr const char *SignatureField = "X-Fleet-Signature";
constexpr auto Awaited = asio::as_tuple(asio::use_awaitable);
constexpr std::uint64_t MaxTableBytes = 4u << 20;

/// The fields of a fetch that the signature covers.
forwarded_head fetchHead(std::string_view Path, milliseconds SentAt) {
  forwarded_head Head;
  Head.Method = "GET";
  Head.Target = Path;
  Head.SentAtMs = SentAt.count();
  return Head;
}

http::request<http::empty_body> fetchRequest(const clock &Clock,
                                             const fleet_secret &Secret,
                                             std::string_view Path) {
  const forwarded_head Head = fetchHead(
      Path, duration_cast<milliseconds>(Clock.wall().time_since_epoch()));
  http::request<http::empty_body> Request(http::verb::get, Path, 11);
  Request.set(http::field::host, "peer");
  Request.set("X-Deadline-Ms", "0");
  Request.set(SentField, std::to_string(Head.SentAtMs));
  Request.set(SignatureField, signForwarded(Secret, Head));
  Request.keep_alive(false);
  return Request;
}

error unreachable(const boost::system::error_code &Failure) {
  return {error_kind::PeerUnreachable, Failure.message(), {}};
}

asio::awaitable<result<std::string>>
fetch(asio::io_context &Context, http::request<http::empty_body> Request,
      endpoint_address Peer) {
  beast::tcp_stream Stream(Context);
  Stream.expires_after(FetchTimeout);
  boost::system::error_code Failure;
  const auto Address = asio::ip::make_address(Peer.Address, Failure);
  if (Failure)
    co_return unreachable(Failure);
  std::tie(Failure) =
      co_await Stream.async_connect(tcp::endpoint(Address, Peer.Port), Awaited);
  if (Failure)
    co_return unreachable(Failure);
  limitSilence(Stream.socket().native_handle(), connection_kind::Peer);
  auto [WriteFailure, Written] =
      co_await http::async_write(Stream, Request, Awaited);
  if (WriteFailure)
    co_return unreachable(WriteFailure);
  beast::flat_buffer Buffer;
  read_answer Answer =
      co_await readAnswer(Stream, Buffer, http::verb::get, MaxTableBytes);
  if (Answer.Failure)
    co_return unreachable(Answer.Failure);
  if (Answer.Message.result() != http::status::ok)
    co_return error{error_kind::PeerRejected, Answer.Message.body(), {}};
  co_return std::move(Answer.Message.body());
}

} // namespace

status verifyFetch(const http::request_header<> &Head, std::string_view Path,
                   const fleet_secret &Secret, wall_time Now) {
  const std::string_view Text = Head[SentField];
  std::int64_t SentAt = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), SentAt);
  return verifyForwarded(Secret, fetchHead(Path, milliseconds(SentAt)),
                         Head[SignatureField], Now);
}

void fetchFromPeer(asio::io_context &Context, const clock &Clock,
                   const fleet_secret &Secret, const endpoint_address &Peer,
                   std::string_view Path,
                   std::function<void(result<std::string>)> Done) {
  asio::co_spawn(Context,
                 fetch(Context, fetchRequest(Clock, Secret, Path), Peer),
                 [Done = std::move(Done)](const std::exception_ptr &Thrown,
                                          result<std::string> Fetched) {
                   if (Thrown)
                     Fetched = error{error_kind::PeerUnreachable,
                                     "exception during the fetch",
                                     {}};
                   Done(std::move(Fetched));
                 });
}

} // namespace magnoliaspread
