/// Hashes that are the same in every process and version.
#ifndef MAGNOLIASPREAD_HASH_H
#define MAGNOLIASPREAD_HASH_H

#include <cstdint>
#include <string_view>

namespace magnoliaspread {

std::uint64_t stableId(std::string_view Name);

/// Rendezvous score of a pair of ids.
std::uint64_t rendezvousScore(std::uint64_t First, std::uint64_t Second);

} // namespace magnoliaspread

#endif
