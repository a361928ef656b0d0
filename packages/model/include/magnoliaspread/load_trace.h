/// Requests of a model run, drawn in advance so that all policies are compared
/// on the same ones.
#ifndef MAGNOLIASPREAD_LOAD_TRACE_H
#define MAGNOLIASPREAD_LOAD_TRACE_H

#include <magnoliaspread/loadplan.h>

#include <chrono>
#include <cstdint>
#include <vector>

namespace magnoliaspread {

struct trace_request {
  /// From the start of the run.
  std::chrono::nanoseconds At{0};
  std::uint16_t Kind = 0;
  /// Region that the caller sends the request to.
  std::uint16_t Region = 0;
  /// 0 for a request without an object.
  std::uint64_t Object = 0;
  /// Slot time relative to the kind's mean.
  double WorkFactor = 1;
};

/// Requests of the whole run, sorted by time. Deterministic in its arguments.
std::vector<trace_request> drawTrace(const load_plan &Plan, std::uint64_t Seed);

/// Whether the disruption is active \p At after the start of the run.
bool isActive(const load_trouble &Trouble, std::chrono::nanoseconds At);

} // namespace magnoliaspread

#endif
