#include "watchdog_p.h"

#include "sockets_p.h"

namespace magnoliaspread {

watchdog::watchdog(tcp::socket &Caller, tcp::socket &Upstream)
    : Shared(std::make_shared<state>(
          state{&Caller, &Upstream, asio::steady_timer(Caller.get_executor()),
                steady_time::max()})) {}

watchdog::~watchdog() {
  Shared->Alive = false;
  error_code Ignored;
  Shared->Timer.cancel(Ignored);
}

void watchdog::state::cancelAll() {
  error_code Ignored;
  Caller->cancel(Ignored);
  Upstream->cancel(Ignored);
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
  Shared->Timer.async_wait([Shared](error_code Moved) {
    if (Moved || !Shared->Alive)
      return;
    if (std::chrono::steady_clock::now() < Shared->Time) {
      wait(Shared);
      return;
    }
    Shared->Expired = true;
    Shared->cancelAll();
  });
}

bool watchdog::state::lookAtCaller() {
  return Ahead == nullptr ? hasClosed(*Caller)
                          : takeAhead(*Caller, *Ahead, MostAhead);
}

void watchdog::watchCaller(const std::shared_ptr<state> &Shared) {
  Shared->Caller->async_wait(tcp::socket::wait_read, [Shared](
                                                         error_code Failure) {
    if (!Shared->Alive || Failure)
      return;
    Shared->CallerGone = Shared->lookAtCaller();
    if (Shared->CallerGone)
      return Shared->cancelAll();
    // Bytes that stay on the socket would fire the watch at once.
    if (Shared->Ahead != nullptr && Shared->Ahead->size() < Shared->MostAhead)
      watchCaller(Shared);
  });
}

void watchdog::watchCaller() { watchCaller(Shared); }

void watchdog::watchCaller(beast::flat_buffer &Ahead, std::size_t Most) {
  Shared->Ahead = &Ahead;
  Shared->MostAhead = Most;
  watchCaller(Shared);
}

void watchdog::watchAnswer() {
  Shared->WatchingAnswer = true;
  Shared->Upstream->async_wait(
      tcp::socket::wait_read, [State = Shared](error_code Failure) {
        if (!State->Alive || Failure || !State->WatchingAnswer)
          return;
        State->AnswerBegan = true;
        State->cancelAll();
      });
}

} // namespace magnoliaspread
