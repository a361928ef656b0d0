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

/// Demand is averaged over a few seconds.
constexpr double DemandSeconds = 2;
constexpr milliseconds DemandPeriod{250};
/// Below this many tokens a second an instance asks only for requests that
/// wait, so that many instances don't hold tokens of a small limit.
constexpr double LeastAheadDemand = 4;
constexpr milliseconds LeastWait{30};
constexpr milliseconds LongestWait{1000};
/// Rows of one ask; it fits a datagram (wire/tests/sizes.cpp).
constexpr std::size_t MaxAskRows = 24;

double seconds(steady_time::duration Time) {
  return duration<double>(Time).count();
}

} // namespace

fleet_limiter::fleet_limiter(limiter_settings Given, steady_time Now)
    : Settings(std::move(Given)), StartedAt(Now), DemandAt(Now) {}

fleet_limiter::limit_state *fleet_limiter::find(limit_id Id) {
  const auto Found = Rows.find(Id);
  return Found == Rows.end() ? nullptr : &Limits[Found->second];
}

const fleet_limiter::limit_state *fleet_limiter::find(limit_id Id) const {
  return const_cast<fleet_limiter *>(this)->find(Id);
}

bool fleet_limiter::owns(limit_id Id) const {
  const limit_state *Limit = find(Id);
  return Limit != nullptr && Limit->MintsFrom.has_value();
}

/// The first registered instance of each region by rendezvous hash.
void fleet_limiter::assignOwners(limit_state &Limit, steady_time Now) {
  std::map<std::string, std::pair<std::uint64_t, std::string>> Best;
  for (const limiter_instance &Row : Instances) {
    const std::uint64_t Score =
        rendezvousScore(Limit.Row.Id, stableId(Row.Name));
    auto &Place = Best[Row.Region];
    if (Place.second.empty() || Score > Place.first)
      Place = {Score, Row.Name};
  }
  Limit.Owners.clear();
  for (const auto &[Region, Place] : Best)
    if (Region == Settings.Region)
      Limit.Owners.insert(Limit.Owners.begin(), Place.second);
    else
      Limit.Owners.push_back(Place.second);
  const auto Own = Best.find(Settings.Region);
  const bool IsOwner =
      Own != Best.end() && Own->second.second == Settings.Instance;
  if (!IsOwner) {
    Limit.MintsFrom.reset();
    Limit.Level = 0;
    return;
  }
  if (Limit.MintsFrom)
    return;
  const bool Starting = Now - StartedAt < Settings.StartTime;
  Limit.MintsFrom = Starting ? Now : Now + Settings.HandOver;
  Limit.RefilledAt = *Limit.MintsFrom;
  if (Starting)
    Limit.Level =
        (Limit.Row.Rate * Settings.StartSeconds / static_cast<double>(Regions) +
         Settings.StartTokens) *
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

void fleet_limiter::setInstances(std::vector<limiter_instance> NewInstances,
                                 std::size_t NewRegions, steady_time Now) {
  std::sort(NewInstances.begin(), NewInstances.end(),
            [](const limiter_instance &A, const limiter_instance &B) {
              return A.Name < B.Name;
            });
  Regions = std::max<std::size_t>(1, NewRegions);
  if (NewInstances == Instances)
    return;
  Instances = std::move(NewInstances);
  for (limit_state &Limit : Limits)
    assignOwners(Limit, Now);
}

void fleet_limiter::setReachable(std::set<std::string> Names) {
  Reachable = std::move(Names);
}

/// Level of a full bucket. A share of less than one token still has to let one
/// pass.
double fleet_limiter::most(const limit_state &Limit) const {
  const double Part =
      static_cast<double>(MilliPerToken) / static_cast<double>(Regions);
  return std::max(Limit.Row.Burst * Part, static_cast<double>(MilliPerToken));
}

void fleet_limiter::refill(limit_state &Limit, steady_time Now) const {
  if (!Limit.MintsFrom || Now <= Limit.RefilledAt)
    return;
  const double Part =
      static_cast<double>(MilliPerToken) / static_cast<double>(Regions);
  Limit.Level += Limit.Row.Rate * Part * seconds(Now - Limit.RefilledAt);
  Limit.Level = std::min(Limit.Level, most(Limit));
  Limit.RefilledAt = Now;
}

milli_tokens fleet_limiter::heldBy(const limit_state &Limit,
                                   steady_time Now) const {
  milli_tokens Sum = 0;
  for (const held_tokens &Row : Limit.Held)
    if (Now < Row.Expires)
      Sum += Row.Tokens;
  return Sum;
}

bool fleet_limiter::take(limit_state &Limit, milli_tokens Tokens,
                         steady_time Now) {
  std::erase_if(Limit.Held, [Now](const held_tokens &Row) {
    return Row.Tokens <= 0 || Now >= Row.Expires;
  });
  refill(Limit, Now);
  const milli_tokens Held = heldBy(Limit, Now);
  if (static_cast<double>(Held) + Limit.Level < static_cast<double>(Tokens))
    return false;
  milli_tokens Left = Tokens;
  for (held_tokens &Row : Limit.Held) {
    const milli_tokens Part = std::min(Row.Tokens, Left);
    Row.Tokens -= Part;
    Left -= Part;
  }
  Limit.Level -= static_cast<double>(Left);
  return true;
}

bool fleet_limiter::spend(limit_id Id, milli_tokens Tokens, steady_time Now) {
  limit_state *Limit = find(Id);
  if (Limit == nullptr)
    return false;
  Limit->Spent += Tokens;
  return take(*Limit, Tokens, Now);
}

bool fleet_limiter::retry(limit_id Id, milli_tokens Tokens, steady_time Now) {
  limit_state *Limit = find(Id);
  return Limit != nullptr && take(*Limit, Tokens, Now);
}

/// In an owner's bucket the token stands as if it had never been spent.
void fleet_limiter::refund(limit_id Id, milli_tokens Tokens,
                           steady_time SpentAt, steady_time Now) {
  limit_state *Limit = find(Id);
  if (Limit == nullptr)
    return;
  if (Limit->MintsFrom) {
    refill(*Limit, Now);
    Limit->Level =
        std::min(Limit->Level + static_cast<double>(Tokens), most(*Limit));
  } else if (Now - SpentAt < Settings.RefundLife) {
    Limit->Held.push_back({Tokens, SpentAt + Settings.RefundLife});
  }
}

void fleet_limiter::addWaiting(limit_id Id, milli_tokens Tokens) {
  if (limit_state *Limit = find(Id))
    Limit->Waiting += Tokens;
}

void fleet_limiter::updateDemand(limit_state &Limit, double Seconds) const {
  const double Now =
      static_cast<double>(std::exchange(Limit.Spent, 0)) / Seconds;
  const double Part = std::min(1.0, Seconds / DemandSeconds);
  Limit.Demand += (Now - Limit.Demand) * Part;
}

/// Tokens to ask for now.
milli_tokens fleet_limiter::wanted(const limit_state &Limit,
                                   steady_time Now) const {
  milli_tokens Want = Limit.Waiting + Limit.Short;
  const milli_tokens Here =
      heldBy(Limit, Now) + static_cast<milli_tokens>(Limit.Level);
  if (Limit.Demand >= LeastAheadDemand * MilliPerToken)
    Want += static_cast<milli_tokens>(Limit.Demand * seconds(Settings.Ahead));
  return std::max<milli_tokens>(0, Want - Here);
}

/// The region's owner if it is another instance that can be reached, else the
/// owners of other regions in turn; null when there is none.
const std::string *fleet_limiter::whomToAsk(limit_state &Limit) const {
  const auto CanAsk = [this](const std::string &Name) {
    return Name != Settings.Instance && Reachable.contains(Name);
  };
  if (Limit.Owners.empty())
    return nullptr;
  if (!Limit.MintsFrom && CanAsk(Limit.Owners.front()))
    return &Limit.Owners.front();
  for (std::size_t Tries = 0; Tries < Limit.Owners.size(); ++Tries) {
    const std::string &Name =
        Limit.Owners[Limit.NextOther++ % Limit.Owners.size()];
    if (CanAsk(Name))
      return &Name;
  }
  return nullptr;
}

std::vector<outgoing_ask> fleet_limiter::tick(steady_time Now) {
  if (Now - DemandAt >= DemandPeriod) {
    for (limit_state &Limit : Limits)
      updateDemand(Limit, seconds(Now - DemandAt));
    DemandAt = Now;
  }
  std::map<std::string, std::vector<ask_row>> Asks;
  for (limit_state &Limit : Limits) {
    if (Limit.Asked && Now - Limit.AskedAt < Settings.AskTimeout)
      continue;
    refill(Limit, Now);
    const milli_tokens Want = wanted(Limit, Now);
    // An owner's own bucket covers what it wants ahead.
    if (Want <= 0 || (Limit.MintsFrom && Limit.Waiting + Limit.Short <= 0))
      continue;
    const std::string *To = whomToAsk(Limit);
    if (To == nullptr)
      continue;
    Limit.Asked = true;
    Limit.AskedAt = Now;
    Limit.Short = 0;
    ask_row Row;
    Row.Limit = Limit.Row.Id;
    Row.Want = Want;
    Row.Urgent = Limit.Waiting;
    Asks[*To].push_back(Row);
  }
  std::vector<outgoing_ask> Out;
  for (const auto &[To, Wanted] : Asks)
    for (std::size_t First = 0; First < Wanted.size(); First += MaxAskRows) {
      const std::size_t End = std::min(First + MaxAskRows, Wanted.size());
      token_ask Ask;
      Ask.Incarnation = Settings.Incarnation;
      Ask.Sequence = ++Sequence;
      Ask.Rows.assign(Wanted.begin() + static_cast<std::ptrdiff_t>(First),
                      Wanted.begin() + static_cast<std::ptrdiff_t>(End));
      Out.push_back({To, std::move(Ask)});
    }
  return Out;
}

token_grant fleet_limiter::answer(const token_ask &Ask, steady_time Now) {
  token_grant Grant;
  Grant.Incarnation = Ask.Incarnation;
  Grant.Sequence = Ask.Sequence;
  for (const ask_row &Asked : Ask.Rows) {
    limit_state *Limit = find(Asked.Limit);
    if (Limit == nullptr)
      continue;
    refill(*Limit, Now);
    // Whole tokens only, and first those that requests wait for here.
    const double Free =
        Limit->Level -
        static_cast<double>(std::max<milli_tokens>(0, Limit->Waiting));
    const auto Whole = static_cast<milli_tokens>(
        std::floor(std::max(0.0, Free) / MilliPerToken) * MilliPerToken);
    const milli_tokens Given = std::min(Whole, Asked.Want);
    Limit->Level -= static_cast<double>(Given);
    Limit->Short += std::max<milli_tokens>(0, Asked.Urgent - Given);
    Limit->Spent += Given;
    grant_row Row;
    Row.Limit = Asked.Limit;
    Row.Tokens = Given;
    Row.Left = static_cast<milli_tokens>(waitFor(Asked.Limit, Now).count());
    Grant.Rows.push_back(Row);
  }
  return Grant;
}

void fleet_limiter::accept(const token_grant &Grant, steady_time Now) {
  if (Grant.Incarnation != Settings.Incarnation)
    return;
  for (const grant_row &Row : Grant.Rows) {
    limit_state *Limit = find(Row.Limit);
    // An answer to an ask that was given up comes too late to be counted.
    if (Limit == nullptr || !Limit->Asked ||
        Now - Limit->AskedAt >= Settings.AskTimeout)
      continue;
    Limit->Asked = false;
    Limit->Wait = milliseconds(Row.Left);
    if (Row.Tokens > 0)
      Limit->Held.push_back({Row.Tokens, Now + Settings.TokenLife});
  }
}

milliseconds fleet_limiter::waitFor(limit_id Id, steady_time Now) const {
  const limit_state *Limit = find(Id);
  if (Limit == nullptr)
    return LongestWait;
  const double Missing = static_cast<double>(MilliPerToken) - Limit->Level -
                         static_cast<double>(heldBy(*Limit, Now)) +
                         static_cast<double>(Limit->Waiting);
  if (Missing <= 0)
    return milliseconds(0);
  if (!Limit->MintsFrom)
    return Limit->Wait;
  const double Rate = Limit->Row.Rate * static_cast<double>(MilliPerToken) /
                      static_cast<double>(Regions);
  const auto Wait = duration_cast<milliseconds>(
      duration<double>(Rate > 0 ? Missing / Rate : 1.0));
  return std::clamp(Wait, LeastWait, LongestWait);
}

} // namespace magnoliaspread
