/// Choice of a target inside a data centre for one instance: slots, drains,
/// health, slow start, shed answers and bounded trust in load reports.
///
/// Not thread-safe.
#ifndef MAGNOLIASPREAD_TARGET_H
#define MAGNOLIASPREAD_TARGET_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/error.h>
#include <magnoliaspread/handle.h>
#include <magnoliaspread/table.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace magnoliaspread {

struct target_policy {
  /// Time in which a new, returning or newly owned target's slots open up.
  std::chrono::milliseconds SlowStart{5000};
  /// Consecutive failures after which a target is ejected.
  std::uint32_t FailuresToEject = 3;
  /// First ejection; doubles with each one that follows.
  std::chrono::milliseconds FirstEjection{1000};
  std::chrono::milliseconds LargestEjection{60000};
  /// Load reports older than this are ignored.
  std::chrono::milliseconds ReportLifetime{2000};
  /// Bounds of the back-off after a shed answer.
  std::chrono::milliseconds LeastBackOff{50};
  std::chrono::milliseconds LargestBackOff{30000};
};

enum class target_health : std::uint8_t { Healthy, Ejected, Probing };

/// What the configuration says about a target.
struct target_info {
  service_handle Service;
  std::uint32_t Slots = 1;
  drain_state Drain = drain_state::Active;
};

struct target_state {
  bool Present = false;
  bool Owned = false;
  target_info Info;
  target_health Health = target_health::Healthy;
  /// Requests that this instance runs on the target.
  std::uint32_t InFlight = 0;
  std::uint32_t Failures = 0;
  std::uint32_t Ejections = 0;
  steady_time EjectedUntil;
  steady_time BackOffUntil;
  /// Slow start: RampFloor slots at RampStart, all of them SlowStart later.
  steady_time RampStart;
  std::uint32_t RampFloor = 1;
  /// Last load report, in requests.
  std::uint32_t Reported = 0;
  steady_time ReportedAt;
  bool HasReport = false;
  /// Most requests in flight seen in this and the previous report lifetime.
  std::uint32_t Peak = 0;
  std::uint32_t PreviousPeak = 0;
  steady_time PeakSince;
};

struct target_table {
  explicit target_table(std::size_t Capacity, const target_policy &Policy = {});

  target_policy Policy;
  std::vector<target_state> Rows;
  /// Owned targets of each service, for pick().
  std::vector<std::vector<target_handle>> Owned;
};

/// Adds a target or applies its configuration; a new one starts slowly, and
/// one that returns from a drain does so again. BadTable past the capacity.
status setTarget(target_table &Table, target_handle Target,
                 const target_info &Info, steady_time Now);

/// Forgets a target but for its requests in flight, whose ends still count
/// and which load a target that takes the same handle.
void removeTarget(target_table &Table, target_handle Target);

/// Sets whether this instance owns the target; a new owner starts from one
/// slot since requests of the former one may still run.
void setOwned(target_table &Table, target_handle Target, bool Owned,
              steady_time Now);

/// Slots that this instance may use on the target now, in flight included.
std::uint32_t usableSlots(const target_table &Table, target_handle Target,
                          steady_time Now);

/// Usable and free slots over the owned targets of a service.
struct slot_count {
  std::uint32_t Usable = 0;
  std::uint32_t Free = 0;
};
slot_count countSlots(const target_table &Table, service_handle Service,
                      steady_time Now);

/// Chooses the less loaded of two random owned targets with a free slot.
/// \p Random is 64 uniform bits. NoCapacity, not run, when there is none.
result<target_handle> pick(const target_table &Table, service_handle Service,
                           steady_time Now, std::uint64_t Random);

/// A request was sent to the target.
void started(target_table &Table, target_handle Target, steady_time Now);

/// A request was answered.
void finished(target_table &Table, target_handle Target, steady_time Now);

/// A request failed by the target's fault.
void requestFailed(target_table &Table, target_handle Target, steady_time Now);

/// A request ended without a verdict on the target, as when its caller went.
void abandoned(target_table &Table, target_handle Target, steady_time Now);

/// The target refused a request as overloaded; no new work for \p RetryAfter.
void shed(target_table &Table, target_handle Target, steady_time Now,
          std::chrono::milliseconds RetryAfter);

/// The target reported \p Load requests in flight.
void reportLoad(target_table &Table, target_handle Target, std::uint32_t Load,
                steady_time Now);

} // namespace magnoliaspread

#endif
