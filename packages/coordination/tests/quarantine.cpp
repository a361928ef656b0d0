/// Property: a request that kills its targets is quarantined after few deaths,
/// and no request that was only there is.
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
constexpr request_fingerprint Killer = 1;
constexpr request_fingerprint Popular = 2;

struct running_attempt {
  request_fingerprint Fingerprint = 0;
  std::uint16_t Target = 0;
  int TicksLeft = 0;
  bool Alone = false;
};

/// One instance with its targets, a killer that comes again and again, a
/// popular request, and rare ones that are sent again when their target dies.
class crash_simulation {
public:
  /// With \p Simple, whatever was in flight on two targets that died is
  /// refused, and nothing runs alone.
  crash_simulation(std::uint64_t Seed, bool Simple)
      : Random(Seed), Simple(Simple) {}

  void run(int Ticks) {
    for (int Tick = 0; Tick < Ticks; ++Tick) {
      Clock.advance(10ms);
      progress();
      arrive();
    }
  }

  int DeathsBeforeVerdict = 0;
  int DeathsAfterVerdict = 0;
  bool KillerRefused = false;
  std::set<request_fingerprint> Condemned;
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

  void arrive() {
    if (below(20) == 0)
      Waiting.push_back(Killer);
    if (below(2) == 0)
      Waiting.push_back(Popular);
    if (below(4) == 0)
      Waiting.push_back(100 + below(1000));
    std::vector<request_fingerprint> Again;
    for (request_fingerprint Fingerprint : Waiting)
      if (!dispatch(Fingerprint))
        Again.push_back(Fingerprint);
    Waiting = std::move(Again);
  }

  placement placementOf(request_fingerprint Fingerprint) {
    if (!Simple)
      return Quarantine.place(Fingerprint, Clock.now()).Placement;
    return Condemned.contains(Fingerprint) ? placement::Quarantined
                                           : placement::Any;
  }

  /// False when it has to wait.
  bool dispatch(request_fingerprint Fingerprint) {
    const placement Where = placementOf(Fingerprint);
    if (Where == placement::Quarantined) {
      KillerRefused = KillerRefused || Fingerprint == Killer;
      return true;
    }
    if (Where == placement::Later)
      return false;
    const auto Target = targetFor(Where == placement::Alone);
    if (!Target)
      return false;
    const int Ticks = static_cast<int>(1 + below(8));
    Running[++LastAttempt] = {Fingerprint, *Target, Ticks,
                              Where == placement::Alone};
    Quarantine.started(LastAttempt, Fingerprint, *Target, Clock.now());
    return true;
  }

  void progress() {
    std::vector<attempt_id> Done;
    for (auto &[Id, Attempt] : Running)
      if (--Attempt.TicksLeft <= 0)
        Done.push_back(Id);
    for (attempt_id Id : Done) {
      const auto Found = Running.find(Id);
      if (Found == Running.end())
        continue;
      if (Found->second.Fingerprint == Killer) {
        kill(Found->second.Target);
        continue;
      }
      Quarantine.succeeded(Id, Clock.now());
      Running.erase(Found);
      ++Completed;
    }
  }

  void kill(std::uint16_t Target) {
    ++(Condemned.contains(Killer) ? DeathsAfterVerdict : DeathsBeforeVerdict);
    for (auto Row = Running.begin(); Row != Running.end();) {
      if (Row->second.Target != Target) {
        ++Row;
        continue;
      }
      const request_fingerprint Fingerprint = Row->second.Fingerprint;
      DeathsSeen[Fingerprint].insert(Target);
      if (Simple && DeathsSeen[Fingerprint].size() >= 2)
        Condemned.insert(Fingerprint);
      if (Fingerprint != Killer)
        Waiting.push_back(Fingerprint);
      Row = Running.erase(Row);
    }
    const std::vector<request_fingerprint> Guilty =
        Quarantine.targetDied(Target, Clock.now());
    if (!Simple)
      Condemned.insert(Guilty.begin(), Guilty.end());
  }

  std::mt19937_64 Random;
  bool Simple;
  fake_clock Clock;
  quarantine Quarantine{quarantine_settings{}};
  std::vector<request_fingerprint> Waiting;
  std::map<attempt_id, running_attempt> Running;
  std::map<request_fingerprint, std::set<std::uint16_t>> DeathsSeen;
  attempt_id LastAttempt = 0;
};

struct quarantine_fixture {
  /// One attempt in flight on a target that then dies.
  bool dies(request_fingerprint Fingerprint, std::uint16_t Target) {
    Quarantine.started(++LastAttempt, Fingerprint, Target, Clock.now());
    return !Quarantine.targetDied(Target, Clock.now()).empty();
  }

  placement placeOf(request_fingerprint Fingerprint) {
    return Quarantine.place(Fingerprint, Clock.now()).Placement;
  }

  fake_clock Clock;
  quarantine Quarantine{quarantine_settings{}};
  attempt_id LastAttempt = 0;
};

} // namespace

STORY(killer_among_innocents) {
  section("condemning whoever was on two dead targets hits innocents", [&] {
    std::size_t Innocents = 0;
    for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
      crash_simulation Simulation(Seed, true);
      Simulation.run(600);
      Simulation.Condemned.erase(Killer);
      Innocents += Simulation.Condemned.size();
    }
    CPPUNIT_ASSERT(Innocents > 0);
  });
  section("running suspects alone finds the killer and nobody else", [&] {
    for (std::uint64_t Seed = 1; Seed <= 200; ++Seed) {
      crash_simulation Simulation(Seed, false);
      Simulation.run(600);
      const std::string Message = "seed " + std::to_string(Seed);
      CPPUNIT_ASSERT_MESSAGE(Message, Simulation.Condemned.contains(Killer));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Message, std::size_t(1),
                                   Simulation.Condemned.size());
      CPPUNIT_ASSERT_MESSAGE(Message, Simulation.KillerRefused);
      CPPUNIT_ASSERT_MESSAGE(Message, Simulation.DeathsBeforeVerdict <= 4);
      CPPUNIT_ASSERT_MESSAGE(Message, Simulation.DeathsAfterVerdict <= 2);
      CPPUNIT_ASSERT_MESSAGE(Message, Simulation.Completed > 100);
    }
  });
}

STORY(quarantine_of_one_request) {
  quarantine_fixture Fixture;

  section("one death makes a suspect, which runs alone", [&] {
    CPPUNIT_ASSERT(Fixture.placeOf(5) == placement::Any);
    CPPUNIT_ASSERT(!Fixture.dies(5, 0));
    CPPUNIT_ASSERT(Fixture.placeOf(5) == placement::Alone);
  });
  section("only so many suspects run alone at once", [&] {
    CPPUNIT_ASSERT(!Fixture.dies(6, 1));
    Fixture.Quarantine.started(100, 6, 2, Fixture.Clock.now());
    CPPUNIT_ASSERT(Fixture.placeOf(5) == placement::Later);
    CPPUNIT_ASSERT(Fixture.placeOf(6) == placement::Later);
  });
  section("a success clears a suspect", [&] {
    Fixture.Quarantine.succeeded(100, Fixture.Clock.now());
    CPPUNIT_ASSERT(Fixture.placeOf(6) == placement::Any);
    CPPUNIT_ASSERT(Fixture.placeOf(5) == placement::Alone);
  });
  section("the same target dying twice is not enough",
          [&] { CPPUNIT_ASSERT(!Fixture.dies(5, 0)); });
  section("a second target is, and the refusal names its end", [&] {
    CPPUNIT_ASSERT(Fixture.dies(5, 3));
    const placement_decision Decision =
        Fixture.Quarantine.place(5, Fixture.Clock.now());
    CPPUNIT_ASSERT(Decision.Placement == placement::Quarantined);
    CPPUNIT_ASSERT(Decision.RetryAfter == 60s);
  });
  section("it ends, and one more death makes it longer", [&] {
    Fixture.Clock.advance(60s);
    CPPUNIT_ASSERT(Fixture.placeOf(5) == placement::Alone);
    CPPUNIT_ASSERT(Fixture.dies(5, 4));
    CPPUNIT_ASSERT(
        Fixture.Quarantine.place(5, Fixture.Clock.now()).RetryAfter == 120s);
  });
  section("in the end it is forgotten", [&] {
    Fixture.Clock.advance(120s + 120s);
    CPPUNIT_ASSERT(Fixture.placeOf(5) == placement::Any);
    Fixture.Quarantine.tell(1, Fixture.Clock.now());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Fixture.Quarantine.suspects());
  });
}

namespace {

void tell(quarantine_fixture &From, quarantine_fixture &To) {
  From.Clock.advance(1s);
  To.Clock.advance(1s);
  for (const quarantine_telling &Telling :
       From.Quarantine.tell(1, From.Clock.now()))
    To.Quarantine.merge(Telling.News, To.Clock.now());
}

} // namespace

STORY(quarantine_news_between_instances) {
  quarantine_fixture First;
  quarantine_fixture Second;

  section("a suspect of one instance runs alone on the next", [&] {
    First.dies(5, 0);
    const quarantine_news News = First.Quarantine.takeSeen(First.Clock.now());
    Second.Quarantine.merge(News, Second.Clock.now());
    Second.Quarantine.merge(News, Second.Clock.now());
    CPPUNIT_ASSERT(Second.placeOf(5) == placement::Alone);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                         Second.Quarantine.quarantined(Second.Clock.now()));
  });
  section("a death that both have seen counts once", [&] {
    CPPUNIT_ASSERT(!Second.dies(5, 0));
    tell(Second, First);
    CPPUNIT_ASSERT(First.placeOf(5) == placement::Alone);
  });
  section("what succeeded there isn't accused again by old news", [&] {
    Second.Quarantine.started(50, 5, 1, Second.Clock.now());
    Second.Quarantine.succeeded(50, Second.Clock.now());
    Second.Quarantine.merge(First.Quarantine.current(First.Clock.now()),
                            Second.Clock.now());
    CPPUNIT_ASSERT(Second.placeOf(5) == placement::Any);
  });
  section("but by later deaths, and the quarantine reaches the next", [&] {
    First.Clock.advance(5s);
    Second.Clock.advance(5s);
    CPPUNIT_ASSERT(First.dies(5, 1));
    tell(First, Second);
    CPPUNIT_ASSERT(Second.placeOf(5) == placement::Alone);
    First.dies(5, 2);
    tell(First, Second);
    CPPUNIT_ASSERT(Second.placeOf(5) == placement::Quarantined);
  });
}

// Guards against a crash that is told while no peer is known, and never again.
STORY(quarantine_news_of_an_instance_that_was_alone) {
  quarantine_fixture First;
  quarantine_fixture Second;
  First.dies(5, 1);
  section("it is kept for the first peer", [&] {
    CPPUNIT_ASSERT(First.Quarantine.tell(0, First.Clock.now()).empty());
    tell(First, Second);
    CPPUNIT_ASSERT(Second.placeOf(5) == placement::Alone);
  });
  section("and told to one that comes later", [&] {
    quarantine_fixture Third;
    Third.Quarantine.merge(First.Quarantine.current(First.Clock.now()),
                           Third.Clock.now());
    CPPUNIT_ASSERT(Third.placeOf(5) == placement::Alone);
  });
}

STORY(quarantines_that_are_told_on) {
  quarantine_fixture Second;
  section("by one that has heard of it, though the first is gone", [&] {
    quarantine_fixture First;
    quarantine_fixture Third;
    First.dies(5, 1);
    CPPUNIT_ASSERT(First.dies(5, 2));
    tell(First, Second);
    tell(Second, Third);
    CPPUNIT_ASSERT(Third.placeOf(5) == placement::Quarantined);
  });
  section("it ends everywhere when it would without being told on", [&] {
    quarantine_fixture Third;
    for (int Seconds = 0; Seconds < 62; ++Seconds) {
      tell(Second, Third);
      tell(Third, Second);
    }
    CPPUNIT_ASSERT(Second.placeOf(5) == placement::Alone);
    CPPUNIT_ASSERT(Third.placeOf(5) == placement::Alone);
  });
  section("and is forgotten, though both go on telling", [&] {
    quarantine_fixture Third;
    for (int Seconds = 0; Seconds < 70; ++Seconds) {
      tell(Second, Third);
      tell(Third, Second);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Second.Quarantine.suspects());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Third.Quarantine.suspects());
  });
}

// Guards against a message that makes no sense and ends the process.
STORY(quarantine_news_that_make_no_sense) {
  quarantine_fixture Fixture;
  const auto Merge = [&](const suspect_report &Report) {
    return Fixture.Quarantine.merge({{Report}}, Fixture.Clock.now());
  };
  section("rounds without a crash", [&] {
    CPPUNIT_ASSERT(Merge({5, std::nullopt, 0xffffffff, {}}).empty());
    Fixture.dies(5, 1);
    CPPUNIT_ASSERT(Merge({5, std::nullopt, 0xffffffff, {}}).empty());
    CPPUNIT_ASSERT(Fixture.placeOf(5) == placement::Alone);
  });
  section("a death before its run, and ages beyond any memory", [&] {
    Merge({6, std::nullopt, 2, {{1, 10ms, 20ms, true}, {2, 5ms, 10ms, true}}});
    Merge({7, 1193h, 2, {{3, 1193h, 1193h, true}}});
    CPPUNIT_ASSERT(Fixture.placeOf(6) == placement::Any);
    CPPUNIT_ASSERT(Fixture.placeOf(7) == placement::Any);
  });
  section("more crashes than are kept", [&] {
    suspect_report Report{8, std::nullopt, 2, {}};
    for (std::uint64_t Target = 0; Target < 1000; ++Target)
      Report.Crashes.push_back({Target, 20ms, 10ms, false});
    Merge(Report);
    CPPUNIT_ASSERT(Fixture.placeOf(8) == placement::Alone);
  });
}

STORY(quarantine_table_is_bounded) {
  quarantine_fixture Fixture;
  section("suspects of one death make room for each other", [&] {
    for (std::uint64_t I = 0; I < 5000; ++I)
      Fixture.Quarantine.merge(
          {{{1000 + I, std::nullopt, 1, {{I, 20ms, 10ms, false}}}}},
          Fixture.Clock.now());
    CPPUNIT_ASSERT_EQUAL(std::size_t(4096), Fixture.Quarantine.suspects());
  });
  section("one that may soon be refused stays", [&] {
    Fixture.Clock.advance(5s);
    Fixture.dies(5, 10001);
    CPPUNIT_ASSERT(Fixture.dies(5, 10002));
    Fixture.Clock.advance(5s);
    for (std::uint64_t I = 0; I < 5000; ++I)
      Fixture.Quarantine.merge(
          {{{10000 + I, std::nullopt, 1, {{I, 20ms, 10ms, false}}}}},
          Fixture.Clock.now());
    CPPUNIT_ASSERT(Fixture.placeOf(5) == placement::Quarantined);
  });
}

// Guards against a death that counts only where a second request of the same
// instance finds the target gone.
STORY(deaths_that_are_noticed_later_or_elsewhere_count) {
  quarantine_settings Settings;
  Settings.DeathsWhenAlone = 3;
  Settings.DeathsInCompany = 3;
  Settings.TargetsRestart = true;
  quarantine Quarantine(Settings);
  fake_clock Clock;
  attempt_id Last = 0;
  const auto Lose = [&](target_start Target) {
    Quarantine.started(++Last, 5, Target, Clock.now());
    Clock.advance(20ms);
    const bool IsDead = Quarantine.lost(Last, Clock.now());
    Clock.advance(1s);
    return IsDead;
  };

  section("a broken connection alone tells nothing", [&] {
    CPPUNIT_ASSERT(!Lose(1));
    CPPUNIT_ASSERT(Quarantine.isInDoubt(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Quarantine.suspects());
  });
  section("the death is charged though it is noticed seconds later", [&] {
    Clock.advance(5s);
    CPPUNIT_ASSERT(Quarantine.targetDied(1, Clock.now()).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Quarantine.suspects());
  });
  section("or because a peer tells it of another request", [&] {
    CPPUNIT_ASSERT(!Lose(2));
    Quarantine.merge(
        quarantine_news{{{77, std::nullopt, 1, {{2, 1100ms, 1000ms, false}}}}},
        Clock.now());
    CPPUNIT_ASSERT(!Quarantine.isInDoubt(2));
  });
  section("what is sent after the death isn't charged", [&] {
    CPPUNIT_ASSERT(!Lose(2));
    CPPUNIT_ASSERT(Quarantine.place(5, Clock.now()).Placement !=
                   placement::Quarantined);
  });
  section("the third death is the last one", [&] {
    CPPUNIT_ASSERT(!Lose(3));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         Quarantine.targetDied(3, Clock.now()).size());
  });
  section("and a target that isn't proved dead in time is let go", [&] {
    Quarantine.started(++Last, 6, 9, Clock.now());
    Quarantine.lost(Last, Clock.now());
    Clock.advance(11s);
    Quarantine.tell(1, Clock.now());
    CPPUNIT_ASSERT(!Quarantine.isInDoubt(9));
  });
}

// Guards against crashes that aren't counted, since the target was back and its
// entry still told the start that had died before.
STORY(starts_that_have_no_entry_yet) {
  quarantine_settings Settings;
  Settings.DeathsWhenAlone = 3;
  Settings.DeathsInCompany = 3;
  Settings.TargetsRestart = true;
  quarantine Quarantine(Settings);
  fake_clock Clock;
  attempt_id Last = 0;
  const auto Lose = [&](target_start Target) {
    Quarantine.started(++Last, 5, Target, Clock.now());
    Clock.advance(20ms);
    Quarantine.lost(Last, Clock.now());
    Clock.advance(100ms);
  };

  section("a crash of the next start counts, and once", [&] {
    Lose(1);
    CPPUNIT_ASSERT(Quarantine.targetDied(1, Clock.now()).empty());
    CPPUNIT_ASSERT(Quarantine.targetDied(1, Clock.now()).empty());
    Lose(1);
    CPPUNIT_ASSERT(Quarantine.isInDoubt(1));
    CPPUNIT_ASSERT(Quarantine.targetDied(1, Clock.now()).empty());
  });
  section("so does the one after it, which gets its name meanwhile", [&] {
    Lose(1);
    Quarantine.startedAgain(1, 2, Clock.now());
    Quarantine.startedAgain(2, 3, Clock.now());
    CPPUNIT_ASSERT(Quarantine.isInDoubt(3));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         Quarantine.targetDied(3, Clock.now()).size());
  });
}

STORY(innocents_of_a_common_failure) {
  quarantine_settings Settings;
  Settings.DeathsWhenAlone = 3;
  Settings.DeathsInCompany = 3;
  section("many targets that die at one moment are one death", [&] {
    quarantine Quarantine(Settings);
    fake_clock Clock;
    for (attempt_id Id = 1; Id <= 8; ++Id) {
      Quarantine.started(Id, 5, Id, Clock.now());
      Clock.advance(10ms);
    }
    for (target_start Target = 1; Target <= 8; ++Target)
      CPPUNIT_ASSERT(Quarantine.targetDied(Target, Clock.now()).empty());
  });
  section("one that died beside the guilty each time is let through", [&] {
    quarantine Quarantine(Settings);
    fake_clock Clock;
    attempt_id Last = 0;
    const auto Die = [&](target_start Target, bool Beside) {
      Quarantine.started(++Last, 5, Target, Clock.now());
      if (Beside)
        Quarantine.started(++Last, 6, Target, Clock.now());
      Clock.advance(1s);
      return Quarantine.targetDied(Target, Clock.now());
    };
    Die(1, false);
    Die(2, true);
    Die(3, true);
    const std::vector<request_fingerprint> Guilty = Die(4, true);
    CPPUNIT_ASSERT(Guilty.empty());
    CPPUNIT_ASSERT(Quarantine.place(5, Clock.now()).Placement ==
                   placement::Quarantined);
    CPPUNIT_ASSERT(Quarantine.place(6, Clock.now()).Placement !=
                   placement::Quarantined);
  });
  section("a success clears it everywhere", [&] {
    quarantine Here(Settings);
    quarantine There(Settings);
    fake_clock Clock;
    for (target_start Target = 1; Target <= 3; ++Target) {
      Here.started(Target, 5, Target, Clock.now());
      Clock.advance(1s);
      Here.targetDied(Target, Clock.now());
    }
    There.merge(Here.takeSeen(Clock.now()), Clock.now());
    CPPUNIT_ASSERT(There.place(5, Clock.now()).Placement ==
                   placement::Quarantined);
    Clock.advance(100ms);
    There.clear(5, Clock.now());
    Here.merge(There.takeSeen(Clock.now()), Clock.now());
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
