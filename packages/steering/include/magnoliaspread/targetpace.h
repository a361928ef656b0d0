/// How long work takes on each target at this moment, relative to its usual
/// time, as the target itself reports.
///
/// Targets share their machines with others, so the figure changes within
/// fractions of a second. All instances hear the same figure: a slow target
/// repels requests within bounds, but a fast one doesn't attract them, or all
/// would choose it at once. Does no I/O and reads no clock. Not thread-safe.
#ifndef MAGNOLIASPREAD_TARGETPACE_H
#define MAGNOLIASPREAD_TARGETPACE_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/handle.h>

#include <chrono>
#include <cstddef>
#include <vector>

namespace magnoliaspread {

struct target_pace_policy {
  /// Half-life of what is believed beyond the usual time.
  std::chrono::milliseconds HalfLife{300};
  /// Largest factor that is believed.
  double MaxFactor = 4;
  /// From this factor on peers are told, and the answer doesn't count for the
  /// usual time of its kind.
  double SlowFactor = 1.25;
};

class target_paces {
public:
  explicit target_paces(const target_pace_policy &Policy = {})
      : Policy(Policy) {}

  /// Notes the reported \p Factor; 1 is the usual time.
  void note(target_handle Target, double Factor, steady_time Now);

  /// Resets the handle for a different target.
  void forget(target_handle Target);

  /// Expected factor for work that starts now, at least 1.
  double factor(target_handle Target, steady_time Now) const;

  bool isSlow(double Factor) const { return Factor >= Policy.SlowFactor; }

  /// Targets whose work is expected to be slow now.
  std::size_t slowTargets(steady_time Now) const;

private:
  struct row {
    double Factor = 1;
    steady_time NotedAt;
  };

  target_pace_policy Policy;
  std::vector<row> Rows;
};

/// The part of an answer's slowness \p Ratio that the reported \p Factor leaves
/// unexplained. Never makes a slow answer a fast one, since the target may have
/// become slow only at its end.
double unexplainedSlowness(double Ratio, double Factor);

} // namespace magnoliaspread

#endif
