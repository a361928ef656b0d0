/// Chooses when rejected callers return, so that they arrive at the rate that
/// can be served.
///
/// A time line of slices, for each service. A slice holds the slot time that is
/// free for returning requests; each rejected request reserves its slot time in
/// the first slice that has room within its reach. When none has room, it gets
/// the slice with the least reserved: the callers are spread evenly and none is
/// sent away for good. Reservations can't be withdrawn, so part of each slice
/// is kept for urgent requests and for those rejected for long.
///
/// Each instance reserves only its own part of the rate, and callers return to
/// any instance: the sum over the fleet is the rate of the targets.
///
/// Does no I/O and reads no clock. Not thread-safe.
#ifndef MAGNOLIASPREAD_RETURNTIMES_H
#define MAGNOLIASPREAD_RETURNTIMES_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/handle.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace magnoliaspread {

struct return_policy {
  std::chrono::milliseconds Slice{50};
  /// Shortest time that a caller is asked to wait.
  std::chrono::milliseconds Least{50};
  /// Callers wait at most this part of the time left.
  double LeftPart = 1.0 / 3;
  /// Part of each slice that only preferred requests may reserve.
  double PreferredPart = 0.25;
};

struct return_query {
  service_handle Service;
  /// Slot time of the request.
  std::chrono::duration<double> SlotTime{0};
  /// Slots free for returning requests.
  double FreeSlots = 0;
  /// Time until there may be room for the request.
  std::chrono::duration<double> UntilRoom{0};
  /// Time to the caller's deadline.
  std::chrono::duration<double> Left{0};
  /// Urgent, or rejected for long.
  bool Preferred = false;
};

class return_times {
public:
  explicit return_times(const return_policy &Policy = {}) : Policy(Policy) {}

  /// Time after which the caller should return.
  std::chrono::milliseconds reserve(const return_query &Query, steady_time Now);

  /// Slots that the requests asked to return at \p At will need.
  double returning(service_handle Service, steady_time At) const;

private:
  static constexpr std::size_t Slices = 128;

  struct time_line {
    /// Number of the first slice that is still ahead.
    std::int64_t First = 0;
    /// Reserved slot time in seconds, by slice number modulo Slices.
    std::array<double, Slices> Reserved{};
    /// Spreads returns within a slice.
    std::uint32_t Draws = 0;
  };

  std::int64_t sliceOf(steady_time At) const;
  static void advance(time_line &Line, std::int64_t Current);

  return_policy Policy;
  /// By service handle.
  std::vector<time_line> Lines;
};

} // namespace magnoliaspread

#endif
