/// Division of a data centre's targets among its live instances. Each target
/// has one owner, so that two instances can't exceed its slots together.
#ifndef MAGNOLIASPREAD_OWNERSHIP_H
#define MAGNOLIASPREAD_OWNERSHIP_H

#include <magnoliaspread/hash.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace magnoliaspread {

/// A target; its ids come from stableId() and are the same on every instance.
struct ownership_target {
  std::uint64_t Id = 0;
  std::uint64_t Service = 0;
};

/// Owner of a target that has none.
inline constexpr std::size_t NoOwner = SIZE_MAX;

/// The owner of each target, as an index into \p Instances, or NoOwner without
/// instances. By rendezvous hash, with at most ceil(targets / instances) of
/// each service for one instance; independent of the order of both lists.
std::vector<std::size_t> ownership(const std::vector<ownership_target> &Targets,
                                   const std::vector<std::uint64_t> &Instances);

} // namespace magnoliaspread

#endif
