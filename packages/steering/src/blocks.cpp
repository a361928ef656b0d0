#include <magnoliaspread/blocks.h>

#include <magnoliaspread/config.h>

#include <algorithm>
#include <arpa/inet.h>
#include <bit>

namespace magnoliaspread {

namespace {

using chunk_list = std::vector<block_chunk_pointer>;

constexpr unsigned Ipv4Bits = 32;
constexpr unsigned Ipv6PrefixBits = 64;
constexpr std::size_t Ipv4RowBytes = 6;
constexpr std::size_t Ipv6RowBytes = 10;

/// The first \p Length bits of \p Bits, the rest zero.
std::uint64_t masked(address_family Family, std::uint64_t Bits,
                     unsigned Length) {
  const unsigned Width = longestPrefix(Family);
  if (Length == 0)
    return 0;
  const std::uint64_t All = Width == 64 ? ~0ULL : (1ULL << Width) - 1;
  return Bits & (All << (Width - Length)) & All;
}

bool containsAddress(address_family Family, const client_block &Block,
                     std::uint64_t Bits) {
  return masked(Family, Bits, Block.Length) == Block.Base;
}

/// Number of common leading bits of two addresses.
unsigned commonBits(address_family Family, std::uint64_t A, std::uint64_t B) {
  const unsigned Zeros = static_cast<unsigned>(std::countl_zero(A ^ B));
  return std::min(Zeros - (64 - longestPrefix(Family)), longestPrefix(Family));
}

std::string rowText(std::size_t Row) { return "row " + std::to_string(Row); }

status checkRow(address_family Family, const client_block &Block,
                std::size_t Row) {
  const unsigned Longest = longestPrefix(Family);
  if (Block.Length > Longest)
    return error{error_kind::BadTable,
                 rowText(Row) + ": prefix of " + std::to_string(Block.Length) +
                     " bits, at most " + std::to_string(Longest) + " allowed",
                 {}};
  if (masked(Family, Block.Base, Block.Length) != Block.Base)
    return error{error_kind::BadTable,
                 rowText(Row) + ": address bits set past the prefix",
                 {}};
  return {};
}

status checkRows(address_family Family, std::span<const client_block> Blocks) {
  for (std::size_t Row = 0; Row < Blocks.size(); ++Row) {
    status Check = checkRow(Family, Blocks[Row], Row);
    if (failed(Check))
      return Check;
    if (Row > 0 && !before(Blocks[Row - 1], Blocks[Row]))
      return error{error_kind::BadTable,
                   rowText(Row) + ": not after the row before it",
                   {}};
  }
  return {};
}

/// Packs valid rows.
block_chunk pack(address_family Family, std::span<const client_block> Blocks) {
  block_chunk Chunk;
  Chunk.Family = Family;
  const bool Short = Family == address_family::Ipv4;
  Chunk.Bases4.reserve(Short ? Blocks.size() : 0);
  Chunk.Bases6.reserve(Short ? 0 : Blocks.size());
  Chunk.Lengths.reserve(Blocks.size());
  Chunk.Profiles.reserve(Blocks.size());
  for (const client_block &Block : Blocks) {
    if (Short)
      Chunk.Bases4.push_back(static_cast<std::uint32_t>(Block.Base));
    else
      Chunk.Bases6.push_back(Block.Base);
    Chunk.Lengths.push_back(Block.Length);
    Chunk.Profiles.push_back(Block.Profile.Index);
  }
  return Chunk;
}

/// The number of rows up to and including \p Key.
std::size_t rowsUpTo(const block_chunk &Chunk, const client_block &Key) {
  std::size_t Low = 0;
  std::size_t High = Chunk.size();
  while (Low < High) {
    const std::size_t Middle = (Low + High) / 2;
    if (before(Key, Chunk.at(Middle)))
      High = Middle;
    else
      Low = Middle + 1;
  }
  return Low;
}

/// The number of chunks that begin at or before \p Key.
std::size_t chunksUpTo(const chunk_list &Chunks, const client_block &Key) {
  const auto After = std::upper_bound(
      Chunks.begin(), Chunks.end(), Key,
      [](const client_block &Block, const block_chunk_pointer &Chunk) {
        return before(Block, Chunk->at(0));
      });
  return static_cast<std::size_t>(After - Chunks.begin());
}

/// The last block at or before \p Key.
std::optional<client_block> lastUpTo(const chunk_list &Chunks,
                                     const client_block &Key) {
  const std::size_t Count = chunksUpTo(Chunks, Key);
  if (Count == 0)
    return std::nullopt;
  const block_chunk &Chunk = *Chunks[Count - 1];
  return Chunk.at(rowsUpTo(Chunk, Key) - 1);
}

/// Appends \p Blocks as one chunk, or as chunks of ChunkRows if there are more
/// than LargestChunkRows.
void appendChunks(address_family Family, std::span<const client_block> Blocks,
                  chunk_list &Chunks) {
  const bool Whole = Blocks.size() <= LargestChunkRows;
  const std::size_t Step = Whole ? LargestChunkRows : ChunkRows;
  for (std::size_t First = 0; First < Blocks.size(); First += Step) {
    const std::size_t Count = std::min(Step, Blocks.size() - First);
    Chunks.push_back(std::make_shared<const block_chunk>(
        pack(Family, Blocks.subspan(First, Count))));
  }
}

/// The rows of a chunk after the changes.
std::vector<client_block> mergeRows(const block_chunk *Chunk,
                                    std::span<const client_block> Changes) {
  std::vector<client_block> Rows;
  const std::size_t Size = Chunk ? Chunk->size() : 0;
  Rows.reserve(Size + Changes.size());
  std::size_t Row = 0;
  for (const client_block &Change : Changes) {
    while (Row < Size && before(Chunk->at(Row), Change))
      Rows.push_back(Chunk->at(Row++));
    if (Row < Size && !before(Change, Chunk->at(Row)))
      ++Row;
    if (Change.Profile != NoProfile)
      Rows.push_back(Change);
  }
  while (Row < Size)
    Rows.push_back(Chunk->at(Row++));
  return Rows;
}

chunk_list mergeChunks(address_family Family, const chunk_list &Old,
                       std::span<const client_block> Changes) {
  if (Changes.empty())
    return Old;
  chunk_list New;
  if (Old.empty())
    appendChunks(Family, mergeRows(nullptr, Changes), New);
  for (std::size_t I = 0; I < Old.size(); ++I) {
    std::size_t Count = Changes.size();
    if (I + 1 < Old.size()) {
      const client_block Next = Old[I + 1]->at(0);
      const auto End =
          std::lower_bound(Changes.begin(), Changes.end(), Next, before);
      Count = static_cast<std::size_t>(End - Changes.begin());
    }
    if (Count == 0)
      New.push_back(Old[I]);
    else
      appendChunks(Family, mergeRows(Old[I].get(), Changes.first(Count)), New);
    Changes = Changes.subspan(Count);
  }
  return New;
}

std::size_t countRows(const chunk_list &Chunks) {
  std::size_t Count = 0;
  for (const block_chunk_pointer &Chunk : Chunks)
    Count += Chunk->size();
  return Count;
}

status sortChunks(chunk_list &Chunks) {
  std::sort(Chunks.begin(), Chunks.end(),
            [](const block_chunk_pointer &A, const block_chunk_pointer &B) {
              return before(A->at(0), B->at(0));
            });
  for (std::size_t I = 1; I < Chunks.size(); ++I) {
    const block_chunk &Last = *Chunks[I - 1];
    if (!before(Last.at(Last.size() - 1), Chunks[I]->at(0)))
      return error{error_kind::BadTable,
                   "chunk " + std::to_string(I) + " overlaps the one before it",
                   {}};
  }
  return {};
}

error tooManyBlocks() {
  return {error_kind::BadTable,
          "more than " + std::to_string(MaxClientBlocks) + " blocks",
          {}};
}

} // namespace

unsigned longestPrefix(address_family Family) {
  return Family == address_family::Ipv4 ? Ipv4Bits : Ipv6PrefixBits;
}

result<block_address> parseAddress(std::string_view Text) {
  const std::string Copy(Text);
  std::array<std::uint8_t, 16> Bytes{};
  if (inet_pton(AF_INET, Copy.c_str(), Bytes.data()) == 1) {
    std::uint64_t Bits = 0;
    for (std::size_t I = 0; I < 4; ++I)
      Bits = Bits << 8 | Bytes[I];
    return block_address{address_family::Ipv4, Bits};
  }
  if (inet_pton(AF_INET6, Copy.c_str(), Bytes.data()) != 1)
    return error{error_kind::BadRequest, "not an IP address", {}};
  std::uint64_t High = 0;
  std::uint64_t Low = 0;
  for (std::size_t I = 0; I < 8; ++I) {
    High = High << 8 | Bytes[I];
    Low = Low << 8 | Bytes[I + 8];
  }
  if (High == 0 && Low >> 32 == 0xFFFF)
    return block_address{address_family::Ipv4, Low & 0xFFFFFFFFU};
  return block_address{address_family::Ipv6, High};
}

bool before(const client_block &A, const client_block &B) {
  return A.Base != B.Base ? A.Base < B.Base : A.Length < B.Length;
}

client_block block_chunk::at(std::size_t Row) const {
  const std::uint64_t Base =
      Family == address_family::Ipv4 ? Bases4[Row] : Bases6[Row];
  return {Base, Lengths[Row], {Profiles[Row]}};
}

result<block_chunk> makeChunk(address_family Family,
                              std::span<const client_block> Blocks) {
  if (Blocks.size() > LargestChunkRows)
    return error{error_kind::BadTable,
                 "more than " + std::to_string(LargestChunkRows) +
                     " rows in a chunk",
                 {}};
  status Check = checkRows(Family, Blocks);
  if (failed(Check))
    return errorOf(Check);
  for (std::size_t Row = 0; Row < Blocks.size(); ++Row)
    if (Blocks[Row].Profile == NoProfile)
      return error{error_kind::BadTable, rowText(Row) + ": no profile", {}};
  return pack(Family, Blocks);
}

result<block_table> makeTable(std::uint64_t Version, const chunk_list &Chunks) {
  block_table Table;
  Table.Version = Version;
  for (const block_chunk_pointer &Chunk : Chunks) {
    if (Chunk->size() == 0)
      continue;
    const bool Short = Chunk->Family == address_family::Ipv4;
    (Short ? Table.Ipv4 : Table.Ipv6).push_back(Chunk);
  }
  if (blockCount(Table) > MaxClientBlocks)
    return tooManyBlocks();
  for (chunk_list *List : {&Table.Ipv4, &Table.Ipv6}) {
    status Check = sortChunks(*List);
    if (failed(Check))
      return errorOf(Check);
  }
  return Table;
}

result<block_table> applyDelta(const block_table &Table,
                               const block_delta &Delta) {
  if (Delta.FromVersion != Table.Version || Delta.ToVersion <= Table.Version)
    return error{error_kind::VersionConflict,
                 "delta from version " + std::to_string(Delta.FromVersion) +
                     " on version " + std::to_string(Table.Version),
                 {}};
  status Check = checkRows(address_family::Ipv4, Delta.Ipv4);
  if (!failed(Check))
    Check = checkRows(address_family::Ipv6, Delta.Ipv6);
  if (failed(Check))
    return errorOf(Check);
  block_table New;
  New.Version = Delta.ToVersion;
  New.Ipv4 = mergeChunks(address_family::Ipv4, Table.Ipv4, Delta.Ipv4);
  New.Ipv6 = mergeChunks(address_family::Ipv6, Table.Ipv6, Delta.Ipv6);
  if (blockCount(New) > MaxClientBlocks)
    return tooManyBlocks();
  return New;
}

std::optional<client_block> findBlock(const block_table &Table,
                                      const block_address &Address) {
  const address_family Family = Address.Family;
  const chunk_list &Chunks =
      Family == address_family::Ipv4 ? Table.Ipv4 : Table.Ipv6;
  unsigned Length = longestPrefix(Family);
  // Prefixes nest: the last block up to the address is the longest one that
  // contains it, or any that does is no longer than their common prefix.
  for (;;) {
    const client_block Key{masked(Family, Address.Bits, Length),
                           static_cast<std::uint8_t>(Length), NoProfile};
    const std::optional<client_block> Last = lastUpTo(Chunks, Key);
    if (!Last || containsAddress(Family, *Last, Address.Bits))
      return Last;
    Length = commonBits(Family, Last->Base, Address.Bits);
  }
}

std::uint64_t keyOf(address_family Family, const client_block &Block) {
  const std::uint64_t Tag = static_cast<std::uint64_t>(Family) << 8;
  return Block.Base * 0x9E3779B97F4A7C15ULL + (Tag | Block.Length);
}

std::size_t blockCount(const block_table &Table) {
  return countRows(Table.Ipv4) + countRows(Table.Ipv6);
}

std::size_t memoryOf(const block_table &Table) {
  const std::size_t Chunks = Table.Ipv4.size() + Table.Ipv6.size();
  return countRows(Table.Ipv4) * Ipv4RowBytes +
         countRows(Table.Ipv6) * Ipv6RowBytes +
         Chunks * (sizeof(block_chunk) + sizeof(block_chunk_pointer)) +
         sizeof(block_table);
}

} // namespace magnoliaspread
