#include <magnoliaspread/workspaceshares.h>

#include "placermath_p.h"

#include <algorithm>

namespace magnoliaspread {

namespace {

/// Services times workspaces; further ones are neither measured nor held.
constexpr std::size_t MaxAccounts = 4096;
/// Unused share that a held workspace may save up, as time.
constexpr double BurstSeconds = 0.25;

} // namespace

double fairLevel(const std::vector<workspace_claim> &Claims, double Slots) {
  std::vector<workspace_claim> Sorted = Claims;
  std::sort(Sorted.begin(), Sorted.end(),
            [](const workspace_claim &A, const workspace_claim &B) {
              return A.Slots * B.Weight < B.Slots * A.Weight;
            });
  double Weights = 0;
  for (const workspace_claim &Row : Sorted)
    Weights += Row.Weight;
  double Left = Slots;
  for (const workspace_claim &Row : Sorted) {
    if (Row.Slots * Weights > Left * Row.Weight)
      return std::max(Left, 0.0) / Weights;
    Left -= Row.Slots;
    Weights -= Row.Weight;
  }
  return workspace_shares::Unlimited;
}

const workspace_shares::account *
workspace_shares::find(service_handle Service, std::uint32_t Workspace) const {
  const auto Found = Accounts.find(keyOf(Service, Workspace));
  return Found == Accounts.end() ? nullptr : &Found->second;
}

double workspace_shares::budgetAt(const account &Account,
                                  steady_time Now) const {
  const double Gained = Account.Share * seconds(Now - Account.At);
  return std::min(Account.Share * BurstSeconds, Account.Budget + Gained);
}

void workspace_shares::count(service_handle Service, std::uint32_t Workspace,
                             double SlotSeconds, steady_time Now) {
  const std::uint64_t Key = keyOf(Service, Workspace);
  auto Found = Accounts.find(Key);
  if (Found == Accounts.end()) {
    if (Accounts.size() >= MaxAccounts)
      return;
    account Account;
    Account.Service = Service;
    Account.Workspace = Workspace;
    Account.Metered = handleAt<service_handle>(Accounts.size());
    Account.At = Now;
    Found = Accounts.emplace(Key, Account).first;
  }
  Meter.count(Found->second.Metered, SlotSeconds, Now);
}

void workspace_shares::update(service_handle Service,
                              const std::vector<workspace_claim> &Claims,
                              double Slots, steady_time Now) {
  for (auto &[Key, Row] : Accounts)
    if (Row.Service == Service)
      Row.Claim.reset();
  // A figure from before a wave isn't less than what is measured here.
  std::vector<workspace_claim> Current = Claims;
  for (workspace_claim &Claim : Current) {
    const auto Found = Accounts.find(keyOf(Service, Claim.Workspace));
    if (Found == Accounts.end())
      continue;
    Claim.Slots =
        std::max(Claim.Slots, Meter.forecast(Found->second.Metered, Now));
    Found->second.Claim = Claim.Slots;
  }
  const double Level = fairLevel(Current, Slots);
  for (auto &[Key, Row] : Accounts)
    if (Row.Service == Service)
      Row.Ratio = 1;
  for (const workspace_claim &Claim : Current)
    if (const auto Found = Accounts.find(keyOf(Service, Claim.Workspace));
        Found != Accounts.end() && Claim.Slots > 0)
      Found->second.Ratio = std::min(1.0, Level * Claim.Weight / Claim.Slots);
  for (auto &[Key, Row] : Accounts) {
    if (Row.Service != Service)
      continue;
    const bool WasHeld = Row.Share != Unlimited;
    const double Budget = WasHeld ? budgetAt(Row, Now) : 0;
    Row.Share = Row.Ratio < 1 ? Meter.forecast(Row.Metered, Now) * Row.Ratio
                              : Unlimited;
    Row.Budget = Budget;
    Row.At = Now;
  }
}

bool workspace_shares::hasRoom(service_handle Service, std::uint32_t Workspace,
                               steady_time Now) const {
  const account *Account = find(Service, Workspace);
  return Account == nullptr || Account->Share == Unlimited ||
         budgetAt(*Account, Now) >= 0;
}

void workspace_shares::spend(service_handle Service, std::uint32_t Workspace,
                             double SlotSeconds, steady_time Now) {
  const auto Found = Accounts.find(keyOf(Service, Workspace));
  if (Found == Accounts.end() || Found->second.Share == Unlimited)
    return;
  Found->second.Budget = budgetAt(Found->second, Now) - SlotSeconds;
  Found->second.At = Now;
}

double workspace_shares::secondsUntil(service_handle Service,
                                      std::uint32_t Workspace,
                                      double SlotSeconds,
                                      steady_time Now) const {
  const account *Account = find(Service, Workspace);
  if (Account == nullptr || Account->Share == Unlimited)
    return 0;
  const double Missing = SlotSeconds - budgetAt(*Account, Now);
  return std::max(0.0, Missing) / std::max(Account->Share, 1e-6);
}

void workspace_shares::noteRefused(service_handle Service,
                                   std::uint32_t Workspace) {
  ++Refused;
  if (const auto Found = Accounts.find(keyOf(Service, Workspace));
      Found != Accounts.end())
    ++Found->second.Refused;
}

double workspace_shares::partHere(service_handle Service,
                                  std::uint32_t Workspace,
                                  steady_time Now) const {
  const account *Account = find(Service, Workspace);
  if (Account == nullptr || Account->Claim.value_or(0) <= 0)
    return 1;
  return std::min(1.0, Meter.forecast(Account->Metered, Now) / *Account->Claim);
}

std::vector<workspace_use> workspace_shares::uses(steady_time Now) const {
  std::vector<workspace_use> Rows;
  for (const auto &[Key, Row] : Accounts) {
    workspace_use Use{Row.Service,
                      Row.Workspace,
                      Meter.forecast(Row.Metered, Now),
                      {},
                      Row.Refused};
    if (Row.Share != Unlimited)
      Use.Share = Row.Share;
    Rows.push_back(Use);
  }
  return Rows;
}

} // namespace magnoliaspread
