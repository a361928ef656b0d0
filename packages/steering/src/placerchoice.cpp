/// The placer's choice among the targets that hold an object and the others.
#include <magnoliaspread/placer.h>

#include "placermath_p.h"

#include <magnoliaspread/ownership.h>

#include <algorithm>
#include <cmath>

namespace magnoliaspread {

using std::chrono::duration;
using std::chrono::duration_cast;
using std::chrono::nanoseconds;

namespace {

/// Rendezvous candidates compared for one request.
constexpr std::size_t MaxCandidates = 4;
/// Extra time of a target with failure score 1, in latency targets.
constexpr double FailurePenalty = 2.5;

/// Uniform over (0, 1].
double unit(std::uint64_t Bits) {
  constexpr double Scale = 1.0 / 9007199254740992.0;
  return (static_cast<double>(Bits >> 11U) + 1) * Scale;
}

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
  const double Slow = 1 + (Target.Slowness - 1) * Decay;
  const auto Distance = static_cast<std::size_t>(Target.Info.Distance);
  double Travel = seconds(Policy.RoundTrip[Distance]);
  // The owner of the limit is as far away as the target.
  if (permitOf(Target.Info.Handle) == permit_state::Obtainable)
    Travel *= 2;
  return Travel + (Wait + ServiceSeconds) * Slow +
         Target.FailureScore * Decay * FailurePenalty *
             seconds(Request.GoodUntil - Request.Arrived);
}

/// Rendezvous weight of a target for an object without a holder. Each region
/// places as many of its objects in its own targets as their slots can serve.
double placer::weight(const target_state &Target, bool Large) const {
  const service_capacity &Capacity = Capacities[Target.Info.Service.Index];
  const double Slots = usableSlots(Target);
  if (Target.Info.Distance == target_distance::Remote)
    return Slots;
  const double All = Capacity.LocalSlots + Capacity.RemoteSlots;
  const double Regions =
      static_cast<double>(std::max<std::size_t>(1, Capacity.Regions.size()));
  const double Part =
      std::clamp(Policy.RegionFill * Capacity.LocalSlots * Regions / All,
                 Policy.LeastLocal, Policy.MostLocal);
  double Weight = Part / (1 - Part) * std::max(1.0, Capacity.RemoteSlots) /
                  std::max(1.0, Capacity.LocalSlots) * Slots;
  if (Large)
    Weight *= Policy.LargeRegionFactor;
  if (Target.Info.Distance == target_distance::DataCentre)
    Weight *= Large ? Policy.LargeNearFactor : Policy.NearFactor;
  return Weight;
}

/// The best targets by weighted rendezvous hash.
void placer::listCandidates(const place_request &Request, steady_time Now) {
  Candidates.clear();
  if (Request.Service.Index >= ByService.size())
    return;
  const bool Large = Request.BodyBytes >= Policy.LargeBody;
  const std::uint64_t Key = Request.Object != 0
                                ? Request.Object
                                : rendezvousScore(++Draws, Request.Id);
  const auto Better = [](const candidate &A, const candidate &B) {
    return A.Score < B.Score;
  };
  for (const target_handle Handle : ByService[Request.Service.Index]) {
    const target_state &State = Targets[Handle.Index];
    if (!usable(State, Request, Now))
      continue;
    const double Score = -std::log(unit(rendezvousScore(Key, State.Info.Id))) /
                         weight(State, Large);
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

/// The holder with the earliest expected answer.
std::optional<placer::choice> placer::bestHolder(const place_request &Request,
                                                 steady_time Now) {
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
  const target_handle Preferred = preferredHolder(Request, Now);
  std::optional<choice> Best;
  double LeastCost = 0;
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
    const double Cost = Expected -
                        (Limited ? seconds(Policy.LimitedMargin) : 0) +
                        holderBias(Request, Row.Target, Preferred);
    if (Best && LeastCost <= Cost)
      continue;
    LeastCost = Cost;
    const bool HasFreeSlot =
        loadOf(Row.Target, Now) <
        static_cast<double>(State->Info.Slots + Policy.Ahead);
    Best = choice{Row.Target, Expected, HasFreeSlot && !Row.WarmingSince};
  }
  return Best;
}

/// The best target that isn't a holder. If there is a holder, only a target
/// with spare slots whose expected answer is earlier by the leave margin.
std::optional<placer::choice> placer::bestOther(const place_request &Request,
                                                const choice *Holder,
                                                steady_time Now) {
  listCandidates(Request, Now);
  if (Holder != nullptr)
    listReleased(Request, Now);
  const double Margin = seconds(Policy.LeaveMargin);
  std::optional<choice> Best;
  double CostToBeat = Holder == nullptr ? 0 : Holder->Expected - Margin;
  for (const candidate &Row : Candidates) {
    const target_state &State = Targets[Row.Target.Index];
    const double Load = loadOf(Row.Target, Now);
    const double Slots = State.Info.Slots;
    if (Holder != nullptr && (holderOf(Request.Object, Row.Target) != nullptr ||
                              Load + 1 > Slots * Policy.SparePart))
      continue;
    const double Service = newHolderSeconds(Request, Row.Target);
    const double Expected = expected(State, Request, Service, Now);
    // The rendezvous weights already account for the distance.
    const auto Distance = static_cast<std::size_t>(State.Info.Distance);
    const double Cost = Holder != nullptr
                            ? Expected
                            : Expected - seconds(Policy.RoundTrip[Distance]) +
                                  crowding(Request, Row.Target, Service, Now);
    if ((Holder != nullptr || Best) && Cost >= CostToBeat)
      continue;
    Best = choice{Row.Target, Expected, Load < Slots + Policy.Ahead};
    CostToBeat = Cost - Margin;
  }
  return Best;
}

std::optional<placer::choice> placer::chooseTarget(const place_request &Request,
                                                   steady_time Now) {
  if (!followsAffinity(Request))
    return chooseFreely(Request, Now);
  const std::optional<choice> Holder = bestHolder(Request, Now);
  if (isIdleProbe(Request, Holder, Now))
    return chooseFreely(Request, Now);
  if (!Holder)
    return bestOther(Request, nullptr, Now);
  if (const auto Added = additionalHolder(Request, *Holder, Now))
    return Added;
  const double Good = seconds(Request.GoodUntil - Now);
  if (Holder->Expected <= Good)
    return Holder;
  // If both answers are late, another holder would only use up slots.
  const std::optional<choice> Other = bestOther(Request, &*Holder, Now);
  const double Left = seconds(Request.Deadline - Now);
  const bool UseOther = Other && (Other->Expected <= Good ||
                                  Holder->Expected > Left * Policy.LatePart);
  return UseOther ? Other : Holder;
}

} // namespace magnoliaspread
