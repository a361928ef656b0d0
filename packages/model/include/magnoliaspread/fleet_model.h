/// Discrete-event simulation of callers, instances and targets: queues, object
/// caches of targets, network delays, retries of callers, and disruptions. Runs
/// the daemon's placement code, or a simpler policy, on simulated time.
#ifndef MAGNOLIASPREAD_FLEET_MODEL_H
#define MAGNOLIASPREAD_FLEET_MODEL_H

#include <magnoliaspread/load_trace.h>
#include <magnoliaspread/loadplan.h>
#include <magnoliaspread/placement_policy.h>

#include <cstdint>
#include <string>
#include <vector>

namespace magnoliaspread {

/// Outcomes of callers' requests; a retried one counts once.
struct model_count {
  std::uint64_t Offered = 0;
  /// Within the latency target, counted from the first arrival.
  std::uint64_t Good = 0;
  std::uint64_t Late = 0;
  /// Refused without having run, or answered after the deadline.
  std::uint64_t Refused = 0;
  /// Without an answer; it may have run.
  std::uint64_t Failed = 0;
  double Credit = 0;
  /// Credit if all requests had been good.
  double Possible = 0;

  /// Credit as a fraction of Possible.
  double creditRatio() const { return Possible > 0 ? Credit / Possible : 1; }
};

struct named_count {
  std::string Name;
  model_count Count;
};

struct model_report {
  model_count All;
  std::vector<named_count> Regions;
  std::vector<named_count> Kinds;
  /// By second of the first arrival.
  std::vector<model_count> Seconds;
  /// Requests that ran on a target without their object in its cache.
  std::uint64_t ColdRuns = 0;
  /// Attempts that targets shed.
  std::uint64_t Shed = 0;
  /// Answers from targets of another region.
  std::uint64_t Remote = 0;
};

struct model_setup {
  policy_kind Policy = policy_kind::Holders;
  placer_policy Placer;
  std::uint64_t Seed = 1;
};

/// Simulates the requests of \p Trace, which drawTrace() drew from the same
/// plan.
model_report runModel(const load_plan &Plan,
                      const std::vector<trace_request> &Trace,
                      const model_setup &Setup);

} // namespace magnoliaspread

#endif
