/// A load that few instances could bear, on a data centre of many.
#include <magnoliaspread/entries.h>
#include <magnoliaspread/story.h>

#include <algorithm>

using namespace magnoliaspread;

namespace {

constexpr std::uint32_t Strong = 250;
constexpr std::uint32_t Weak = 50;

/// Strong instances first, each with an even part of \p Rate.
std::vector<entry_candidate>
dataCentre(std::size_t StrongCount, std::size_t WeakCount, std::uint32_t Rate) {
  std::vector<entry_candidate> Rows;
  const std::size_t Count = StrongCount + WeakCount;
  for (std::size_t I = 0; I < Count; ++I)
    Rows.push_back({1000 - I, I < StrongCount ? Strong : Weak,
                    static_cast<std::uint32_t>(Rate / Count)});
  return Rows;
}

} // namespace

STORY(entries_of_a_data_centre) {
  section("strong instances that bear the load are named alone", [&] {
    const auto Rows = dataCentre(2, 8, 220);
    const auto Named = chooseEntries(Rows);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Named.size());
    for (const std::size_t Row : Named)
      CPPUNIT_ASSERT_EQUAL(Strong, Rows[Row].Capacity);
  });
  section("weak ones that an even part would overload stay unnamed", [&] {
    // Ten with an even part bear 500 together, two strong ones as much.
    CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                         chooseEntries(dataCentre(2, 8, 900)).size());
  });
  section("they are named when together they bear more", [&] {
    CPPUNIT_ASSERT_EQUAL(std::size_t(20),
                         chooseEntries(dataCentre(2, 18, 640)).size());
  });
  section("equals are added as the load rises, always the same first", [&] {
    std::vector<std::size_t> Before;
    for (const std::uint32_t Rate : {0U, 300U, 600U, 1200U}) {
      const auto Named = chooseEntries(dataCentre(8, 0, Rate));
      CPPUNIT_ASSERT(Named.size() >= Before.size());
      CPPUNIT_ASSERT(std::equal(Before.begin(), Before.end(), Named.begin()));
      Before = Named;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(8), Before.size());
  });
  section("without load there is still another one to go to", [&] {
    CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                         chooseEntries(dataCentre(4, 4, 0)).size());
  });
  section("one that is left alone is named, none gives none", [&] {
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         chooseEntries(dataCentre(0, 1, 500)).size());
    CPPUNIT_ASSERT(chooseEntries({}).empty());
  });
  section("while a capacity is unknown all are named", [&] {
    auto Rows = dataCentre(2, 3, 100);
    Rows[4].Capacity = 0;
    CPPUNIT_ASSERT_EQUAL(std::size_t(5), chooseEntries(Rows).size());
  });
  section("those above half of the strongest count as strong", [&] {
    const auto Rows = dataCentre(2, 3, 100);
    CPPUNIT_ASSERT(Strong >= strongCapacity(Rows) &&
                   Weak < strongCapacity(Rows));
    CPPUNIT_ASSERT(Weak >= strongCapacity(dataCentre(0, 3, 100)));
  });
}
