/// Demand and asks of the token bank: when to ask which peers for how much.
#include "quota_p.h"

#include <magnoliaspread/quota.h>

#include <algorithm>
#include <cmath>

namespace magnoliaspread {

namespace {

using std::chrono::milliseconds;

constexpr double DemandSeconds = 1.0;
constexpr double LeadWeight = 0.1;
/// Part of the burst that may lie as stock with borrowers.
constexpr double StockPart = 0.25;
constexpr double LeastHorizon = 0.05;
constexpr double MostHorizon = 1.0;
/// Stock under this is not kept; tokens are then asked for one by one.
constexpr double LeastStock = 0.5 * MilliPerToken;
/// A limit is hungry when it falls to this part of its stock.
constexpr double HungryPart = 0.6;
/// Borrowed tokens are kept at least this long before they are given back.
constexpr milliseconds FreshLife{300};
constexpr double GiveBackPart = 1.5;
/// Least part of an ask that is counted on.
constexpr double LeastLikely = 0.25;
constexpr double LeastDemand = 0.01;
/// Part of a peer's tokens that it can spare now and then.
constexpr double SparePart = 0.5;
constexpr std::size_t MaxAsksPerLimit = 12;
/// After this a peer may have tokens that it hadn't when it answered.
constexpr milliseconds ViewLife{1000};
constexpr milliseconds LeastTimeout{60};
constexpr milliseconds MostTimeout{1500};
constexpr milliseconds RetryStep{100};
constexpr std::uint32_t MostRetrySteps = 20;
constexpr milliseconds MostEmptyPause{60000};
/// Peers that aren't known to hold a share, asked per limit and tick.
constexpr std::size_t MaxProbes = 2;
constexpr milliseconds LeastShortage{20};
constexpr milliseconds MostShortage{200};
constexpr milliseconds LeastRetryAfter{20};
constexpr milliseconds MostRetryAfter{10000};
/// For an instance that neither mints nor has borrowed of late.
constexpr milliseconds UnknownRetryAfter{1000};

milliseconds toMillis(double Seconds) {
  return milliseconds(static_cast<std::int64_t>(std::ceil(Seconds * 1000)));
}

} // namespace

void quota_bank::setPeers(const std::vector<quota_peer> &NewPeers) {
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

quota_bank::peer_view &quota_bank::view(peer_state &Peer, std::uint16_t Limit) {
  if (Peer.Views.size() <= Limit)
    Peer.Views.resize(Limit + 1U);
  return Peer.Views[Limit];
}

ask_row &quota_bank::rowFor(peer_state &Peer, std::uint16_t Limit) {
  peer_view &View = view(Peer, Limit);
  if (View.Row < 0) {
    View.Row = static_cast<std::int32_t>(Peer.Rows.size());
    Peer.Rows.push_back({Limits[Limit].Id, 0, 0, 0, 0});
  }
  return Peer.Rows[static_cast<std::size_t>(View.Row)];
}

std::vector<outgoing_ask> quota_bank::tick(steady_time Now) {
  const double Span = seconds(Now - TickedAt);
  TickedAt = Now;
  timeOut(Now);
  expireLent(Now);
  for (limit_state &Limit : Limits) {
    const auto Lock = Purse.hold();
    refill(Limit, Now);
    settle(Limit);
    expirePots(Limit, Now);
    updateDemand(Limit, Span);
    giveBack(Limit, Now);
    offer(Limit, Now);
  }
  orderAll(true, Now);
  markReports(Now);
  orderAll(false, Now);
  addReports();
  return send(Now);
}

void quota_bank::updateDemand(limit_state &Limit, double Span) {
  if (Span <= 0)
    return;
  const double Weight = 1 - std::exp(-Span / DemandSeconds);
  const double Wanted = static_cast<double>(Limit.Wanted) / Span;
  const double Granted = static_cast<double>(Limit.Granted) / Span;
  Limit.Demand += (Wanted - Limit.Demand) * Weight;
  Limit.Inflow += (Granted - Limit.Inflow) * Weight;
  if (Limit.Demand < LeastDemand)
    Limit.Demand = 0;
  Limit.Backlog = std::min(std::max(Limit.Missed, Limit.Waiting),
                           static_cast<milli_tokens>(Limit.Burst));
  Limit.Wanted = 0;
  Limit.Granted = 0;
  Limit.Missed = 0;
}

double quota_bank::horizon(const limit_state &Limit) {
  if (Limit.Rate <= 0)
    return LeastHorizon;
  return std::clamp(Limit.Burst / Limit.Rate * StockPart, LeastHorizon,
                    MostHorizon);
}

double quota_bank::prefetch(const limit_state &Limit) const {
  const double Demand = std::min(Limit.Demand, Limit.Rate);
  const double Stock = Demand * (Limit.LeadTime + horizon(Limit));
  if (Stock < LeastStock)
    return 0;
  return Stock + spareToken(Limit);
}

// One token against chance, unless that would bind most of a small burst.
double quota_bank::spareToken(const limit_state &Limit) const {
  const double Part = Limit.Burst / static_cast<double>(Peers.size() + 1);
  return std::min<double>(MilliPerToken, Part * StockPart);
}

double quota_bank::position(const limit_state &Limit) const {
  return Limit.Level + static_cast<double>(borrowed(Limit) + Limit.OnOrder);
}

void quota_bank::giveBack(limit_state &Limit, steady_time Now) {
  if (Limit.Pots.empty())
    return;
  const double Most = prefetch(Limit) * GiveBackPart + spareToken(Limit) +
                      static_cast<double>(Limit.Backlog);
  const double Excess =
      Limit.Level + static_cast<double>(borrowed(Limit)) - Most;
  auto Left = static_cast<milli_tokens>(std::max(0.0, Excess));
  const auto Index = static_cast<std::uint16_t>(&Limit - Limits.data());
  for (token_pot &Pot : Limit.Pots) {
    // Young tokens were asked for on a demand that may still come.
    if (Now + TokenLife - FreshLife < Pot.Expires)
      continue;
    const milli_tokens Back = std::min(Left, Pot.Tokens);
    if (Back <= 0)
      continue;
    Pot.Tokens -= Back;
    Left -= Back;
    view(Peers[Pot.Peer], Index).Returned += Back;
    noteReport(Peers[Pot.Peer], Limit);
  }
  std::erase_if(Limit.Pots,
                [](const token_pot &Pot) { return Pot.Tokens <= 0; });
}

void quota_bank::closeAsk(peer_state &Peer) {
  Peer.Open = false;
  for (const ask_row &Row : Peer.Rows) {
    const std::uint16_t Index = LimitIndex.at(Row.Limit);
    peer_view &View = view(Peer, Index);
    Limits[Index].OnOrder -= View.Likely;
    View.Ordered = 0;
    View.Likely = 0;
  }
  Peer.Rows.clear();
}

void quota_bank::timeOut(steady_time Now) {
  for (peer_state &Peer : Peers) {
    if (!Peer.Open || (Peer.Present && Now < Peer.SentAt + Peer.Timeout))
      continue;
    closeAsk(Peer);
    ++Counts.AsksTimedOut;
    if (!Peer.ReportAt)
      Peer.ReportAt = Now;
    Peer.Failures = std::min(Peer.Failures + 1, MostRetrySteps);
    // The first loss is repeated at once; more of them are likely a fault.
    Peer.RetryAt = Now + RetryStep * static_cast<int>(Peer.Failures - 1);
  }
}

// A limit with little burst needs its lent tokens back soon.
void quota_bank::noteReport(peer_state &Peer, const limit_state &Limit) const {
  const steady_time Due = TickedAt + toMillis(horizon(Limit));
  Peer.ReportAt = std::min(Peer.ReportAt.value_or(Due), Due);
}

void quota_bank::markReports(steady_time Now) {
  for (peer_state &Peer : Peers) {
    if (!Peer.ReportAt || Peer.Sending || Peer.Open || !Peer.Present)
      continue;
    if (Now >= *Peer.ReportAt && Now >= Peer.RetryAt)
      Peer.Sending = true;
  }
}

void quota_bank::orderAll(bool OnlyHungry, steady_time Now) {
  for (std::size_t I = 0; I < Limits.size(); ++I) {
    const limit_state &Limit = Limits[I];
    const double Stock = prefetch(Limit);
    if (Stock <= 0 && Limit.Backlog <= 0)
      continue;
    const double Backlog = static_cast<double>(Limit.Backlog);
    const double Position = position(Limit);
    if (OnlyHungry && Position >= Backlog + Stock * HungryPart)
      continue;
    const double Remaining = Backlog + Stock - Position;
    const double Urgent = std::clamp(Backlog - Position, 0.0, Backlog);
    if (Remaining >= 1)
      order(static_cast<std::uint16_t>(I), Remaining, Urgent, !OnlyHungry, Now);
  }
}

double quota_bank::expected(const peer_state &Peer, std::uint16_t Limit,
                            double Remaining, steady_time Now) const {
  const limit_state &State = Limits[Limit];
  const double Part =
      State.Burst / (static_cast<double>(Peers.size()) + 1) + MilliPerToken;
  if (Peer.Views.size() <= Limit || !Peer.Views[Limit].Known)
    return std::min(Remaining, Part);
  const peer_view &View = Peer.Views[Limit];
  if (Now >= View.SeenAt + ViewLife)
    return std::min(Remaining, Part);
  const double Age = seconds(Now - View.SeenAt);
  return static_cast<double>(View.Left) + mintedOf(View) * Age;
}

// Demand varies, so that a part of the tokens is to spare now and then also
// where none is on average.
double quota_bank::mintedOf(const peer_view &View) {
  return std::max(static_cast<double>(View.SparePerSecond),
                  static_cast<double>(View.MintedPerSecond) * SparePart);
}

void quota_bank::listCandidates(std::uint16_t Limit, double Remaining,
                                double Least, bool OnlySending,
                                steady_time Now) {
  Candidates.clear();
  for (std::size_t I = 0; I < Peers.size(); ++I) {
    const peer_state &Peer = Peers[I];
    if (!Peer.Present || Peer.Open || Now < Peer.RetryAt ||
        Now < Peer.EmptyUntil || (OnlySending && !Peer.Sending))
      continue;
    if (Limit < Peer.Views.size() && Now < Peer.Views[Limit].NotBefore)
      continue;
    const double Expected = expected(Peer, Limit, Remaining, Now);
    if (Expected < Least)
      continue;
    Candidates.push_back({static_cast<std::uint16_t>(I), Peer.Near, Peer.Holder,
                          Expected, static_cast<std::uint32_t>(Random())});
  }
  std::sort(Candidates.begin(), Candidates.end(),
            [](const candidate &A, const candidate &B) {
              if (A.Holder != B.Holder)
                return A.Holder;
              if (A.Near != B.Near)
                return A.Near;
              if (A.Expected != B.Expected)
                return A.Expected > B.Expected;
              return A.Tie < B.Tie;
            });
}

void quota_bank::order(std::uint16_t Limit, double Remaining, double Urgent,
                       bool OnlySending, steady_time Now) {
  const double Least = Urgent > 0 ? 0 : std::min(Remaining, LeastStock);
  listCandidates(Limit, Remaining, Least, OnlySending, Now);
  if (Candidates.size() > MaxAsksPerLimit)
    Candidates.resize(MaxAsksPerLimit);
  std::size_t Probes = 0;
  for (const candidate &Each : Candidates) {
    if (Remaining < 1 || Probes == MaxProbes)
      return;
    Probes += Each.Holder ? 0 : 1;
    peer_state &Peer = Peers[Each.Peer];
    const double Want =
        std::min(Remaining, std::max<double>(Each.Expected, MilliPerToken));
    const auto Ordered = static_cast<milli_tokens>(std::ceil(Want));
    ask_row &Row = rowFor(Peer, Limit);
    Row.Want += Ordered;
    Row.Urgent += std::min(Ordered, static_cast<milli_tokens>(Urgent));
    Urgent = std::max(0.0, Urgent - Want);
    const double Likely = std::clamp(Each.Expected, Want * LeastLikely, Want);
    const auto Counted = static_cast<milli_tokens>(std::ceil(Likely));
    view(Peer, Limit).Ordered += Ordered;
    view(Peer, Limit).Likely += Counted;
    Limits[Limit].OnOrder += Counted;
    Peer.Sending = true;
    Remaining -= Likely;
  }
}

void quota_bank::addReports() {
  for (std::size_t I = 0; I < Limits.size(); ++I)
    for (const token_pot &Pot : Limits[I].Pots)
      if (Peers[Pot.Peer].Sending)
        view(Peers[Pot.Peer], static_cast<std::uint16_t>(I)).Held += Pot.Tokens;
  for (peer_state &Peer : Peers) {
    if (!Peer.Sending)
      continue;
    for (std::size_t I = 0; I < Peer.Views.size(); ++I)
      addReport(Peer, static_cast<std::uint16_t>(I));
  }
}

void quota_bank::addReport(peer_state &Peer, std::uint16_t Limit) {
  peer_view &View = Peer.Views[Limit];
  const milli_tokens Held = View.Held;
  View.Held = 0;
  if (View.Row < 0 && View.Returned == View.ReturnedKnown &&
      Held == View.HeldKnown)
    return;
  ask_row &Row = rowFor(Peer, Limit);
  Row.Held = Held;
  Row.Returned = View.Returned;
  View.HeldSent = Held;
  View.ReturnedSent = View.Returned;
}

std::vector<outgoing_ask> quota_bank::send(steady_time Now) {
  std::vector<outgoing_ask> Asks;
  for (peer_state &Peer : Peers) {
    if (!Peer.Sending)
      continue;
    for (peer_view &View : Peer.Views)
      View.Row = -1;
    Peer.Sending = false;
    Peer.ReportAt.reset();
    Peer.Open = true;
    Peer.SentAt = Now;
    ++Peer.Sequence;
    Asks.push_back(
        {Peer.Name,
         {Settings.Incarnation, Peer.Sequence, Peer.Accepted, Peer.Rows}});
    ++Counts.AsksSent;
    Counts.AskRowsSent += Peer.Rows.size();
  }
  return Asks;
}

void quota_bank::accept(std::string_view From, const token_grant &Grant,
                        steady_time Now) {
  const auto Found = PeerIndex.find(std::string(From));
  if (Found == PeerIndex.end() || Grant.Incarnation != Settings.Incarnation)
    return;
  peer_state &Peer = Peers[Found->second];
  if (!Peer.Open || Grant.Sequence != Peer.Sequence) {
    ++Counts.GrantsLate;
    Peer.Timeout = std::min(Peer.Timeout * 3 / 2, MostTimeout);
    return;
  }
  const auto Trip = std::chrono::duration_cast<milliseconds>(Now - Peer.SentAt);
  Peer.Timeout = std::clamp((Peer.Timeout * 7 + Trip * 2 + LeastTimeout) / 8,
                            LeastTimeout, MostTimeout);
  Peer.Accepted = Grant.Sequence;
  Peer.Failures = 0;
  for (const ask_row &Row : Peer.Rows) {
    peer_view &View = view(Peer, LimitIndex.at(Row.Limit));
    View.ReturnedKnown = View.ReturnedSent;
    View.HeldKnown = View.HeldSent;
  }
  Peer.Holder = Grant.Shares > 0;
  if (!Peer.Holder) {
    Peer.EmptyUntil = Now + Peer.EmptyPause;
    Peer.EmptyPause = std::min(Peer.EmptyPause * 2, MostEmptyPause);
  } else {
    Peer.EmptyPause = LeastEmptyPause;
  }
  for (const grant_row &Row : Grant.Rows)
    acceptRow(Found->second, Grant, Row, Now);
  closeAsk(Peer);
}

void quota_bank::acceptRow(std::uint16_t PeerNumber, const token_grant &Grant,
                           const grant_row &Row, steady_time Now) {
  const auto Found = LimitIndex.find(Row.Limit);
  if (Found == LimitIndex.end())
    return;
  limit_state &Limit = Limits[Found->second];
  peer_state &Peer = Peers[PeerNumber];
  peer_view &View = view(Peer, Found->second);
  View.HeldKnown += Row.Tokens;
  View.Known = true;
  View.Left = Row.Left;
  View.SparePerSecond = Row.SparePerSecond;
  View.MintedPerSecond = Row.MintedPerSecond;
  View.SeenAt = Now;
  noteShortage(View, Row, Now);
  const steady_time Expires = Peer.SentAt + TokenLife;
  const bool Outdated = Grant.ConfigVersion < Limit.LoweredIn;
  if (Row.Tokens <= 0 || Outdated || Now >= Expires)
    return;
  const auto Lock = Purse.hold();
  settle(Limit);
  Limit.Pots.push_back({PeerNumber, Row.Tokens, Expires});
  Limit.Granted += Row.Tokens;
  Limit.LeadTime += (seconds(Now - Peer.SentAt) - Limit.LeadTime) * LeadWeight;
  offer(Limit, Now);
}

void quota_bank::noteShortage(peer_view &View, const grant_row &Row,
                              steady_time Now) {
  if (Row.Tokens >= View.Ordered)
    return;
  milliseconds Pause = MostShortage;
  if (Row.SparePerSecond > 0) {
    const double Batch =
        std::max<double>(LeastStock, static_cast<double>(View.Ordered) / 4);
    const double Wait = Batch / static_cast<double>(Row.SparePerSecond);
    Pause =
        std::clamp(toMillis(std::min(Wait, 1.0)), LeastShortage, MostShortage);
  }
  const auto Spread = static_cast<std::uint64_t>(Pause.count() / 4 + 1);
  View.NotBefore = Now + Pause + milliseconds(Random() % Spread);
}

milliseconds quota_bank::retryAfter(limit_id Id, milli_tokens Tokens,
                                    steady_time) const {
  const limit_state *Limit = find(Id);
  if (Limit == nullptr)
    return MostRetryAfter;
  const double Missing =
      static_cast<double>(Limit->Backlog + Tokens - available(Id));
  const double Inflow = Limit->MintRate + Limit->Inflow;
  if (Inflow <= 0)
    return Limit->Rate > 0 ? UnknownRetryAfter : MostRetryAfter;
  const double Wait = std::max(Limit->LeadTime, Missing / Inflow);
  return std::clamp(toMillis(std::min(Wait, seconds(MostRetryAfter))),
                    LeastRetryAfter, MostRetryAfter);
}

} // namespace magnoliaspread
