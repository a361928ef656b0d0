/// Messages between the control thread and the traffic threads. Each is built
/// by one side and handed over whole, so that the threads share no mutable
/// state.
#ifndef MAGNOLIASPREAD_VIEW_H
#define MAGNOLIASPREAD_VIEW_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/creditmsg.h>
#include <magnoliaspread/index.h>
#include <magnoliaspread/quarantinemsg.h>
#include <magnoliaspread/settings.h>
#include <magnoliaspread/sharemsg.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace magnoliaspread {

/// An instance that look-ups may list and requests may be forwarded to.
struct instance_view {
  std::string Name;
  std::string DataCentre;
  std::string Region;
  endpoint_address Public;
  endpoint_address Internal;
};

/// Expected wait for a token of a workspace limit that is used up here.
struct token_wait {
  std::string Workspace;
  std::chrono::milliseconds Wait{};
};

struct traffic_view {
  /// Null until the first configuration is applied.
  config_index_ptr Config;
  /// Listed by look-ups, in order of preference.
  std::vector<instance_view> Instances;
  /// Instances that requests may be forwarded to, without this one.
  std::vector<instance_view> Peers;
  /// By row of Config->Table.Targets: whether this instance owns the target,
  /// that is, sends to it.
  std::vector<bool> Owned;
  /// Quota shares that this instance holds.
  std::vector<minted_share> Shares;
  /// Used-up limits, from the quota allocator.
  std::vector<token_wait> TokenWaits;
  /// Lower bound on the platform's time at MadeAt.
  wall_time PlatformTime;
  steady_time MadeAt;
  /// This instance is shutting down; look-ups no longer list it.
  bool Leaving = false;
};

using traffic_view_ptr = std::shared_ptr<const traffic_view>;

/// Periodic report of one traffic thread.
struct thread_report {
  std::uint32_t Thread = 0;
  /// Requests without a complete answer.
  std::size_t InFlight = 0;
  /// Open connections from callers and peers.
  std::size_t Connections = 0;
  /// Requests that wait for a target or peer.
  std::size_t Waiting = 0;
  /// Free slots of the targets that this instance owns.
  std::uint32_t FreeSlots = 0;
  /// To be sent to peers.
  std::vector<peer_credit_message> Credits;
  /// To be sent to every instance.
  quarantine_update Crashes;
};

} // namespace magnoliaspread

#endif
