#include <magnoliaspread/ownership.h>

#include <algorithm>
#include <numeric>

namespace magnoliaspread {

namespace {

/// Indexes of targets, by service and then by id.
using target_order = std::vector<std::size_t>;

target_order orderTargets(const std::vector<ownership_target> &Targets) {
  target_order Order(Targets.size());
  std::iota(Order.begin(), Order.end(), std::size_t{0});
  std::sort(Order.begin(), Order.end(), [&](std::size_t A, std::size_t B) {
    if (Targets[A].Service != Targets[B].Service)
      return Targets[A].Service < Targets[B].Service;
    return Targets[A].Id < Targets[B].Id;
  });
  return Order;
}

std::size_t bestInstance(const ownership_target &Target,
                         const std::vector<std::uint64_t> &Instances,
                         const std::vector<std::size_t> &Counts,
                         std::size_t MaxTargets) {
  std::size_t Best = NoOwner;
  std::uint64_t BestScore = 0;
  for (std::size_t Instance = 0; Instance < Instances.size(); ++Instance) {
    if (Counts[Instance] >= MaxTargets)
      continue;
    const std::uint64_t Score = rendezvousScore(Target.Id, Instances[Instance]);
    const bool Tie = Score == BestScore && Best != NoOwner;
    if (Best == NoOwner || Score > BestScore ||
        (Tie && Instances[Instance] < Instances[Best])) {
      Best = Instance;
      BestScore = Score;
    }
  }
  return Best;
}

/// Assigns the targets \p Order[First, Last), which are of one service.
void assignService(const std::vector<ownership_target> &Targets,
                   const std::vector<std::uint64_t> &Instances,
                   const target_order &Order, std::size_t First,
                   std::size_t Last, std::vector<std::size_t> &Owners) {
  const std::size_t MaxTargets =
      (Last - First + Instances.size() - 1) / Instances.size();
  std::vector<std::size_t> Counts(Instances.size(), 0);
  for (std::size_t I = First; I < Last; ++I) {
    const std::size_t Instance =
        bestInstance(Targets[Order[I]], Instances, Counts, MaxTargets);
    Owners[Order[I]] = Instance;
    ++Counts[Instance];
  }
}

} // namespace

std::vector<std::size_t>
ownership(const std::vector<ownership_target> &Targets,
          const std::vector<std::uint64_t> &Instances) {
  std::vector<std::size_t> Owners(Targets.size(), NoOwner);
  if (Instances.empty())
    return Owners;
  const target_order Order = orderTargets(Targets);
  std::size_t First = 0;
  while (First < Order.size()) {
    std::size_t Last = First;
    const std::uint64_t Service = Targets[Order[First]].Service;
    while (Last < Order.size() && Targets[Order[Last]].Service == Service)
      ++Last;
    assignService(Targets, Instances, Order, First, Last, Owners);
    First = Last;
  }
  return Owners;
}

} // namespace magnoliaspread
