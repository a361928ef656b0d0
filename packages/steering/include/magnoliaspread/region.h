/// Choice of a region for each request, by weights for service and workspace,
/// drain states, available regions and the shift cap.
///
/// Only the instance that the caller reached chooses; an instance that admits
/// a forwarded request doesn't choose again. Not thread-safe.
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

/// Names by handle index.
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

/// Weights of a service and workspace, shared by all to which the same weight
/// rows apply.
struct weight_set {
  region_shares Former;
  region_shares Wanted;
  /// Largest number of requests in flight by region; 0 is no limit.
  std::array<std::uint32_t, MaxRegions> Limits{};
  /// Regions that may take over the traffic of an unavailable region.
  region_mask Candidates;
};

/// The configuration that region choice needs; rebuilt for each accepted
/// version.
struct region_plan {
  region_handle Own;
  std::size_t Regions = 0;
  std::size_t Workspaces = 0;
  region_mask Active;
  std::vector<region_handle> RegionOfDataCentre;
  std::vector<bool> DataCentreActive;
  std::vector<weight_set> Sets;
  /// Index into Sets by service, then workspace; the last entry of a service
  /// is for requests without a workspace.
  std::vector<std::uint16_t> SetOf;
  /// By service.
  std::vector<shift_row> Shifts;
  wall_time EditedAt;
};

/// Builds the plan for an instance in region \p Own. BadTable when a table
/// exceeds its capacity or \p Own is unknown.
result<region_plan> makePlan(const config_table &Table,
                             const steering_names &Names, std::string_view Own);

/// Index into Plan.Sets of the weights that apply; an invalid workspace means
/// a request without one.
std::uint16_t weightSetOf(const region_plan &Plan, service_handle Service,
                          workspace_handle Workspace);

/// State of an instance between decisions; outlives plans.
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

/// Adapts the state to a new plan. Budgets and rates carry over by service
/// name; \p Former has the names of the previous plan, \p Names those of the
/// new one.
void adoptPlan(region_state &State, const region_plan &Plan,
               const steering_names &Former, const steering_names &Names);

struct region_request {
  service_handle Service;
  workspace_handle Workspace;
  /// Regions that can take a request now: with a free slot in the own region,
  /// or a credit in another one.
  region_mask Available;
  /// A further attempt of a counted request: it may use a move of the shift
  /// budget but adds nothing to it.
  bool Repeated = false;
};

struct region_decision {
  region_handle Region;
  /// Region by the former weights.
  region_handle Former;
  bool Moved = false;
};

/// Chooses a region and counts the decision, unless no region at all can take
/// the request; the caller may then queue and retry it. \p PlatformNow is a
/// lower bound on the platform's time. Errors, all not run: NoCapacity when no
/// region can take the request, ShiftCapped with a retry time when only regions
/// closed by the cap can.
result<region_decision> chooseRegion(const region_plan &Plan,
                                     region_state &State,
                                     const region_request &Request,
                                     steady_time Now, wall_time PlatformNow);

/// Weights in force now as rows, for shift_origin::From of the next edit. A
/// service that had no rows before an edit whose ramp is still running has none
/// in the result either: its shares in force differ between regions.
std::vector<weight_row> weightsInForce(const config_table &Table,
                                       wall_time PlatformNow);

/// A live instance to which requests can be forwarded.
struct steering_peer {
  instance_handle Instance;
  data_centre_handle DataCentre;
  bool Leaving = false;
};

/// Peers in active data centres of a region that aren't shutting down.
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
