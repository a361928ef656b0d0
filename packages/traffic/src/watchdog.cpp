#include "watchdog_p.h"

#include "sockets_p.h"

namespace magnoliaspread {

watchdog::watchdog(tcp::socket &Caller, tcp::socket &Outbound)
    : Shared(std::make_shared<state>(
          state{&Caller, &Outbound, asio::steady_timer(Caller.get_executor()),
                steady_time::max()})) {}

watchdog::watchdog(tcp::socket &Outbound)
    : Shared(std::make_shared<state>(
          state{nullptr, &Outbound, asio::steady_timer(Outbound.get_executor()),
                steady_time::max()})) {}

watchdog::~watchdog() {
  Shared->Alive = false;
  error_code Ignored;
  Shared->Timer.cancel(Ignored);
}

void watchdog::state::cancelAll() {
  error_code Ignored;
  if (Caller != nullptr)
    Caller->cancel(Ignored);
  Outbound->cancel(Ignored);
}

void watchdog::expireAt(steady_time Time) {
  const bool Sooner = Time < Shared->Time;
  Shared->Time = Time;
  if (!Shared->Waiting || Sooner)
    wait(Shared);
}

void watchdog::restart(steady_time Time) {
  Shared->Expired = false;
  Shared->Waiting = false;
  expireAt(Time);
}

void watchdog::wait(const std::shared_ptr<state> &Shared) {
  Shared->Waiting = true;
  Shared->Timer.expires_at(Shared->Time);
  Shared->Timer.async_wait([Shared](error_code Cancelled) {
    if (Cancelled || !Shared->Alive)
      return;
    if (std::chrono::steady_clock::now() < Shared->Time) {
      wait(Shared);
      return;
    }
    Shared->Expired = true;
    Shared->cancelAll();
  });
}

void watchdog::watchCaller() {
  Shared->Caller->async_wait(tcp::socket::wait_read,
                             [State = Shared](error_code Failure) {
                               if (!State->Alive || Failure)
                                 return;
                               State->CallerGone = hasClosed(*State->Caller);
                               if (State->CallerGone)
                                 State->cancelAll();
                             });
}

void watchdog::callerLeft() {
  Shared->CallerGone = true;
  Shared->cancelAll();
}

void watchdog::watchAnswer() {
  Shared->WatchingAnswer = true;
  Shared->Outbound->async_wait(
      tcp::socket::wait_read, [State = Shared](error_code Failure) {
        if (!State->Alive || Failure || !State->WatchingAnswer)
          return;
        State->AnswerBegan = true;
        State->cancelAll();
      });
}

} // namespace magnoliaspread
