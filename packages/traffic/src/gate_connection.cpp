#include "caller_input_p.h"
#include "forwardhead_p.h"
#include "gate_run_p.h"
#include "sockets_p.h"
#include "timers_p.h"

#include <magnoliaspread/httpanswer.h>
#include <magnoliaspread/log.h>
#include <magnoliaspread/pipeline.h>
#include <magnoliaspread/silence.h>

#include <algorithm>
#include <map>

namespace magnoliaspread {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

/// Callers may reuse a connection until the idle timeout; the margin avoids a
/// close while a request is on its way.
constexpr milliseconds IdleMargin{1000};
/// Longest time to write an answer to a slow caller.
constexpr milliseconds WriteTimeout{10000};
/// How long a connection with unread bytes stays open after its last answer: a
/// close resets it, which may overtake the answer.
constexpr milliseconds CloseDelay{300};

/// A request from its head until its answer has been written.
struct pending_request {
  explicit pending_request(gate::state &State)
      : BodyMemory(State.Memory), Scope(State.InFlight) {}

  whole_request Message;
  steady_time ArrivedAt;
  /// Unanswered requests before it on the connection.
  std::size_t Ahead = 0;
  /// Memory of the request's body.
  memory_reservation BodyMemory;
  whole_answer Answer;
  /// Memory of the answer's body.
  std::optional<memory_reservation> AnswerMemory;
  scoped_count Scope;
};

/// One caller's connection: reads requests ahead, starts those that may run and
/// writes the answers in order.
class gate_connection : public std::enable_shared_from_this<gate_connection> {
public:
  gate_connection(tcp::socket Connected, gate::state &State,
                  request_source Source)
      : Socket(std::move(Connected)), State(State), Source(Source),
        Number(++State.NextId), Order(State.Settings.Pipelining),
        Changed(Socket.get_executor()),
        Input(
            Socket, State.Clock, [this] { return inputLimit(); },
            [this] { handleInput(); }) {}

  asio::awaitable<void> run();

private:
  using request_parser = http::request_parser<http::string_body>;

  asio::awaitable<bool> readRequest();
  asio::awaitable<error_code> readHead();
  asio::awaitable<error_code> readBody(pending_request &Row);
  error_code parse();
  void beginHead();
  bool nothingArrived();
  asio::awaitable<bool> awaitChange(steady_time Until);
  asio::awaitable<bool> awaitTurn(std::uint64_t Request);
  asio::awaitable<void> closeWhenRead();

  pipeline_order orderOf(const request_parser &Head) const;
  pending_request &add(pipeline_order Kind);
  void start(std::uint64_t Request);
  result<gate_request> admit(pending_request &Row);
  asio::awaitable<void> serve(std::uint64_t Request);
  asio::awaitable<void> refuseUnreadable(error_code Failure, bool HeadCame);
  void prepareAnswer(pending_request &Row, request_outcome Outcome);
  void refuse(pending_request &Row, const error &Error, std::string_view Id);
  asio::awaitable<void> finish(std::uint64_t Request);
  asio::awaitable<bool> write(pending_request &Row);
  bool isLast(const pending_request &Row);
  void logEnd(const pending_request &Row, const gate_request &Wanted,
              const request_outcome &Outcome);

  void handleInput();
  std::size_t inputLimit() const;
  void leave();
  caller_limits limits() const;

  tcp::socket Socket;
  gate::state &State;
  request_source Source;
  std::uint64_t Number;
  pipeline Order;
  std::map<std::uint64_t, pending_request> Pending;
  /// Expires never or at a time limit; cancelled at each change.
  asio::steady_timer Changed;
  caller_input Input;
  caller_watch Caller;
  std::optional<request_parser> Parser;
  /// When the first bytes of the head that is being read were parsed.
  std::optional<steady_time> HeadSince;
  bool ReadingBody = false;
  bool Writing = false;
  /// The last answer refuses a request that was not read to its end.
  bool Unreadable = false;
};

caller_limits gate_connection::limits() const {
  return State.Routes == nullptr ? caller_limits()
                                 : State.Routes->table().Limits;
}

/// Bytes that may be buffered; 0 leaves them with the kernel.
std::size_t gate_connection::inputLimit() const {
  if (ReadingBody)
    return Input.maxSize();
  // A request that is taken from the socket has to be answered.
  if (!State.keepsCallers() && !Order.empty())
    return 0;
  return Order.mayRead() ? Input.maxSize() : MaxPipelinedBytes;
}

void gate_connection::handleInput() {
  if (Input.closed())
    Caller.leave();
  Changed.cancel();
}

void gate_connection::leave() {
  Caller.leave();
  Order.close();
  Changed.cancel();
}

/// Waits for a change of the input or of the requests; false at the time limit.
asio::awaitable<bool> gate_connection::awaitChange(steady_time Until) {
  Input.resume();
  Changed.expires_at(Until);
  auto [Cancelled] = co_await Changed.async_wait(Awaited);
  co_return Cancelled.failed();
}

/// True if no bytes wait to be read. A request that has arrived when its
/// connection is to be closed for being idle is still served.
bool gate_connection::nothingArrived() {
  error_code Ignored;
  return Input.buffer().size() == 0 && Socket.available(Ignored) == 0;
}

error_code gate_connection::parse() {
  error_code Failure;
  Input.buffer().consume(Parser->put(Input.buffer().data(), Failure));
  if (Failure == http::error::need_more)
    Failure = {};
  if (!Failure && !Parser->is_done() &&
      Input.buffer().size() >= Input.maxSize())
    Failure = http::error::buffer_overflow;
  return Failure;
}

void gate_connection::beginHead() {
  const caller_limits Limits = limits();
  HeadSince = State.Clock.now();
  Parser.emplace();
  const std::size_t Added =
      Source == request_source::Peer ? ForwardFieldBytes : 0;
  Parser->header_limit(static_cast<std::uint32_t>(Limits.HeaderBytes + Added));
  Parser->body_limit(Limits.BodyBytes);
}

/// Waits until a further request may be read, and for its head.
asio::awaitable<error_code> gate_connection::readHead() {
  const steady_time IdleUntil =
      State.Clock.now() + limits().IdleTimeout + IdleMargin;
  HeadSince.reset();
  while (!Order.closed() && !Caller.gone()) {
    steady_time Until = steady_time::max();
    if (!Order.mayRead()) {
      HeadSince.reset();
    } else if (Input.buffer().size() > 0) {
      if (!HeadSince)
        beginHead();
      const error_code Failure = parse();
      if (Failure || Parser->is_header_done())
        co_return Failure;
      Until = *HeadSince + limits().HeaderTimeout;
    } else if (Order.empty()) {
      Until = IdleUntil;
    }
    const bool Idle = Order.empty() && Input.buffer().size() == 0;
    if (Idle && State.ClosesIdle && nothingArrived())
      break;
    if (Idle)
      State.IdleCallers.emplace(Number, &Changed);
    const bool InTime = co_await awaitChange(Until);
    if (Idle)
      State.IdleCallers.erase(Number);
    if (!InTime && HeadSince)
      co_return asio::error::operation_aborted;
    if (!InTime && nothingArrived())
      break;
  }
  co_return http::error::end_of_stream;
}

/// Reads the body in pieces and accounts for its memory as it grows.
asio::awaitable<error_code> gate_connection::readBody(pending_request &Row) {
  const steady_time Until = State.Clock.now() + limits().IdleTimeout;
  ReadingBody = true;
  error_code Failure;
  while (!Failure && !Parser->is_done()) {
    const std::size_t Before = Input.buffer().size();
    if (Before > 0)
      Failure = parse();
    if (!Row.BodyMemory.resize(Parser->get().body().capacity()))
      Failure = asio::error::no_memory;
    if (Failure || Input.buffer().size() < Before)
      continue;
    if (Input.closed())
      Failure = http::error::partial_message;
    else if (!co_await awaitChange(std::min(Until, State.bodiesUntil())))
      Failure = asio::error::operation_aborted;
  }
  ReadingBody = false;
  co_return Failure;
}

/// Waits until an exclusive request may start; false when the caller has left.
asio::awaitable<bool> gate_connection::awaitTurn(std::uint64_t Request) {
  while (!Order.mayStart(Request) && !Caller.gone())
    co_await awaitChange(steady_time::max());
  co_return !Caller.gone();
}

pipeline_order gate_connection::orderOf(const request_parser &Head) const {
  const whole_request &Message = Head.get();
  const bool Safe = Message.method() == http::verb::get ||
                    Message.method() == http::verb::head;
  if (State.Settings.Pipelining.Requests <= 1 || !Safe || !Head.is_done() ||
      Message.count(http::field::expect) > 0 || State.Routes == nullptr)
    return pipeline_order::Exclusive;
  const route_row *Route = State.Routes->find(
      State.Dialect.read(Message.base()).Host, Message.target());
  return Route != nullptr && Route->Repeatable ? pipeline_order::Concurrent
                                               : pipeline_order::Exclusive;
}

pending_request &gate_connection::add(pipeline_order Kind) {
  const std::size_t Ahead = Order.size();
  pending_request &Row =
      Pending.try_emplace(Order.add(Kind), State).first->second;
  Row.Ahead = Ahead;
  // What waited for its turn came with the last bytes or before them.
  Row.ArrivedAt = State.Clock.now();
  if (State.Settings.Pipelining.Requests > 1)
    Row.ArrivedAt = std::min(Row.ArrivedAt, Input.lastReadAt());
  else if (HeadSince)
    Row.ArrivedAt = *HeadSince;
  if (Ahead > 0)
    ++State.Pipelined;
  return Row;
}

/// Reads and starts one request; false when the connection takes no more.
asio::awaitable<bool> gate_connection::readRequest() {
  const error_code Failure = co_await readHead();
  if (Failure) {
    co_await refuseUnreadable(Failure, false);
    co_return false;
  }
  const pipeline_order Kind = orderOf(*Parser);
  pending_request &Row = add(Kind);
  const std::uint64_t Request = Pending.rbegin()->first;
  if (!Parser->get().keep_alive())
    Order.close();
  if (Kind == pipeline_order::Concurrent) {
    Row.Message = Parser->release();
    start(Request);
    co_return true;
  }
  if (co_await awaitTurn(Request)) {
    if (Parser->get()[http::field::expect] == "100-continue") {
      constexpr std::string_view Line = "HTTP/1.1 100 Continue\r\n\r\n";
      co_await asio::async_write(Socket, asio::buffer(Line), Awaited);
    }
    const error_code Cut = co_await readBody(Row);
    if (Cut) {
      co_await refuseUnreadable(Cut, true);
      co_return false;
    }
    Row.Message = Parser->release();
    Input.resume();
    co_await serve(Request);
  } else {
    co_await finish(Request);
  }
  co_return true;
}

/// Answers a request that was not read to its end, in its turn.
asio::awaitable<void> gate_connection::refuseUnreadable(error_code Failure,
                                                        bool HeadCame) {
  const bool Stalled = Failure == asio::error::operation_aborted;
  const bool NoMemory = Failure == asio::error::no_memory;
  const bool Ended = Failure == http::error::end_of_stream ||
                     Failure == http::error::partial_message;
  Order.close();
  if (!Ended) {
    error_kind Kind = error_kind::BadRequest;
    if (Stalled && State.Clock.now() >= State.bodiesUntil())
      Kind = error_kind::Draining;
    else if (Stalled)
      Kind = error_kind::RequestStalled;
    else if (NoMemory)
      Kind = error_kind::QueueFull;
    else if (Failure == http::error::body_limit)
      Kind = error_kind::BodyTooLarge;
    else if (Failure == http::error::header_limit ||
             (!HeadCame && Failure == http::error::buffer_overflow))
      Kind = error_kind::HeaderTooLarge;
    if (!HeadCame)
      add(pipeline_order::Exclusive);
    pending_request &Row = Pending.rbegin()->second;
    Row.Message.keep_alive(false);
    refuse(Row, {Kind, Failure.message(), {}}, {});
    Unreadable = true;
  }
  if (!Ended || HeadCame)
    co_await finish(Pending.rbegin()->first);
}

void gate_connection::start(std::uint64_t Request) {
  // Keeps the connection alive until the request has ended.
  asio::co_spawn(
      Socket.get_executor(),
      [](std::shared_ptr<gate_connection> Self,
         std::uint64_t Request) -> asio::awaitable<void> {
        co_await Self->serve(Request);
      }(shared_from_this(), Request),
      asio::detached);
}

void gate_connection::refuse(pending_request &Row, const error &Error,
                             std::string_view Id) {
  Row.Answer.version(11);
  State.Dialect.refuse(Row.Answer.base(), Error, Id);
  if (Source == request_source::Peer)
    writeRefusal(Row.Answer.base(), Error);
  Row.Answer.prepare_payload();
}

void gate_connection::logEnd(const pending_request &Row,
                             const gate_request &Wanted,
                             const request_outcome &Outcome) {
  const steady_time Now = State.Clock.now();
  const auto Took = duration_cast<microseconds>(Now - Row.ArrivedAt);
  const std::string Workspace =
      Wanted.Workspace == nullptr ? std::string() : Wanted.Workspace->Name;
  const auto ProofAge =
      duration_cast<milliseconds>(State.Clock.boot() - State.ConfigConfirmedAt);
  logEvent(log_level::Info, "request",
           {{"request_id", Wanted.Id},
            {"route", Wanted.Route->Name},
            {"workspace", Workspace},
            {"service", Wanted.Service},
            {"object", State.Dialect.read(Row.Message.base()).Object},
            {"config", Wanted.Routes->table().Version},
            {"config_age_ms", ProofAge.count()},
            {"target", Outcome.Target},
            {"sends", Outcome.Sends},
            {"unreachable", Outcome.Unreachable},
            {"path", nameOf(State.Path.state())},
            {"peer", Outcome.Peer},
            {"forwarded_by", Wanted.ForwardedBy},
            {"ahead", Row.Ahead},
            {"wait_us", Outcome.Waited.count()},
            {"outcome", Outcome.Answer ? std::string_view("answered")
                                       : answerOf(Outcome.Error.Kind).Name},
            {"status", Outcome.Answer ? Outcome.Answer->result_int() : 0U},
            {"detail", Outcome.Answer ? std::string() : Outcome.Error.Detail},
            {"allowed_ms",
             duration_cast<milliseconds>(Wanted.Place.Deadline - Row.ArrivedAt)
                 .count()},
            {"us", Took.count()}});
  request_result End;
  if (!Outcome.Answer)
    End.Error = Outcome.Error.Kind;
  End.Status = Outcome.Answer ? Outcome.Answer->result_int() : 0;
  End.Latency = Took;
  End.WithinRate =
      !Outcome.Answer && Outcome.Error.Kind != error_kind::RateLimited;
  State.Metrics.count(State.Metrics.meterOf(Workspace, Wanted.Service,
                                            Wanted.Route->LatencyTarget),
                      End);
}

void gate_connection::prepareAnswer(pending_request &Row,
                                    request_outcome Outcome) {
  Row.Answer = std::move(*Outcome.Answer);
  Row.AnswerMemory = std::move(Outcome.BodyMemory);
  State.Dialect.rewriteAnswer(Row.Answer.base());
  eraseRefusal(Row.Answer.base());
  if (!hasNoBody(Row.Answer, Row.Message.method()))
    Row.Answer.prepare_payload();
  else if (Row.Answer.result() == http::status::no_content)
    Row.Answer.erase(http::field::content_length);
}

/// Admits a request of a caller, or one that a peer forwards as of its arrival
/// there.
result<gate_request> gate_connection::admit(pending_request &Row) {
  if (Source == request_source::Caller)
    return State.admit(Row.Message, Row.ArrivedAt);
  const std::string Id(State.Dialect.read(Row.Message.base()).Id);
  const result<forward_note> Note = takeForwardNote(
      Row.Message.base(), Id, State.Settings.Secret, State.Clock.wall());
  if (failed(Note))
    return errorOf(Note);
  Row.ArrivedAt -= valueOf(Note).Waited;
  result<gate_request> Admitted = State.admit(Row.Message, Row.ArrivedAt);
  if (!failed(Admitted)) {
    valueOf(Admitted).ForwardedBy = valueOf(Note).From;
    valueOf(Admitted).EarlierSends = valueOf(Note).Sends;
  }
  return Admitted;
}

asio::awaitable<void> gate_connection::serve(std::uint64_t Request) {
  pending_request &Row = Pending.at(Request);
  ++State.Requests;
  result<gate_request> Admitted = admit(Row);
  if (failed(Admitted)) {
    const std::string Id(State.Dialect.read(Row.Message.base()).Id);
    const error &Error = errorOf(Admitted);
    logEvent(log_level::Info, "request",
             {{"request_id", Id},
              {"outcome", answerOf(Error.Kind).Name},
              {"detail", Error.Detail},
              {"config",
               State.Routes == nullptr ? 0U : State.Routes->table().Version}});
    refuse(Row, Error, Id);
    co_return co_await finish(Request);
  }
  gate_request &Wanted = valueOf(Admitted);
  request_outcome Outcome =
      co_await runRequest(State, Caller, Row.Message, Wanted);
  logEnd(Row, Wanted, Outcome);
  if (Outcome.Answer)
    prepareAnswer(Row, std::move(Outcome));
  else if (Outcome.Error.Kind == error_kind::CallerGone)
    leave();
  else
    refuse(Row, Outcome.Error, Wanted.Id);
  co_await finish(Request);
}

/// Whether the connection ends with the answer to \p Row.
bool gate_connection::isLast(const pending_request &Row) {
  if (!Row.Message.keep_alive())
    return true;
  const auto Unparsed = Input.buffer().cdata();
  const std::string_view Bytes(static_cast<const char *>(Unparsed.data()),
                               Unparsed.size());
  return !State.keepsCallers() && Order.size() == 1 &&
         Bytes.find("\r\n\r\n") == std::string_view::npos;
}

asio::awaitable<bool> gate_connection::write(pending_request &Row) {
  const bool Last = isLast(Row);
  if (Last)
    Order.close();
  Row.Answer.keep_alive(!Last);
  socket_timeout Timer(Socket, WriteTimeout);
  auto [Failure, Count] =
      co_await http::async_write(Socket, Row.Answer, Awaited);
  co_return !Failure;
}

/// Request \p Request has ended: writes the answers whose turn it is.
asio::awaitable<void> gate_connection::finish(std::uint64_t Request) {
  Order.answered(Request, Pending.at(Request).Answer.body().size());
  if (Writing)
    co_return;
  Writing = true;
  while (const auto Next = Order.nextAnswer()) {
    if (!Caller.gone()) {
      const bool Written = co_await write(Pending.at(*Next));
      if (!Written)
        leave();
    }
    if (Pending.at(*Next).Ahead > 0)
      --State.Pipelined;
    Pending.erase(*Next);
    Order.written();
    Changed.cancel();
  }
  Writing = false;
}

asio::awaitable<void> gate_connection::closeWhenRead() {
  error_code Ignored;
  if (Unreadable) {
    Input.stop();
    co_await linger(Socket);
  } else if (!Caller.gone() && Socket.available(Ignored) > 0) {
    Socket.shutdown(tcp::socket::shutdown_send, Ignored);
    Changed.expires_after(CloseDelay);
    co_await Changed.async_wait(Awaited);
  }
  Input.stop();
  Socket.shutdown(tcp::socket::shutdown_both, Ignored);
  Socket.close(Ignored);
}

asio::awaitable<void> gate_connection::run() {
  error_code Ignored;
  Socket.set_option(tcp::no_delay(true), Ignored);
  limitSilence(Socket.native_handle(), connection_kind::Caller);
  for (bool Reads = true; Reads && !Order.closed();)
    Reads = co_await readRequest();
  while (!Order.empty())
    co_await awaitChange(steady_time::max());
  co_await closeWhenRead();
}

} // namespace

asio::awaitable<void> serveConnection(tcp::socket Socket, gate::state &State,
                                      request_source Source) {
  const scoped_count Scope(State.Connections);
  const auto Connection =
      std::make_shared<gate_connection>(std::move(Socket), State, Source);
  co_await Connection->run();
}

} // namespace magnoliaspread
