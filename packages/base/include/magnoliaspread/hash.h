/// Hashes that are stable across processes and versions.
#ifndef MAGNOLIASPREAD_HASH_H
#define MAGNOLIASPREAD_HASH_H

#include <cstdint>
#include <string_view>

namespace magnoliaspread {

/// XXH64 of \p Name.
std::uint64_t stableId(std::string_view Name);

/// Rendezvous hash score of a pair of ids.
std::uint64_t rendezvousScore(std::uint64_t First, std::uint64_t Second);

/// Identifies one start of a target's process, the same on every instance.
using target_start = std::uint64_t;

target_start targetStart(std::string_view Name, std::int64_t StartedAtMs);

} // namespace magnoliaspread

#endif
