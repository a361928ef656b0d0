#include <magnoliaspread/demandmeter.h>

#include "placermath_p.h"

#include <algorithm>
#include <cmath>

namespace magnoliaspread {

namespace {

/// The slope is believed once this many time constants were measured.
constexpr double SettledMemories = 3;
/// Largest part of the level by which a forecast differs from it; a burst isn't
/// extrapolated without end.
constexpr double MaxTrend = 0.6;

} // namespace

void demand_meter::advance(service_state &State, steady_time Now) const {
  const double Memory = seconds(Settings.Memory);
  const double Steps = std::max(0.0, seconds(Now - State.At)) / Memory;
  const double Kept = std::exp(-Steps);
  // Without requests the second average follows the first as it decays.
  State.Smooth = (State.Smooth + State.Level * Steps) * Kept;
  State.Level *= Kept;
  State.At = std::max(State.At, Now);
}

void demand_meter::count(service_handle Service, double SlotSeconds,
                         steady_time Now) {
  if (Service.Index >= Services.size())
    Services.resize(Service.Index + 1U);
  service_state &State = Services[Service.Index];
  if (!State.Since) {
    State.Since = Now;
    State.At = Now;
  }
  advance(State, Now);
  State.Level += SlotSeconds / seconds(Settings.Memory);
}

double demand_meter::forecast(service_handle Service, steady_time Now) const {
  if (Service.Index >= Services.size() || !Services[Service.Index].Since)
    return 0;
  service_state State = Services[Service.Index];
  advance(State, Now);
  const double Memory = seconds(Settings.Memory);
  const double Memories = seconds(Now - *State.Since) / Memory;
  if (Memories < SettledMemories)
    return State.Level / std::max(1 - std::exp(-Memories), 0.1);
  const double Change = State.Level - State.Smooth;
  const double Level = State.Level + Change;
  const double Trend = Change / Memory * seconds(Settings.Lead);
  return std::max(0.0, Level + std::clamp(Trend, -MaxTrend * State.Level,
                                          MaxTrend * State.Level));
}

} // namespace magnoliaspread
