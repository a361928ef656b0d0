/// Capacities of fixed-size tables, in rows.
#ifndef MAGNOLIASPREAD_CONFIG_H
#define MAGNOLIASPREAD_CONFIG_H

#include <cstddef>

namespace magnoliaspread {

inline constexpr std::size_t MaxInstances = 1024;
inline constexpr std::size_t MaxRegions = 32;
inline constexpr std::size_t MaxDataCentres = 64;
inline constexpr std::size_t MaxServices = 64;
inline constexpr std::size_t MaxWorkspaces = 1024;
inline constexpr std::size_t MaxTargets = 4096;
inline constexpr std::size_t MaxSites = 256;
inline constexpr std::size_t MaxClientBlocks = 1u << 20;

} // namespace magnoliaspread

#endif
