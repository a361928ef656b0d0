/// Choice of the instances of a data centre that are announced to callers.
///
/// A few instances that each see much of the load place requests better than
/// many that see little: they know more of the targets' state and reuse their
/// connections. So the instances of the highest capacity are announced, and
/// more only as the load requires. Callers pick one at random, so each
/// announced instance has to carry an even share. Does no I/O and reads no
/// clock.
#ifndef MAGNOLIASPREAD_ENTRIES_H
#define MAGNOLIASPREAD_ENTRIES_H

#include <cstddef>
#include <cstdint>
#include <vector>

namespace magnoliaspread {

struct entry_policy {
  /// Smallest number announced; callers need an alternative when one fails.
  std::size_t MinCount = 2;
  /// Planned load relative to the present one; callers that were refused or
  /// lost their instance retry at once.
  double Headroom = 1.5;
};

struct entry_candidate {
  /// Hash of the instance's name; breaks ties.
  std::uint64_t Id = 0;
  /// Requests a second that the instance can handle; 0 is unknown.
  std::uint32_t Capacity = 0;
  /// Requests a second that it receives.
  std::uint32_t Rate = 0;
};

/// Indexes of the \p Candidates to announce: the fewest of the highest
/// capacity that can carry the load in even shares. If no number can, the one
/// that can carry the most; all of them while a capacity is unknown.
std::vector<std::size_t>
chooseEntries(const std::vector<entry_candidate> &Candidates,
              const entry_policy &Policy = {});

/// Smallest capacity that counts as strong: half of the largest among
/// \p Candidates.
std::uint32_t strongCapacity(const std::vector<entry_candidate> &Candidates);

} // namespace magnoliaspread

#endif
