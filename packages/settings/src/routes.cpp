#include <magnoliaspread/routes.h>

#include <magnoliaspread/table.h>

#include <algorithm>

namespace magnoliaspread {

route_index::route_index(route_table Rows) : Table(std::move(Rows)) {
  for (std::size_t I = 0; I < Table.Routes.size(); ++I)
    Hosts[Table.Routes[I].Host].push_back(I);
  for (auto &[Host, Routes] : Hosts)
    std::stable_sort(
        Routes.begin(), Routes.end(), [&](std::size_t A, std::size_t B) {
          return Table.Routes[A].Prefix.size() > Table.Routes[B].Prefix.size();
        });
  for (std::size_t I = 0; I < Table.Services.size(); ++I)
    Services.emplace(Table.Services[I].Name, I);
}

const route_row *route_index::find(std::string_view Host,
                                   std::string_view Path) const {
  const auto Found = Hosts.find(Host);
  if (Found == Hosts.end())
    return nullptr;
  const std::string_view Plain = Path.substr(0, Path.find('?'));
  for (const std::size_t Row : Found->second)
    if (Plain.starts_with(Table.Routes[Row].Prefix))
      return &Table.Routes[Row];
  return nullptr;
}

const routed_workspace *route_index::workspaceOf(std::string_view Key) const {
  if (Key.empty())
    return nullptr;
  const auto Found = Table.Keys.find(hashKey(Key));
  return Found == Table.Keys.end() ? nullptr : &Table.Workspaces[Found->second];
}

const routed_service *route_index::service(std::string_view Name) const {
  const auto Found = Services.find(Name);
  return Found == Services.end() ? nullptr : &Table.Services[Found->second];
}

} // namespace magnoliaspread
