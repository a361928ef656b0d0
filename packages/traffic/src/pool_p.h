/// Connections of one traffic thread to targets and peer instances.
#ifndef MAGNOLIASPREAD_POOL_P_H
#define MAGNOLIASPREAD_POOL_P_H

#include "net_p.h"

#include <magnoliaspread/clock.h>
#include <magnoliaspread/error.h>
#include <magnoliaspread/settings.h>
#include <magnoliaspread/silent.h>

#include <map>
#include <memory>
#include <string>

namespace magnoliaspread {

/// Bytes read ahead on a connection: a head and the framing of a body. More
/// is no HTTP, such as a chunk's extension without end.
inline constexpr std::size_t MaxBufferedBytes = 128u << 10;

struct outbound_connection {
  outbound_connection(connection_id Id, tcp::socket Connected)
      : Id(Id), Socket(std::move(Connected)) {}

  connection_id Id;
  tcp::socket Socket;
  beast::flat_buffer Buffer{MaxBufferedBytes};
  /// Carried a request before, so it may have gone silent since.
  bool Reused = false;
};

using outbound_ptr = std::unique_ptr<outbound_connection>;

class connection_pool {
public:
  connection_pool(asio::io_context &Context, const clock &Clock,
                  const silence_settings &Silence = {})
      : Context(Context), Clock(Clock), Silence(Silence) {}

  /// An idle connection that may carry the next request, or null. A request
  /// that may not be repeated gets only one that has just proved itself.
  outbound_ptr takeIdle(const endpoint_address &Endpoint, bool Repeatable);

  /// Opens a connection; fails with TargetUnreachable, or with
  /// TargetDown where the connection is refused.
  asio::awaitable<result<outbound_ptr>> connect(endpoint_address Endpoint,
                                                steady_time Deadline);

  /// Keeps a connection whose last exchange ended cleanly.
  void putBack(const endpoint_address &Endpoint, outbound_ptr Connection);

  /// Closes a connection whose last exchange did not end cleanly. When it fell
  /// silent, idle ones that may share its fate are closed with it.
  void drop(const endpoint_address &Endpoint, outbound_ptr Connection,
            bool Silent);

  /// Closes every idle connection to \p Peer.
  void dropIdle(const endpoint_address &Endpoint);

  /// Closes connections that have been idle for too long, again and again.
  asio::awaitable<void> sweepAll();

private:
  struct endpoint_pool {
    explicit endpoint_pool(const silence_settings &Silence) : Table(Silence) {}

    connection_table Table;
    std::map<connection_id, outbound_ptr> Idle;

    void close(connection_id Id);
  };

  void sweep();
  endpoint_pool &poolOf(const endpoint_address &Endpoint);

  asio::io_context &Context;
  const clock &Clock;
  silence_settings Silence;
  std::map<std::string, endpoint_pool> Pools;
  connection_id LastId = 0;
};

} // namespace magnoliaspread

#endif
