/// Division of a data centre's targets among its live instances, so that each
/// target has one owner and two instances never add up past its slots.
#ifndef MAGNOLIASPREAD_OWNERSHIP_H
#define MAGNOLIASPREAD_OWNERSHIP_H

#include <magnoliaspread/hash.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace magnoliaspread {

/// One target as every mate sees it; ids come from stableId().
struct ownership_target {
  std::uint64_t Id = 0;
  std::uint64_t Service = 0;
};

/// Index of a mate that owns nothing.
inline constexpr std::size_t NoOwner = SIZE_MAX;

/// The owner of each target, as an index into \p Mates, or NoOwner without
/// mates. By rendezvous hash, with at most ceil(targets / mates) of each
/// service to one mate; depends only on the sets, not on their order.
std::vector<std::size_t> ownership(const std::vector<ownership_target> &Targets,
                                   const std::vector<std::uint64_t> &Mates);

} // namespace magnoliaspread

#endif
