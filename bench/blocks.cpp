/// Benchmark of the client-block table: memory, loading, look-ups, a change of
/// a site weight and a delta, at several sizes.
#include "measures.h"

#include <magnoliaspread/blockcodec.h>
#include <magnoliaspread/blocks.h>
#include <magnoliaspread/sites.h>

#include <chrono>
#include <ctime>
#include <fstream>
#include <random>
#include <unistd.h>

using namespace magnoliaspread;

namespace {

constexpr std::uint16_t Sites = 73;
constexpr std::uint8_t Profiles = 64;
/// One IPv6 block for this many blocks.
constexpr std::size_t Ipv6Stride = 5;
constexpr std::size_t DeltaBlocks = 100;
constexpr double InstanceMemoryBytes = 32e6;
/// Look-ups a second on an average instance.
constexpr double InstanceLookupsPerSecond = 945;
constexpr double ConfigSeconds = 7;

/// CPU time of this process.
double cpuSeconds() {
  std::timespec Time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Time);
  return static_cast<double>(Time.tv_sec) +
         static_cast<double>(Time.tv_nsec) * 1e-9;
}

double residentBytes() {
  std::ifstream File("/proc/self/statm");
  double Size = 0;
  double Resident = 0;
  File >> Size >> Resident;
  return Resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

/// Every third /24 from 1.0.0.0 on, and a few /16 that contain others.
std::vector<client_block> ipv4Blocks(std::size_t Count) {
  std::vector<client_block> Blocks;
  Blocks.reserve(Count);
  std::uint64_t Base = 0x01000000;
  while (Blocks.size() < Count) {
    const auto Profile = static_cast<std::uint8_t>(Base >> 8U) % Profiles;
    if (Base % 0x10000 == 0 && Base % 0x40000 == 0)
      Blocks.push_back({Base, 16, {static_cast<std::uint8_t>(Profile)}});
    else
      Blocks.push_back({Base, 24, {static_cast<std::uint8_t>(Profile)}});
    Base += 0x300;
  }
  return Blocks;
}

std::vector<client_block> ipv6Blocks(std::size_t Count) {
  std::vector<client_block> Blocks;
  Blocks.reserve(Count);
  for (std::size_t I = 0; I < Count; ++I)
    Blocks.push_back({0x2001000000000000ULL + (std::uint64_t{I} << 20U),
                      48,
                      {static_cast<std::uint8_t>(I % Profiles)}});
  return Blocks;
}

void encodeFamily(address_family Family,
                  const std::vector<client_block> &Blocks,
                  std::vector<byte_buffer> &Out) {
  for (std::size_t I = 0; I < Blocks.size(); I += ChunkRows) {
    const std::size_t Rows = std::min(ChunkRows, Blocks.size() - I);
    const std::span Part = std::span(Blocks).subspan(I, Rows);
    const block_chunk Chunk = valueOf(makeChunk(Family, Part));
    const auto Number = static_cast<std::uint16_t>(Out.size());
    Out.push_back(valueOf(encodeChunk({1, Number, 0, Chunk})));
  }
}

/// Decodes the chunks and builds a table from them.
block_table load(const std::vector<byte_buffer> &Encoded) {
  std::vector<block_chunk_pointer> Chunks;
  Chunks.reserve(Encoded.size());
  for (const byte_buffer &Bytes : Encoded) {
    result<numbered_chunk> Decoded = decodeChunk(Bytes);
    Chunks.push_back(
        std::make_shared<const block_chunk>(std::move(valueOf(Decoded).Chunk)));
  }
  return valueOf(makeTable(1, Chunks));
}

site_table siteTable() {
  site_table Table;
  for (std::uint16_t I = 0; I < Sites; ++I)
    setSite(Table, {I}, 0, {});
  for (std::uint8_t P = 0; P < Profiles; ++P)
    for (std::uint16_t I = 0; I < Sites; ++I)
      setSiteWeight(Table, {P}, {I}, 1 + (P + I) % 7);
  return Table;
}

std::vector<block_address> addresses(const std::vector<client_block> &Ipv4,
                                     const std::vector<client_block> &Ipv6) {
  std::mt19937_64 Random(5);
  std::vector<block_address> Found;
  for (int I = 0; I < 1 << 16; ++I) {
    if (I % Ipv6Stride == 0)
      Found.push_back({address_family::Ipv6,
                       Ipv6[Random() % Ipv6.size()].Base + Random() % 65536});
    else
      Found.push_back({address_family::Ipv4,
                       Ipv4[Random() % Ipv4.size()].Base + Random() % 1024});
  }
  return Found;
}

void measureLookups(bench_report &Report, const std::string &Size,
                    const block_table &Table, site_table &SiteTable,
                    const std::vector<block_address> &Addresses) {
  constexpr int Rounds = 8;
  const double Runs = Rounds * static_cast<double>(Addresses.size());
  std::uint64_t Sum = 0;
  double Begin = cpuSeconds();
  for (int I = 0; I < Rounds; ++I)
    for (const block_address &Address : Addresses)
      if (const auto Block = findBlock(Table, Address))
        Sum += Block->Profile.Index;
  print(Report, "block_lookups" + Size, Runs / (cpuSeconds() - Begin),
        "1/s a core", InstanceLookupsPerSecond * 10, bound_side::AtLeast);
  const steady_time Now{std::chrono::hours(1)};
  Begin = cpuSeconds();
  for (const block_address &Address : Addresses) {
    const auto Block = findBlock(Table, Address);
    if (!Block)
      continue;
    const std::uint64_t Key = keyOf(Address.Family, *Block);
    const auto Site = chooseSite(SiteTable, Block->Profile, Key, Now);
    Sum += failed(Site) ? 0 : valueOf(Site).Index;
  }
  print(Report, "site_lookups" + Size,
        static_cast<double>(Addresses.size()) / (cpuSeconds() - Begin),
        "1/s a core", InstanceLookupsPerSecond * 10, bound_side::AtLeast);
  if (Sum == 0)
    std::fprintf(stderr, "no look-up found a block\n");
}

void measureChanges(bench_report &Report, const std::string &Size,
                    const block_table &Table, site_table &SiteTable,
                    const std::vector<client_block> &Ipv4) {
  constexpr int Rounds = 1000;
  double Begin = cpuSeconds();
  for (int I = 0; I < Rounds; ++I)
    setSiteWeight(SiteTable, {3}, {static_cast<std::uint16_t>(I % Sites)},
                  1 + I % 9);
  print(Report, "weight_change" + Size, (cpuSeconds() - Begin) / Rounds * 1e6,
        "us of CPU");
  block_delta Delta{1, 2, {}, {}};
  for (std::size_t I = 0; I < DeltaBlocks; ++I) {
    client_block Block = Ipv4[I * (Ipv4.size() / DeltaBlocks)];
    Block.Profile = {1};
    Delta.Ipv4.push_back(Block);
  }
  const byte_buffer Bytes = valueOf(encodeDelta(Delta));
  print(Report, "delta_bytes" + Size, static_cast<double>(Bytes.size()), "B");
  Begin = cpuSeconds();
  const auto Next = applyDelta(Table, valueOf(decodeDelta(Bytes)));
  print(Report, "delta_spread" + Size, (cpuSeconds() - Begin) * 1e3,
        "ms of CPU", ConfigSeconds * 1e3);
  Delta.Ipv4.resize(1);
  Begin = cpuSeconds();
  const auto One = applyDelta(Table, Delta);
  print(Report, "delta_one_block" + Size, (cpuSeconds() - Begin) * 1e3,
        "ms of CPU", ConfigSeconds * 1e3);
  if (failed(Next) || failed(One))
    std::fprintf(stderr, "a delta was refused\n");
}

void measure(bench_report &Report, std::size_t Count) {
  const std::string Size = "_" + std::to_string(Count);
  std::vector<byte_buffer> Encoded;
  const std::vector<client_block> Ipv6 = ipv6Blocks(Count / Ipv6Stride);
  const std::vector<client_block> Ipv4 = ipv4Blocks(Count - Ipv6.size());
  encodeFamily(address_family::Ipv4, Ipv4, Encoded);
  encodeFamily(address_family::Ipv6, Ipv6, Encoded);
  std::size_t Largest = 0;
  for (const byte_buffer &Bytes : Encoded)
    Largest = std::max(Largest, Bytes.size());
  print(Report, "largest_chunk" + Size, static_cast<double>(Largest), "B",
        750000);
  const double Before = residentBytes();
  const double Begin = cpuSeconds();
  const block_table Table = load(Encoded);
  print(Report, "load" + Size, (cpuSeconds() - Begin) * 1e3, "ms of CPU",
        ConfigSeconds * 1e3);
  print(Report, "resident_growth" + Size, residentBytes() - Before, "B",
        InstanceMemoryBytes);
  const double Memory = static_cast<double>(memoryOf(Table));
  print(Report, "table" + Size, Memory, "B", InstanceMemoryBytes);
  const std::size_t Ipv4Bytes = memoryOf({1, Table.Ipv4, {}});
  print(Report, "ipv4_block" + Size,
        static_cast<double>(Ipv4Bytes) / static_cast<double>(Ipv4.size()),
        "B a block");
  site_table SiteTable = siteTable();
  measureLookups(Report, Size, Table, SiteTable, addresses(Ipv4, Ipv6));
  measureChanges(Report, Size, Table, SiteTable, Ipv4);
}

} // namespace

int main() {
  return runBench([](bench_report &Report) {
    for (const std::size_t Count : {10000U, 100000U, 680000U})
      measure(Report, Count);
  });
}
