/// Injects random faults into a simulated fleet and checks that it converges.
#ifndef MAGNOLIASPREAD_MEMBERDRIVE_H
#define MAGNOLIASPREAD_MEMBERDRIVE_H

#include "fleet.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace magnoliaspread {

inline std::vector<std::size_t> allIndexes(const fleet &Fleet) {
  std::vector<std::size_t> All;
  for (std::size_t I = 0; I < Fleet.Instances.size(); ++I)
    All.push_back(I);
  return All;
}

inline network_faults roughNetwork() {
  using std::chrono::milliseconds;
  return {0.1, 0.1, milliseconds(1), milliseconds(400)};
}

/// Injects one random fault or repair.
inline void injectFault(fleet &Fleet) {
  const std::size_t Index = Fleet.Random() % Fleet.Instances.size();
  simulated_instance &Instance = Fleet.Instances[Index];
  switch (Fleet.Random() % 4) {
  case 0:
    if (Instance.Up)
      Fleet.kill(Index);
    return;
  case 1:
    Fleet.start(Index, allIndexes(Fleet));
    return;
  case 2:
    if (Fleet.active(Index))
      Fleet.leave(Index);
    return;
  case 3:
    if (Instance.Up)
      Instance.Frozen = !Instance.Frozen;
    return;
  default:
    return;
  }
}

/// Injects forty faults on a lossy network; true if all views agree within 90 s
/// after the last one.
inline bool convergesAfterFaults(std::uint64_t Seed) {
  using std::chrono::milliseconds;
  using std::chrono::seconds;
  fleet Fleet(3, 5, Seed);
  Fleet.Faults = roughNetwork();
  Fleet.startAll();
  Fleet.run(seconds(10));
  for (int I = 0; I < 40; ++I) {
    injectFault(Fleet);
    Fleet.run(milliseconds(Fleet.Random() % 2000));
  }
  Fleet.Faults = {};
  for (simulated_instance &Instance : Fleet.Instances)
    Instance.Frozen = false;
  return Fleet.runUntil(seconds(90), [&] { return Fleet.viewsAgree(); });
}

} // namespace magnoliaspread

#endif
