/// Targets of the placer, and the queue of requests that wait for them.
#include <magnoliaspread/placer.h>

#include "placermath_p.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace magnoliaspread {

using std::chrono::duration;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

constexpr double ColdTokenBurst = 1;
constexpr milliseconds MinRetryAfter{100};
constexpr milliseconds MaxRetryAfter{1500};
/// A request is refused when its expected answer takes more than this
/// fraction of the time left.
constexpr double DeadlinePart = 0.9;

bool tried(const place_request &Request, target_handle Target) {
  return std::find(Request.Tried.begin(), Request.Tried.end(), Target) !=
         Request.Tried.end();
}

} // namespace

placer::target_state *placer::find(target_handle Target) {
  return Target.valid() && Target.Index < Targets.size()
             ? &Targets[Target.Index]
             : nullptr;
}

const placer::target_state *placer::find(target_handle Target) const {
  return const_cast<placer *>(this)->find(Target);
}

void placer::setTargets(const std::vector<placer_target> &Rows,
                        steady_time Now) {
  for (target_state &State : Targets)
    State.Present = false;
  for (std::vector<target_handle> &Handles : ByService)
    Handles.clear();
  ById.clear();
  for (const placer_target &Row : Rows) {
    if (Row.Handle.Index >= Targets.size())
      Targets.resize(Row.Handle.Index + 1U);
    if (Row.Service.Index >= ByService.size())
      ByService.resize(Row.Service.Index + 1U);
    target_state &State = Targets[Row.Handle.Index];
    if (State.Info.Id != Row.Id) {
      Pushback.forget(Row.Handle);
      Paces.forget(Row.Handle);
      Affinity.forget(Row.Handle);
      State = target_state();
      State.DecayedAt = Now;
      State.ReportedAt = Now;
      State.ColdRefilledAt = Now;
    }
    const steady_time ColdUntil = std::max(State.Info.ColdUntil, Row.ColdUntil);
    State.Info = Row;
    State.Info.ColdUntil = ColdUntil;
    State.Present = true;
    ByService[Row.Service.Index].push_back(Row.Handle);
    ById[Row.Id] = Row.Handle;
  }
  updateCapacities();
}

double placer::loadOf(target_handle Target, steady_time Now) const {
  const target_state *State = find(Target);
  if (State == nullptr)
    return 0;
  return State->InFlight + State->Others * decayFactor(Now - State->ReportedAt,
                                                       Policy.ReportHalfLife);
}

bool placer::coldAllowed(const target_state &Target, steady_time Now) const {
  if (Target.Info.ColdUntil <= Now)
    return true;
  const double Tokens =
      Target.ColdTokens +
      Target.Info.ColdRate * seconds(Now - Target.ColdRefilledAt);
  return Target.Info.ColdRate > 0 && Tokens >= 1;
}

bool placer::usable(const target_state &Target, const place_request &Request,
                    steady_time Now) const {
  if (!Target.Present || !Target.Info.Open || Target.PausedUntil > Now)
    return false;
  const target_access Access = Pushback.access(Target.Info.Handle, Now);
  if (Access == target_access::Paused ||
      (Access == target_access::Probing && Target.InFlight > 0))
    return false;
  if (Request.Homes.any() && !Request.Homes.test(Target.Info.Region))
    return false;
  return coldAllowed(Target, Now) && !tried(Request, Target.Info.Handle) &&
         permitAllows(Target.Info.Handle, Request, Now);
}

error placer::refusal(double Seconds) const {
  const auto Wait = duration_cast<milliseconds>(duration<double>(Seconds));
  return {error_kind::NoCapacity, "no target can answer in time",
          std::clamp(Wait, MinRetryAfter, MaxRetryAfter)};
}

/// The error when no target is usable. If all targets are paused or at their
/// limits, the retry time is when the first one may be used.
error placer::noUsableTarget(const place_request &Request,
                             steady_time Now) const {
  error Refusal = refusal(seconds(MaxRetryAfter) / 3);
  if (Request.Service.Index >= ByService.size())
    return Refusal;
  std::optional<steady_time> First;
  for (const target_handle Handle : ByService[Request.Service.Index]) {
    const target_state &State = Targets[Handle.Index];
    const bool Allowed =
        Request.Homes.none() || Request.Homes.test(State.Info.Region);
    if (!State.Present || !State.Info.Open || !Allowed)
      continue;
    std::optional<steady_time> Until = Pushback.pausedUntil(Handle, Now);
    if (permitOf(Handle) == permit_state::Denied)
      Until =
          std::max(Until.value_or(Now), Now + Permits->untilAvailable(Handle));
    if (!Until)
      return Refusal;
    First = std::min(First.value_or(*Until), *Until);
  }
  if (First)
    Refusal.RetryAfter = std::chrono::ceil<milliseconds>(*First - Now);
  return Refusal;
}

placement_verdict placer::decide(const place_request &Request, steady_time Now,
                                 wait_reason &Wait) {
  const std::optional<choice> Choice = chooseTarget(Request, Now);
  const double Left = seconds(Request.Deadline - Now);
  if (Admission.enabled())
    return decideByForecast(Request, Choice, Now, Wait);
  if (!Choice)
    return noUsableTarget(Request, Now);
  if (Choice->Expected > Left * DeadlinePart)
    return refusal(Choice->Expected);
  const bool NeedsPermit = permitOf(Choice->Target) == permit_state::Obtainable;
  if (Choice->HasFreeSlot && !NeedsPermit) {
    start(Request, Choice->Target, Now);
    if (Choice->IsNearHolder)
      Crossing.noteNearHolder();
    return place_send{Choice->Target};
  }
  const double Whole = seconds(Request.Deadline - Request.Arrived);
  if (seconds(Now - Request.Arrived) > Whole * Policy.WaitPart)
    return refusal(Choice->Expected);
  Wait = {Choice->Target, Choice->HasFreeSlot && NeedsPermit, false};
  return place_wait{};
}

void placer::start(const place_request &Request, target_handle Target,
                   steady_time Now) {
  target_state &State = Targets[Target.Index];
  ++State.InFlight;
  ++InFlight;
  if (Permits != nullptr)
    Permits->spend(Target);
  noteStart(Request, Target, Now);
  if (Request.Object != 0 && holderOf(Request.Object, Target) == nullptr)
    recordRun(Request.Object, Request.Kind, Target, false, Now);
  if (State.Info.ColdUntil <= Now)
    return;
  const double Gained =
      State.Info.ColdRate * seconds(Now - State.ColdRefilledAt);
  State.ColdTokens = std::min(ColdTokenBurst, State.ColdTokens + Gained) - 1;
  State.ColdRefilledAt = Now;
}

placement_verdict placer::place(const place_request &Request, steady_time Now) {
  if (Request.Tried.empty())
    Demand.count(Request.Service, serviceSeconds(Request, true), Now);
  updatePlan(Now);
  noteArrival(Request, Now);
  wait_reason Wait;
  placement_verdict Verdict = decide(Request, Now, Wait);
  if (!std::holds_alternative<place_wait>(Verdict))
    return Verdict;
  if (Waiting.size() >= Policy.MaxWaiting)
    return queueFull(Request, Now);
  ++Targets[Wait.Target.Index].Queued;
  Waiting.push_back({Request, Wait});
  updatePermitRequests();
  return Verdict;
}

std::optional<target_handle> placer::placeNow(const place_request &Request,
                                              steady_time Now) {
  wait_reason Ignored;
  Ignored.OnlyNow = true;
  const placement_verdict Verdict = decide(Request, Now, Ignored);
  const auto *Send = std::get_if<place_send>(&Verdict);
  return Send == nullptr ? std::nullopt : std::optional(Send->Target);
}

std::vector<place_grant> placer::poll(steady_time Now) {
  std::vector<place_grant> Grants;
  updateInFlight(Now);
  if (Waiting.empty())
    return Grants;
  // Requests that can still meet their latency target go first.
  const auto Order = [Now](const waiting_request &Row) {
    return std::tuple(Row.Request.GoodUntil <= Now, Row.Request.Priority,
                      Row.Request.Arrived, Row.Request.Id);
  };
  std::sort(Waiting.begin(), Waiting.end(),
            [&](const waiting_request &A, const waiting_request &B) {
              return Order(A) < Order(B);
            });
  for (const waiting_request &Row : Waiting)
    Targets[Row.Wait.Target.Index].Queued = 0;
  std::vector<waiting_request> StillQueued;
  for (waiting_request &Row : Waiting) {
    placement_verdict Verdict = decide(Row.Request, Now, Row.Wait);
    if (std::holds_alternative<place_wait>(Verdict)) {
      ++Targets[Row.Wait.Target.Index].Queued;
      StillQueued.push_back(std::move(Row));
      continue;
    }
    Grants.push_back({Row.Request.Id, std::move(Verdict)});
  }
  Waiting = std::move(StillQueued);
  updatePermitRequests();
  return Grants;
}

bool placer::cancel(std::uint64_t Id) {
  const auto Found = std::find_if(
      Waiting.begin(), Waiting.end(),
      [Id](const waiting_request &Row) { return Row.Request.Id == Id; });
  if (Found == Waiting.end())
    return false;
  --Targets[Found->Wait.Target.Index].Queued;
  Waiting.erase(Found);
  updatePermitRequests();
  return true;
}

void placer::close(target_handle Target) {
  if (target_state *State = find(Target))
    State->Info.Open = false;
}

bool placer::accepts(target_handle Target, steady_time Now) const {
  const target_state *State = find(Target);
  return State != nullptr && State->Present && State->Info.Open &&
         Pushback.access(Target, Now) != target_access::Paused;
}

} // namespace magnoliaspread
