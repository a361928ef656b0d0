/// Load it answers: targets that shed requests and say for how long they want
/// none from this instance.
///
/// A held target gets nothing until its time has passed; then one request at a
/// time until it has answered one, so that an overloaded target is not hit by
/// everything that waited for it. Each instance keeps its own table, as the
/// target's word is for one instance. Pure.
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
  /// Longest hold. A larger value of a target is most likely a mistake; with
  /// one request at a time after each hold the target still gets at most two
  /// in a minute (RULES, BUDGET).
  std::chrono::milliseconds MostHold{60000};
};

enum class target_access : std::uint8_t {
  Open,
  /// One request at a time until one is answered.
  Probing,
  Held,
};

class pushback_table {
public:
  explicit pushback_table(const pushback_policy &Policy = {})
      : Policy(Policy) {}

  /// The target wants nothing for \p Time. Returns when it opens; a later end
  /// that is known already stands.
  steady_time hold(target_handle Target, std::chrono::milliseconds Time,
                   steady_time Now);

  /// The target has run a request.
  void answered(target_handle Target, steady_time Now);

  /// Forgets the target: another one has its handle.
  void forget(target_handle Target);

  target_access access(target_handle Target, steady_time Now) const;

  /// When a held target opens; empty for one that isn't held.
  std::optional<steady_time> heldUntil(target_handle Target,
                                       steady_time Now) const;

private:
  struct row {
    bool Pushed = false;
    steady_time Until;
  };

  const row *find(target_handle Target) const;

  pushback_policy Policy;
  /// By handle.
  std::vector<row> Rows;
};

} // namespace magnoliaspread

#endif
