/// Discrete-event model of callers, instances and targets: queues, objects
/// that targets remember, delays, callers that come back, and troubles. Runs
/// the code that decides in the daemon, or a plainer policy, on simulated time.
#ifndef MAGNOLIASPREAD_FLEET_MODEL_H
#define MAGNOLIASPREAD_FLEET_MODEL_H

#include <magnoliaspread/load_trace.h>
#include <magnoliaspread/loadplan.h>
#include <magnoliaspread/placement_policy.h>

#include <cstdint>
#include <string>
#include <vector>

namespace magnoliaspread {

/// Ends of callers' requests; one that comes back counts once.
struct model_count {
  std::uint64_t Offered = 0;
  /// Within the latency target, counted from the first time it asked.
  std::uint64_t Good = 0;
  std::uint64_t Late = 0;
  /// Told that it has not run, and not served later.
  std::uint64_t Refused = 0;
  /// Not known whether it ran.
  std::uint64_t Failed = 0;
  double Credit = 0;
  /// Credit if all had been good.
  double Possible = 0;

  double part() const { return Possible > 0 ? Credit / Possible : 1; }
};

struct named_count {
  std::string Name;
  model_count Count;
};

struct model_report {
  model_count All;
  std::vector<named_count> Regions;
  std::vector<named_count> Kinds;
  /// By the second in which callers asked first.
  std::vector<model_count> Seconds;
  /// Requests that ran on a target that did not remember their object.
  std::uint64_t ColdRuns = 0;
  /// Requests that targets turned away.
  std::uint64_t Shed = 0;
  /// Answers from targets of another region.
  std::uint64_t Remote = 0;
};

struct model_setup {
  policy_kind Policy = policy_kind::Holders;
  placer_policy Placer;
  std::uint64_t Seed = 1;
};

/// \p Trace comes from drawTrace() with the same plan.
model_report runModel(const load_plan &Plan,
                      const std::vector<trace_request> &Trace,
                      const model_setup &Setup);

} // namespace magnoliaspread

#endif
