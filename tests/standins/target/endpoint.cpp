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

endpoint::order readOrder(const http::request_header<> &Head) {
  constexpr std::size_t NotGiven = SIZE_MAX;
  endpoint::order Order;
  Order.Path = Head.target();
  Order.RequestId = Head["X-Request-Id"];
  Order.Workspace = Head["X-Workspace"];
  Order.IdempotencyKey = Head["Idempotency-Key"];
  Order.Nonce = Head["X-Nonce"];
  Order.KeyCame = Head.count("Authorization") + Head.count("X-Api-Key") > 0;
  const std::size_t Work = queryNumber(Order.Path, "work_ms", NotGiven);
  if (Work != NotGiven)
    Order.Work = milliseconds(Work);
  Order.AnswerBytes = queryNumber(Order.Path, "size", 0);
  Order.Crash = queryNumber(Order.Path, "crash", 0) != 0;
  return Order;
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
  bool Silent = false;
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

/// Counts a request as running for as long as it lives.
class running_mark {
public:
  explicit running_mark(endpoint_record &Row) : Row(Row) {
    ++Row.Running;
    Row.MostRunning = std::max(Row.MostRunning, Row.Running);
    Row.LastWorkMs = wallMs();
  }
  ~running_mark() { --Row.Running; }
  running_mark(const running_mark &) = delete;
  running_mark &operator=(const running_mark &) = delete;

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
  order Order = readOrder(Parser.get().base());
  if (Faults.Shed || row().Running >= Row.Slots + Options.Backlog)
    co_return co_await shed(Connection, Order, Parser.is_done());
  const running_mark Mark(row());
  if (!co_await takeBody(Connection, Parser, Order)) {
    ++row().Cancelled;
    co_return false;
  }
  recordRun(Order);
  if (Order.Crash) {
    crash();
    co_return false;
  }
  if (!co_await work(Connection, Order.Work.value_or(Options.Work))) {
    ++row().Cancelled;
    co_return false;
  }
  if (Connection.Silent)
    co_await staySilent();
  co_return co_await answer(Connection, Order);
}

asio::awaitable<bool> endpoint::shed(connection &Connection, const order &Order,
                                     bool Keep) {
  ++row().Shed;
  http::response<http::empty_body> Answer(http::status::service_unavailable,
                                          11);
  Answer.set("X-Request-Id", Order.RequestId);
  Answer.set("X-Run-State", "not_run");
  Answer.set("X-Retry-After-Ms", "50");
  Answer.keep_alive(Keep);
  Answer.prepare_payload();
  auto [Failure, Count] =
      co_await http::async_write(Connection.Socket, Answer, Awaited);
  co_return Keep && !Failure;
}

asio::awaitable<bool>
endpoint::takeBody(connection &Connection,
                   http::request_parser<http::buffer_body> &Parser,
                   order &Order) {
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
    Order.BodyBytes += Got;
  }
  Order.BodyDigest = Digest.value();
  co_return true;
}

void endpoint::recordRun(const order &Order) {
  ++row().Runs;
  ++Record.RunsByWorkspace[Order.Workspace];
  Record.KeysSeen += Order.KeyCame ? 1 : 0;
  if (!Order.IdempotencyKey.empty())
    ++Record.RunsByIdempotencyKey[Order.IdempotencyKey];
}

asio::awaitable<void> endpoint::staySilent() {
  asio::steady_timer Forever(Context, std::chrono::hours(24));
  co_await Forever.async_wait(Awaited);
}

asio::awaitable<bool> endpoint::answer(connection &Connection,
                                       const order &Order) {
  const boost::json::object Body{{"request_id", Order.RequestId},
                                 {"workspace", Order.Workspace},
                                 {"target", Row.Name},
                                 {"path", Order.Path},
                                 {"nonce", Order.Nonce},
                                 {"bytes", Order.BodyBytes},
                                 {"digest", std::to_string(Order.BodyDigest)}};
  http::response<http::string_body> Answer(http::status::ok, 11);
  Answer.set("X-Request-Id",
             Faults.Crossed ? "crossed-" + Order.RequestId : Order.RequestId);
  Answer.set("X-Load-Slots", std::to_string(Row.Slots));
  Answer.set("X-Load-Running",
             std::to_string(Faults.Lying ? 0 : row().Running));
  Answer.body() = boost::json::serialize(Body);
  Answer.body().append(Order.AnswerBytes, '.');
  Answer.keep_alive(Order.KeepAlive && !Faults.CutAnswers);
  Answer.prepare_payload();
  if (Faults.CutAnswers)
    Answer.content_length(Answer.body().size() + 100);
  auto [Failure, Count] =
      co_await http::async_write(Connection.Socket, Answer, Awaited);
  co_return !Failure && Answer.keep_alive();
}

void endpoint::crash() {
  ++row().Deaths;
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

void endpoint::silence() {
  for (const auto &Connection : Connections)
    Connection->Silent = true;
}

} // namespace magnoliaspread
