#include <magnoliaspread/targetlimits.h>

#include <algorithm>
#include <numeric>

namespace magnoliaspread {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// False when the table is full of current limits.
bool target_limits::add(target_start Target, std::optional<double> Rate,
                        boot_time SentAt, boot_time Now) {
  if (Limits.size() >= Settings.MaxTargets)
    evictExpired(Now);
  if (Limits.size() >= Settings.MaxTargets)
    return false;
  limit Row;
  Row.Rate = Rate;
  Row.SentAt = SentAt;
  Limits.emplace(Target, Row);
  return true;
}

limit_change target_limits::observe(target_start Target,
                                    std::optional<double> Rate,
                                    boot_time SentAt, boot_time Now) {
  Unreadable.erase(Target);
  return update(Target, Rate, SentAt, Now);
}

limit_change target_limits::update(target_start Target,
                                   std::optional<double> Rate, boot_time SentAt,
                                   boot_time Now) {
  if (Rate)
    Rate = std::clamp(*Rate, Settings.MinRate, Settings.MaxRate);
  if (Now - SentAt >= Settings.MaxAge)
    return limit_change::None;
  const auto Found = Limits.find(Target);
  if (Found == Limits.end())
    return Rate && add(Target, Rate, SentAt, Now) ? limit_change::Announced
                                                  : limit_change::None;
  limit &Known = Found->second;
  if (SentAt < Known.SentAt)
    return limit_change::None;
  const std::optional<double> Before =
      isCurrent(Known, Now) ? Known.Rate : std::nullopt;
  Known.Rate = Rate;
  Known.SentAt = SentAt;
  if (Before == Rate)
    return limit_change::None;
  Known.Unsent = true;
  if (!Before)
    return limit_change::Announced;
  return Rate ? limit_change::Changed : limit_change::Withdrawn;
}

bool target_limits::observeUnreadable(target_start Target) {
  return Unreadable.size() < Settings.MaxTargets &&
         Unreadable.insert(Target).second;
}

std::vector<learned_limit> target_limits::merge(const limit_update &Update,
                                                boot_time Now) {
  std::vector<learned_limit> Learned;
  for (const limit_report &Row : Update.Limits) {
    if (Row.Age < milliseconds(0) || Row.Age >= Settings.MaxAge)
      continue;
    const auto Known = Limits.find(Row.Target);
    // A withdrawal is stored even of an unknown limit: its announcement may
    // arrive later.
    if (Known == Limits.end() && !Row.Rate) {
      add(Row.Target, {}, Now - Row.Age, Now);
      continue;
    }
    const limit_change Change =
        update(Row.Target, Row.Rate, Now - Row.Age, Now);
    if (Change != limit_change::None)
      Learned.push_back({Row.Target, Change, rate(Row.Target, Now)});
  }
  return Learned;
}

std::optional<double> target_limits::rate(target_start Target,
                                          boot_time Now) const {
  const auto Found = Limits.find(Target);
  if (Found == Limits.end() || !isCurrent(Found->second, Now))
    return std::nullopt;
  return Found->second.Rate;
}

limit_report target_limits::report(target_start Target, boot_time Now) const {
  const auto Found = Limits.find(Target);
  if (Found == Limits.end())
    return {Target, {}, duration_cast<milliseconds>(Settings.MaxAge)};
  return {Target, Found->second.Rate,
          duration_cast<milliseconds>(Now - Found->second.SentAt)};
}

std::size_t target_limits::size(boot_time Now) const {
  return static_cast<std::size_t>(
      std::count_if(Limits.begin(), Limits.end(), [&](const auto &Row) {
        return Row.second.Rate && isCurrent(Row.second, Now);
      }));
}

void target_limits::evictExpired(boot_time Now) {
  std::erase_if(Limits,
                [&](const auto &Row) { return !isCurrent(Row.second, Now); });
}

std::vector<std::size_t> target_limits::randomPeers(std::size_t Peers,
                                                    std::size_t Count) {
  std::vector<std::size_t> All(Peers);
  std::iota(All.begin(), All.end(), std::size_t{0});
  std::vector<std::size_t> Chosen;
  std::sample(All.begin(), All.end(), std::back_inserter(Chosen), Count,
              Random);
  return Chosen;
}

std::vector<limit_update>
target_limits::updatesOf(const std::vector<target_start> &Targets,
                         boot_time Now) const {
  std::vector<limit_update> Updates;
  for (const target_start Target : Targets) {
    if (Updates.empty() || Updates.back().Limits.size() >= MaxLimitReports)
      Updates.emplace_back();
    Updates.back().Limits.push_back(report(Target, Now));
  }
  return Updates;
}

std::vector<limit_message> target_limits::pendingMessages(std::size_t Peers,
                                                          boot_time Now) {
  std::vector<limit_message> Messages;
  if (Limits.empty() || Peers == 0)
    return Messages;
  evictExpired(Now);
  std::vector<target_start> Changed;
  std::vector<target_start> All;
  for (auto &[Target, Row] : Limits) {
    All.push_back(Target);
    if (!Row.Unsent || Now < Row.NextChange)
      continue;
    Changed.push_back(Target);
    Row.Unsent = false;
    Row.NextChange = Now + Settings.ChangePause;
  }
  // A small fleet is told as a whole.
  const std::size_t Count =
      Peers <= 2 * Settings.Fanout ? Peers : Settings.Fanout;
  if (!Changed.empty()) {
    const std::vector<std::size_t> To = randomPeers(Peers, Count);
    for (limit_update &Update : updatesOf(Changed, Now))
      Messages.push_back({To, std::move(Update)});
  }
  if (Now < NextRefresh)
    return Messages;
  NextRefresh = Now + Settings.RefreshPeriod;
  const std::vector<std::size_t> To = randomPeers(Peers, 1);
  for (limit_update &Update : updatesOf(All, Now))
    Messages.push_back({To, std::move(Update)});
  return Messages;
}

} // namespace magnoliaspread
