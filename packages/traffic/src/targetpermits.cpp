#include "targetpermits_p.h"

#include <utility>

namespace magnoliaspread {

namespace {

target_limit_settings limitSettings(std::uint64_t Seed) {
  target_limit_settings Settings;
  Settings.Seed = Seed;
  return Settings;
}

permit_settings lenderSettings(permit_instance Self) {
  permit_settings Settings;
  Settings.Self = std::move(Self);
  return Settings;
}

} // namespace

target_permits::target_permits(const clock &Clock, permit_instance Self,
                               std::uint64_t Seed)
    : Clock(Clock), Limits(limitSettings(Seed)),
      Lender(lenderSettings(std::move(Self)), Limits, Clock.boot()) {}

void target_permits::setTargets(const std::vector<target_row> &Targets) {
  std::vector<permit_target> Rows;
  Starts.assign(Starts.size(), 0);
  for (const target_row &Row : Targets) {
    if (Row.Handle.Index >= Starts.size())
      Starts.resize(Row.Handle.Index + 1U);
    Starts[Row.Handle.Index] = Row.Target.Start;
    Rows.push_back(Row.Target);
  }
  Lender.setTargets(Rows);
}

target_start target_permits::startOf(target_handle Target) const {
  return Target.Index < Starts.size() ? Starts[Target.Index] : 0;
}

permit_state target_permits::state(target_handle Target) {
  if (Limits.empty())
    return permit_state::Unlimited;
  return Lender.state(startOf(Target), Clock.boot());
}

std::chrono::milliseconds target_permits::untilAvailable(target_handle Target) {
  return Lender.untilAvailable(startOf(Target), Clock.boot());
}

std::optional<double> target_permits::rate(target_handle Target) {
  if (Limits.empty())
    return std::nullopt;
  return Limits.rate(startOf(Target), Clock.boot());
}

void target_permits::spend(target_handle Target) {
  if (!Limits.empty())
    Lender.spend(startOf(Target), Clock.boot());
}

void target_permits::refund(target_handle Target) {
  if (!Limits.empty())
    Lender.refund(startOf(Target), Clock.boot());
}

void target_permits::setWaiting(target_handle Target, std::uint32_t Requests) {
  Lender.setWaiting(startOf(Target), Requests);
}

} // namespace magnoliaspread
