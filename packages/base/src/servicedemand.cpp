#include <magnoliaspread/servicedemand.h>

#include <magnoliaspread/hash.h>

#include <algorithm>
#include <limits>

namespace magnoliaspread {

std::uint16_t demandId(std::string_view Service) {
  return static_cast<std::uint16_t>(stableId(Service));
}

void addDemand(demand_list &Sum, const demand_list &Rows) {
  constexpr std::uint32_t Max = std::numeric_limits<std::int32_t>::max();
  for (const service_demand &Row : Rows) {
    const auto Found =
        std::find_if(Sum.begin(), Sum.end(), [&](const service_demand &Known) {
          return Known.Service == Row.Service;
        });
    if (Found != Sum.end())
      Found->Units += std::min(Row.Units, Max - std::min(Max, Found->Units));
    else if (Sum.size() < MaxDemandServices)
      Sum.push_back(Row);
  }
}

double demandOf(const demand_list &Rows, std::uint16_t Service) {
  for (const service_demand &Row : Rows)
    if (Row.Service == Service)
      return static_cast<double>(Row.Units) / DemandUnitsPerSlot;
  return 0;
}

} // namespace magnoliaspread
