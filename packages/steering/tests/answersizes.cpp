/// Answer sizes by kind: kinds that change, kinds that fall silent, more kinds
/// than the table holds.
#include <magnoliaspread/answersizes.h>
#include <magnoliaspread/story.h>

#include <cmath>
#include <random>

using namespace magnoliaspread;
using namespace std::chrono_literals;

namespace {

constexpr steady_time Start{std::chrono::hours(1)};

/// Notes \p Count answers with a log-normal size of mean \p Mean.
void noteMany(answer_sizes &Sizes, std::uint64_t Kind, double Mean, int Count,
              std::uint64_t Seed) {
  constexpr double Spread = 0.6;
  std::mt19937_64 Random{Seed};
  std::lognormal_distribution<double> Size(std::log(Mean) - Spread * Spread / 2,
                                           Spread);
  for (int I = 0; I < Count; ++I)
    Sizes.note(Kind, static_cast<std::size_t>(Size(Random)), Start);
}

} // namespace

// Downloads of 90 KB and reads of 5 KB on the same instance.
STORY(answer_sizes_are_learned_by_kind) {
  answer_sizes Sizes;
  section("an unknown kind has none",
          [&] { CPPUNIT_ASSERT(!Sizes.find(1, Start)); });
  section("mean and tail follow the kind's own answers", [&] {
    noteMany(Sizes, 1, 90000, 400, 1);
    noteMany(Sizes, 2, 5000, 400, 2);
    const auto Large = Sizes.find(1, Start);
    const auto Small = Sizes.find(2, Start);
    CPPUNIT_ASSERT(Large && Small);
    CPPUNIT_ASSERT(Large->Mean > 60000 && Large->Mean < 130000);
    CPPUNIT_ASSERT(Small->Mean > 3300 && Small->Mean < 7200);
    CPPUNIT_ASSERT(Large->Tail > 1.3 * 90000 && Large->Tail < 5 * 90000.0);
    CPPUNIT_ASSERT(Small->Tail > 1.3 * 5000 && Small->Tail < 5 * 5000.0);
  });
}

// A route whose answers grow when its service changes what it returns.
STORY(answer_sizes_follow_a_kind_that_changes) {
  answer_sizes Sizes;
  noteMany(Sizes, 1, 2000, 200, 1);
  section("up", [&] {
    noteMany(Sizes, 1, 90000, 60, 2);
    CPPUNIT_ASSERT(Sizes.find(1, Start)->Mean > 60000);
    CPPUNIT_ASSERT(Sizes.find(1, Start)->Tail > 90000);
  });
  section("and down again", [&] {
    noteMany(Sizes, 1, 2000, 60, 3);
    CPPUNIT_ASSERT(Sizes.find(1, Start)->Mean < 4000);
    noteMany(Sizes, 1, 2000, 1000, 4);
    CPPUNIT_ASSERT(Sizes.find(1, Start)->Tail < 10000);
  });
}

// A kind that is seldom asked for, and a caller that invents routes.
STORY(answer_sizes_are_bounded_in_time_and_number) {
  answer_size_policy Policy;
  Policy.MaxKinds = 4;
  answer_sizes Sizes(Policy);
  Sizes.note(1, 90000, Start);
  section("an old size isn't believed", [&] {
    CPPUNIT_ASSERT(Sizes.find(1, Start + Policy.Lifetime - 1ms));
    CPPUNIT_ASSERT(!Sizes.find(1, Start + Policy.Lifetime));
  });
  section("and doesn't weigh when the kind is seen again", [&] {
    Sizes.note(1, 10, Start + Policy.Lifetime);
    CPPUNIT_ASSERT_EQUAL(10.0, Sizes.find(1, Start + Policy.Lifetime)->Mean);
  });
  section("the kind unused for longest makes room", [&] {
    for (std::uint64_t Kind = 2; Kind <= 5; ++Kind)
      Sizes.note(Kind, 100, Start + Policy.Lifetime + 1ms * Kind);
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), Sizes.kinds());
    CPPUNIT_ASSERT(!Sizes.find(1, Start + Policy.Lifetime + 10ms));
    CPPUNIT_ASSERT(Sizes.find(5, Start + Policy.Lifetime + 10ms));
  });
}
