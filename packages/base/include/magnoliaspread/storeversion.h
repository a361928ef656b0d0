/// Versions of the platform's objects.
#ifndef MAGNOLIASPREAD_STOREVERSION_H
#define MAGNOLIASPREAD_STOREVERSION_H

#include <cstdint>
#include <tuple>

namespace magnoliaspread {

/// Rises each time the platform comes back from an older copy of its objects:
/// what it acknowledged since the copy is gone, and revisions are given out
/// again. 0 for a platform that reports none.
using store_era = std::uint64_t;

/// A revision and the era in which it was given out.
struct store_version {
  store_era Era = 0;
  std::uint64_t Revision = 0;

  bool operator==(const store_version &) const = default;
  bool operator<(const store_version &Other) const {
    return std::tie(Era, Revision) < std::tie(Other.Era, Other.Revision);
  }
};

} // namespace magnoliaspread

#endif
