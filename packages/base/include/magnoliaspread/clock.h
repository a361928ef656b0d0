/// Clocks. Code that needs the time takes a `clock`, so that tests can use a
/// fake one.
#ifndef MAGNOLIASPREAD_CLOCK_H
#define MAGNOLIASPREAD_CLOCK_H

#include <chrono>

namespace magnoliaspread {

using steady_time = std::chrono::steady_clock::time_point;
using wall_time = std::chrono::system_clock::time_point;

/// Monotonic time that includes suspension of the machine (CLOCK_BOOTTIME).
struct boot_clock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_clock>;
  static constexpr bool is_steady = true; // NOLINT: named by the standard
};

using boot_time = boot_clock::time_point;

class clock {
public:
  clock() = default;
  clock(const clock &) = delete;
  clock &operator=(const clock &) = delete;
  virtual ~clock() = default;

  /// Monotonic time, for intervals, leases and deadlines.
  virtual steady_time now() const = 0;

  /// Monotonic time including suspension, for ages and leases that other
  /// processes rely on.
  virtual boot_time boot() const = 0;

  /// Calendar time, for logs and records that leave the process.
  virtual wall_time wall() const = 0;
};

/// Reads the machine's clocks.
class system_clock final : public clock {
public:
  steady_time now() const override;
  boot_time boot() const override;
  wall_time wall() const override;
};

/// Advances only by calls.
class fake_clock final : public clock {
public:
  steady_time now() const override { return Now; }
  boot_time boot() const override { return Boot; }
  wall_time wall() const override { return Wall; }

  void advance(std::chrono::nanoseconds Step);
  /// Advances boot() and wall(), but not now().
  void suspend(std::chrono::nanoseconds Step);

private:
  steady_time Now{std::chrono::hours(1)};
  boot_time Boot{std::chrono::hours(1)};
  wall_time Wall{std::chrono::hours(24 * 365 * 50)};
};

} // namespace magnoliaspread

#endif
