#include <magnoliaspread/demandview.h>

#include <algorithm>

namespace magnoliaspread {

std::vector<region_demand>
regionDemands(const membership &Members,
              const std::map<std::string, std::string> &RegionOf,
              steady_time Now) {
  std::vector<region_demand> Regions;
  const auto Add = [&](const std::string &Region, const demand_list &Rows) {
    auto Found = std::find_if(
        Regions.begin(), Regions.end(),
        [&](const region_demand &Row) { return Row.Region == Region; });
    if (Found == Regions.end())
      Found = Regions.insert(Regions.end(), {Region, {}});
    addDemand(Found->Services, Rows);
  };
  const member_row Self = Members.self();
  Add(Self.Identity.Region, Self.Report.Load.Demand);
  for (const member_row &Row : Members.liveLocalPeers())
    Add(Self.Identity.Region, Row.Report.Load.Demand);
  for (const data_centre_view &View : Members.dataCentres(Now)) {
    const auto Region = RegionOf.find(View.Summary.DataCentre);
    if (!View.Silent && View.Summary.Sequence != 0 && Region != RegionOf.end())
      Add(Region->second, View.Summary.Load.Demand);
  }
  return Regions;
}

} // namespace magnoliaspread
