/// Small scopes around a connection's operations.
#ifndef MAGNOLIASPREAD_TIMERS_P_H
#define MAGNOLIASPREAD_TIMERS_P_H

#include "net_p.h"

#include <chrono>
#include <cstddef>

namespace magnoliaspread {

/// Stops a connection's operations when they do not end in time.
class read_timer {
public:
  read_timer(tcp::socket &Socket, std::chrono::milliseconds Limit)
      : Timer(Socket.get_executor(), Limit) {
    Timer.async_wait([&Socket](error_code Stopped) {
      if (!Stopped)
        Socket.cancel(Stopped);
    });
  }

private:
  asio::steady_timer Timer;
};

/// Adds one to a count for as long as it lives.
class live_count {
public:
  explicit live_count(std::size_t &Count) : Count(Count) { ++Count; }
  ~live_count() { --Count; }
  live_count(const live_count &) = delete;
  live_count &operator=(const live_count &) = delete;

private:
  std::size_t &Count;
};

/// Takes in what the peer still sends, so that an answer is not lost to a
/// reset of the connection.
asio::awaitable<void> linger(tcp::socket &Socket);

} // namespace magnoliaspread

#endif
