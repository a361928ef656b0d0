#include "endpoint.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <iostream>
#include <optional>
#include <xxhash.h>

namespace magnoliaspread {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using error_code = boost::system::error_code;
using std::chrono::milliseconds;

namespace {

constexpr auto Awaited = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t ChunkBytes = 65536;
constexpr milliseconds CancelPoll{20};

std::size_t queryNumber(std::string_view Target, std::string_view Name,
                        std::size_t Default) {
  const std::string Key = std::string(Name) + "=";
  const std::size_t Start = Target.find(Key);
  if (Start == std::string_view::npos)
    return Default;
  std::size_t Value = Default;
  const char *First = Target.data() + Start + Key.size();
  std::from_chars(First, Target.data() + Target.size(), Value);
  return Value;
}

endpoint::parsed_request parseRequest(const http::request_header<> &Head) {
  constexpr std::size_t NotGiven = SIZE_MAX;
  endpoint::parsed_request Request;
  Request.Path = Head.target();
  Request.RequestId = Head["X-Request-Id"];
  Request.Workspace = Head["X-Workspace"];
  Request.IdempotencyKey = Head["Idempotency-Key"];
  Request.Nonce = Head["X-Nonce"];
  Request.HasWorkspaceKey =
      Head.count("Authorization") + Head.count("X-Api-Key") > 0;
  const std::size_t Work = queryNumber(Request.Path, "work_ms", NotGiven);
  if (Work != NotGiven)
    Request.Work = milliseconds(Work);
  Request.AnswerBytes = queryNumber(Request.Path, "size", 0);
  Request.Crash = queryNumber(Request.Path, "crash", 0) != 0;
  return Request;
}

class digest {
public:
  digest() : State(XXH3_createState()) { XXH3_64bits_reset(State); }
  ~digest() { XXH3_freeState(State); }
  digest(const digest &) = delete;
  digest &operator=(const digest &) = delete;
  void add(const void *Data, std::size_t Size) {
    XXH3_64bits_update(State, Data, Size);
  }
  std::uint64_t value() const { return XXH3_64bits_digest(State); }

private:
  XXH3_state_t *State;
};

bool isClosed(tcp::socket &Socket) {
  error_code Failure;
  Socket.non_blocking(true, Failure);
  char Byte = 0;
  const std::size_t Count = Socket.receive(asio::buffer(&Byte, 1),
                                           tcp::socket::message_peek, Failure);
  return Failure != asio::error::would_block && Count == 0;
}

} // namespace

struct endpoint::connection {
  explicit connection(tcp::socket Connected) : Socket(std::move(Connected)) {}
  tcp::socket Socket;
  beast::flat_buffer Buffer;
  bool Stalled = false;
};

endpoint::endpoint(asio::io_context &Context, const target_row &Row,
                   const endpoint_options &Options, target_record &Record)
    : Context(Context), Row(Row), Options(Options), Record(Record),
      Acceptor(Context) {}

void endpoint::listen() {
  const tcp::endpoint Where(asio::ip::make_address(Row.Address), Row.Port);
  Acceptor.open(Where.protocol());
  Acceptor.set_option(tcp::acceptor::reuse_address(true));
  Acceptor.bind(Where);
  Acceptor.listen();
  asio::co_spawn(Context, acceptAll(), asio::detached);
}

asio::awaitable<void> endpoint::acceptAll() {
  for (;;) {
    auto [Failure, Socket] = co_await Acceptor.async_accept(Awaited);
    if (Failure)
      co_return;
    Socket.set_option(tcp::no_delay(true), Failure);
    auto Connection = std::make_shared<connection>(std::move(Socket));
    Connections.push_back(Connection);
    asio::co_spawn(Context, serve(std::move(Connection)), asio::detached);
  }
}

asio::awaitable<void> endpoint::serve(std::shared_ptr<connection> Connection) {
  row().Connections = Connections.size();
  row().MostConnections = std::max(row().MostConnections, row().Connections);
  while (co_await serveRequest(*Connection)) {
  }
  error_code Ignored;
  Connection->Socket.close(Ignored);
  Connections.remove(Connection);
  row().Connections = Connections.size();
}

/// False when the connection was closed while the request ran.
asio::awaitable<bool> endpoint::work(connection &Connection,
                                     milliseconds Time) {
  asio::steady_timer Timer(Context);
  const auto End = std::chrono::steady_clock::now() + Time + Faults.Slow;
  while (std::chrono::steady_clock::now() < End) {
    Timer.expires_at(
        std::min(End, std::chrono::steady_clock::now() + CancelPoll));
    co_await Timer.async_wait(Awaited);
    if (isClosed(Connection.Socket))
      co_return false;
  }
  co_return true;
}

/// Counts a request as running for the lifetime of the guard.
class running_guard {
public:
  explicit running_guard(endpoint_record &Row) : Row(Row) {
    ++Row.Running;
    Row.MostRunning = std::max(Row.MostRunning, Row.Running);
    Row.LastWorkMs = wallMs();
  }
  ~running_guard() { --Row.Running; }
  running_guard(const running_guard &) = delete;
  running_guard &operator=(const running_guard &) = delete;

private:
  endpoint_record &Row;
};

asio::awaitable<bool> endpoint::serveRequest(connection &Connection) {
  http::request_parser<http::buffer_body> Parser;
  Parser.body_limit(boost::none);
  auto [Failure, HeadBytes] = co_await http::async_read_header(
      Connection.Socket, Connection.Buffer, Parser, Awaited);
  if (Failure)
    co_return false;
  parsed_request Request = parseRequest(Parser.get().base());
  if (Faults.Shed || row().Running >= Row.Slots + Options.Backlog)
    co_return co_await shed(Connection, Request, Parser.is_done());
  const running_guard Guard(row());
  if (!co_await readBody(Connection, Parser, Request)) {
    ++row().Cancelled;
    co_return false;
  }
  recordRun(Request);
  if (Request.Crash) {
    crash();
    co_return false;
  }
  if (!co_await work(Connection, Request.Work.value_or(Options.Work))) {
    ++row().Cancelled;
    co_return false;
  }
  if (Connection.Stalled)
    co_await waitForever();
  co_return co_await answer(Connection, Request);
}

asio::awaitable<bool> endpoint::shed(connection &Connection,
                                     const parsed_request &Request, bool Keep) {
  ++row().Shed;
  http::response<http::empty_body> Answer(http::status::service_unavailable,
                                          11);
  Answer.set("X-Request-Id", Request.RequestId);
  Answer.set("X-Run-State", "not_run");
  Answer.set("X-Retry-After-Ms", "50");
  Answer.keep_alive(Keep);
  Answer.prepare_payload();
  auto [Failure, Count] =
      co_await http::async_write(Connection.Socket, Answer, Awaited);
  co_return Keep && !Failure;
}

asio::awaitable<bool>
endpoint::readBody(connection &Connection,
                   http::request_parser<http::buffer_body> &Parser,
                   parsed_request &Request) {
  digest Digest;
  std::vector<char> Chunk(Parser.is_done() ? 0 : ChunkBytes);
  while (!Parser.is_done()) {
    Parser.get().body().data = Chunk.data();
    Parser.get().body().size = Chunk.size();
    auto [Failure, Count] = co_await http::async_read_some(
        Connection.Socket, Connection.Buffer, Parser, Awaited);
    if (Failure && Failure != http::error::need_buffer)
      co_return false;
    const std::size_t Got = Chunk.size() - Parser.get().body().size;
    Digest.add(Chunk.data(), Got);
    Request.BodyBytes += Got;
  }
  Request.BodyDigest = Digest.value();
  co_return true;
}

void endpoint::recordRun(const parsed_request &Request) {
  ++row().Runs;
  ++Record.RunsByWorkspace[Request.Workspace];
  Record.KeysSeen += Request.HasWorkspaceKey ? 1 : 0;
  if (!Request.IdempotencyKey.empty())
    ++Record.RunsByIdempotencyKey[Request.IdempotencyKey];
}

asio::awaitable<void> endpoint::waitForever() {
  asio::steady_timer Forever(Context, std::chrono::hours(24));
  co_await Forever.async_wait(Awaited);
}

asio::awaitable<bool> endpoint::answer(connection &Connection,
                                       const parsed_request &Request) {
  const boost::json::object Body{
      {"request_id", Request.RequestId},
      {"workspace", Request.Workspace},
      {"target", Row.Name},
      {"path", Request.Path},
      {"nonce", Request.Nonce},
      {"bytes", Request.BodyBytes},
      {"digest", std::to_string(Request.BodyDigest)}};
  http::response<http::string_body> Answer(http::status::ok, 11);
  Answer.set("X-Request-Id", Faults.WrongRequestId
                                 ? "crossed-" + Request.RequestId
                                 : Request.RequestId);
  Answer.set("X-Load-Slots", std::to_string(Row.Slots));
  Answer.set("X-Load-Running",
             std::to_string(Faults.ReportNoLoad ? 0 : row().Running));
  Answer.body() = boost::json::serialize(Body);
  Answer.body().append(Request.AnswerBytes, '.');
  Answer.keep_alive(Request.KeepAlive && !Faults.TruncateAnswers);
  Answer.prepare_payload();
  if (Faults.TruncateAnswers)
    Answer.content_length(Answer.body().size() + 100);
  auto [Failure, Count] =
      co_await http::async_write(Connection.Socket, Answer, Awaited);
  co_return !Failure && Answer.keep_alive();
}

void endpoint::crash() {
  ++row().Crashes;
  error_code Ignored;
  Acceptor.close(Ignored);
  for (const auto &Connection : Connections)
    Connection->Socket.close(Ignored);
  asio::co_spawn(Context, restartLater(), asio::detached);
}

asio::awaitable<void> endpoint::restartLater() {
  asio::steady_timer Timer(Context, Options.Restart);
  co_await Timer.async_wait(Awaited);
  listen();
}

void endpoint::stallConnections() {
  for (const auto &Connection : Connections)
    Connection->Stalled = true;
}

} // namespace magnoliaspread
