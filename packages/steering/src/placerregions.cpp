/// How the placer divides the own region's objects between the regions.
#include <magnoliaspread/placer.h>

#include "placermath_p.h"

#include <magnoliaspread/ownership.h>

#include <algorithm>
#include <cmath>

namespace magnoliaspread {

namespace {

/// A region's part is placed by at least this weight, so that an object always
/// has a candidate.
constexpr double MinRegionWeight = 1e-6;

} // namespace

double placer::fixedLocalPart(const service_capacity &Capacity) const {
  const double All = Capacity.LocalSlots + Capacity.RemoteSlots;
  const double Regions =
      static_cast<double>(std::max<std::size_t>(1, Capacity.Regions.size()));
  return std::clamp(Policy.RegionFill * Capacity.LocalSlots * Regions / All,
                    Policy.LeastLocal, Policy.MostLocal);
}

region_parts placer::fixedParts(const service_capacity &Capacity) const {
  region_parts Parts{};
  const double Local = Capacity.RemoteSlots > 0 ? fixedLocalPart(Capacity) : 1;
  for (std::size_t I = 0; I < Parts.size() && Capacity.RemoteSlots > 0; ++I)
    Parts[I] = (1 - Local) * Capacity.RegionSlots[I] / Capacity.RemoteSlots;
  Parts[Policy.OwnRegion % MaxRegions] = Local;
  return Parts;
}

double placer::regionWeight(const target_state &Target) const {
  const std::size_t Service = Target.Info.Service.Index;
  const service_capacity &Capacity = Capacities[Service];
  const bool Remote = Target.Info.Distance == target_distance::Remote;
  if (const spill_plan *Plan = spill(Target.Info.Service);
      Plan != nullptr && Plan->parts()) {
    const std::size_t Region = Target.Info.Region % MaxRegions;
    return std::max(MinRegionWeight,
                    (*Plan->parts())[Region] /
                        std::max(1.0, Capacity.RegionSlots[Region]));
  }
  if (Remote)
    return 1;
  const double Part = fixedLocalPart(Capacity);
  return Part / (1 - Part) * std::max(1.0, Capacity.RemoteSlots) /
         std::max(1.0, Capacity.LocalSlots);
}

double placer::demand(service_handle Service, steady_time Now) const {
  return Demand.forecast(Service, Now);
}

const spill_plan *placer::spill(service_handle Service) const {
  return Service.Index < Spills.size() && Spills[Service.Index]
             ? &Spills[Service.Index]->Plan
             : nullptr;
}

/// Unreachable at its last try. Not believed for longer than two pauses: other
/// instances may have reached it since.
bool placer::isUnreachable(const target_state &Target, steady_time Now) const {
  return Target.Restarted && Now - Target.FailedAt < 2 * Policy.LargestPause;
}

/// Targets that are cold after they were opened aren't a loss, those that had
/// been warm before are.
void placer::noteWarmTargets(service_handle Service, steady_time Now) {
  for (const target_handle Handle : ByService[Service.Index]) {
    target_state &State = Targets[Handle.Index];
    const bool IsWarm =
        State.Info.ColdUntil <= Now && !isUnreachable(State, Now);
    State.WasWarm = State.Info.Open && (State.WasWarm || IsWarm);
  }
}

region_slots placer::slotsIn(service_handle Service, std::size_t Region,
                             steady_time Now) const {
  region_slots Slots;
  if (Service.Index >= ByService.size())
    return Slots;
  // A cold target has none of its objects cached.
  const double ColdPart = Policy.WarmGuess / Policy.ColdGuess;
  for (const target_handle Handle : ByService[Service.Index]) {
    const target_state &State = Targets[Handle.Index];
    if (!State.Info.Open || State.Info.Region != Region)
      continue;
    const double Part = isUnreachable(State, Now)    ? 0
                        : State.Info.ColdUntil > Now ? ColdPart
                                                     : 1;
    Slots.Usable += usableSlots(State) * Part;
    if (State.WasWarm)
      Slots.Lost += usableSlots(State) * (1 - Part);
  }
  return Slots;
}

void placer::updateSpill(service_handle Service,
                         const std::vector<std::optional<double>> &Demand,
                         steady_time Now) {
  if (Policy.Spill.MaxShift <= 0 || Service.Index >= ByService.size())
    return;
  noteWarmTargets(Service, Now);
  std::vector<region_load> Regions;
  for (std::size_t I = 0; I < std::min(Demand.size(), MaxRegions); ++I) {
    const region_slots Slots = slotsIn(Service, I, Now);
    Regions.push_back({Demand[I].has_value(), Demand[I].value_or(0),
                       Slots.Usable, Slots.Lost});
  }
  if (Service.Index >= Spills.size())
    Spills.resize(Service.Index + 1U);
  std::optional<service_spill> &Spill = Spills[Service.Index];
  if (!Spill)
    Spill.emplace(
        service_spill{spill_plan(Policy.Spill, Policy.OwnRegion), 0, {}});
  Spill->Fixed = fixedParts(Capacities[Service.Index]);
  if (Spill->Plan.update(Regions, Spill->Fixed, Now))
    ++Spill->Revision;
}

/// The region of the best target by the plan and by the fixed parts, whether
/// or not the target is usable at the moment.
placer::object_region placer::planObject(const place_request &Request,
                                         const service_spill &Spill) const {
  const service_capacity &Capacity = Capacities[Request.Service.Index];
  const bool Large = Request.BodyBytes >= Policy.LargeBody;
  const region_parts &Parts = *Spill.Plan.parts();
  std::optional<double> BestPlanned;
  std::optional<double> BestFixed;
  std::uint8_t Planned = Policy.OwnRegion;
  std::uint8_t Fixed = Policy.OwnRegion;
  for (const target_handle Handle : ByService[Request.Service.Index]) {
    const target_state &State = Targets[Handle.Index];
    const std::size_t Region = State.Info.Region % MaxRegions;
    if (!State.Info.Open || Capacity.RegionSlots[Region] <= 0)
      continue;
    const double Factor =
        Large && Region == Policy.OwnRegion ? Policy.LargeRegionFactor : 1;
    const double Score =
        -std::log(unitOf(rendezvousScore(Request.Object, State.Info.Id))) *
        Capacity.RegionSlots[Region] / (usableSlots(State) * Factor);
    const double ByPlan = Score / std::max(MinRegionWeight, Parts[Region]);
    const double ByFixed =
        Score / std::max(MinRegionWeight, Spill.Fixed[Region]);
    if (!BestPlanned || ByPlan < *BestPlanned) {
      BestPlanned = ByPlan;
      Planned = State.Info.Region;
    }
    if (!BestFixed || ByFixed < *BestFixed) {
      BestFixed = ByFixed;
      Fixed = State.Info.Region;
    }
  }
  return {Spill.Revision, Planned, Planned != Fixed};
}

std::optional<std::uint8_t> placer::movedRegion(const place_request &Request) {
  if (Request.Object == 0 || Request.Homes.any() ||
      Request.Service.Index >= Spills.size())
    return std::nullopt;
  const std::optional<service_spill> &Spill = Spills[Request.Service.Index];
  if (!Spill || !Spill->Plan.parts())
    return std::nullopt;
  const auto Found = ObjectRegions.find(Request.Object);
  if (Found != ObjectRegions.end() && Found->second.Revision == Spill->Revision)
    return Found->second.Moved ? std::optional(Found->second.Region)
                               : std::nullopt;
  object_region Row = planObject(Request, *Spill);
  if (Found != ObjectRegions.end())
    Row.Moved = Row.Moved || Found->second.Moved;
  else if (ObjectRegions.size() >= Policy.MaxObjects)
    ObjectRegions.erase(ObjectRegions.begin());
  ObjectRegions[Request.Object] = Row;
  return Row.Moved ? std::optional(Row.Region) : std::nullopt;
}

bool placer::hasHolderIn(std::uint64_t Object, std::uint8_t Region) const {
  const auto Found = Objects.find(Object);
  return Found != Objects.end() &&
         std::any_of(Found->second.begin(), Found->second.end(),
                     [&](const holder &Row) {
                       const target_state *State = find(Row.Target);
                       return State != nullptr && State->Present &&
                              State->Info.Open && State->Info.Region == Region;
                     });
}

double placer::regionBonus(const target_state &Target,
                           std::optional<std::uint8_t> Region) const {
  if (!Region || Target.Info.Region != *Region)
    return 0;
  // The plan already accounts for the distance.
  const auto Distance = static_cast<std::size_t>(Target.Info.Distance);
  return seconds(Policy.RoundTrip[Distance]) + seconds(Policy.RegionMargin);
}

std::optional<placer::choice> placer::moveToRegion(const place_request &Request,
                                                   std::uint8_t Region,
                                                   steady_time Now) {
  const std::optional<choice> Choice = bestOther(Request, nullptr, Region, Now);
  const double Left = seconds(Request.Deadline - Now);
  if (!Choice || !Choice->HasFreeSlot ||
      Choice->Expected > Left * Policy.LatePart)
    return std::nullopt;
  return Choice;
}

} // namespace magnoliaspread
