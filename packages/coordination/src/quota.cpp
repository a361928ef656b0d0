/// Demand estimation and token requests: when to request how many tokens from
/// which peers.
#include "quota_p.h"

#include <magnoliaspread/quota.h>

#include <algorithm>
#include <cmath>

namespace magnoliaspread {

namespace {

using std::chrono::milliseconds;

/// Time constant of the demand average.
constexpr double DemandAverageSeconds = 1.0;
/// Weight of a new sample in the average grant latency.
constexpr double LatencyWeight = 0.1;
/// Fraction of the burst that borrowers may prefetch.
constexpr double PrefetchBurstFraction = 0.25;
constexpr double MinHorizonSeconds = 0.05;
constexpr double MaxHorizonSeconds = 1.0;
/// Below this nothing is prefetched; tokens are requested one by one.
constexpr double MinPrefetch = 0.5 * MilliPerToken;
/// Limits below this fraction of their prefetch level are requested first.
constexpr double LowPrefetchFraction = 0.6;
/// Minimum time before borrowed tokens are returned as excess.
constexpr milliseconds MinBorrowTime{300};
/// Tokens above this multiple of the prefetch level are returned.
constexpr double ReturnFactor = 1.5;
/// Minimum fraction of a token request that counts as pending tokens.
constexpr double MinExpectedFraction = 0.25;
/// Milli-tokens per second; a lower average counts as no demand.
constexpr double MinDemand = 0.01;
/// Fraction of a peer's minted tokens that it is assumed to spare at times.
constexpr double SpareFraction = 0.5;
constexpr std::size_t MaxRequestsPerLimit = 12;
/// After this long, what a peer said it can lend is considered unknown.
constexpr milliseconds MaxViewAge{1000};
constexpr milliseconds MinRequestTimeout{60};
constexpr milliseconds MaxRequestTimeout{1500};
constexpr milliseconds RetryBackoffStep{100};
constexpr std::uint32_t MaxRetryBackoffSteps = 20;
constexpr milliseconds MaxNoSharesPause{60000};
/// Requests per limit and tick to peers that aren't known to hold a share.
constexpr std::size_t MaxProbes = 2;
constexpr milliseconds MinShortagePause{20};
constexpr milliseconds MaxShortagePause{200};
constexpr milliseconds MinRetryAfter{20};
constexpr milliseconds MaxRetryAfter{10000};
/// For an instance that neither mints nor has borrowed recently.
constexpr milliseconds DefaultRetryAfter{1000};

milliseconds toMillis(double Seconds) {
  return milliseconds(static_cast<std::int64_t>(std::ceil(Seconds * 1000)));
}

} // namespace

void quota_allocator::setPeers(const std::vector<quota_peer> &NewPeers) {
  for (peer_state &Peer : Peers)
    Peer.Present = false;
  for (const quota_peer &New : NewPeers) {
    const auto [Found, Added] = PeerIndex.try_emplace(
        New.Name, static_cast<std::uint16_t>(Peers.size()));
    if (Added)
      Peers.emplace_back().Name = New.Name;
    peer_state &Peer = Peers[Found->second];
    Peer.Present = true;
    Peer.Near = New.Near;
  }
}

quota_allocator::peer_view &quota_allocator::view(peer_state &Peer,
                                                  std::uint16_t Limit) {
  if (Peer.Views.size() <= Limit)
    Peer.Views.resize(Limit + 1U);
  return Peer.Views[Limit];
}

token_request_row &quota_allocator::rowFor(peer_state &Peer,
                                           std::uint16_t Limit) {
  peer_view &View = view(Peer, Limit);
  if (View.Row < 0) {
    View.Row = static_cast<std::int32_t>(Peer.Rows.size());
    Peer.Rows.push_back({Limits[Limit].Id, 0, 0, 0, 0});
  }
  return Peer.Rows[static_cast<std::size_t>(View.Row)];
}

std::vector<outgoing_token_request> quota_allocator::tick(steady_time Now) {
  const double Span = seconds(Now - TickedAt);
  TickedAt = Now;
  expireRequests(Now);
  expireLoans(Now);
  for (limit_state &Limit : Limits) {
    const auto Lock = Pool.lock();
    refill(Limit, Now);
    collectSpending(Limit);
    returnExpiring(Limit, Now);
    updateDemand(Limit, Span);
    returnExcess(Limit, Now);
    updatePool(Limit, Now);
  }
  planRequests(true, Now);
  planDueReports(Now);
  planRequests(false, Now);
  addReports();
  return buildRequests(Now);
}

void quota_allocator::updateDemand(limit_state &Limit, double Span) {
  if (Span <= 0)
    return;
  const double Weight = 1 - std::exp(-Span / DemandAverageSeconds);
  const double RequestRate = static_cast<double>(Limit.Attempted) / Span;
  const double GrantRate = static_cast<double>(Limit.Granted) / Span;
  Limit.Demand += (RequestRate - Limit.Demand) * Weight;
  Limit.Inflow += (GrantRate - Limit.Inflow) * Weight;
  if (Limit.Demand < MinDemand)
    Limit.Demand = 0;
  Limit.Backlog = std::min(std::max(Limit.Denied, Limit.Waiting),
                           static_cast<milli_tokens>(Limit.Burst));
  Limit.Attempted = 0;
  Limit.Granted = 0;
  Limit.Denied = 0;
}

double quota_allocator::horizon(const limit_state &Limit) {
  if (Limit.Rate <= 0)
    return MinHorizonSeconds;
  return std::clamp(Limit.Burst / Limit.Rate * PrefetchBurstFraction,
                    MinHorizonSeconds, MaxHorizonSeconds);
}

double quota_allocator::prefetchLevel(const limit_state &Limit) const {
  const double Demand = std::min(Limit.Demand, Limit.Rate);
  const double Prefetch = Demand * (Limit.GrantLatency + horizon(Limit));
  if (Prefetch < MinPrefetch)
    return 0;
  return Prefetch + safetyMargin(Limit);
}

// One token against random arrivals, or less where one token per instance would
// tie up most of a small burst.
double quota_allocator::safetyMargin(const limit_state &Limit) const {
  const double EqualPart = Limit.Burst / static_cast<double>(Peers.size() + 1);
  return std::min<double>(MilliPerToken, EqualPart * PrefetchBurstFraction);
}

double quota_allocator::availableOrPending(const limit_state &Limit) const {
  return Limit.Level +
         static_cast<double>(borrowedTokens(Limit) + Limit.PendingTokens);
}

void quota_allocator::returnExcess(limit_state &Limit, steady_time Now) {
  if (Limit.Borrowed.empty())
    return;
  const double MaxUnspent = prefetchLevel(Limit) * ReturnFactor +
                            safetyMargin(Limit) +
                            static_cast<double>(Limit.Backlog);
  const double Excess =
      Limit.Level + static_cast<double>(borrowedTokens(Limit)) - MaxUnspent;
  auto ToReturn = static_cast<milli_tokens>(std::max(0.0, Excess));
  const auto Index = static_cast<std::uint16_t>(&Limit - Limits.data());
  for (borrowed_batch &Batch : Limit.Borrowed) {
    // Recently borrowed tokens may still be needed by the demand that
    // they were requested for.
    if (Now + TokenLife - MinBorrowTime < Batch.Expires)
      continue;
    const milli_tokens Returned = std::min(ToReturn, Batch.Tokens);
    if (Returned <= 0)
      continue;
    Batch.Tokens -= Returned;
    ToReturn -= Returned;
    view(Peers[Batch.Peer], Index).Returned += Returned;
    scheduleReport(Peers[Batch.Peer], Limit);
  }
  std::erase_if(Limit.Borrowed,
                [](const borrowed_batch &Batch) { return Batch.Tokens <= 0; });
}

void quota_allocator::closeRequest(peer_state &Peer) {
  Peer.RequestPending = false;
  for (const token_request_row &Row : Peer.Rows) {
    const std::uint16_t Index = LimitIndex.at(Row.Limit);
    peer_view &View = view(Peer, Index);
    Limits[Index].PendingTokens -= View.ExpectedTokens;
    View.RequestedTokens = 0;
    View.ExpectedTokens = 0;
  }
  Peer.Rows.clear();
}

void quota_allocator::expireRequests(steady_time Now) {
  for (peer_state &Peer : Peers) {
    if (!Peer.RequestPending ||
        (Peer.Present && Now < Peer.SentAt + Peer.Timeout))
      continue;
    closeRequest(Peer);
    ++Counts.RequestsTimedOut;
    if (!Peer.ReportAt)
      Peer.ReportAt = Now;
    Peer.Failures = std::min(Peer.Failures + 1, MaxRetryBackoffSteps);
    // Retry immediately after the first loss; repeated ones suggest a fault.
    Peer.RetryAt = Now + RetryBackoffStep * static_cast<int>(Peer.Failures - 1);
  }
}

// With a small burst, the lender needs its lent tokens back sooner.
void quota_allocator::scheduleReport(peer_state &Peer,
                                     const limit_state &Limit) const {
  const steady_time Due = TickedAt + toMillis(horizon(Limit));
  Peer.ReportAt = std::min(Peer.ReportAt.value_or(Due), Due);
}

void quota_allocator::planDueReports(steady_time Now) {
  for (peer_state &Peer : Peers) {
    if (!Peer.ReportAt || Peer.RequestPlanned || Peer.RequestPending ||
        !Peer.Present)
      continue;
    if (Now >= *Peer.ReportAt && Now >= Peer.RetryAt)
      Peer.RequestPlanned = true;
  }
}

void quota_allocator::planRequests(bool OnlyLow, steady_time Now) {
  for (std::size_t I = 0; I < Limits.size(); ++I) {
    const limit_state &Limit = Limits[I];
    const double Prefetch = prefetchLevel(Limit);
    if (Prefetch <= 0 && Limit.Backlog <= 0)
      continue;
    const double Backlog = static_cast<double>(Limit.Backlog);
    const double Available = availableOrPending(Limit);
    if (OnlyLow && Available >= Backlog + Prefetch * LowPrefetchFraction)
      continue;
    const double Remaining = Backlog + Prefetch - Available;
    const double Urgent = std::clamp(Backlog - Available, 0.0, Backlog);
    if (Remaining >= 1)
      planRequestsFor(static_cast<std::uint16_t>(I), Remaining, Urgent,
                      !OnlyLow, Now);
  }
}

double quota_allocator::estimateLendable(const peer_state &Peer,
                                         std::uint16_t Limit, double Remaining,
                                         steady_time Now) const {
  const limit_state &State = Limits[Limit];
  const double EqualPart =
      State.Burst / (static_cast<double>(Peers.size()) + 1) + MilliPerToken;
  if (Peer.Views.size() <= Limit || !Peer.Views[Limit].Known)
    return std::min(Remaining, EqualPart);
  const peer_view &View = Peer.Views[Limit];
  if (Now >= View.SeenAt + MaxViewAge)
    return std::min(Remaining, EqualPart);
  const double Age = seconds(Now - View.SeenAt);
  return static_cast<double>(View.Left) + expectedSpareRate(View) * Age;
}

// Demand varies: a peer has tokens to spare at times even if on average it has
// none.
double quota_allocator::expectedSpareRate(const peer_view &View) {
  return std::max(static_cast<double>(View.SparePerSecond),
                  static_cast<double>(View.MintedPerSecond) * SpareFraction);
}

void quota_allocator::listCandidates(std::uint16_t Limit, double Remaining,
                                     double MinExpected, bool OnlyPlanned,
                                     steady_time Now) {
  Candidates.clear();
  for (std::size_t I = 0; I < Peers.size(); ++I) {
    const peer_state &Peer = Peers[I];
    if (!Peer.Present || Peer.RequestPending || Now < Peer.RetryAt ||
        Now < Peer.NoSharesUntil || (OnlyPlanned && !Peer.RequestPlanned))
      continue;
    if (Limit < Peer.Views.size() && Now < Peer.Views[Limit].NoRequestBefore)
      continue;
    const double Expected = estimateLendable(Peer, Limit, Remaining, Now);
    if (Expected < MinExpected)
      continue;
    Candidates.push_back({static_cast<std::uint16_t>(I), Peer.Near,
                          Peer.HoldsShares, Expected,
                          static_cast<std::uint32_t>(Random())});
  }
  std::sort(Candidates.begin(), Candidates.end(),
            [](const candidate &A, const candidate &B) {
              if (A.HoldsShares != B.HoldsShares)
                return A.HoldsShares;
              if (A.Near != B.Near)
                return A.Near;
              if (A.Expected != B.Expected)
                return A.Expected > B.Expected;
              return A.TieBreaker < B.TieBreaker;
            });
}

void quota_allocator::planRequestsFor(std::uint16_t Limit, double Remaining,
                                      double Urgent, bool OnlyPlanned,
                                      steady_time Now) {
  const double MinExpected = Urgent > 0 ? 0 : std::min(Remaining, MinPrefetch);
  listCandidates(Limit, Remaining, MinExpected, OnlyPlanned, Now);
  if (Candidates.size() > MaxRequestsPerLimit)
    Candidates.resize(MaxRequestsPerLimit);
  std::size_t Probes = 0;
  for (const candidate &Each : Candidates) {
    if (Remaining < 1 || Probes == MaxProbes)
      return;
    Probes += Each.HoldsShares ? 0 : 1;
    peer_state &Peer = Peers[Each.Peer];
    const double Want =
        std::min(Remaining, std::max<double>(Each.Expected, MilliPerToken));
    const auto Requested = static_cast<milli_tokens>(std::ceil(Want));
    token_request_row &Row = rowFor(Peer, Limit);
    Row.Want += Requested;
    Row.Urgent += std::min(Requested, static_cast<milli_tokens>(Urgent));
    Urgent = std::max(0.0, Urgent - Want);
    const double Counted =
        std::clamp(Each.Expected, Want * MinExpectedFraction, Want);
    const auto CountedTokens = static_cast<milli_tokens>(std::ceil(Counted));
    view(Peer, Limit).RequestedTokens += Requested;
    view(Peer, Limit).ExpectedTokens += CountedTokens;
    Limits[Limit].PendingTokens += CountedTokens;
    Peer.RequestPlanned = true;
    Remaining -= Counted;
  }
}

void quota_allocator::addReports() {
  for (std::size_t I = 0; I < Limits.size(); ++I)
    for (const borrowed_batch &Batch : Limits[I].Borrowed)
      if (Peers[Batch.Peer].RequestPlanned)
        view(Peers[Batch.Peer], static_cast<std::uint16_t>(I)).Held +=
            Batch.Tokens;
  for (peer_state &Peer : Peers) {
    if (!Peer.RequestPlanned)
      continue;
    for (std::size_t I = 0; I < Peer.Views.size(); ++I)
      addReport(Peer, static_cast<std::uint16_t>(I));
  }
}

void quota_allocator::addReport(peer_state &Peer, std::uint16_t Limit) {
  peer_view &View = Peer.Views[Limit];
  const milli_tokens Held = View.Held;
  View.Held = 0;
  if (View.Row < 0 && View.Returned == View.ReturnedAtLender &&
      Held == View.HeldAtLender)
    return;
  token_request_row &Row = rowFor(Peer, Limit);
  Row.Held = Held;
  Row.Returned = View.Returned;
  View.HeldSent = Held;
  View.ReturnedSent = View.Returned;
}

std::vector<outgoing_token_request>
quota_allocator::buildRequests(steady_time Now) {
  std::vector<outgoing_token_request> Requests;
  for (peer_state &Peer : Peers) {
    if (!Peer.RequestPlanned)
      continue;
    for (peer_view &View : Peer.Views)
      View.Row = -1;
    Peer.RequestPlanned = false;
    Peer.ReportAt.reset();
    Peer.RequestPending = true;
    Peer.SentAt = Now;
    ++Peer.Sequence;
    Requests.push_back(
        {Peer.Name,
         {Settings.Incarnation, Peer.Sequence, Peer.Accepted, Peer.Rows}});
    ++Counts.RequestsSent;
    Counts.RequestRowsSent += Peer.Rows.size();
  }
  return Requests;
}

void quota_allocator::accept(std::string_view From, const token_grant &Grant,
                             steady_time Now) {
  const auto Found = PeerIndex.find(std::string(From));
  if (Found == PeerIndex.end() || Grant.Incarnation != Settings.Incarnation)
    return;
  peer_state &Peer = Peers[Found->second];
  if (!Peer.RequestPending || Grant.Sequence != Peer.Sequence) {
    ++Counts.GrantsLate;
    Peer.Timeout = std::min(Peer.Timeout * 3 / 2, MaxRequestTimeout);
    return;
  }
  const auto RoundTrip =
      std::chrono::duration_cast<milliseconds>(Now - Peer.SentAt);
  Peer.Timeout =
      std::clamp((Peer.Timeout * 7 + RoundTrip * 2 + MinRequestTimeout) / 8,
                 MinRequestTimeout, MaxRequestTimeout);
  Peer.Accepted = Grant.Sequence;
  Peer.Failures = 0;
  for (const token_request_row &Row : Peer.Rows) {
    peer_view &View = view(Peer, LimitIndex.at(Row.Limit));
    View.ReturnedAtLender = View.ReturnedSent;
    View.HeldAtLender = View.HeldSent;
  }
  Peer.HoldsShares = Grant.Shares > 0;
  if (!Peer.HoldsShares) {
    Peer.NoSharesUntil = Now + Peer.NoSharesPause;
    Peer.NoSharesPause = std::min(Peer.NoSharesPause * 2, MaxNoSharesPause);
  } else {
    Peer.NoSharesPause = MinNoSharesPause;
  }
  for (const grant_row &Row : Grant.Rows)
    acceptRow(Found->second, Grant, Row, Now);
  closeRequest(Peer);
}

void quota_allocator::acceptRow(std::uint16_t PeerNumber,
                                const token_grant &Grant, const grant_row &Row,
                                steady_time Now) {
  const auto Found = LimitIndex.find(Row.Limit);
  if (Found == LimitIndex.end())
    return;
  limit_state &Limit = Limits[Found->second];
  peer_state &Peer = Peers[PeerNumber];
  peer_view &View = view(Peer, Found->second);
  View.HeldAtLender += Row.Tokens;
  View.Known = true;
  View.Left = Row.Left;
  View.SparePerSecond = Row.SparePerSecond;
  View.MintedPerSecond = Row.MintedPerSecond;
  View.SeenAt = Now;
  backOff(View, Row, Now);
  const steady_time Expires = Peer.SentAt + TokenLife;
  const bool Outdated = Grant.ConfigVersion < Limit.LastLoweredVersion;
  if (Row.Tokens <= 0 || Outdated || Now >= Expires)
    return;
  const auto Lock = Pool.lock();
  collectSpending(Limit);
  Limit.Borrowed.push_back({PeerNumber, Row.Tokens, Expires});
  Limit.Granted += Row.Tokens;
  Limit.GrantLatency +=
      (seconds(Now - Peer.SentAt) - Limit.GrantLatency) * LatencyWeight;
  updatePool(Limit, Now);
}

void quota_allocator::backOff(peer_view &View, const grant_row &Row,
                              steady_time Now) {
  if (Row.Tokens >= View.RequestedTokens)
    return;
  milliseconds Pause = MaxShortagePause;
  if (Row.SparePerSecond > 0) {
    const double Needed = std::max<double>(
        MinPrefetch, static_cast<double>(View.RequestedTokens) / 4);
    const double Wait = Needed / static_cast<double>(Row.SparePerSecond);
    Pause = std::clamp(toMillis(std::min(Wait, 1.0)), MinShortagePause,
                       MaxShortagePause);
  }
  const auto MaxJitter = static_cast<std::uint64_t>(Pause.count() / 4 + 1);
  View.NoRequestBefore = Now + Pause + milliseconds(Random() % MaxJitter);
}

milliseconds quota_allocator::retryAfter(limit_id Id, milli_tokens Tokens,
                                         steady_time) const {
  const limit_state *Limit = find(Id);
  if (Limit == nullptr)
    return MaxRetryAfter;
  const double Missing =
      static_cast<double>(Limit->Backlog + Tokens - available(Id));
  const double Inflow = Limit->MintRate + Limit->Inflow;
  if (Inflow <= 0)
    return Limit->Rate > 0 ? DefaultRetryAfter : MaxRetryAfter;
  const double Wait = std::max(Limit->GrantLatency, Missing / Inflow);
  return std::clamp(toMillis(std::min(Wait, seconds(MaxRetryAfter))),
                    MinRetryAfter, MaxRetryAfter);
}

} // namespace magnoliaspread
