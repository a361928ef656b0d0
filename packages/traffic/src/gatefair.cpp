/// The gate's part in the division of slots between workspaces.
#include "gate_p.h"

#include <magnoliaspread/log.h>

#include <algorithm>
#include <cmath>

namespace magnoliaspread {

namespace {

/// Shortest time between log lines on one workspace and service, and the
/// largest number of lines from one update.
constexpr std::chrono::seconds MinLogGap{2};
constexpr std::size_t MaxLogLines = 8;

std::uint16_t claimId(const std::string &Service,
                      const std::string &Workspace) {
  return demandId(Service + "\n" + Workspace);
}

/// Inverse of workspaceIndex().
workspace_handle workspaceAt(std::uint32_t Index) {
  return handleAt<workspace_handle>(Index - 1);
}

} // namespace

bool gate::state::sharesFairly() const {
  return Settings.FairShare.Enabled && Routes != nullptr &&
         !Routes->table().Workspaces.empty();
}

std::uint32_t gate::state::workspaceIndex(const routed_workspace *Workspace) {
  if (Workspace == nullptr || !sharesFairly())
    return 0;
  const workspace_handle Handle = Workspaces.intern(Workspace->Name);
  return Handle.valid() ? Handle.Index + 1U : 0;
}

/// The largest demands of this instance's callers by workspace.
void gate::state::addClaims(demand_list &Rows) const {
  if (!sharesFairly())
    return;
  demand_list Claims;
  for (const workspace_use &Use : Placer.queue().shares().uses(Clock.now())) {
    const auto Units = static_cast<std::uint32_t>(
        std::lround(Use.Demand * DemandUnitsPerSlot));
    if (Use.Workspace > 0 && Units > 0)
      Claims.push_back({claimId(Services.name(Use.Service),
                                Workspaces.name(workspaceAt(Use.Workspace))),
                        Units});
  }
  std::sort(Claims.begin(), Claims.end(),
            [](const service_demand &A, const service_demand &B) {
              return A.Units > B.Units;
            });
  // The summary has room for MaxDemandServices rows; the largest claims get
  // those that the services leave.
  addDemand(Rows, Claims);
}

/// Updates the shares from what all regions ask.
void gate::state::updateShares(const std::vector<region_demand> &Regions) {
  if (!sharesFairly())
    return;
  const steady_time Now = Clock.now();
  for (const routed_service &Service : Routes->table().Services) {
    const service_handle Handle = Services.find(Service.Name);
    if (!Handle.valid())
      continue;
    std::vector<workspace_claim> Claims;
    for (const routed_workspace &Workspace : Routes->table().Workspaces) {
      workspace_claim Claim{workspaceIndex(&Workspace), 0,
                            workspaceWeight(Workspace.Priority)};
      const std::uint16_t Id = claimId(Service.Name, Workspace.Name);
      for (const region_demand &Row : Regions)
        Claim.Slots += demandOf(Row.Services, Id);
      if (Claim.Workspace > 0 && Claim.Slots > 0)
        Claims.push_back(Claim);
    }
    double Slots = 0;
    for (std::size_t Region = 0; Region < RegionNumbers.size(); ++Region)
      Slots += Placer.slotsIn(Handle, Region, Now).Usable;
    Placer.updateShares(Handle, Claims, Slots, Now);
  }
  logShares(Now);
}

void gate::state::logShares(steady_time Now) {
  std::size_t Lines = 0;
  HeldWorkspaces = 0;
  for (const workspace_use &Use : Placer.queue().shares().uses(Now)) {
    const bool Held = Use.Share.has_value();
    HeldWorkspaces += Held ? 1 : 0;
    if (Use.Workspace == 0)
      continue;
    share_log_entry &Entry = ShareLog[{Use.Service.Index, Use.Workspace}];
    if (Held == Entry.Held || Now - Entry.At < MinLogGap ||
        ++Lines > MaxLogLines)
      continue;
    logEvent(log_level::Info, Held ? "share_held" : "share_released",
             {{"service", Services.name(Use.Service)},
              {"workspace", Workspaces.name(workspaceAt(Use.Workspace))},
              {"demand_slots", Use.Demand},
              {"share_slots", Use.Share.value_or(0)},
              {"refused", Use.Refused - Entry.Refused}});
    Entry = {Held, Now, Use.Refused};
  }
}

} // namespace magnoliaspread
