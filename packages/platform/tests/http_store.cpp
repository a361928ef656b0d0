#include "store_fixture.h"

#include <magnoliaspread/story.h>

#include <vector>

using namespace magnoliaspread;
using namespace std::chrono_literals;

STORY(http_store_objects) {
  store_fixture Fixture;
  const auto Store = Fixture.makeStore(Fixture.settings());
  const std::string Name = "tables/a b%c?d#e";

  section("an object is created only when it does not exist", [&] {
    CPPUNIT_ASSERT(failedWith(Fixture.get(*Store, Name), error_kind::NotFound));
    const auto Put = Fixture.put(*Store, {Name, R"({"a":[1,2.5]})", NoObject});
    CPPUNIT_ASSERT(!failed(Put));
    CPPUNIT_ASSERT(failedWith(Fixture.put(*Store, {Name, "2", NoObject}),
                              error_kind::VersionConflict));
  });
  section("it reads as it was written, without the envelope", [&] {
    const auto Read = Fixture.get(*Store, Name);
    CPPUNIT_ASSERT(!failed(Read));
    CPPUNIT_ASSERT_EQUAL(Name, valueOf(Read).Name);
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"a":[1,2.5E0]})"),
                         valueOf(Read).Value);
  });
  section("only the current version is replaced", [&] {
    const object_version Version = valueOf(Fixture.get(*Store, Name)).Version;
    const auto Put = Fixture.put(*Store, {Name, "3", Version});
    CPPUNIT_ASSERT(valueOf(Put).Version > Version);
    CPPUNIT_ASSERT(failedWith(Fixture.put(*Store, {Name, "4", Version}),
                              error_kind::VersionConflict));
  });
  section("lists contain objects with and without an envelope", [&] {
    CPPUNIT_ASSERT(!failed(Fixture.Server.load(R"({"instances/x":{"p":1}})")));
    const auto All = Fixture.list(*Store, "");
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), valueOf(All).Objects.size());
    const auto Some = Fixture.list(*Store, "instances/");
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"p":1})"),
                         valueOf(Some).Objects.at(0).Value);
  });
  section("only the current version is removed", [&] {
    CPPUNIT_ASSERT(failedWith(Fixture.remove(*Store, {Name, 1}),
                              error_kind::VersionConflict));
    CPPUNIT_ASSERT(!failed(Fixture.remove(*Store, {Name, {}})));
    CPPUNIT_ASSERT(
        failedWith(Fixture.remove(*Store, {Name, {}}), error_kind::NotFound));
  });
  section("a value too large or malformed is rejected", [&] {
    const std::string Large = '"' + std::string(MaxObjectBytes, 'x') + '"';
    CPPUNIT_ASSERT(failedWith(Fixture.put(*Store, {Name, Large, {}}),
                              error_kind::BadRequest));
    CPPUNIT_ASSERT(failedWith(Fixture.put(*Store, {Name, "{", {}}),
                              error_kind::BadRequest));
  });
  section("the platform's time is not ahead of the clock", [&] {
    CPPUNIT_ASSERT(Store->platformTimeAtLeast() <= Fixture.Clock.wall() + 1ms);
    CPPUNIT_ASSERT(Store->platformTimeAtLeast() > Fixture.Clock.wall() - 10s);
  });
}

STORY(http_store_watches) {
  store_fixture Fixture;
  const auto Store = Fixture.makeStore(Fixture.settings());
  const auto Other = Fixture.makeStore(Fixture.settings(), 2);

  section("a wait without a change ends", [&] {
    const auto Answer = Fixture.watch(*Store, {"x", NoObject, 20ms});
    CPPUNIT_ASSERT(!valueOf(Answer).Changed);
  });
  section("creation, change and removal each end a watch", [&] {
    object_version Known = NoObject;
    for (int Step = 0; Step < 3; ++Step) {
      std::optional<result<watch_answer>> Answer;
      Store->watch({"x", Known, 5000ms},
                   [&](result<watch_answer> Got) { Answer = std::move(Got); });
      Fixture.runFor(30ms);
      CPPUNIT_ASSERT(!Answer);
      if (Step < 2)
        Fixture.put(*Other, {"x", std::to_string(Step), Known});
      else
        Fixture.remove(*Other, {"x", Known});
      CPPUNIT_ASSERT(Fixture.runUntil([&] { return Answer.has_value(); }));
      CPPUNIT_ASSERT(valueOf(*Answer).Changed);
      CPPUNIT_ASSERT(valueOf(*Answer).Object.Version != Known);
      Known = valueOf(*Answer).Object.Version;
    }
    CPPUNIT_ASSERT_EQUAL(NoObject, Known);
  });
  section("a watch without an answer fails, and the next one works", [&] {
    platform_faults Faults;
    Faults.SilentWatches = true;
    Fixture.Server.setFaults(Faults);
    const steady_time Start = Fixture.Clock.now();
    CPPUNIT_ASSERT(failedWith(Fixture.watch(*Store, {"x", NoObject, 50ms}),
                              error_kind::PlatformUnavailable));
    CPPUNIT_ASSERT(Fixture.Clock.now() - Start < 1s);
    Fixture.Server.setFaults({});
    CPPUNIT_ASSERT(!failed(Fixture.watch(*Store, {"x", NoObject, 10ms})));
  });
}

STORY(http_store_lost_answers) {
  store_fixture Fixture;
  const auto Store = Fixture.makeStore(Fixture.settings());
  const auto Other = Fixture.makeStore(Fixture.settings(), 2);
  platform_faults Losing;
  Losing.LoseAnswers = 1;

  section("a write whose answer is lost is read back", [&] {
    Fixture.Server.setFaults(Losing);
    const auto Put = Fixture.put(*Store, {"x", "1", NoObject});
    CPPUNIT_ASSERT(!failed(Put));
    CPPUNIT_ASSERT(!valueOf(Put).Superseded);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), Fixture.Server.stats().Puts);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), Store->counters().WritesReadBack);
  });
  section("also when another write has replaced it since", [&] {
    const object_version Base = valueOf(Fixture.get(*Store, "x")).Version;
    Losing.Delay = 60ms;
    Fixture.Server.setFaults(Losing);
    std::optional<result<put_answer>> Answer;
    Store->put({"x", "2", Base},
               [&](const result<put_answer> &Got) { Answer = Got; });
    Fixture.runFor(20ms);
    Fixture.Server.setFaults({});
    platform_faults LosingNow;
    LosingNow.LoseAnswers = 1;
    const auto Read = Fixture.get(*Other, "x");
    CPPUNIT_ASSERT_EQUAL(std::string("2"), valueOf(Read).Value);
    CPPUNIT_ASSERT(
        !failed(Fixture.put(*Other, {"x", "3", valueOf(Read).Version})));
    CPPUNIT_ASSERT(!Answer);
    Fixture.Server.setFaults(LosingNow);
    CPPUNIT_ASSERT(Fixture.runUntil([&] { return Answer.has_value(); }));
    CPPUNIT_ASSERT(!failed(*Answer));
    CPPUNIT_ASSERT(valueOf(*Answer).Superseded);
  });
  section("a removal whose answer is lost succeeds", [&] {
    CPPUNIT_ASSERT(!failed(Fixture.remove(*Store, {"x", {}})));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), Fixture.Server.stats().Removes);
  });
}

STORY(http_store_proves_a_conflict) {
  store_fixture Fixture;
  http_store_settings Settings = Fixture.settings();
  // Gives the other writer time before the read-back.
  Settings.Pace.MinBackoff = 200ms;
  Settings.Pace.MaxBackoff = 200ms;
  const auto Store = Fixture.makeStore(Settings);
  const auto Other = Fixture.makeStore(Fixture.settings(), 2);
  const auto Base = Fixture.put(*Store, {"x", "1", NoObject});
  const auto Seen = Fixture.get(*Other, "x");

  section("a write that never took effect ends as a conflict", [&] {
    platform_faults Down;
    Down.Down = true;
    Fixture.Server.setFaults(Down);
    std::optional<result<put_answer>> Answer;
    Store->put({"x", "2", valueOf(Base).Version},
               [&](const result<put_answer> &Got) { Answer = Got; });
    CPPUNIT_ASSERT(Fixture.runUntil(
        [&] { return Store->counters().of(call_kind::Put).Failed > 0; }));
    Fixture.Server.setFaults({});
    CPPUNIT_ASSERT(
        !failed(Fixture.put(*Other, {"x", "3", valueOf(Seen).Version})));
    CPPUNIT_ASSERT(Fixture.runUntil([&] { return Answer.has_value(); }));
    CPPUNIT_ASSERT(failedWith(*Answer, error_kind::VersionConflict));
    CPPUNIT_ASSERT_EQUAL(std::string("3"),
                         valueOf(Fixture.get(*Store, "x")).Value);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), Store->counters().WritesReadBack);
  });
  section("a value without an envelope leaves the outcome unknown", [&] {
    const object_version Version = valueOf(Fixture.get(*Store, "x")).Version;
    platform_faults Down;
    Down.Down = true;
    Fixture.Server.setFaults(Down);
    std::optional<result<put_answer>> Answer;
    Store->put({"x", "4", Version},
               [&](const result<put_answer> &Got) { Answer = Got; });
    CPPUNIT_ASSERT(Fixture.runUntil(
        [&] { return Store->counters().of(call_kind::Put).Failed > 1; }));
    CPPUNIT_ASSERT(!failed(Fixture.Server.load(R"({"x":5})")));
    Fixture.Server.setFaults({});
    CPPUNIT_ASSERT(Fixture.runUntil([&] { return Answer.has_value(); }));
    CPPUNIT_ASSERT(failedWith(*Answer, error_kind::OutcomeUnknown));
  });
}

STORY(http_store_outages) {
  store_fixture Fixture;
  const auto Store = Fixture.makeStore(Fixture.settings());
  Fixture.put(*Store, {"x", "1", NoObject});

  const auto Survives = [&](const platform_faults &Faults) {
    Fixture.Server.setFaults(Faults);
    std::optional<result<stored_object>> Answer;
    Store->get({"x"},
               [&](result<stored_object> Got) { Answer = std::move(Got); });
    Fixture.runFor(300ms);
    CPPUNIT_ASSERT(!Answer);
    CPPUNIT_ASSERT(!Store->reachable());
    Fixture.Server.setFaults({});
    CPPUNIT_ASSERT(Fixture.runUntil([&] { return Answer.has_value(); }));
    CPPUNIT_ASSERT(!failed(*Answer));
    CPPUNIT_ASSERT(Store->reachable());
  };
  section("a call survives a platform that answers 503", [&] {
    platform_faults Faults;
    Faults.Down = true;
    Survives(Faults);
  });
  section("a call survives a platform that refuses connections", [&] {
    platform_faults Faults;
    Faults.RefuseConnections = true;
    Survives(Faults);
  });
  section("a call survives a platform slower than the timeout", [&] {
    platform_faults Faults;
    Faults.Delay = 250ms;
    Survives(Faults);
  });
  section("idle connections closed by the platform cause no failure", [&] {
    const platform_counters Before = Store->counters();
    platform_faults Refusing;
    Refusing.RefuseConnections = true;
    Fixture.Server.setFaults(Refusing);
    Fixture.Server.setFaults({});
    CPPUNIT_ASSERT(!failed(Fixture.get(*Store, "x")));
    CPPUNIT_ASSERT_EQUAL(Before.of(call_kind::Get).Failed,
                         Store->counters().of(call_kind::Get).Failed);
  });
}

STORY(http_store_slow_and_long_outages) {
  store_fixture Fixture;
  const auto Store = Fixture.makeStore(Fixture.settings());
  Fixture.put(*Store, {"x", "1", NoObject});

  section("a slow write is not applied twice", [&] {
    platform_faults Slow;
    Slow.Delay = 250ms;
    Fixture.Server.setFaults(Slow);
    const std::uint64_t Puts = Fixture.Server.stats().Puts;
    std::optional<result<put_answer>> Answer;
    Store->put({"y", "1", NoObject},
               [&](const result<put_answer> &Got) { Answer = Got; });
    Fixture.runFor(300ms);
    Fixture.Server.setFaults({});
    CPPUNIT_ASSERT(Fixture.runUntil([&] { return Answer.has_value(); }));
    CPPUNIT_ASSERT(!failed(*Answer));
    CPPUNIT_ASSERT_EQUAL(Puts + 1, Fixture.Server.stats().Puts);
  });
  section("in a long outage calls fail and attempts stay bounded", [&] {
    platform_faults Faults;
    Faults.Down = true;
    Fixture.Server.setFaults(Faults);
    const std::uint64_t Before = Store->counters().of(call_kind::Get).Sent;
    CPPUNIT_ASSERT(
        failedWith(Fixture.get(*Store, "x"), error_kind::PlatformUnavailable));
    const std::uint64_t Attempts =
        Store->counters().of(call_kind::Get).Sent - Before;
    // 2 s with a backoff of at most 10 to 20 ms.
    CPPUNIT_ASSERT(Attempts >= 50 && Attempts <= 220);
  });
}

STORY(http_store_lagging_lists) {
  store_fixture Fixture;
  const auto Store = Fixture.makeStore(Fixture.settings());
  platform_faults Faults;
  Faults.ListLag = 100ms;
  Fixture.Server.setFaults(Faults);
  CPPUNIT_ASSERT(!failed(Fixture.put(*Store, {"a/x", "1", NoObject})));

  section("a list may miss what a single read shows", [&] {
    CPPUNIT_ASSERT(!failed(Fixture.get(*Store, "a/x")));
    CPPUNIT_ASSERT(valueOf(Fixture.list(*Store, "a/")).Objects.empty());
  });
  section("and shows it later", [&] {
    Fixture.runFor(250ms);
    Fixture.list(*Store, "a/");
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         valueOf(Fixture.list(*Store, "a/")).Objects.size());
  });
}

STORY(http_store_limits) {
  store_fixture Fixture;
  http_store_settings Settings = Fixture.settings();
  Settings.MaxCalls = 2;
  Settings.MaxQueuedCalls = 2;
  Settings.MaxWatches = 2;
  const auto Store = Fixture.makeStore(Settings);
  Fixture.put(*Store, {"x", "1", NoObject});

  section("calls beyond the limit are queued, beyond the queue refused", [&] {
    platform_faults Slow;
    Slow.Delay = 30ms;
    Fixture.Server.setFaults(Slow);
    int Succeeded = 0;
    int Refused = 0;
    for (int I = 0; I < 10; ++I)
      Store->get({"x"}, [&](const result<stored_object> &Got) {
        ++(failedWith(Got, error_kind::QueueFull) ? Refused : Succeeded);
      });
    CPPUNIT_ASSERT(Fixture.runUntil([&] { return Succeeded + Refused == 10; }));
    CPPUNIT_ASSERT_EQUAL(4, Succeeded);
    CPPUNIT_ASSERT_EQUAL(6, Refused);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Store->counters().ActiveCalls);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Store->counters().QueuedCalls);
    CPPUNIT_ASSERT(Store->counters().ConnectionsOpened <= 2);
    Fixture.Server.setFaults({});
  });
  section("watches have a separate limit", [&] {
    int Ended = 0;
    int Refused = 0;
    for (int I = 0; I < 5; ++I)
      Store->watch(
          {"none", NoObject, 200ms}, [&](const result<watch_answer> &Got) {
            ++(failedWith(Got, error_kind::QueueFull) ? Refused : Ended);
          });
    Fixture.runFor(50ms);
    CPPUNIT_ASSERT_EQUAL(3, Refused);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Store->counters().WaitingWatches);
    CPPUNIT_ASSERT(!failed(Fixture.get(*Store, "x")));
    CPPUNIT_ASSERT(Fixture.runUntil([&] { return Ended == 2; }));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2),
                         Fixture.Server.stats().MostWaitingWatches);
  });
}

STORY(http_store_pace) {
  store_fixture Fixture;
  http_store_settings Settings = Fixture.settings();
  Settings.MaxCalls = 2;
  Fixture.put(*Fixture.makeStore(Settings), {"x", "1", NoObject});

  section("calls stay within their rate", [&] {
    Settings.Pace.CallsPerSecond = 100;
    Settings.Pace.CallBurst = 5;
    Settings.MaxQueuedCalls = 100;
    const auto Paced = Fixture.makeStore(Settings);
    const steady_time Start = Fixture.Clock.now();
    int Succeeded = 0;
    for (int I = 0; I < 25; ++I)
      Paced->get({"x"}, [&](const result<stored_object> &Got) {
        Succeeded += failed(Got) ? 0 : 1;
      });
    CPPUNIT_ASSERT(Fixture.runUntil([&] { return Succeeded == 25; }));
    CPPUNIT_ASSERT(Fixture.Clock.now() - Start >= 200ms);
  });
  section("a destroyed store drops its calls without completing them", [&] {
    auto Ending = Fixture.makeStore(Settings);
    int Answers = 0;
    Ending->watch({"none", NoObject, 500ms},
                  [&](const result<watch_answer> &) { ++Answers; });
    for (int I = 0; I < 5; ++I)
      Ending->get({"x"}, [&](const result<stored_object> &) { ++Answers; });
    Fixture.runFor(1ms);
    const int Before = Answers;
    Ending.reset();
    Fixture.runFor(100ms);
    CPPUNIT_ASSERT_EQUAL(Before, Answers);
  });
}
