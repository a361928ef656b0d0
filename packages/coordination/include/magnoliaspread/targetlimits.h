/// Rate limits that targets announce in their answers: requests per second that
/// a target accepts from all instances together, until an answer without the
/// announcement.
///
/// Answers may overtake each other, so announcements are ordered by the time at
/// which their request was sent. Does no I/O; the time is passed in, as boot
/// time, so that ages include suspension.
#ifndef MAGNOLIASPREAD_TARGETLIMITS_H
#define MAGNOLIASPREAD_TARGETLIMITS_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/crashevidence.h>

#include <chrono>
#include <cstddef>
#include <optional>
#include <set>
#include <unordered_map>

namespace magnoliaspread {

struct target_limit_settings {
  /// Bounds of an announced rate, in requests per second. At the lowest a
  /// target still gets a request every ten seconds, whose answer tells whether
  /// the limit holds.
  double MinRate = 0.1;
  double MaxRate = 1e6;
  /// A limit that no answer has confirmed for this long is dropped: a target
  /// that gets no requests can't withdraw it.
  std::chrono::milliseconds MaxAge{20000};
  std::size_t MaxTargets = 1024;
};

enum class limit_change : std::uint8_t { None, Announced, Changed, Withdrawn };

class target_limits {
public:
  explicit target_limits(const target_limit_settings &Settings = {})
      : Settings(Settings) {}

  /// An answer to a request sent at \p SentAt announced \p Rate requests per
  /// second, or no limit.
  limit_change observe(target_start Target, std::optional<double> Rate,
                       boot_time SentAt, boot_time Now);

  /// An answer announced a rate that can't be read; the limit stays as it is.
  /// True on the first one since the last readable announcement.
  bool observeUnreadable(target_start Target);

  /// The target's limit in requests per second; empty without one.
  std::optional<double> rate(target_start Target, boot_time Now) const;

  /// Targets with a limit.
  std::size_t size(boot_time Now) const;

private:
  struct limit {
    /// Empty once withdrawn.
    std::optional<double> Rate;
    /// When the request of the latest announcement was sent.
    boot_time SentAt;
  };

  bool isCurrent(const limit &Limit, boot_time Now) const {
    return Now - Limit.SentAt < Settings.MaxAge;
  }
  void evictExpired(boot_time Now);

  target_limit_settings Settings;
  std::unordered_map<target_start, limit> Limits;
  std::set<target_start> Unreadable;
};

} // namespace magnoliaspread

#endif
