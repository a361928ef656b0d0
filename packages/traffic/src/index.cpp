#include <magnoliaspread/index.h>

#include <algorithm>

namespace magnoliaspread {

namespace {

void indexServices(config_index &Index) {
  for (std::size_t I = 0; I < Index.Table.Services.size(); ++I) {
    const auto Service = handleAt<service_handle>(I);
    Index.Services.emplace(Index.Table.Services[I].Name, Service);
    Index.Routes.push_back(Service);
  }
  std::stable_sort(Index.Routes.begin(), Index.Routes.end(),
                   [&](service_handle A, service_handle B) {
                     return Index.Table.Services[A.Index].Prefix.size() >
                            Index.Table.Services[B.Index].Prefix.size();
                   });
}

void indexTargets(config_index &Index) {
  Index.TargetsByService.resize(Index.Table.Services.size());
  for (std::size_t I = 0; I < Index.Table.Targets.size(); ++I) {
    const auto Found = Index.Services.find(Index.Table.Targets[I].Service);
    if (Found == Index.Services.end())
      continue;
    Index.TargetsByService[Found->second.Index].push_back(
        handleAt<target_handle>(I));
  }
}

} // namespace

config_index_ptr indexTable(config_table Table) {
  auto Index = std::make_shared<config_index>();
  Index->Table = std::move(Table);
  const config_table &Rows = Index->Table;
  for (std::size_t I = 0; I < Rows.Workspaces.size(); ++I)
    Index->Workspaces.emplace(Rows.Workspaces[I].Name,
                              handleAt<workspace_handle>(I));
  for (std::size_t I = 0; I < Rows.Keys.size(); ++I)
    Index->Keys.emplace(Rows.Keys[I].Hash, I);
  indexServices(*Index);
  indexTargets(*Index);
  return Index;
}

service_handle routeOf(const config_index &Index, std::string_view Path) {
  for (service_handle Service : Index.Routes)
    if (Path.starts_with(Index.Table.Services[Service.Index].Prefix))
      return Service;
  return {};
}

} // namespace magnoliaspread
