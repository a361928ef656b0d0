/// Prometheus metrics of one instance. Traffic threads count without locks,
/// through ids that were resolved in advance.
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

/// Counters of one workspace and service. The default one is shared by all
/// pairs beyond MaxMeters.
struct meter_id {
  std::uint32_t Index = 0;

  bool operator==(const meter_id &) const = default;
};

/// Largest number of pairs of workspace and service with their own counters.
inline constexpr std::size_t MaxMeters = 8192;

/// Snapshot of the instance's state.
struct instance_gauges {
  std::size_t InFlight = 0;
  std::size_t QueueLength = 0;
  std::size_t Connections = 0;
  std::uint64_t ConfigVersion = 0;
  std::chrono::milliseconds ConfigStaleness{};
  bool PlatformReachable = false;
  /// Time since the drain began; 0 when not draining.
  std::chrono::milliseconds Draining{};
  /// Requests that were in flight on targets that crashed, and those of them
  /// that are quarantined.
  std::size_t Suspects = 0;
  std::size_t Quarantined = 0;
  /// Targets that announced a rate limit.
  std::size_t LimitedTargets = 0;
  /// Requests in flight behind an unanswered one of their connection.
  std::size_t Pipelined = 0;
  /// This instance reaches no targets and peers do.
  bool PathBroken = false;
  /// Answer bytes that came from other data centres of the region and from
  /// other regions since the start.
  std::uint64_t DataCentreCrossed = 0;
  std::uint64_t RegionCrossed = 0;
  /// Holders added so that answers don't cross, since the start.
  std::uint64_t NearHolders = 0;
  /// Targets that report that their work takes longer than usual.
  std::size_t SlowTargets = 0;
  /// Largest part of a service's objects that the plan by demand places in
  /// other regions.
  double SpilledPart = 0;
  /// Holders of all objects, and runs expected warm that took cold time.
  std::size_t Holders = 0;
  std::uint64_t Forgotten = 0;
  /// Kinds of requests whose gain from warm targets is measured, and those of
  /// them that are spread by load.
  std::size_t MeasuredKinds = 0;
  std::size_t SpreadKinds = 0;
  /// Workspaces held to their share of a service, and requests refused for it
  /// since the start.
  std::size_t HeldWorkspaces = 0;
  std::uint64_t ShareRefusals = 0;
  /// Requests that peers served, as this instance reached no targets.
  std::uint64_t Forwarded = 0;
  /// Limits whose share this instance mints, and the age of the instance roster
  /// that allows it.
  std::size_t MintedLimits = 0;
  std::chrono::milliseconds RosterStaleness{};
};

class instance_metrics {
public:
  instance_metrics();
  ~instance_metrics();
  instance_metrics(const instance_metrics &) = delete;
  instance_metrics &operator=(const instance_metrics &) = delete;

  /// Finds or adds the counters of a pair and sets their latency target.
  /// \p Workspace is empty for requests without one. Takes a lock, so resolve
  /// ids once per configuration.
  meter_id meterOf(std::string_view Workspace, std::string_view Service,
                   std::chrono::milliseconds LatencyTarget);

  /// Counts the outcome of one request. Any thread; lock-free except for the
  /// histogram.
  void count(meter_id Meter, const request_result &Result);

  /// Any thread; the last call wins.
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
