/// Brings the configuration in force: reads and watches the platform's object,
/// fetches from peers, validates, and indexes what is accepted.
#ifndef MAGNOLIASPREAD_CONFIGSYS_P_H
#define MAGNOLIASPREAD_CONFIGSYS_P_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/confsync.h>
#include <magnoliaspread/fleetauth.h>
#include <magnoliaspread/index.h>
#include <magnoliaspread/member.h>
#include <magnoliaspread/platform.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

namespace magnoliaspread {

/// Name of the platform object that holds the operators' table.
inline constexpr const char *TableObject = "config/table";

class config_system {
public:
  using accepted_handler = std::function<void(const config_index_ptr &)>;

  /// \p Accepted runs on the context's thread for each version put in force.
  config_system(boost::asio::io_context &Context, object_store &Store,
                const clock &Clock, const fleet_secret &Secret,
                std::uint64_t Seed, accepted_handler Accepted);

  /// Starts what is due: a poll, a watch or a fetch from a peer.
  void tick(const membership &Members);

  /// Reads the platform's table at once, unless a read is under way.
  void refresh() {
    if (!Polling)
      poll();
  }

  const config_sync &sync() const { return Sync; }
  config_stamp inForce() const { return Sync.inForce(); }

private:
  void poll();
  void watch();
  void fetch(const config_fetch &Fetch);
  /// False when \p Text is not a table that could be accepted.
  bool take(const std::string &Text, config_source Source);

  boost::asio::io_context &Context;
  object_store &Store;
  const clock &Clock;
  const fleet_secret &Secret;
  accepted_handler Accepted;
  config_sync Sync;
  object_version ObjectVersion = NoObject;
  bool Polling = false;
  bool Watching = false;
  steady_time NextWatch;
};

} // namespace magnoliaspread

#endif
