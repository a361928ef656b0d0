/// Cancels the operations of sockets at an adjustable deadline.
#ifndef MAGNOLIASPREAD_WATCHDOG_P_H
#define MAGNOLIASPREAD_WATCHDOG_P_H

#include "net_p.h"

#include <magnoliaspread/clock.h>

#include <memory>

namespace magnoliaspread {

/// Cancels the pending operations of its sockets at the deadline, when one of
/// its watches fires or the caller leaves. The sockets must outlive it.
class watchdog {
public:
  watchdog(tcp::socket &Caller, tcp::socket &Outbound);
  /// For a caller whose connection is watched elsewhere; see callerLeft().
  explicit watchdog(tcp::socket &Outbound);
  ~watchdog();
  watchdog(const watchdog &) = delete;
  watchdog &operator=(const watchdog &) = delete;

  /// Sets the deadline; cheap when it moves to later.
  void expireAt(steady_time Time);

  /// Restarts an expired watchdog.
  void restart(steady_time Time);

  /// Fires callerGone() when the caller closes its connection.
  void watchCaller();

  void callerLeft();

  /// Fires answerBegan() when the other end sends bytes or closes.
  void watchAnswer();
  void stopWatchingAnswer() { Shared->WatchingAnswer = false; }

  bool expired() const { return Shared->Expired; }
  bool callerGone() const { return Shared->CallerGone; }
  bool answerBegan() const { return Shared->AnswerBegan; }

private:
  struct state {
    /// Null when it is watched elsewhere.
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

    void cancelAll();
  };

  static void wait(const std::shared_ptr<state> &Shared);

  std::shared_ptr<state> Shared;
};

} // namespace magnoliaspread

#endif
