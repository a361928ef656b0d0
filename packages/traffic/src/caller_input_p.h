/// Reads a caller's bytes ahead, so that its close is noticed behind them.
#ifndef MAGNOLIASPREAD_CALLER_INPUT_P_H
#define MAGNOLIASPREAD_CALLER_INPUT_P_H

#include "net_p.h"

#include <magnoliaspread/clock.h>

#include <cstddef>
#include <functional>
#include <memory>

namespace magnoliaspread {

/// Bytes that are buffered while no request may be read.
inline constexpr std::size_t MaxPipelinedBytes = 65536;

/// The only reader of its socket.
class caller_input {
public:
  /// Bytes to buffer at most, now; with 0 it watches for a close only.
  using limit_function = std::function<std::size_t()>;

  /// \p OnChange is called when bytes came or the caller closed. All
  /// references must outlive this object.
  caller_input(tcp::socket &Socket, const clock &Clock, limit_function Limit,
               std::function<void()> OnChange);
  ~caller_input();
  caller_input(const caller_input &) = delete;
  caller_input &operator=(const caller_input &) = delete;

  /// Reads on, if there is room.
  void resume();
  void stop() { Shared->Alive = false; }

  beast::flat_buffer &buffer() { return Shared->Buffer; }
  std::size_t maxSize() const { return Shared->Buffer.max_size(); }
  /// The caller has closed the connection. Operations that this process cancels
  /// don't count.
  bool closed() const { return Shared->Closed; }
  steady_time lastReadAt() const { return Shared->LastReadAt; }

private:
  struct state {
    tcp::socket &Socket;
    const clock &Clock;
    limit_function Limit;
    std::function<void()> OnChange;
    beast::flat_buffer Buffer;
    steady_time LastReadAt;
    bool Alive = true;
    bool Waiting = false;
    bool Closed = false;
  };

  static void wait(const std::shared_ptr<state> &Shared);
  static void handleReadable(const std::shared_ptr<state> &Shared);

  std::shared_ptr<state> Shared;
};

} // namespace magnoliaspread

#endif
