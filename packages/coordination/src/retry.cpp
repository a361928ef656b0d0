#include <magnoliaspread/retry.h>

#include <algorithm>

namespace magnoliaspread {

namespace {

bool mayHaveRun(const attempt_facts &Facts) {
  return Facts.FirstByteSent && !Facts.ReportedNotRun;
}

bool hasTime(const attempt_facts &Facts) {
  return Facts.TimeLeft > Facts.UsualTime && Facts.TimeLeft.count() > 0;
}

} // namespace

retry_budget::retry_budget(const retry_settings &Settings, steady_time Now)
    : Settings(Settings), Tokens(Settings.MaxTokens), RefilledAt(Now) {}

void retry_budget::refill(steady_time Now) {
  if (Now <= RefilledAt)
    return;
  const std::chrono::duration<double> Elapsed = Now - RefilledAt;
  Tokens = std::min(Settings.MaxTokens,
                    Tokens + Elapsed.count() * Settings.MinTokensPerSecond);
  RefilledAt = Now;
}

void retry_budget::succeeded(steady_time Now) {
  refill(Now);
  Tokens = std::min(Settings.MaxTokens, Tokens + Settings.RetriesPerSuccess);
}

bool retry_budget::tryTake(steady_time Now) {
  refill(Now);
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

retry_verdict mayRetry(const attempt_facts &Facts,
                       const retry_settings &Settings, retry_budget &Budget,
                       steady_time Now) {
  if (Facts.AnswerStarted)
    return retry_verdict::NotReplayable;
  if (!Facts.Repeatable && mayHaveRun(Facts))
    return retry_verdict::MayHaveRun;
  if (!Facts.BodyReplayable)
    return retry_verdict::NotReplayable;
  if (Facts.Attempts >= Settings.MaxAttempts)
    return retry_verdict::TooManyAttempts;
  if (!hasTime(Facts))
    return retry_verdict::NoTime;
  if (!Budget.tryTake(Now))
    return retry_verdict::NoBudget;
  return retry_verdict::Retry;
}

bool mayHedge(const attempt_facts &Facts, std::chrono::nanoseconds Waited,
              std::chrono::nanoseconds HedgeDelay,
              const retry_settings &Settings, retry_budget &Budget,
              steady_time Now) {
  const bool IsSafe =
      Facts.Repeatable && Facts.BodyReplayable && !Facts.AnswerStarted;
  const bool IsFirst = Facts.Attempts == 1 && Settings.MaxAttempts > 1;
  if (!IsSafe || !IsFirst || Waited < HedgeDelay || !hasTime(Facts))
    return false;
  return Budget.tryTake(Now);
}

void fleet_retry_budget::setInstances(std::size_t Count) { Instances = Count; }

/// At least one, or no retry would ever be allowed.
double fleet_retry_budget::maxTokens() const {
  if (Instances == 0)
    return 1;
  return std::clamp(Settings.Slack / static_cast<double>(Instances), 1.0,
                    std::max(1.0, Settings.MaxTokens));
}

void fleet_retry_budget::countRequest(const std::string &Service) {
  double &Available = Tokens[Service];
  Available = std::min(maxTokens(), Available + Settings.Ratio);
}

bool fleet_retry_budget::tryTake(const std::string &Service) {
  double &Available = Tokens[Service];
  // The limit may have dropped since, as instances joined.
  Available = std::min(Available, maxTokens());
  if (Available < 1)
    return false;
  Available -= 1;
  return true;
}

} // namespace magnoliaspread
