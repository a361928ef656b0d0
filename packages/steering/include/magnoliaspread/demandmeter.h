/// Measures what an instance's callers ask of each service and where that is
/// going. Linear in the requests, so that the figures of instances add up to
/// that of their region. Reads no clock. Not thread-safe.
#ifndef MAGNOLIASPREAD_DEMANDMETER_H
#define MAGNOLIASPREAD_DEMANDMETER_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/handle.h>

#include <chrono>
#include <optional>
#include <vector>

namespace magnoliaspread {

struct demand_meter_settings {
  /// Time constant of both averages.
  std::chrono::milliseconds Memory{700};
  /// The forecast is for this long after the measurement: about the delay of
  /// the messages between regions.
  std::chrono::milliseconds Lead{2000};
};

class demand_meter {
public:
  explicit demand_meter(const demand_meter_settings &Settings)
      : Settings(Settings) {}

  /// A request that needs a slot for \p SlotSeconds has arrived.
  void count(service_handle Service, double SlotSeconds, steady_time Now);

  /// Slots that the service's requests will need after the lead.
  double forecast(service_handle Service, steady_time Now) const;

private:
  struct service_state {
    /// Exponential average of the demand, and the average of that.
    double Level = 0;
    double Smooth = 0;
    std::optional<steady_time> Since;
    steady_time At;
  };

  void advance(service_state &State, steady_time Now) const;

  demand_meter_settings Settings;
  /// By service handle.
  std::vector<service_state> Services;
};

} // namespace magnoliaspread

#endif
