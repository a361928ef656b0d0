/// Accounting of own, lent and borrowed tokens. Invariant: for each limit, the
/// bucket level plus the lent tokens never exceed the part of the burst that
/// belongs to the shares minted here.
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

quota_allocator::quota_allocator(quota_settings Settings, token_pool &Pool,
                                 steady_time Now)
    : Settings(Settings), Pool(Pool), Random(Settings.Seed), TickedAt(Now),
      NextExpiry(Now) {}

quota_allocator::limit_state *quota_allocator::find(limit_id Id) {
  const auto Found = LimitIndex.find(Id);
  return Found == LimitIndex.end() ? nullptr : &Limits[Found->second];
}

const quota_allocator::limit_state *quota_allocator::find(limit_id Id) const {
  const auto Found = LimitIndex.find(Id);
  return Found == LimitIndex.end() ? nullptr : &Limits[Found->second];
}

void quota_allocator::setLimits(std::uint64_t NewVersion,
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
    Limit.LastLoweredVersion = NewVersion;
    Limit.RefilledAt = Now;
  }
  // A removed limit stays with rate and burst 0: its lent tokens still count if
  // it is added again.
  for (limit_state &Limit : Limits) {
    const auto Lock = Pool.lock();
    refill(Limit, Now);
    collectSpending(Limit);
    const auto Found = Rows.find(Limit.Id);
    updateLimit(Limit, Found == Rows.end() ? limit_row{Limit.Id, 0, 0}
                                           : Found->second);
    refill(Limit, Now);
    updatePool(Limit, Now);
  }
}

void quota_allocator::updateLimit(limit_state &Limit, const limit_row &Row) {
  const double Rate = Row.Rate * MilliPerToken;
  const double Burst = Row.Burst * MilliPerToken;
  if (Rate < Limit.Rate || Burst < Limit.Burst)
    Limit.LastLoweredVersion = ConfigVersion;
  if (Burst < Limit.Burst) {
    const double Scale = Burst / Limit.Burst;
    for (borrowed_batch &Batch : Limit.Borrowed)
      Batch.Tokens = floorTokens(static_cast<double>(Batch.Tokens) * Scale);
  }
  Limit.Rate = Rate;
  Limit.Burst = Burst;
}

void quota_allocator::setShares(const std::vector<minted_share> &NewShares,
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
  // Apply removals before additions, so that no token outlives the lease under
  // which it was minted.
  std::erase_if(Shares, [&](minted_share &Old) {
    for (const minted_share &New : NewShares) {
      if (New.Index != Old.Index || New.MintsFrom != Old.MintsFrom)
        continue;
      Old.MintsUntil = New.MintsUntil;
      Old.FractionPpm = std::min(Old.FractionPpm, New.FractionPpm);
      return false;
    }
    return true;
  });
  for (limit_state &Limit : Limits) {
    const auto Lock = Pool.lock();
    refill(Limit, Now);
    collectSpending(Limit);
    updatePool(Limit, Now);
  }
  Shares = NewShares;
}

// The bucket must be refilled before this deducts spent tokens: deducting first
// would refill it for a time during which it was full.
void quota_allocator::collectSpending(limit_state &Limit) {
  const spending_report Report = Pool.withdraw(Limit.Id);
  Limit.PoolFilled = false;
  Limit.Level =
      std::max(0.0, Limit.Level - static_cast<double>(Report.SpentOwn));
  spendBorrowed(Limit, Report.SpentBorrowed);
  Limit.Attempted += Report.Attempted;
  Limit.Denied += Report.Denied;
  Limit.Waiting = Report.Waiting;
}

void quota_allocator::spendBorrowed(limit_state &Limit, milli_tokens Tokens) {
  for (borrowed_batch &Batch : Limit.Borrowed) {
    const milli_tokens Spent = std::min(Tokens, Batch.Tokens);
    if (Spent == 0)
      continue;
    Batch.Tokens -= Spent;
    Tokens -= Spent;
    scheduleReport(Peers[Batch.Peer], Limit);
  }
  std::erase_if(Limit.Borrowed,
                [](const borrowed_batch &Batch) { return Batch.Tokens <= 0; });
}

void quota_allocator::returnExpiring(limit_state &Limit, steady_time Now) {
  std::erase_if(Limit.Borrowed, [&](const borrowed_batch &Batch) {
    if (Now + MinRemainingLife < Batch.Expires)
      return false;
    peer_state &Peer = Peers[Batch.Peer];
    const auto Index = static_cast<std::uint16_t>(&Limit - Limits.data());
    view(Peer, Index).Returned += Batch.Tokens;
    scheduleReport(Peer, Limit);
    return true;
  });
}

void quota_allocator::refill(limit_state &Limit, steady_time Now) {
  // A share that began to mint since the last refill adds no capacity before
  // its MintsFrom, so refill in steps.
  for (;;) {
    steady_time StepEnd = Now;
    for (const minted_share &Share : Shares)
      if (Share.MintsFrom > Limit.RefilledAt && Now < Share.MintsUntil)
        StepEnd = std::min(StepEnd, Share.MintsFrom);
    mint(Limit, StepEnd, Now);
    if (StepEnd == Now)
      return;
  }
}

void quota_allocator::mint(limit_state &Limit, steady_time To,
                           steady_time Now) {
  Limit.Capacity = 0;
  Limit.MintRate = 0;
  for (const minted_share &Share : Shares) {
    if (Limit.RefilledAt < Share.MintsFrom || Now >= Share.MintsUntil)
      continue;
    const double Fraction = Share.FractionPpm / PpmPerUnit;
    Limit.Capacity += Limit.Burst * Fraction;
    Limit.MintRate += Limit.Rate * Fraction;
  }
  Limit.Level += Limit.MintRate * seconds(To - Limit.RefilledAt);
  const double MaxLevel = Limit.Capacity - static_cast<double>(Limit.Lent);
  Limit.Level = std::max(0.0, std::min(Limit.Level, MaxLevel));
  Limit.RefilledAt = To;
}

void quota_allocator::updatePool(limit_state &Limit, steady_time Now) {
  spendable_tokens Spendable;
  Spendable.Own = floorTokens(Limit.Level);
  Spendable.OwnExpires = Now + PoolLife;
  Spendable.BorrowedExpires = Now + PoolLife;
  for (const borrowed_batch &Batch : Limit.Borrowed) {
    if (Now >= Batch.Expires)
      continue;
    Spendable.Borrowed += Batch.Tokens;
    Spendable.BorrowedExpires =
        std::min(Spendable.BorrowedExpires, Batch.Expires);
  }
  Pool.setAvailable(Limit.Id, Spendable);
  Limit.PoolFilled = true;
}

milli_tokens quota_allocator::borrowedTokens(const limit_state &Limit) const {
  milli_tokens Sum = 0;
  for (const borrowed_batch &Batch : Limit.Borrowed)
    Sum += Batch.Tokens;
  return Sum;
}

milli_tokens quota_allocator::available(limit_id Id) const {
  const limit_state *Limit = find(Id);
  if (Limit == nullptr)
    return 0;
  return floorTokens(Limit->Level) + borrowedTokens(*Limit);
}

void quota_allocator::credit(limit_state &Limit, loan &Loan,
                             milli_tokens Tokens) {
  const milli_tokens Credit = std::min(Tokens, Loan.Outstanding);
  Loan.Outstanding -= Credit;
  Limit.Lent -= Credit;
  Limit.Level += static_cast<double>(Credit);
}

void quota_allocator::expireLoan(loan &Loan, steady_time Now) {
  if (Now < Loan.Expires || Loan.Outstanding == 0)
    return;
  refill(Limits[Loan.Limit], Now);
  Limits[Loan.Limit].Lent -= Loan.Outstanding;
  Loan.Outstanding = 0;
  Loan.FromLastRequest = 0;
}

void quota_allocator::expireLoans(steady_time Now) {
  if (Now < NextExpiry)
    return;
  NextExpiry = Now + ExpiryCheckInterval;
  for (auto Entry = Borrowers.begin(); Entry != Borrowers.end();) {
    borrower_state &Borrower = Entry->second;
    bool Lent = false;
    for (loan &Loan : Borrower.Loans) {
      expireLoan(Loan, Now);
      Lent = Lent || Loan.Outstanding > 0;
    }
    const bool Idle = Now >= Borrower.SeenAt + BorrowerIdleTime;
    Entry = !Lent && Idle ? Borrowers.erase(Entry) : std::next(Entry);
  }
}

void quota_allocator::closeLastGrant(borrower_state &Borrower,
                                     const token_request &Request,
                                     steady_time Now) {
  const bool Lost = Request.Accepted != Borrower.Sequence;
  for (loan &Loan : Borrower.Loans) {
    expireLoan(Loan, Now);
    // The borrower didn't receive the last grant and will drop it.
    if (Lost)
      credit(Limits[Loan.Limit], Loan, Loan.FromLastRequest);
    Loan.FromLastRequest = 0;
  }
}

void quota_allocator::applyReport(borrower_state &Borrower,
                                  const token_request &Request,
                                  steady_time Now) {
  for (loan &Loan : Borrower.Loans) {
    limit_state &Limit = Limits[Loan.Limit];
    const auto Reported = std::find_if(
        Request.Rows.begin(), Request.Rows.end(),
        [&](const token_request_row &Each) { return Each.Limit == Limit.Id; });
    if (Reported == Request.Rows.end())
      continue;
    refill(Limit, Now);
    const milli_tokens Unspent =
        std::clamp<milli_tokens>(Reported->Held, 0, Loan.Outstanding);
    const milli_tokens NoLongerHeld = Loan.Outstanding - Unspent;
    const milli_tokens NewlyReturned = Reported->Returned - Loan.Returned;
    credit(Limit, Loan,
           std::clamp<milli_tokens>(NewlyReturned, 0, NoLongerHeld));
    Loan.Returned = std::max(Loan.Returned, Reported->Returned);
    Limit.Lent -= Loan.Outstanding - Unspent;
    Loan.Outstanding = Unspent;
  }
}

milli_tokens quota_allocator::lendable(const limit_state &Limit) const {
  constexpr double ReserveSeconds = 0.1;
  constexpr double MaxReservedFraction = 0.25;
  double Reserve = 0;
  if (Limit.Demand > 0)
    Reserve = Limit.Demand * ReserveSeconds + MilliPerToken;
  Reserve = std::min(Reserve, Limit.Capacity * MaxReservedFraction);
  Reserve = std::max(Reserve, static_cast<double>(Limit.Backlog));
  return std::max<milli_tokens>(0, floorTokens(Limit.Level - Reserve));
}

milli_tokens quota_allocator::lend(loan &Loan,
                                   const token_request_row &Requested,
                                   steady_time Now) {
  limit_state &Limit = Limits[Loan.Limit];
  const milli_tokens Unclaimed = floorTokens(Limit.Level) - Limit.Backlog;
  const milli_tokens MaxGrant =
      std::max(lendable(Limit), std::min(Requested.Urgent, Unclaimed));
  const milli_tokens Granted =
      std::clamp<milli_tokens>(Requested.Want, 0, MaxGrant);
  Limit.Level -= static_cast<double>(Granted);
  Limit.Lent += Granted;
  Loan.Outstanding += Granted;
  Loan.FromLastRequest = Granted;
  if (Granted > 0)
    Loan.Expires = Now + TokenLife + ExpiryMargin;
  return Granted;
}

std::optional<token_grant> quota_allocator::answer(const token_request &Request,
                                                   steady_time Now) {
  borrower_state &Borrower = Borrowers[Request.Incarnation];
  if (Request.Sequence <= Borrower.Sequence) {
    ++Counts.StaleDropped;
    return std::nullopt;
  }
  closeLastGrant(Borrower, Request, Now);
  applyReport(Borrower, Request, Now);
  Borrower.Sequence = Request.Sequence;
  Borrower.SeenAt = Now;
  token_grant Grant;
  Grant.Incarnation = Request.Incarnation;
  Grant.Sequence = Request.Sequence;
  Grant.ConfigVersion = ConfigVersion;
  Grant.Shares = static_cast<std::uint32_t>(Shares.size());
  for (const token_request_row &Requested : Request.Rows) {
    const auto Found = LimitIndex.find(Requested.Limit);
    if (Requested.Want <= 0 || Found == LimitIndex.end())
      continue;
    limit_state &Limit = Limits[Found->second];
    const auto Lock = Pool.lock();
    refill(Limit, Now);
    collectSpending(Limit);
    const milli_tokens Granted =
        lend(loanFor(Borrower, Found->second, Requested), Requested, Now);
    updatePool(Limit, Now);
    const double Spare = std::max(0.0, Limit.MintRate - Limit.Demand);
    Grant.Rows.push_back({Requested.Limit, Granted, lendable(Limit),
                          floorTokens(Spare), floorTokens(Limit.MintRate)});
  }
  ++Counts.RequestsAnswered;
  Counts.GrantRowsSent += Grant.Rows.size();
  return Grant;
}

quota_allocator::loan &
quota_allocator::loanFor(borrower_state &Borrower, std::uint16_t Limit,
                         const token_request_row &Requested) {
  for (loan &Loan : Borrower.Loans)
    if (Loan.Limit == Limit)
      return Loan;
  loan &Loan = Borrower.Loans.emplace_back();
  Loan.Limit = Limit;
  Loan.Returned = Requested.Returned;
  return Loan;
}

} // namespace magnoliaspread
