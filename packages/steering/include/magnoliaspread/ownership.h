/// Division of a data centre's targets among its live instances, so that each
/// target has one owner and two instances never add up past its slots.
#ifndef MAGNOLIASPREAD_OWNERSHIP_H
#define MAGNOLIASPREAD_OWNERSHIP_H

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace magnoliaspread {

/// Hash of a name that is the same in every process.
std::uint64_t stableId(std::string_view Name);

/// Rendezvous score of a pair of ids.
std::uint64_t rendezvousScore(std::uint64_t First, std::uint64_t Second);

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
