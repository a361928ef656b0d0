#include "model_run_p.h"

#include <magnoliaspread/hash.h>

namespace magnoliaspread {
namespace {

/// Whether the index \p Row is in the fraction \p Part of all indices that
/// \p Seed selects by hash.
bool isSelected(std::uint64_t Seed, std::uint64_t Row, double Part) {
  constexpr std::uint64_t Steps = 1000000;
  const std::uint64_t Draw = rendezvousScore(Seed + 1, Row + 1) % Steps;
  return static_cast<double>(Draw) < Part * static_cast<double>(Steps);
}

} // namespace

bool model_run::affects(std::size_t Trouble, std::size_t Row,
                        std::size_t Region) const {
  const load_trouble &Disruption = Plan.Troubles[Trouble];
  return isActive(Disruption, Now - ModelStart) &&
         (Disruption.Region.empty() || regionOf(Disruption.Region) == Region) &&
         isSelected(rendezvousScore(Setup.Seed, Trouble), Row, Disruption.Part);
}

void model_run::applyTroubles() {
  for (std::size_t I = 0; I < Targets.size(); ++I) {
    bool Up = true;
    double Slowness = 1;
    for (std::size_t T = 0; T < Plan.Troubles.size(); ++T) {
      const trouble_kind Kind = Plan.Troubles[T].Kind;
      if (Kind == trouble_kind::LoseTargets && affects(T, I, Targets[I].Region))
        Up = false;
      if (Kind == trouble_kind::SlowTargets && affects(T, I, Targets[I].Region))
        Slowness *= Plan.Troubles[T].Factor;
    }
    Targets[I].Slowness = Slowness;
    if (Targets[I].Up && !Up)
      crashTarget(I);
    Targets[I].Up = Up;
  }
  for (std::size_t I = 0; I < Instances.size(); ++I) {
    bool Up = true;
    for (std::size_t T = 0; T < Plan.Troubles.size(); ++T)
      if (Plan.Troubles[T].Kind == trouble_kind::LoseInstances &&
          affects(T, I, Instances[I].Region))
        Up = false;
    if (Instances[I].Up && !Up)
      crashInstance(I);
    if (!Instances[I].Up && Up)
      startInstance(I);
    Instances[I].Up = Up;
  }
}

void model_run::crashTarget(std::size_t Index) {
  for (std::uint64_t I = 0; I < Requests.size(); ++I) {
    const request_state &State = Requests[I];
    if (State.Target.Index != Index)
      continue;
    if (State.Place == request_place::Running)
      sendAnswer(I, target_result::Failed);
    else if (State.Place == request_place::TargetQueue)
      sendAnswer(I, target_result::Unreachable);
  }
  Targets[Index].restart();
}

void model_run::crashInstance(std::size_t Index) {
  ++Instances[Index].Incarnation;
  for (std::uint64_t I = 0; I < Requests.size(); ++I) {
    request_state &State = Requests[I];
    if (State.Instance != Index || State.Counted ||
        State.Place == request_place::Caller)
      continue;
    State.MayHaveRun = true;
    recordOutcome(I, false);
  }
}

} // namespace magnoliaspread
