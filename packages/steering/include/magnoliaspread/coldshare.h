/// Load it answers: many instances that all have requests for a target which
/// is cold and breaks down beyond a small rate.
///
/// A few strong instances of the target's region share its rate. Each decides
/// for itself from whom it sees, so one that loses sight of the others must not
/// take their part: mates count for a while after they were seen last, which is
/// longer than a target stays cold. Pure.
#ifndef MAGNOLIASPREAD_COLDSHARE_H
#define MAGNOLIASPREAD_COLDSHARE_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/entries.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace magnoliaspread {

struct cold_policy {
  /// Instances that share a target's rate.
  std::size_t Owners = 3;
  /// Part of the rate that they use together.
  double Part = 0.9;
  /// A mate counts for this long after it was seen last: twice the time that
  /// targets stay cold at most (site files, 4.5 s).
  std::chrono::milliseconds MateTime{9000};
};

class cold_shares {
public:
  explicit cold_shares(const cold_policy &Policy = {}) : Policy(Policy) {}

  /// The instances of the region that are alive, the own one left out.
  void setMates(const std::vector<entry_candidate> &Mates, steady_time Now);

  /// Part of its rate that \p Own may send to the cold target \p Target; 0 for
  /// all but its owners.
  double share(std::uint64_t Target, const entry_candidate &Own) const;

private:
  struct seen_mate {
    entry_candidate Candidate;
    steady_time SeenAt;
  };

  cold_policy Policy;
  std::unordered_map<std::uint64_t, seen_mate> Mates;
};

} // namespace magnoliaspread

#endif
