/// Demand of each region as one instance knows it from membership.
#ifndef MAGNOLIASPREAD_DEMANDVIEW_H
#define MAGNOLIASPREAD_DEMANDVIEW_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/member.h>
#include <magnoliaspread/servicedemand.h>

#include <map>
#include <string>
#include <vector>

namespace magnoliaspread {

/// The regions of which a data centre has been heard within SilentAfter, each
/// with the sum over its data centres; the own region is always among them.
/// \p RegionOf maps data centres to regions.
std::vector<region_demand>
regionDemands(const membership &Members,
              const std::map<std::string, std::string> &RegionOf,
              steady_time Now);

} // namespace magnoliaspread

#endif
