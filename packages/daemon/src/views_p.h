/// Builds what the traffic threads see from the control tables. Pure.
#ifndef MAGNOLIASPREAD_VIEWS_P_H
#define MAGNOLIASPREAD_VIEWS_P_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/member.h>
#include <magnoliaspread/view.h>

namespace magnoliaspread {

/// Instances that look-ups name: the own data centre first, then the own
/// region, then the others.
std::vector<instance_view> lookupOrder(const membership &Members,
                                       const config_table &Table,
                                       steady_time Now);

/// Instances that requests may be forwarded to: those that look-ups name,
/// without this one.
std::vector<instance_view> peersOf(const membership &Members,
                                   const config_table &Table, steady_time Now);

/// By row of Table.Targets: whether this instance owns the target among the
/// live, staying instances of its data centre.
std::vector<bool> ownedTargets(const membership &Members,
                               const config_table &Table, steady_time Now);

} // namespace magnoliaspread

#endif
