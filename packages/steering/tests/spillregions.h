/// Regions that measure their demand, tell it with a delay and follow their
/// plans, for tests of the plan.
#ifndef MAGNOLIASPREAD_TESTS_SPILLREGIONS_H
#define MAGNOLIASPREAD_TESTS_SPILLREGIONS_H

#include <magnoliaspread/demandmeter.h>
#include <magnoliaspread/spillplan.h>
#include <magnoliaspread/story.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace magnoliaspread::spilltest {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

inline constexpr steady_time Start{std::chrono::hours(1)};
inline constexpr service_handle Service{0};
inline constexpr double MaxShift = 0.15;
inline constexpr double Tolerance = 1.1;
inline constexpr milliseconds Step{4};
/// Period of the plan's updates in the daemon, and of the messages between
/// regions; a message is this old when its receiver uses it.
inline constexpr milliseconds UpdatePeriod{240};
inline constexpr milliseconds MessagePeriod{1000};
inline constexpr milliseconds MessageDelay{1500};
/// An unheard region counts as unknown from then on (SilentAfter).
inline constexpr milliseconds UnknownAfter{12000};

inline double secondsOf(steady_time::duration Time) {
  return std::chrono::duration<double>(Time).count();
}

inline spill_settings enabled() {
  spill_settings Settings;
  Settings.MaxShift = MaxShift;
  return Settings;
}

/// Today's parts: by slots alone, with a fill of 1.4 (placer_policy).
inline region_parts fixedParts(const std::vector<double> &Slots,
                               std::size_t Own) {
  double All = 0;
  for (const double Row : Slots)
    All += Row;
  const double Local = std::clamp(
      1.4 * Slots[Own] * static_cast<double>(Slots.size()) / All, 0.05, 0.96);
  region_parts Parts{};
  for (std::size_t I = 0; I < Slots.size(); ++I)
    Parts[I] = I == Own ? Local : (1 - Local) * Slots[I] / (All - Slots[Own]);
  return Parts;
}

/// Regions that measure their own demand, tell it with a delay and follow
/// their own plans.
class spilling_regions {
public:
  using demand_at = std::function<double(std::size_t Region, double Seconds)>;

  spilling_regions(std::vector<double> RegionSlots, demand_at Demand)
      : Slots(std::move(RegionSlots)), WarmSlots(Slots),
        Demand(std::move(Demand)) {
    for (std::size_t I = 0; I < Slots.size(); ++I) {
      Meters.emplace_back(demand_meter_settings{});
      Plans.emplace_back(enabled(), I);
      Fixed.push_back(fixedParts(Slots, I));
      Heard.emplace_back(Slots.size());
    }
    History.resize(Slots.size());
  }

  /// Runs for \p Time; checks use of slots from \p Settled on.
  void run(milliseconds Time, milliseconds Settled) {
    const steady_time End = Now + Time;
    const steady_time CheckFrom = Now + Settled;
    for (; Now < End; Now += Step) {
      for (std::size_t I = 0; I < Slots.size(); ++I)
        Meters[I].count(Service, demand(I) * secondsOf(Step), Now);
      if ((Now - Start) % MessagePeriod == 0ms)
        tell();
      if ((Now - Start) % UpdatePeriod == 0ms)
        update(Now >= CheckFrom);
    }
  }

  /// Slots asked of region \p To by all regions.
  double asked(std::size_t To) const {
    double Sum = 0;
    for (std::size_t From = 0; From < Slots.size(); ++From)
      Sum += demand(From) * parts(From)[To];
    return Sum;
  }

  const region_parts &parts(std::size_t Region) const {
    const auto &InForce = Plans[Region].parts();
    return InForce ? *InForce : Fixed[Region];
  }
  const region_parts &fixed(std::size_t Region) const { return Fixed[Region]; }

  std::vector<double> Slots;
  /// Those that a region would have without failures.
  std::vector<double> WarmSlots;
  /// Part of the messages that is lost.
  double Lost = 0;
  /// Region that exchanges no messages with the others.
  std::optional<std::size_t> Cut;
  /// Regions 0 and 1 exchange no messages, but both do with region 2.
  bool CutPair = false;
  /// Largest use of a region's slots that was checked while another had room.
  double WorstUse = 0;
  double MostMoved = 0;

private:
  struct message {
    steady_time SentAt;
    double Demand = 0;
  };

  double demand(std::size_t Region) const {
    return Demand(Region, secondsOf(Now - Start));
  }

  void tell() {
    for (std::size_t From = 0; From < Slots.size(); ++From)
      for (std::size_t To = 0; To < Slots.size(); ++To) {
        const bool Blocked =
            (Cut && From != To && (From == *Cut || To == *Cut)) ||
            (CutPair && From != To && From != 2 && To != 2);
        if (!Blocked && !std::bernoulli_distribution(Lost)(Random))
          Heard[To][From].push_back({Now, Meters[From].forecast(Service, Now)});
      }
  }

  region_load loadOf(std::size_t Viewer, std::size_t Region) {
    std::deque<message> &Known = Heard[Viewer][Region];
    while (Known.size() > 1 && Known[1].SentAt + MessageDelay <= Now)
      Known.pop_front();
    const bool Usable = !Known.empty() &&
                        Known.front().SentAt + MessageDelay <= Now &&
                        Now - Known.front().SentAt < UnknownAfter;
    return {Usable, Usable ? Known.front().Demand : 0, Slots[Region],
            WarmSlots[Region] - Slots[Region]};
  }

  void update(bool Check) {
    for (std::size_t I = 0; I < Slots.size(); ++I) {
      std::vector<region_load> Loads;
      for (std::size_t Region = 0; Region < Slots.size(); ++Region)
        Loads.push_back(loadOf(I, Region));
      Plans[I].update(Loads, Fixed[I], Now);
      std::deque<std::pair<steady_time, region_parts>> &Past = History[I];
      Past.emplace_back(Now, parts(I));
      while (Now - Past.front().first > 2s)
        Past.pop_front();
      for (const auto &[At, Parts] : Past)
        MostMoved = std::max(MostMoved, movedPart(Parts, parts(I)));
    }
    if (!Check)
      return;
    bool Room = false;
    for (std::size_t I = 0; I < Slots.size(); ++I)
      Room = Room || asked(I) < Slots[I];
    for (std::size_t I = 0; I < Slots.size() && Room; ++I)
      WorstUse = std::max(WorstUse, asked(I) / Slots[I]);
  }

  demand_at Demand;
  steady_time Now = Start;
  std::mt19937_64 Random{1};
  std::vector<demand_meter> Meters;
  std::vector<spill_plan> Plans;
  std::vector<region_parts> Fixed;
  /// Messages by receiver and sender, oldest first.
  std::vector<std::vector<std::deque<message>>> Heard;
  std::vector<std::deque<std::pair<steady_time, region_parts>>> History;
};

inline void expectWithinBounds(const spilling_regions &Regions) {
  CPPUNIT_ASSERT_MESSAGE("use " + std::to_string(Regions.WorstUse),
                         Regions.WorstUse <= Tolerance);
  CPPUNIT_ASSERT_MESSAGE("moved " + std::to_string(Regions.MostMoved),
                         Regions.MostMoved <= MaxShift);
}

inline const std::vector<double> Uneven{45, 45, 10};

inline spilling_regions::demand_at wave(double Mean) {
  return [Mean](std::size_t Region, double Seconds) {
    const double Turns = Seconds / 36 - static_cast<double>(Region) / 3;
    return Mean * (1 + 0.55 * std::sin(2 * M_PI * Turns));
  };
}

} // namespace magnoliaspread::spilltest

#endif
