#include <magnoliaspread/blockcodec.h>

#include <cstring>
#include <string>
#include <xxhash.h>

namespace magnoliaspread {

namespace {

/// "MGSB" in little-endian order.
constexpr std::uint32_t Magic = 0x4253474D;
constexpr std::uint8_t FormatVersion = 1;
constexpr std::size_t HeaderBytes = 40;
constexpr std::size_t ChecksumBytes = 8;
constexpr std::size_t Ipv4RowBytes = 6;
constexpr std::size_t Ipv6RowBytes = 10;

enum class encoded_kind : std::uint8_t { Chunk = 1, Delta = 2 };

struct encoded_header {
  encoded_kind Kind = encoded_kind::Chunk;
  std::uint16_t Number = 0;
  std::uint16_t Count = 0;
  std::uint32_t Ipv4Rows = 0;
  std::uint32_t Ipv6Rows = 0;
  std::uint64_t Version = 0;
  std::uint64_t FromVersion = 0;
};

/// Header and rows of a chunk or a delta.
struct encoded_blocks {
  encoded_header Header;
  std::vector<client_block> Ipv4;
  std::vector<client_block> Ipv6;
};

void appendNumber(byte_buffer &Out, std::uint64_t Value, std::size_t Bytes) {
  for (std::size_t I = 0; I < Bytes; ++I)
    Out.push_back(static_cast<std::uint8_t>(Value >> (8 * I)));
}

/// Reads little-endian numbers; the caller checks the length.
struct byte_reader {
  std::span<const std::uint8_t> Bytes;
  std::size_t Offset = 0;

  template <class Number> Number get() {
    std::uint64_t Value = 0;
    for (std::size_t I = 0; I < sizeof(Number); ++I)
      Value |= static_cast<std::uint64_t>(Bytes[Offset + I]) << (8 * I);
    Offset += sizeof(Number);
    return static_cast<Number>(Value);
  }
};

error badTable(const std::string &Detail) {
  return {error_kind::BadTable, Detail, {}};
}

std::size_t sizeFor(std::uint64_t Ipv4Rows, std::uint64_t Ipv6Rows) {
  return HeaderBytes + Ipv4Rows * Ipv4RowBytes + Ipv6Rows * Ipv6RowBytes +
         ChecksumBytes;
}

void appendHeader(byte_buffer &Out, const encoded_header &Header) {
  appendNumber(Out, Magic, 4);
  appendNumber(Out, FormatVersion, 1);
  appendNumber(Out, static_cast<std::uint8_t>(Header.Kind), 1);
  appendNumber(Out, Header.Number, 2);
  appendNumber(Out, Header.Count, 2);
  appendNumber(Out, 0, 2);
  appendNumber(Out, Header.Ipv4Rows, 4);
  appendNumber(Out, Header.Ipv6Rows, 4);
  appendNumber(Out, 0, 4);
  appendNumber(Out, Header.Version, 8);
  appendNumber(Out, Header.FromVersion, 8);
}

void appendRows(byte_buffer &Out, const std::vector<client_block> &Rows,
                std::size_t BaseBytes) {
  for (const client_block &Row : Rows) {
    appendNumber(Out, Row.Base, BaseBytes);
    appendNumber(Out, Row.Length, 1);
    appendNumber(Out, Row.Profile.Index, 1);
  }
}

result<byte_buffer> encode(const encoded_blocks &Blocks) {
  encoded_header Header = Blocks.Header;
  Header.Ipv4Rows = static_cast<std::uint32_t>(Blocks.Ipv4.size());
  Header.Ipv6Rows = static_cast<std::uint32_t>(Blocks.Ipv6.size());
  const std::size_t Size = sizeFor(Blocks.Ipv4.size(), Blocks.Ipv6.size());
  if (Size > MaxEncodedBytes)
    return badTable("encoded form of " + std::to_string(Size) +
                    " bytes, at most " + std::to_string(MaxEncodedBytes) +
                    " allowed");
  byte_buffer Out;
  Out.reserve(Size);
  appendHeader(Out, Header);
  appendRows(Out, Blocks.Ipv4, 4);
  appendRows(Out, Blocks.Ipv6, 8);
  appendNumber(Out, XXH64(Out.data(), Out.size(), 0), ChecksumBytes);
  return Out;
}

std::vector<client_block> readRows4(byte_reader &Reader, std::uint32_t Count) {
  std::vector<client_block> Rows;
  Rows.reserve(Count);
  for (std::uint32_t I = 0; I < Count; ++I) {
    const auto Base = Reader.get<std::uint32_t>();
    const auto Length = Reader.get<std::uint8_t>();
    Rows.push_back({Base, Length, {Reader.get<std::uint8_t>()}});
  }
  return Rows;
}

std::vector<client_block> readRows6(byte_reader &Reader, std::uint32_t Count) {
  std::vector<client_block> Rows;
  Rows.reserve(Count);
  for (std::uint32_t I = 0; I < Count; ++I) {
    const auto Base = Reader.get<std::uint64_t>();
    const auto Length = Reader.get<std::uint8_t>();
    Rows.push_back({Base, Length, {Reader.get<std::uint8_t>()}});
  }
  return Rows;
}

result<encoded_header> readHeader(byte_reader &Reader) {
  if (Reader.get<std::uint32_t>() != Magic)
    return badTable("not a block chunk");
  const auto Format = Reader.get<std::uint8_t>();
  if (Format != FormatVersion)
    return badTable("format version " + std::to_string(Format) + ", only " +
                    std::to_string(FormatVersion) + " is supported");
  encoded_header Header;
  Header.Kind = static_cast<encoded_kind>(Reader.get<std::uint8_t>());
  Header.Number = Reader.get<std::uint16_t>();
  Header.Count = Reader.get<std::uint16_t>();
  Reader.get<std::uint16_t>();
  Header.Ipv4Rows = Reader.get<std::uint32_t>();
  Header.Ipv6Rows = Reader.get<std::uint32_t>();
  Reader.get<std::uint32_t>();
  Header.Version = Reader.get<std::uint64_t>();
  Header.FromVersion = Reader.get<std::uint64_t>();
  return Header;
}

result<encoded_blocks> decode(std::span<const std::uint8_t> Bytes,
                              encoded_kind Kind) {
  if (Bytes.size() > MaxEncodedBytes)
    return badTable("more than " + std::to_string(MaxEncodedBytes) + " bytes");
  if (Bytes.size() < HeaderBytes + ChecksumBytes)
    return badTable("only " + std::to_string(Bytes.size()) + " bytes");
  byte_reader Reader{Bytes};
  const result<encoded_header> Read = readHeader(Reader);
  if (failed(Read))
    return errorOf(Read);
  encoded_blocks Blocks;
  Blocks.Header = valueOf(Read);
  const encoded_header &Header = Blocks.Header;
  const std::string ChunkName = "chunk " + std::to_string(Header.Number);
  if (Header.Kind != Kind)
    return badTable(ChunkName + ": not of the expected kind");
  if (Bytes.size() != sizeFor(Header.Ipv4Rows, Header.Ipv6Rows))
    return badTable(ChunkName + ": length doesn't match the row counts");
  const std::size_t Body = Bytes.size() - ChecksumBytes;
  byte_reader Tail{Bytes, Body};
  if (Tail.get<std::uint64_t>() != XXH64(Bytes.data(), Body, 0))
    return badTable(ChunkName + ": wrong checksum");
  Blocks.Ipv4 = readRows4(Reader, Header.Ipv4Rows);
  Blocks.Ipv6 = readRows6(Reader, Header.Ipv6Rows);
  return Blocks;
}

std::vector<client_block> rowsOf(const block_chunk &Chunk) {
  std::vector<client_block> Rows;
  Rows.reserve(Chunk.size());
  for (std::size_t Row = 0; Row < Chunk.size(); ++Row)
    Rows.push_back(Chunk.at(Row));
  return Rows;
}

} // namespace

result<byte_buffer> encodeChunk(const numbered_chunk &Chunk) {
  encoded_blocks Blocks;
  Blocks.Header.Number = Chunk.Number;
  Blocks.Header.Count = Chunk.Count;
  Blocks.Header.Version = Chunk.TableVersion;
  const bool Short = Chunk.Chunk.Family == address_family::Ipv4;
  (Short ? Blocks.Ipv4 : Blocks.Ipv6) = rowsOf(Chunk.Chunk);
  return encode(Blocks);
}

result<numbered_chunk> decodeChunk(std::span<const std::uint8_t> Bytes) {
  const result<encoded_blocks> Decoded = decode(Bytes, encoded_kind::Chunk);
  if (failed(Decoded))
    return errorOf(Decoded);
  const encoded_blocks &Blocks = valueOf(Decoded);
  const std::string ChunkName = "chunk " + std::to_string(Blocks.Header.Number);
  if (!Blocks.Ipv4.empty() && !Blocks.Ipv6.empty())
    return badTable(ChunkName + ": rows of two address families");
  const bool Short = Blocks.Ipv6.empty();
  const result<block_chunk> Chunk =
      makeChunk(Short ? address_family::Ipv4 : address_family::Ipv6,
                Short ? Blocks.Ipv4 : Blocks.Ipv6);
  if (failed(Chunk))
    return badTable(ChunkName + ": " + errorOf(Chunk).Detail);
  return numbered_chunk{Blocks.Header.Version, Blocks.Header.Number,
                        Blocks.Header.Count, valueOf(Chunk)};
}

result<byte_buffer> encodeDelta(const block_delta &Delta) {
  encoded_blocks Blocks;
  Blocks.Header.Kind = encoded_kind::Delta;
  Blocks.Header.Version = Delta.ToVersion;
  Blocks.Header.FromVersion = Delta.FromVersion;
  Blocks.Ipv4 = Delta.Ipv4;
  Blocks.Ipv6 = Delta.Ipv6;
  return encode(Blocks);
}

result<block_delta> decodeDelta(std::span<const std::uint8_t> Bytes) {
  result<encoded_blocks> Decoded = decode(Bytes, encoded_kind::Delta);
  if (failed(Decoded))
    return errorOf(Decoded);
  encoded_blocks &Blocks = valueOf(Decoded);
  return block_delta{Blocks.Header.FromVersion, Blocks.Header.Version,
                     std::move(Blocks.Ipv4), std::move(Blocks.Ipv6)};
}

} // namespace magnoliaspread
