#include <magnoliaspread/placer.h>

#include <magnoliaspread/ownership.h>

#include <algorithm>
#include <cmath>
#include <tuple>

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
  for (const placer_target &Row : Rows) {
    if (Row.Handle.Index >= Targets.size())
      Targets.resize(Row.Handle.Index + 1U);
    if (Row.Service.Index >= ByService.size())
      ByService.resize(Row.Service.Index + 1U);
    target_state &State = Targets[Row.Handle.Index];
    if (State.Info.Id != Row.Id) {
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
  if (Request.Homes.any() && !Request.Homes.test(Target.Info.Region))
    return false;
  return coldAllowed(Target, Now) && !tried(Request, Target.Info.Handle);
}

bool placer::isWarm(target_handle Target, std::uint64_t Object,
                    steady_time Now) const {
  const auto Found = Objects.find(Object);
  if (Found == Objects.end())
    return false;
  return std::any_of(
      Found->second.begin(), Found->second.end(), [&](const warm_place &Place) {
        return Place.Target == Target && Now - Place.Used < Policy.WarmTime;
      });
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

/// Seconds until the answer, when the request is sent or queued now.
double placer::expected(const target_state &Target,
                        const place_request &Request, steady_time Now) const {
  const target_handle Handle = Target.Info.Handle;
  const double Warm = serviceSeconds(Request, true);
  const double Service =
      Request.Object == 0 || isWarm(Handle, Request.Object, Now)
          ? Warm
          : serviceSeconds(Request, false);
  const double Slots = std::max(1U, Target.Info.Slots);
  const double Ahead =
      loadOf(Handle, Now) + static_cast<double>(Target.Queued) + 1 - Slots;
  const double Wait = std::max(0.0, Ahead) / Slots * Warm;
  const double Marks =
      Target.Marks * fade(Now - Target.MarkedAt, Policy.MarkHalfLife);
  const double Slow = 1 + (Target.Slowness - 1) *
                              fade(Now - Target.MarkedAt, Policy.MarkHalfLife);
  const auto Distance = static_cast<std::size_t>(Target.Info.Distance);
  return seconds(Policy.RoundTrip[Distance]) + (Wait + Service) * Slow +
         Marks * MarkPenalty * seconds(Request.GoodUntil - Request.Arrived);
}

/// The best targets by weighted rendezvous hash, and those that know the
/// object already.
void placer::listCandidates(const place_request &Request, steady_time Now) {
  Candidates.clear();
  if (Request.Service.Index >= ByService.size())
    return;
  const auto &Weights = Request.BodyBytes >= Policy.LargeBody
                            ? Policy.LargeWeights
                            : Policy.NearWeights;
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
    const double Weight =
        Weights[static_cast<std::size_t>(State.Info.Distance)] *
        std::max(1U, State.Info.Slots);
    const double Score =
        -std::log(unit(rendezvousScore(Key, State.Info.Id))) / Weight;
    if (Candidates.size() == MaxCandidates && Score >= Candidates.back().Score)
      continue;
    if (Candidates.size() == MaxCandidates)
      Candidates.pop_back();
    const candidate Row{Handle, Score, 0};
    Candidates.insert(
        std::upper_bound(Candidates.begin(), Candidates.end(), Row, Better),
        Row);
  }
  const auto Known = Objects.find(Request.Object);
  if (Known == Objects.end())
    return;
  for (const warm_place &Place : Known->second) {
    const target_state *State = find(Place.Target);
    const bool Listed = std::any_of(
        Candidates.begin(), Candidates.end(),
        [&](const candidate &Row) { return Row.Target == Place.Target; });
    if (!Listed && State != nullptr && State->Info.Service == Request.Service &&
        usable(*State, Request, Now))
      Candidates.push_back({Place.Target, 0, 0});
  }
}

std::optional<placer::choice> placer::choose(const place_request &Request,
                                             steady_time Now) {
  listCandidates(Request, Now);
  if (Candidates.empty())
    return std::nullopt;
  for (candidate &Row : Candidates)
    Row.Expected = expected(Targets[Row.Target.Index], Request, Now);
  const candidate *Best = &Candidates.front();
  const double Margin = seconds(Policy.LeaveMargin);
  for (const candidate &Row : Candidates)
    if (Row.Expected + (Best == &Candidates.front() ? Margin : 0) <
        Best->Expected)
      Best = &Row;
  const target_state &State = Targets[Best->Target.Index];
  const bool HasRoom = loadOf(Best->Target, Now) <
                       static_cast<double>(State.Info.Slots + Policy.Ahead);
  return choice{Best->Target, Best->Expected, HasRoom};
}

error placer::refusal(double Seconds) const {
  const auto Wait = duration_cast<milliseconds>(duration<double>(Seconds));
  return {error_kind::NoCapacity, "no target can answer in time",
          std::clamp(Wait, LeastRetryAfter, MostRetryAfter)};
}

placement_verdict placer::decide(const place_request &Request, steady_time Now,
                                 target_handle &Waits) {
  const std::optional<choice> Choice = choose(Request, Now);
  const double Left = seconds(Request.Deadline - Now);
  if (!Choice || Choice->Expected > Left * DeadlinePart)
    return refusal(Choice ? Choice->Expected : seconds(MostRetryAfter) / 3);
  if (Choice->HasRoom) {
    start(Choice->Target, Now);
    return place_send{Choice->Target};
  }
  const double Whole = seconds(Request.Deadline - Request.Arrived);
  if (seconds(Now - Request.Arrived) > Whole * Policy.WaitPart)
    return refusal(Choice->Expected);
  Waits = Choice->Target;
  return place_wait{};
}

void placer::start(target_handle Target, steady_time Now) {
  target_state &State = Targets[Target.Index];
  ++State.InFlight;
  ++InFlight;
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

void placer::remember(std::uint64_t Object, target_handle Target,
                      steady_time Now) {
  if (Object == 0)
    return;
  if (Objects.size() >= Policy.MaxObjects && !Objects.contains(Object))
    Objects.erase(Objects.begin());
  std::vector<warm_place> &Places = Objects[Object];
  std::erase_if(Places, [&](const warm_place &Place) {
    return Place.Target == Target || Now - Place.Used >= Policy.WarmTime;
  });
  Places.push_back({Target, Now});
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
  if (Mean > 0) {
    const double Ratio = std::clamp(Took / Mean, LeastSlowness, MostSlowness);
    Target.Slowness += (Ratio - Target.Slowness) * SampleWeight;
  }
  const bool Waited = End.Report && End.Report->Waiting > 0;
  if (!Waited && Target.Info.ColdUntil <= Now)
    Mean = Mean > 0 ? Mean + (Took - Mean) * SampleWeight : Took;
  remember(End.Object, Target.Info.Handle, Now);
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
                        steady_time Now) const {
  const double Busy = Report.Running + Report.Waiting;
  Target.Others = std::max(0.0, Busy - Target.InFlight);
  Target.ReportedAt = Now;
}

void placer::finished(const target_end &End, steady_time Now) {
  target_state *State = find(End.Target);
  if (State == nullptr)
    return;
  if (State->InFlight > 0) {
    --State->InFlight;
    --InFlight;
  }
  if (End.Report)
    noteReport(*State, *End.Report, Now);
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
