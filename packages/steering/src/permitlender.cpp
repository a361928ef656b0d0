#include <magnoliaspread/permitlender.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <set>
#include <string_view>
#include <utility>

namespace magnoliaspread {

using std::chrono::ceil;
using std::chrono::duration;
using std::chrono::milliseconds;

namespace {

/// Bounds of the time for which a denial holds; the rate may change.
constexpr milliseconds MinDenial{10};
constexpr milliseconds MaxDenial{2000};
/// Denial by an instance that doesn't own the limit: the two differ on who is
/// alive.
constexpr milliseconds NotOwnerDenial{250};
constexpr std::uint32_t MaxPermitsPerRequest = 64;
constexpr std::size_t OwnersPerLimit = 2;
/// Grants are remembered for longer than requests are repeated.
constexpr milliseconds GrantMemory{2000};

double seconds(boot_clock::duration Time) {
  return duration<double>(Time).count();
}

} // namespace

permit_lender::permit_lender(permit_settings InitialSettings,
                             target_limits &Limits, boot_time Now)
    : Settings(std::move(InitialSettings)), Limits(Limits), StartedAt(Now),
      SelfId(stableId(Settings.Self.Name)) {
  rebuildInstances();
}

void permit_lender::setTargets(const std::vector<permit_target> &Targets) {
  Regions.clear();
  for (const permit_target &Row : Targets)
    Regions[Row.Start] = Row.Region;
  ++InstancesRevision;
}

void permit_lender::setInstances(std::vector<permit_instance> Alive,
                                 boot_time Now) {
  if (Alive == Peers)
    return;
  std::set<std::string_view> Names;
  for (const permit_instance &Row : Alive)
    Names.insert(Row.Name);
  for (const permit_instance &Row : Peers)
    if (Row.Region == Settings.Self.Region && !Names.contains(Row.Name))
      LostAt[Row.Name] = Now;
  std::erase_if(LostAt, [&](const auto &Row) {
    return Names.contains(Row.first) || Now - Row.second >= Settings.PeerMemory;
  });
  Peers = std::move(Alive);
  rebuildInstances();
}

void permit_lender::rebuildInstances() {
  ++InstancesRevision;
  Instances.clear();
  for (const permit_instance &Row : Peers)
    Instances[Row.Region].push_back({Row, stableId(Row.Name)});
  if (!Leaving)
    Instances[Settings.Self.Region].push_back({Settings.Self, SelfId});
}

void permit_lender::instanceLeft(const std::string &Name) {
  LostAt.erase(Name);
}

void permit_lender::leave() {
  Leaving = true;
  rebuildInstances();
}

double permit_lender::visiblePart(boot_time Now) const {
  const auto Visible = Instances.find(Settings.Self.Region);
  if (Visible == Instances.end())
    return 0;
  const auto Lost =
      std::count_if(LostAt.begin(), LostAt.end(), [&](const auto &Row) {
        return Now - Row.second < Settings.PeerMemory;
      });
  const auto Alive = static_cast<double>(Visible->second.size());
  return Alive / (Alive + static_cast<double>(Lost));
}

std::vector<std::string>
permit_lender::chooseOwners(target_start Target) const {
  const auto Region = Regions.find(Target);
  if (Region == Regions.end())
    return {};
  const auto Candidates = Instances.find(Region->second);
  if (Candidates == Instances.end())
    return {};
  std::vector<std::pair<std::uint64_t, const std::string *>> Ranked;
  for (const region_instance &Row : Candidates->second)
    Ranked.emplace_back(rendezvousScore(Target, Row.Id), &Row.Instance.Name);
  const std::size_t Count = std::min(OwnersPerLimit, Ranked.size());
  std::partial_sort(Ranked.begin(),
                    Ranked.begin() + static_cast<std::ptrdiff_t>(Count),
                    Ranked.end(), std::greater<>());
  std::vector<std::string> Names;
  for (std::size_t I = 0; I < Count; ++I)
    Names.push_back(*Ranked[I].second);
  return Names;
}

bool permit_lender::isOwner(const account &Account) const {
  return std::any_of(
      Account.Owners.begin(), Account.Owners.end(),
      [this](const owner &Row) { return Row.Name == Settings.Self.Name; });
}

permit_lender::owner *permit_lender::findOwner(account &Account,
                                               const std::string &Name) {
  const auto Found =
      std::find_if(Account.Owners.begin(), Account.Owners.end(),
                   [&](const owner &Row) { return Row.Name == Name; });
  return Found == Account.Owners.end() ? nullptr : &*Found;
}

/// A new owner starts with an empty bucket, since the former one may have just
/// granted permits.
permit_lender::account &permit_lender::accountOf(target_start Target,
                                                 boot_time Now) {
  account &Account = Accounts[Target];
  if (Account.OwnersRevision == InstancesRevision)
    return Account;
  const bool Owned = isOwner(Account);
  std::vector<owner> Owners;
  for (std::string &Name : chooseOwners(Target)) {
    const owner *Known = findOwner(Account, Name);
    Owners.push_back(Known == nullptr ? owner{std::move(Name), {}, 0} : *Known);
  }
  Account.Owners = std::move(Owners);
  Account.OwnersRevision = InstancesRevision;
  if (!Owned) {
    Account.Level = 0;
    Account.RefilledAt = std::max(Now, StartedAt + Settings.StartDelay);
  }
  return Account;
}

double permit_lender::mintRate(const account &Account, double Rate,
                               boot_time Now) const {
  return isOwner(Account) ? Rate * visiblePart(Now) /
                                static_cast<double>(Account.Owners.size())
                          : 0;
}

void permit_lender::refill(account &Account, double Rate, boot_time Now) const {
  if (Now <= Account.RefilledAt)
    return;
  const double MintRate = mintRate(Account, Rate, Now);
  Account.Level =
      std::min(Account.Level + MintRate * seconds(Now - Account.RefilledAt),
               1 + MintRate * Settings.BurstSeconds);
  Account.RefilledAt = Now;
}

permit_lender::owner *permit_lender::ownerToAsk(target_start Target,
                                                account &Account,
                                                boot_time Now) const {
  // Each instance prefers one of the owners, so that both get as many requests.
  const std::size_t Count = Account.Owners.size();
  const std::size_t First = rendezvousScore(Target, SelfId) % OwnersPerLimit;
  for (std::size_t I = 0; I < Count; ++I) {
    owner &Row = Account.Owners[(First + I) % Count];
    if (Row.Name != Settings.Self.Name && Now >= Row.DeniedUntil)
      return &Row;
  }
  return nullptr;
}

std::uint32_t permit_lender::held(const account &Account, boot_time Now) const {
  std::uint32_t Count = 0;
  for (const held_permits &Row : Account.Held)
    if (Now < Row.Expires)
      Count += Row.Count;
  return Count;
}

std::vector<std::string> permit_lender::ownersOf(target_start Target,
                                                 boot_time Now) {
  std::vector<std::string> Names;
  for (const owner &Row : accountOf(Target, Now).Owners)
    Names.push_back(Row.Name);
  return Names;
}

permit_state permit_lender::state(target_start Target, boot_time Now) {
  const std::optional<double> Rate = Limits.rate(Target, Now);
  if (!Rate)
    return permit_state::Unlimited;
  account &Account = accountOf(Target, Now);
  refill(Account, *Rate, Now);
  if (held(Account, Now) > 0 || Account.Level >= 1)
    return permit_state::Available;
  return ownerToAsk(Target, Account, Now) == nullptr ? permit_state::Denied
                                                     : permit_state::Obtainable;
}

milliseconds permit_lender::untilMinted(const account &Account, double Rate,
                                        boot_time Now) const {
  const double MintRate = mintRate(Account, Rate, Now);
  if (MintRate <= 0)
    return MaxDenial;
  const double Wait = std::min((1 - Account.Level) / MintRate,
                               duration<double>(MaxDenial).count());
  const auto StartWait =
      std::max(milliseconds(0), ceil<milliseconds>(Account.RefilledAt - Now));
  return std::clamp(StartWait + ceil<milliseconds>(duration<double>(Wait)),
                    MinDenial, MaxDenial);
}

milliseconds permit_lender::untilAvailable(target_start Target, boot_time Now) {
  const std::optional<double> Rate = Limits.rate(Target, Now);
  if (!Rate)
    return milliseconds(0);
  account &Account = accountOf(Target, Now);
  refill(Account, *Rate, Now);
  milliseconds Wait = untilMinted(Account, *Rate, Now);
  for (const owner &Row : Account.Owners)
    if (Row.Name != Settings.Self.Name)
      Wait =
          std::min(Wait, std::max(milliseconds(0),
                                  ceil<milliseconds>(Row.DeniedUntil - Now)));
  return Wait;
}

void permit_lender::spend(target_start Target, boot_time Now) {
  const std::optional<double> Rate = Limits.rate(Target, Now);
  if (!Rate)
    return;
  account &Account = accountOf(Target, Now);
  std::erase_if(Account.Held, [Now](const held_permits &Row) {
    return Row.Count == 0 || Now >= Row.Expires;
  });
  if (!Account.Held.empty()) {
    --Account.Held.front().Count;
    return;
  }
  refill(Account, *Rate, Now);
  Account.Level -= 1;
}

void permit_lender::refund(target_start Target, boot_time Now) {
  if (!Limits.rate(Target, Now))
    return;
  account &Account = accountOf(Target, Now);
  Account.Held.push_back({1, Now + Settings.PermitLife});
}

void permit_lender::setWaiting(target_start Target, std::uint32_t Requests) {
  if (const auto Found = Accounts.find(Target); Found != Accounts.end())
    Found->second.Waiting = Requests;
}

/// Gives up permit requests without an answer.
void permit_lender::expireRequests(boot_time Now) {
  std::erase_if(Pending, [&](const pending_request &Row) {
    if (Now - Row.FirstSentAt < Row.Timing.Timeout)
      return false;
    owner *Owner = findOwner(accountOf(Row.Request.Limit.Target, Now), Row.To);
    if (Owner == nullptr)
      return true;
    constexpr std::uint32_t MaxDoublings = 8;
    const milliseconds Backoff =
        std::min(Settings.LargestBackoff,
                 Settings.FirstBackoff *
                     (1U << std::min(Owner->Timeouts, MaxDoublings)));
    ++Owner->Timeouts;
    Owner->DeniedUntil = std::max(Owner->DeniedUntil, Now + Backoff);
    return true;
  });
}

/// Asks for the permits that waiting requests still need.
void permit_lender::requestFor(target_start Target, account &Account,
                               boot_time Now,
                               std::vector<outgoing_permit_request> &Out) {
  std::uint32_t Expected = held(Account, Now);
  for (const pending_request &Row : Pending)
    if (Row.Request.Limit.Target == Target)
      Expected += Row.Request.Count;
  const owner *Owner = ownerToAsk(Target, Account, Now);
  if (Expected >= Account.Waiting || Owner == nullptr)
    return;
  pending_request Row;
  Row.To = Owner->Name;
  Row.Request.Sequence = ++Sequence;
  Row.Request.Count =
      std::min(MaxPermitsPerRequest, Account.Waiting - Expected);
  Row.Request.Limit = Limits.report(Target, Now);
  Row.Timing = Regions[Target] == Settings.Self.Region ? Settings.SameRegion
                                                       : Settings.OtherRegion;
  Row.FirstSentAt = Now;
  Row.LastSentAt = Now;
  Out.push_back({Row.To, Row.Request});
  Pending.push_back(std::move(Row));
}

std::vector<outgoing_permit_request> permit_lender::tick(boot_time Now) {
  std::vector<outgoing_permit_request> Out;
  expireRequests(Now);
  for (pending_request &Row : Pending) {
    if (Now - Row.LastSentAt < Row.Timing.Repeat)
      continue;
    Row.LastSentAt = Now;
    Row.Request.Limit = Limits.report(Row.Request.Limit.Target, Now);
    Out.push_back({Row.To, Row.Request});
  }
  std::erase_if(Accounts, [&](const auto &Row) {
    return Row.second.Waiting == 0 && !Limits.rate(Row.first, Now);
  });
  for (auto &[Target, Account] : Accounts)
    if (Account.Waiting > 0 && Limits.rate(Target, Now))
      requestFor(Target, accountOf(Target, Now), Now, Out);
  return Out;
}

permit_grant permit_lender::answer(const permit_request &Request,
                                   std::uint64_t Sender, boot_time Now) {
  const target_start Target = Request.Limit.Target;
  permit_grant Grant;
  Grant.Sequence = Request.Sequence;
  Grant.Limit = Limits.report(Target, Now);
  while (!Grants.empty() && Now - Grants.front().At >= GrantMemory)
    Grants.pop_front();
  const std::optional<double> Rate = Limits.rate(Target, Now);
  if (!Rate)
    return Grant;
  account &Account = accountOf(Target, Now);
  const auto Earlier =
      std::find_if(Grants.begin(), Grants.end(), [&](const sent_grant &Row) {
        return Row.Sender == Sender && Row.Sequence == Request.Sequence;
      });
  if (Earlier != Grants.end()) {
    Grant.Count = Earlier->Count;
  } else {
    refill(Account, *Rate, Now);
    Grant.Count = std::min(
        {Request.Count, MaxPermitsPerRequest,
         static_cast<std::uint32_t>(std::floor(std::max(0.0, Account.Level)))});
    Account.Level -= Grant.Count;
    if (Grant.Count > 0)
      Grants.push_back({Sender, Request.Sequence, Grant.Count, Now});
  }
  if (Grant.Count < Request.Count)
    Grant.Wait =
        isOwner(Account) ? untilMinted(Account, *Rate, Now) : NotOwnerDenial;
  return Grant;
}

void permit_lender::accept(const permit_grant &Grant, boot_time Now) {
  const auto Found = std::find_if(
      Pending.begin(), Pending.end(), [&](const pending_request &Row) {
        return Row.Request.Sequence == Grant.Sequence &&
               Row.Request.Limit.Target == Grant.Limit.Target;
      });
  if (Found == Pending.end())
    return;
  account &Account = accountOf(Grant.Limit.Target, Now);
  owner *Owner = findOwner(Account, Found->To);
  if (Owner != nullptr)
    Owner->Timeouts = 0;
  const std::uint32_t Count = std::min(Grant.Count, Found->Request.Count);
  if (Count > 0)
    Account.Held.push_back({Count, Found->FirstSentAt + Settings.PermitLife});
  if (Count < Found->Request.Count && Owner != nullptr)
    Owner->DeniedUntil = Now + std::clamp(Grant.Wait, MinDenial, MaxDenial);
  Pending.erase(Found);
}

} // namespace magnoliaspread
