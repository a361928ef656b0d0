/// Property: a request that crashes its targets is quarantined after few
/// crashes, and requests that were merely in flight on them are not.
#include <magnoliaspread/quarantine.h>
#include <magnoliaspread/story.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

using namespace magnoliaspread;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t Targets = 8;
constexpr std::size_t SlotsPerTarget = 4;
constexpr request_fingerprint Crashing = 1;
constexpr request_fingerprint Popular = 2;

struct running_attempt {
  request_fingerprint Fingerprint = 0;
  std::uint16_t Target = 0;
  int TicksLeft = 0;
  bool Alone = false;
};

/// One instance with its targets, a recurring request that crashes them, a
/// popular request, and rare ones that are retried when their target crashes.
class crash_simulation {
public:
  /// With \p Simple, every request that was in flight on two crashed targets
  /// is refused, and nothing runs alone.
  crash_simulation(std::uint64_t Seed, bool Simple)
      : Random(Seed), Simple(Simple) {}

  void run(int Ticks) {
    for (int Tick = 0; Tick < Ticks; ++Tick) {
      Clock.advance(10ms);
      advanceRuns();
      receiveRequests();
    }
  }

  int CrashesBeforeVerdict = 0;
  int CrashesAfterVerdict = 0;
  bool CrashingRefused = false;
  std::set<request_fingerprint> Refused;
  int Completed = 0;

private:
  std::size_t below(std::size_t Limit) { return Random() % Limit; }

  std::size_t load(std::uint16_t Target) const {
    return static_cast<std::size_t>(
        std::count_if(Running.begin(), Running.end(), [&](const auto &Row) {
          return Row.second.Target == Target;
        }));
  }

  bool isReserved(std::uint16_t Target) const {
    return std::any_of(Running.begin(), Running.end(), [&](const auto &Row) {
      return Row.second.Target == Target && Row.second.Alone;
    });
  }

  std::optional<std::uint16_t> targetFor(bool Alone) {
    const std::uint16_t First = static_cast<std::uint16_t>(below(Targets));
    for (std::uint16_t I = 0; I < Targets; ++I) {
      const std::uint16_t Target = (First + I) % Targets;
      const std::size_t Load = load(Target);
      if (Alone ? Load == 0 : Load < SlotsPerTarget && !isReserved(Target))
        return Target;
    }
    return std::nullopt;
  }

  void receiveRequests() {
    if (below(20) == 0)
      Waiting.push_back(Crashing);
    if (below(2) == 0)
      Waiting.push_back(Popular);
    if (below(4) == 0)
      Waiting.push_back(100 + below(1000));
    std::vector<request_fingerprint> StillWaiting;
    for (request_fingerprint Fingerprint : Waiting)
      if (!dispatch(Fingerprint))
        StillWaiting.push_back(Fingerprint);
    Waiting = std::move(StillWaiting);
  }

  placement placementOf(request_fingerprint Fingerprint) {
    if (!Simple)
      return Quarantine.place(Fingerprint, Clock.now()).Placement;
    return Refused.contains(Fingerprint) ? placement::Quarantined
                                         : placement::Any;
  }

  /// False if it has to wait.
  bool dispatch(request_fingerprint Fingerprint) {
    const placement Placement = placementOf(Fingerprint);
    if (Placement == placement::Quarantined) {
      CrashingRefused = CrashingRefused || Fingerprint == Crashing;
      return true;
    }
    if (Placement == placement::Later)
      return false;
    const auto Target = targetFor(Placement == placement::Alone);
    if (!Target)
      return false;
    const int Ticks = static_cast<int>(1 + below(8));
    Running[++LastAttempt] = {Fingerprint, *Target, Ticks,
                              Placement == placement::Alone};
    Quarantine.started(LastAttempt, Fingerprint, *Target, Clock.now());
    return true;
  }

  void advanceRuns() {
    std::vector<attempt_id> Done;
    for (auto &[Id, Attempt] : Running)
      if (--Attempt.TicksLeft <= 0)
        Done.push_back(Id);
    for (attempt_id Id : Done) {
      const auto Found = Running.find(Id);
      if (Found == Running.end())
        continue;
      if (Found->second.Fingerprint == Crashing) {
        kill(Found->second.Target);
        continue;
      }
      Quarantine.succeeded(Id, Clock.now());
      Running.erase(Found);
      ++Completed;
    }
  }

  void kill(std::uint16_t Target) {
    ++(Refused.contains(Crashing) ? CrashesAfterVerdict : CrashesBeforeVerdict);
    for (auto Row = Running.begin(); Row != Running.end();) {
      if (Row->second.Target != Target) {
        ++Row;
        continue;
      }
      const request_fingerprint Fingerprint = Row->second.Fingerprint;
      TargetsLost[Fingerprint].insert(Target);
      if (Simple && TargetsLost[Fingerprint].size() >= 2)
        Refused.insert(Fingerprint);
      if (Fingerprint != Crashing)
        Waiting.push_back(Fingerprint);
      Row = Running.erase(Row);
    }
    const std::vector<request_fingerprint> NewlyQuarantined =
        Quarantine.targetCrashed(Target, Clock.now());
    if (!Simple)
      Refused.insert(NewlyQuarantined.begin(), NewlyQuarantined.end());
  }

  std::mt19937_64 Random;
  bool Simple;
  fake_clock Clock;
  quarantine Quarantine{quarantine_settings{}};
  std::vector<request_fingerprint> Waiting;
  std::map<attempt_id, running_attempt> Running;
  std::map<request_fingerprint, std::set<std::uint16_t>> TargetsLost;
  attempt_id LastAttempt = 0;
};

struct quarantine_fixture {
  /// Starts an attempt on a target, which then crashes. True if that
  /// quarantines the request.
  bool crashesTarget(request_fingerprint Fingerprint, std::uint16_t Target) {
    Quarantine.started(++LastAttempt, Fingerprint, Target, Clock.now());
    return !Quarantine.targetCrashed(Target, Clock.now()).empty();
  }

  placement placeOf(request_fingerprint Fingerprint) {
    return Quarantine.place(Fingerprint, Clock.now()).Placement;
  }

  fake_clock Clock;
  quarantine Quarantine{quarantine_settings{}};
  attempt_id LastAttempt = 0;
};

} // namespace

STORY(crashing_request_among_harmless_ones) {
  section("refusing all on two crashed targets hits harmless ones", [&] {
    std::size_t WronglyRefused = 0;
    for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
      crash_simulation Simulation(Seed, true);
      Simulation.run(600);
      Simulation.Refused.erase(Crashing);
      WronglyRefused += Simulation.Refused.size();
    }
    CPPUNIT_ASSERT(WronglyRefused > 0);
  });
  section("running suspects alone identifies only the crashing request", [&] {
    for (std::uint64_t Seed = 1; Seed <= 200; ++Seed) {
      crash_simulation Simulation(Seed, false);
      Simulation.run(600);
      const std::string Message = "seed " + std::to_string(Seed);
      CPPUNIT_ASSERT_MESSAGE(Message, Simulation.Refused.contains(Crashing));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Message, std::size_t(1),
                                   Simulation.Refused.size());
      CPPUNIT_ASSERT_MESSAGE(Message, Simulation.CrashingRefused);
      CPPUNIT_ASSERT_MESSAGE(Message, Simulation.CrashesBeforeVerdict <= 4);
      CPPUNIT_ASSERT_MESSAGE(Message, Simulation.CrashesAfterVerdict <= 2);
      CPPUNIT_ASSERT_MESSAGE(Message, Simulation.Completed > 100);
    }
  });
}

STORY(quarantine_of_one_request) {
  quarantine_fixture Fixture;

  section("one crash makes a suspect, which runs alone", [&] {
    CPPUNIT_ASSERT(Fixture.placeOf(5) == placement::Any);
    CPPUNIT_ASSERT(!Fixture.crashesTarget(5, 0));
    CPPUNIT_ASSERT(Fixture.placeOf(5) == placement::Alone);
  });
  section("only MaxIsolated suspects run alone at the same time", [&] {
    CPPUNIT_ASSERT(!Fixture.crashesTarget(6, 1));
    Fixture.Quarantine.started(100, 6, 2, Fixture.Clock.now());
    CPPUNIT_ASSERT(Fixture.placeOf(5) == placement::Later);
    CPPUNIT_ASSERT(Fixture.placeOf(6) == placement::Later);
  });
  section("a success clears a suspect", [&] {
    Fixture.Quarantine.succeeded(100, Fixture.Clock.now());
    CPPUNIT_ASSERT(Fixture.placeOf(6) == placement::Any);
    CPPUNIT_ASSERT(Fixture.placeOf(5) == placement::Alone);
  });
  section("a second crash of the same target is not enough",
          [&] { CPPUNIT_ASSERT(!Fixture.crashesTarget(5, 0)); });
  section("the crash of a second target is; the refusal has an end", [&] {
    CPPUNIT_ASSERT(Fixture.crashesTarget(5, 3));
    const placement_decision Decision =
        Fixture.Quarantine.place(5, Fixture.Clock.now());
    CPPUNIT_ASSERT(Decision.Placement == placement::Quarantined);
    CPPUNIT_ASSERT(Decision.RetryAfter == 60s);
  });
  section("the quarantine ends, and another crash doubles it", [&] {
    Fixture.Clock.advance(60s);
    CPPUNIT_ASSERT(Fixture.placeOf(5) == placement::Alone);
    CPPUNIT_ASSERT(Fixture.crashesTarget(5, 4));
    CPPUNIT_ASSERT(
        Fixture.Quarantine.place(5, Fixture.Clock.now()).RetryAfter == 120s);
  });
  section("without further crashes the suspect is forgotten", [&] {
    Fixture.Clock.advance(120s + 120s);
    CPPUNIT_ASSERT(Fixture.placeOf(5) == placement::Any);
    Fixture.Quarantine.pendingMessages(1, Fixture.Clock.now());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Fixture.Quarantine.suspects());
  });
}

namespace {

void gossip(quarantine_fixture &From, quarantine_fixture &To) {
  From.Clock.advance(1s);
  To.Clock.advance(1s);
  for (const quarantine_message &Message :
       From.Quarantine.pendingMessages(1, From.Clock.now()))
    To.Quarantine.merge(Message.Update, To.Clock.now());
}

} // namespace

STORY(quarantine_updates_between_instances) {
  quarantine_fixture First;
  quarantine_fixture Second;

  section("a suspect of one instance runs alone on another", [&] {
    First.crashesTarget(5, 0);
    const quarantine_update Update =
        First.Quarantine.takeUnsentUpdate(First.Clock.now());
    Second.Quarantine.merge(Update, Second.Clock.now());
    Second.Quarantine.merge(Update, Second.Clock.now());
    CPPUNIT_ASSERT(Second.placeOf(5) == placement::Alone);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                         Second.Quarantine.quarantined(Second.Clock.now()));
  });
  section("a crash observed by both counts once", [&] {
    CPPUNIT_ASSERT(!Second.crashesTarget(5, 0));
    gossip(Second, First);
    CPPUNIT_ASSERT(First.placeOf(5) == placement::Alone);
  });
  section("an old update doesn't undo a success", [&] {
    Second.Quarantine.started(50, 5, 1, Second.Clock.now());
    Second.Quarantine.succeeded(50, Second.Clock.now());
    Second.Quarantine.merge(First.Quarantine.current(First.Clock.now()),
                            Second.Clock.now());
    CPPUNIT_ASSERT(Second.placeOf(5) == placement::Any);
  });
  section("later crashes count, and the quarantine reaches both", [&] {
    First.Clock.advance(5s);
    Second.Clock.advance(5s);
    CPPUNIT_ASSERT(First.crashesTarget(5, 1));
    gossip(First, Second);
    CPPUNIT_ASSERT(Second.placeOf(5) == placement::Alone);
    First.crashesTarget(5, 2);
    gossip(First, Second);
    CPPUNIT_ASSERT(Second.placeOf(5) == placement::Quarantined);
  });
}

// Guards against a crash that is marked as sent while no peer is known, and
// never sent again.
STORY(quarantine_updates_of_an_instance_without_peers) {
  quarantine_fixture First;
  quarantine_fixture Second;
  First.crashesTarget(5, 1);
  section("the crash is sent to the first peer", [&] {
    CPPUNIT_ASSERT(
        First.Quarantine.pendingMessages(0, First.Clock.now()).empty());
    gossip(First, Second);
    CPPUNIT_ASSERT(Second.placeOf(5) == placement::Alone);
  });
  section("and to one that joins later", [&] {
    quarantine_fixture Third;
    Third.Quarantine.merge(First.Quarantine.current(First.Clock.now()),
                           Third.Clock.now());
    CPPUNIT_ASSERT(Third.placeOf(5) == placement::Alone);
  });
}

STORY(quarantines_that_are_forwarded) {
  quarantine_fixture Second;
  section("an instance forwards them after the first one is gone", [&] {
    quarantine_fixture First;
    quarantine_fixture Third;
    First.crashesTarget(5, 1);
    CPPUNIT_ASSERT(First.crashesTarget(5, 2));
    gossip(First, Second);
    gossip(Second, Third);
    CPPUNIT_ASSERT(Third.placeOf(5) == placement::Quarantined);
  });
  section("forwarding doesn't prolong the quarantine", [&] {
    quarantine_fixture Third;
    for (int Seconds = 0; Seconds < 62; ++Seconds) {
      gossip(Second, Third);
      gossip(Third, Second);
    }
    CPPUNIT_ASSERT(Second.placeOf(5) == placement::Alone);
    CPPUNIT_ASSERT(Third.placeOf(5) == placement::Alone);
  });
  section("nor the time until the suspect is forgotten", [&] {
    quarantine_fixture Third;
    for (int Seconds = 0; Seconds < 70; ++Seconds) {
      gossip(Second, Third);
      gossip(Third, Second);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Second.Quarantine.suspects());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Third.Quarantine.suspects());
  });
}

// Guards against malformed messages that end the process.
STORY(malformed_quarantine_updates) {
  quarantine_fixture Fixture;
  const auto Merge = [&](const suspect_report &Report) {
    return Fixture.Quarantine.merge({{Report}}, Fixture.Clock.now());
  };
  section("rounds without a crash", [&] {
    CPPUNIT_ASSERT(Merge({5, std::nullopt, 0xffffffff, {}}).empty());
    Fixture.crashesTarget(5, 1);
    CPPUNIT_ASSERT(Merge({5, std::nullopt, 0xffffffff, {}}).empty());
    CPPUNIT_ASSERT(Fixture.placeOf(5) == placement::Alone);
  });
  section("a crash before its attempt, and ages beyond the maximum", [&] {
    Merge({6, std::nullopt, 2, {{1, 10ms, 20ms, true}, {2, 5ms, 10ms, true}}});
    Merge({7, 1193h, 2, {{3, 1193h, 1193h, true}}});
    CPPUNIT_ASSERT(Fixture.placeOf(6) == placement::Any);
    CPPUNIT_ASSERT(Fixture.placeOf(7) == placement::Any);
  });
  section("more crashes than are stored", [&] {
    suspect_report Report{8, std::nullopt, 2, {}};
    for (std::uint64_t Target = 0; Target < 1000; ++Target)
      Report.Crashes.push_back({Target, 20ms, 10ms, false});
    Merge(Report);
    CPPUNIT_ASSERT(Fixture.placeOf(8) == placement::Alone);
  });
}

STORY(quarantine_table_is_bounded) {
  quarantine_fixture Fixture;
  section("suspects of one crash are evicted for each other", [&] {
    for (std::uint64_t I = 0; I < 5000; ++I)
      Fixture.Quarantine.merge(
          {{{1000 + I, std::nullopt, 1, {{I, 20ms, 10ms, false}}}}},
          Fixture.Clock.now());
    CPPUNIT_ASSERT_EQUAL(std::size_t(4096), Fixture.Quarantine.suspects());
  });
  section("one that is quarantined stays", [&] {
    Fixture.Clock.advance(5s);
    Fixture.crashesTarget(5, 10001);
    CPPUNIT_ASSERT(Fixture.crashesTarget(5, 10002));
    Fixture.Clock.advance(5s);
    for (std::uint64_t I = 0; I < 5000; ++I)
      Fixture.Quarantine.merge(
          {{{10000 + I, std::nullopt, 1, {{I, 20ms, 10ms, false}}}}},
          Fixture.Clock.now());
    CPPUNIT_ASSERT(Fixture.placeOf(5) == placement::Quarantined);
  });
}

// Guards against a crash that counts only if a second request of the same
// instance finds the target down.
STORY(crashes_detected_later_or_by_peers_count) {
  quarantine_settings Settings;
  Settings.CrashesIfAlone = 3;
  Settings.CrashesIfShared = 3;
  Settings.TargetsRestart = true;
  quarantine Quarantine(Settings);
  fake_clock Clock;
  attempt_id Last = 0;
  const auto LoseAttempt = [&](target_start Target) {
    Quarantine.started(++Last, 5, Target, Clock.now());
    Clock.advance(20ms);
    const bool IsCrashed = Quarantine.lost(Last, Clock.now());
    Clock.advance(1s);
    return IsCrashed;
  };

  section("a broken connection alone proves no crash", [&] {
    CPPUNIT_ASSERT(!LoseAttempt(1));
    CPPUNIT_ASSERT(Quarantine.mayHaveCrashed(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Quarantine.suspects());
  });
  section("a crash detected seconds later counts", [&] {
    Clock.advance(5s);
    CPPUNIT_ASSERT(Quarantine.targetCrashed(1, Clock.now()).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Quarantine.suspects());
  });
  section("or one that a peer reports with another request", [&] {
    CPPUNIT_ASSERT(!LoseAttempt(2));
    Quarantine.merge(
        quarantine_update{
            {{77, std::nullopt, 1, {{2, 1100ms, 1000ms, false}}}}},
        Clock.now());
    CPPUNIT_ASSERT(!Quarantine.mayHaveCrashed(2));
  });
  section("an attempt sent after the crash doesn't count", [&] {
    CPPUNIT_ASSERT(!LoseAttempt(2));
    CPPUNIT_ASSERT(Quarantine.place(5, Clock.now()).Placement !=
                   placement::Quarantined);
  });
  section("the third crash leads to the quarantine", [&] {
    CPPUNIT_ASSERT(!LoseAttempt(3));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         Quarantine.targetCrashed(3, Clock.now()).size());
  });
  section("a crash not confirmed in time is dropped", [&] {
    Quarantine.started(++Last, 6, 9, Clock.now());
    Quarantine.lost(Last, Clock.now());
    Clock.advance(11s);
    Quarantine.pendingMessages(1, Clock.now());
    CPPUNIT_ASSERT(!Quarantine.mayHaveCrashed(9));
  });
}

// Guards against crashes that aren't counted because the target had restarted
// while its registry entry still named the previous start.
STORY(target_starts_without_a_registry_entry) {
  quarantine_settings Settings;
  Settings.CrashesIfAlone = 3;
  Settings.CrashesIfShared = 3;
  Settings.TargetsRestart = true;
  quarantine Quarantine(Settings);
  fake_clock Clock;
  attempt_id Last = 0;
  const auto LoseAttempt = [&](target_start Target) {
    Quarantine.started(++Last, 5, Target, Clock.now());
    Clock.advance(20ms);
    Quarantine.lost(Last, Clock.now());
    Clock.advance(100ms);
  };

  section("a crash of the next start counts once", [&] {
    LoseAttempt(1);
    CPPUNIT_ASSERT(Quarantine.targetCrashed(1, Clock.now()).empty());
    CPPUNIT_ASSERT(Quarantine.targetCrashed(1, Clock.now()).empty());
    LoseAttempt(1);
    CPPUNIT_ASSERT(Quarantine.mayHaveCrashed(1));
    CPPUNIT_ASSERT(Quarantine.targetCrashed(1, Clock.now()).empty());
  });
  section("so does one of the start after it, registered meanwhile", [&] {
    LoseAttempt(1);
    Quarantine.targetRestarted(1, 2, Clock.now());
    Quarantine.targetRestarted(2, 3, Clock.now());
    CPPUNIT_ASSERT(Quarantine.mayHaveCrashed(3));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         Quarantine.targetCrashed(3, Clock.now()).size());
  });
}

STORY(harmless_requests_in_common_failures) {
  quarantine_settings Settings;
  Settings.CrashesIfAlone = 3;
  Settings.CrashesIfShared = 3;
  section("many targets that crash at the same time count once", [&] {
    quarantine Quarantine(Settings);
    fake_clock Clock;
    for (attempt_id Id = 1; Id <= 8; ++Id) {
      Quarantine.started(Id, 5, Id, Clock.now());
      Clock.advance(10ms);
    }
    for (target_start Target = 1; Target <= 8; ++Target)
      CPPUNIT_ASSERT(Quarantine.targetCrashed(Target, Clock.now()).empty());
  });
  section("one that was always beside the crashing request isn't refused", [&] {
    quarantine Quarantine(Settings);
    fake_clock Clock;
    attempt_id Last = 0;
    const auto CrashTarget = [&](target_start Target, bool WithOther) {
      Quarantine.started(++Last, 5, Target, Clock.now());
      if (WithOther)
        Quarantine.started(++Last, 6, Target, Clock.now());
      Clock.advance(1s);
      return Quarantine.targetCrashed(Target, Clock.now());
    };
    CrashTarget(1, false);
    CrashTarget(2, true);
    CrashTarget(3, true);
    const std::vector<request_fingerprint> NewlyQuarantined =
        CrashTarget(4, true);
    CPPUNIT_ASSERT(NewlyQuarantined.empty());
    CPPUNIT_ASSERT(Quarantine.place(5, Clock.now()).Placement ==
                   placement::Quarantined);
    CPPUNIT_ASSERT(Quarantine.place(6, Clock.now()).Placement !=
                   placement::Quarantined);
  });
  section("a success clears the suspect on all instances", [&] {
    quarantine Here(Settings);
    quarantine There(Settings);
    fake_clock Clock;
    for (target_start Target = 1; Target <= 3; ++Target) {
      Here.started(Target, 5, Target, Clock.now());
      Clock.advance(1s);
      Here.targetCrashed(Target, Clock.now());
    }
    There.merge(Here.takeUnsentUpdate(Clock.now()), Clock.now());
    CPPUNIT_ASSERT(There.place(5, Clock.now()).Placement ==
                   placement::Quarantined);
    Clock.advance(100ms);
    There.clear(5, Clock.now());
    Here.merge(There.takeUnsentUpdate(Clock.now()), Clock.now());
    CPPUNIT_ASSERT(Here.place(5, Clock.now()).Placement == placement::Any);
  });
}

STORY(fingerprints) {
  const request_fingerprint Base = fingerprintOf({"w", "GET", "/a", "body"});
  CPPUNIT_ASSERT(Base == fingerprintOf({"w", "GET", "/a", "body"}));
  CPPUNIT_ASSERT(Base != fingerprintOf({"v", "GET", "/a", "body"}));
  CPPUNIT_ASSERT(Base != fingerprintOf({"wG", "ET", "/a", "body"}));
  CPPUNIT_ASSERT(Base != fingerprintOf({"w", "GET", "/a", "bodz"}));
}
