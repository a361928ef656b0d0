/// Accounts of the token bank: own, lent and borrowed tokens. At any time
/// the level and the lent tokens of a limit are at most the burst part of the
/// shares that are minted here.
#include "quota_p.h"

#include <magnoliaspread/quota.h>

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace magnoliaspread {

namespace {

limit_id hashName(std::string_view Kind, std::string_view A,
                  std::string_view B) {
  std::string Text(Kind);
  Text.append(1, '\0').append(A).append(1, '\0').append(B);
  return XXH32(Text.data(), Text.size(), 0);
}

milli_tokens floorTokens(double Tokens) {
  return static_cast<milli_tokens>(std::floor(Tokens));
}

} // namespace

limit_id workspaceLimit(std::string_view Workspace) {
  return hashName("workspace", Workspace, "");
}

limit_id linkLimit(std::string_view From, std::string_view To) {
  return hashName("link", From, To);
}

quota_bank::quota_bank(quota_settings Settings, purse &Purse, steady_time Now)
    : Settings(Settings), Purse(Purse), Random(Settings.Seed), TickedAt(Now),
      NextExpiry(Now) {}

quota_bank::limit_state *quota_bank::find(limit_id Id) {
  const auto Found = LimitIndex.find(Id);
  return Found == LimitIndex.end() ? nullptr : &Limits[Found->second];
}

const quota_bank::limit_state *quota_bank::find(limit_id Id) const {
  const auto Found = LimitIndex.find(Id);
  return Found == LimitIndex.end() ? nullptr : &Limits[Found->second];
}

void quota_bank::setLimits(std::uint64_t NewVersion,
                           const std::vector<limit_row> &NewLimits,
                           steady_time Now) {
  if (NewVersion <= ConfigVersion)
    return;
  ConfigVersion = NewVersion;
  std::unordered_map<limit_id, limit_row> Rows;
  for (const limit_row &Row : NewLimits) {
    limit_row &Joined = Rows.try_emplace(Row.Id, Row).first->second;
    Joined.Rate = std::min(Joined.Rate, Row.Rate);
    Joined.Burst = std::min(Joined.Burst, Row.Burst);
  }
  for (const auto &[Id, Row] : Rows) {
    if (LimitIndex.contains(Id))
      continue;
    LimitIndex[Id] = static_cast<std::uint16_t>(Limits.size());
    limit_state &Limit = Limits.emplace_back();
    Limit.Id = Id;
    Limit.LoweredIn = NewVersion;
    Limit.RefilledAt = Now;
  }
  // A limit that is gone stays with nothing to mint, since its lent tokens
  // still count if it comes back.
  for (limit_state &Limit : Limits) {
    const auto Lock = Purse.hold();
    refill(Limit, Now);
    settle(Limit);
    const auto Found = Rows.find(Limit.Id);
    lower(Limit,
          Found == Rows.end() ? limit_row{Limit.Id, 0, 0} : Found->second);
    refill(Limit, Now);
    offer(Limit, Now);
  }
}

void quota_bank::lower(limit_state &Limit, const limit_row &Row) {
  const double Rate = Row.Rate * MilliPerToken;
  const double Burst = Row.Burst * MilliPerToken;
  if (Rate < Limit.Rate || Burst < Limit.Burst)
    Limit.LoweredIn = ConfigVersion;
  if (Burst < Limit.Burst) {
    const double Kept = Burst / Limit.Burst;
    for (token_pot &Pot : Limit.Pots)
      Pot.Tokens = floorTokens(static_cast<double>(Pot.Tokens) * Kept);
  }
  Limit.Rate = Rate;
  Limit.Burst = Burst;
}

void quota_bank::setShares(const std::vector<minted_share> &NewShares,
                           steady_time Now) {
  const auto Same = [](const minted_share &A, const minted_share &B) {
    return A.Index == B.Index && A.MintsFrom == B.MintsFrom &&
           A.FractionPpm == B.FractionPpm;
  };
  if (std::equal(Shares.begin(), Shares.end(), NewShares.begin(),
                 NewShares.end(), Same)) {
    Shares = NewShares;
    return;
  }
  // Cut to what stays before anything is added, so that no token of a former
  // tenure outlives it.
  std::erase_if(Shares, [&](minted_share &Old) {
    for (const minted_share &New : NewShares) {
      if (New.Index != Old.Index || New.MintsFrom != Old.MintsFrom)
        continue;
      Old.Fence = New.Fence;
      Old.FractionPpm = std::min(Old.FractionPpm, New.FractionPpm);
      return false;
    }
    return true;
  });
  for (limit_state &Limit : Limits) {
    const auto Lock = Purse.hold();
    refill(Limit, Now);
    settle(Limit);
    offer(Limit, Now);
  }
  Shares = NewShares;
}

// Tokens count as unspent until they are settled, so a bucket is refilled
// before its spent or lent tokens are taken off: else it would be refilled for
// a time during which it was full.
void quota_bank::settle(limit_state &Limit) {
  const purse_report Report = Purse.collect(Limit.Id);
  Limit.Offered = false;
  Limit.Level =
      std::max(0.0, Limit.Level - static_cast<double>(Report.SpentOwn));
  spendPots(Limit, Report.SpentBorrowed);
  Limit.Wanted += Report.Wanted;
  Limit.Missed += Report.Missed;
  Limit.Waiting = Report.Waiting;
}

void quota_bank::spendPots(limit_state &Limit, milli_tokens Tokens) {
  for (token_pot &Pot : Limit.Pots) {
    const milli_tokens Spent = std::min(Tokens, Pot.Tokens);
    if (Spent == 0)
      continue;
    Pot.Tokens -= Spent;
    Tokens -= Spent;
    noteReport(Peers[Pot.Peer], Limit);
  }
  std::erase_if(Limit.Pots,
                [](const token_pot &Pot) { return Pot.Tokens <= 0; });
}

void quota_bank::expirePots(limit_state &Limit, steady_time Now) {
  std::erase_if(Limit.Pots, [&](const token_pot &Pot) {
    if (Now + LeastLife < Pot.Expires)
      return false;
    peer_state &Peer = Peers[Pot.Peer];
    const auto Index = static_cast<std::uint16_t>(&Limit - Limits.data());
    view(Peer, Index).Returned += Pot.Tokens;
    noteReport(Peer, Limit);
    return true;
  });
}

void quota_bank::refill(limit_state &Limit, steady_time Now) {
  // A share that began to mint since the last refill adds no room before.
  for (;;) {
    steady_time Next = Now;
    for (const minted_share &Share : Shares)
      if (Share.MintsFrom > Limit.RefilledAt && Now < Share.Fence)
        Next = std::min(Next, Share.MintsFrom);
    mint(Limit, Next, Now);
    if (Next == Now)
      return;
  }
}

void quota_bank::mint(limit_state &Limit, steady_time To, steady_time Now) {
  Limit.Capacity = 0;
  Limit.MintRate = 0;
  for (const minted_share &Share : Shares) {
    if (Limit.RefilledAt < Share.MintsFrom || Now >= Share.Fence)
      continue;
    const double Part = Share.FractionPpm / PpmPerUnit;
    Limit.Capacity += Limit.Burst * Part;
    Limit.MintRate += Limit.Rate * Part;
  }
  Limit.Level += Limit.MintRate * seconds(To - Limit.RefilledAt);
  const double Room = Limit.Capacity - static_cast<double>(Limit.Lent);
  Limit.Level = std::max(0.0, std::min(Limit.Level, Room));
  Limit.RefilledAt = To;
}

void quota_bank::offer(limit_state &Limit, steady_time Now) {
  purse_offer Offer;
  Offer.Own = floorTokens(Limit.Level);
  Offer.OwnExpires = Now + PurseLife;
  Offer.BorrowedExpires = Now + PurseLife;
  for (const token_pot &Pot : Limit.Pots) {
    if (Now >= Pot.Expires)
      continue;
    Offer.Borrowed += Pot.Tokens;
    Offer.BorrowedExpires = std::min(Offer.BorrowedExpires, Pot.Expires);
  }
  Purse.offer(Limit.Id, Offer);
  Limit.Offered = true;
}

milli_tokens quota_bank::borrowed(const limit_state &Limit) const {
  milli_tokens Sum = 0;
  for (const token_pot &Pot : Limit.Pots)
    Sum += Pot.Tokens;
  return Sum;
}

milli_tokens quota_bank::available(limit_id Id) const {
  const limit_state *Limit = find(Id);
  if (Limit == nullptr)
    return 0;
  return floorTokens(Limit->Level) + borrowed(*Limit);
}

void quota_bank::credit(limit_state &Limit, lent_row &Row,
                        milli_tokens Tokens) {
  const milli_tokens Credit = std::min(Tokens, Row.Outstanding);
  Row.Outstanding -= Credit;
  Limit.Lent -= Credit;
  Limit.Level += static_cast<double>(Credit);
}

void quota_bank::expireRow(lent_row &Row, steady_time Now) {
  if (Now < Row.Expires || Row.Outstanding == 0)
    return;
  refill(Limits[Row.Limit], Now);
  Limits[Row.Limit].Lent -= Row.Outstanding;
  Row.Outstanding = 0;
  Row.Newest = 0;
}

void quota_bank::expireLent(steady_time Now) {
  if (Now < NextExpiry)
    return;
  NextExpiry = Now + ExpiryCheck;
  for (auto Entry = Borrowers.begin(); Entry != Borrowers.end();) {
    borrower_state &Borrower = Entry->second;
    bool Lent = false;
    for (lent_row &Row : Borrower.Rows) {
      expireRow(Row, Now);
      Lent = Lent || Row.Outstanding > 0;
    }
    const bool Idle = Now >= Borrower.SeenAt + AccountLife;
    Entry = !Lent && Idle ? Borrowers.erase(Entry) : std::next(Entry);
  }
}

void quota_bank::closeGrants(borrower_state &Borrower, const token_ask &Ask,
                             steady_time Now) {
  const bool Lost = Ask.Accepted != Borrower.Sequence;
  for (lent_row &Row : Borrower.Rows) {
    expireRow(Row, Now);
    // The borrower never had the newest grant and will drop it.
    if (Lost)
      credit(Limits[Row.Limit], Row, Row.Newest);
    Row.Newest = 0;
  }
}

void quota_bank::applyReport(borrower_state &Borrower, const token_ask &Ask,
                             steady_time Now) {
  for (lent_row &Row : Borrower.Rows) {
    limit_state &Limit = Limits[Row.Limit];
    const auto Reported = std::find_if(
        Ask.Rows.begin(), Ask.Rows.end(),
        [&](const ask_row &Each) { return Each.Limit == Limit.Id; });
    if (Reported == Ask.Rows.end())
      continue;
    refill(Limit, Now);
    const milli_tokens Held =
        std::clamp<milli_tokens>(Reported->Held, 0, Row.Outstanding);
    const milli_tokens Gone = Row.Outstanding - Held;
    const milli_tokens Back = Reported->Returned - Row.Returned;
    credit(Limit, Row, std::clamp<milli_tokens>(Back, 0, Gone));
    Row.Returned = std::max(Row.Returned, Reported->Returned);
    Limit.Lent -= Row.Outstanding - Held;
    Row.Outstanding = Held;
  }
}

milli_tokens quota_bank::lendable(const limit_state &Limit) const {
  constexpr double ReserveSeconds = 0.1;
  constexpr double MostReserved = 0.25;
  double Reserve = 0;
  if (Limit.Demand > 0)
    Reserve = Limit.Demand * ReserveSeconds + MilliPerToken;
  Reserve = std::min(Reserve, Limit.Capacity * MostReserved);
  Reserve = std::max(Reserve, static_cast<double>(Limit.Backlog));
  return std::max<milli_tokens>(0, floorTokens(Limit.Level - Reserve));
}

milli_tokens quota_bank::lend(lent_row &Row, const ask_row &Asked,
                              steady_time Now) {
  limit_state &Limit = Limits[Row.Limit];
  const milli_tokens Idle = floorTokens(Limit.Level) - Limit.Backlog;
  const milli_tokens Most =
      std::max(lendable(Limit), std::min(Asked.Urgent, Idle));
  const milli_tokens Granted = std::clamp<milli_tokens>(Asked.Want, 0, Most);
  Limit.Level -= static_cast<double>(Granted);
  Limit.Lent += Granted;
  Row.Outstanding += Granted;
  Row.Newest = Granted;
  if (Granted > 0)
    Row.Expires = Now + TokenLife + ExpiryMargin;
  return Granted;
}

std::optional<token_grant> quota_bank::answer(const token_ask &Ask,
                                              steady_time Now) {
  borrower_state &Borrower = Borrowers[Ask.Incarnation];
  if (Ask.Sequence <= Borrower.Sequence) {
    ++Counts.StaleDropped;
    return std::nullopt;
  }
  closeGrants(Borrower, Ask, Now);
  applyReport(Borrower, Ask, Now);
  Borrower.Sequence = Ask.Sequence;
  Borrower.SeenAt = Now;
  token_grant Grant;
  Grant.Incarnation = Ask.Incarnation;
  Grant.Sequence = Ask.Sequence;
  Grant.ConfigVersion = ConfigVersion;
  Grant.Shares = static_cast<std::uint32_t>(Shares.size());
  for (const ask_row &Asked : Ask.Rows) {
    const auto Found = LimitIndex.find(Asked.Limit);
    if (Asked.Want <= 0 || Found == LimitIndex.end())
      continue;
    limit_state &Limit = Limits[Found->second];
    const auto Lock = Purse.hold();
    refill(Limit, Now);
    settle(Limit);
    const milli_tokens Granted =
        lend(account(Borrower, Found->second, Asked), Asked, Now);
    offer(Limit, Now);
    const double Spare = std::max(0.0, Limit.MintRate - Limit.Demand);
    Grant.Rows.push_back({Asked.Limit, Granted, lendable(Limit),
                          floorTokens(Spare), floorTokens(Limit.MintRate)});
  }
  ++Counts.AsksAnswered;
  Counts.GrantRowsSent += Grant.Rows.size();
  return Grant;
}

quota_bank::lent_row &quota_bank::account(borrower_state &Borrower,
                                          std::uint16_t Limit,
                                          const ask_row &Asked) {
  for (lent_row &Row : Borrower.Rows)
    if (Row.Limit == Limit)
      return Row;
  lent_row &Row = Borrower.Rows.emplace_back();
  Row.Limit = Limit;
  Row.Returned = Asked.Returned;
  return Row;
}

} // namespace magnoliaspread
