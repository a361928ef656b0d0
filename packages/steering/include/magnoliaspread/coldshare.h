/// Division of a cold target's rate among the instances of its region. A cold
/// target breaks down beyond a small rate, and many instances have requests
/// for it.
///
/// The rate is shared by a few instances of high capacity. Each decides from
/// its own membership view; one that is partitioned from the others must not
/// take over their shares, so peers count for longer after they were last seen
/// than a target stays cold. Does no I/O and reads no clock.
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
  /// Instances that share a target's rate, at most.
  std::size_t Owners = 3;
  /// Fraction of the rate that they use together.
  double RateFraction = 0.9;
  /// Time for which a peer counts after it was last seen: twice the longest
  /// cold time of a target (site files, 4.5 s).
  std::chrono::milliseconds PeerTime{9000};
};

class cold_shares {
public:
  explicit cold_shares(const cold_policy &Policy = {}) : Policy(Policy) {}

  /// Sets the live instances of the region other than the own one.
  void setRegionalPeers(const std::vector<entry_candidate> &Peers,
                        steady_time Now);

  /// Fraction of the rate of the cold target \p Target that \p Own may send; 0
  /// unless it is one of the target's owners.
  double share(std::uint64_t Target, const entry_candidate &Own) const;

private:
  struct seen_peer {
    entry_candidate Candidate;
    steady_time SeenAt;
  };

  cold_policy Policy;
  std::unordered_map<std::uint64_t, seen_peer> Peers;
};

} // namespace magnoliaspread

#endif
