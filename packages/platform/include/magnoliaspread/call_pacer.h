/// Paces calls to a service: a rate limit, and jittered exponential backoff
/// after failures during which one call at a time probes.
#ifndef MAGNOLIASPREAD_CALL_PACER_H
#define MAGNOLIASPREAD_CALL_PACER_H

#include <magnoliaspread/clock.h>

#include <chrono>
#include <cstdint>
#include <random>

namespace magnoliaspread {

struct pacer_settings {
  double CallsPerSecond = 20;
  /// Calls that may be sent at once after a pause.
  double CallBurst = 20;
  std::chrono::milliseconds MinBackoff{50};
  std::chrono::milliseconds MaxBackoff{5000};
};

class call_pacer {
public:
  call_pacer(const pacer_settings &Settings, steady_time Now,
             std::uint64_t Seed);

  /// Takes the permit for one call; false when the call must wait.
  bool tryAcquire(steady_time Now);

  /// When tryAcquire() can succeed, if no other call takes a permit first.
  steady_time nextPermitAt(steady_time Now) const;

  /// Calls that were in flight together count as one failure.
  void callFailed(steady_time StartedAt, steady_time Now);

  /// True when this ends a backoff.
  bool callSucceeded();

private:
  void refill(steady_time Now);
  void backOff(steady_time Now);

  pacer_settings Settings;
  std::mt19937_64 Random;
  double Tokens;
  steady_time RefilledAt;
  unsigned Failures = 0;
  steady_time FailedAt;
  steady_time BlockedUntil;
};

} // namespace magnoliaspread

#endif
