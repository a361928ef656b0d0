/// Connections of one traffic thread to targets and peer instances.
#ifndef MAGNOLIASPREAD_POOL_P_H
#define MAGNOLIASPREAD_POOL_P_H

#include "net_p.h"

#include <magnoliaspread/clock.h>
#include <magnoliaspread/error.h>
#include <magnoliaspread/settings.h>

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace magnoliaspread {

struct upstream {
  upstream(tcp::socket Connected, steady_time Now)
      : Socket(std::move(Connected)), CreatedAt(Now), LastAnswerAt(Now) {}

  tcp::socket Socket;
  beast::flat_buffer Buffer;
  steady_time CreatedAt;
  steady_time LastAnswerAt;
  bool Reused = false;
};

using upstream_ptr = std::unique_ptr<upstream>;

class upstream_pool {
public:
  upstream_pool(asio::io_context &Context, const clock &Clock)
      : Context(Context), Clock(Clock) {}

  /// An idle connection that may be used again, or null.
  upstream_ptr takeIdle(const endpoint_address &Peer);

  /// Opens a connection; fails with TargetUnreachable.
  asio::awaitable<result<upstream_ptr>> connect(endpoint_address Peer,
                                                steady_time Deadline);

  /// Keeps a connection whose last exchange ended cleanly.
  void putBack(const endpoint_address &Peer, upstream_ptr Connection);

  /// Closes the idle connections to \p Peer that have had no answer since
  /// \p Since.
  void dropSilent(const endpoint_address &Peer, steady_time Since);

  /// Closes every idle connection to \p Peer.
  void dropIdle(const endpoint_address &Peer);

  /// Closes connections that have been idle for too long.
  void sweep();

private:
  asio::io_context &Context;
  const clock &Clock;
  std::unordered_map<std::string, std::vector<upstream_ptr>> Idle;
};

} // namespace magnoliaspread

#endif
