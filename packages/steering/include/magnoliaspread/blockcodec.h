/// Encoding of block chunks and deltas in the platform's objects: a header with
/// version and counts, packed rows in little-endian order, and an xxHash64 of
/// all preceding bytes.
#ifndef MAGNOLIASPREAD_BLOCKCODEC_H
#define MAGNOLIASPREAD_BLOCKCODEC_H

#include <magnoliaspread/blocks.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace magnoliaspread {

using byte_buffer = std::vector<std::uint8_t>;

/// Largest encoded chunk or delta, in bytes; in base64 it is under 1 MB.
inline constexpr std::size_t MaxEncodedBytes = std::size_t{720} * 1024;

/// A chunk and its position in the table.
struct numbered_chunk {
  std::uint64_t TableVersion = 0;
  std::uint16_t Number = 0;
  /// Number of chunks in the table.
  std::uint16_t Count = 0;
  block_chunk Chunk;
};

/// BadTable when the encoded form would pass MaxEncodedBytes.
result<byte_buffer> encodeChunk(const numbered_chunk &Chunk);

/// BadTable, with the chunk's number and the row if known, for a wrong format,
/// version, length, checksum or order.
result<numbered_chunk> decodeChunk(std::span<const std::uint8_t> Bytes);

/// BadTable when the encoded form would pass MaxEncodedBytes.
result<byte_buffer> encodeDelta(const block_delta &Delta);
result<block_delta> decodeDelta(std::span<const std::uint8_t> Bytes);

} // namespace magnoliaspread

#endif
