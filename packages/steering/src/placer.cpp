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

/// Targets that are compared for one request.
constexpr std::size_t MaxCandidates = 4;
/// Weight of a new sample in a moving average.
constexpr double SampleWeight = 0.15;
constexpr double MarkWeight = 0.25;
/// Bounds of a target's slowness, so that one sample doesn't ban it.
constexpr double LeastSlowness = 0.5;
constexpr double MostSlowness = 20;
/// A target's marks count as this many latency targets of extra time.
constexpr double MarkPenalty = 2.5;
constexpr double ColdTokenBurst = 1;
constexpr milliseconds LeastRetryAfter{100};
constexpr milliseconds MostRetryAfter{1500};
/// Part of the time left that an answer may be expected to take.
constexpr double DeadlinePart = 0.9;
/// Failures in a row after which a target that took a request is paused.
constexpr std::uint32_t FailuresToPause = 2;

double seconds(steady_time::duration Time) {
  return duration<double>(Time).count();
}

double fade(steady_time::duration Age, milliseconds HalfLife) {
  return std::exp2(-seconds(Age) / seconds(HalfLife));
}

/// Uniform over (0, 1].
double unit(std::uint64_t Bits) {
  constexpr double Scale = 1.0 / 9007199254740992.0;
  return (static_cast<double>(Bits >> 11U) + 1) * Scale;
}

constexpr std::size_t MaxNews = 4096;

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
  Rooms.clear();
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
      State.MarkedAt = Now;
      State.ReportedAt = Now;
      State.ColdRefilledAt = Now;
    }
    const steady_time ColdUntil = std::max(State.Info.ColdUntil, Row.ColdUntil);
    State.Info = Row;
    State.Info.ColdUntil = ColdUntil;
    State.Present = true;
    ByService[Row.Service.Index].push_back(Row.Handle);
    ById[Row.Id] = Row.Handle;
    Rooms.resize(ByService.size());
    service_room &Room = Rooms[Row.Service.Index];
    Room.Regions.insert(Row.Region);
    if (!Row.Open)
      continue;
    (Row.Distance == target_distance::Remote ? Room.RemoteSlots
                                             : Room.LocalSlots) += Row.Slots;
    if (Row.Distance == target_distance::DataCentre)
      Room.DataCentreSlots += Row.Slots;
  }
}

double placer::loadOf(target_handle Target, steady_time Now) const {
  const target_state *State = find(Target);
  if (State == nullptr)
    return 0;
  return State->InFlight +
         State->Others * fade(Now - State->ReportedAt, Policy.ReportHalfLife);
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
  if (Access == target_access::Held ||
      (Access == target_access::Probing && Target.InFlight > 0))
    return false;
  if (Request.Homes.any() && !Request.Homes.test(Target.Info.Region))
    return false;
  return coldAllowed(Target, Now) && !tried(Request, Target.Info.Handle);
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

/// Seconds that a request would wait for a slot of the target.
double placer::waitSeconds(const target_state &Target, double Service,
                           steady_time Now) const {
  const double Slots = std::max(1U, Target.Info.Slots);
  const double Ahead = loadOf(Target.Info.Handle, Now) +
                       static_cast<double>(Target.Queued) + 1 - Slots;
  return std::max(0.0, Ahead) / Slots * Service;
}

/// Seconds until the answer, when the request is sent or queued now and takes
/// \p Service.
double placer::expected(const target_state &Target,
                        const place_request &Request, double Service,
                        steady_time Now) const {
  const double Wait = waitSeconds(Target, serviceSeconds(Request, true), Now);
  const double Fade = fade(Now - Target.MarkedAt, Policy.MarkHalfLife);
  const double Slow = 1 + (Target.Slowness - 1) * Fade;
  const auto Distance = static_cast<std::size_t>(Target.Info.Distance);
  return seconds(Policy.RoundTrip[Distance]) + (Wait + Service) * Slow +
         Target.Marks * Fade * MarkPenalty *
             seconds(Request.GoodUntil - Request.Arrived);
}

/// Weight of a target in the choice for an object without a holder. Each
/// region keeps as many of its objects as its own slots bear.
double placer::weight(const target_state &Target, bool Large) const {
  const service_room &Room = Rooms[Target.Info.Service.Index];
  const double Slots = std::max(1U, Target.Info.Slots);
  if (Target.Info.Distance == target_distance::Remote)
    return Slots;
  const double All = Room.LocalSlots + Room.RemoteSlots;
  const double Regions =
      static_cast<double>(std::max<std::size_t>(1, Room.Regions.size()));
  const double Part =
      std::clamp(Policy.RegionFill * Room.LocalSlots * Regions / All,
                 Policy.LeastLocal, Policy.MostLocal);
  double Weight = Part / (1 - Part) * std::max(1.0, Room.RemoteSlots) /
                  std::max(1.0, Room.LocalSlots) * Slots;
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

/// The holder that is expected to answer first.
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
    if (Best && Best->Expected <= Expected)
      continue;
    const bool HasRoom = loadOf(Row.Target, Now) <
                         static_cast<double>(State->Info.Slots + Policy.Ahead);
    Best = choice{Row.Target, Expected, HasRoom && !Row.WarmingSince};
  }
  return Best;
}

/// The best target that is no holder; beside a holder only one with slots to
/// spare that is expected to answer well before it.
std::optional<placer::choice> placer::bestOther(const place_request &Request,
                                                const choice *Holder,
                                                steady_time Now) {
  listCandidates(Request, Now);
  const double Service = serviceSeconds(Request, Request.Object == 0);
  const double Margin = seconds(Policy.LeaveMargin);
  std::optional<choice> Best;
  double Bar = Holder == nullptr ? 0 : Holder->Expected - Margin;
  for (const candidate &Row : Candidates) {
    const target_state &State = Targets[Row.Target.Index];
    const double Load = loadOf(Row.Target, Now);
    const double Slots = State.Info.Slots;
    if (Holder != nullptr && (holderOf(Request.Object, Row.Target) != nullptr ||
                              Load + 1 > Slots * Policy.SparePart))
      continue;
    const double Expected = expected(State, Request, Service, Now);
    // The way to a target is weighed by the hash already.
    const auto Distance = static_cast<std::size_t>(State.Info.Distance);
    const double Cost = Holder != nullptr
                            ? Expected
                            : Expected - seconds(Policy.RoundTrip[Distance]);
    if ((Holder != nullptr || Best) && Cost >= Bar)
      continue;
    Best = choice{Row.Target, Expected, Load < Slots + Policy.Ahead};
    Bar = Cost - Margin;
  }
  return Best;
}

std::optional<placer::choice> placer::choose(const place_request &Request,
                                             steady_time Now) {
  const std::optional<choice> Holder = bestHolder(Request, Now);
  if (!Holder)
    return bestOther(Request, nullptr, Now);
  const double Good = seconds(Request.GoodUntil - Now);
  if (Holder->Expected <= Good)
    return Holder;
  // Where both come late a further holder would only take slots.
  const std::optional<choice> Other = bestOther(Request, &*Holder, Now);
  const double Left = seconds(Request.Deadline - Now);
  const bool Worth = Other && (Other->Expected <= Good ||
                               Holder->Expected > Left * Policy.LatePart);
  return Worth ? Other : Holder;
}

error placer::refusal(double Seconds) const {
  const auto Wait = duration_cast<milliseconds>(duration<double>(Seconds));
  return {error_kind::NoCapacity, "no target can answer in time",
          std::clamp(Wait, LeastRetryAfter, MostRetryAfter)};
}

/// No target is usable. Where all have asked for a pause, callers come back
/// when the first one opens.
error placer::refuseAll(const place_request &Request, steady_time Now) const {
  error Refusal = refusal(seconds(MostRetryAfter) / 3);
  if (Request.Service.Index >= ByService.size())
    return Refusal;
  std::optional<steady_time> First;
  for (const target_handle Handle : ByService[Request.Service.Index]) {
    const target_state &State = Targets[Handle.Index];
    const bool Allowed =
        Request.Homes.none() || Request.Homes.test(State.Info.Region);
    if (!State.Present || !State.Info.Open || !Allowed)
      continue;
    const auto Until = Pushback.heldUntil(Handle, Now);
    if (!Until)
      return Refusal;
    First = std::min(First.value_or(*Until), *Until);
  }
  if (First)
    Refusal.RetryAfter = std::chrono::ceil<milliseconds>(*First - Now);
  return Refusal;
}

placement_verdict placer::decide(const place_request &Request, steady_time Now,
                                 target_handle &Waits) {
  const std::optional<choice> Choice = choose(Request, Now);
  const double Left = seconds(Request.Deadline - Now);
  if (!Choice)
    return refuseAll(Request, Now);
  if (Choice->Expected > Left * DeadlinePart)
    return refusal(Choice->Expected);
  if (Choice->HasRoom) {
    start(Request, Choice->Target, Now);
    return place_send{Choice->Target};
  }
  const double Whole = seconds(Request.Deadline - Request.Arrived);
  if (seconds(Now - Request.Arrived) > Whole * Policy.WaitPart)
    return refusal(Choice->Expected);
  Waits = Choice->Target;
  return place_wait{};
}

void placer::start(const place_request &Request, target_handle Target,
                   steady_time Now) {
  target_state &State = Targets[Target.Index];
  ++State.InFlight;
  ++InFlight;
  if (Request.Object != 0 && holderOf(Request.Object, Target) == nullptr)
    remember(Request.Object, Target, false, Now);
  if (State.Info.ColdUntil <= Now)
    return;
  const double Gained =
      State.Info.ColdRate * seconds(Now - State.ColdRefilledAt);
  State.ColdTokens = std::min(ColdTokenBurst, State.ColdTokens + Gained) - 1;
  State.ColdRefilledAt = Now;
}

placement_verdict placer::place(const place_request &Request, steady_time Now) {
  target_handle Target;
  placement_verdict Verdict = decide(Request, Now, Target);
  if (!std::holds_alternative<place_wait>(Verdict))
    return Verdict;
  if (Waiting.size() >= Policy.MaxWaiting)
    return error{error_kind::QueueFull, "too many requests wait", {}};
  ++Targets[Target.Index].Queued;
  Waiting.push_back({Request, Target});
  return Verdict;
}

std::optional<target_handle> placer::placeNow(const place_request &Request,
                                              steady_time Now) {
  target_handle Ignored;
  const placement_verdict Verdict = decide(Request, Now, Ignored);
  const auto *Send = std::get_if<place_send>(&Verdict);
  return Send == nullptr ? std::nullopt : std::optional(Send->Target);
}

std::vector<place_grant> placer::poll(steady_time Now) {
  std::vector<place_grant> Grants;
  if (Waiting.empty())
    return Grants;
  // Those that can still be answered in good time go before the others.
  const auto Order = [Now](const waiting_request &Row) {
    return std::tuple(Row.Request.GoodUntil <= Now, Row.Request.Priority,
                      Row.Request.Arrived, Row.Request.Id);
  };
  std::sort(Waiting.begin(), Waiting.end(),
            [&](const waiting_request &A, const waiting_request &B) {
              return Order(A) < Order(B);
            });
  for (const waiting_request &Row : Waiting)
    Targets[Row.Target.Index].Queued = 0;
  std::vector<waiting_request> Still;
  for (waiting_request &Row : Waiting) {
    placement_verdict Verdict = decide(Row.Request, Now, Row.Target);
    if (std::holds_alternative<place_wait>(Verdict)) {
      ++Targets[Row.Target.Index].Queued;
      Still.push_back(std::move(Row));
      continue;
    }
    Grants.push_back({Row.Request.Id, std::move(Verdict)});
  }
  Waiting = std::move(Still);
  return Grants;
}

bool placer::cancel(std::uint64_t Id) {
  const auto Found = std::find_if(
      Waiting.begin(), Waiting.end(),
      [Id](const waiting_request &Row) { return Row.Request.Id == Id; });
  if (Found == Waiting.end())
    return false;
  --Targets[Found->Target.Index].Queued;
  Waiting.erase(Found);
  return true;
}

/// Notes that the target holds the object, or is being made to.
void placer::remember(std::uint64_t Object, target_handle Target, bool Warm,
                      steady_time Now) {
  if (Object == 0)
    return;
  holder *Known = holderOf(Object, Target);
  if (Known == nullptr || (Known->WarmingSince && Warm))
    tell(Object, Target, Warm);
  if (Known == nullptr) {
    if (Objects.size() >= Policy.MaxObjects && !Objects.contains(Object))
      Objects.erase(Objects.begin());
    Objects[Object].push_back({Target, Now, std::nullopt});
    Known = &Objects[Object].back();
    if (!Warm)
      Known->WarmingSince = Now;
  }
  Known->Used = Now;
  if (Warm)
    Known->WarmingSince.reset();
}

void placer::tell(std::uint64_t Object, target_handle Target, bool Warm) {
  if (News.size() < MaxNews)
    News.push_back({Object, Targets[Target.Index].Info.Id, Warm});
}

std::vector<object_row> placer::takeNews() { return std::exchange(News, {}); }

std::vector<load_row> placer::takeLoads() {
  std::vector<load_row> Loads;
  for (const target_handle Handle : std::exchange(Untold, {})) {
    target_state &State = Targets[Handle.Index];
    if (const auto Busy = std::exchange(State.Untold, std::nullopt))
      Loads.push_back({State.Info.Id, *Busy});
  }
  return Loads;
}

void placer::receive(const object_news &Message, steady_time Now) {
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
    // The other peers have heard it too.
    const std::size_t Told = News.size();
    remember(Row.Object, Target->second, Row.Warm, Now);
    News.resize(Told);
  }
}

void placer::fadeMarks(target_state &Target, steady_time Now) const {
  const double Part = fade(Now - Target.MarkedAt, Policy.MarkHalfLife);
  Target.Marks *= Part;
  Target.Slowness = 1 + (Target.Slowness - 1) * Part;
  Target.MarkedAt = Now;
}

void placer::noteAnswer(target_state &Target, const target_end &End,
                        steady_time Now) {
  fadeMarks(Target, Now);
  Target.Marks *= 1 - MarkWeight;
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
  // Another instance may have warmed the object.
  if (!Warm && Known.Warm > 0 && Known.Cold > 0)
    Warm = Took < (Known.Warm + Known.Cold) / 2;
  double &Mean = Warm ? Known.Warm : Known.Cold;
  const bool Waited = End.Report && End.Report->Waiting > 0;
  if (Mean > 0 && !Waited) {
    const double Ratio = std::clamp(Took / Mean, LeastSlowness, MostSlowness);
    Target.Slowness += (Ratio - Target.Slowness) * SampleWeight;
  }
  if (!Waited && Target.Info.ColdUntil <= Now)
    Mean = Mean > 0 ? Mean + (Took - Mean) * SampleWeight : Took;
  remember(End.Object, Target.Info.Handle, true, Now);
}

void placer::noteFailure(target_state &Target, target_result Result,
                         steady_time Now) {
  fadeMarks(Target, Now);
  Target.Marks += (1 - Target.Marks) * MarkWeight;
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
  if (!Target.Untold)
    Untold.push_back(Target.Info.Handle);
  Target.Untold = Busy;
}

/// The request that was to make the target a holder has failed.
void placer::forgetWarming(std::uint64_t Object, target_handle Target) {
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
         Pushback.access(Target, Now) != target_access::Held;
}

void placer::finished(const target_end &End, steady_time Now) {
  target_state *State = find(End.Target);
  if (State == nullptr)
    return;
  if (End.HoldFor)
    Pushback.hold(End.Target, *End.HoldFor, Now);
  else if (End.Result == target_result::Answered)
    Pushback.answered(End.Target, Now);
  if (State->InFlight > 0) {
    --State->InFlight;
    --InFlight;
  }
  if (End.Report)
    noteReport(*State, *End.Report, Now);
  if (End.Result != target_result::Answered)
    forgetWarming(End.Object, End.Target);
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
