/// Which instances of a data centre callers are told to use.
///
/// Few instances that see much of the load decide better than many that each
/// see little: they know more of what the targets are doing, and use their
/// connections again. So callers are told of the strongest instances, and of
/// more only as far as the load asks for it. Callers pick one at random, so
/// each that is named has to bear an even part. Pure.
#ifndef MAGNOLIASPREAD_ENTRIES_H
#define MAGNOLIASPREAD_ENTRIES_H

#include <cstddef>
#include <cstdint>
#include <vector>

namespace magnoliaspread {

struct entry_policy {
  /// Named at least, so that callers have another one when one is lost.
  std::size_t Least = 2;
  /// Load that is planned for, against the present one: callers that were
  /// turned away or lost an instance come back at once.
  double Headroom = 1.5;
};

struct entry_candidate {
  /// Hash of its name; decides between equals.
  std::uint64_t Id = 0;
  /// Requests a second that it bears; 0 is unknown.
  std::uint32_t Capacity = 0;
  /// Requests a second that it gets.
  std::uint32_t Rate = 0;
};

/// Rows of \p Candidates to be named: the strongest ones, as few as bear the
/// load evenly; those that together bear most when none do; all of them while
/// a capacity is unknown.
std::vector<std::size_t>
chooseEntries(const std::vector<entry_candidate> &Candidates,
              const entry_policy &Policy = {});

/// Capacity from which one of \p Candidates counts as strong: half of the
/// strongest one's.
std::uint32_t strongCapacity(const std::vector<entry_candidate> &Candidates);

} // namespace magnoliaspread

#endif
