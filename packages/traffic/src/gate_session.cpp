#include "gate_p.h"
#include "sockets_p.h"
#include "timers_p.h"

#include <magnoliaspread/silence.h>
#include <magnoliaspread/log.h>

#include <algorithm>
#include <optional>

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
/// Failed connection attempts after which a request is given up.
constexpr std::uint32_t MaxConnectFailures = 3;
/// A repeatable request may go to another target after this multiple of its
/// expected service time without an answer.
constexpr int HeadTimeoutFactor = 3;
constexpr milliseconds MinHeadTimeout{900};
/// Least time left for a further attempt.
constexpr milliseconds MinAttemptTime{50};

/// Result of one request.
struct request_outcome {
  std::optional<whole_answer> Answer;
  /// Memory of the answer's body.
  std::optional<memory_reservation> BodyMemory;
  error Error;
  /// Some target may have run it.
  bool MayHaveRun = false;
  std::uint32_t Sends = 0;
  std::uint32_t Unreachable = 0;
  /// Already reserved for the next attempt.
  std::optional<target_handle> Next;
  std::string Target;
  microseconds Waited{0};
};

class gate_session {
public:
  gate_session(tcp::socket Connected, gate::state &State)
      : Socket(std::move(Connected)), State(State), Number(++State.NextId) {}

  asio::awaitable<void> run();

private:
  using request_parser = http::request_parser<http::string_body>;

  asio::awaitable<bool> awaitRequest();
  asio::awaitable<bool> readRequest();
  asio::awaitable<error_code> readBody();
  asio::awaitable<bool> serve();
  asio::awaitable<bool> refuseUnreadable(error_code Failure, bool HeadCame);
  asio::awaitable<request_outcome> steer(gate_request &Request);
  asio::awaitable<void> runAttempts(gate_request &Request,
                                    request_outcome &Outcome);
  asio::awaitable<bool> attempt(gate_request &Request, target_handle Target,
                                request_outcome &Outcome);
  asio::awaitable<outbound_ptr> openConnection(const gate_request &Request,
                                               target_handle Target,
                                               request_outcome &Outcome);
  whole_request makeRequest(const gate_request &Request,
                            target_handle Target) const;
  target_call makeCall(const gate_request &Request,
                       const whole_request &Message,
                       const request_outcome &Outcome) const;
  void cancelAttempt(target_handle Target, outbound_ptr Connection);
  void reportToQuarantine(const gate_request &Request, target_handle Target,
                          attempt_id Attempt, const call_result &Result);
  bool refuseQuarantined(const gate_request &Request,
                         request_outcome &Outcome) const;
  bool concludeAttempt(gate_request &Request, target_handle Target,
                       call_result Result, std::chrono::nanoseconds Took,
                       request_outcome &Outcome);
  std::optional<target_handle> placeElsewhere(const gate_request &Request,
                                              target_handle Unresponsive,
                                              const request_outcome &Outcome);
  bool mayRetry(const gate_request &Request, const request_outcome &Outcome,
                bool NotRun);
  asio::awaitable<bool> sendAnswer(whole_answer Answer);
  asio::awaitable<bool> refuse(const error &Error, std::string_view Id);
  void logEnd(const gate_request &Request, const request_outcome &Outcome);
  caller_limits limits() const;

  tcp::socket Socket;
  gate::state &State;
  std::uint64_t Number;
  beast::flat_buffer Buffer{MaxPipelinedBytes + MaxBufferedBytes};
  /// Memory of the request's body.
  memory_reservation BodyMemory{State.Memory};
  std::optional<request_parser> Parser;
  whole_request Request;
  steady_time ArrivedAt;
};

caller_limits gate_session::limits() const {
  return State.Routes == nullptr ? caller_limits()
                                 : State.Routes->table().Limits;
}

/// Waits for the first byte of the next request.
asio::awaitable<bool> gate_session::awaitRequest() {
  if (Buffer.size() > 0)
    co_return true;
  socket_timeout Timer(Socket, limits().IdleTimeout + IdleMargin);
  State.IdleCallers.emplace(Number, &Socket);
  auto [Failure] = co_await Socket.async_wait(tcp::socket::wait_read, Awaited);
  State.IdleCallers.erase(Number);
  co_return !Failure && !hasClosed(Socket);
}

asio::awaitable<bool> gate_session::refuseUnreadable(error_code Failure,
                                                     bool HeadCame) {
  const bool Stalled = Failure == asio::error::operation_aborted;
  const bool NoMemory = Failure == asio::error::no_memory;
  if (!Stalled && !NoMemory &&
      Failure.category() !=
          http::make_error_code(http::error::bad_method).category())
    co_return false;
  if (Failure == http::error::end_of_stream ||
      Failure == http::error::partial_message)
    co_return false;
  error_kind Kind = error_kind::BadRequest;
  if (Stalled)
    Kind = error_kind::RequestStalled;
  else if (NoMemory)
    Kind = error_kind::QueueFull;
  else if (Failure == http::error::body_limit)
    Kind = error_kind::BodyTooLarge;
  else if (Failure == http::error::header_limit ||
           (!HeadCame && Failure == http::error::buffer_overflow))
    Kind = error_kind::HeaderTooLarge;
  Request.keep_alive(false);
  co_await refuse({Kind, Failure.message(), {}}, {});
  co_await linger(Socket);
  co_return false;
}

/// Reads the body in pieces and accounts for its memory as it grows.
asio::awaitable<error_code> gate_session::readBody() {
  socket_timeout Timer(Socket, limits().IdleTimeout);
  error_code Failure;
  while (!Failure && !Parser->is_done()) {
    std::tie(Failure, std::ignore) =
        co_await http::async_read_some(Socket, Buffer, *Parser, Awaited);
    if (!BodyMemory.resize(Parser->get().body().capacity()))
      Failure = asio::error::no_memory;
  }
  co_return Failure;
}

asio::awaitable<bool> gate_session::readRequest() {
  if (!co_await awaitRequest())
    co_return false;
  ArrivedAt = State.Clock.now();
  const caller_limits Limits = limits();
  Parser.emplace();
  Parser->header_limit(static_cast<std::uint32_t>(Limits.HeaderBytes));
  Parser->body_limit(Limits.BodyBytes);
  error_code Failure;
  {
    socket_timeout Timer(Socket, Limits.HeaderTimeout);
    std::tie(Failure, std::ignore) =
        co_await http::async_read_header(Socket, Buffer, *Parser, Awaited);
  }
  if (Failure)
    co_return co_await refuseUnreadable(Failure, false);
  if (Parser->get()[http::field::expect] == "100-continue") {
    constexpr std::string_view Line = "HTTP/1.1 100 Continue\r\n\r\n";
    co_await asio::async_write(Socket, asio::buffer(Line), Awaited);
  }
  if (!Parser->is_done())
    Failure = co_await readBody();
  if (Failure)
    co_return co_await refuseUnreadable(Failure, true);
  Request = Parser->release();
  co_return true;
}

asio::awaitable<bool> gate_session::sendAnswer(whole_answer Answer) {
  const bool Keep = Request.keep_alive() && !State.Leaving;
  Answer.keep_alive(Keep);
  socket_timeout Timer(Socket, WriteTimeout);
  auto [Failure, Count] = co_await http::async_write(Socket, Answer, Awaited);
  co_return Keep && !Failure;
}

asio::awaitable<bool> gate_session::refuse(const error &Error,
                                           std::string_view Id) {
  whole_answer Answer;
  Answer.version(11);
  State.Dialect.refuse(Answer.base(), Error, Id);
  Answer.prepare_payload();
  co_return co_await sendAnswer(std::move(Answer));
}

whole_request gate_session::makeRequest(const gate_request &Wanted,
                                        target_handle Target) const {
  whole_request Copy = Request;
  target_head Head;
  Head.TargetName = State.Targets[Target.Index].Name;
  if (Wanted.Workspace != nullptr)
    Head.Workspace = Wanted.Workspace->Name;
  Head.TimeLeft = std::max(
      milliseconds(1),
      duration_cast<milliseconds>(Wanted.Place.Deadline - State.Clock.now()));
  State.Dialect.rewriteRequest(Copy.base(), Head);
  Copy.version(11);
  Copy.keep_alive(true);
  Copy.prepare_payload();
  return Copy;
}

/// A pooled or new connection to the target. Null when none can be opened; the
/// failure has then been reported to the placer.
asio::awaitable<outbound_ptr>
gate_session::openConnection(const gate_request &Wanted, target_handle Target,
                             request_outcome &Outcome) {
  const endpoint_address Address = State.Targets[Target.Index].Address;
  outbound_ptr Idle = State.Pool.takeIdle(Address, Wanted.Route->Repeatable);
  if (Idle != nullptr)
    co_return Idle;
  auto Fresh = co_await State.Pool.connect(Address, Wanted.Place.Deadline);
  if (!failed(Fresh))
    co_return std::move(valueOf(Fresh));
  ++Outcome.Unreachable;
  if (!Outcome.MayHaveRun)
    Outcome.Error = errorOf(Fresh);
  State.finished({Target, 0, 0, target_result::Unreachable, {}, {}, {}});
  if (errorOf(Fresh).Kind == error_kind::TargetDown)
    State.targetCrashed(State.Targets[Target.Index], "connection refused");
  co_return nullptr;
}

/// Reserves another target that can take the request at once, in place of an
/// unresponsive one. Empty when there is none or no retry is allowed.
std::optional<target_handle>
gate_session::placeElsewhere(const gate_request &Wanted,
                             target_handle Unresponsive,
                             const request_outcome &Outcome) {
  place_request Again = Wanted.Place;
  Again.Tried.push_back(Unresponsive);
  const std::optional<target_handle> Next =
      State.Placer.placeNow(Again, State.Clock.now());
  if (!Next || mayRetry(Wanted, Outcome, false))
    return Next;
  State.finished({*Next, 0, 0, target_result::Abandoned, {}, {}, {}});
  return std::nullopt;
}

bool gate_session::mayRetry(const gate_request &Wanted,
                            const request_outcome &Outcome, bool NotRun) {
  if (!NotRun && !Wanted.Route->Repeatable)
    return false;
  if (Outcome.Sends >= Wanted.Route->MaxAttempts ||
      Wanted.Place.Deadline - State.Clock.now() < MinAttemptTime)
    return false;
  return State.Retries.tryTake(Wanted.Service);
}

namespace {

target_result resultOf(call_end End, unsigned Status) {
  constexpr unsigned FirstServerError = 500;
  switch (End) {
  case call_end::Answered:
    return Status >= FirstServerError ? target_result::Failed
                                      : target_result::Answered;
  case call_end::NotRun:
    return target_result::Shed;
  case call_end::Misdirected:
    return target_result::Misdirected;
  case call_end::Broken:
    return target_result::Failed;
  case call_end::Unresponsive:
    return target_result::TimedOut;
  case call_end::DeadlinePassed:
  case call_end::CallerGone:
    return target_result::Abandoned;
  }
  return target_result::Abandoned;
}

error_kind errorOfEnd(call_end End) {
  switch (End) {
  case call_end::NotRun:
  case call_end::Misdirected:
    return error_kind::TargetShed;
  case call_end::Unresponsive:
  case call_end::DeadlinePassed:
    return error_kind::TargetTimeout;
  case call_end::CallerGone:
    return error_kind::CallerGone;
  default:
    return error_kind::TargetFailed;
  }
}

} // namespace

/// Records the result of an attempt; true when another may follow.
bool gate_session::concludeAttempt(gate_request &Wanted, target_handle Target,
                                   call_result Result,
                                   std::chrono::nanoseconds Took,
                                   request_outcome &Outcome) {
  const bool NotRun =
      Result.End == call_end::NotRun || Result.End == call_end::Misdirected;
  const target_result Verdict =
      resultOf(Result.End, Result.Answer.result_int());
  const auto PauseFor =
      Result.End == call_end::Misdirected ? std::nullopt : Result.Head.PauseFor;
  State.finished({Target, Wanted.Place.Object, Wanted.Place.Kind, Verdict, Took,
                  Result.Head.Report, PauseFor});
  if (Result.Leaving)
    State.handleTargetLeaving(Target, Wanted.Id);
  // A shed attempt doesn't rule out that an earlier one ran.
  if (!NotRun || !Outcome.MayHaveRun)
    Outcome.Error = {errorOfEnd(Result.End), std::move(Result.Detail), {}};
  Outcome.MayHaveRun = Outcome.MayHaveRun || !NotRun;
  const bool Done = Result.End == call_end::Answered;
  if (Done)
    Outcome.Answer = std::move(Result.Answer);
  if (Done)
    Outcome.BodyMemory = std::move(Result.BodyMemory);
  if (Verdict == target_result::Answered ||
      Result.End == call_end::CallerGone ||
      Result.End == call_end::DeadlinePassed ||
      (!Outcome.Next && !mayRetry(Wanted, Outcome, NotRun)))
    return false;
  Wanted.Place.Tried.push_back(Target);
  return true;
}

/// Releases the target and connection of a request that is not sent.
void gate_session::cancelAttempt(target_handle Target,
                                 outbound_ptr Connection) {
  State.finished({Target, 0, 0, target_result::Abandoned, {}, {}, {}});
  State.Pool.putBack(State.Targets[Target.Index].Address,
                     std::move(Connection));
}

target_call gate_session::makeCall(const gate_request &Wanted,
                                   const whole_request &Message,
                                   const request_outcome &Outcome) const {
  target_call Call;
  Call.Memory = &State.Memory;
  Call.Request = &Message;
  Call.Id = Wanted.Id;
  Call.Deadline = Wanted.Place.Deadline;
  Call.CancelWithCaller = Wanted.Route->Repeatable;
  if (Wanted.Route->Repeatable && Outcome.Sends + 1 < Wanted.Route->MaxAttempts)
    Call.HeadTimeout =
        std::max(MinHeadTimeout,
                 duration_cast<milliseconds>(
                     HeadTimeoutFactor *
                     State.Placer.expectedService(Wanted.Place.Kind, false)));
  return Call;
}

/// Reports the end of an attempt to the quarantine. One without an answer may
/// have crashed its target.
void gate_session::reportToQuarantine(const gate_request &Wanted,
                                      target_handle Target, attempt_id Attempt,
                                      const call_result &Result) {
  switch (Result.End) {
  case call_end::Answered:
    State.Quarantine.ended(Attempt);
    // A server error may come from a target that fails every request, so it
    // doesn't clear this one.
    if (http::to_status_class(Result.Answer.result()) !=
        http::status_class::server_error)
      State.Quarantine.clear(Wanted.Fingerprint, State.Clock.now());
    return;
  case call_end::Misdirected:
    // Another process has taken over the address.
    State.Quarantine.ended(Attempt);
    return State.targetCrashed(State.Targets[Target.Index],
                               "address taken over");
  case call_end::NotRun:
  case call_end::CallerGone:
    return State.Quarantine.ended(Attempt);
  case call_end::Broken:
  case call_end::Unresponsive:
  case call_end::DeadlinePassed:
    break;
  }
  logEvent(log_level::Info, "attempt_lost",
           {{"request_id", Wanted.Id},
            {"fingerprint", Wanted.Fingerprint},
            {"target", State.Targets[Target.Index].Name},
            {"detail", Result.Detail}});
  const auto &Known = State.Targets[Target.Index];
  const steady_time Now = State.Clock.now();
  const bool IsDead = State.Quarantine.lost(Attempt, Now);
  if (IsDead && State.Quarantine.place(Wanted.Fingerprint, Now).Placement ==
                    placement::Quarantined)
    State.reportQuarantine(Wanted.Fingerprint, Known);
  else if (Result.End == call_end::Broken && !IsDead)
    State.checkAlive(Known);
}

/// Refuses a request that was quarantined while it waited or since its last
/// attempt; true if so.
bool gate_session::refuseQuarantined(const gate_request &Wanted,
                                     request_outcome &Outcome) const {
  const placement_decision Decision =
      State.Quarantine.place(Wanted.Fingerprint, State.Clock.now());
  if (Decision.Placement != placement::Quarantined)
    return false;
  if (!Outcome.MayHaveRun)
    Outcome.Error = {error_kind::Quarantined,
                     "targets died while this request ran",
                     Decision.RetryAfter};
  return true;
}

asio::awaitable<bool> gate_session::attempt(gate_request &Wanted,
                                            target_handle Target,
                                            request_outcome &Outcome) {
  outbound_ptr Connection = co_await openConnection(Wanted, Target, Outcome);
  if (Connection == nullptr) {
    Wanted.Place.Tried.push_back(Target);
    co_return Outcome.Unreachable < MaxConnectFailures;
  }
  if (!State.Placer.accepts(Target, State.Clock.now())) {
    // The target stopped accepting while the connection was opened.
    cancelAttempt(Target, std::move(Connection));
    Wanted.Place.Tried.push_back(Target);
    co_return true;
  }
  if (refuseQuarantined(Wanted, Outcome)) {
    cancelAttempt(Target, std::move(Connection));
    co_return false;
  }
  const whole_request Message = makeRequest(Wanted, Target);
  memory_reservation Copy(State.Memory);
  if (!Copy.resize(Message.body().size())) {
    cancelAttempt(Target, std::move(Connection));
    if (!Outcome.MayHaveRun)
      Outcome.Error = {error_kind::QueueFull, "too many bodies are held", {}};
    co_return false;
  }
  target_call Call = makeCall(Wanted, Message, Outcome);
  Call.MayAbandon = [&] {
    Outcome.Next = placeElsewhere(Wanted, Target, Outcome);
    return Outcome.Next.has_value();
  };
  const attempt_id Attempt = ++State.NextId;
  State.Quarantine.started(Attempt, Wanted.Fingerprint,
                           State.Targets[Target.Index].Start,
                           State.Clock.now());
  ++Outcome.Sends;
  Outcome.Target = State.Targets[Target.Index].Name;
  const endpoint_address Address = State.Targets[Target.Index].Address;
  const steady_time Sent = State.Clock.now();
  const boot_time SentAt = State.Clock.boot();
  call_result Result =
      co_await callTarget(State.Dialect, {Socket, Buffer}, *Connection, Call);
  const steady_time Now = State.Clock.now();
  if (Result.ConnectionReusable)
    State.Pool.putBack(Address, std::move(Connection));
  else
    State.Pool.drop(Address, std::move(Connection),
                    Result.End == call_end::Unresponsive);
  reportToQuarantine(Wanted, Target, Attempt, Result);
  State.noteTargetLimit(Target, Wanted.Id, Result, SentAt);
  co_return concludeAttempt(Wanted, Target, std::move(Result), Now - Sent,
                            Outcome);
}

asio::awaitable<void> gate_session::runAttempts(gate_request &Wanted,
                                                request_outcome &Outcome) {
  for (bool Again = true; Again;) {
    const steady_time Asked = State.Clock.now();
    result<target_handle> Target = Outcome.Next.value_or(target_handle());
    if (!Outcome.Next)
      Target = co_await State.place(Wanted.Place);
    Outcome.Next.reset();
    Outcome.Waited += duration_cast<microseconds>(State.Clock.now() - Asked);
    if (failed(Target)) {
      if (!Outcome.MayHaveRun)
        Outcome.Error = errorOf(Target);
      co_return;
    }
    if (readPipelined(Socket, Buffer, MaxPipelinedBytes)) {
      State.finished(
          {valueOf(Target), 0, 0, target_result::Abandoned, {}, {}, {}});
      Outcome.Error = {error_kind::CallerGone, "closed while it waited", {}};
      co_return;
    }
    Outcome.Answer.reset();
    Outcome.BodyMemory.reset();
    Again = co_await attempt(Wanted, valueOf(Target), Outcome);
  }
}

asio::awaitable<request_outcome> gate_session::steer(gate_request &Wanted) {
  request_outcome Outcome;
  if (refuseQuarantined(Wanted, Outcome))
    co_return Outcome;
  const bool Limited =
      Wanted.Workspace != nullptr && Wanted.Workspace->Rate > 0;
  if (Limited) {
    const status Passed = co_await State.Tokens.acquire(Wanted.Workspace->Name,
                                                        Wanted.Place.Deadline);
    if (failed(Passed)) {
      Outcome.Error = errorOf(Passed);
      co_return Outcome;
    }
  }
  State.Retries.countRequest(Wanted.Service);
  const steady_time PassedAt = State.Clock.now();
  co_await runAttempts(Wanted, Outcome);
  if (Limited && !Outcome.MayHaveRun)
    State.Tokens.refund(Wanted.Workspace->Name, PassedAt);
  co_return Outcome;
}

void gate_session::logEnd(const gate_request &Wanted,
                          const request_outcome &Outcome) {
  const steady_time Now = State.Clock.now();
  const auto Took = duration_cast<microseconds>(Now - ArrivedAt);
  const std::string Workspace =
      Wanted.Workspace == nullptr ? std::string() : Wanted.Workspace->Name;
  const auto ProofAge =
      duration_cast<milliseconds>(State.Clock.boot() - State.ConfigConfirmedAt);
  logEvent(
      log_level::Info, "request",
      {{"request_id", Wanted.Id},
       {"route", Wanted.Route->Name},
       {"workspace", Workspace},
       {"service", Wanted.Service},
       {"object", State.Dialect.read(Request.base()).Object},
       {"config", Wanted.Routes->table().Version},
       {"config_age_ms", ProofAge.count()},
       {"target", Outcome.Target},
       {"sends", Outcome.Sends},
       {"unreachable", Outcome.Unreachable},
       {"wait_us", Outcome.Waited.count()},
       {"outcome", Outcome.Answer ? std::string_view("answered")
                                  : answerOf(Outcome.Error.Kind).Name},
       {"status", Outcome.Answer ? Outcome.Answer->result_int() : 0U},
       {"detail", Outcome.Answer ? std::string() : Outcome.Error.Detail},
       {"allowed_ms",
        duration_cast<milliseconds>(Wanted.Place.Deadline - ArrivedAt).count()},
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

asio::awaitable<bool> gate_session::serve() {
  const scoped_count Scope(State.InFlight);
  ++State.Requests;
  result<gate_request> Admitted = State.admit(Request, ArrivedAt);
  if (failed(Admitted)) {
    const std::string Id(State.Dialect.read(Request.base()).Id);
    const error &Error = errorOf(Admitted);
    logEvent(log_level::Info, "request",
             {{"request_id", Id},
              {"outcome", answerOf(Error.Kind).Name},
              {"detail", Error.Detail},
              {"config",
               State.Routes == nullptr ? 0U : State.Routes->table().Version}});
    co_return co_await refuse(Error, Id);
  }
  gate_request &Wanted = valueOf(Admitted);
  request_outcome Outcome = co_await steer(Wanted);
  logEnd(Wanted, Outcome);
  if (Outcome.Error.Kind == error_kind::CallerGone && !Outcome.Answer)
    co_return false;
  if (!Outcome.Answer)
    co_return co_await refuse(Outcome.Error, Wanted.Id);
  const bool HeadOnly = Request.method() == http::verb::head;
  State.Dialect.rewriteAnswer(Outcome.Answer->base());
  if (!HeadOnly)
    Outcome.Answer->prepare_payload();
  co_return co_await sendAnswer(std::move(*Outcome.Answer));
}

asio::awaitable<void> gate_session::run() {
  error_code Ignored;
  Socket.set_option(tcp::no_delay(true), Ignored);
  limitSilence(Socket.native_handle(), connection_kind::Caller);
  while (co_await readRequest()) {
    const bool Keep = co_await serve();
    // Idle connections must not hold body memory.
    Request = whole_request();
    BodyMemory.resize(0);
    if (!Keep)
      break;
  }
  Socket.shutdown(tcp::socket::shutdown_both, Ignored);
}

} // namespace

asio::awaitable<void> serveCaller(tcp::socket Socket, gate::state &State) {
  const scoped_count Scope(State.Connections);
  gate_session Session(std::move(Socket), State);
  co_await Session.run();
}

} // namespace magnoliaspread
