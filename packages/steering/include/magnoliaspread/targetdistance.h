/// Distance from an instance to a target.
#ifndef MAGNOLIASPREAD_TARGETDISTANCE_H
#define MAGNOLIASPREAD_TARGETDISTANCE_H

#include <cstddef>
#include <cstdint>

namespace magnoliaspread {

enum class target_distance : std::uint8_t { DataCentre, Region, Remote };

inline constexpr std::size_t TargetDistances = 3;

} // namespace magnoliaspread

#endif
