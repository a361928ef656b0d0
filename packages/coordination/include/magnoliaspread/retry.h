/// When a failed attempt may be made again, and when a slow one may be
/// hedged. Pure: time is passed in.
#ifndef MAGNOLIASPREAD_RETRY_H
#define MAGNOLIASPREAD_RETRY_H

#include <magnoliaspread/clock.h>

#include <chrono>
#include <cstdint>

namespace magnoliaspread {

/// What is known about an attempt that ended without an answer for the caller.
struct attempt_facts {
  /// The caller allows the request to run more than once.
  bool Repeatable = false;
  /// A byte of it went to a target or peer.
  bool FirstByteSent = false;
  /// The target or peer said itself that it did not run the request.
  bool ReportedNotRun = false;
  /// The body can be sent again: there is none, or it is held whole.
  bool BodyHeld = true;
  /// A byte of an answer has reached the caller.
  bool AnswerStarted = false;
  /// Attempts made so far.
  std::uint32_t Attempts = 1;
  std::chrono::nanoseconds TimeLeft{0};
  /// Usual time that the service takes.
  std::chrono::nanoseconds UsualTime{0};
};

enum class retry_verdict : std::uint8_t {
  Retry,
  /// It may have run, and must not run again.
  MayHaveRun,
  /// Its body or a part of its answer is gone.
  NotReplayable,
  TooManyAttempts,
  /// The deadline comes before an answer could.
  NoTime,
  NoBudget,
};

struct retry_settings {
  std::uint32_t MaxAttempts = 3;
  /// Retries and hedges for each first attempt that succeeds.
  double RetriesPerSuccess = 0.1;
  /// Retries and hedges that a quiet service may make at once.
  double MaxTokens = 10;
  /// Tokens a second without any success, so that a service that has been
  /// failing can be tried again.
  double MinTokensPerSecond = 0.1;
};

/// Keeps the retries and hedges of one service to a part of its successes.
class retry_budget {
public:
  retry_budget(const retry_settings &Settings, steady_time Now);

  void succeeded(steady_time Now);

  /// Takes a token; false when there is none.
  bool tryTake(steady_time Now);

private:
  void refill(steady_time Now);

  retry_settings Settings;
  double Tokens;
  steady_time RefilledAt;
};

/// Retry takes a token from \p Budget; the other verdicts take none.
retry_verdict mayRetry(const attempt_facts &Facts,
                       const retry_settings &Settings, retry_budget &Budget,
                       steady_time Now);

/// Whether a second attempt may run beside the first, which has been waiting
/// for its answer for \p Waited; \p SlowTime is what few answers exceed. Takes
/// a token when it may.
bool mayHedge(const attempt_facts &Facts, std::chrono::nanoseconds Waited,
              std::chrono::nanoseconds SlowTime, const retry_settings &Settings,
              retry_budget &Budget, steady_time Now);

} // namespace magnoliaspread

#endif
