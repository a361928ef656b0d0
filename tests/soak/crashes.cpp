/// Property: instances in separate processes quarantine a crashing request
/// across the whole fleet.
#include "world.h"

#include <magnoliaspread/story.h>

#include <cstdlib>
#include <filesystem>

using namespace magnoliaspread;
using namespace std::chrono_literals;

namespace {

constexpr int Requests = 18;
/// Longer than a crash takes to reach every instance.
constexpr auto SpreadTime = 400ms;
/// Targets that may crash before the request is quarantined.
constexpr std::size_t CrashesAllowed = 3;

/// RULES, In touch: the limit on crashes applies to an instance this long after
/// its start (stabilityWindowMs).
constexpr auto StabilityWindow = 4000ms;

struct folder {
  folder() {
    if (mkdtemp(Name.data()) == nullptr)
      throw std::runtime_error("no temporary folder");
  }
  ~folder() { std::filesystem::remove_all(Name); }

  std::string Name =
      (std::filesystem::temp_directory_path() / "crashes-XXXXXX").string();
};

class crash_fixture {
public:
  /// Targets are reached directly: a proxy would accept connections for a
  /// target that is down.
  crash_fixture() {
    for (const soak_target &Target : World.Targets) {
      const auto Put = [this, &Target] {
        World.Store.put("servers", Target.Target->name(),
                        Target.Target->entry("ready", Target.DataCentre));
      };
      Put();
      Target.Target->onRestart(Put);
    }
    CPPUNIT_ASSERT(World.waitAllReady(10s));
    // Until the instances have joined each other and read the targets' entries.
    std::this_thread::sleep_for(3s);
  }

  std::size_t crashes() const {
    std::size_t Sum = 0;
    for (const soak_target &Target : World.Targets)
      Sum += Target.Target->crashes();
    return Sum;
  }

  unsigned sendCrashing(const soak_instance &Instance) {
    const sent_request Request = World.send(Instance, "key-club", false, true);
    std::this_thread::sleep_for(SpreadTime);
    return Request.Status;
  }

private:
  folder Folder;

public:
  soak_world World{Folder.Name};
};

} // namespace

// Guards against instances that count a request's crashes separately, and
// against a restarted instance that forgets a quarantined request.
STORY(crashing_request_is_refused_by_all_processes) {
  crash_fixture Fixture;
  soak_world &World = Fixture.World;

  section("sent to each instance in turn, it crashes three targets", [&] {
    for (int I = 0; I < Requests; ++I)
      Fixture.sendCrashing(World.Instances[I % World.Instances.size()]);
    CPPUNIT_ASSERT_EQUAL(CrashesAllowed, Fixture.crashes());
  });
  section("every instance refuses it after that", [&] {
    for (const soak_instance &Instance : World.Instances)
      CPPUNIT_ASSERT_EQUAL(503U, Fixture.sendCrashing(Instance));
  });
  section("each also refuses it after being killed and restarted", [&] {
    for (soak_instance &Instance : World.Instances) {
      Instance.Process->kill();
      World.start(Instance);
      CPPUNIT_ASSERT(World.waitAllReady(10s));
      std::this_thread::sleep_for(1s);
      CPPUNIT_ASSERT_EQUAL(503U, Fixture.sendCrashing(Instance));
    }
    CPPUNIT_ASSERT_EQUAL(CrashesAllowed, Fixture.crashes());
  });
  section("all refuse it after being killed at the same time", [&] {
    for (soak_instance &Instance : World.Instances)
      Instance.Process->kill();
    for (soak_instance &Instance : World.Instances)
      World.start(Instance);
    CPPUNIT_ASSERT(World.waitAllReady(10s));
    std::this_thread::sleep_for(StabilityWindow);
    for (const soak_instance &Instance : World.Instances)
      CPPUNIT_ASSERT_EQUAL(503U, Fixture.sendCrashing(Instance));
    CPPUNIT_ASSERT_EQUAL(CrashesAllowed, Fixture.crashes());
  });
  section("similar requests are served", [&] {
    for (const soak_instance &Instance : World.Instances)
      CPPUNIT_ASSERT_EQUAL(200U, World.send(Instance, "key-club", true).Status);
  });
}
