#include <magnoliaspread/region.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace magnoliaspread {

using std::chrono::duration;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds MinRetryAfter{100};
constexpr milliseconds MaxRetryAfter{60000};
/// Weight of a new sample in the mean time between decisions.
constexpr double GapSampleWeight = 1.0 / 32;
/// Assumed time between decisions until it is measured, in seconds.
constexpr double InitialGap = 0.01;

using weight_rows = std::vector<weight_row>;

/// The most specific rows that apply to a service and workspace, in the order:
/// both named, any workspace, any service, both any.
weight_rows rowsFor(const weight_rows &Rows, std::string_view Service,
                    std::string_view Workspace) {
  const std::array<std::string_view, 2> Services{Service, AnyName};
  const std::array<std::string_view, 2> Workspaces{Workspace, AnyName};
  for (const std::string_view S : Services) {
    for (const std::string_view W : Workspaces) {
      weight_rows Found;
      for (const weight_row &Row : Rows)
        if (Row.Service == S && Row.Workspace == W)
          Found.push_back(Row);
      if (!Found.empty())
        return Found;
    }
  }
  return {};
}

region_shares sharesOf(const weight_rows &Rows, const steering_names &Names,
                       region_handle Own) {
  region_shares Shares;
  for (const weight_row &Row : Rows) {
    const auto Region = handleOf<region_handle>(Names.Regions, Row.Region);
    if (Region.valid())
      Shares.Share[Region.Index] += Row.Weight;
  }
  Shares = normalized(Shares);
  if (Rows.empty())
    Shares.Share[Own.Index] = 1;
  return Shares;
}

weight_set makeSet(const weight_rows &Former, const weight_rows &Wanted,
                   const steering_names &Names, region_handle Own) {
  weight_set Set;
  Set.Former = sharesOf(Former, Names, Own);
  Set.Wanted = sharesOf(Wanted, Names, Own);
  for (const weight_row &Row : Wanted) {
    const auto Region = handleOf<region_handle>(Names.Regions, Row.Region);
    if (Region.valid())
      Set.Limits[Region.Index] = Row.Limit;
  }
  for (std::size_t I = 0; I < Names.Regions.size(); ++I)
    Set.Candidates[I] = Wanted.empty() || Set.Wanted.Share[I] > 0;
  return Set;
}

/// Whether the sets are equal. With \p SameRows, both have the same wanted rows
/// and therefore the same limits and candidates.
bool sameSet(const weight_set &A, const weight_set &B, bool SameRows) {
  return SameRows && A.Former.Share == B.Former.Share &&
         A.Wanted.Share == B.Wanted.Share;
}

/// Whether the rows apply to any workspace; these share one set.
bool sharedRows(const weight_rows &Rows) {
  return Rows.empty() || Rows.front().Workspace == AnyName;
}

void addService(region_plan &Plan, const config_table &Table,
                const steering_names &Names, std::string_view Service) {
  const weight_rows &Former = Table.Origin.From;
  // A table without edits has no former weights.
  const bool Edited = Table.Origin.StartedAtMs != 0;
  const auto MakeFor = [&](std::string_view Workspace) {
    const weight_rows New = rowsFor(Table.Weights, Service, Workspace);
    const weight_rows Old = Edited ? rowsFor(Former, Service, Workspace) : New;
    return makeSet(Old, New, Names, Plan.Own);
  };
  const auto Shared = static_cast<std::uint16_t>(Plan.Sets.size());
  Plan.Sets.push_back(MakeFor(AnyName));
  for (const std::string &Workspace : Names.Workspaces) {
    const weight_set Set = MakeFor(Workspace);
    const bool SameRows =
        sharedRows(rowsFor(Table.Weights, Service, Workspace));
    if (sameSet(Plan.Sets[Shared], Set, SameRows)) {
      Plan.SetOf.push_back(Shared);
      continue;
    }
    Plan.SetOf.push_back(static_cast<std::uint16_t>(Plan.Sets.size()));
    Plan.Sets.push_back(Set);
  }
  Plan.SetOf.push_back(Shared);
}

shift_row shiftFor(const std::vector<shift_row> &Rows,
                   std::string_view Service) {
  for (const shift_row &Row : Rows)
    if (Row.Service == Service)
      return Row;
  for (const shift_row &Row : Rows)
    if (Row.Service == AnyName)
      return Row;
  return {};
}

void addDataCentres(region_plan &Plan, const config_table &Table,
                    const steering_names &Names) {
  Plan.RegionOfDataCentre.resize(Names.DataCentres.size());
  Plan.DataCentreActive.resize(Names.DataCentres.size(), false);
  region_mask Served;
  for (const data_centre_row &Row : Table.DataCentres) {
    const auto DataCentre =
        handleOf<data_centre_handle>(Names.DataCentres, Row.Name);
    const auto Region = handleOf<region_handle>(Names.Regions, Row.Region);
    if (!DataCentre.valid() || !Region.valid())
      continue;
    const bool Active = Row.State == drain_state::Active;
    Plan.RegionOfDataCentre[DataCentre.Index] = Region;
    Plan.DataCentreActive[DataCentre.Index] = Active;
    if (Active)
      Served.set(Region.Index);
  }
  for (const region_row &Row : Table.Regions) {
    const auto Region = handleOf<region_handle>(Names.Regions, Row.Name);
    if (Region.valid() && Row.State == drain_state::Active)
      Plan.Active.set(Region.Index, Served[Region.Index]);
  }
}

template <class Rows> std::vector<std::string> sortedNames(const Rows &Table) {
  std::vector<std::string> Names;
  Names.reserve(Table.size());
  for (const auto &Row : Table)
    Names.push_back(Row.Name);
  std::sort(Names.begin(), Names.end());
  Names.erase(std::unique(Names.begin(), Names.end()), Names.end());
  return Names;
}

void updateMeanGap(region_state &State, service_handle Service,
                   steady_time Now) {
  const double Gap =
      duration<double>(Now - State.LastAt[Service.Index]).count();
  double &Mean = State.MeanGap[Service.Index];
  if (State.LastAt[Service.Index] != steady_time{})
    Mean += (std::clamp(Gap, 0.0, 10.0) - Mean) * GapSampleWeight;
  State.LastAt[Service.Index] = Now;
}

error shiftCapped(const region_plan &Plan, const region_state &State,
                  service_handle Service) {
  const double Decisions = decisionsUntilMove(State.Budgets[Service.Index],
                                              Plan.Shifts[Service.Index]);
  const double Seconds =
      std::min(Decisions * State.MeanGap[Service.Index], 3600.0);
  const auto Time = duration_cast<milliseconds>(duration<double>(Seconds));
  return {error_kind::ShiftCapped, "the traffic shift is at its cap",
          std::clamp(Time, MinRetryAfter, MaxRetryAfter)};
}

/// A usable region other than \p Former, drawn by wanted share. If none of them
/// has a share: the own region, or one drawn evenly.
std::size_t alternative(const region_plan &Plan, const weight_set &Set,
                        region_mask Usable, std::size_t Former, double Draw) {
  Usable.reset(Former);
  double Sum = 0;
  for (std::size_t I = 0; I < Plan.Regions; ++I)
    Sum += Usable[I] ? Set.Wanted.Share[I] : 0;
  if (Sum <= 0 && Usable[Plan.Own.Index])
    return Plan.Own.Index;
  double Point = Draw * (Sum > 0 ? Sum : static_cast<double>(Usable.count()));
  std::size_t Last = MaxRegions;
  for (std::size_t I = 0; I < Plan.Regions; ++I) {
    if (!Usable[I])
      continue;
    Last = I;
    Point -= Sum > 0 ? Set.Wanted.Share[I] : 1;
    if (Point < 0)
      return I;
  }
  return Last;
}

region_handle regionAt(std::size_t Index) {
  return {static_cast<std::uint16_t>(Index)};
}

/// Regions that the former weights, the wanted weights or a failover may
/// choose.
region_mask servingRegions(const weight_set &Set) {
  region_mask Regions = Set.Candidates;
  for (std::size_t I = 0; I < MaxRegions; ++I)
    if (Set.Former.Share[I] > 0)
      Regions.set(I);
  return Regions;
}

error noRegion() {
  return {error_kind::NoCapacity, "no region can take the request", {}};
}

double fraction(double Value) { return Value - std::floor(Value); }

} // namespace

steering_names namesOf(const config_table &Table) {
  return {sortedNames(Table.Regions), sortedNames(Table.DataCentres),
          sortedNames(Table.Services), sortedNames(Table.Workspaces)};
}

result<region_plan> makePlan(const config_table &Table,
                             const steering_names &Names,
                             std::string_view Own) {
  if (Names.Regions.size() > MaxRegions ||
      Names.DataCentres.size() > MaxDataCentres ||
      Names.Services.size() > MaxServices ||
      Names.Workspaces.size() > MaxWorkspaces)
    return error{error_kind::BadTable, "more rows than the capacity", {}};
  region_plan Plan;
  Plan.Own = handleOf<region_handle>(Names.Regions, Own);
  if (!Plan.Own.valid())
    return error{error_kind::BadTable,
                 "own region \"" + std::string(Own) + "\" has no row",
                 {}};
  Plan.Regions = Names.Regions.size();
  Plan.Workspaces = Names.Workspaces.size();
  addDataCentres(Plan, Table, Names);
  for (const std::string &Service : Names.Services) {
    addService(Plan, Table, Names, Service);
    Plan.Shifts.push_back(shiftFor(Table.Shifts, Service));
  }
  if (Plan.Sets.size() > std::numeric_limits<std::uint16_t>::max())
    return error{error_kind::BadTable, "too many weight rows", {}};
  Plan.EditedAt = wall_time(milliseconds(Table.Origin.StartedAtMs));
  return Plan;
}

std::uint16_t weightSetOf(const region_plan &Plan, service_handle Service,
                          workspace_handle Workspace) {
  const std::size_t WorkspaceIndex =
      std::min<std::size_t>(Workspace.Index, Plan.Workspaces);
  return Plan.SetOf[Service.Index * (Plan.Workspaces + 1) + WorkspaceIndex];
}

void adoptPlan(region_state &State, const region_plan &Plan,
               const steering_names &Former, const steering_names &Names) {
  const std::size_t Count = Names.Services.size();
  std::vector<shift_budget> Budgets(Count);
  std::vector<double> MeanGap(Count, InitialGap);
  std::vector<steady_time> LastAt(Count);
  for (std::size_t I = 0; I < Count; ++I) {
    const auto Old =
        handleOf<service_handle>(Former.Services, Names.Services[I]);
    if (Old.Index >= State.Budgets.size())
      continue;
    Budgets[I] = State.Budgets[Old.Index];
    MeanGap[I] = State.MeanGap[Old.Index];
    LastAt[I] = State.LastAt[Old.Index];
  }
  State.Budgets = Budgets;
  State.MeanGap = MeanGap;
  State.LastAt = LastAt;
  State.Draws.resize(Plan.Sets.size());
}

result<region_decision> chooseRegion(const region_plan &Plan,
                                     region_state &State,
                                     const region_request &Request,
                                     steady_time Now, wall_time PlatformNow) {
  const service_handle Service = Request.Service;
  if (Service.Index >= Plan.Shifts.size())
    return error{error_kind::NoCapacity, "unknown service", {}};
  State.PlatformNow = std::max(State.PlatformNow, PlatformNow);
  const std::uint16_t SetIndex = weightSetOf(Plan, Service, Request.Workspace);
  const weight_set &Set = Plan.Sets[SetIndex];
  const region_mask Usable = Request.Available & Plan.Active;
  if ((Usable & servingRegions(Set)).none())
    return noRegion();
  updateMeanGap(State, Service, Now);
  const shift_row &Shift = Plan.Shifts[Service.Index];
  shift_budget &Budget = State.Budgets[Service.Index];
  if (!Request.Repeated)
    countDecision(Budget, Shift);
  const auto SinceEdit =
      duration_cast<milliseconds>(State.PlatformNow - Plan.EditedAt);
  const double Draw = draw(State.Draws[SetIndex]);
  const coupled_choice Choice = chooseCoupled(
      Set.Former, sharesInForce(Set.Former, Set.Wanted, Shift, SinceEdit),
      Draw);
  const region_handle Former = regionAt(Choice.Former);
  if (Choice.InForce != Choice.Former && Usable[Choice.InForce] &&
      tryMove(Budget, move_cause::Weights))
    return region_decision{regionAt(Choice.InForce), Former, true};
  if (Usable[Choice.Former])
    return region_decision{Former, Former, false};
  // The lower bits of the draw serve as a second draw.
  const std::size_t Other = alternative(Plan, Set, Usable & Set.Candidates,
                                        Choice.Former, fraction(Draw * 4096));
  if (Other >= Plan.Regions)
    return noRegion();
  if (tryMove(Budget, move_cause::Forced))
    return region_decision{regionAt(Other), Former, true};
  return shiftCapped(Plan, State, Service);
}

std::vector<weight_row> weightsInForce(const config_table &Table,
                                       wall_time PlatformNow) {
  if (Table.Origin.StartedAtMs == 0)
    return Table.Weights;
  const wall_time EditedAt{milliseconds(Table.Origin.StartedAtMs)};
  const auto SinceEdit = duration_cast<milliseconds>(PlatformNow - EditedAt);
  const steering_names Names = namesOf(Table);
  std::vector<weight_row> Rows;
  for (const weight_row &Row : Table.Weights) {
    const weight_rows Old =
        rowsFor(Table.Origin.From, Row.Service, Row.Workspace);
    const weight_rows New = rowsFor(Table.Weights, Row.Service, Row.Workspace);
    // Handle all rows of a service and workspace at the first of them.
    const bool First = New.front().Region == Row.Region;
    if (!First)
      continue;
    const shift_row Shift = shiftFor(Table.Shifts, Row.Service);
    // Without former rows, each instance used its own region.
    if (Old.empty() && allowedPart(Shift, SinceEdit) < 1)
      continue;
    if (Old.empty()) {
      Rows.insert(Rows.end(), New.begin(), New.end());
      continue;
    }
    const region_shares Shares = sharesInForce(
        sharesOf(Old, Names, {0}), sharesOf(New, Names, {0}), Shift, SinceEdit);
    for (std::size_t I = 0; I < Names.Regions.size(); ++I)
      if (Shares.Share[I] > 0)
        Rows.push_back(
            {Names.Regions[I], Row.Service, Row.Workspace, Shares.Share[I], 0});
  }
  return Rows;
}

std::vector<instance_handle> peersIn(const region_plan &Plan,
                                     const std::vector<steering_peer> &Peers,
                                     region_handle Region) {
  std::vector<instance_handle> Found;
  for (const steering_peer &Peer : Peers) {
    const std::size_t DataCentre = Peer.DataCentre.Index;
    if (Peer.Leaving || DataCentre >= Plan.RegionOfDataCentre.size())
      continue;
    if (Plan.DataCentreActive[DataCentre] &&
        Plan.RegionOfDataCentre[DataCentre] == Region)
      Found.push_back(Peer.Instance);
  }
  return Found;
}

} // namespace magnoliaspread
