/// Counts rejected requests and tells when a service becomes overloaded and
/// when it has recovered. Reads no clock. Not thread-safe.
#ifndef MAGNOLIASPREAD_OVERLOAD_H
#define MAGNOLIASPREAD_OVERLOAD_H

#include <magnoliaspread/admission.h>
#include <magnoliaspread/clock.h>
#include <magnoliaspread/handle.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace magnoliaspread {

struct admission_counts {
  std::array<std::uint64_t, AdmissionReasons> Rejected{};
  /// Requests that were queued.
  std::uint64_t Queued = 0;
  std::size_t OverloadedServices = 0;

  std::uint64_t rejected(admission_reason Reason) const {
    return Rejected[static_cast<std::size_t>(Reason)];
  }
  std::uint64_t rejectedAtOnce() const;
};

/// What the decision to reject was based on.
struct rejection_inputs {
  std::chrono::duration<double> Ahead{0};
  double Slots = 0;
  std::chrono::duration<double> Forecast{0};
};

struct overload_change {
  service_handle Service;
  bool Overloaded = false;
  /// Of the first rejection.
  rejection_inputs Inputs;
  /// Since the service became overloaded.
  std::array<std::uint64_t, AdmissionReasons> Rejected{};
};

class overload_states {
public:
  void noteQueued() { ++Counts.Queued; }
  void noteRejected(service_handle Service, admission_reason Reason,
                    const rejection_inputs &Inputs, steady_time Now);

  /// Changes since the last call, at most one for each service. A service has
  /// recovered after two seconds without rejections.
  std::vector<overload_change> take(steady_time Now);

  const admission_counts &counts() const { return Counts; }

private:
  struct service_row {
    overload_change State;
    bool Told = false;
    steady_time RejectedAt;
  };

  admission_counts Counts;
  /// By service handle.
  std::vector<service_row> Services;
};

} // namespace magnoliaspread

#endif
