/// The placer's view of targets with rate limits.
#include <magnoliaspread/placer.h>

#include <algorithm>
#include <utility>

namespace magnoliaspread {

namespace {

/// A limited target keeps a small weight, so that its limit is used.
constexpr double MinUsableSlots = 0.05;

} // namespace

permit_state placer::permitOf(target_handle Target) const {
  return Permits == nullptr ? permit_state::Unlimited : Permits->state(Target);
}

bool placer::permitAllows(target_handle Target, const place_request &Request,
                          steady_time Now) const {
  const permit_state Permit = permitOf(Target);
  return Permit != permit_state::Denied &&
         (Permit != permit_state::Obtainable ||
          Now - Request.Arrived < Policy.PermitPatience);
}

double placer::usableSlots(const target_state &Target) const {
  const double Slots = std::max(1U, Target.Info.Slots);
  const auto Rate =
      Permits == nullptr ? std::nullopt : Permits->rate(Target.Info.Handle);
  const double Mean = MeanService[Target.Info.Service.Index];
  if (!Rate || Mean <= 0)
    return Slots;
  return std::clamp(*Rate * Mean, MinUsableSlots, Slots);
}

void placer::updateCapacities() {
  MeanService.resize(std::max(MeanService.size(), ByService.size()));
  Capacities.assign(ByService.size(), {});
  for (std::size_t Service = 0; Service < ByService.size(); ++Service)
    for (const target_handle Handle : ByService[Service]) {
      const target_state &State = Targets[Handle.Index];
      service_capacity &Capacity = Capacities[Service];
      Capacity.Regions.insert(State.Info.Region);
      if (!State.Info.Open)
        continue;
      (State.Info.Distance == target_distance::Remote ? Capacity.RemoteSlots
                                                      : Capacity.LocalSlots) +=
          usableSlots(State);
      if (State.Info.Distance == target_distance::DataCentre)
        Capacity.DataCentreSlots += usableSlots(State);
      Capacity.RegionSlots[State.Info.Region % MaxRegions] +=
          usableSlots(State);
    }
  for (std::optional<service_spill> &Spill : Spills)
    if (Spill)
      ++Spill->Revision;
}

void placer::updatePermitRequests() {
  if (Permits == nullptr)
    return;
  std::vector<target_handle> Changed = std::exchange(AwaitedPermits, {});
  for (const target_handle Target : Changed)
    Targets[Target.Index].AwaitingPermit = 0;
  for (const waiting_request &Row : Waiting)
    if (Row.Wait.ForPermit &&
        Targets[Row.Wait.Target.Index].AwaitingPermit++ == 0)
      AwaitedPermits.push_back(Row.Wait.Target);
  Changed.insert(Changed.end(), AwaitedPermits.begin(), AwaitedPermits.end());
  for (const target_handle Target : Changed)
    Permits->setWaiting(Target, Targets[Target.Index].AwaitingPermit);
}

} // namespace magnoliaspread
