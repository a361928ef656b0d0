/// Pauses of targets that shed a request and asked this instance to send
/// nothing for some time.
///
/// A paused target gets no request until the pause ends, then one at a time
/// until it has answered one, so that the queued requests don't overload it
/// again. Each instance has its own table, since a target asks each instance
/// separately. Does no I/O and reads no clock.
#ifndef MAGNOLIASPREAD_PUSHBACK_H
#define MAGNOLIASPREAD_PUSHBACK_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/handle.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace magnoliaspread {

struct pushback_policy {
  /// Longest pause; a target that asks for more is most likely misconfigured.
  /// With one request at a time after each pause it gets at most two in a
  /// minute (RULES, BUDGET).
  std::chrono::milliseconds MaxPause{60000};
};

enum class target_access : std::uint8_t {
  Open,
  /// One request at a time until one is answered.
  Probing,
  Paused,
};

class pushback_table {
public:
  explicit pushback_table(const pushback_policy &Policy = {})
      : Policy(Policy) {}

  /// Pauses the target for \p Time, or longer if a later end is known.
  /// Returns the end of the pause.
  steady_time pause(target_handle Target, std::chrono::milliseconds Time,
                    steady_time Now);

  /// Notes that the target has run a request.
  void answered(target_handle Target, steady_time Now);

  /// Resets the handle for a different target.
  void forget(target_handle Target);

  target_access access(target_handle Target, steady_time Now) const;

  /// End of the target's pause; empty when it isn't paused.
  std::optional<steady_time> pausedUntil(target_handle Target,
                                         steady_time Now) const;

private:
  struct row {
    bool PushedBack = false;
    steady_time Until;
  };

  const row *find(target_handle Target) const;

  pushback_policy Policy;
  /// By the target's handle.
  std::vector<row> Rows;
};

} // namespace magnoliaspread

#endif
