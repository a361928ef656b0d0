/// Property: instances that run as processes stop a request that crashes its
/// targets together.
#include "world.h"

#include <magnoliaspread/story.h>

#include <cstdlib>
#include <filesystem>

using namespace magnoliaspread;
using namespace std::chrono_literals;

namespace {

constexpr int Requests = 18;
/// Longer than a death takes to be known everywhere.
constexpr auto Pause = 400ms;
/// Targets that may crash before a request is refused.
constexpr std::size_t CrashesAllowed = 3;

/// RULES, In touch: an instance is bound this long after its start
/// (stabilityWindowMs).
constexpr auto AfterStart = 4000ms;

struct folder {
  folder() {
    if (mkdtemp(Name.data()) == nullptr)
      throw std::runtime_error("no temporary folder");
  }
  ~folder() { std::filesystem::remove_all(Name); }

  std::string Name =
      (std::filesystem::temp_directory_path() / "crashes-XXXXXX").string();
};

class crash_bench {
public:
  /// The targets aren't reached by way of the proxies, which take connections
  /// for one that is down.
  crash_bench() {
    for (const soak_target &Target : World.Targets) {
      const auto Put = [this, &Target] {
        World.Store.put("servers", Target.Target->name(),
                        Target.Target->entry("ready", Target.DataCentre));
      };
      Put();
      Target.Target->onReturn(Put);
    }
    CPPUNIT_ASSERT(World.waitAllReady(10s));
    // The instances have to know each other and the targets' entries.
    std::this_thread::sleep_for(3s);
  }

  std::size_t crashes() const {
    std::size_t Sum = 0;
    for (const soak_target &Target : World.Targets)
      Sum += Target.Target->crashes();
    return Sum;
  }

  unsigned crash(const soak_instance &Instance) {
    const sent_request Request = World.send(Instance, "key-club", false, true);
    std::this_thread::sleep_for(Pause);
    return Request.Status;
  }

private:
  folder Folder;

public:
  soak_world World{Folder.Name};
};

} // namespace

// Guards against a crashing request that each instance sends to targets of its
// own before it refuses it, or that a restarted one sends again.
STORY(crashing_request_is_refused_by_all_processes) {
  crash_bench Bench;
  soak_world &World = Bench.World;

  section("each instance gets it in turn, three targets crash", [&] {
    for (int I = 0; I < Requests; ++I)
      Bench.crash(World.Instances[I % World.Instances.size()]);
    CPPUNIT_ASSERT_EQUAL(CrashesAllowed, Bench.crashes());
  });
  section("every instance refuses it then", [&] {
    for (const soak_instance &Instance : World.Instances)
      CPPUNIT_ASSERT_EQUAL(503U, Bench.crash(Instance));
  });
  section("also after it was killed and started again", [&] {
    for (soak_instance &Instance : World.Instances) {
      Instance.Process->kill();
      World.start(Instance);
      CPPUNIT_ASSERT(World.waitAllReady(10s));
      std::this_thread::sleep_for(1s);
      CPPUNIT_ASSERT_EQUAL(503U, Bench.crash(Instance));
    }
    CPPUNIT_ASSERT_EQUAL(CrashesAllowed, Bench.crashes());
  });
  section("and after all were killed at one moment", [&] {
    for (soak_instance &Instance : World.Instances)
      Instance.Process->kill();
    for (soak_instance &Instance : World.Instances)
      World.start(Instance);
    CPPUNIT_ASSERT(World.waitAllReady(10s));
    std::this_thread::sleep_for(AfterStart);
    for (const soak_instance &Instance : World.Instances)
      CPPUNIT_ASSERT_EQUAL(503U, Bench.crash(Instance));
    CPPUNIT_ASSERT_EQUAL(CrashesAllowed, Bench.crashes());
  });
  section("while others like it are served", [&] {
    for (const soak_instance &Instance : World.Instances)
      CPPUNIT_ASSERT_EQUAL(200U, World.send(Instance, "key-club", true).Status);
  });
}
