/// Cancels the operations of two sockets at an adjustable deadline.
#ifndef MAGNOLIASPREAD_WATCHDOG_P_H
#define MAGNOLIASPREAD_WATCHDOG_P_H

#include "net_p.h"

#include <magnoliaspread/clock.h>

#include <memory>

namespace magnoliaspread {

/// Cancels the pending operations of both sockets at the deadline, or when one
/// of its watches fires. The sockets must outlive it.
class watchdog {
public:
  watchdog(tcp::socket &Caller, tcp::socket &Outbound);
  ~watchdog();
  watchdog(const watchdog &) = delete;
  watchdog &operator=(const watchdog &) = delete;

  /// Sets the deadline; cheap when it moves to later.
  void expireAt(steady_time Time);

  /// Restarts an expired watchdog.
  void restart(steady_time Time);

  /// Fires callerGone() when the caller closes its connection.
  void watchCaller();

  /// The same for a caller that may pipeline requests. They are read into
  /// \p Pipelined, up to \p MaxBytes in all, as unread bytes would hide the
  /// close. \p Pipelined must outlive the watchdog.
  void watchCaller(beast::flat_buffer &Pipelined, std::size_t MaxBytes);

  /// Fires answerBegan() when the other end sends bytes or closes.
  void watchAnswer();
  void stopWatchingAnswer() { Shared->WatchingAnswer = false; }

  bool expired() const { return Shared->Expired; }
  bool callerGone() const { return Shared->CallerGone; }
  bool answerBegan() const { return Shared->AnswerBegan; }

private:
  struct state {
    tcp::socket *Caller;
    tcp::socket *Outbound;
    asio::steady_timer Timer;
    steady_time Time = steady_time::max();
    bool Alive = true;
    bool Waiting = false;
    bool WatchingAnswer = false;
    bool Expired = false;
    bool CallerGone = false;
    bool AnswerBegan = false;
    beast::flat_buffer *Pipelined = nullptr;
    std::size_t MaxPipelined = 0;

    void cancelAll();
    /// True when the caller has closed its connection.
    bool pollCaller();
  };

  static void wait(const std::shared_ptr<state> &Shared);
  static void watchCaller(const std::shared_ptr<state> &Shared);

  std::shared_ptr<state> Shared;
};

} // namespace magnoliaspread

#endif
