#include "roundrobin_p.h"

namespace magnoliaspread {

asio::awaitable<result<placement>>
round_robin_dispatcher::place(const placement_request &Request) {
  const config_index &Index = *View->Config;
  const auto &Targets = Index.TargetsByService[Request.Request->Service.Index];
  for (std::size_t I = 0; I < Targets.size(); ++I) {
    const target_handle Handle = Targets[Next++ % Targets.size()];
    const target_row &Row = Index.Table.Targets[Handle.Index];
    if (Row.State == drain_state::Active)
      co_return placement{
          upstream_kind::Target, Row.Name, {Row.Address, Row.Port}};
  }
  co_return error{error_kind::NoCapacity, "no target takes work", {}};
}

} // namespace magnoliaspread
