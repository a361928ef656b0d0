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

} // namespace magnoliaspread

#endif
