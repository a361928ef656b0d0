/// Client-block table: longest-prefix match of IPv4 and IPv6 addresses, with a
/// profile of site weights for each prefix.
///
/// Blocks are stored in immutable chunks of packed sorted arrays, 6 bytes for
/// an IPv4 block and 10 for an IPv6 one. A delta rebuilds only the chunks that
/// it changes; the others are shared between the old and the new table. Tables
/// are published to readers without a lock.
#ifndef MAGNOLIASPREAD_BLOCKS_H
#define MAGNOLIASPREAD_BLOCKS_H

#include <magnoliaspread/error.h>
#include <magnoliaspread/sites.h>

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliaspread {

enum class address_family : std::uint8_t { Ipv4 = 4, Ipv6 = 6 };

/// Longest prefix of a block in bits: 32 for IPv4, 64 for IPv6.
unsigned longestPrefix(address_family Family);

/// First 64 bits of an address; an IPv4 address is in the low 32 bits.
struct block_address {
  address_family Family = address_family::Ipv4;
  std::uint64_t Bits = 0;
};

/// Parses an IP address; an IPv4-mapped IPv6 address counts as IPv4.
result<block_address> parseAddress(std::string_view Text);

/// One prefix and its profile; NoProfile in a delta removes the block.
struct client_block {
  std::uint64_t Base = 0;
  std::uint8_t Length = 0;
  profile_id Profile;

  bool operator==(const client_block &) const = default;
};

/// Order of blocks in a table: by base, then by length.
bool before(const client_block &A, const client_block &B);

/// Sorted blocks of one family.
struct block_chunk {
  address_family Family = address_family::Ipv4;
  /// Bases of IPv4 blocks; empty for IPv6.
  std::vector<std::uint32_t> Bases4;
  /// Bases of IPv6 blocks; empty for IPv4.
  std::vector<std::uint64_t> Bases6;
  std::vector<std::uint8_t> Lengths;
  std::vector<std::uint8_t> Profiles;

  std::size_t size() const { return Lengths.size(); }
  client_block at(std::size_t Row) const;
};

using block_chunk_pointer = std::shared_ptr<const block_chunk>;

/// Rows of a chunk when a larger one is split; in base64 the encoded form of
/// any chunk is under 1 MB.
inline constexpr std::size_t ChunkRows = 32768;
inline constexpr std::size_t LargestChunkRows = 2 * ChunkRows;

struct block_table {
  std::uint64_t Version = 0;
  /// Chunks in ascending order of their rows.
  std::vector<block_chunk_pointer> Ipv4;
  std::vector<block_chunk_pointer> Ipv6;
};

/// Packs sorted blocks into one chunk. BadTable when there are too many rows,
/// or with the row that is out of order, duplicated, too long, without a
/// profile or has bits set past its length.
result<block_chunk> makeChunk(address_family Family,
                              std::span<const client_block> Blocks);

/// Builds a table of chunks in any order. BadTable when two overlap or there
/// are more than MaxClientBlocks rows.
result<block_table> makeTable(std::uint64_t Version,
                              const std::vector<block_chunk_pointer> &Chunks);

/// Changed blocks of both families, sorted by before().
struct block_delta {
  std::uint64_t FromVersion = 0;
  std::uint64_t ToVersion = 0;
  std::vector<client_block> Ipv4;
  std::vector<client_block> Ipv6;
};

/// The table after a delta; \p Table is unchanged. VersionConflict when the
/// delta applies to another version; BadTable for unsorted or malformed rows.
result<block_table> applyDelta(const block_table &Table,
                               const block_delta &Delta);

/// The longest block that contains \p Address.
std::optional<client_block> findBlock(const block_table &Table,
                                      const block_address &Address);

/// Key of a block for chooseSite().
std::uint64_t keyOf(address_family Family, const client_block &Block);

std::size_t blockCount(const block_table &Table);

/// Memory of the table's chunks in bytes.
std::size_t memoryOf(const block_table &Table);

} // namespace magnoliaspread

#endif
