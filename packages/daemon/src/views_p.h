/// Builds the parts of a traffic_view from the control tables. Pure functions.
#ifndef MAGNOLIASPREAD_VIEWS_P_H
#define MAGNOLIASPREAD_VIEWS_P_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/member.h>
#include <magnoliaspread/view.h>

namespace magnoliaspread {

/// Instances that look-ups return: those of this data centre first, then of the
/// region, then the others.
std::vector<instance_view> lookupOrder(const membership &Members,
                                       const config_table &Table,
                                       steady_time Now);

/// Instances that requests may be forwarded to: those that look-ups return,
/// without this one.
std::vector<instance_view> peersOf(const membership &Members,
                                   const config_table &Table, steady_time Now);

/// Per row of Table.Targets: whether this instance owns the target, among the
/// instances of its data centre that are alive and not leaving.
std::vector<bool> ownedTargets(const membership &Members,
                               const config_table &Table, steady_time Now);

} // namespace magnoliaspread

#endif
