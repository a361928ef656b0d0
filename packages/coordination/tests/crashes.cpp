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
constexpr auto Length = 20s;
/// Targets that may crash before a request is refused.
constexpr int CrashesAllowed = 3;

void checkStops(crash_plan Plan) {
  for (Plan.Seed = 1; Plan.Seed <= Seeds; ++Plan.Seed) {
    const crash_outcome Outcome = crash_fleet(Plan).run(Length);
    const std::string Message = std::to_string(Plan.Instances) +
                                " instances, seed " +
                                std::to_string(Plan.Seed) + ": " +
                                std::to_string(Outcome.Crashes) + " crashes";
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Message, 0, Outcome.LateRuns);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Message, 0, Outcome.InnocentsRefused);
    // Those that were sent while the news was on its way are not avoidable.
    CPPUNIT_ASSERT_MESSAGE(
        Message,
        Outcome.Crashes <= CrashesAllowed + CrashNewsTime / Plan.CrashEvery);
    CPPUNIT_ASSERT_MESSAGE(Message,
                           Outcome.Completed > Outcome.Arrived * 9 / 10);
  }
}

} // namespace

// Guards against a crashing request that is refused only where one instance has
// seen enough crashes itself, so that the targets lost grow with the instances.
STORY(crashing_request_is_refused_after_three_crashes_of_any_instances) {
  for (const std::size_t Instances : FleetSizes) {
    crash_plan Plan;
    Plan.Instances = Instances;
    section(std::to_string(Instances) + " instances, nothing else fails",
            [&] { checkStops(Plan); });
    Plan.Loss = 1.0 / 3;
    section("a third of the messages is lost", [&] { checkStops(Plan); });
    Plan.KillsFirst = true;
    section("and the first instance that refuses it is killed",
            [&] { checkStops(Plan); });
    Plan.OtherDeaths = true;
    section("and other targets die beside it", [&] { checkStops(Plan); });
    Plan.CrashSends = 3;
    section("and it is one that may be repeated", [&] { checkStops(Plan); });
    Plan.CrashSends = 1;
    Plan.CrashEvery = 200ms;
    section("and it comes often", [&] { checkStops(Plan); });
  }
}
