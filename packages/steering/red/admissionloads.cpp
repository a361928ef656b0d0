/// Loads beyond the slots. The bounds are those of issue 29: nothing waits past
/// its deadline, served work is within a tenth of what the slots bear and again
/// a second after the burst, and less than 1 in 50 of those admitted is
/// rejected later.
#include "admissionload.h"

#include <magnoliaspread/story.h>

#include <string>

using namespace magnoliaspread;
using namespace std::chrono_literals;

namespace {

void expectBounds(const overload_run &Run, const std::string &Text) {
  const std::string Counts =
      Text + ": admitted " + std::to_string(Run.Admitted) +
      ", rejected later " + std::to_string(Run.RejectedLater) +
      ", past deadline " + std::to_string(Run.PastDeadline) +
      ", returns too late " + std::to_string(Run.LateReturns);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(Counts, std::size_t(0), Run.PastDeadline);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(Counts, std::size_t(0), Run.LateReturns);
  CPPUNIT_ASSERT_MESSAGE(Counts, Run.RejectedLater * 50 < Run.Admitted);
}

void expectBusy(const overload_run &Run, double Least,
                const std::string &Text) {
  CPPUNIT_ASSERT_MESSAGE(Text + ": busy " + std::to_string(Run.busy()),
                         Run.busy() >= Least);
}

/// Half of the slots, then \p Load for \p Seconds, then 0.8.
void playBurst(overload_run &Run, double Load, int Seconds,
               std::uint64_t Kinds = 1) {
  Run.run(0.5, 4000ms);
  for (int Second = 0; Second < Seconds; ++Second) {
    Run.run(Load, 1000ms, Kinds);
    if (Second > 0)
      expectBusy(Run, 0.9, "second " + std::to_string(Second));
  }
  Run.run(0.8, 1000ms);
  expectBusy(Run, 0.9 * 0.8, "the second after");
  Run.run(0.8, 3000ms);
  expectBusy(Run, 0.9 * 0.8, "after that");
  expectBounds(Run, "burst");
}

} // namespace

STORY(one_kind_at_2_4_times_for_7_s) {
  overload_run Run({12, 40, 3, false});
  playBurst(Run, 2.4, 7);
}

STORY(three_workspaces_at_4_to_7_times) {
  for (const double Load : {4.0, 7.0}) {
    overload_run Run({12, 40, 3, false});
    playBurst(Run, Load, 7, 3);
  }
}

STORY(callers_that_repeat_at_once) {
  overload_run Run({12, 40, 3, true});
  playBurst(Run, 2.4, 7);
}

STORY(a_fleet_of_195_instances) {
  overload_run Run({195, 138, 3, false});
  playBurst(Run, 2.4, 7);
}

STORY(an_instance_is_killed_in_the_burst) {
  overload_run Run({12, 40, 3, false});
  Run.run(0.5, 4000ms);
  Run.run(2.4, 3000ms);
  Run.kill(5);
  Run.run(2.4, 1000ms);
  Run.run(2.4, 3000ms);
  expectBusy(Run, 0.9, "after the kill");
  Run.run(0.8, 1000ms);
  expectBusy(Run, 0.9 * 0.8, "the second after");
  expectBounds(Run, "kill");
}
