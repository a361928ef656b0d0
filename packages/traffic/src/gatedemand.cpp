/// The gate's part in placement by the demand of the regions.
#include "gate_p.h"

#include <algorithm>
#include <cmath>

namespace magnoliaspread {

demand_list gate::demand() const {
  demand_list Rows;
  if (State->Settings.MaxRegionShift <= 0 || State->Routes == nullptr) {
    State->addClaims(Rows);
    return Rows;
  }
  const steady_time Now = State->Clock.now();
  for (const routed_service &Service : State->Routes->table().Services) {
    const double Slots =
        State->Placer.demand(State->Services.find(Service.Name), Now);
    const auto Units =
        static_cast<std::uint32_t>(std::lround(Slots * DemandUnitsPerSlot));
    if (Units > 0)
      addDemand(Rows, {{demandId(Service.Name), Units}});
  }
  State->addClaims(Rows);
  return Rows;
}

void gate::setDemand(const std::vector<region_demand> &Regions) {
  State->updateShares(Regions);
  if (State->Settings.MaxRegionShift <= 0 || State->Routes == nullptr)
    return;
  const steady_time Now = State->Clock.now();
  const std::size_t Own = State->RegionNumbers[State->Settings.Region];
  for (const routed_service &Service : State->Routes->table().Services) {
    const service_handle Handle = State->Services.find(Service.Name);
    if (!Handle.valid())
      continue;
    std::vector<std::optional<double>> Demand(State->RegionNumbers.size());
    for (const region_demand &Row : Regions)
      if (const auto Number = State->RegionNumbers.find(Row.Region);
          Number != State->RegionNumbers.end())
        Demand[Number->second] = demandOf(Row.Services, demandId(Service.Name));
    State->Placer.updateSpill(Handle, Demand, Now);
    const spill_plan *Plan = State->Placer.spill(Handle);
    if (Plan == nullptr || !Plan->parts())
      continue;
    const region_slots Slots = State->Placer.slotsIn(Handle, Own, Now);
    State->SpillLog.update(Service.Name,
                           {(*Plan->parts())[Own], Plan->wanted()[Own],
                            Demand[Own].value_or(0), Slots.Usable, Slots.Lost},
                           Now);
  }
}

double gate::state::spilledPart() const {
  const auto Own = RegionNumbers.find(Settings.Region);
  double Most = 0;
  if (Routes == nullptr || Own == RegionNumbers.end())
    return Most;
  for (const routed_service &Service : Routes->table().Services) {
    const spill_plan *Plan = Placer.spill(Services.find(Service.Name));
    if (Plan != nullptr && Plan->parts())
      Most = std::max(Most, 1 - (*Plan->parts())[Own->second]);
  }
  return Most;
}

} // namespace magnoliaspread
