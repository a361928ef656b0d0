#include <magnoliaspread/hash.h>

#include <xxhash.h>

namespace magnoliaspread {

std::uint64_t stableId(std::string_view Name) {
  return XXH64(Name.data(), Name.size(), 0);
}

std::uint64_t rendezvousScore(std::uint64_t First, std::uint64_t Second) {
  std::uint64_t Hash = First ^ (Second * 0x9E3779B97F4A7C15ULL);
  Hash = (Hash ^ (Hash >> 30)) * 0xBF58476D1CE4E5B9ULL;
  Hash = (Hash ^ (Hash >> 27)) * 0x94D049BB133111EBULL;
  return Hash ^ (Hash >> 31);
}

target_start targetStart(std::string_view Name, std::int64_t StartedAtMs) {
  return XXH64(Name.data(), Name.size(),
               static_cast<XXH64_hash_t>(StartedAtMs));
}

} // namespace magnoliaspread
