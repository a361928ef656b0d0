/// What callers ask of a service, as instances tell each other.
#ifndef MAGNOLIASPREAD_SERVICEDEMAND_H
#define MAGNOLIASPREAD_SERVICEDEMAND_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliaspread {

/// Most services in one list; with it a summary still fits its datagram.
inline constexpr std::size_t MaxDemandServices = 6;

/// Demand is told in units of this part of a slot.
inline constexpr std::uint32_t DemandUnitsPerSlot = 16;

struct service_demand {
  /// demandId() of the service.
  std::uint16_t Service = 0;
  /// Slots that its requests need, in units of 1/DemandUnitsPerSlot.
  std::uint32_t Units = 0;

  bool operator==(const service_demand &) const = default;
};

/// One row for each service.
using demand_list = std::vector<service_demand>;

/// Short id of a service, the same on every instance.
std::uint16_t demandId(std::string_view Service);

/// What the callers of one region ask.
struct region_demand {
  std::string Region;
  demand_list Services;
};

/// Adds \p Rows to \p Sum; drops services past MaxDemandServices.
void addDemand(demand_list &Sum, const demand_list &Rows);

/// Slots that the service needs; 0 if it has no row.
double demandOf(const demand_list &Rows, std::uint16_t Service);

} // namespace magnoliaspread

#endif
