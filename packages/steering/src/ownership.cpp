#include <magnoliaspread/ownership.h>

#include <algorithm>
#include <numeric>

namespace magnoliaspread {

namespace {

/// Targets of one service, lowest id first.
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

std::size_t bestMate(const ownership_target &Target,
                     const std::vector<std::uint64_t> &Mates,
                     const std::vector<std::size_t> &Loads, std::size_t Most) {
  std::size_t Best = NoOwner;
  std::uint64_t BestScore = 0;
  for (std::size_t Mate = 0; Mate < Mates.size(); ++Mate) {
    if (Loads[Mate] >= Most)
      continue;
    const std::uint64_t Score = rendezvousScore(Target.Id, Mates[Mate]);
    const bool Tie = Score == BestScore && Best != NoOwner;
    if (Best == NoOwner || Score > BestScore ||
        (Tie && Mates[Mate] < Mates[Best])) {
      Best = Mate;
      BestScore = Score;
    }
  }
  return Best;
}

/// Assigns the targets \p Order[First, Last), all of one service.
void assignService(const std::vector<ownership_target> &Targets,
                   const std::vector<std::uint64_t> &Mates,
                   const target_order &Order, std::size_t First,
                   std::size_t Last, std::vector<std::size_t> &Owners) {
  const std::size_t Most = (Last - First + Mates.size() - 1) / Mates.size();
  std::vector<std::size_t> Loads(Mates.size(), 0);
  for (std::size_t I = First; I < Last; ++I) {
    const std::size_t Mate = bestMate(Targets[Order[I]], Mates, Loads, Most);
    Owners[Order[I]] = Mate;
    ++Loads[Mate];
  }
}

} // namespace

std::vector<std::size_t> ownership(const std::vector<ownership_target> &Targets,
                                   const std::vector<std::uint64_t> &Mates) {
  std::vector<std::size_t> Owners(Targets.size(), NoOwner);
  if (Mates.empty())
    return Owners;
  const target_order Order = orderTargets(Targets);
  std::size_t First = 0;
  while (First < Order.size()) {
    std::size_t Last = First;
    const std::uint64_t Service = Targets[Order[First]].Service;
    while (Last < Order.size() && Targets[Order[Last]].Service == Service)
      ++Last;
    assignService(Targets, Mates, Order, First, Last, Owners);
    First = Last;
  }
  return Owners;
}

} // namespace magnoliaspread
