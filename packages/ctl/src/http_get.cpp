#include "http_get_p.h"

#include <magnoliaspread/answerreader.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace magnoliaspread {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr auto Awaited = asio::as_tuple(asio::use_awaitable);
constexpr std::uint64_t MaxBodyBytes = 64u << 20;
constexpr unsigned HttpVersion = 11;
/// Concurrent requests.
constexpr std::size_t MaxConcurrent = 64;

struct get_batch {
  const std::vector<endpoint_address> &Addresses;
  const std::string &Target;
  std::chrono::milliseconds Timeout;
  std::vector<result<std::string>> Results;
  std::size_t Next = 0;
};

error unreachable(const boost::system::error_code &Failure) {
  return {error_kind::PeerUnreachable, Failure.message(), {}};
}

result<std::string> bodyOf(const http::response<http::string_body> &Response) {
  if (Response.result() == http::status::ok)
    return Response.body();
  std::string Detail = "status " + std::to_string(Response.result_int());
  return error{error_kind::PeerRejected, Detail + ": " + Response.body(), {}};
}

asio::awaitable<result<std::string>> get(const get_batch &Batch,
                                         const endpoint_address &Address) {
  boost::system::error_code Failure;
  auto Host = asio::ip::make_address(Address.Address, Failure);
  if (Failure)
    co_return unreachable(Failure);
  beast::tcp_stream Stream(co_await asio::this_coro::executor);
  Stream.expires_after(Batch.Timeout);
  auto [ConnectFailure] =
      co_await Stream.async_connect(tcp::endpoint(Host, Address.Port), Awaited);
  if (ConnectFailure)
    co_return unreachable(ConnectFailure);
  http::request<http::empty_body> Request(http::verb::get, Batch.Target,
                                          HttpVersion);
  Request.set(http::field::host, Address.Address);
  Request.keep_alive(false);
  auto [WriteFailure, Written] =
      co_await http::async_write(Stream, Request, Awaited);
  if (WriteFailure)
    co_return unreachable(WriteFailure);
  beast::flat_buffer Buffer;
  const read_answer Answer =
      co_await readAnswer(Stream, Buffer, http::verb::get, MaxBodyBytes);
  if (Answer.Failure)
    co_return unreachable(Answer.Failure);
  co_return bodyOf(Answer.Message);
}

asio::awaitable<void> runWorker(get_batch &Batch) {
  while (Batch.Next < Batch.Addresses.size()) {
    std::size_t Index = Batch.Next++;
    Batch.Results[Index] = co_await get(Batch, Batch.Addresses[Index]);
  }
}

} // namespace

std::vector<result<std::string>>
httpGetAll(const std::vector<endpoint_address> &Addresses,
           const std::string &Target, std::chrono::milliseconds Timeout) {
  get_batch Batch{Addresses, Target, Timeout, {}, 0};
  Batch.Results.resize(Addresses.size(), error{});
  asio::io_context Io{1};
  for (std::size_t I = 0; I < std::min(MaxConcurrent, Addresses.size()); ++I)
    asio::co_spawn(Io, runWorker(Batch), asio::detached);
  Io.run();
  return std::move(Batch.Results);
}

} // namespace magnoliaspread
