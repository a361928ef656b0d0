/// Requests that a peer serves while this instance reaches no targets.
#include "forwardhead_p.h"
#include "gate_run_p.h"

#include <magnoliaspread/log.h>

#include <algorithm>

namespace magnoliaspread {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

/// Peers that a request is offered to.
constexpr std::size_t MaxPeers = 3;
/// Above the longest round trip between regions.
constexpr milliseconds ConnectTimeout{400};

/// The request as the caller sent it, for the gate of a peer.
whole_request makeForwarded(const gate::state &State,
                            const whole_request &Request,
                            const gate_request &Wanted,
                            const request_outcome &Outcome) {
  whole_request Copy = Request;
  State.Dialect.eraseHopByHop(Copy.base());
  Copy.version(11);
  Copy.keep_alive(true);
  Copy.prepare_payload();
  const auto Waited =
      duration_cast<milliseconds>(State.Clock.now() - Wanted.Place.Arrived);
  writeForwardNote(Copy.base(), {State.Settings.Name, Waited, Outcome.Sends},
                   Wanted.Id, State.Settings.Secret, State.Clock.wall());
  return Copy;
}

asio::awaitable<outbound_ptr> connectToPeer(gate::state &State,
                                            const forward_peer &Peer,
                                            const gate_request &Wanted) {
  outbound_ptr Idle =
      State.Pool.takeIdle(Peer.Address, Wanted.Route->Repeatable);
  if (Idle != nullptr)
    co_return Idle;
  auto Fresh = co_await State.Pool.connect(
      Peer.Address,
      std::min(Wanted.Place.Deadline, State.Clock.now() + ConnectTimeout));
  co_return failed(Fresh) ? nullptr : std::move(valueOf(Fresh));
}

/// Records what came from the peer; false when another one may be asked.
bool concludeForward(gate::state &State, const gate_request &Wanted,
                     call_result Result, request_outcome &Outcome) {
  const bool Answered = Result.End == call_end::Answered;
  const std::optional<error> Refusal =
      Answered ? readRefusal(Result.Answer.base()) : std::nullopt;
  if (Answered && !Refusal) {
    Outcome.Answer = std::move(Result.Answer);
    Outcome.BodyMemory = std::move(Result.BodyMemory);
    return true;
  }
  const error Error = Refusal.value_or(
      error{Result.End == call_end::DeadlinePassed ? error_kind::TargetTimeout
                                                   : error_kind::TargetFailed,
            "lost at a peer: " + Result.Detail,
            {}});
  const bool NotRun = answerOf(Error.Kind).Run == run_state::NotRun;
  if (!NotRun || !Outcome.MayHaveRun)
    Outcome.Error = Error;
  Outcome.MayHaveRun = Outcome.MayHaveRun || !NotRun;
  if (Result.End == call_end::CallerGone) {
    Outcome.Error = {error_kind::CallerGone, "closed while a peer served", {}};
    return true;
  }
  // The peer has lost its path too, or doesn't know this fleet's secret.
  return !(Refusal && (Refusal->Kind == error_kind::TargetUnreachable ||
                       Refusal->Kind == error_kind::PeerRejected)) ||
         Wanted.Place.Deadline <= State.Clock.now();
}

} // namespace

bool gate::state::canForward(const gate_request &Wanted) const {
  return Path.state() == path_state::Broken && Wanted.ForwardedBy.empty() &&
         !Wanted.Id.empty() &&
         ForwardPeers.any(Wanted.Place.Homes, Clock.now());
}

asio::awaitable<bool> forwardRequest(gate::state &State, caller_watch &Caller,
                                     const whole_request &Request,
                                     const gate_request &Wanted,
                                     request_outcome &Outcome) {
  std::vector<std::string> Tried;
  while (Tried.size() < MaxPeers && !Caller.gone()) {
    const auto Peer =
        State.ForwardPeers.choose(Wanted.Place.Homes, Tried, State.Clock.now());
    if (!Peer)
      co_return false;
    Tried.push_back(Peer->Name);
    outbound_ptr Connection = co_await connectToPeer(State, *Peer, Wanted);
    if (Connection == nullptr) {
      State.ForwardPeers.failed(Peer->Name, State.Clock.now());
      continue;
    }
    const whole_request Message =
        makeForwarded(State, Request, Wanted, Outcome);
    memory_reservation Copy(State.Memory);
    if (!Copy.resize(Message.body().size())) {
      State.Pool.putBack(Peer->Address, std::move(Connection));
      co_return false;
    }
    target_call Call;
    Call.Memory = &State.Memory;
    Call.Request = &Message;
    Call.Id = Wanted.Id;
    Call.Deadline = Wanted.Place.Deadline;
    Call.CancelWithCaller = Wanted.Route->Repeatable;
    call_result Result =
        co_await callTarget(State.Dialect, Caller, *Connection, Call);
    if (Result.ConnectionReusable)
      State.Pool.putBack(Peer->Address, std::move(Connection));
    else
      State.Pool.drop(Peer->Address, std::move(Connection), false);
    Outcome.Peer = Peer->Name;
    ++State.Forwarded;
    if (concludeForward(State, Wanted, std::move(Result), Outcome))
      co_return true;
    State.ForwardPeers.failed(Peer->Name, State.Clock.now());
    logEvent(log_level::Info, "forward_refused",
             {{"request_id", Wanted.Id}, {"peer", Peer->Name}});
  }
  co_return Caller.gone();
}

} // namespace magnoliaspread
