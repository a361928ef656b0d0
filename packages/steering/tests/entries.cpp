/// Instances announced to callers of a data centre, by load and capacity.
#include <magnoliaspread/entries.h>
#include <magnoliaspread/story.h>

#include <algorithm>

using namespace magnoliaspread;

namespace {

constexpr std::uint32_t Strong = 250;
constexpr std::uint32_t Weak = 50;

/// Strong instances first, each with an even share of \p Rate.
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
  section("only strong instances are announced if they carry the load", [&] {
    const auto Rows = dataCentre(2, 8, 220);
    const auto Announced = chooseEntries(Rows);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Announced.size());
    for (const std::size_t Row : Announced)
      CPPUNIT_ASSERT_EQUAL(Strong, Rows[Row].Capacity);
  });
  section("weak instances that an even share would overload are left out", [&] {
    // Ten instances with even shares carry 500, as many as two strong ones.
    CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                         chooseEntries(dataCentre(2, 8, 900)).size());
  });
  section("they are announced if all together carry more", [&] {
    CPPUNIT_ASSERT_EQUAL(std::size_t(20),
                         chooseEntries(dataCentre(2, 18, 640)).size());
  });
  section("equal instances are added in a fixed order as the load rises", [&] {
    std::vector<std::size_t> Before;
    for (const std::uint32_t Rate : {0U, 300U, 600U, 1200U}) {
      const auto Announced = chooseEntries(dataCentre(8, 0, Rate));
      CPPUNIT_ASSERT(Announced.size() >= Before.size());
      CPPUNIT_ASSERT(
          std::equal(Before.begin(), Before.end(), Announced.begin()));
      Before = Announced;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(8), Before.size());
  });
  section("two are announced even without load", [&] {
    CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                         chooseEntries(dataCentre(4, 4, 0)).size());
  });
  section("a single instance is announced, and none without instances", [&] {
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         chooseEntries(dataCentre(0, 1, 500)).size());
    CPPUNIT_ASSERT(chooseEntries({}).empty());
  });
  section("all are announced while a capacity is unknown", [&] {
    auto Rows = dataCentre(2, 3, 100);
    Rows[4].Capacity = 0;
    CPPUNIT_ASSERT_EQUAL(std::size_t(5), chooseEntries(Rows).size());
  });
  section("half of the largest capacity counts as strong", [&] {
    const auto Rows = dataCentre(2, 3, 100);
    CPPUNIT_ASSERT(Strong >= strongCapacity(Rows) &&
                   Weak < strongCapacity(Rows));
    CPPUNIT_ASSERT(Weak >= strongCapacity(dataCentre(0, 3, 100)));
  });
}
