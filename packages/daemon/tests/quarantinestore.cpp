/// Stored quarantines survive the end of all instances.
#include "quarantinestore_p.h"

#include <magnoliaspread/memory_store.h>
#include <magnoliaspread/story.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

using namespace magnoliaspread;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Fingerprint = 0xfedcba9876543210;

suspect_report sampleReport() {
  suspect_report Report;
  Report.Fingerprint = Fingerprint;
  Report.Rounds = 3;
  Report.Crashes = {{1ull << 63, 2500ms, 2400ms, true},
                    {7, 1500ms, 1400ms, false},
                    {9, 500ms, 400ms, false}};
  return Report;
}

struct store_fixture {
  void run() {
    Context.restart();
    Context.run();
  }

  fake_clock Clock;
  boost::asio::io_context Context;
  memory_platform Platform{Clock};
  memory_store Store{Platform, Clock, [this](std::function<void()> Task) {
                       boost::asio::post(Context, std::move(Task));
                     }};
};

} // namespace

STORY(quarantines_that_outlive_all_instances) {
  store_fixture Fixture;
  std::vector<quarantine_update> Read;
  const auto Loaded = [&](const quarantine_update &Update) {
    Read.push_back(Update);
  };
  quarantine_store First(Fixture.Store, Fixture.Clock, Loaded);

  section("a report that can't be stored yet is stored later", [&] {
    Fixture.Platform.setFaults({.Down = true});
    First.save(sampleReport());
    Fixture.run();
    Fixture.Platform.setFaults({});
    Fixture.Clock.advance(3s);
    First.tick();
    Fixture.run();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         Fixture.Platform.Objects.list("").size());
  });
  section("an instance that starts reads it with its present age", [&] {
    Fixture.Clock.advance(20s);
    quarantine_store Second(Fixture.Store, Fixture.Clock, Loaded);
    Second.load();
    Second.load();
    Fixture.run();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Read.size());
    suspect_report Older = sampleReport();
    for (crash_report &Row : Older.Crashes) {
      Row.SentAgo += 23s;
      Row.CrashedAgo += 23s;
    }
    CPPUNIT_ASSERT(Read.front().Suspects == std::vector{Older});
  });
  section("unreadable objects are skipped, the others are read", [&] {
    Read.clear();
    for (const char *Value :
         {"{}", "[]", "\"x\"", "{\"fingerprint\":\"zz\"}",
          "{\"fingerprint\":\"5\",\"rounds\":-1,\"crashes\":[]}",
          "{\"fingerprint\":\"5\",\"rounds\":3,\"crashes\":[{}]}"})
      CPPUNIT_ASSERT(failed(decodeSuspect(Value, Fixture.Clock.wall())));
    Fixture.Store.put({"quarantines/x", "{}", {}},
                      [](const result<put_answer> &) {});
    quarantine_store Third(Fixture.Store, Fixture.Clock, Loaded);
    Third.load();
    Fixture.run();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Read.front().Suspects.size());
  });
  section("objects that are hours old are removed", [&] {
    Read.clear();
    Fixture.Clock.advance(3h);
    quarantine_store Fourth(Fixture.Store, Fixture.Clock, Loaded);
    Fourth.load();
    Fixture.run();
    CPPUNIT_ASSERT(Read.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         Fixture.Platform.Objects.list("").size());
  });
}
