/// Arithmetic of start-time fair queueing: the virtual start time of a flow
/// advances by the work that it was served divided by its weight, and the flow
/// with the lowest one is served next.
#ifndef MAGNOLIASPREAD_FAIRFLOW_H
#define MAGNOLIASPREAD_FAIRFLOW_H

#include <algorithm>

namespace magnoliaspread {

struct fair_flow {
  double Weight = 1;
  /// Virtual start time of the first entry, or of the next one when empty.
  double Start = 0;
};

/// The flow becomes active; it accumulates no credit while idle.
inline void activateFlow(fair_flow &Flow, double VirtualTime) {
  Flow.Start = std::max(Flow.Start, VirtualTime);
}

/// Charges the flow for \p Work that is served now.
inline void serveFlow(fair_flow &Flow, double Work, double &VirtualTime) {
  VirtualTime = std::max(VirtualTime, Flow.Start);
  Flow.Start += Work / Flow.Weight;
}

/// Work of another flow that is served before the virtual time \p Finish.
inline double workUntil(const fair_flow &Flow, double Finish, double Queued) {
  return std::min(Queued, std::max(0.0, Finish - Flow.Start) * Flow.Weight);
}

} // namespace magnoliaspread

#endif
