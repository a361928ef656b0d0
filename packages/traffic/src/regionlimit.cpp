#include "regionlimit_p.h"

#include <algorithm>

namespace magnoliaspread {

region_limits::region_limits(const instance_settings &Settings)
    : Settings(Settings), View(std::make_shared<traffic_view>()),
      Names(MaxWorkspaces) {
  Ledger.Rows.resize(MaxWorkspaces);
}

/// The row of the own region among the rows that apply: those of the workspace
/// if it has any for the service, those of all workspaces otherwise.
const weight_row *region_limits::limitRow(std::string_view Service,
                                          std::string_view Workspace) const {
  const auto &Rows = View->Config->Table.Weights;
  const bool Named =
      std::any_of(Rows.begin(), Rows.end(), [&](const weight_row &Row) {
        return Row.Service == Service && Row.Workspace == Workspace;
      });
  const std::string_view Wanted = Named ? Workspace : AnyName;
  const auto Found =
      std::find_if(Rows.begin(), Rows.end(), [&](const weight_row &Row) {
        return Row.Service == Service && Row.Workspace == Wanted &&
               Row.Region == Settings.Region;
      });
  return Found == Rows.end() ? nullptr : &*Found;
}

/// The part of \p Limit that this instance may admit now.
std::uint32_t region_limits::instanceLimit(std::uint32_t Limit,
                                           steady_time Now) const {
  std::uint32_t Centres = 0;
  std::uint32_t Own = 0;
  std::uint32_t Shares = 0;
  for (const data_centre_row &Row : View->Config->Table.DataCentres) {
    if (Row.Region != Settings.Region)
      continue;
    if (Row.Name == Settings.DataCentre) {
      Own = Centres;
      Shares = Row.QuotaShares;
    }
    ++Centres;
  }
  if (Shares == 0)
    return 0;
  const std::uint32_t Centre = limitPart(Limit, Own, Centres);
  std::uint32_t Part = 0;
  for (const minted_share &Share : View->Shares)
    if (Share.Index < Shares && Share.MintsFrom <= Now &&
        Now < Share.MintsUntil)
      Part += limitPart(Centre, Share.Index, Shares);
  return Part;
}

result<limit_handle> region_limits::admit(std::string_view Service,
                                          std::string_view Workspace,
                                          steady_time Now) {
  const weight_row *Row = limitRow(Service, Workspace);
  if (Row == nullptr || Row->Limit == 0)
    return limit_handle{};
  const limit_handle Limit =
      Names.intern(std::string(Service) + '\n' + Row->Workspace);
  if (!Limit.valid())
    return error{error_kind::NoCapacity, "too many limited rows", {}};
  setLimitPart(Ledger, Limit.Index, instanceLimit(Row->Limit, Now), Now, Now);
  const status Admitted = admitLimited(Ledger, Limit.Index, Now);
  if (failed(Admitted))
    return errorOf(Admitted);
  return Limit;
}

void region_limits::release(limit_handle Limit) {
  if (Limit.valid())
    releaseLimited(Ledger, Limit.Index);
}

} // namespace magnoliaspread
