/// Property: instances in separate processes keep together to the rate limits
/// that targets announce.
#include "world.h"

#include <client.h>
#include <magnoliaspread/story.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <sstream>
#include <thread>
#include <vector>

using namespace magnoliaspread;
using namespace std::chrono_literals;

namespace {

/// RULES, LIMIT: the window in which arrivals count, the factor and the number
/// by which they may exceed the limit, and the time from the first announcement
/// until the limit binds.
constexpr auto Window = 4000ms;
constexpr double Over = 1.5;
constexpr double Slack = 5;
constexpr auto StabilityWindow = 4000ms;
constexpr auto Duration = 10s;
/// About forty requests a second for each target.
constexpr unsigned Callers = 8;
constexpr auto CallerPause = 5ms;

struct folder {
  folder() {
    if (mkdtemp(Name.data()) == nullptr)
      throw std::runtime_error("no temporary folder");
  }
  ~folder() { std::filesystem::remove_all(Name); }

  std::string Name =
      (std::filesystem::temp_directory_path() / "limits-XXXXXX").string();
};

/// Requests that ran on \p Target from \p From to \p To.
std::vector<soak_time> arrivals(const target_standin &Target, soak_time From,
                                soak_time To) {
  std::vector<soak_time> Times;
  for (const target_run &Run : Target.runLog())
    if (Run.At >= From && Run.At < To)
      Times.push_back(Run.At);
  return Times;
}

std::size_t mostInWindow(const std::vector<soak_time> &Times) {
  std::size_t Most = 0;
  for (std::size_t First = 0, Last = 0; Last < Times.size(); ++Last) {
    while (Times[Last] - Times[First] >= Window)
      ++First;
    Most = std::max(Most, Last - First + 1);
  }
  return Most;
}

/// Requests that a target with a limit of \p Rate may get in the window.
double allowed(double Rate) {
  return Over * Rate * std::chrono::duration<double>(Window).count() + Slack;
}

class limit_fixture {
public:
  limit_fixture() {
    CPPUNIT_ASSERT(World.waitAllReady(10s));
    // Until the instances have joined each other.
    std::this_thread::sleep_for(3s);
    for (unsigned I = 0; I < Callers; ++I)
      Threads.emplace_back([this, I] { sendAll(I); });
    std::this_thread::sleep_for(2s);
  }

  ~limit_fixture() {
    Calling = false;
    for (std::thread &Thread : Threads)
      Thread.join();
  }

  /// Lets \p Target announce \p Rate, waits until it binds and counts.
  void checkKept(target_standin &Target, double Rate) {
    std::ostringstream Text;
    Text << Rate;
    Target.setRateLimit(Text.str());
    std::this_thread::sleep_for(StabilityWindow);
    const soak_time From = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(Duration);
    const std::size_t Most =
        mostInWindow(arrivals(Target, From, std::chrono::steady_clock::now()));
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Most) + " requests in 4 s, " +
                               std::to_string(allowed(Rate)) + " allowed",
                           static_cast<double>(Most) <= allowed(Rate));
    CPPUNIT_ASSERT_MESSAGE("the target isn't used", Most > 0);
  }

  bool noLimitKnown() const {
    return std::all_of(
        World.Instances.begin(), World.Instances.end(),
        [](const soak_instance &Row) {
          const http_answer Page = call(Row.Admin, {.Target = "/metrics"});
          return Page.Body.find("magnoliaspread_limited_targets 0") !=
                 std::string::npos;
        });
  }

  std::size_t refusedSince(soak_time From) const {
    const std::vector<sent_request> Sent = World.sent();
    return static_cast<std::size_t>(
        std::count_if(Sent.begin(), Sent.end(), [&](const sent_request &Row) {
          return Row.SentAt >= From && Row.Status != 200;
        }));
  }

private:
  void sendAll(unsigned Number) {
    for (std::size_t I = Number; Calling; ++I) {
      World.send(World.Instances[I % World.Instances.size()], "key-club",
                 I % 2 == 0);
      std::this_thread::sleep_for(CallerPause);
    }
  }

  folder Folder;

public:
  soak_world World{Folder.Name};

private:
  std::atomic<bool> Calling = true;
  std::vector<std::thread> Threads;
};

} // namespace

// Guards against instances that don't read a target's rate limit, or that each
// keep to all of it by themselves.
STORY(announced_limits_hold_over_all_processes) {
  limit_fixture Fixture;
  target_standin &Limited = *Fixture.World.Targets[0].Target;
  const soak_time From = std::chrono::steady_clock::now();

  section("a limit of a sixth of the target's usual rate",
          [&] { Fixture.checkKept(Limited, 6.4); });
  section("a lower one", [&] { Fixture.checkKept(Limited, 0.5); });
  section("several targets of one region with limits", [&] {
    for (std::size_t I = 1; I < 4; ++I)
      Fixture.World.Targets[I].Target->setRateLimit("4");
    Fixture.checkKept(Limited, 4);
  });
  section("no request is refused, since other targets have room", [&] {
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Fixture.refusedSince(From));
  });
  section("withdrawn limits are forgotten by every instance", [&] {
    for (std::size_t I = 0; I < 4; ++I)
      Fixture.World.Targets[I].Target->setRateLimit({});
    std::this_thread::sleep_for(2s);
    CPPUNIT_ASSERT(Fixture.noLimitKnown());
  });
  section("and the targets get more than these allowed", [&] {
    const soak_time From = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(Window);
    std::size_t Runs = 0;
    for (std::size_t I = 0; I < 4; ++I)
      Runs += arrivals(*Fixture.World.Targets[I].Target, From,
                       std::chrono::steady_clock::now())
                  .size();
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Runs) + " requests in 4 s",
                           static_cast<double>(Runs) > 4 * allowed(4));
  });
}
