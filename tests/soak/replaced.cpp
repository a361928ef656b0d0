/// Properties: after instances were replaced by others with new names, each
/// workspace gets its rate and burst, and no more.
#include "world.h"

#include <client.h>
#include <magnoliaspread/hash.h>
#include <magnoliaspread/quotamsg.h>
#include <magnoliaspread/story.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <map>
#include <thread>
#include <vector>

using namespace magnoliaspread;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

/// Requests a second, and burst.
constexpr int Rate = 40;
/// RULES, QUOTA: the window, and what the factor and the slack allow in it.
constexpr auto Window = 5000ms;
constexpr double Allowed = (Rate * 5 + Rate) * 1.1 + 20;
/// What a workspace far beyond its limit gets in the window at least.
constexpr std::size_t LeastUsed = std::size_t{4} * Rate;
/// RULES, In touch: the bounds hold this long after the last change.
constexpr auto StabilityWindow = 6000ms;
constexpr std::size_t WorkspacesOfAKind = 3;
/// A workspace within its limit isn't refused; a few requests may meet targets
/// that close connections.
constexpr double LeastServed = 0.95;

struct folder {
  folder() {
    if (mkdtemp(Name.data()) == nullptr)
      throw std::runtime_error("no temporary folder");
  }
  ~folder() { std::filesystem::remove_all(Name); }

  std::string Name =
      (std::filesystem::temp_directory_path() / "replaced-XXXXXX").string();
};

using names = std::vector<std::string>;

std::string firstRanked(const std::string &Workspace, const names &Instances) {
  return *std::max_element(Instances.begin(), Instances.end(),
                           [&](const std::string &A, const std::string &B) {
                             const limit_id Limit = workspaceLimit(Workspace);
                             return rendezvousScore(Limit, stableId(A)) <
                                    rendezvousScore(Limit, stableId(B));
                           });
}

/// The first workspaces for which \p Fits.
names workspacesFor(const std::function<bool(const std::string &)> &Fits) {
  names Found;
  for (int I = 0; Found.size() < WorkspacesOfAKind; ++I) {
    const std::string Name = "workspace-" + std::to_string(I);
    if (Fits(Name))
      Found.push_back(Name);
  }
  return Found;
}

/// In each region one instance is replaced: its name, and the others'.
struct replaced_region {
  names Before;
  std::string Old;
  std::string New;

  names after() const {
    names Names{New};
    for (const std::string &Name : Before)
      if (Name != Old)
        Names.push_back(Name);
    return Names;
  }
};

const std::vector<replaced_region> Regions{
    {{"north-a-1", "north-a-2", "north-b-1", "north-b-2"},
     "north-a-1",
     "north-a-1-next"},
    {{"south-a-1", "south-a-2"}, "south-a-1", "south-a-1-next"}};

/// The new instance ranks first in each region and one that stays did before.
bool movesToNew(const std::string &Workspace) {
  return std::all_of(Regions.begin(), Regions.end(),
                     [&](const replaced_region &Row) {
                       return firstRanked(Workspace, Row.Before) != Row.Old &&
                              firstRanked(Workspace, Row.after()) == Row.New;
                     });
}

/// The instance that left ranked first in each region, also before the new one.
bool losesOwner(const std::string &Workspace) {
  return std::all_of(
      Regions.begin(), Regions.end(), [&](const replaced_region &Row) {
        return firstRanked(Workspace, Row.Before) == Row.Old &&
               firstRanked(Workspace, {Row.Old, Row.New}) == Row.Old;
      });
}

class replaced_fixture {
public:
  replaced_fixture() {
    CPPUNIT_ASSERT(World.waitAllReady(10s));
    names All = Moved;
    All.insert(All.end(), Orphaned.begin(), Orphaned.end());
    World.addWorkspaces(All, Rate);
    // Until the instances have joined each other and know the workspaces.
    std::this_thread::sleep_for(5s);
    for (const replaced_region &Region : Regions)
      for (soak_instance &Instance : World.Instances)
        if (Instance.Name == Region.Old) {
          World.replace(Instance);
          CPPUNIT_ASSERT(World.waitAllReady(10s));
          break;
        }
    std::this_thread::sleep_for(StabilityWindow);
  }

  /// Sends for each workspace \p PerSecond requests a second to all instances;
  /// returns the part that was served.
  std::map<std::string, double> load(const names &Workspaces, int PerSecond,
                                     std::chrono::seconds Time) {
    std::map<std::string, double> Served;
    std::vector<std::thread> Callers;
    for (const std::string &Name : Workspaces) {
      double &Part = Served[Name];
      Callers.emplace_back([&, Name] {
        const int Count = PerSecond * static_cast<int>(Time.count());
        Part = static_cast<double>(sendEvenly(Name, Count, Time)) / Count;
      });
    }
    for (std::thread &Caller : Callers)
      Caller.join();
    return Served;
  }

  std::size_t mostInWindow(const std::string &Workspace) const {
    std::vector<soak_time> Times;
    for (const soak_target &Target : World.Targets)
      for (const target_run &Run : Target.Target->runLog())
        if (Run.Workspace == Workspace)
          Times.push_back(Run.At);
    std::sort(Times.begin(), Times.end());
    std::size_t Most = 0;
    for (std::size_t First = 0, Last = 0; Last < Times.size(); ++Last) {
      while (Times[Last] - Times[First] >= Window)
        ++First;
      Most = std::max(Most, Last - First + 1);
    }
    return Most;
  }

  const names Moved = workspacesFor(movesToNew);
  const names Orphaned = workspacesFor(losesOwner);

private:
  std::size_t sendEvenly(const std::string &Workspace, int Count,
                         milliseconds Time) {
    constexpr std::size_t Threads = 8;
    const soak_time From = std::chrono::steady_clock::now();
    std::atomic<int> Next = 0;
    std::atomic<std::size_t> Served = 0;
    std::vector<std::thread> Senders;
    Senders.reserve(Threads);
    for (std::size_t T = 0; T < Threads; ++T)
      Senders.emplace_back([&] {
        for (int I = Next++; I < Count; I = Next++) {
          std::this_thread::sleep_until(From + Time * I / Count);
          const auto &Instances = World.Instances;
          const auto Which = static_cast<std::size_t>(I) % Instances.size();
          if (World.send(Instances[Which], "key-" + Workspace, true).Status ==
              200)
            ++Served;
        }
      });
    for (std::thread &Sender : Senders)
      Sender.join();
    return Served;
  }

  folder Folder;
  soak_world World{Folder.Name};
};

} // namespace

// Guards against shares of limits that nobody mints, as their owner has left.
STORY(workspaces_are_served_after_their_owners_left) {
  replaced_fixture Fixture;
  section("those whose owner left in each region", [&] {
    for (const auto &[Name, Part] : Fixture.load(Fixture.Orphaned, 8, 5s))
      CPPUNIT_ASSERT_MESSAGE(Name + ": " + std::to_string(Part) + " served",
                             Part >= LeastServed);
  });
}

// Guards against shares of limits that two instances mint: one that stays and a
// new one that ranks before it.
STORY(limits_hold_after_instances_were_replaced) {
  replaced_fixture Fixture;
  section("for workspaces whose share moved to a new instance", [&] {
    Fixture.load(Fixture.Moved, Rate * 5 / 2, 8s);
    for (const std::string &Name : Fixture.Moved) {
      const std::size_t Most = Fixture.mostInWindow(Name);
      CPPUNIT_ASSERT_MESSAGE(Name + ": " + std::to_string(Most) + " in 5 s, " +
                                 std::to_string(Allowed) + " allowed",
                             static_cast<double>(Most) <= Allowed);
      CPPUNIT_ASSERT_MESSAGE(Name + " doesn't get its rate", Most > LeastUsed);
    }
  });
}
