#include "http_exchange_p.h"

#include <magnoliaspread/log.h>
#include <magnoliaspread/silence.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>
#include <utility>

namespace magnoliaspread {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

using asio::awaitable;
using asio::redirect_error;
using asio::use_awaitable;
using boost::system::error_code;

namespace {

/// Bytes; a list contains many values.
constexpr std::uint64_t MaxAnswerBytes = 64u << 20;

/// HTTP status codes from here on are server errors.
constexpr unsigned FirstServerError = 500;
constexpr unsigned TooManyRequests = 429;

constexpr int Http11 = 11;

bool isServerError(unsigned Status) {
  return Status >= FirstServerError || Status == TooManyRequests;
}

/// False when there is anything to read, end of stream included: an idle
/// connection can then not be reused.
bool hasNothingToRead(asio::ip::tcp::socket &Socket) {
  error_code Error;
  Socket.non_blocking(true, Error);
  char Byte = 0;
  Socket.receive(asio::buffer(&Byte, 1), asio::ip::tcp::socket::message_peek,
                 Error);
  return Error == asio::error::would_block;
}

/// Parses milliseconds since the Unix epoch.
std::optional<wall_time> parseTime(beast::string_view Text) {
  std::int64_t Milliseconds = 0;
  const char *End = Text.data() + Text.size();
  const auto [Last, Error] = std::from_chars(Text.data(), End, Milliseconds);
  if (Error != std::errc() || Last != End)
    return std::nullopt;
  return wall_time(std::chrono::milliseconds(Milliseconds));
}

} // namespace

http_exchange::http_exchange(asio::io_context &Io,
                             const http_store_settings &Settings,
                             const clock &Clock, std::uint64_t Seed)
    : Io(Io), Settings(Settings), Clock(Clock),
      Pacer(Settings.Pace, Clock.now(), Seed) {}

void http_exchange::stop() {
  Stopped = true;
  for (asio::steady_timer &Sleeper : Sleepers)
    Sleeper.cancel();
  for (auto &[Id, Connection] : Connections)
    Connection.Stream.cancel();
  closeIdle();
}

std::optional<wall_time> http_exchange::serverTimeAtLeast() const {
  if (!ServerTime)
    return std::nullopt;
  const auto Elapsed = Clock.now() - ServerTime->ReceivedAt;
  return ServerTime->Time +
         std::chrono::duration_cast<wall_time::duration>(Elapsed);
}

awaitable<void> http_exchange::sleepUntil(steady_time Until) {
  const auto Sleeper = Sleepers.emplace(Sleepers.end(), Io);
  Sleeper->expires_after(Until - Clock.now());
  error_code Ignored;
  co_await Sleeper->async_wait(redirect_error(use_awaitable, Ignored));
  Sleepers.erase(Sleeper);
}

awaitable<bool> http_exchange::waitForPermit(steady_time Deadline) {
  while (!Stopped && !Pacer.tryAcquire(Clock.now())) {
    const steady_time Next = Pacer.nextPermitAt(Clock.now());
    if (Next >= Deadline)
      co_return false;
    co_await sleepUntil(Next);
  }
  co_return !Stopped;
}

void http_exchange::dropStaleIdle() {
  const steady_time OldestUse = Clock.now() - Settings.MaxIdle;
  for (auto Row = Connections.begin(); Row != Connections.end();) {
    connection &Connection = Row->second;
    const bool IsStale =
        Connection.Idle && (Connection.LastUsed < OldestUse ||
                            !hasNothingToRead(Connection.Stream.socket()));
    Row = IsStale ? Connections.erase(Row) : std::next(Row);
  }
}

http_exchange::connection_id http_exchange::reuseIdle() {
  dropStaleIdle();
  for (auto &[Id, Connection] : Connections) {
    if (!Connection.Idle)
      continue;
    Connection.Idle = false;
    Connection.Reused = true;
    return Id;
  }
  return 0;
}

void http_exchange::closeIdle() {
  std::erase_if(Connections, [](const auto &Row) { return Row.second.Idle; });
}

void http_exchange::release(connection_id Id, bool KeepAlive) {
  connection &Connection = Connections.at(Id);
  Connection.Idle = KeepAlive && !Stopped;
  Connection.LastUsed = Clock.now();
  if (!Connection.Idle)
    Connections.erase(Id);
}

awaitable<http_exchange::connection_id> http_exchange::openConnection() {
  const connection_id Id = ++LastConnection;
  connection &Connection = Connections.try_emplace(Id, Io).first->second;
  ++Counters.ConnectionsOpened;
  error_code Error;
  const asio::ip::tcp::endpoint Endpoint(
      asio::ip::make_address(Settings.Platform.Address, Error),
      Settings.Platform.Port);
  Connection.Stream.expires_after(Settings.CallTimeout);
  co_await Connection.Stream.async_connect(
      Endpoint, redirect_error(use_awaitable, Error));
  if (!Error)
    limitSilence(Connection.Stream.socket().native_handle(),
                 connection_kind::Store);
  if (!Error && !Stopped)
    co_return Id;
  Connections.erase(Id);
  co_return 0;
}

http_exchange::http_request http_exchange::makeRequest(store_call &Call) const {
  http_request Message(Call.Method, Call.Path, Http11);
  Message.set(http::field::host, Settings.Platform.Address);
  if (Call.IfMatch)
    Message.set(http::field::if_match, std::to_string(*Call.IfMatch));
  if (!Call.Body.empty())
    Message.set(http::field::content_type, "application/json");
  Message.body() = std::move(Call.Body);
  Message.prepare_payload();
  return Message;
}

void http_exchange::recordFailure(call_kind Kind, steady_time StartedAt) {
  ++Counters.of(Kind).Failed;
  Reachable = false;
  Pacer.callFailed(StartedAt, Clock.now());
  closeIdle();
}

void http_exchange::recordAnswer(const http_response &Response) {
  Reachable = true;
  if (const std::optional<wall_time> Time = parseTime(Response["X-Time-Ms"]))
    if (const std::optional<wall_time> Known = serverTimeAtLeast();
        !Known || *Time > *Known)
      ServerTime = {Clock.now(), *Time};
  if (!Pacer.callSucceeded())
    return;
  for (asio::steady_timer &Sleeper : Sleepers)
    Sleeper.cancel();
}

store_era http_exchange::noteEra(const http_response &Response) {
  const beast::string_view Text = Response[Settings.Protocol->eraField()];
  const std::optional<store_era> Read =
      Settings.Protocol->readEra({Text.data(), Text.size()});
  if (!Read && !MalformedEraLogged)
    logEvent(log_level::Warning, "store_era_malformed",
             {{"text", std::string(Text)}});
  MalformedEraLogged = !Read;
  if (!Read)
    return Era;
  Era = std::max(Era, *Read);
  return *Read;
}

awaitable<read_answer>
http_exchange::connection::exchange(const http_request &Request) {
  error_code Error;
  co_await http::async_write(Stream, Request,
                             redirect_error(use_awaitable, Error));
  if (Error)
    co_return read_answer{Error, {}};
  co_return co_await readAnswer(Stream, Buffer, Request.method(),
                                MaxAnswerBytes);
}

awaitable<exchange_reply>
http_exchange::exchangeOn(connection_id Id, const http_request &Request,
                          std::chrono::milliseconds Timeout) {
  connection &Connection = Connections.at(Id);
  Connection.Stream.expires_after(Timeout);
  read_answer Answer = co_await Connection.exchange(Request);
  if (Answer.Failure || Stopped) {
    const bool WasClosed =
        Connection.Reused && Answer.Failure != beast::error::timeout;
    release(Id, false);
    co_return exchange_reply{WasClosed ? exchange_outcome::ClosedWhileIdle
                                       : exchange_outcome::NoAnswer,
                             0,
                             {},
                             Era};
  }
  http_response &Response = Answer.Message;
  // What follows the answer belongs to no call.
  release(Id, Response.keep_alive() && Connection.Buffer.size() == 0);
  if (isServerError(Response.result_int()))
    co_return exchange_reply{
        exchange_outcome::NoAnswer, Response.result_int(), {}, Era};
  const store_era AnswerEra = noteEra(Response);
  recordAnswer(Response);
  if (AnswerEra < Era)
    co_return exchange_reply{
        exchange_outcome::OlderEra, Response.result_int(), {}, AnswerEra};
  co_return exchange_reply{exchange_outcome::Answered, Response.result_int(),
                           std::move(Response.body()), AnswerEra};
}

awaitable<exchange_reply> http_exchange::call(exchange_request Request,
                                              steady_time Deadline) {
  const call_kind Kind = Request.Kind;
  const std::chrono::milliseconds Timeout = Request.Timeout;
  const http_request Message = makeRequest(Request.Call);
  if (!co_await waitForPermit(Deadline))
    co_return exchange_reply{};
  const steady_time StartedAt = Clock.now();
  connection_id Id = reuseIdle();
  if (Id == 0)
    Id = co_await openConnection();
  if (Id == 0) {
    recordFailure(Kind, StartedAt);
    co_return exchange_reply{exchange_outcome::NotSent, 0, {}, Era};
  }
  ++Counters.of(Kind).Sent;
  exchange_reply Reply = co_await exchangeOn(Id, Message, Timeout);
  if (Reply.Outcome == exchange_outcome::NoAnswer)
    recordFailure(Kind, StartedAt);
  if (Reply.Outcome == exchange_outcome::ClosedWhileIdle)
    closeIdle();
  co_return Reply;
}

} // namespace magnoliaspread
