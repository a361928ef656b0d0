/// Small scopes around a connection's operations.
#ifndef MAGNOLIASPREAD_TIMERS_P_H
#define MAGNOLIASPREAD_TIMERS_P_H

#include "net_p.h"

#include <chrono>
#include <cstddef>
#include <memory>

namespace magnoliaspread {

/// Stops a connection's operations when they do not end in time.
class read_timer {
public:
  read_timer(tcp::socket &Socket, std::chrono::milliseconds Limit)
      : read_timer(Socket, std::chrono::steady_clock::now() + Limit) {}

  read_timer(tcp::socket &Socket, std::chrono::steady_clock::time_point End)
      : Timer(Socket.get_executor(), End), Alive(std::make_shared<bool>(true)) {
    // A timer that has just expired can't be cancelled any more: its handler
    // may run after the scope has ended.
    Timer.async_wait([&Socket, Alive = Alive](error_code Stopped) {
      if (!Stopped && *Alive)
        Socket.cancel(Stopped);
    });
  }
  ~read_timer() { *Alive = false; }
  read_timer(const read_timer &) = delete;
  read_timer &operator=(const read_timer &) = delete;

private:
  asio::steady_timer Timer;
  std::shared_ptr<bool> Alive;
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
