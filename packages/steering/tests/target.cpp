#include <magnoliaspread/ownership.h>
#include <magnoliaspread/story.h>
#include <magnoliaspread/target.h>

#include <random>
#include <set>

using namespace magnoliaspread;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr steady_time Start{std::chrono::hours(1)};
constexpr service_handle Service{0};

/// \p Count owned targets past their slow start.
target_table tableOf(std::uint16_t Count, std::uint32_t Slots) {
  target_table Table(64);
  for (std::uint16_t I = 0; I < Count; ++I) {
    setTarget(Table, {I}, {Service, Slots, drain_state::Active},
              Start - seconds(60));
    setOwned(Table, {I}, true, Start - seconds(60));
  }
  return Table;
}

std::uint32_t fill(target_table &Table, steady_time Now,
                   std::mt19937_64 &Random) {
  std::uint32_t Count = 0;
  for (;;) {
    const result<target_handle> Target = pick(Table, Service, Now, Random());
    if (failed(Target))
      return Count;
    started(Table, valueOf(Target), Now);
    ++Count;
  }
}

void failTimes(target_table &Table, target_handle Target, int Times,
               steady_time Now) {
  for (int I = 0; I < Times; ++I) {
    started(Table, Target, Now);
    requestFailed(Table, Target, Now);
  }
}

} // namespace

STORY(target_slots) {
  std::mt19937_64 Random(1);
  section("slots are filled and never exceeded", [&] {
    target_table Table = tableOf(5, 4);
    CPPUNIT_ASSERT_EQUAL(20U, fill(Table, Start, Random));
    for (std::uint16_t I = 0; I < 5; ++I)
      CPPUNIT_ASSERT_EQUAL(4U, Table.Rows[I].InFlight);
  });
  section("a refusal has a retry time", [&] {
    target_table Table = tableOf(1, 0);
    const auto Target = pick(Table, Service, Start, 1);
    CPPUNIT_ASSERT(errorOf(Target).Kind == error_kind::NoCapacity);
    CPPUNIT_ASSERT(errorOf(Target).RetryAfter > milliseconds(0));
  });
  section("the slots of a new target ramp up", [&] {
    target_table Table(4);
    setTarget(Table, {0}, {Service, 6, drain_state::Active}, Start);
    setOwned(Table, {0}, true, Start);
    CPPUNIT_ASSERT_EQUAL(1U, usableSlots(Table, {0}, Start));
    CPPUNIT_ASSERT_EQUAL(3U, usableSlots(Table, {0}, Start + seconds(2)));
    CPPUNIT_ASSERT_EQUAL(6U, usableSlots(Table, {0}, Start + seconds(5)));
  });
  section("a target gets nothing as soon as it drains", [&] {
    target_table Table = tableOf(2, 4);
    setTarget(Table, {0}, {Service, 4, drain_state::Draining}, Start);
    CPPUNIT_ASSERT_EQUAL(4U, fill(Table, Start, Random));
    CPPUNIT_ASSERT_EQUAL(0U, Table.Rows[0].InFlight);
  });
  section("requests of a removed target count for its handle", [&] {
    target_table Table = tableOf(1, 4);
    fill(Table, Start, Random);
    removeTarget(Table, {0});
    setTarget(Table, {0}, {Service, 4, drain_state::Active}, Start);
    setOwned(Table, {0}, true, Start);
    const steady_time Later = Start + seconds(10);
    CPPUNIT_ASSERT(failed(pick(Table, Service, Later, 1)));
    for (int I = 0; I < 4; ++I)
      finished(Table, {0}, Later);
    CPPUNIT_ASSERT(!failed(pick(Table, Service, Later, 1)));
  });
}

STORY(target_health) {
  std::mt19937_64 Random(2);
  section("a failing target is ejected, then probed by one request", [&] {
    target_table Table = tableOf(3, 4);
    failTimes(Table, {0}, 3, Start);
    CPPUNIT_ASSERT_EQUAL(0U, usableSlots(Table, {0}, Start));
    const steady_time Probe = Start + seconds(1);
    CPPUNIT_ASSERT_EQUAL(1U + 8U, fill(Table, Probe, Random));
    finished(Table, {0}, Probe);
    CPPUNIT_ASSERT(Table.Rows[0].Health == target_health::Healthy);
    CPPUNIT_ASSERT_EQUAL(1U, usableSlots(Table, {0}, Probe));
  });
  section("each further ejection is longer, up to a limit", [&] {
    target_table Table = tableOf(2, 4);
    failTimes(Table, {0}, 3, Start);
    steady_time Now = Start;
    milliseconds Last{0};
    for (int I = 0; I < 12; ++I) {
      const auto Pause = Table.Rows[0].EjectedUntil - Now;
      CPPUNIT_ASSERT(Pause >= Last && Pause <= Table.Policy.LargestEjection);
      Last = std::chrono::duration_cast<milliseconds>(Pause);
      Now = Table.Rows[0].EjectedUntil;
      failTimes(Table, {0}, 1, Now);
    }
    CPPUNIT_ASSERT(Last == Table.Policy.LargestEjection);
  });
  section("the last healthy target is never ejected", [&] {
    target_table Table = tableOf(3, 4);
    for (std::uint16_t I = 0; I < 3; ++I)
      failTimes(Table, {I}, 10, Start);
    CPPUNIT_ASSERT(!failed(pick(Table, Service, Start, 3)));
  });
  section("a target that sheds gets nothing for the retry time", [&] {
    target_table Table = tableOf(1, 4);
    started(Table, {0}, Start);
    shed(Table, {0}, Start, milliseconds(700));
    const auto Refused = pick(Table, Service, Start + milliseconds(699), 1);
    CPPUNIT_ASSERT(failed(Refused));
    CPPUNIT_ASSERT(!failed(pick(Table, Service, Start + milliseconds(700), 1)));
  });
}

STORY(target_reports) {
  section("a report can't close a target that we haven't loaded", [&] {
    target_table Table = tableOf(1, 4);
    reportLoad(Table, {0}, 1000, Start);
    CPPUNIT_ASSERT(!failed(pick(Table, Service, Start, 1)));
  });
  section("a report can't hide our own requests", [&] {
    target_table Table = tableOf(1, 4);
    for (int I = 0; I < 4; ++I)
      started(Table, {0}, Start);
    reportLoad(Table, {0}, 0, Start);
    CPPUNIT_ASSERT(failed(pick(Table, Service, Start, 1)));
  });
  section("abandoned requests count until the report is outdated", [&] {
    target_table Table = tableOf(1, 4);
    for (int I = 0; I < 4; ++I)
      started(Table, {0}, Start);
    for (int I = 0; I < 4; ++I)
      abandoned(Table, {0}, Start);
    reportLoad(Table, {0}, 4, Start);
    CPPUNIT_ASSERT(failed(pick(Table, Service, Start, 1)));
    CPPUNIT_ASSERT(
        !failed(pick(Table, Service, Start + milliseconds(2001), 1)));
  });
  section("a new owner respects requests of the previous one", [&] {
    target_table Table = tableOf(1, 4);
    setOwned(Table, {0}, false, Start);
    setOwned(Table, {0}, true, Start);
    reportLoad(Table, {0}, 4, Start);
    CPPUNIT_ASSERT(failed(pick(Table, Service, Start, 1)));
  });
}

STORY(target_random_events) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    std::mt19937_64 Random(Seed);
    target_table Table = tableOf(6, 3);
    std::vector<target_handle> Running;
    steady_time Now = Start;
    for (int I = 0; I < 3000; ++I) {
      Now += milliseconds(Random() % 40);
      const target_handle Any{static_cast<std::uint16_t>(Random() % 6)};
      const auto Drain =
          Random() % 8 == 0 ? drain_state::Draining : drain_state::Active;
      if (Random() % 50 == 0)
        setTarget(Table, Any, {Service, 3, Drain}, Now);
      if (Random() % 60 == 0)
        setOwned(Table, Any, Random() % 4 != 0, Now);
      reportLoad(Table, Any, static_cast<std::uint32_t>(Random() % 9), Now);
      const auto Target = pick(Table, Service, Now, Random());
      if (!failed(Target)) {
        const target_state &Row = Table.Rows[valueOf(Target).Index];
        CPPUNIT_ASSERT(Row.Owned && Row.Info.Drain == drain_state::Active);
        CPPUNIT_ASSERT(Row.InFlight < 3);
        started(Table, valueOf(Target), Now);
        Running.push_back(valueOf(Target));
      }
      if (!Running.empty() && Random() % 2 == 0) {
        const target_handle Done = Running.back();
        Running.pop_back();
        if (Random() % 5 == 0)
          requestFailed(Table, Done, Now);
        else if (Random() % 9 == 0)
          shed(Table, Done, Now, milliseconds(Random() % 100));
        else
          finished(Table, Done, Now);
      }
    }
    std::size_t InFlight = 0;
    for (const target_state &Row : Table.Rows)
      InFlight += Row.InFlight;
    CPPUNIT_ASSERT_EQUAL(Running.size(), InFlight);
  }
}

STORY(target_ownership) {
  std::vector<ownership_target> Targets;
  for (std::uint64_t I = 0; I < 40; ++I)
    Targets.push_back({stableId("t" + std::to_string(I)), I % 2});
  std::vector<std::uint64_t> Instances;
  Instances.reserve(5);
  for (int I = 0; I < 5; ++I)
    Instances.push_back(stableId("m" + std::to_string(I)));
  const std::vector<std::size_t> Owners = ownership(Targets, Instances);
  section("each service's targets are spread evenly", [&] {
    for (std::uint64_t Service = 0; Service < 2; ++Service) {
      std::vector<int> Loads(Instances.size(), 0);
      for (std::size_t I = 0; I < Targets.size(); ++I)
        Loads[Owners[I]] += Targets[I].Service == Service ? 1 : 0;
      for (const int Load : Loads)
        CPPUNIT_ASSERT(Load <= 4);
    }
  });
  section("the order of the lists doesn't matter", [&] {
    const std::vector<ownership_target> Back(Targets.rbegin(), Targets.rend());
    const std::vector<std::uint64_t> Turned(Instances.rbegin(),
                                            Instances.rend());
    const std::vector<std::size_t> Others = ownership(Back, Turned);
    for (std::size_t I = 0; I < Targets.size(); ++I)
      CPPUNIT_ASSERT_EQUAL(Instances[Owners[I]],
                           Turned[Others[Targets.size() - 1 - I]]);
  });
  section("removing an instance moves few targets of the others", [&] {
    const std::vector<std::uint64_t> Left(Instances.begin(),
                                          Instances.end() - 1);
    const std::vector<std::size_t> After = ownership(Targets, Left);
    int Moved = 0;
    for (std::size_t I = 0; I < Targets.size(); ++I)
      Moved += Owners[I] != 4 && Owners[I] != After[I] ? 1 : 0;
    CPPUNIT_ASSERT(Moved <= 12);
  });
  section("without instances there is no owner",
          [&] { CPPUNIT_ASSERT_EQUAL(NoOwner, ownership(Targets, {})[0]); });
}
