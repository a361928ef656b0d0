/// Property: a request that crashes its targets is refused on every instance
/// soon after its third crash, and no other request is.
#include "crashfleet.h"

#include <magnoliaspread/story.h>

#include <string>

using namespace magnoliaspread;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t FleetSizes[] = {1, 12, 84, 195};
constexpr std::uint64_t Seeds = 3;
constexpr auto Duration = 20s;
/// Crashes allowed before a request is refused.
constexpr int CrashesAllowed = 3;

void checkStops(crash_plan Plan) {
  for (Plan.Seed = 1; Plan.Seed <= Seeds; ++Plan.Seed) {
    const crash_outcome Outcome = crash_fleet(Plan).run(Duration);
    const std::string Message = std::to_string(Plan.Instances) +
                                " instances, seed " +
                                std::to_string(Plan.Seed) + ": " +
                                std::to_string(Outcome.Crashes) + " crashes";
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Message, 0, Outcome.LateRuns);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Message, 0, Outcome.HarmlessRefused);
    // Requests sent while the updates propagate can't be avoided.
    CPPUNIT_ASSERT_MESSAGE(
        Message, Outcome.Crashes <= CrashesAllowed + CrashPropagationTime /
                                                         Plan.CrashingPeriod);
    CPPUNIT_ASSERT_MESSAGE(Message,
                           Outcome.Completed > Outcome.Arrived * 9 / 10);
  }
}

} // namespace

// Guards against a crashing request that each instance refuses only after its
// own crashes, so that the lost targets grow with the number of instances.
STORY(crashing_request_is_refused_after_three_crashes_of_any_instances) {
  for (const std::size_t Instances : FleetSizes) {
    crash_plan Plan;
    Plan.Instances = Instances;
    section(std::to_string(Instances) + " instances, nothing else fails",
            [&] { checkStops(Plan); });
    Plan.Loss = 1.0 / 3;
    section("a third of the messages is lost", [&] { checkStops(Plan); });
    Plan.KillsFirstRefuser = true;
    section("the first instance that refuses it is killed as well",
            [&] { checkStops(Plan); });
    Plan.OtherCrashes = true;
    section("other targets crash as well", [&] { checkStops(Plan); });
    Plan.CrashingAttempts = 3;
    section("the crashing request is retried as well",
            [&] { checkStops(Plan); });
    Plan.CrashingAttempts = 1;
    Plan.CrashingPeriod = 200ms;
    section("it isn't retried, but arrives often", [&] { checkStops(Plan); });
  }
}
