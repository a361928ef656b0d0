/// The metrics of one instance in Prometheus form. Traffic threads count
/// through ids that were resolved before, without locks.
#ifndef MAGNOLIASPREAD_METRICS_H
#define MAGNOLIASPREAD_METRICS_H

#include <magnoliaspread/slo.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliaspread {

/// Counters of one workspace and service. The default one takes what has no
/// place of its own.
struct meter_id {
  std::uint32_t Index = 0;

  bool operator==(const meter_id &) const = default;
};

/// Pairs of workspace and service that have their own counters.
inline constexpr std::size_t MaxMeters = 8192;

/// State of the instance at one moment.
struct instance_gauges {
  std::size_t InFlight = 0;
  std::size_t QueueLength = 0;
  std::size_t Connections = 0;
  std::uint64_t ConfigVersion = 0;
  std::chrono::milliseconds ConfigStaleness{};
  bool PlatformReachable = false;
  /// How long the instance has been draining; zero when it isn't.
  std::chrono::milliseconds Draining{};
  /// Requests that were in flight on targets that died, and those of them that
  /// are refused.
  std::size_t Suspects = 0;
  std::size_t Quarantined = 0;
};

class instance_metrics {
public:
  instance_metrics();
  ~instance_metrics();
  instance_metrics(const instance_metrics &) = delete;
  instance_metrics &operator=(const instance_metrics &) = delete;

  /// The counters of a pair; takes a lock, so resolve them once for each
  /// configuration. Requests without a workspace have an empty one. Also sets
  /// the latency target from now on.
  meter_id meterOf(std::string_view Workspace, std::string_view Service,
                   std::chrono::milliseconds LatencyTarget);

  /// Counts the end of one request; any thread, lock-free but for the
  /// histogram.
  void count(meter_id Meter, const request_end &End);

  /// Any thread; the latest call holds.
  void setGauges(const instance_gauges &Gauges);

  /// Requests since the start by workspace and service, for slo_window.
  std::vector<slo_row> sums() const;

  /// Text exposition format 0.0.4, for /metrics.
  std::string exposition() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace magnoliaspread

#endif
