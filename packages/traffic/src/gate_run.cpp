#include "gate_run_p.h"

#include <magnoliaspread/httpanswer.h>
#include <magnoliaspread/log.h>

#include <algorithm>
#include <optional>

namespace magnoliaspread {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

/// Failed connection attempts after which a request is given up.
constexpr std::uint32_t MaxConnectFailures = 3;
/// A repeatable request may go to another target after this multiple of its
/// expected service time without an answer.
constexpr int HeadTimeoutFactor = 3;
constexpr milliseconds MinHeadTimeout{900};
/// Least time left for a further attempt.
constexpr milliseconds MinAttemptTime{50};

class gate_run {
public:
  gate_run(gate::state &State, caller_watch &Caller,
           const whole_request &Request)
      : State(State), Caller(Caller), Request(Request) {}

  asio::awaitable<request_outcome> steer(gate_request &Request);

private:
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
  bool refuseBeforeSend(const gate_request &Request,
                        request_outcome &Outcome) const;
  bool concludeAttempt(gate_request &Request, target_handle Target,
                       call_result Result, std::chrono::nanoseconds Took,
                       request_outcome &Outcome);
  std::optional<target_handle> placeElsewhere(const gate_request &Request,
                                              target_handle Unresponsive,
                                              const request_outcome &Outcome);
  bool mayRetry(const gate_request &Request, const request_outcome &Outcome,
                bool NotRun);
  gate::state &State;
  caller_watch &Caller;
  const whole_request &Request;
};

whole_request gate_run::makeRequest(const gate_request &Wanted,
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
gate_run::openConnection(const gate_request &Wanted, target_handle Target,
                         request_outcome &Outcome) {
  const endpoint_address Address = State.Targets[Target.Index].Address;
  outbound_ptr Idle = State.Pool.takeIdle(Address, Wanted.Route->Repeatable);
  if (Idle != nullptr)
    co_return Idle;
  auto Fresh = co_await State.connectTo(Target, Wanted.Place.Deadline);
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
gate_run::placeElsewhere(const gate_request &Wanted, target_handle Unresponsive,
                         const request_outcome &Outcome) {
  if (!State.endsInTime(Wanted.Place))
    return std::nullopt;
  place_request Again = Wanted.Place;
  Again.Tried.push_back(Unresponsive);
  const std::optional<target_handle> Next = State.placeNow(Again);
  if (!Next || mayRetry(Wanted, Outcome, false))
    return Next;
  State.finished({*Next, 0, 0, target_result::Abandoned, {}, {}, {}});
  return std::nullopt;
}

bool gate_run::mayRetry(const gate_request &Wanted,
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
bool gate_run::concludeAttempt(gate_request &Wanted, target_handle Target,
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
                  Result.Head.Report, PauseFor, Result.Answer.body().size()},
                 Result.End == call_end::Answered || Result.Heard);
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
void gate_run::cancelAttempt(target_handle Target, outbound_ptr Connection) {
  State.finished({Target, 0, 0, target_result::Abandoned, {}, {}, {}});
  State.Pool.putBack(State.Targets[Target.Index].Address,
                     std::move(Connection));
}

target_call gate_run::makeCall(const gate_request &Wanted,
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
void gate_run::reportToQuarantine(const gate_request &Wanted,
                                  target_handle Target, attempt_id Attempt,
                                  const call_result &Result) {
  switch (Result.End) {
  case call_end::Answered:
    State.Quarantine.ended(Attempt);
    // A server error may come from a target that fails every request, so it
    // doesn't clear this one.
    if (statusClassOf(Result.Answer) != http::status_class::server_error)
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
bool gate_run::refuseQuarantined(const gate_request &Wanted,
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

/// Gives up a request that has waited for its target and connection, if it
/// shouldn't be sent any more; true if so.
bool gate_run::refuseBeforeSend(const gate_request &Wanted,
                                request_outcome &Outcome) const {
  if (Caller.gone()) {
    Outcome.Error = {error_kind::CallerGone, "closed while it waited", {}};
    return true;
  }
  if (refuseQuarantined(Wanted, Outcome))
    return true;
  // One that was given up elsewhere can only gain by being sent.
  if (Outcome.MayHaveRun || State.endsInTime(Wanted.Place))
    return false;
  Outcome.Error = endsTooSoon();
  return true;
}

asio::awaitable<bool> gate_run::attempt(gate_request &Wanted,
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
  if (refuseBeforeSend(Wanted, Outcome)) {
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
    if (State.canForward(Wanted))
      return true;
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
      co_await callTarget(State.Dialect, Caller, *Connection, Call);
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

asio::awaitable<void> gate_run::runAttempts(gate_request &Wanted,
                                            request_outcome &Outcome) {
  const caller_subscription WhilePlaced(
      Caller, [&] { State.cancelPlacement(Wanted.Place.Id); });
  bool MayForward = true;
  for (bool Again = true; Again;) {
    if (MayForward && !Outcome.Next && State.canForward(Wanted)) {
      MayForward = false;
      if (co_await forwardRequest(State, Caller, Request, Wanted, Outcome))
        co_return;
    }
    if (!Wanted.ForwardedBy.empty() &&
        State.Path.state() == path_state::Broken && !Outcome.MayHaveRun) {
      Outcome.Error = {error_kind::TargetUnreachable,
                       "this instance reaches no targets",
                       {}};
      co_return;
    }
    const steady_time Asked = State.Clock.now();
    result<target_handle> Target = Outcome.Next.value_or(target_handle());
    if (!Outcome.Next)
      Target = co_await State.place(Wanted.Place);
    Outcome.Next.reset();
    Outcome.Waited += duration_cast<microseconds>(State.Clock.now() - Asked);
    if (Caller.gone()) {
      if (!failed(Target))
        State.finished(
            {valueOf(Target), 0, 0, target_result::Abandoned, {}, {}, {}});
      Outcome.Error = {error_kind::CallerGone, "closed while it waited", {}};
      co_return;
    }
    if (failed(Target)) {
      if (!Outcome.MayHaveRun)
        Outcome.Error = errorOf(Target);
      co_return;
    }
    Outcome.Answer.reset();
    Outcome.BodyMemory.reset();
    Again = co_await attempt(Wanted, valueOf(Target), Outcome);
  }
}

asio::awaitable<request_outcome> gate_run::steer(gate_request &Wanted) {
  request_outcome Outcome;
  Outcome.Sends = Wanted.EarlierSends;
  if (refuseQuarantined(Wanted, Outcome))
    co_return Outcome;
  if (!State.endsInTime(Wanted.Place)) {
    Outcome.Error = endsTooSoon();
    co_return Outcome;
  }
  // The peer takes the token.
  if (State.canForward(Wanted) &&
      co_await forwardRequest(State, Caller, Request, Wanted, Outcome))
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

} // namespace

asio::awaitable<request_outcome> runRequest(gate::state &State,
                                            caller_watch &Caller,
                                            const whole_request &Request,
                                            gate_request &Wanted) {
  gate_run Run(State, Caller, Request);
  co_return co_await Run.steer(Wanted);
}

} // namespace magnoliaspread
