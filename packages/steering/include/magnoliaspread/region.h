/// Choice of a region for each request: weights by service and workspace,
/// drains, lost regions and the shift cap.
///
/// Only the instance that a caller reached decides; one that admits a
/// forwarded request doesn't decide again. Not thread-safe.
#ifndef MAGNOLIASPREAD_REGION_H
#define MAGNOLIASPREAD_REGION_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/config.h>
#include <magnoliaspread/error.h>
#include <magnoliaspread/handle.h>
#include <magnoliaspread/shift.h>
#include <magnoliaspread/table.h>

#include <array>
#include <bitset>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace magnoliaspread {

/// Names behind handles: the handle's index is the place in the list.
struct steering_names {
  std::vector<std::string> Regions;
  std::vector<std::string> DataCentres;
  std::vector<std::string> Services;
  std::vector<std::string> Workspaces;
};

/// The names of a table in sorted order, the same on every instance.
steering_names namesOf(const config_table &Table);

/// The handle of \p Name in a sorted list of names; invalid when absent.
template <class Handle>
Handle handleOf(const std::vector<std::string> &Names, std::string_view Name);

using region_mask = std::bitset<MaxRegions>;

/// Weights of one service and workspace, or of all that share the same rows.
struct weight_set {
  region_shares Former;
  region_shares Wanted;
  /// Largest number of requests in flight by region; 0 is no limit.
  std::array<std::uint32_t, MaxRegions> Limits{};
  /// Regions that may take the traffic when the wanted one can't.
  region_mask Candidates;
};

/// The part of the configuration that region choice needs, made anew for each
/// accepted version.
struct region_plan {
  region_handle Own;
  std::size_t Regions = 0;
  std::size_t Workspaces = 0;
  region_mask Active;
  std::vector<region_handle> RegionOfDataCentre;
  std::vector<bool> DataCentreActive;
  std::vector<weight_set> Sets;
  /// Index into Sets by service, then workspace; the last workspace place is
  /// for requests without one.
  std::vector<std::uint16_t> SetOf;
  /// By service.
  std::vector<shift_row> Shifts;
  wall_time EditedAt;
};

/// Builds the plan for an instance in region \p Own. BadTable when a table
/// passes its capacity or \p Own is unknown.
result<region_plan> makePlan(const config_table &Table,
                             const steering_names &Names, std::string_view Own);

/// Index into Plan.Sets of the rows that apply; an invalid workspace stands
/// for requests without one.
std::uint16_t weightSetOf(const region_plan &Plan, service_handle Service,
                          workspace_handle Workspace);

/// What an instance remembers between decisions; outlives plans.
struct region_state {
  /// By service.
  std::vector<shift_budget> Budgets;
  /// By weight set.
  std::vector<even_draw> Draws;
  /// Mean time between decisions of each service, in seconds.
  std::vector<double> MeanGap;
  std::vector<steady_time> LastAt;
  /// Latest lower bound on the platform time.
  wall_time PlatformNow;
};

/// Fits the state to a new plan. Budgets carry over by service index; pass
/// \p Former and \p Names so that they follow their names.
void adoptPlan(region_state &State, const region_plan &Plan,
               const steering_names &Former, const steering_names &Names);

struct region_request {
  service_handle Service;
  workspace_handle Workspace;
  /// Regions that can take a request now: a free slot here or a credit there.
  region_mask Available;
  /// A further attempt for a request that was counted: it may take a move from
  /// the shift budget but adds nothing to it.
  bool Repeated = false;
};

struct region_decision {
  region_handle Region;
  /// Where the former weights put the request.
  region_handle Former;
  bool Moved = false;
};

/// Chooses a region and counts the decision, unless no region at all can take
/// the request, which may then wait and be tried again. \p PlatformNow is a
/// lower bound on the platform's time. Errors, all not run: NoCapacity when no
/// region can take the request, ShiftCapped with a time to come back when only
/// a region that the cap closes could.
result<region_decision> chooseRegion(const region_plan &Plan,
                                     region_state &State,
                                     const region_request &Request,
                                     steady_time Now, wall_time PlatformNow);

/// Weights in force now as rows, for shift_origin::From of the next edit. A
/// service that had no rows before an edit whose ramp still runs has none in
/// the result either: its in-force shares differ from region to region.
std::vector<weight_row> weightsInForce(const config_table &Table,
                                       wall_time PlatformNow);

/// A live instance as a place to forward to.
struct steering_peer {
  instance_handle Instance;
  data_centre_handle DataCentre;
  bool Leaving = false;
};

/// Peers in active data centres of a region that aren't leaving.
std::vector<instance_handle> peersIn(const region_plan &Plan,
                                     const std::vector<steering_peer> &Peers,
                                     region_handle Region);

template <class Handle>
Handle handleOf(const std::vector<std::string> &Names, std::string_view Name) {
  std::size_t Low = 0;
  std::size_t High = Names.size();
  while (Low < High) {
    const std::size_t Middle = (Low + High) / 2;
    if (Names[Middle].compare(Name) < 0)
      Low = Middle + 1;
    else
      High = Middle;
  }
  if (Low == Names.size() || Names[Low].compare(Name) != 0)
    return {};
  return {static_cast<std::uint16_t>(Low)};
}

} // namespace magnoliaspread

#endif
