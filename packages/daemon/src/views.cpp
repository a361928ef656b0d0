#include "views_p.h"

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

} // namespace magnoliaspread
