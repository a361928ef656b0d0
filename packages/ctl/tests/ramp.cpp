#include <magnoliaspread/region.h>
#include <magnoliaspread/table_edit.h>

#include <magnoliaspread/story.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <random>

using namespace magnoliaspread;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t FirstSeed = 1;
constexpr std::uint64_t Seeds = 30;
constexpr int Steps = 200;
constexpr milliseconds Step{5000};
constexpr double RampPercent = 20;
constexpr double AllowedPerStep = RampPercent / 100 * Step.count() / 60000;
constexpr double Slack = 1e-6;

const std::vector<std::string> Regions = {"faro", "lisboa", "porto"};

config_table firstTable() {
  config_table T;
  T.Version = 1;
  for (const std::string &Region : Regions) {
    T.Regions.push_back({Region, drain_state::Active});
    T.Weights.push_back({Region, "calendar", "*", 1, 0});
  }
  T.Services.emplace_back().Name = "calendar";
  T.Services.back().Prefix = "/calendar/";
  T.Shifts = {{"*", RampPercent, 100}};
  return T;
}

using share_map = std::map<std::string, double>;

share_map sharesAt(const config_table &Table, wall_time At) {
  share_map Shares;
  double Sum = 0;
  for (const weight_row &R : weightsInForce(Table, At)) {
    Shares[R.Region] = R.Weight;
    Sum += R.Weight;
  }
  for (auto &[Region, Share] : Shares)
    Share /= Sum;
  return Shares;
}

/// Fraction of the traffic that moved from one time to another.
double moved(share_map From, share_map To) {
  double Part = 0;
  for (const std::string &Region : Regions)
    Part += std::max(0.0, To[Region] - From[Region]);
  return Part;
}

/// Edits weights at random times; returns the largest fraction of the traffic
/// that moved in one step in excess of the ramp's limit.
double largestExcess(std::uint64_t Seed, const weights_in_force &InForce) {
  std::mt19937_64 Random(Seed);
  config_table Table = firstTable();
  wall_time Now{std::chrono::hours(24)};
  share_map Before = sharesAt(Table, Now);
  double Excess = 0;
  for (int I = 0; I < Steps; ++I) {
    Now += Step;
    if (Random() % 8 == 0) {
      row_edit Row{row_kind::Weight,
                   edit_action::Set,
                   {{"region", Regions[Random() % Regions.size()]},
                    {"service", "calendar"},
                    {"weight", std::to_string(1 + Random() % 9)}}};
      Table = valueOf(
          applyEdit(Table, {"e" + std::to_string(I), {Row}}, {Now, InForce}));
    }
    share_map After = sharesAt(Table, Now);
    Excess = std::max(Excess, moved(Before, After) - AllowedPerStep);
    Before = After;
  }
  return Excess;
}

} // namespace

STORY(edits_during_a_ramp_never_make_traffic_jump) {
  section("starting over from the previous weights does",
          [&] { CPPUNIT_ASSERT(largestExcess(FirstSeed, {}) > 0.01); });
  section("starting from the weights in force does not", [&] {
    for (std::uint64_t Seed = FirstSeed; Seed < FirstSeed + Seeds; ++Seed)
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(Seed),
                             largestExcess(Seed, weightsInForce) < Slack);
  });
}
