#include "lane_p.h"

namespace magnoliaspread {

asio::awaitable<result<dispatch_place>> lane::wait(fairq_entry Entry,
                                                   const place_finder &Find) {
  const status Pushed = push(Queue, Entry, Clock.now());
  if (failed(Pushed))
    co_return errorOf(Pushed);
  waiter Waiter(Context);
  Waiters.emplace(Entry.Id, &Waiter);
  pump(Find);
  if (!Waiter.Place && !Waiter.Expired) {
    Waiter.Signal.expires_at(Entry.Deadline);
    co_await Waiter.Signal.async_wait(Awaited);
  }
  Waiters.erase(Entry.Id);
  if (Waiter.Place)
    co_return *Waiter.Place;
  cancel(Queue, Entry.Id);
  co_return error{
      error_kind::DeadlineExpired, "no place came free in time", {}};
}

void lane::wakeExpired(const std::vector<fairq_entry> &Entries) {
  for (const fairq_entry &Entry : Entries) {
    const auto Found = Waiters.find(Entry.Id);
    if (Found == Waiters.end())
      continue;
    Found->second->Expired = true;
    Found->second->Signal.cancel();
  }
}

void lane::pump(const place_finder &Find) {
  const steady_time Now = Clock.now();
  std::vector<fairq_entry> Expired;
  expire(Queue, Now, Expired);
  while (waiting(Queue) > 0) {
    std::optional<dispatch_place> Place = Find();
    if (!Place)
      break;
    const std::optional<fairq_grant> Grant = pop(Queue, Now, Expired);
    Place->Ticket = Grant->Entry.Id;
    Charged.emplace(Place->Ticket, *Grant);
    waiter *Waiter = Waiters.at(Place->Ticket);
    Waiter->Place = std::move(Place);
    Waiter->Signal.cancel();
  }
  wakeExpired(Expired);
}

void lane::expireWaits() {
  std::vector<fairq_entry> Expired;
  expire(Queue, Clock.now(), Expired);
  wakeExpired(Expired);
}

void lane::releasePlace(std::uint64_t Ticket, std::chrono::nanoseconds Used) {
  const auto Found = Charged.find(Ticket);
  if (Found == Charged.end())
    return;
  correctCharge(Queue, Found->second, Used);
  Charged.erase(Found);
}

} // namespace magnoliaspread
