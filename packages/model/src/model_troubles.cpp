#include "model_run_p.h"

#include <magnoliaspread/hash.h>

namespace magnoliaspread {
namespace {

/// Whether \p Row is among the part \p Part of a table that is drawn by hash.
bool chosen(std::uint64_t Trouble, std::uint64_t Row, double Part) {
  constexpr std::uint64_t Steps = 1000000;
  const std::uint64_t Drawn = rendezvousScore(Trouble + 1, Row + 1) % Steps;
  return static_cast<double>(Drawn) < Part * static_cast<double>(Steps);
}

} // namespace

bool model_run::hits(std::size_t Trouble, std::size_t Row,
                     std::size_t Region) const {
  const load_trouble &What = Plan.Troubles[Trouble];
  return isOn(What, Now - ModelStart) &&
         (What.Region.empty() || regionOf(What.Region) == Region) &&
         chosen(rendezvousScore(Setup.Seed, Trouble), Row, What.Part);
}

void model_run::applyTroubles() {
  for (std::size_t I = 0; I < Targets.size(); ++I) {
    bool Up = true;
    double Slowness = 1;
    for (std::size_t T = 0; T < Plan.Troubles.size(); ++T) {
      const trouble_kind Kind = Plan.Troubles[T].Kind;
      if (Kind == trouble_kind::LoseTargets && hits(T, I, Targets[I].Region))
        Up = false;
      if (Kind == trouble_kind::SlowTargets && hits(T, I, Targets[I].Region))
        Slowness *= Plan.Troubles[T].Factor;
    }
    Targets[I].Slowness = Slowness;
    if (Targets[I].Up && !Up)
      loseTarget(I);
    Targets[I].Up = Up;
  }
  for (std::size_t I = 0; I < Instances.size(); ++I) {
    bool Up = true;
    for (std::size_t T = 0; T < Plan.Troubles.size(); ++T)
      if (Plan.Troubles[T].Kind == trouble_kind::LoseInstances &&
          hits(T, I, Instances[I].Region))
        Up = false;
    if (Instances[I].Up && !Up)
      loseInstance(I);
    if (!Instances[I].Up && Up)
      startInstance(I);
    Instances[I].Up = Up;
  }
}

void model_run::loseTarget(std::size_t Index) {
  for (std::uint64_t I = 0; I < Requests.size(); ++I) {
    const request_state &State = Requests[I];
    if (State.Target.Index != Index)
      continue;
    if (State.Place == request_place::Running)
      answer(I, target_result::Failed);
    else if (State.Place == request_place::TargetQueue)
      answer(I, target_result::Unreachable);
  }
  Targets[Index].restart();
}

void model_run::loseInstance(std::size_t Index) {
  ++Instances[Index].Life;
  for (std::uint64_t I = 0; I < Requests.size(); ++I) {
    request_state &State = Requests[I];
    if (State.Instance != Index || State.Done ||
        State.Place == request_place::Caller)
      continue;
    State.MayHaveRun = true;
    end(I, false);
  }
}

} // namespace magnoliaspread
