/// Serves one connection from a caller or a peer instance.
#ifndef MAGNOLIASPREAD_SESSION_P_H
#define MAGNOLIASPREAD_SESSION_P_H

#include "dispatch_p.h"
#include "net_p.h"
#include "pool_p.h"

#include <magnoliaspread/clock.h>
#include <magnoliaspread/dedup.h>
#include <magnoliaspread/fleetauth.h>
#include <magnoliaspread/metrics.h>
#include <magnoliaspread/retry.h>
#include <magnoliaspread/settings.h>
#include <magnoliaspread/tokenpool.h>
#include <magnoliaspread/view.h>

#include <cstdint>
#include <map>
#include <string>

namespace magnoliaspread {

/// State shared by all connections of one traffic thread.
struct thread_state {
  asio::io_context &Context;
  const clock &Clock;
  const instance_settings &Settings;
  const fleet_secret &Secret;
  connection_pool &Pool;
  token_pool &Tokens;
  dispatcher &Dispatcher;
  dedup_registry &Dedup;
  instance_metrics &Metrics;
  std::map<std::string, retry_budget> RetryBudgets;
  traffic_view_ptr View;
  /// Random prefix of the thread; makes request ids unique together with
  /// NextId.
  std::string IdPrefix;
  std::uint64_t NextId = 0;
  /// Requests whose head has arrived and whose answer is not complete.
  std::size_t InFlight = 0;
  std::size_t Connections = 0;
};

/// Port that accepted a connection: callers use the public one, peers the
/// internal one.
enum class entry_port : std::uint8_t { Public, Internal };

asio::awaitable<void> serveConnection(tcp::socket Socket, thread_state &State,
                                      entry_port Port);

} // namespace magnoliaspread

#endif
