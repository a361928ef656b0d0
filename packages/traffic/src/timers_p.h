/// Scope guards for socket operations.
#ifndef MAGNOLIASPREAD_TIMERS_P_H
#define MAGNOLIASPREAD_TIMERS_P_H

#include "net_p.h"

#include <chrono>
#include <cstddef>
#include <memory>

namespace magnoliaspread {

/// Cancels a socket's operations at a deadline.
class socket_timeout {
public:
  socket_timeout(tcp::socket &Socket, std::chrono::milliseconds Limit)
      : socket_timeout(Socket, std::chrono::steady_clock::now() + Limit) {}

  socket_timeout(tcp::socket &Socket, std::chrono::steady_clock::time_point End)
      : Timer(Socket.get_executor(), End), Alive(std::make_shared<bool>(true)) {
    // A timer that has just expired can no longer be cancelled: its handler may
    // run after the scope has ended.
    Timer.async_wait([&Socket, Alive = Alive](error_code Stopped) {
      if (!Stopped && *Alive)
        Socket.cancel(Stopped);
    });
  }
  ~socket_timeout() { *Alive = false; }
  socket_timeout(const socket_timeout &) = delete;
  socket_timeout &operator=(const socket_timeout &) = delete;

private:
  asio::steady_timer Timer;
  std::shared_ptr<bool> Alive;
};

/// Increments a count for its lifetime.
class scoped_count {
public:
  explicit scoped_count(std::size_t &Count) : Count(Count) { ++Count; }
  ~scoped_count() { --Count; }
  scoped_count(const scoped_count &) = delete;
  scoped_count &operator=(const scoped_count &) = delete;

private:
  std::size_t &Count;
};

/// Discards what the peer still sends, so that an answer is not lost to a
/// connection reset.
asio::awaitable<void> linger(tcp::socket &Socket);

} // namespace magnoliaspread

#endif
