/// Properties of configuration distribution under seeded random faults.
#include "fleet.h"

#include <magnoliaspread/story.h>

#include <map>

using namespace magnoliaspread;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Seeds[] = {1, 2, 3, 4, 5, 6, 116};
constexpr std::chrono::seconds InForceEverywhere{7};

std::string seedText(std::uint64_t Seed) {
  return "seed " + std::to_string(Seed);
}

/// Fails if a process reverts to a lower version.
class revert_check {
public:
  explicit revert_check(const fleet &Fleet) : Fleet(Fleet) {}

  void operator()() {
    for (const simulated_instance &Instance : Fleet.Instances) {
      if (!Instance.Up)
        continue;
      const std::uint64_t Version = Instance.Config->inForce().Version;
      std::uint64_t &Highest = Seen[Instance.Identity.Incarnation];
      CPPUNIT_ASSERT_MESSAGE(Instance.Name + " reverted", Version >= Highest);
      Highest = Version;
    }
  }

private:
  const fleet &Fleet;
  std::map<std::uint64_t, std::uint64_t> Seen;
};

void startConverged(fleet &Fleet) {
  Fleet.startAll();
  Fleet.runUntil(30s, [&] {
    return Fleet.viewsAgree() &&
           Fleet.allHaveVersion(Fleet.Platform.Current.Version);
  });
}

} // namespace

STORY(config_reaches_everyone) {
  for (const std::uint64_t Seed : Seeds)
    section(seedText(Seed), [&] {
      fleet Fleet(4, 5, Seed);
      Fleet.Faults = {0.05, 0.05, 1ms, 150ms};
      startConverged(Fleet);
      revert_check Check(Fleet);
      Fleet.Check = [&] { Check(); };
      section("through watches of the platform", [&] {
        Fleet.Platform.Current = {2, 2};
        CPPUNIT_ASSERT(Fleet.runUntil(InForceEverywhere,
                                      [&] { return Fleet.allHaveVersion(2); }));
      });
      section("through peers alone, into data centres without the platform",
              [&] {
                for (simulated_instance &Instance : Fleet.Instances)
                  Instance.PlatformBlocked = Instance.Centre != 0;
                Fleet.Platform.Current = {3, 3};
                CPPUNIT_ASSERT(Fleet.runUntil(InForceEverywhere, [&] {
                  return Fleet.allHaveVersion(3);
                }));
              });
      section("with a single instance that reaches the platform", [&] {
        for (std::size_t I = 0; I < Fleet.Instances.size(); ++I)
          Fleet.Instances[I].PlatformBlocked = I != 0;
        Fleet.Platform.Current = {4, 4};
        CPPUNIT_ASSERT(
            Fleet.runUntil(20s, [&] { return Fleet.allHaveVersion(4); }));
      });
    });
}

STORY(config_never_reverts) {
  for (const std::uint64_t Seed : Seeds)
    section(seedText(Seed), [&] {
      fleet Fleet(3, 4, Seed);
      Fleet.Faults = {0.1, 0.1, 1ms, 300ms};
      revert_check Check(Fleet);
      Fleet.Check = [&] { Check(); };
      startConverged(Fleet);
      for (std::uint64_t Version = 2; Version < 30; ++Version) {
        const bool Restored = Fleet.Random() % 4 == 0;
        const std::uint64_t Shown = Restored ? Version / 2 : Version;
        Fleet.Platform.Current = {Shown, static_cast<std::uint32_t>(Shown)};
        Fleet.Platform.Up = Fleet.Random() % 3 != 0;
        const std::size_t Index = Fleet.Random() % Fleet.Instances.size();
        if (Fleet.Random() % 2 == 0)
          Fleet.start(Index, {Index % 4, 4 + Index % 4, 8 + Index % 4});
        Fleet.run(std::chrono::milliseconds(Fleet.Random() % 3000));
      }
    });
}

STORY(start_while_the_platform_is_down) {
  fleet Fleet(2, 4, 21);
  Fleet.Faults = {0.05, 0.05, 1ms, 50ms};
  startConverged(Fleet);
  Fleet.Platform.Current = {9, 9};
  Fleet.run(InForceEverywhere);
  Fleet.Platform.Up = false;
  Fleet.Platform.Current = {2, 2};
  const std::size_t Fresh = Fleet.addInstance(0);
  Fleet.start(Fresh, {0, 1, 2, 3});
  section("a new instance gets the configuration from peers", [&] {
    CPPUNIT_ASSERT(Fleet.runUntil(5s, [&] { return Fleet.allHaveVersion(9); }));
  });
  section("and keeps it when the platform returns with an older one", [&] {
    Fleet.Platform.Up = true;
    Fleet.run(150s);
    CPPUNIT_ASSERT(Fleet.allHaveVersion(9));
  });
}

STORY(who_reaches_the_platform) {
  fleet Fleet(3, 4, 23);
  startConverged(Fleet);
  const auto Reached = [&](std::size_t Index) {
    return fleetReachesPlatform(*Fleet.Instances[Index].Members, Fleet.Now);
  };
  section("one data centre that reaches it is enough for all", [&] {
    for (simulated_instance &Instance : Fleet.Instances)
      Instance.PlatformBlocked = Instance.Centre != 1;
    Fleet.run(20s);
    CPPUNIT_ASSERT(Reached(0) && Reached(4) && Reached(11));
  });
  section("but not for a data centre that is cut off", [&] {
    Fleet.Blocked = [&](std::size_t A, std::size_t B) {
      return (Fleet.Instances[A].Centre == 2) !=
             (Fleet.Instances[B].Centre == 2);
    };
    Fleet.run(40s);
    CPPUNIT_ASSERT(Reached(0) && !Reached(11));
  });
}

STORY(lowest_version_of_the_fleet) {
  fleet Fleet(3, 4, 22);
  startConverged(Fleet);
  const auto Since = [&](std::size_t Index, std::uint64_t Version) {
    return Fleet.Instances[Index].Members->everywhereSince(Version);
  };
  const auto KnownEverywhere = [&](std::uint64_t Version) {
    for (std::size_t I = 0; I < Fleet.Instances.size(); ++I)
      if (Fleet.active(I) && !Since(I, Version))
        return false;
    return true;
  };
  section("is known everywhere soon after it is true", [&] {
    Fleet.Platform.Current = {2, 2};
    Fleet.Check = [&] {
      for (std::size_t I = 0; I < Fleet.Instances.size(); ++I)
        CPPUNIT_ASSERT(!Since(I, 2) || Fleet.allHaveVersion(2));
    };
    CPPUNIT_ASSERT(Fleet.runUntil(30s, [&] { return KnownEverywhere(2); }));
  });
  Fleet.Check = nullptr;
  section("waits for a data centre that is cut off", [&] {
    Fleet.Blocked = [&](std::size_t A, std::size_t B) {
      return (Fleet.Instances[A].Centre == 2) !=
             (Fleet.Instances[B].Centre == 2);
    };
    for (std::size_t I = 8; I < 12; ++I)
      Fleet.Instances[I].PlatformBlocked = true;
    Fleet.run(2s);
    Fleet.Platform.Current = {3, 3};
    Fleet.run(120s);
    CPPUNIT_ASSERT(!Since(0, 3));
    CPPUNIT_ASSERT(!Since(8, 3));
  });
  section("until the table no longer names it", [&] {
    for (std::size_t I = 0; I < 8; ++I)
      Fleet.Instances[I].Members->retainDataCentres({"dc0", "dc1"});
    Fleet.run(1s);
    CPPUNIT_ASSERT(Since(0, 3));
  });
}
