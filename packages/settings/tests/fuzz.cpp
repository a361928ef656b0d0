#include "tables.h"

#include <magnoliaspread/settings.h>
#include <magnoliaspread/table_csv.h>

#include <magnoliaspread/story.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <random>

using namespace magnoliaspread;

namespace {

constexpr std::uint64_t FirstSeed = 20261204;
constexpr int Runs = 1500;
constexpr int MaxMutations = 6;

/// Characters with a meaning to the parsers.
constexpr std::string_view SyntaxCharacters = "{}[]\",:\r\n*/-+.eE0919 \\u\0";

/// Changes a text at a few random positions.
class mutator {
public:
  explicit mutator(std::uint64_t Seed) : Random(Seed) {}

  std::string mutate(std::string Text) {
    int Count = 1 + static_cast<int>(below(MaxMutations));
    for (int I = 0; I < Count; ++I)
      change(Text);
    return Text;
  }

private:
  std::size_t below(std::size_t End) { return Random() % End; }

  void change(std::string &Text) {
    std::size_t At = below(Text.size() + 1);
    std::size_t Length = std::min(below(20), Text.size() - At);
    switch (below(5)) {
    case 0:
      Text.erase(At, Length);
      break;
    case 1:
      Text.insert(At, 1, SyntaxCharacters[below(SyntaxCharacters.size())]);
      break;
    case 2:
      Text.insert(At, 1, static_cast<char>(below(256)));
      break;
    case 3:
      Text.insert(below(Text.size() + 1), Text.substr(At, Length));
      break;
    default:
      Text.resize(At);
    }
  }

  std::mt19937_64 Random;
};

/// Runs \p Check on mutations of \p Text; prints the seed that fails.
void fuzz(const std::string &Text,
          const std::function<void(const std::string &)> &Check) {
  for (int Run = 0; Run < Runs; ++Run) {
    std::uint64_t Seed = FirstSeed + static_cast<std::uint64_t>(Run);
    std::string Changed = mutator(Seed).mutate(Text);
    try {
      Check(Changed);
    } catch (...) {
      std::cerr << "failing seed: " << Seed << "\n";
      throw;
    }
  }
}

/// An accepted table is valid and survives a round trip; a rejection has a
/// reason.
void checkRead(const result<config_table> &Read) {
  if (failed(Read)) {
    CPPUNIT_ASSERT(errorOf(Read).Kind == error_kind::BadTable);
    CPPUNIT_ASSERT(!errorOf(Read).Detail.empty());
    return;
  }
  CPPUNIT_ASSERT(!failed(checkTable(valueOf(Read))));
  auto Again = parseTable(formatTable(valueOf(Read)));
  CPPUNIT_ASSERT(!failed(Again) && valueOf(Again) == valueOf(Read));
}

} // namespace

STORY(damaged_texts_are_rejected_or_valid) {
  config_table Table = smallTable();
  section("tables", [&] {
    fuzz(formatTable(Table),
         [](const std::string &Text) { checkRead(parseTable(Text)); });
  });
  section("CSV of every kind", [&] {
    for (int I = 0; I < static_cast<int>(row_kind::Count); ++I) {
      auto Kind = static_cast<row_kind>(I);
      fuzz(formatCsv(Table, Kind), [&](const std::string &Text) {
        checkRead(parseCsv(Table, Kind, Text));
      });
    }
  });
  section("settings", [&] {
    std::string Text =
        R"({"name":"a","region":"r","data_centre":"d",
"public":{"address":"127.0.0.1","port":1},
"internal":{"address":"127.0.0.1","port":2},
"admin":{"address":"127.0.0.1","port":3},
"platform":{"address":"127.0.0.1","port":4},
"peers":[{"name":"b","region":"r","data_centre":"d",
"internal":{"address":"::1","port":2},
"public":{"address":"127.0.0.1","port":1}}],
"fleet_secret":")" +
        std::string(64, 'b') + "\"}";
    CPPUNIT_ASSERT(!failed(parseSettings(Text, "f")));
    fuzz(Text, [](const std::string &Changed) {
      auto Read = parseSettings(Changed, "f");
      if (failed(Read))
        CPPUNIT_ASSERT(errorOf(Read).Kind == error_kind::BadSettings);
    });
  });
}
