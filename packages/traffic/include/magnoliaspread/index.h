/// Immutable configuration table with indexes by key hash, path and name, as
/// the traffic threads read it.
#ifndef MAGNOLIASPREAD_INDEX_H
#define MAGNOLIASPREAD_INDEX_H

#include <magnoliaspread/handle.h>
#include <magnoliaspread/namemap.h>
#include <magnoliaspread/table.h>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliaspread {

/// Handles are row numbers of Table and valid for this version only.
struct config_index {
  config_table Table;
  name_map<workspace_handle> Workspaces;
  name_map<service_handle> Services;
  /// Row numbers of Table.Keys by key hash.
  name_map<std::size_t> Keys;
  /// Services by descending length of their prefix.
  std::vector<service_handle> Routes;
  /// Targets of each service, in the order of Table.Services.
  std::vector<std::vector<target_handle>> TargetsByService;
};

using config_index_ptr = std::shared_ptr<const config_index>;

config_index_ptr indexTable(config_table Table);

/// The service whose prefix is the longest match of \p Path; invalid if none.
service_handle routeOf(const config_index &Index, std::string_view Path);

} // namespace magnoliaspread

#endif
