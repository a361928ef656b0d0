/// Demand that is measured by instances apart has to be that of their region,
/// and a wave's has to be known ahead.
#include <magnoliaspread/demandmeter.h>
#include <magnoliaspread/servicedemand.h>
#include <magnoliaspread/spillplan.h>
#include <magnoliaspread/story.h>

#include <cmath>
#include <random>
#include <string>
#include <vector>

using namespace magnoliaspread;
using namespace std::chrono_literals;

namespace {

constexpr steady_time Start{std::chrono::hours(1)};
constexpr service_handle Service{0};
constexpr double SlotSeconds = 0.14;

service_demand rowOf(const demand_meter &Meter, steady_time Now) {
  return {1, static_cast<std::uint32_t>(std::lround(
                 Meter.forecast(Service, Now) * DemandUnitsPerSlot))};
}

} // namespace

// One region of 1 to 195 instances; few of them get most of the callers, and a
// third of the messages is lost.
STORY(demand_adds_up_over_instances) {
  for (const std::size_t Instances : {1, 12, 73, 108, 195})
    section(std::to_string(Instances) + " instances", [&] {
      constexpr double PerSecond = 400;
      std::mt19937_64 Random{Instances};
      std::vector<demand_meter> Meters(Instances,
                                       demand_meter(demand_meter_settings{}));
      demand_meter Whole{demand_meter_settings{}};
      std::vector<service_demand> Told(Instances);
      std::exponential_distribution<double> Gap(PerSecond);
      steady_time Now = Start;
      steady_time NextTold = Start;
      const auto Sum = [&] {
        demand_list Rows;
        for (const service_demand &Row : Told)
          addDemand(Rows, {Row});
        return demandOf(Rows, 1);
      };
      while (Now < Start + 20s) {
        Now += std::chrono::duration_cast<steady_time::duration>(
            std::chrono::duration<double>(Gap(Random)));
        // The first instances are named more often.
        const double Place = std::uniform_real_distribution<double>()(Random);
        const auto To = static_cast<std::size_t>(
            Place * Place * Place * static_cast<double>(Instances));
        Meters[To].count(Service, SlotSeconds, Now);
        Whole.count(Service, SlotSeconds, Now);
        if (Now < NextTold)
          continue;
        NextTold += 1s;
        for (std::size_t I = 0; I < Instances; ++I)
          if (Random() % 3 != 0)
            Told[I] = rowOf(Meters[I], Now);
      }
      section("exactly in what each one measures", [&] {
        for (std::size_t I = 0; I < Instances; ++I)
          Told[I] = rowOf(Meters[I], Now);
        const double Exact = Whole.forecast(Service, Now);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(Sum()) + " of " +
                                   std::to_string(Exact),
                               std::abs(Sum() - Exact) <= 0.1 * Exact);
      });
      section("and without those that have died", [&] {
        const double Before = Sum();
        const double Gone = demandOf({Told[0]}, 1);
        Told.erase(Told.begin());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(Before - Gone, Sum(), 1e-9);
      });
    });
}

// A wave of 36 s: the forecast is ahead of the demand by more than a second,
// and falls short of the demand at that time by less than Fill leaves free.
STORY(a_wave_is_known_ahead) {
  demand_meter Meter{demand_meter_settings{}};
  const auto Demand = [](double Seconds) {
    return 20 * (1 + 0.55 * std::sin(2 * M_PI * Seconds / 36));
  };
  constexpr double Lead = 2;
  const spill_settings Spill;
  double Former = 0;
  double LeastAhead = Lead;
  double MostShort = 0;
  for (auto Time = 0ms; Time < 90s; Time += 2ms) {
    const steady_time Now = Start + Time;
    const double At = std::chrono::duration<double>(Time).count();
    Meter.count(Service, Demand(At) * 0.002, Now);
    if (At < 10)
      continue;
    const double Forecast = Meter.forecast(Service, Now);
    MostShort = std::max(MostShort, 1 - Forecast / Demand(At + Lead));
    const bool PassesMean = Former != 0 && (Former < 20) != (Forecast < 20);
    Former = Forecast;
    if (!PassesMean)
      continue;
    // The demand passes its mean every half period.
    const double Passed = std::ceil(At / 18) * 18;
    LeastAhead = std::min(LeastAhead, Passed - At);
  }
  CPPUNIT_ASSERT_MESSAGE(std::to_string(LeastAhead), LeastAhead >= 1);
  CPPUNIT_ASSERT_MESSAGE(std::to_string(MostShort),
                         MostShort <= 1 - Spill.Fill);
}

// A wave of 36 s is known two seconds ahead to a tenth of its mean.
STORY(a_wave_is_forecast_to_a_tenth) {
  demand_meter Meter{demand_meter_settings{}};
  const auto Demand = [](double Seconds) {
    return 20 * (1 + 0.55 * std::sin(2 * M_PI * Seconds / 36));
  };
  constexpr double Lead = 2;
  double Worst = 0;
  for (auto Time = 0ms; Time < 90s; Time += 2ms) {
    const double At = std::chrono::duration<double>(Time).count();
    Meter.count(Service, Demand(At) * 0.002, Start + Time);
    if (At >= 10)
      Worst = std::max(Worst, std::abs(Meter.forecast(Service, Start + Time) -
                                       Demand(At + Lead)) /
                                  20);
  }
  CPPUNIT_ASSERT_MESSAGE(std::to_string(Worst), Worst <= 0.1);
}

// Callers leave all at once: the demand doesn't stay.
STORY(demand_ends_with_its_callers) {
  demand_meter Meter{demand_meter_settings{}};
  for (auto Time = 0ms; Time < 20s; Time += 20ms)
    Meter.count(Service, 0.4, Start + Time);
  CPPUNIT_ASSERT(Meter.forecast(Service, Start + 20s) > 18);
  CPPUNIT_ASSERT(Meter.forecast(Service, Start + 30s) < 1);
  CPPUNIT_ASSERT(Meter.forecast({7}, Start) == 0);
}
