/// Limits of the table's weight rows on requests in flight in the own region.
///
/// A limit is divided by data centre and quota share. Each instance admits the
/// parts of the shares that it holds, so the sum over the region stays within
/// the limit even when instances have different views of each other.
#ifndef MAGNOLIASPREAD_REGIONLIMIT_P_H
#define MAGNOLIASPREAD_REGIONLIMIT_P_H

#include "names_p.h"

#include <magnoliaspread/clock.h>
#include <magnoliaspread/config.h>
#include <magnoliaspread/error.h>
#include <magnoliaspread/limit.h>
#include <magnoliaspread/settings.h>
#include <magnoliaspread/view.h>

#include <string>
#include <string_view>

namespace magnoliaspread {

using limit_handle = handle<struct limit_tag>;

class region_limits {
public:
  explicit region_limits(const instance_settings &Settings);

  void publish(traffic_view_ptr NewView) { View = std::move(NewView); }

  /// Counts a request; the handle is invalid when no limit applies. NoCapacity,
  /// not run, when this instance's part is used up.
  result<limit_handle> admit(std::string_view Service,
                             std::string_view Workspace, steady_time Now);

  /// Releases an admitted request; an invalid handle has no effect.
  void release(limit_handle Limit);

private:
  const weight_row *limitRow(std::string_view Service,
                             std::string_view Workspace) const;
  std::uint32_t instanceLimit(std::uint32_t Limit, steady_time Now) const;

  const instance_settings &Settings;
  traffic_view_ptr View;
  stable_names<limit_handle> Names;
  limit_table Ledger;
};

} // namespace magnoliaspread

#endif
