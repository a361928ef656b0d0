/// What the placer learns about targets from the outcomes of requests.
#include <magnoliaspread/placer.h>

#include "placermath_p.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace magnoliaspread {

using std::chrono::milliseconds;

namespace {

constexpr double FailureWeight = 0.25;
/// Bounds of a target's slowness; one outlier must not exclude the target.
constexpr double MinSlowness = 0.5;
constexpr double MaxSlowness = 20;
/// Consecutive failures after which a reachable target is paused.
constexpr std::uint32_t FailuresToPause = 2;

} // namespace

std::vector<load_row> placer::takeLoadReports() {
  std::vector<load_row> Loads;
  for (const target_handle Handle : std::exchange(UnsentLoads, {})) {
    target_state &State = Targets[Handle.Index];
    if (const auto Busy = std::exchange(State.UnsentLoad, std::nullopt))
      Loads.push_back(
          {State.Info.Id, *Busy, std::exchange(State.UnsentPace, 0U)});
  }
  return Loads;
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
  const double Answered = seconds(End.Took);
  if (Known.Answer <= 0) {
    Known.Answer = Answered;
    Known.AnswerDeviation = Answered / 2;
  } else {
    Known.AnswerDeviation +=
        (std::abs(Answered - Known.Answer) - Known.AnswerDeviation) *
        SampleWeight;
    Known.Answer += (Answered - Known.Answer) * SampleWeight;
  }
  bool Warm = isWarm(Target.Info.Handle, End.Object, Now);
  // Another instance may have warmed up the object.
  if (!Warm && Known.Warm > 0 && Known.Cold > 0)
    Warm = Took < (Known.Warm + Known.Cold) / 2;
  double &Mean = Warm ? Known.Warm : Known.Cold;
  const bool Waited = End.Report && End.Report->Waiting > 0;
  const double Pace = End.Report ? End.Report->Pace.value_or(1) : 1;
  if (Mean > 0 && !Waited) {
    const double Ratio = std::clamp(unexplainedSlowness(Took / Mean, Pace),
                                    MinSlowness, MaxSlowness);
    Target.Slowness += (Ratio - Target.Slowness) * SampleWeight;
  }
  double &ServiceMean = MeanService[Target.Info.Service.Index];
  ServiceMean = ServiceMean > 0
                    ? ServiceMean + (Took - ServiceMean) * SampleWeight
                    : Took;
  const bool AtUsualPace = Mean <= 0 || !Paces.isSlow(Pace);
  if (!Waited && AtUsualPace && Target.Info.ColdUntil <= Now)
    Mean = Mean > 0 ? Mean + (Took - Mean) * SampleWeight : Took;
  recordRun(End.Object, End.Kind, Target.Info.Handle, true, Now);
}

void placer::noteFailure(target_state &Target, target_result Result,
                         steady_time Now) {
  decayFailures(Target, Now);
  Target.FailureScore += (1 - Target.FailureScore) * FailureWeight;
  Target.FailedAt = Now;
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
  const double Pace = Report.Pace.value_or(1);
  if (Report.Pace)
    Paces.note(Target.Info.Handle, Pace, Now);
  if (Busy < Policy.BusyPart * std::max(1U, Target.Info.Slots) &&
      !Paces.isSlow(Pace))
    return;
  Target.UnsentPace =
      Report.Pace ? static_cast<std::uint32_t>(std::lround(Pace * Percent)) : 0;
  if (!Target.UnsentLoad)
    UnsentLoads.push_back(Target.Info.Handle);
  Target.UnsentLoad = Busy;
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
  noteEnd(*State, End, Now);
  if (End.Result != target_result::Answered)
    cancelWarming(End.Object, End.Target);
  switch (End.Result) {
  case target_result::Answered:
    Crossing.noteAnswer(End.Kind, End.AnswerBytes, State->Info.Distance, Now);
    return noteAnswer(*State, End, Now);
  case target_result::Abandoned:
    return;
  default:
    return noteFailure(*State, End.Result, Now);
  }
}

void placer::forgiveFailures(steady_time Since, steady_time Now) {
  for (target_state &State : Targets) {
    if (State.FailedAt < Since)
      continue;
    State.FailureScore = 0;
    State.Failures = 0;
    State.PausedUntil = Now;
    State.Restarted = false;
  }
}

} // namespace magnoliaspread
