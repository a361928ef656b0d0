/// What an instance concludes when the platform comes back from an older copy.
#include <magnoliaspread/platformview.h>
#include <magnoliaspread/registry.h>
#include <magnoliaspread/storehistory.h>

#include <magnoliaspread/story.h>

using namespace magnoliaspread;
using namespace std::chrono_literals;

namespace {

target_record targetAt(std::uint64_t Sequence, std::int64_t StartedAtMs = 1) {
  target_record Record;
  Record.Name = "t";
  Record.Sequence = Sequence;
  Record.StartedAtMs = StartedAtMs;
  return Record;
}

} // namespace

// Guards against answers of a copy that lacks what was accepted last.
STORY(store_history_proves_nothing_at_first) {
  const boot_time T0{1h};
  const history_settings Settings;
  section("era 0 has lost nothing", [&] {
    store_history History(Settings);
    CPPUNIT_ASSERT(!History.hear(0, T0));
    CPPUNIT_ASSERT(!History.isRewriting(T0));
  });
  section(
      "a higher era is a loss, the same one again or a lower one isn't", [&] {
        store_history History(Settings);
        History.hear(0, T0);
        CPPUNIT_ASSERT(History.hear(1, T0));
        CPPUNIT_ASSERT(!History.hear(1, T0 + 1s));
        CPPUNIT_ASSERT(!History.hear(0, T0 + 1s));
        CPPUNIT_ASSERT(History.isRewriting(T0 + Settings.RewriteTime - 1ms));
        CPPUNIT_ASSERT(!History.isRewriting(T0 + Settings.RewriteTime));
      });
  section("a starting instance can't tell when the era began", [&] {
    store_history History(Settings);
    CPPUNIT_ASSERT(!History.hear(3, T0));
    CPPUNIT_ASSERT(History.isRewriting(T0));
  });
  section("at the fleet's first start nothing was accepted before", [&] {
    store_history History({2300ms, true});
    CPPUNIT_ASSERT(!History.hear(1, T0));
    CPPUNIT_ASSERT(!History.isRewriting(T0));
    CPPUNIT_ASSERT(History.hear(2, T0));
    CPPUNIT_ASSERT(History.isRewriting(T0));
  });
}

// Guards against a withdrawn key that an older copy, or a peer that heard of
// the loss later, proves current.
STORY(view_of_two_eras) {
  const boot_time T0{1h};
  platform_view View(view_settings(), "i1");
  View.hearEra(0, T0);
  View.confirmRoutes(5, T0);
  View.confirmTargets(90, T0);
  View.setEvacuated({"dc1"}, T0);
  view_reply Older;
  Older.AskedAt = T0 + 1s;
  Older.Version = 5;
  Older.Revision = 95;
  CPPUNIT_ASSERT(View.hearEra(1, T0 + 1s));
  section("a peer of the older era proves nothing", [&] {
    const auto Result = View.applyReply(Older, 2);
    CPPUNIT_ASSERT(!Result.Usable && !Result.Current);
    CPPUNIT_ASSERT(!Result.Evacuated);
    CPPUNIT_ASSERT(View.routesConfirmedAt() == T0);
  });
  section("but a newer configuration is fetched from it", [&] {
    Older.Version = 6;
    CPPUNIT_ASSERT(View.applyReply(Older, 2).FetchRoutes);
  });
  section("the platform's own answer is no proof while others write again",
          [&] {
            View.confirmRoutes(5, T0 + 2s, 1);
            CPPUNIT_ASSERT(View.routesConfirmedAt() == T0);
          });
  section("nor is an older configuration afterwards", [&] {
    View.confirmRoutes(4, T0 + 4s, 1);
    CPPUNIT_ASSERT(View.routesConfirmedAt() == T0);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), View.version());
  });
  section("a lower revision of the new era is newer", [&] {
    View.confirmTargets(40, T0 + 2s, 1);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(40), View.revision());
    View.confirmTargets(95, T0 + 2s, 0);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(40), View.revision());
  });
  section("evacuations are united until a list proves them", [&] {
    View.setEvacuated({"dc2"}, T0 + 2s, 1);
    CPPUNIT_ASSERT(View.evacuated() == (std::set<std::string>{"dc1", "dc2"}));
    View.setEvacuated({"dc2"}, T0 + 4s, 1);
    CPPUNIT_ASSERT(View.evacuated() == std::set<std::string>{"dc2"});
  });
  section("a peer that asks from the older era has to list", [&] {
    View.truncateChangeLog(40, 1);
    CPPUNIT_ASSERT(View.answer({T0, 95, 0, 0}, T0 + 4s).ChangesUnknown);
    CPPUNIT_ASSERT(!View.answer({T0, 40, 0, 1}, T0 + 4s).ChangesUnknown);
  });
  section("after the time to write again the answer is a proof", [&] {
    View.confirmRoutes(5, T0 + 4s, 1);
    CPPUNIT_ASSERT(View.routesConfirmedAt() == T0 + 4s);
  });
}

// Guards against targets that left, and come back with an older copy.
STORY(registry_through_a_loss_of_history) {
  const steady_time T0{1h};
  const registry_settings Settings;
  target_registry Registry(Settings);
  const auto Known = [&] { return !Registry.targets().empty(); };
  Registry.upsert(targetAt(7), T0);
  section("a target that the copy lacks stays for the time to register", [&] {
    Registry.historyLost(T0);
    Registry.replaceAll({}, T0 + 100ms);
    Registry.tick(T0 + 2s);
    CPPUNIT_ASSERT(Known());
    Registry.tick(T0 + 3s);
    CPPUNIT_ASSERT(!Known());
  });
  section("one that left isn't reopened by the copy", [&] {
    Registry.historyLost(T0 + 4s);
    CPPUNIT_ASSERT(Registry.replaceAll({targetAt(7)}, T0 + 5s).empty());
    CPPUNIT_ASSERT(!Known());
  });
  section("nor by an entry that wasn't seen before it left", [&] {
    Registry.upsert(targetAt(8), T0 + 5s);
    CPPUNIT_ASSERT(!Known());
  });
  section("but by its next report", [&] {
    Registry.upsert(targetAt(9), T0 + 6s);
    CPPUNIT_ASSERT(Known());
  });
  section("or by a later start", [&] {
    Registry.remove("t", T0 + 20s);
    Registry.historyLost(T0 + 21s);
    Registry.upsert(targetAt(1, 2), T0 + 21s);
    CPPUNIT_ASSERT(Known());
  });
}
