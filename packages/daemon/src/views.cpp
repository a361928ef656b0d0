#include "views_p.h"

#include <magnoliaspread/ownership.h>

#include <algorithm>

namespace magnoliaspread {

namespace {

instance_view viewOf(const member_identity &Identity) {
  return {Identity.Name, Identity.DataCentre, Identity.Region, Identity.Public,
          Identity.Internal};
}

bool isDrained(const config_table &Table, const data_centre_row &Row) {
  if (Row.State == drain_state::Draining)
    return true;
  return std::any_of(Table.Regions.begin(), Table.Regions.end(),
                     [&](const region_row &Region) {
                       return Region.Name == Row.Region &&
                              Region.State == drain_state::Draining;
                     });
}

int distance(const member_identity &Self, const data_centre_row &Row) {
  if (Row.Name == Self.DataCentre)
    return 0;
  return Row.Region == Self.Region ? 1 : 2;
}

} // namespace

std::vector<instance_view> lookupOrder(const membership &Members,
                                       const config_table &Table,
                                       steady_time Now) {
  const member_identity Self = Members.self().Identity;
  std::vector<data_centre_row> Centres;
  for (const data_centre_row &Row : Table.DataCentres)
    if (!isDrained(Table, Row))
      Centres.push_back(Row);
  std::stable_sort(Centres.begin(), Centres.end(),
                   [&](const data_centre_row &A, const data_centre_row &B) {
                     return distance(Self, A) < distance(Self, B);
                   });
  std::vector<instance_view> Order;
  for (const data_centre_row &Row : Centres)
    for (const member_row &Member : Members.lookupInstances(Now, Row.Name))
      Order.push_back(viewOf(Member.Identity));
  return Order;
}

std::vector<instance_view> peersOf(const membership &Members,
                                   const config_table &Table, steady_time Now) {
  const std::string Self = Members.self().Identity.Name;
  std::vector<instance_view> Peers = lookupOrder(Members, Table, Now);
  std::erase_if(Peers,
                [&](const instance_view &Row) { return Row.Name == Self; });
  return Peers;
}

std::vector<bool> ownedTargets(const membership &Members,
                               const config_table &Table, steady_time Now) {
  const member_identity Self = Members.self().Identity;
  std::vector<std::uint64_t> InstanceIds;
  std::size_t SelfIndex = NoOwner;
  for (const member_row &Row : Members.lookupInstances(Now, Self.DataCentre)) {
    if (Row.Identity.Name == Self.Name)
      SelfIndex = InstanceIds.size();
    InstanceIds.push_back(stableId(Row.Identity.Name));
  }
  // The last instance keeps its targets while it leaves: no other can own them.
  if (InstanceIds.empty()) {
    SelfIndex = 0;
    InstanceIds.push_back(stableId(Self.Name));
  }
  std::vector<ownership_target> Targets;
  std::vector<std::size_t> Rows;
  for (std::size_t I = 0; I < Table.Targets.size(); ++I) {
    if (Table.Targets[I].DataCentre != Self.DataCentre)
      continue;
    Targets.push_back(
        {stableId(Table.Targets[I].Name), stableId(Table.Targets[I].Service)});
    Rows.push_back(I);
  }
  const std::vector<std::size_t> Owners = ownership(Targets, InstanceIds);
  std::vector<bool> Owned(Table.Targets.size(), false);
  for (std::size_t I = 0; I < Rows.size(); ++I)
    Owned[Rows[I]] = SelfIndex != NoOwner && Owners[I] == SelfIndex;
  return Owned;
}

} // namespace magnoliaspread
