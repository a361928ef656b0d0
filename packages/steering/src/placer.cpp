#include <magnoliaspread/placer.h>

#include <magnoliaspread/ownership.h>

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace magnoliaspread {

using std::chrono::duration;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

namespace {

/// Rendezvous candidates compared for one request.
constexpr std::size_t MaxCandidates = 4;
/// Weight of a new sample in a moving average.
constexpr double SampleWeight = 0.15;
constexpr double FailureWeight = 0.25;
/// Bounds of a target's slowness; one outlier must not exclude the target.
constexpr double MinSlowness = 0.5;
constexpr double MaxSlowness = 20;
/// Extra time of a target with failure score 1, in latency targets.
constexpr double FailurePenalty = 2.5;
constexpr double ColdTokenBurst = 1;
constexpr milliseconds MinRetryAfter{100};
constexpr milliseconds MaxRetryAfter{1500};
/// A request is refused when its expected answer takes more than this
/// fraction of the time left.
constexpr double DeadlinePart = 0.9;
/// Consecutive failures after which a reachable target is paused.
constexpr std::uint32_t FailuresToPause = 2;

double seconds(steady_time::duration Time) {
  return duration<double>(Time).count();
}

double decayFactor(steady_time::duration Age, milliseconds HalfLife) {
  return std::exp2(-seconds(Age) / seconds(HalfLife));
}

/// Uniform over (0, 1].
double unit(std::uint64_t Bits) {
  constexpr double Scale = 1.0 / 9007199254740992.0;
  return (static_cast<double>(Bits >> 11U) + 1) * Scale;
}

/// Holder updates queued for peers.
constexpr std::size_t MaxQueuedUpdates = 4096;

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

placer::holder *placer::holderOf(std::uint64_t Object, target_handle Target) {
  const auto Found = Objects.find(Object);
  if (Found == Objects.end())
    return nullptr;
  for (holder &Row : Found->second)
    if (Row.Target == Target)
      return &Row;
  return nullptr;
}

bool placer::isWarm(target_handle Target, std::uint64_t Object,
                    steady_time Now) const {
  const holder *Row = const_cast<placer *>(this)->holderOf(Object, Target);
  return Row != nullptr && !Row->WarmingSince &&
         Now - Row->Used < Policy.WarmTime;
}

double placer::serviceSeconds(const place_request &Request, bool Warm) const {
  const double Good = seconds(Request.GoodUntil - Request.Arrived);
  const auto Found = Times.find(Request.Kind);
  if (Found != Times.end()) {
    const double Known = Warm ? Found->second.Warm : Found->second.Cold;
    if (Known > 0)
      return Known;
  }
  return Good * (Warm ? Policy.WarmGuess : Policy.ColdGuess);
}

nanoseconds placer::expectedService(std::uint64_t Kind, bool Warm) const {
  const auto Found = Times.find(Kind);
  if (Found == Times.end())
    return nanoseconds(0);
  return duration_cast<nanoseconds>(
      duration<double>(Warm ? Found->second.Warm : Found->second.Cold));
}

/// Expected wait for a slot of the target, in seconds, if each request ahead
/// runs for \p ServiceSeconds.
double placer::waitSeconds(const target_state &Target, double ServiceSeconds,
                           steady_time Now) const {
  const double Slots = std::max(1U, Target.Info.Slots);
  const double Ahead = loadOf(Target.Info.Handle, Now) +
                       static_cast<double>(Target.Queued) + 1 - Slots;
  return std::max(0.0, Ahead) / Slots * ServiceSeconds;
}

/// Expected time to the answer of a request that is sent or queued now, in
/// seconds.
double placer::expected(const target_state &Target,
                        const place_request &Request, double ServiceSeconds,
                        steady_time Now) const {
  const double Wait = waitSeconds(Target, serviceSeconds(Request, true), Now);
  const double Decay =
      decayFactor(Now - Target.DecayedAt, Policy.FailureHalfLife);
  const double Slow = 1 + (Target.Slowness - 1) * Decay;
  const auto Distance = static_cast<std::size_t>(Target.Info.Distance);
  double Travel = seconds(Policy.RoundTrip[Distance]);
  // The owner of the limit is as far away as the target.
  if (permitOf(Target.Info.Handle) == permit_state::Obtainable)
    Travel *= 2;
  return Travel + (Wait + ServiceSeconds) * Slow +
         Target.FailureScore * Decay * FailurePenalty *
             seconds(Request.GoodUntil - Request.Arrived);
}

/// Rendezvous weight of a target for an object without a holder. Each region
/// places as many of its objects in its own targets as their slots can serve.
double placer::weight(const target_state &Target, bool Large) const {
  const service_capacity &Capacity = Capacities[Target.Info.Service.Index];
  const double Slots = usableSlots(Target);
  if (Target.Info.Distance == target_distance::Remote)
    return Slots;
  const double All = Capacity.LocalSlots + Capacity.RemoteSlots;
  const double Regions =
      static_cast<double>(std::max<std::size_t>(1, Capacity.Regions.size()));
  const double Part =
      std::clamp(Policy.RegionFill * Capacity.LocalSlots * Regions / All,
                 Policy.LeastLocal, Policy.MostLocal);
  double Weight = Part / (1 - Part) * std::max(1.0, Capacity.RemoteSlots) /
                  std::max(1.0, Capacity.LocalSlots) * Slots;
  if (Large)
    Weight *= Policy.LargeRegionFactor;
  if (Target.Info.Distance == target_distance::DataCentre)
    Weight *= Large ? Policy.LargeNearFactor : Policy.NearFactor;
  return Weight;
}

/// The best targets by weighted rendezvous hash.
void placer::listCandidates(const place_request &Request, steady_time Now) {
  Candidates.clear();
  if (Request.Service.Index >= ByService.size())
    return;
  const bool Large = Request.BodyBytes >= Policy.LargeBody;
  const std::uint64_t Key = Request.Object != 0
                                ? Request.Object
                                : rendezvousScore(++Draws, Request.Id);
  const auto Better = [](const candidate &A, const candidate &B) {
    return A.Score < B.Score;
  };
  for (const target_handle Handle : ByService[Request.Service.Index]) {
    const target_state &State = Targets[Handle.Index];
    if (!usable(State, Request, Now))
      continue;
    const double Score = -std::log(unit(rendezvousScore(Key, State.Info.Id))) /
                         weight(State, Large);
    if (Candidates.size() == MaxCandidates && Score >= Candidates.back().Score)
      continue;
    if (Candidates.size() == MaxCandidates)
      Candidates.pop_back();
    const candidate Row{Handle, Score};
    Candidates.insert(
        std::upper_bound(Candidates.begin(), Candidates.end(), Row, Better),
        Row);
  }
}

/// The holder with the earliest expected answer.
std::optional<placer::choice> placer::bestHolder(const place_request &Request,
                                                 steady_time Now) {
  const auto Found = Objects.find(Request.Object);
  if (Request.Object == 0 || Found == Objects.end())
    return std::nullopt;
  const double Warm = serviceSeconds(Request, true);
  const double Cold = serviceSeconds(Request, false);
  std::erase_if(Found->second, [&](const holder &Row) {
    const double Age = seconds(Now - Row.WarmingSince.value_or(Now));
    return Now - Row.Used >= Policy.WarmTime ||
           Age >= Cold * Policy.WarmingPatience;
  });
  std::optional<choice> Best;
  double LeastCost = 0;
  for (const holder &Row : Found->second) {
    const target_state *State = find(Row.Target);
    if (State == nullptr || State->Info.Service != Request.Service ||
        !usable(*State, Request, Now))
      continue;
    const double Left =
        Row.WarmingSince
            ? std::max(0.0, Cold - seconds(Now - *Row.WarmingSince))
            : 0;
    const double Expected = expected(*State, Request, Warm + Left, Now);
    const bool Limited = permitOf(Row.Target) != permit_state::Unlimited;
    const double Cost =
        Expected - (Limited ? seconds(Policy.LimitedMargin) : 0);
    if (Best && LeastCost <= Cost)
      continue;
    LeastCost = Cost;
    const bool HasFreeSlot =
        loadOf(Row.Target, Now) <
        static_cast<double>(State->Info.Slots + Policy.Ahead);
    Best = choice{Row.Target, Expected, HasFreeSlot && !Row.WarmingSince};
  }
  return Best;
}

/// The best target that isn't a holder. If there is a holder, only a target
/// with spare slots whose expected answer is earlier by the leave margin.
std::optional<placer::choice> placer::bestOther(const place_request &Request,
                                                const choice *Holder,
                                                steady_time Now) {
  listCandidates(Request, Now);
  const double Service = serviceSeconds(Request, Request.Object == 0);
  const double Margin = seconds(Policy.LeaveMargin);
  std::optional<choice> Best;
  double CostToBeat = Holder == nullptr ? 0 : Holder->Expected - Margin;
  for (const candidate &Row : Candidates) {
    const target_state &State = Targets[Row.Target.Index];
    const double Load = loadOf(Row.Target, Now);
    const double Slots = State.Info.Slots;
    if (Holder != nullptr && (holderOf(Request.Object, Row.Target) != nullptr ||
                              Load + 1 > Slots * Policy.SparePart))
      continue;
    const double Expected = expected(State, Request, Service, Now);
    // The rendezvous weights already account for the distance.
    const auto Distance = static_cast<std::size_t>(State.Info.Distance);
    const double Cost = Holder != nullptr
                            ? Expected
                            : Expected - seconds(Policy.RoundTrip[Distance]);
    if ((Holder != nullptr || Best) && Cost >= CostToBeat)
      continue;
    Best = choice{Row.Target, Expected, Load < Slots + Policy.Ahead};
    CostToBeat = Cost - Margin;
  }
  return Best;
}

std::optional<placer::choice> placer::chooseTarget(const place_request &Request,
                                                   steady_time Now) {
  const std::optional<choice> Holder = bestHolder(Request, Now);
  if (!Holder)
    return bestOther(Request, nullptr, Now);
  const double Good = seconds(Request.GoodUntil - Now);
  if (Holder->Expected <= Good)
    return Holder;
  // If both answers are late, another holder would only use up slots.
  const std::optional<choice> Other = bestOther(Request, &*Holder, Now);
  const double Left = seconds(Request.Deadline - Now);
  const bool UseOther = Other && (Other->Expected <= Good ||
                                  Holder->Expected > Left * Policy.LatePart);
  return UseOther ? Other : Holder;
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
  if (!Choice)
    return noUsableTarget(Request, Now);
  if (Choice->Expected > Left * DeadlinePart)
    return refusal(Choice->Expected);
  const bool NeedsPermit = permitOf(Choice->Target) == permit_state::Obtainable;
  if (Choice->HasFreeSlot && !NeedsPermit) {
    start(Request, Choice->Target, Now);
    return place_send{Choice->Target};
  }
  const double Whole = seconds(Request.Deadline - Request.Arrived);
  if (seconds(Now - Request.Arrived) > Whole * Policy.WaitPart)
    return refusal(Choice->Expected);
  Wait = {Choice->Target, Choice->HasFreeSlot && NeedsPermit};
  return place_wait{};
}

void placer::start(const place_request &Request, target_handle Target,
                   steady_time Now) {
  target_state &State = Targets[Target.Index];
  ++State.InFlight;
  ++InFlight;
  if (Permits != nullptr)
    Permits->spend(Target);
  if (Request.Object != 0 && holderOf(Request.Object, Target) == nullptr)
    recordHolder(Request.Object, Target, false, Now);
  if (State.Info.ColdUntil <= Now)
    return;
  const double Gained =
      State.Info.ColdRate * seconds(Now - State.ColdRefilledAt);
  State.ColdTokens = std::min(ColdTokenBurst, State.ColdTokens + Gained) - 1;
  State.ColdRefilledAt = Now;
}

placement_verdict placer::place(const place_request &Request, steady_time Now) {
  wait_reason Wait;
  placement_verdict Verdict = decide(Request, Now, Wait);
  if (!std::holds_alternative<place_wait>(Verdict))
    return Verdict;
  if (Waiting.size() >= Policy.MaxWaiting)
    return error{error_kind::QueueFull, "too many queued requests", {}};
  ++Targets[Wait.Target.Index].Queued;
  Waiting.push_back({Request, Wait});
  updatePermitRequests();
  return Verdict;
}

std::optional<target_handle> placer::placeNow(const place_request &Request,
                                              steady_time Now) {
  wait_reason Ignored;
  const placement_verdict Verdict = decide(Request, Now, Ignored);
  const auto *Send = std::get_if<place_send>(&Verdict);
  return Send == nullptr ? std::nullopt : std::optional(Send->Target);
}

std::vector<place_grant> placer::poll(steady_time Now) {
  std::vector<place_grant> Grants;
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

/// Records the target as a holder of the object, warm or warming up.
void placer::recordHolder(std::uint64_t Object, target_handle Target, bool Warm,
                          steady_time Now) {
  if (Object == 0)
    return;
  holder *Known = holderOf(Object, Target);
  // Peers rarely use a limited target themselves and would forget the holder.
  const bool Forgotten = Known != nullptr &&
                         Now - Known->UpdatedAt >= Policy.WarmTime / 4 &&
                         permitOf(Target) != permit_state::Unlimited;
  const bool IsUpdate =
      Known == nullptr || (Known->WarmingSince && Warm) || Forgotten;
  if (IsUpdate)
    queueUpdate(Object, Target, Warm);
  if (Known == nullptr) {
    if (Objects.size() >= Policy.MaxObjects && !Objects.contains(Object))
      Objects.erase(Objects.begin());
    Objects[Object].push_back({Target, Now, Now, std::nullopt});
    Known = &Objects[Object].back();
    if (!Warm)
      Known->WarmingSince = Now;
  }
  Known->Used = Now;
  if (IsUpdate)
    Known->UpdatedAt = Now;
  if (Warm)
    Known->WarmingSince.reset();
}

void placer::queueUpdate(std::uint64_t Object, target_handle Target,
                         bool Warm) {
  if (Updates.size() < MaxQueuedUpdates)
    Updates.push_back({Object, Targets[Target.Index].Info.Id, Warm});
}

std::vector<object_row> placer::takeUpdates() {
  return std::exchange(Updates, {});
}

std::vector<load_row> placer::takeLoadReports() {
  std::vector<load_row> Loads;
  for (const target_handle Handle : std::exchange(UnsentLoads, {})) {
    target_state &State = Targets[Handle.Index];
    if (const auto Busy = std::exchange(State.UnsentLoad, std::nullopt))
      Loads.push_back({State.Info.Id, *Busy});
  }
  return Loads;
}

void placer::receive(const object_update &Message, steady_time Now) {
  for (const load_row &Row : Message.Loads) {
    const auto Target = ById.find(Row.Target);
    if (Target == ById.end())
      continue;
    target_state &State = Targets[Target->second.Index];
    State.Others =
        std::max(0.0, static_cast<double>(Row.Busy) - State.InFlight);
    State.ReportedAt = Now;
  }
  for (const object_row &Row : Message.Rows) {
    const auto Target = ById.find(Row.Target);
    if (Target == ById.end() || Row.Object == 0)
      continue;
    holder *Known = holderOf(Row.Object, Target->second);
    if (Known != nullptr && !Row.Warm)
      continue;
    // The sender has informed the other peers.
    const std::size_t Queued = Updates.size();
    recordHolder(Row.Object, Target->second, Row.Warm, Now);
    Updates.resize(Queued);
  }
}

void placer::decayFailures(target_state &Target, steady_time Now) const {
  const double Factor =
      decayFactor(Now - Target.DecayedAt, Policy.FailureHalfLife);
  Target.FailureScore *= Factor;
  Target.Slowness = 1 + (Target.Slowness - 1) * Factor;
  Target.DecayedAt = Now;
}

void placer::noteAnswer(target_state &Target, const target_outcome &End,
                        steady_time Now) {
  decayFailures(Target, Now);
  Target.FailureScore *= 1 - FailureWeight;
  Target.Failures = 0;
  if (Target.Restarted) {
    Target.Restarted = false;
    Target.Info.ColdUntil =
        std::max(Target.Info.ColdUntil, Now + Target.Info.ColdTime);
  }
  const auto Distance = static_cast<std::size_t>(Target.Info.Distance);
  const double Took =
      std::max(0.001, seconds(End.Took) - seconds(Policy.RoundTrip[Distance]));
  service_times &Known = Times[End.Kind];
  bool Warm = isWarm(Target.Info.Handle, End.Object, Now);
  // Another instance may have warmed up the object.
  if (!Warm && Known.Warm > 0 && Known.Cold > 0)
    Warm = Took < (Known.Warm + Known.Cold) / 2;
  double &Mean = Warm ? Known.Warm : Known.Cold;
  const bool Waited = End.Report && End.Report->Waiting > 0;
  if (Mean > 0 && !Waited) {
    const double Ratio = std::clamp(Took / Mean, MinSlowness, MaxSlowness);
    Target.Slowness += (Ratio - Target.Slowness) * SampleWeight;
  }
  double &ServiceMean = MeanService[Target.Info.Service.Index];
  ServiceMean = ServiceMean > 0
                    ? ServiceMean + (Took - ServiceMean) * SampleWeight
                    : Took;
  if (!Waited && Target.Info.ColdUntil <= Now)
    Mean = Mean > 0 ? Mean + (Took - Mean) * SampleWeight : Took;
  recordHolder(End.Object, Target.Info.Handle, true, Now);
}

void placer::noteFailure(target_state &Target, target_result Result,
                         steady_time Now) {
  decayFailures(Target, Now);
  Target.FailureScore += (1 - Target.FailureScore) * FailureWeight;
  if (Result == target_result::Shed) {
    Target.PausedUntil = std::max(Target.PausedUntil, Now + Policy.ShedPause);
    return;
  }
  ++Target.Failures;
  if (Result == target_result::Unreachable ||
      Result == target_result::Misdirected)
    Target.Restarted = true;
  else if (Target.Failures < FailuresToPause)
    return;
  const auto Doublings = std::min(Target.Failures - 1, 8U);
  const milliseconds Pause =
      std::min(Policy.LargestPause, Policy.FirstPause * (1U << Doublings));
  Target.PausedUntil = std::max(Target.PausedUntil, Now + Pause);
}

void placer::noteReport(target_state &Target, const target_report &Report,
                        steady_time Now) {
  const std::uint32_t Busy = Report.Running + Report.Waiting;
  Target.Others = std::max(0.0, static_cast<double>(Busy) - Target.InFlight);
  Target.ReportedAt = Now;
  if (Busy < Policy.BusyPart * std::max(1U, Target.Info.Slots))
    return;
  if (!Target.UnsentLoad)
    UnsentLoads.push_back(Target.Info.Handle);
  Target.UnsentLoad = Busy;
}

/// Drops a holder whose warm-up request has failed.
void placer::cancelWarming(std::uint64_t Object, target_handle Target) {
  const auto Found = Objects.find(Object);
  if (Found != Objects.end())
    std::erase_if(Found->second, [&](const holder &Row) {
      return Row.Target == Target && Row.WarmingSince;
    });
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

void placer::finished(const target_outcome &End, steady_time Now) {
  target_state *State = find(End.Target);
  if (State == nullptr)
    return;
  if (End.PauseFor)
    Pushback.pause(End.Target, *End.PauseFor, Now);
  else if (End.Result == target_result::Answered)
    Pushback.answered(End.Target, Now);
  if (State->InFlight > 0) {
    --State->InFlight;
    --InFlight;
  }
  const bool NotSent =
      End.Result == target_result::Unreachable ||
      (End.Result == target_result::Abandoned && End.Took.count() == 0);
  if (Permits != nullptr && NotSent)
    Permits->refund(End.Target);
  if (End.Report)
    noteReport(*State, *End.Report, Now);
  if (End.Result != target_result::Answered)
    cancelWarming(End.Object, End.Target);
  switch (End.Result) {
  case target_result::Answered:
    return noteAnswer(*State, End, Now);
  case target_result::Abandoned:
    return;
  default:
    return noteFailure(*State, End.Result, Now);
  }
}

} // namespace magnoliaspread
