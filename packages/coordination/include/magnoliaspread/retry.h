/// When a failed attempt may be retried, and a slow one hedged. Pure: time is
/// passed in.
#ifndef MAGNOLIASPREAD_RETRY_H
#define MAGNOLIASPREAD_RETRY_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/namemap.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace magnoliaspread {

/// State of a request whose last attempt failed or is slow.
struct attempt_facts {
  /// The caller allows the request to run more than once.
  bool Repeatable = false;
  /// At least one byte was sent to a target or peer.
  bool FirstByteSent = false;
  /// The target or peer reported that it did not run the request.
  bool ReportedNotRun = false;
  /// The body can be sent again: it is empty or completely buffered.
  bool BodyReplayable = true;
  /// At least one byte of an answer was sent to the caller.
  bool AnswerStarted = false;
  /// Attempts made so far.
  std::uint32_t Attempts = 1;
  std::chrono::nanoseconds TimeLeft{0};
  /// Typical response time of the service.
  std::chrono::nanoseconds UsualTime{0};
};

enum class retry_verdict : std::uint8_t {
  Retry,
  /// It may have run, and must not run again.
  MayHaveRun,
  /// The body isn't buffered, or a part of the answer was sent.
  NotReplayable,
  TooManyAttempts,
  /// No answer is likely before the deadline.
  NoTime,
  NoBudget,
};

struct retry_settings {
  std::uint32_t MaxAttempts = 3;
  /// Tokens for each success; a retry or hedge takes one.
  double RetriesPerSuccess = 0.1;
  /// Burst of retries and hedges.
  double MaxTokens = 10;
  /// Tokens per second without any success, so that a failing service is still
  /// retried.
  double MinTokensPerSecond = 0.1;
};

/// Token bucket that limits the retries and hedges of one service to a ratio of
/// its successes.
class retry_budget {
public:
  retry_budget(const retry_settings &Settings, steady_time Now);

  void succeeded(steady_time Now);

  /// Takes a token; false if there is none.
  bool tryTake(steady_time Now);

private:
  void refill(steady_time Now);

  retry_settings Settings;
  double Tokens;
  steady_time RefilledAt;
};

/// The verdict Retry takes a token from \p Budget; the others take none.
retry_verdict mayRetry(const attempt_facts &Facts,
                       const retry_settings &Settings, retry_budget &Budget,
                       steady_time Now);

/// Whether a second attempt may run beside the first, which has been waiting
/// for its answer for \p Waited; \p HedgeDelay is a high percentile of the
/// response time. Takes a token if so.
bool mayHedge(const attempt_facts &Facts, std::chrono::nanoseconds Waited,
              std::chrono::nanoseconds HedgeDelay,
              const retry_settings &Settings, retry_budget &Budget,
              steady_time Now);

struct fleet_retry_settings {
  /// Retries and hedges per request of a service, over the whole fleet.
  double Ratio = 0.1;
  /// Burst of a service beyond Ratio, over the whole fleet.
  double Slack = 30;
  /// Maximum burst of one instance.
  double MaxTokens = 3;
};

/// One instance's share of the fleet's budget for retries and hedges.
class fleet_retry_budget {
public:
  explicit fleet_retry_budget(const fleet_retry_settings &Settings)
      : Settings(Settings) {}

  /// Instances that share the slack, including this one. Until it is set, the
  /// burst is the smallest: one.
  void setInstances(std::size_t Count);

  /// Refills the bucket for one request of the service.
  void countRequest(const std::string &Service);

  /// Takes a token; false if there is none.
  bool tryTake(const std::string &Service);

private:
  double maxTokens() const;

  fleet_retry_settings Settings;
  std::size_t Instances = 0;
  name_map<double> Tokens;
};

} // namespace magnoliaspread

#endif
