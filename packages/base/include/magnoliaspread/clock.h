/// Time sources. Code that needs the time takes a `clock` so that tests can
/// drive it.
#ifndef MAGNOLIASPREAD_CLOCK_H
#define MAGNOLIASPREAD_CLOCK_H

#include <chrono>

namespace magnoliaspread {

using steady_time = std::chrono::steady_clock::time_point;
using wall_time = std::chrono::system_clock::time_point;

class clock {
public:
  clock() = default;
  clock(const clock &) = delete;
  clock &operator=(const clock &) = delete;
  virtual ~clock() = default;

  /// Monotonic time, for intervals, leases and deadlines.
  virtual steady_time now() const = 0;

  /// Calendar time, for logs and records read by people or other machines.
  virtual wall_time wall() const = 0;
};

/// Reads the machine's clocks.
class system_clock final : public clock {
public:
  steady_time now() const override;
  wall_time wall() const override;
};

/// Moves only when told to.
class fake_clock final : public clock {
public:
  steady_time now() const override { return Now; }
  wall_time wall() const override { return Wall; }

  void advance(std::chrono::nanoseconds Step);

private:
  steady_time Now{std::chrono::hours(1)};
  wall_time Wall{std::chrono::hours(24 * 365 * 50)};
};

} // namespace magnoliaspread

#endif
