/// Loads and activates configurations: reads and watches the platform's object,
/// fetches from peers, validates, and indexes accepted versions.
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

  /// \p Accepted runs on the context's thread for each version activated.
  config_system(boost::asio::io_context &Context, object_store &Store,
                const clock &Clock, const fleet_secret &Secret,
                std::uint64_t Seed, accepted_handler Accepted);

  /// Starts the poll, watch or fetch from a peer that is due.
  void tick(const membership &Members);

  /// Reads the platform's table immediately, unless a read is in progress.
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
  /// Activates a newer table. False when \p Text can't be parsed.
  bool applyTable(const std::string &Text, config_source Source);

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
