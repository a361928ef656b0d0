/// Requests of a model run, drawn before it, so that every policy meets the
/// same ones.
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
  /// Where the caller asks.
  std::uint16_t Region = 0;
  /// 0 is a request without an object.
  std::uint64_t Object = 0;
  /// Slot time against the kind's mean.
  double WorkFactor = 1;
};

/// Requests of the whole run in order of time; a pure function of its
/// arguments.
std::vector<trace_request> drawTrace(const load_plan &Plan, std::uint64_t Seed);

/// Whether the trouble is there \p At after the start of the run.
bool isOn(const load_trouble &Trouble, std::chrono::nanoseconds At);

} // namespace magnoliaspread

#endif
