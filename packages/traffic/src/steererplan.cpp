#include "steerer_p.h"

#include <magnoliaspread/log.h>

namespace magnoliaspread {

/// Builds the steering plan of a new configuration.
void steerer::rebuildPlan() {
  steering_names Names = namesOf(Config->Table);
  result<region_plan> Fresh = makePlan(Config->Table, Names, Settings.Region);
  if (failed(Fresh)) {
    logEvent(log_level::Error, "plan_refused",
             {{"detail", errorOf(Fresh).Detail}});
    return;
  }
  adoptPlan(Regions, valueOf(Fresh), PlanNames, Names);
  Plan = std::move(valueOf(Fresh));
  PlanNames = std::move(Names);
  for (const service_row &Row : Config->Table.Services) {
    const service_handle Service = ServiceNames.intern(Row.Name);
    if (!Service.valid())
      continue;
    if (Services.size() <= Service.Index)
      Services.resize(Service.Index + 1U);
    service_state &State = Services[Service.Index];
    State.Name = Row.Name;
    State.Planned = handleOf<service_handle>(PlanNames.Services, Row.Name);
    State.Serving = servingRegions(Row.Name);
    if (State.Lanes.size() < MaxRegions)
      State.Lanes.resize(MaxRegions);
  }
}

/// Regions with a target of the service that takes new work.
region_mask steerer::servingRegions(const std::string &Service) const {
  region_mask Serving;
  for (const target_row &Row : Config->Table.Targets) {
    const auto Centre =
        handleOf<data_centre_handle>(PlanNames.DataCentres, Row.DataCentre);
    if (Row.Service == Service && Row.State == drain_state::Active &&
        Centre.valid() && Plan.DataCentreActive[Centre.Index])
      Serving.set(Plan.RegionOfDataCentre[Centre.Index].Index);
  }
  return Serving;
}

void steerer::updateWeights() {
  for (const workspace_row &Row : Config->Table.Workspaces) {
    const workspace_handle Workspace = WorkspaceNames.intern(Row.Name);
    if (!Workspace.valid())
      continue;
    for (service_state &Service : Services)
      for (const auto &Lane : Service.Lanes)
        if (Lane != nullptr)
          setWeight(Lane->queue(), Workspace, Row.Weight);
    for (service_state &Service : Services)
      if (Service.Forwarded != nullptr)
        setWeight(Service.Forwarded->queue(), Workspace, Row.Weight);
  }
}

/// Whether a data centre and its region take work; true for one that is not in
/// the table.
bool steerer::isActive(std::string_view DataCentre) const {
  const auto Place =
      handleOf<data_centre_handle>(PlanNames.DataCentres, DataCentre);
  if (!Place.valid())
    return true;
  const region_handle Region = Plan.RegionOfDataCentre[Place.Index];
  return Plan.DataCentreActive[Place.Index] && Region.valid() &&
         Plan.Active[Region.Index];
}

void steerer::updateTargets() {
  const steady_time Now = Clock.now();
  std::vector<bool> Named(MaxTargets, false);
  for (std::size_t I = 0; I < Config->Table.Targets.size(); ++I) {
    const target_row &Row = Config->Table.Targets[I];
    if (Row.DataCentre != Settings.DataCentre)
      continue;
    const target_handle Target = TargetNames.intern(Row.Name);
    if (!Target.valid())
      continue;
    Named[Target.Index] = true;
    TargetRows[Target.Index] = Row;
    // Draining a data centre drains its targets.
    const drain_state Drain =
        isActive(Row.DataCentre) ? Row.State : drain_state::Draining;
    const target_info Info{ServiceNames.find(Row.Service), Row.Slots, Drain};
    setTarget(Targets, Target, Info, Now);
    setOwned(Targets, Target, I < View->Owned.size() && View->Owned[I], Now);
  }
  for (std::size_t I = 0; I < Targets.Rows.size(); ++I)
    if (Targets.Rows[I].Present && !Named[I])
      removeTarget(Targets, handleAt<target_handle>(I));
}

void steerer::updatePeers() {
  for (peer_state &Peer : Peers)
    Peer.Present = false;
  for (const instance_view &Row : View->Peers) {
    const instance_handle Handle = PeerNames.intern(Row.Name);
    if (!Handle.valid())
      continue;
    peer_state &Peer = Peers[Handle.Index];
    Peer.View = Row;
    Peer.Region = handleOf<region_handle>(PlanNames.Regions, Row.Region);
    Peer.Present = Peer.Region.valid() && isActive(Row.DataCentre);
  }
}

} // namespace magnoliaspread
