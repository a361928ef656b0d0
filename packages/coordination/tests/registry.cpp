#include <magnoliaspread/registry.h>
#include <magnoliaspread/story.h>

using namespace magnoliaspread;
using namespace std::chrono_literals;

namespace {

constexpr steady_time Start{std::chrono::hours(1)};

target_record recordOf(const std::string &Name, std::int64_t StartedAt,
                       std::uint64_t Sequence) {
  target_record Record;
  Record.Name = Name;
  Record.Address = {"127.0.0.1", 8000};
  Record.Service = "s";
  Record.DataCentre = "dc-a";
  Record.Slots = 4;
  Record.StartedAtMs = StartedAt;
  Record.Sequence = Sequence;
  return Record;
}

std::size_t openCount(const target_registry &Registry) {
  std::size_t Open = 0;
  for (const registered_target &Row : Registry.targets())
    Open += Row.Open ? 1 : 0;
  return Open;
}

} // namespace

STORY(registry_entries) {
  target_registry Registry{registry_settings{}};
  Registry.platformAnswered(Start);
  Registry.replaceAll({recordOf("a", 1, 1), recordOf("b", 1, 1)}, Start);
  section("a draining target gets no new requests", [&] {
    target_record Leaving = recordOf("a", 1, 2);
    Leaving.Draining = true;
    Registry.upsert(Leaving, Start);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), openCount(Registry));
  });
  section("an older report of the same start changes nothing", [&] {
    Registry.upsert(recordOf("a", 1, 1), Start);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), openCount(Registry));
  });
  section("another start under the name is another target", [&] {
    const auto Before = Registry.targets();
    target_record Again = recordOf("a", 2, 1);
    Again.ColdLeft = 3000ms;
    Registry.upsert(Again, Start + 1s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), openCount(Registry));
    for (const registered_target &Row : Registry.targets()) {
      if (Row.Record.Name != "a")
        continue;
      CPPUNIT_ASSERT(Row.ColdUntil == Start + 4s);
      for (const registered_target &Old : Before)
        CPPUNIT_ASSERT(Old.Handle != Row.Handle);
    }
  });
  section("a removed entry names no target", [&] {
    Registry.remove("b", Start + 1s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Registry.targets().size());
  });
}

STORY(registry_after_the_platform_was_away) {
  target_registry Registry{registry_settings{}};
  Registry.platformAnswered(Start);
  Registry.replaceAll({recordOf("a", 1, 1), recordOf("b", 1, 1)}, Start);
  section("entries that expired meanwhile stay for a while", [&] {
    Registry.platformAnswered(Start + 5s);
    Registry.replaceAll({}, Start + 5s);
    Registry.tick(Start + 6s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), openCount(Registry));
  });
  section("one that registers again stays", [&] {
    Registry.upsert(recordOf("a", 1, 9), Start + 6s);
    Registry.tick(Start + 8s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), openCount(Registry));
    CPPUNIT_ASSERT_EQUAL(std::string("a"),
                         Registry.targets().at(0).Record.Name);
  });
  section("without an outage a missing entry is dropped at once", [&] {
    Registry.platformAnswered(Start + 7s);
    Registry.platformAnswered(Start + 9s);
    Registry.remove("a", Start + 9s);
    CPPUNIT_ASSERT(Registry.targets().empty());
  });
}

STORY(registry_evacuations) {
  target_registry Registry{registry_settings{}};
  Registry.platformAnswered(Start);
  Registry.replaceAll({recordOf("a", 1, 1)}, Start);
  Registry.setEvacuated({"dc-a"}, Start + 1s);
  section("an evacuated data centre gets no requests",
          [&] { CPPUNIT_ASSERT_EQUAL(std::size_t(0), openCount(Registry)); });
  section("its targets count as cold after the evacuation", [&] {
    Registry.setEvacuated({}, Start + 9s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), openCount(Registry));
    CPPUNIT_ASSERT(Registry.targets().at(0).ColdUntil > Start + 9s);
  });
}

STORY(registry_lists) {
  target_registry Registry(registry_settings{});
  section("the first list names every target", [&] {
    const auto Changes =
        Registry.replaceAll({recordOf("a", 1, 1), recordOf("b", 1, 1)}, Start);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Changes.size());
  });
  section("later reports of the same state are no change", [&] {
    const auto Changes = Registry.replaceAll(
        {recordOf("a", 1, 2), recordOf("b", 1, 2)}, Start + 1s);
    CPPUNIT_ASSERT(Changes.empty());
  });
  section("another state, another start and a removal are", [&] {
    target_record Draining = recordOf("a", 1, 3);
    Draining.Draining = true;
    auto Changes =
        Registry.replaceAll({Draining, recordOf("b", 2, 1)}, Start + 2s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Changes.size());
    Changes = Registry.replaceAll({Draining}, Start + 3s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Changes.size());
    CPPUNIT_ASSERT(Changes[0].Removed);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), Changes[0].Record.Name);
  });
  section("one that was missing and registers again is a change", [&] {
    target_registry Returned(registry_settings{});
    Returned.platformAnswered(Start);
    Returned.replaceAll({recordOf("a", 1, 1)}, Start);
    Returned.platformAnswered(Start + 20s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         Returned.replaceAll({}, Start + 20s).size());
    CPPUNIT_ASSERT_EQUAL(
        std::size_t(1),
        Returned.replaceAll({recordOf("a", 1, 1)}, Start + 21s).size());
  });
}

STORY(registry_of_targets_that_say_they_leave) {
  target_registry Registry{registry_settings{}};
  Registry.platformAnswered(Start);
  Registry.replaceAll({recordOf("a", 1, 1), recordOf("b", 1, 1)}, Start);
  section("such a target gets no new requests", [&] {
    CPPUNIT_ASSERT(Registry.noteLeaving("a", 1));
    CPPUNIT_ASSERT(!Registry.noteLeaving("a", 1));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), openCount(Registry));
  });
  section("later reports of its entry and lists don't bring it back", [&] {
    Registry.upsert(recordOf("a", 1, 5), Start + 1s);
    Registry.replaceAll({recordOf("a", 1, 6), recordOf("b", 1, 2)}, Start + 2s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), openCount(Registry));
  });
  section("nor does an entry that was removed and registers again", [&] {
    Registry.remove("a", Start + 3s);
    Registry.upsert(recordOf("a", 1, 7), Start + 4s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), openCount(Registry));
  });
  section("nor the end of an evacuation", [&] {
    Registry.setEvacuated({"dc-a"}, Start + 5s);
    Registry.setEvacuated({}, Start + 6s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), openCount(Registry));
  });
  section("a new start under its name is another target", [&] {
    Registry.upsert(recordOf("a", 2, 1), Start + 7s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), openCount(Registry));
  });
}
