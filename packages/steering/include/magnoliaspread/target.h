/// Choice of a target in the instance's data centre by slots, drain state,
/// health, slow start, backoff after shed requests and load reports, which are
/// trusted only within bounds.
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
  /// Time in which the slots of a new, returning or newly owned target ramp up.
  std::chrono::milliseconds SlowStart{5000};
  /// Consecutive failures after which a target is ejected.
  std::uint32_t FailuresToEject = 3;
  /// Length of the first ejection; doubles with each further one.
  std::chrono::milliseconds FirstEjection{1000};
  std::chrono::milliseconds LargestEjection{60000};
  /// Load reports older than this are ignored.
  std::chrono::milliseconds ReportLifetime{2000};
  /// Bounds of the backoff after a shed request.
  std::chrono::milliseconds MinBackoff{50};
  std::chrono::milliseconds MaxBackoff{30000};
};

enum class target_health : std::uint8_t { Healthy, Ejected, Probing };

/// Configuration of a target.
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
  /// Requests of this instance that are running on the target.
  std::uint32_t InFlight = 0;
  std::uint32_t Failures = 0;
  std::uint32_t Ejections = 0;
  steady_time EjectedUntil;
  steady_time BackoffUntil;
  /// Slow start: RampFloor slots at RampStart, all of them SlowStart later.
  steady_time RampStart;
  std::uint32_t RampFloor = 1;
  /// Load by the last report, in requests.
  std::uint32_t Reported = 0;
  steady_time ReportedAt;
  bool HasReport = false;
  /// Largest InFlight in this and the previous report lifetime.
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

/// Adds a target or applies its configuration; slow start applies to a new
/// target and to one that returns from a drain. BadTable past the capacity.
status setTarget(target_table &Table, target_handle Target,
                 const target_info &Info, steady_time Now);

/// Removes a target. Its requests in flight stay counted, also against a new
/// target with the same handle, until they end.
void removeTarget(target_table &Table, target_handle Target);

/// Sets whether this instance owns the target. A new owner starts with one
/// slot, since requests of the previous owner may still be running.
void setOwned(target_table &Table, target_handle Target, bool Owned,
              steady_time Now);

/// Slots that this instance may use on the target now, occupied ones included.
std::uint32_t usableSlots(const target_table &Table, target_handle Target,
                          steady_time Now);

/// Usable and free slots of all owned targets of a service.
struct slot_count {
  std::uint32_t Usable = 0;
  std::uint32_t Free = 0;
};
slot_count countSlots(const target_table &Table, service_handle Service,
                      steady_time Now);

/// Chooses the less loaded of two random owned targets that have a free slot.
/// \p Random is 64 uniform bits. NoCapacity, not run, when there is none.
result<target_handle> pick(const target_table &Table, service_handle Service,
                           steady_time Now, std::uint64_t Random);

/// Notes that a request was sent to the target.
void started(target_table &Table, target_handle Target, steady_time Now);

/// Notes that a request was answered.
void finished(target_table &Table, target_handle Target, steady_time Now);

/// Notes that a request failed because of the target.
void requestFailed(target_table &Table, target_handle Target, steady_time Now);

/// Notes that a request ended without an effect on the target's health, such
/// as when its caller disconnected.
void abandoned(target_table &Table, target_handle Target, steady_time Now);

/// Notes that the target shed a request; it gets none for \p RetryAfter.
void shed(target_table &Table, target_handle Target, steady_time Now,
          std::chrono::milliseconds RetryAfter);

/// Notes that the target reported \p Load requests in flight.
void reportLoad(target_table &Table, target_handle Target, std::uint32_t Load,
                steady_time Now);

} // namespace magnoliaspread

#endif
