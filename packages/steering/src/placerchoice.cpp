/// The placer's choice among the targets that hold an object and the others.
#include <magnoliaspread/placer.h>

#include "placermath_p.h"

#include <magnoliaspread/ownership.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace magnoliaspread {

using std::chrono::duration;
using std::chrono::duration_cast;
using std::chrono::nanoseconds;

namespace {

/// Rendezvous candidates compared for one request.
constexpr std::size_t MaxCandidates = 4;
/// Mean deviations above the mean within which nearly all answers come, as for
/// the retransmission timeout of TCP (RFC 6298).
constexpr double AnswerDeviations = 4;
/// Extra time of a target with failure score 1, in latency targets.
constexpr double FailurePenalty = 2.5;

} // namespace

double placer::serviceSeconds(const place_request &Request, bool Warm) const {
  const double Good = seconds(Request.GoodUntil - Request.Arrived);
  const auto Found = Times.find(Request.Kind);
  if (Found != Times.end()) {
    const double Known = Warm ? Found->second.Warm : Found->second.Cold;
    if (Known > 0)
      return Known;
  }
  return Good * (Warm ? Policy.WarmGuess : Policy.ColdGuess);
}

nanoseconds placer::expectedService(std::uint64_t Kind, bool Warm) const {
  const auto Found = Times.find(Kind);
  if (Found == Times.end())
    return nanoseconds(0);
  return duration_cast<nanoseconds>(
      duration<double>(Warm ? Found->second.Warm : Found->second.Cold));
}

nanoseconds placer::longestAnswer(std::uint64_t Kind) const {
  const auto Found = Times.find(Kind);
  if (Found == Times.end())
    return nanoseconds(0);
  return duration_cast<nanoseconds>(duration<double>(
      Found->second.Answer + AnswerDeviations * Found->second.AnswerDeviation));
}

/// Expected wait for a slot of the target, in seconds, if each request ahead
/// runs for \p ServiceSeconds.
double placer::waitSeconds(const target_state &Target, double ServiceSeconds,
                           steady_time Now) const {
  const double Slots = std::max(1U, Target.Info.Slots);
  const double Ahead = loadOf(Target.Info.Handle, Now) +
                       static_cast<double>(Target.Queued) + 1 - Slots;
  return std::max(0.0, Ahead) / Slots * ServiceSeconds;
}

/// Expected time to the answer of a request that is sent or queued now, in
/// seconds.
double placer::expected(const target_state &Target,
                        const place_request &Request, double ServiceSeconds,
                        steady_time Now) const {
  const double Wait = waitSeconds(Target, serviceSeconds(Request, true), Now);
  const double Decay =
      decayFactor(Now - Target.DecayedAt, Policy.FailureHalfLife);
  const double Slow = (1 + (Target.Slowness - 1) * Decay) *
                      Paces.factor(Target.Info.Handle, Now);
  const auto Distance = static_cast<std::size_t>(Target.Info.Distance);
  double Travel = seconds(Policy.RoundTrip[Distance]);
  // The owner of the limit is as far away as the target.
  if (permitOf(Target.Info.Handle) == permit_state::Obtainable)
    Travel *= 2;
  return Travel + (Wait + ServiceSeconds) * Slow +
         Target.FailureScore * Decay * FailurePenalty *
             seconds(Request.GoodUntil - Request.Arrived);
}

/// Rendezvous weight of a target for an object without a holder.
double placer::weight(const target_state &Target,
                      const distance_factors &Factors) const {
  double Weight = usableSlots(Target) * regionWeight(Target);
  if (Target.Info.Distance == target_distance::Remote)
    return Weight;
  if (Target.Info.Distance == target_distance::DataCentre)
    Weight *= Factors.DataCentre;
  return Weight * regionFactor(Capacities[Target.Info.Service.Index], Factors);
}

/// Weight factor of the own region. A region short of slots keeps its part of
/// the objects whatever their answers cost.
double placer::regionFactor(const service_capacity &Capacity,
                            const distance_factors &Factors) const {
  if (Factors.IsLargeBody || fixedLocalPart(Capacity) >= Policy.MostLocal)
    return Factors.Region;
  const double Near = Capacity.DataCentreSlots;
  const double Other = Capacity.LocalSlots - Near;
  const double Usual = Near * Policy.NearFactor + Other;
  return Usual > 0 ? Usual / (Near * Factors.DataCentre + Other) : 1;
}

/// Weight factors of near targets. A large body counts in full; other bytes by
/// the price of crossing.
placer::distance_factors placer::factorsOf(const place_request &Request,
                                           const crossing_price &Price) const {
  if (Request.BodyBytes >= Policy.LargeBody)
    return {Policy.LargeNearFactor, Policy.LargeRegionFactor, true};
  const double Near =
      distanceStrength(Price.at(target_distance::Region), Policy.LeaveMargin);
  const double Region =
      distanceStrength(Price.at(target_distance::Remote), Policy.LeaveMargin);
  return {Policy.NearFactor *
              std::pow(Policy.LargeNearFactor / Policy.NearFactor, Near),
          std::pow(Policy.LargeRegionFactor, Region), false};
}

bool placer::hasRoom(target_handle Target, steady_time Now) const {
  return loadOf(Target, Now) <
         static_cast<double>(find(Target)->Info.Slots + Policy.Ahead);
}

/// Whether the target may become an additional holder.
bool placer::hasSpareSlots(target_handle Target, steady_time Now) const {
  return loadOf(Target, Now) + 1 <= find(Target)->Info.Slots * Policy.SparePart;
}

/// The best targets by weighted rendezvous hash.
void placer::listCandidates(const place_request &Request,
                            std::optional<std::uint8_t> Region,
                            steady_time Now) {
  Candidates.clear();
  if (Request.Service.Index >= ByService.size())
    return;
  const crossing_price Price =
      Crossing.priceOf(Request.Kind, Request.BodyBytes, Now);
  const distance_factors Factors = factorsOf(Request, Price);
  const distance_factors FullFactors = factorsOf(Request, {});
  const std::uint64_t Key = Request.Object != 0
                                ? Request.Object
                                : rendezvousScore(++Draws, Request.Id);
  const auto Better = [](const candidate &A, const candidate &B) {
    return A.Score < B.Score;
  };
  for (const target_handle Handle : ByService[Request.Service.Index]) {
    const target_state &State = Targets[Handle.Index];
    if ((Region && State.Info.Region != *Region) ||
        !usable(State, Request, Now))
      continue;
    const bool Full = Crossing.enabled() && !hasRoom(Handle, Now);
    const double Score =
        -std::log(unitOf(rendezvousScore(Key, State.Info.Id))) /
        weight(State, Full ? FullFactors : Factors);
    if (Candidates.size() == MaxCandidates && Score >= Candidates.back().Score)
      continue;
    if (Candidates.size() == MaxCandidates)
      Candidates.pop_back();
    const candidate Row{Handle, Score};
    Candidates.insert(
        std::upper_bound(Candidates.begin(), Candidates.end(), Row, Better),
        Row);
  }
}

/// The holder with the earliest expected answer. If crossing has a price, those
/// that answer in good time come first, and then the price counts as well.
std::optional<placer::choice>
placer::bestHolder(const place_request &Request,
                   std::optional<std::uint8_t> Region, steady_time Now) {
  const auto Found = Objects.find(Request.Object);
  if (Request.Object == 0 || Found == Objects.end())
    return std::nullopt;
  const double Warm = serviceSeconds(Request, true);
  const double Cold = serviceSeconds(Request, false);
  std::erase_if(Found->second, [&](const holder &Row) {
    const double Age = seconds(Now - Row.WarmingSince.value_or(Now));
    return Now - Row.Used >= Policy.WarmTime ||
           !Affinity.remembers(Row.Target, Request.Object) ||
           Age >= Cold * Policy.WarmingPatience;
  });
  const crossing_price Price =
      Crossing.priceOf(Request.Kind, Request.BodyBytes, Now);
  const double Good = seconds(Request.GoodUntil - Now);
  const target_handle Preferred = preferredHolder(Request, Now);
  std::optional<choice> Best;
  std::pair<bool, double> LeastCost;
  for (const holder &Row : Found->second) {
    const target_state *State = find(Row.Target);
    if (State == nullptr || State->Info.Service != Request.Service ||
        !usable(*State, Request, Now))
      continue;
    const double Left =
        Row.WarmingSince
            ? std::max(0.0, Cold - seconds(Now - *Row.WarmingSince))
            : 0;
    const double Expected = expected(*State, Request, Warm + Left, Now);
    const bool Limited = permitOf(Row.Target) != permit_state::Unlimited;
    const std::pair<bool, double> Cost(
        Crossing.enabled() && Expected > Good,
        Expected + seconds(Price.at(State->Info.Distance)) -
            (Limited ? seconds(Policy.LimitedMargin) : 0) -
            regionBonus(*State, Region) +
            holderBias(Request, Row.Target, Preferred));
    if (Best && LeastCost <= Cost)
      continue;
    LeastCost = Cost;
    Best = choice{Row.Target, Expected,
                  hasRoom(Row.Target, Now) && !Row.WarmingSince};
  }
  return Best;
}

/// The best target that isn't a holder. If there is a holder, only a target
/// with spare slots whose expected answer is earlier by the leave margin.
std::optional<placer::choice>
placer::bestOther(const place_request &Request, const choice *Holder,
                  std::optional<std::uint8_t> Region, steady_time Now) {
  listCandidates(Request, Region, Now);
  if (Holder != nullptr)
    listReleased(Request, Now);
  const double Margin = seconds(Policy.LeaveMargin);
  const crossing_price Price =
      Crossing.priceOf(Request.Kind, Request.BodyBytes, Now);
  std::optional<choice> Best;
  double CostToBeat = 0;
  for (const candidate &Row : Candidates) {
    const target_state &State = Targets[Row.Target.Index];
    if (Holder != nullptr && (holderOf(Request.Object, Row.Target) != nullptr ||
                              !hasSpareSlots(Row.Target, Now)))
      continue;
    const double Service = newHolderSeconds(Request, Row.Target);
    const double Expected = expected(State, Request, Service, Now);
    if (Holder != nullptr && Expected >= Holder->Expected - Margin)
      continue;
    // The rendezvous weights already account for the distance.
    const auto Distance = static_cast<std::size_t>(State.Info.Distance);
    const double Cost = Holder != nullptr
                            ? Expected + seconds(Price.at(State.Info.Distance))
                            : Expected - seconds(Policy.RoundTrip[Distance]) +
                                  crowding(Request, Row.Target, Service, Now);
    if (Best && Cost >= CostToBeat)
      continue;
    Best = choice{Row.Target, Expected, hasRoom(Row.Target, Now)};
    CostToBeat = Cost - Margin;
  }
  return Best;
}

/// A target nearer than the best holder that becomes a holder as well, if the
/// answers that cross cost more than its cold run. Only with spare slots, and
/// only if no nearer target holds the object.
std::optional<placer::choice> placer::nearHolder(const place_request &Request,
                                                 const choice &Holder,
                                                 steady_time Now) {
  const target_distance From = find(Holder.Target)->Info.Distance;
  const auto Price =
      Crossing.priceOf(Request.Kind, Request.BodyBytes, Now).at(From);
  if (Price.count() == 0)
    return std::nullopt;
  // Where regions place their objects depends on their slots; only large
  // answers are fetched back, and only by a region with slots for all.
  const service_capacity &Capacity = Capacities[Request.Service.Index];
  if (From == target_distance::Remote &&
      (Price < Policy.LeaveMargin ||
       fixedLocalPart(Capacity) < Policy.MostLocal))
    return std::nullopt;
  const double Cold = serviceSeconds(Request, false);
  const double Extra = Cold - serviceSeconds(Request, true);
  const auto ExtraTime = duration_cast<nanoseconds>(duration<double>(Extra));
  const std::uint64_t Random = rendezvousScore(Request.Id, Request.Object);
  if (!addsNearHolder(Price, ExtraTime, Random))
    return std::nullopt;
  for (const holder &Row : Objects[Request.Object])
    if (const target_state *State = find(Row.Target);
        State != nullptr && State->Info.Distance < From)
      return std::nullopt;
  listCandidates(Request, std::nullopt, Now);
  for (const candidate &Row : Candidates) {
    const target_state &State = Targets[Row.Target.Index];
    if (State.Info.Distance >= From || !hasSpareSlots(Row.Target, Now))
      continue;
    const double Expected = expected(State, Request, Cold, Now);
    // A caller whose answer comes late because of this loses more than the
    // slot time.
    const bool MakesLate =
        Holder.Expected <= seconds(Request.GoodUntil - Now) &&
        Expected > seconds(Request.GoodUntil - Now);
    if (MakesLate && !addsNearHolder(Price, 2 * ExtraTime, Random))
      continue;
    if (Expected > seconds(Request.Deadline - Now) * Policy.LatePart)
      continue;
    return choice{Row.Target, Expected, true, true};
  }
  return std::nullopt;
}

std::optional<placer::choice> placer::chooseTarget(const place_request &Request,
                                                   steady_time Now) {
  if (!followsAffinity(Request))
    return chooseFreely(Request, Now);
  const std::optional<std::uint8_t> Region = movedRegion(Request);
  if (Region && !hasHolderIn(Request.Object, *Region))
    if (auto Moved = moveToRegion(Request, *Region, Now))
      return Moved;
  const std::optional<choice> Holder = bestHolder(Request, Region, Now);
  if (isIdleProbe(Request, Holder, Now))
    return chooseFreely(Request, Now);
  if (!Holder)
    return bestOther(Request, nullptr, std::nullopt, Now);
  if (const std::optional<choice> Near = nearHolder(Request, *Holder, Now))
    return Near;
  if (const auto Added = additionalHolder(Request, *Holder, Now))
    return Added;
  const double Good = seconds(Request.GoodUntil - Now);
  if (Holder->Expected <= Good)
    return Holder;
  // If both answers are late, another holder would only use up slots.
  const std::optional<choice> Other = bestOther(Request, &*Holder, Region, Now);
  const double Left = seconds(Request.Deadline - Now);
  const bool UseOther = Other && (Other->Expected <= Good ||
                                  Holder->Expected > Left * Policy.LatePart);
  return UseOther ? Other : Holder;
}

} // namespace magnoliaspread
