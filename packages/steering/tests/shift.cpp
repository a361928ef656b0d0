#include "baselines.h"

#include <magnoliaspread/region.h>
#include <magnoliaspread/shift.h>
#include <magnoliaspread/story.h>

#include <algorithm>
#include <cmath>
#include <random>

using namespace magnoliaspread;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr double Slack = 1e-6;

region_shares shares(double A, double B, double C) {
  region_shares Shares;
  Shares.Share[0] = A;
  Shares.Share[1] = B;
  Shares.Share[2] = C;
  return normalized(Shares);
}

/// Largest excess of moved requests over the cap in any consecutive decisions.
struct window_check {
  double Sum = 0;
  double Lowest = 0;
  double Worst = 0;
};

void note(window_check &Check, bool Moved, double Cap) {
  Check.Sum += (Moved ? 1 : 0) - Cap;
  Check.Worst = std::max(Check.Worst, Check.Sum - Check.Lowest);
  Check.Lowest = std::min(Check.Lowest, Check.Sum);
}

weight_row row(const char *Region, const char *Service, const char *Workspace,
               double Weight) {
  return {Region, Service, Workspace, Weight, 0};
}

/// Three regions, two services, two workspaces and several edits at once.
config_table shiftingTable(double CapPercent, double RampPercentPerMinute) {
  config_table Table;
  for (const char *Region : {"a", "b", "c"}) {
    Table.Regions.push_back({Region, drain_state::Active});
    Table.DataCentres.push_back({std::string(Region) + "1", Region});
  }
  Table.Services.push_back({"s", "/s/"});
  Table.Services.push_back({"t", "/t/"});
  Table.Workspaces.push_back({"v"});
  Table.Workspaces.push_back({"w"});
  Table.Origin.From = {row("a", "s", "*", 1), row("b", "s", "*", 1),
                       row("a", "t", "*", 1)};
  Table.Origin.StartedAtMs = 1000;
  Table.Weights = {row("c", "s", "*", 1), row("b", "s", "w", 1),
                   row("a", "t", "*", 1), row("b", "t", "*", 2)};
  Table.Shifts.push_back({"*", RampPercentPerMinute, CapPercent});
  return Table;
}

struct shifting_instance {
  region_state State;
  steady_time Started;
  /// By service.
  std::array<window_check, 2> Checks;
};

void restart(shifting_instance &Instance, const region_plan &Plan,
             const steering_names &Names) {
  Instance.State = {};
  adoptPlan(Instance.State, Plan, {}, Names);
}

/// Requests at twelve instances that restart at random while regions become
/// available and unavailable; the checks continue over the restarts.
void runRestarts(std::uint64_t Seed, double Cap) {
  std::mt19937_64 Random(Seed);
  const config_table Table = shiftingTable(Cap * 100, 50);
  const steering_names Names = namesOf(Table);
  const region_plan Plan = valueOf(makePlan(Table, Names, "a"));
  std::vector<shifting_instance> Instances(12);
  for (shifting_instance &Instance : Instances)
    restart(Instance, Plan, Names);
  std::array<window_check, 2> AllInstances;
  region_mask Available(7);
  for (int I = 0; I < 20000; ++I) {
    const auto Since = milliseconds(I * 5);
    if (Random() % 500 == 0)
      Available = region_mask(Random() % 8);
    shifting_instance &Instance = Instances[Random() % Instances.size()];
    if (Random() % 300 == 0)
      restart(Instance, Plan, Names);
    const service_handle Service{static_cast<std::uint16_t>(Random() % 2)};
    const workspace_handle Workspace{static_cast<std::uint16_t>(Random() % 3)};
    // The lower bound on the platform time lags and isn't monotonic.
    const milliseconds Lag(Random() % 3000);
    const auto Decision = chooseRegion(
        Plan, Instance.State, {Service, Workspace, Available},
        steady_time(seconds(10)) + Since, Plan.EditedAt + Since - Lag);
    const bool Moved = !failed(Decision) && valueOf(Decision).Moved;
    note(Instance.Checks[Service.Index], Moved, Cap);
    note(AllInstances[Service.Index], Moved, Cap);
    if (!failed(Decision)) {
      const region_decision &Choice = valueOf(Decision);
      CPPUNIT_ASSERT(Available[Choice.Region.Index]);
      CPPUNIT_ASSERT_EQUAL(Choice.Region != Choice.Former, Choice.Moved);
    }
  }
  for (const window_check &Check : AllInstances)
    CPPUNIT_ASSERT(Check.Worst <= 12 + Slack);
  for (const shifting_instance &Instance : Instances)
    for (const window_check &Check : Instance.Checks)
      CPPUNIT_ASSERT(Check.Worst <= 1 + Slack);
}

} // namespace

STORY(shift_ramp) {
  const region_shares From = shares(1, 0, 0);
  const region_shares To = shares(0, 3, 1);
  const shift_row Shift{"*", 10, 25};
  section("the moved fraction follows the ramp up to the cap", [&] {
    const auto MovedAt = [&](milliseconds Since) {
      return movedPart(From, sharesInForce(From, To, Shift, Since));
    };
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0, MovedAt(milliseconds(-5)), Slack);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.1, MovedAt(minutes(1)), Slack);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.25, MovedAt(minutes(3)), Slack);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.25, MovedAt(minutes(60)), Slack);
  });
  section("a restarted instance has the same shares as the others", [&] {
    const auto Others = sharesInForce(From, To, Shift, minutes(2));
    const auto Restarted = sharesInForce(From, To, Shift, minutes(2));
    CPPUNIT_ASSERT(Others.Share == Restarted.Share);
    // A ramp that starts with the process starts over.
    const auto Simple = sharesSinceStart(From, To, Shift, seconds(0));
    CPPUNIT_ASSERT(Simple.Share != Others.Share);
  });
  section("a small shift reaches its weights", [&] {
    const region_shares Near = shares(9, 1, 0);
    const auto End = sharesInForce(From, Near, Shift, minutes(5));
    CPPUNIT_ASSERT(End.Share == Near.Share);
  });
  section("invalid numbers count as 0", [&] {
    CPPUNIT_ASSERT(allowedPart({"*", NAN, 50}, minutes(1)) == 0);
    CPPUNIT_ASSERT(allowedPart({"*", 100, NAN}, minutes(1)) == 0);
    CPPUNIT_ASSERT(movedPart(shares(NAN, -1, 0), shares(0, 0, 0)) == 0);
  });
}

STORY(shift_coupling) {
  const region_shares Former = shares(5, 3, 2);
  const region_shares InForce = shares(4, 1, 5);
  even_draw Draws;
  constexpr int Count = 10000;
  std::array<int, 3> FormerCount{};
  std::array<int, 3> InForceCount{};
  int Moved = 0;
  for (int I = 0; I < Count; ++I) {
    const coupled_choice Choice = chooseCoupled(Former, InForce, draw(Draws));
    ++FormerCount[Choice.Former];
    ++InForceCount[Choice.InForce];
    Moved += Choice.Former != Choice.InForce ? 1 : 0;
  }
  section("both choices match their shares", [&] {
    for (std::size_t I = 0; I < 3; ++I) {
      CPPUNIT_ASSERT_DOUBLES_EQUAL(Former.Share[I] * Count, FormerCount[I], 10);
      CPPUNIT_ASSERT_DOUBLES_EQUAL(InForce.Share[I] * Count, InForceCount[I],
                                   10);
    }
  });
  section("no more requests move than necessary", [&] {
    CPPUNIT_ASSERT_DOUBLES_EQUAL(movedPart(Former, InForce) * Count, Moved, 10);
  });
}

STORY(shift_cap_over_any_mixture) {
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed)
    for (const double Cap : {0.0, 0.05, 0.2, 0.5, 0.9, 1.0})
      section("seed " + std::to_string(Seed) + " cap " + std::to_string(Cap),
              [&] { runRestarts(Seed, Cap); });
  section("a sliding window that starts empty fails the same check", [&] {
    // Restarts every 50 decisions, with a window of 100.
    const shift_row Shift{"*", 100, 20};
    window_check Check;
    for (int Start = 0; Start < 20; ++Start) {
      lenient_budget Budget;
      for (int I = 0; I < 50; ++I)
        note(Check, tryMove(Budget, Shift, 100), 0.2);
    }
    CPPUNIT_ASSERT(Check.Worst > 12 + Slack);
  });
}

STORY(shift_failover) {
  const config_table Table = shiftingTable(30, 1000);
  const steering_names Names = namesOf(Table);
  const region_plan Plan = valueOf(makePlan(Table, Names, "a"));
  region_state State;
  adoptPlan(State, Plan, {}, Names);
  const service_handle Service{1};
  const auto Choose = [&](int I, region_mask Available) {
    const auto Since = milliseconds(10 * I);
    return chooseRegion(Plan, State, {Service, {0}, Available},
                        steady_time(seconds(10)) + Since,
                        Plan.EditedAt + minutes(10));
  };
  int Moved = 0;
  int Capped = 0;
  section("requests over the cap are refused with a retry time", [&] {
    for (int I = 0; I < 1000; ++I) {
      const auto Decision = Choose(I, region_mask(2));
      Moved += failed(Decision) ? 0 : 1;
      if (!failed(Decision))
        continue;
      ++Capped;
      CPPUNIT_ASSERT(errorOf(Decision).Kind == error_kind::ShiftCapped);
      CPPUNIT_ASSERT(errorOf(Decision).RetryAfter >= milliseconds(1));
    }
    CPPUNIT_ASSERT(Moved <= 300 && Moved >= 295);
    CPPUNIT_ASSERT_EQUAL(1000, Moved + Capped);
  });
  section("further attempts of a request add nothing to the budget", [&] {
    region_state Again;
    adoptPlan(Again, Plan, {}, Names);
    int First = 0;
    int Further = 0;
    for (int I = 0; I < 4000; ++I) {
      const bool Repeated = I % 4 != 0;
      const auto Decision = chooseRegion(
          Plan, Again, {Service, {0}, region_mask(2), Repeated},
          steady_time(seconds(10)) + milliseconds(I), Plan.EditedAt);
      (Repeated ? Further : First) += failed(Decision) ? 0 : 1;
    }
    // Of 1000 requests, each tried four times.
    CPPUNIT_ASSERT(First + Further <= 300);
  });
  section("without an available region the error is NoCapacity", [&] {
    const auto Decision = Choose(2000, region_mask(0));
    CPPUNIT_ASSERT(errorOf(Decision).Kind == error_kind::NoCapacity);
  });
  section("moves by weights stop while forced ones are refused", [&] {
    // The weights move 2 of 3 requests to b, the cap allows 30%; region a is
    // unavailable for 1 of 20 requests.
    int Refused = 0;
    for (int I = 0; I < 1000; ++I)
      Refused += failed(Choose(3000 + I, region_mask(I % 20 == 0 ? 2 : 3)));
    CPPUNIT_ASSERT(Refused <= 5);
  });
}
