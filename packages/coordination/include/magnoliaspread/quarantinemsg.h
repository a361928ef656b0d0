/// Message by which instances share quarantined request fingerprints.
#ifndef MAGNOLIASPREAD_QUARANTINEMSG_H
#define MAGNOLIASPREAD_QUARANTINEMSG_H

#include <chrono>
#include <cstdint>

namespace magnoliaspread {

/// A request that several targets died of is refused everywhere for a time.
struct quarantine_notice {
  std::uint64_t Fingerprint = 0;
  /// Left of the quarantine when the notice was sent.
  std::chrono::milliseconds Remaining{0};
  /// Targets that died while the request was alone in common to them.
  std::uint32_t Deaths = 0;

  bool operator==(const quarantine_notice &) const = default;
};

} // namespace magnoliaspread

#endif
