/// Small scopes around a connection's operations.
#ifndef MAGNOLIASPREAD_TIMERS_P_H
#define MAGNOLIASPREAD_TIMERS_P_H

#include "net_p.h"

#include <chrono>
#include <cstddef>
#include <memory>

namespace magnoliaspread {

/// Stops a connection's operations when they do not end in time.
class socket_timeout {
public:
  socket_timeout(tcp::socket &Socket, std::chrono::milliseconds Limit)
      : socket_timeout(Socket, std::chrono::steady_clock::now() + Limit) {}

  socket_timeout(tcp::socket &Socket, std::chrono::steady_clock::time_point End)
      : Timer(Socket.get_executor(), End), Alive(std::make_shared<bool>(true)) {
    // A timer that has just expired can't be cancelled any more: its handler
    // may run after the scope has ended.
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

/// Adds one to a count for as long as it lives.
class scoped_count {
public:
  explicit scoped_count(std::size_t &Count) : Count(Count) { ++Count; }
  ~scoped_count() { --Count; }
  scoped_count(const scoped_count &) = delete;
  scoped_count &operator=(const scoped_count &) = delete;

private:
  std::size_t &Count;
};

/// Takes in what the peer still sends, so that an answer is not lost to a
/// reset of the connection.
asio::awaitable<void> linger(tcp::socket &Socket);

} // namespace magnoliaspread

#endif
