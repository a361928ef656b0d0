#include <magnoliaspread/blockcodec.h>
#include <magnoliaspread/blocks.h>
#include <magnoliaspread/sites.h>
#include <magnoliaspread/story.h>

#include <algorithm>
#include <random>
#include <xxhash.h>

using namespace magnoliaspread;

namespace {

constexpr steady_time Start{std::chrono::hours(1)};

/// Random blocks with few bits set, so that they are often nested.
std::vector<client_block> randomBlocks(address_family Family, std::size_t Count,
                                       std::mt19937_64 &Random) {
  const unsigned Longest = longestPrefix(Family);
  std::vector<client_block> Blocks;
  for (std::size_t I = 0; I < Count; ++I) {
    const auto Length = static_cast<std::uint8_t>(Random() % (Longest + 1));
    const std::uint64_t Sparse = Random() & Random() & Random();
    const std::uint64_t Shift = 64 - Longest;
    const std::uint64_t Mask =
        Length == 0 ? 0 : ~0ULL << (64 - Length) >> Shift;
    Blocks.push_back({Sparse >> Shift & Mask,
                      Length,
                      {static_cast<std::uint8_t>(Random() % 255)}});
  }
  std::sort(Blocks.begin(), Blocks.end(), before);
  Blocks.erase(std::unique(Blocks.begin(), Blocks.end(),
                           [](const client_block &A, const client_block &B) {
                             return A.Base == B.Base && A.Length == B.Length;
                           }),
               Blocks.end());
  return Blocks;
}

/// Linear search as the reference.
std::optional<client_block> naiveFind(address_family Family,
                                      const std::vector<client_block> &Blocks,
                                      std::uint64_t Bits) {
  const unsigned Longest = longestPrefix(Family);
  std::optional<client_block> Best;
  for (const client_block &Block : Blocks) {
    const unsigned Rest = Longest - Block.Length;
    const bool Contains = Rest >= 64 || Bits >> Rest == Block.Base >> Rest;
    if (Contains && (!Best || Block.Length > Best->Length))
      Best = Block;
  }
  return Best;
}

block_table tableOf(const std::vector<client_block> &Ipv4,
                    const std::vector<client_block> &Ipv6, std::size_t Rows) {
  std::vector<block_chunk_pointer> Chunks;
  const auto Add = [&](address_family Family,
                       const std::vector<client_block> &Blocks) {
    for (std::size_t I = 0; I < Blocks.size(); I += Rows) {
      const std::span Part =
          std::span(Blocks).subspan(I, std::min(Rows, Blocks.size() - I));
      Chunks.push_back(std::make_shared<const block_chunk>(
          valueOf(makeChunk(Family, Part))));
    }
  };
  Add(address_family::Ipv4, Ipv4);
  Add(address_family::Ipv6, Ipv6);
  return valueOf(makeTable(1, Chunks));
}

void compareLookups(const block_table &Table, address_family Family,
                    const std::vector<client_block> &Blocks,
                    std::mt19937_64 &Random) {
  for (int I = 0; I < 600; ++I) {
    std::uint64_t Bits = (Random() & Random()) >> (64 - longestPrefix(Family));
    if (I % 2 == 0 && !Blocks.empty())
      Bits = Blocks[Random() % Blocks.size()].Base + Random() % 3;
    if (Family == address_family::Ipv4)
      Bits &= 0xFFFFFFFFU;
    const auto Found = findBlock(Table, {Family, Bits});
    CPPUNIT_ASSERT(Found == naiveFind(Family, Blocks, Bits));
  }
}

std::vector<client_block> applied(std::vector<client_block> Blocks,
                                  const std::vector<client_block> &Changes) {
  for (const client_block &Change : Changes) {
    std::erase_if(Blocks, [&](const client_block &Block) {
      return Block.Base == Change.Base && Block.Length == Change.Length;
    });
    if (Change.Profile != NoProfile)
      Blocks.push_back(Change);
  }
  std::sort(Blocks.begin(), Blocks.end(), before);
  return Blocks;
}

numbered_chunk sampleChunk() {
  const std::vector<client_block> Blocks{{0x0A000000, 8, {1}},
                                         {0x0A010000, 16, {2}}};
  return {7, 3, 9, valueOf(makeChunk(address_family::Ipv4, Blocks))};
}

void checkBad(const byte_buffer &Bytes, const char *Text) {
  const auto Decoded = decodeChunk(Bytes);
  CPPUNIT_ASSERT(failed(Decoded));
  CPPUNIT_ASSERT(errorOf(Decoded).Kind == error_kind::BadTable);
  CPPUNIT_ASSERT_MESSAGE(errorOf(Decoded).Detail,
                         errorOf(Decoded).Detail.find(Text) !=
                             std::string::npos);
}

} // namespace

STORY(block_lookup) {
  section("random nested blocks agree with a linear search", [&] {
    for (std::uint64_t Seed = 1; Seed <= 12; ++Seed) {
      std::mt19937_64 Random(Seed);
      const auto Ipv4 =
          randomBlocks(address_family::Ipv4, 300 * (Seed % 3), Random);
      const auto Ipv6 = randomBlocks(address_family::Ipv6, 200, Random);
      const block_table Table = tableOf(Ipv4, Ipv6, 1 + Seed * 5);
      compareLookups(Table, address_family::Ipv4, Ipv4, Random);
      compareLookups(Table, address_family::Ipv6, Ipv6, Random);
    }
  });
  section("addresses are parsed", [&] {
    CPPUNIT_ASSERT(valueOf(parseAddress("10.1.2.3")).Bits == 0x0A010203);
    CPPUNIT_ASSERT(valueOf(parseAddress("2001:db8::1")).Bits ==
                   0x20010DB800000000ULL);
    CPPUNIT_ASSERT(valueOf(parseAddress("::ffff:10.1.2.3")).Family ==
                   address_family::Ipv4);
    for (const char *Text : {"", "10.1.2", "10.1.2.3.4", "host", "1::2::3"})
      CPPUNIT_ASSERT(failed(parseAddress(Text)));
  });
}

STORY(block_deltas) {
  section("random deltas agree with a rebuilt table", [&] {
    for (std::uint64_t Seed = 1; Seed <= 8; ++Seed) {
      std::mt19937_64 Random(Seed);
      auto Blocks = randomBlocks(address_family::Ipv4, 400, Random);
      block_table Table = tableOf(Blocks, {}, 37);
      for (std::uint64_t Round = 1; Round < 10; ++Round) {
        auto Changes = randomBlocks(address_family::Ipv4, 20, Random);
        for (std::size_t I = 0; I < 10; ++I)
          Changes.push_back(Blocks[Random() % Blocks.size()]);
        for (client_block &Change : Changes)
          Change.Profile = Random() % 2 == 0 ? NoProfile : profile_id{3};

        std::sort(Changes.begin(), Changes.end(), before);
        Changes.erase(
            std::unique(Changes.begin(), Changes.end(),
                        [](const client_block &A, const client_block &B) {
                          return !before(A, B) && !before(B, A);
                        }),
            Changes.end());
        const auto Next = applyDelta(Table, {Round, Round + 1, Changes, {}});
        CPPUNIT_ASSERT(!failed(Next));
        Table = valueOf(Next);
        Blocks = applied(Blocks, Changes);
        CPPUNIT_ASSERT_EQUAL(Blocks.size(), blockCount(Table));
        compareLookups(Table, address_family::Ipv4, Blocks, Random);
      }
    }
  });
  section("a delta for another version changes nothing", [&] {
    const block_table Table = tableOf({{0x0A000000, 8, {1}}}, {}, 10);
    const auto Next = applyDelta(Table, {2, 3, {}, {}});
    CPPUNIT_ASSERT(errorOf(Next).Kind == error_kind::VersionConflict);
  });
  section("untouched chunks are shared with the old table", [&] {
    std::mt19937_64 Random(3);
    const auto Blocks = randomBlocks(address_family::Ipv4, 400, Random);
    const block_table Table = tableOf(Blocks, {}, 50);
    client_block Last = Blocks.back();
    Last.Profile = {9};
    const auto Next = applyDelta(Table, {1, 2, {Last}, {}});
    const block_table &After = valueOf(Next);
    CPPUNIT_ASSERT(After.Ipv4.front() == Table.Ipv4.front());
    CPPUNIT_ASSERT(After.Ipv4.back() != Table.Ipv4.back());
  });
}

STORY(block_codec) {
  const byte_buffer Bytes = valueOf(encodeChunk(sampleChunk()));
  section("a chunk survives encoding and decoding", [&] {
    const numbered_chunk Chunk = valueOf(decodeChunk(Bytes));
    CPPUNIT_ASSERT(Chunk.TableVersion == 7 && Chunk.Number == 3 &&
                   Chunk.Count == 9 && Chunk.Chunk.size() == 2);
    CPPUNIT_ASSERT(Chunk.Chunk.at(1) == sampleChunk().Chunk.at(1));
  });
  section("a delta survives encoding and decoding", [&] {
    const block_delta Delta{
        4, 5, {{0x0A000000, 8, NoProfile}}, {{1ULL << 63, 9, {2}}}};
    const auto Back = decodeDelta(valueOf(encodeDelta(Delta)));
    CPPUNIT_ASSERT(valueOf(Back).Ipv4 == Delta.Ipv4);
    CPPUNIT_ASSERT(valueOf(Back).Ipv6 == Delta.Ipv6);
    CPPUNIT_ASSERT(failed(decodeChunk(valueOf(encodeDelta(Delta)))));
  });
  section("the largest chunk in base64 fits a platform value", [&] {
    std::vector<client_block> Blocks;
    for (std::uint64_t I = 0; I < LargestChunkRows; ++I)
      Blocks.push_back({I << 16, 48, {1}});
    const auto Chunk = valueOf(makeChunk(address_family::Ipv6, Blocks));
    const auto Encoded = encodeChunk({1, 0, 1, Chunk});
    CPPUNIT_ASSERT(valueOf(Encoded).size() * 4 / 3 + 4 < 1000000);
  });
  section("any changed byte is detected", [&] {
    for (std::size_t I = 0; I < Bytes.size(); ++I) {
      byte_buffer Changed = Bytes;
      Changed[I] ^= 0x20;
      CPPUNIT_ASSERT(failed(decodeChunk(Changed)));
    }
  });
  section("the error names the chunk and the row", [&] {
    numbered_chunk Bad = sampleChunk();
    std::swap(Bad.Chunk.Bases4[0], Bad.Chunk.Bases4[1]);
    std::swap(Bad.Chunk.Lengths[0], Bad.Chunk.Lengths[1]);
    checkBad(valueOf(encodeChunk(Bad)), "chunk 3: row 1: not after");
    Bad = sampleChunk();
    Bad.Chunk.Bases4[1] |= 1;
    checkBad(valueOf(encodeChunk(Bad)), "chunk 3: row 1: address bits");
    Bad = sampleChunk();
    Bad.Chunk.Lengths[0] = 33;
    checkBad(valueOf(encodeChunk(Bad)), "chunk 3: row 0: prefix of 33");
  });
  section("overlapping chunks are refused", [&] {
    const auto Chunk = std::make_shared<const block_chunk>(sampleChunk().Chunk);
    CPPUNIT_ASSERT(failed(makeTable(1, {Chunk, Chunk})));
  });
}

STORY(block_codec_fuzz) {
  const byte_buffer Sample = valueOf(encodeChunk(sampleChunk()));
  for (std::uint64_t Seed = 1; Seed <= 20000; ++Seed) {
    std::mt19937_64 Random(Seed);
    byte_buffer Bytes = Sample;
    for (std::uint64_t I = Random() % 6; I > 0; --I)
      Bytes[Random() % Bytes.size()] = static_cast<std::uint8_t>(Random());
    if (Random() % 3 == 0)
      Bytes.resize(Random() % (2 * Sample.size()));
    const auto Chunk = decodeChunk(Bytes);
    CPPUNIT_ASSERT(failed(Chunk) || Bytes == Sample);
    CPPUNIT_ASSERT(failed(decodeDelta(Bytes)));
    if (Bytes.size() < 8)
      continue;
    // With a correct checksum the row checks must catch the damage.
    const std::size_t Body = Bytes.size() - 8;
    const std::uint64_t Sum = XXH64(Bytes.data(), Body, 0);
    for (std::size_t I = 0; I < 8; ++I)
      Bytes[Body + I] = static_cast<std::uint8_t>(Sum >> (8 * I));
    const auto Summed = decodeChunk(Bytes);
    if (failed(Summed))
      continue;
    const block_chunk &Rows = valueOf(Summed).Chunk;
    for (std::size_t Row = 1; Row < Rows.size(); ++Row)
      CPPUNIT_ASSERT(before(Rows.at(Row - 1), Rows.at(Row)));
  }
}

STORY(site_choice) {
  site_table Table;
  for (std::uint16_t I = 0; I < 5; ++I) {
    setSite(Table, {I}, 0, Start);
    setSiteWeight(Table, {0}, {I}, 1 + I);
  }
  constexpr std::uint64_t Count = 30000;
  const auto Preferred = [&] {
    std::vector<std::uint16_t> Sites;
    for (std::uint64_t Key = 0; Key < Count; ++Key)
      Sites.push_back(valueOf(preferredSite(Table, {0}, Key)).Index);
    return Sites;
  };
  const std::vector<std::uint16_t> Before = Preferred();
  section("blocks are divided by weight", [&] {
    for (std::uint16_t I = 0; I < 5; ++I) {
      const auto Part = std::count(Before.begin(), Before.end(), I);
      CPPUNIT_ASSERT_DOUBLES_EQUAL((1 + I) / 15.0, Part / double(Count), 0.01);
    }
  });
  section("a changed weight moves only its fraction of the blocks", [&] {
    setSiteWeight(Table, {0}, {0}, 2);
    const std::vector<std::uint16_t> After = Preferred();
    std::uint64_t Moved = 0;
    for (std::size_t I = 0; I < Count; ++I) {
      Moved += Before[I] != After[I] ? 1 : 0;
      CPPUNIT_ASSERT(Before[I] == After[I] || After[I] == 0);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2 / 16.0 - 1 / 15.0, Moved / double(Count),
                                 0.01);
  });
  section("an unhealthy site gets nothing", [&] {
    setSiteHealth(Table, {4}, false);
    for (const std::uint16_t Site : Preferred())
      CPPUNIT_ASSERT(Site != 4);
    setSiteHealth(Table, {4}, true);
  });
  section("a capped site gets no more than its cap", [&] {
    setSite(Table, {4}, 100, Start);
    int Sent = 0;
    for (int Step = 0; Step < 2000; ++Step)
      for (std::uint64_t Key = 0; Key < 5; ++Key) {
        const auto Now = Start + std::chrono::milliseconds(Step);
        const std::uint64_t Block = std::uint64_t(Step) * 5 + Key;
        const auto Site = chooseSite(Table, {0}, Block, Now);
        Sent += valueOf(Site).Index == 4 ? 1 : 0;
      }
    CPPUNIT_ASSERT(Sent <= 200 && Sent >= 190);
  });
  section("without a site the lookup fails", [&] {
    for (std::uint16_t I = 0; I < 5; ++I)
      setSiteHealth(Table, {I}, false);
    const auto Site = chooseSite(Table, {0}, 1, Start);
    CPPUNIT_ASSERT(errorOf(Site).Kind == error_kind::NoCapacity);
    const auto Unknown = chooseSite(Table, {9}, 1, Start);
    CPPUNIT_ASSERT(errorOf(Unknown).Kind == error_kind::NotFound);
  });
}
