/// When a failed attempt may be made again, and when a slow one may be
/// hedged. Pure: time is passed in.
#ifndef MAGNOLIASPREAD_RETRY_H
#define MAGNOLIASPREAD_RETRY_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/namemap.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

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

struct fleet_retry_settings {
  /// Second sends against the requests for a service, over the fleet.
  double Ratio = 0.1;
  /// Second sends of a service beyond Ratio, at once over the fleet.
  double Slack = 30;
  /// The most of one instance at once.
  double MaxTokens = 3;
};

/// One instance's part of the second sends that its fleet may make.
class fleet_retry_budget {
public:
  explicit fleet_retry_budget(const fleet_retry_settings &Settings)
      : Settings(Settings) {}

  /// Instances that share the slack, this one included; until it is known
  /// each has as much as one of very many.
  void setInstances(std::size_t Count);

  /// A request for the service has come.
  void countRequest(const std::string &Service);

  /// Takes a second send; false when there is none.
  bool tryTake(const std::string &Service);

private:
  double most() const;

  fleet_retry_settings Settings;
  std::size_t Instances = 0;
  name_map<double> Tokens;
};

} // namespace magnoliaspread

#endif
