#include <magnoliaspread/call_pacer.h>

#include <algorithm>

namespace magnoliaspread {

namespace {

using seconds = std::chrono::duration<double>;

/// Keeps the doubled backoff from overflowing.
constexpr unsigned MaxDoublings = 20;

} // namespace

call_pacer::call_pacer(const pacer_settings &Settings, steady_time Now,
                       std::uint64_t Seed)
    : Settings(Settings), Random(Seed), Tokens(Settings.CallBurst),
      RefilledAt(Now), FailedAt(Now), BlockedUntil(Now) {}

void call_pacer::refill(steady_time Now) {
  const double Elapsed = seconds(Now - RefilledAt).count();
  Tokens =
      std::min(Settings.CallBurst, Tokens + Elapsed * Settings.CallsPerSecond);
  RefilledAt = Now;
}

void call_pacer::backOff(steady_time Now) {
  const unsigned Doublings = std::min(Failures - 1, MaxDoublings);
  const std::chrono::milliseconds Unjittered =
      std::min<std::chrono::milliseconds>(
          Settings.MinBackoff * (1 << Doublings), Settings.MaxBackoff);
  const double Jitter = std::uniform_real_distribution<>(0.5, 1.0)(Random);
  BlockedUntil =
      Now + std::chrono::duration_cast<steady_time::duration>(
                std::chrono::duration<double, std::milli>(
                    static_cast<double>(Unjittered.count()) * Jitter));
}

bool call_pacer::tryAcquire(steady_time Now) {
  refill(Now);
  if (Tokens < 1 || Now < BlockedUntil)
    return false;
  Tokens -= 1;
  if (Failures > 0)
    backOff(Now);
  return true;
}

steady_time call_pacer::nextPermitAt(steady_time Now) const {
  const double SecondsToPermit =
      std::max(0.0, 1 - Tokens) / Settings.CallsPerSecond -
      seconds(Now - RefilledAt).count();
  const auto Wait = std::chrono::ceil<std::chrono::microseconds>(
      seconds(std::max(0.0, SecondsToPermit)));
  return std::max(Now + Wait, BlockedUntil);
}

void call_pacer::callFailed(steady_time StartedAt, steady_time Now) {
  if (Failures > 0 && StartedAt < FailedAt)
    return;
  ++Failures;
  FailedAt = Now;
  backOff(Now);
}

bool call_pacer::callSucceeded() {
  const bool EndsBackoff = Failures > 0;
  Failures = 0;
  BlockedUntil = steady_time();
  return EndsBackoff;
}

} // namespace magnoliaspread
