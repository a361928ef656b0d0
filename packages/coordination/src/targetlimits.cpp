#include <magnoliaspread/targetlimits.h>

#include <algorithm>

namespace magnoliaspread {

limit_change target_limits::observe(target_start Target,
                                    std::optional<double> Rate,
                                    boot_time SentAt, boot_time Now) {
  Unreadable.erase(Target);
  if (Rate)
    Rate = std::clamp(*Rate, Settings.MinRate, Settings.MaxRate);
  const auto Found = Limits.find(Target);
  if (Found == Limits.end()) {
    if (!Rate || Now - SentAt >= Settings.MaxAge)
      return limit_change::None;
    if (Limits.size() >= Settings.MaxTargets)
      evictExpired(Now);
    if (Limits.size() >= Settings.MaxTargets)
      return limit_change::None;
    Limits.emplace(Target, limit{Rate, SentAt});
    return limit_change::Announced;
  }
  limit &Known = Found->second;
  if (SentAt < Known.SentAt)
    return limit_change::None;
  const std::optional<double> Before =
      isCurrent(Known, Now) ? Known.Rate : std::nullopt;
  Known = {Rate, SentAt};
  if (Before == Rate)
    return limit_change::None;
  if (!Before)
    return limit_change::Announced;
  return Rate ? limit_change::Changed : limit_change::Withdrawn;
}

bool target_limits::observeUnreadable(target_start Target) {
  return Unreadable.size() < Settings.MaxTargets &&
         Unreadable.insert(Target).second;
}

std::optional<double> target_limits::rate(target_start Target,
                                          boot_time Now) const {
  const auto Found = Limits.find(Target);
  if (Found == Limits.end() || !isCurrent(Found->second, Now))
    return std::nullopt;
  return Found->second.Rate;
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

} // namespace magnoliaspread
