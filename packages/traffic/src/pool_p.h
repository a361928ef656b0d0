/// Connections of one traffic thread to targets and peer instances.
#ifndef MAGNOLIASPREAD_POOL_P_H
#define MAGNOLIASPREAD_POOL_P_H

#include "net_p.h"

#include <magnoliaspread/clock.h>
#include <magnoliaspread/connectiontable.h>
#include <magnoliaspread/error.h>
#include <magnoliaspread/settings.h>

#include <map>
#include <memory>
#include <string>

namespace magnoliaspread {

/// Limit of a connection's read buffer: fits a head and the framing of a body,
/// and bounds input such as an endless chunk extension.
inline constexpr std::size_t MaxBufferedBytes = 128u << 10;

struct outbound_connection {
  outbound_connection(connection_id Id, tcp::socket Connected)
      : Id(Id), Socket(std::move(Connected)) {}

  connection_id Id;
  tcp::socket Socket;
  beast::flat_buffer Buffer{MaxBufferedBytes};
  /// Carried a request before, so it may have become unresponsive since.
  bool Reused = false;
};

using outbound_ptr = std::unique_ptr<outbound_connection>;

class connection_pool {
public:
  connection_pool(asio::io_context &Context, const clock &Clock,
                  const connection_reuse_settings &ReuseSettings = {})
      : Context(Context), Clock(Clock), ReuseSettings(ReuseSettings) {}

  /// An idle connection that may carry the next request, or null. A request
  /// that is not repeatable gets only one that worked a moment ago.
  outbound_ptr takeIdle(const endpoint_address &Endpoint, bool Repeatable);

  /// Opens a connection; fails with TargetUnreachable, or with
  /// TargetDown where the connection is refused.
  asio::awaitable<result<outbound_ptr>> connect(endpoint_address Endpoint,
                                                steady_time Deadline);

  /// Returns a connection whose last exchange ended cleanly.
  void putBack(const endpoint_address &Endpoint, outbound_ptr Connection);

  /// Closes a connection whose last exchange did not end cleanly. If it was
  /// unresponsive, idle connections that may be broken too are closed as well.
  void drop(const endpoint_address &Endpoint, outbound_ptr Connection,
            bool Unresponsive);

  /// Closes every idle connection to \p Endpoint.
  void dropIdle(const endpoint_address &Endpoint);

  /// Closes connections past their idle timeout; runs forever.
  asio::awaitable<void> sweepAll();

private:
  struct endpoint_pool {
    explicit endpoint_pool(const connection_reuse_settings &ReuseSettings)
        : Table(ReuseSettings) {}

    connection_table Table;
    std::map<connection_id, outbound_ptr> Idle;

    void close(connection_id Id);
  };

  void sweep();
  endpoint_pool &poolOf(const endpoint_address &Endpoint);

  asio::io_context &Context;
  const clock &Clock;
  connection_reuse_settings ReuseSettings;
  std::map<std::string, endpoint_pool> Pools;
  connection_id LastId = 0;
};

} // namespace magnoliaspread

#endif
