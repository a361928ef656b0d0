#include <magnoliaspread/limiter.h>

#include <magnoliaspread/hash.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace magnoliaspread {

using std::chrono::duration;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

/// Time constant of the demand average.
constexpr double DemandAverageSeconds = 2;
constexpr milliseconds DemandSamplePeriod{250};
/// Tokens per second. Below this tokens are requested only for waiting callers,
/// so that the tokens of a small limit don't lie unspent on many instances.
constexpr double MinPrefetchDemand = 4;
constexpr milliseconds MinWait{30};
constexpr milliseconds MaxWait{1000};
/// Keeps a token request within a datagram (wire/tests/sizes.cpp).
constexpr std::size_t MaxRequestRows = 24;

double seconds(steady_time::duration Time) {
  return duration<double>(Time).count();
}

bool contains(const std::vector<std::string> &Names, const std::string &Name) {
  return std::find(Names.begin(), Names.end(), Name) != Names.end();
}

/// The instance with the highest rendezvous score; empty if there is none.
std::string firstRanked(limit_id Limit, const std::vector<std::string> &Names) {
  std::uint64_t BestScore = 0;
  const std::string *Best = nullptr;
  for (const std::string &Name : Names) {
    const std::uint64_t Score = rendezvousScore(Limit, stableId(Name));
    if (Best != nullptr && Score <= BestScore)
      continue;
    BestScore = Score;
    Best = &Name;
  }
  return Best == nullptr ? std::string() : *Best;
}

} // namespace

limiter_roster limiterRoster(const instance_roster &Roster) {
  limiter_roster Out;
  Out.Minting = Roster.minting();
  for (const roster_row &Row : Roster.rows()) {
    if (Row.Name == Roster.instance())
      continue;
    switch (Row.State) {
    case registration_state::Live:
    case registration_state::Suspect:
      Out.Lenders.push_back(Row.Name);
      Out.Contenders.push_back(Row.Name);
      break;
    case registration_state::Joining:
      Out.Contenders.push_back(Row.Name);
      break;
    case registration_state::Leaving:
      Out.Left.push_back(Row.Name);
      break;
    case registration_state::Gone:
      Out.Gone.push_back(Row.Name);
      break;
    }
  }
  // The rows may be older than the own registration.
  if (Out.Minting) {
    Out.Lenders.push_back(Roster.instance());
    Out.Contenders.push_back(Roster.instance());
  }
  return Out;
}

fleet_limiter::fleet_limiter(limiter_settings InitialSettings, steady_time Now)
    : Settings(std::move(InitialSettings)), LeaseEnd(Now), StartedAt(Now),
      DemandSampledAt(Now) {}

fleet_limiter::limit_state *fleet_limiter::find(limit_id Id) {
  const auto Found = Rows.find(Id);
  return Found == Rows.end() ? nullptr : &Limits[Found->second];
}

const fleet_limiter::limit_state *fleet_limiter::find(limit_id Id) const {
  return const_cast<fleet_limiter *>(this)->find(Id);
}

bool fleet_limiter::owns(limit_id Id) const {
  const limit_state *Limit = find(Id);
  return Limit != nullptr && Limit->MintsFrom && !Limit->LapsesAt;
}

bool fleet_limiter::ranksFirst(limit_id Id) const {
  return Roster.Minting &&
         firstRanked(Id, Roster.Contenders) == Settings.Instance;
}

/// When the instances that ranked higher and vanished have stopped minting.
steady_time fleet_limiter::handoverEnd(limit_id Id, steady_time Now) const {
  const std::uint64_t OwnScore =
      rendezvousScore(Id, stableId(Settings.Instance));
  steady_time End = Now;
  for (const auto &[Name, StoppedAt] : Departed)
    if (rendezvousScore(Id, stableId(Name)) > OwnScore)
      End = std::max(End, StoppedAt);
  return End;
}

void fleet_limiter::assignLenders(limit_state &Limit) const {
  std::map<std::string, std::vector<std::string>> NamesByRegion;
  for (const limiter_instance &Row : RemoteInstances)
    NamesByRegion[Row.Region].push_back(Row.Name);
  std::vector<std::string> Owners;
  if (!Roster.Lenders.empty())
    Owners.push_back(firstRanked(Limit.Row.Id, Roster.Lenders));
  for (const auto &[Region, Names] : NamesByRegion)
    Owners.push_back(firstRanked(Limit.Row.Id, Names));
  if (Owners.empty() || Limit.Owners.empty() ||
      Owners.front() != Limit.Owners.front())
    Limit.FirstIdle = false;
  Limit.Owners = std::move(Owners);
}

bool fleet_limiter::mints(const limit_state &Limit, steady_time Now) const {
  return Limit.MintsFrom && Now >= *Limit.MintsFrom &&
         Now < Limit.LapsesAt.value_or(LeaseEnd);
}

void fleet_limiter::assignOwners(limit_state &Limit, steady_time Now) {
  assignLenders(Limit);
  if (Resigned)
    return;
  const bool IsOwner = ranksFirst(Limit.Row.Id);
  if (IsOwner && Limit.MintsFrom && !Limit.LapsesAt)
    return;
  refill(Limit, Now);
  if (!IsOwner) {
    if (Limit.MintsFrom && !Limit.LapsesAt)
      Limit.LapsesAt = LeaseEnd;
    return;
  }
  Limit.LapsesAt.reset();
  Limit.Level = 0;
  Limit.MintsFrom = handoverEnd(Limit.Row.Id, Now);
  Limit.RefilledAt = *Limit.MintsFrom;
  if (Now - StartedAt < Settings.StartupWindow && *Limit.MintsFrom == Now)
    Limit.Level = (Limit.Row.Rate * Settings.InitialFillSeconds /
                       static_cast<double>(Regions) +
                   Settings.InitialFillTokens) *
                  MilliPerToken;
}

void fleet_limiter::setLimits(const std::vector<limit_row> &NewRows,
                              steady_time Now) {
  std::vector<limit_state> Old = std::exchange(Limits, {});
  const auto OldRows = std::exchange(Rows, {});
  for (const limit_row &Row : NewRows) {
    if (Rows.contains(Row.Id))
      continue;
    limit_state State;
    if (const auto Known = OldRows.find(Row.Id); Known != OldRows.end()) {
      State = std::move(Old[Known->second]);
      refill(State, Now);
    }
    State.Row = Row;
    Rows.emplace(Row.Id, Limits.size());
    Limits.push_back(std::move(State));
    assignOwners(Limits.back(), Now);
    refill(Limits.back(), Now);
  }
}

/// Contenders that vanish without having left may mint until their lease ends.
void fleet_limiter::noteDepartures(const limiter_roster &Next,
                                   steady_time Now) {
  for (const std::string &Name : Roster.Contenders)
    if (Name != Settings.Instance && !contains(Next.Contenders, Name))
      Departed.try_emplace(Name, Now + Settings.HandoverDelay);
  for (const std::string &Name : Next.Gone)
    Departed.try_emplace(Name, Now + Settings.HandoverDelay);
  std::erase_if(Departed, [&](const auto &Row) {
    return contains(Next.Contenders, Row.first) ||
           contains(Next.Left, Row.first) ||
           (Row.second <= Now && !contains(Next.Gone, Row.first));
  });
}

void fleet_limiter::setRoster(limiter_roster Next, steady_time NextLeaseEnd,
                              steady_time Now) {
  if (Next != Roster) {
    noteDepartures(Next, Now);
    Roster = std::move(Next);
    for (limit_state &Limit : Limits)
      assignOwners(Limit, Now);
  }
  renewLease(NextLeaseEnd, Now);
}

void fleet_limiter::renewLease(steady_time NextLeaseEnd, steady_time Now) {
  // Nothing is minted for the time between two leases.
  if (Now >= LeaseEnd)
    for (limit_state &Limit : Limits)
      refill(Limit, Now);
  LeaseEnd = NextLeaseEnd;
}

void fleet_limiter::setRemoteInstances(
    std::vector<limiter_instance> NewInstances, std::size_t NewRegions) {
  Regions = std::max<std::size_t>(1, NewRegions);
  if (NewInstances == RemoteInstances)
    return;
  RemoteInstances = std::move(NewInstances);
  for (limit_state &Limit : Limits)
    assignLenders(Limit);
}

void fleet_limiter::resign(steady_time Now) {
  for (limit_state &Limit : Limits) {
    refill(Limit, Now);
    Limit.MintsFrom.reset();
    Limit.LapsesAt.reset();
  }
  Resigned = true;
}

void fleet_limiter::setReachable(std::set<std::string> Names) {
  Reachable = std::move(Names);
}

/// Bucket capacity; at least one token, so that a small share admits requests.
double fleet_limiter::capacity(const limit_state &Limit) const {
  const double MilliPerShare =
      static_cast<double>(MilliPerToken) / static_cast<double>(Regions);
  return std::max(Limit.Row.Burst * MilliPerShare,
                  static_cast<double>(MilliPerToken));
}

/// What the bucket holds lapses with the lease.
void fleet_limiter::refill(limit_state &Limit, steady_time Now) const {
  if (!Limit.MintsFrom || Now < *Limit.MintsFrom)
    return;
  const steady_time End = Limit.LapsesAt.value_or(LeaseEnd);
  if (Now >= End) {
    Limit.Level = 0;
    Limit.RefilledAt = Now;
    if (Limit.LapsesAt) {
      Limit.LapsesAt.reset();
      Limit.MintsFrom.reset();
    }
    return;
  }
  if (Now <= Limit.RefilledAt)
    return;
  const double MilliPerShare =
      static_cast<double>(MilliPerToken) / static_cast<double>(Regions);
  Limit.Level +=
      Limit.Row.Rate * MilliPerShare * seconds(Now - Limit.RefilledAt);
  Limit.Level = std::min(Limit.Level, capacity(Limit));
  Limit.RefilledAt = Now;
}

milli_tokens fleet_limiter::borrowedTokens(const limit_state &Limit,
                                           steady_time Now) const {
  milli_tokens Sum = 0;
  for (const borrowed_batch &Batch : Limit.Borrowed)
    if (Now < Batch.Expires)
      Sum += Batch.Tokens;
  return Sum;
}

bool fleet_limiter::trySpend(limit_state &Limit, milli_tokens Tokens,
                             steady_time Now) {
  std::erase_if(Limit.Borrowed, [Now](const borrowed_batch &Batch) {
    return Batch.Tokens <= 0 || Now >= Batch.Expires;
  });
  refill(Limit, Now);
  const milli_tokens Borrowed = borrowedTokens(Limit, Now);
  if (static_cast<double>(Borrowed) + Limit.Level < static_cast<double>(Tokens))
    return false;
  milli_tokens Left = Tokens;
  for (borrowed_batch &Batch : Limit.Borrowed) {
    const milli_tokens Spent = std::min(Batch.Tokens, Left);
    Batch.Tokens -= Spent;
    Left -= Spent;
  }
  Limit.Level -= static_cast<double>(Left);
  return true;
}

bool fleet_limiter::spend(limit_id Id, milli_tokens Tokens, steady_time Now) {
  limit_state *Limit = find(Id);
  if (Limit == nullptr)
    return false;
  Limit->Spent += Tokens;
  return trySpend(*Limit, Tokens, Now);
}

bool fleet_limiter::retry(limit_id Id, milli_tokens Tokens, steady_time Now) {
  limit_state *Limit = find(Id);
  return Limit != nullptr && trySpend(*Limit, Tokens, Now);
}

std::size_t fleet_limiter::minted(steady_time Now) const {
  return static_cast<std::size_t>(std::count_if(
      Limits.begin(), Limits.end(),
      [&](const limit_state &Limit) { return mints(Limit, Now); }));
}

/// An owner puts the token back into its bucket, as if never spent.
void fleet_limiter::refund(limit_id Id, milli_tokens Tokens,
                           steady_time SpentAt, steady_time Now) {
  limit_state *Limit = find(Id);
  if (Limit == nullptr)
    return;
  if (Limit->MintsFrom) {
    refill(*Limit, Now);
    Limit->Level =
        std::min(Limit->Level + static_cast<double>(Tokens), capacity(*Limit));
  } else if (Now - SpentAt < Settings.RefundLife) {
    Limit->Borrowed.push_back({Tokens, SpentAt + Settings.RefundLife});
  }
}

void fleet_limiter::addWaiting(limit_id Id, milli_tokens Tokens) {
  if (limit_state *Limit = find(Id))
    Limit->Waiting += Tokens;
}

void fleet_limiter::updateDemand(limit_state &Limit, double Seconds) const {
  const double Rate =
      static_cast<double>(std::exchange(Limit.Spent, 0)) / Seconds;
  const double Weight = std::min(1.0, Seconds / DemandAverageSeconds);
  Limit.Demand += (Rate - Limit.Demand) * Weight;
}

/// Milli-tokens to request now.
milli_tokens fleet_limiter::tokensToRequest(const limit_state &Limit,
                                            steady_time Now) const {
  milli_tokens Want = Limit.Waiting + Limit.UnmetTokens;
  const milli_tokens Unspent =
      borrowedTokens(Limit, Now) + static_cast<milli_tokens>(Limit.Level);
  if (Limit.Demand >= MinPrefetchDemand * MilliPerToken)
    Want += static_cast<milli_tokens>(Limit.Demand *
                                      seconds(Settings.PrefetchTime));
  return std::max<milli_tokens>(0, Want - Unspent);
}

/// The region's owner if it is another, reachable instance that mints, else the
/// next reachable owner in turn; null if there is none.
const std::string *fleet_limiter::chooseLender(limit_state &Limit) const {
  const auto CanRequestFrom = [this](const std::string &Name) {
    return Name != Settings.Instance && Reachable.contains(Name);
  };
  if (Limit.Owners.empty())
    return nullptr;
  if (!Limit.MintsFrom && !Limit.FirstIdle &&
      CanRequestFrom(Limit.Owners.front()))
    return &Limit.Owners.front();
  for (std::size_t Tries = 0; Tries < Limit.Owners.size(); ++Tries) {
    const std::string &Name =
        Limit.Owners[Limit.NextOwner++ % Limit.Owners.size()];
    if (CanRequestFrom(Name))
      return &Name;
  }
  return nullptr;
}

std::vector<outgoing_token_request> fleet_limiter::tick(steady_time Now) {
  if (Now - DemandSampledAt >= DemandSamplePeriod) {
    for (limit_state &Limit : Limits)
      updateDemand(Limit, seconds(Now - DemandSampledAt));
    DemandSampledAt = Now;
  }
  std::map<std::string, std::vector<token_request_row>> RowsByLender;
  for (limit_state &Limit : Limits) {
    if (Limit.RequestPending &&
        Now - Limit.RequestedAt < Settings.RequestTimeout)
      continue;
    refill(Limit, Now);
    const milli_tokens Want = tokensToRequest(Limit, Now);
    // An owner prefetches nothing: its own bucket covers its demand.
    if (Want <= 0 ||
        (Limit.MintsFrom && Limit.Waiting + Limit.UnmetTokens <= 0))
      continue;
    const std::string *To = chooseLender(Limit);
    if (To == nullptr)
      continue;
    Limit.RequestPending = true;
    Limit.RequestedAt = Now;
    Limit.AskedFirst = To == &Limit.Owners.front();
    Limit.UnmetTokens = 0;
    token_request_row Row;
    Row.Limit = Limit.Row.Id;
    Row.Want = Want;
    Row.Urgent = Limit.Waiting;
    RowsByLender[*To].push_back(Row);
  }
  std::vector<outgoing_token_request> Out;
  for (const auto &[To, RequestRows] : RowsByLender)
    for (std::size_t First = 0; First < RequestRows.size();
         First += MaxRequestRows) {
      const std::size_t End =
          std::min(First + MaxRequestRows, RequestRows.size());
      token_request Request;
      Request.Incarnation = Settings.Incarnation;
      Request.Sequence = ++Sequence;
      Request.Rows.assign(
          RequestRows.begin() + static_cast<std::ptrdiff_t>(First),
          RequestRows.begin() + static_cast<std::ptrdiff_t>(End));
      Out.push_back({To, std::move(Request)});
    }
  return Out;
}

token_grant fleet_limiter::answer(const token_request &Request,
                                  steady_time Now) {
  token_grant Grant;
  Grant.Incarnation = Request.Incarnation;
  Grant.Sequence = Request.Sequence;
  for (const token_request_row &Requested : Request.Rows) {
    limit_state *Limit = find(Requested.Limit);
    if (Limit == nullptr)
      continue;
    refill(*Limit, Now);
    // Lend whole tokens only, after those that local requests wait for.
    const double Available =
        Limit->Level -
        static_cast<double>(std::max<milli_tokens>(0, Limit->Waiting));
    const auto WholeTokens = static_cast<milli_tokens>(
        std::floor(std::max(0.0, Available) / MilliPerToken) * MilliPerToken);
    const milli_tokens Granted = std::min(WholeTokens, Requested.Want);
    Limit->Level -= static_cast<double>(Granted);
    Limit->UnmetTokens += std::max<milli_tokens>(0, Requested.Urgent - Granted);
    Limit->Spent += Granted;
    grant_row Row;
    Row.Limit = Requested.Limit;
    Row.Tokens = Granted;
    if (mints(*Limit, Now))
      Row.MintedPerSecond = static_cast<milli_tokens>(std::ceil(
          Limit->Row.Rate * MilliPerToken / static_cast<double>(Regions)));
    Row.Left = static_cast<milli_tokens>(waitFor(Requested.Limit, Now).count());
    Grant.Rows.push_back(Row);
  }
  return Grant;
}

void fleet_limiter::accept(const token_grant &Grant, steady_time Now) {
  if (Grant.Incarnation != Settings.Incarnation)
    return;
  for (const grant_row &Row : Grant.Rows) {
    limit_state *Limit = find(Row.Limit);
    // The token request has timed out: its late answer is ignored and the
    // tokens are lost.
    if (Limit == nullptr || !Limit->RequestPending ||
        Now - Limit->RequestedAt >= Settings.RequestTimeout)
      continue;
    Limit->RequestPending = false;
    if (Limit->AskedFirst)
      Limit->FirstIdle = Row.MintedPerSecond == 0;
    Limit->Wait = milliseconds(Row.Left);
    if (Row.Tokens > 0)
      Limit->Borrowed.push_back({Row.Tokens, Now + Settings.TokenLife});
  }
}

milliseconds fleet_limiter::waitFor(limit_id Id, steady_time Now) const {
  const limit_state *Limit = find(Id);
  if (Limit == nullptr)
    return MaxWait;
  const double Missing = static_cast<double>(MilliPerToken) - Limit->Level -
                         static_cast<double>(borrowedTokens(*Limit, Now)) +
                         static_cast<double>(Limit->Waiting);
  if (Missing <= 0)
    return milliseconds(0);
  if (!Limit->MintsFrom || Now < *Limit->MintsFrom)
    return Limit->Wait;
  const double Rate = Limit->Row.Rate * static_cast<double>(MilliPerToken) /
                      static_cast<double>(Regions);
  const auto Wait = duration_cast<milliseconds>(
      duration<double>(Rate > 0 ? Missing / Rate : 1.0));
  return std::clamp(Wait, MinWait, MaxWait);
}

} // namespace magnoliaspread
