/// Queue of one service's requests for one region, fair between workspaces.
#ifndef MAGNOLIASPREAD_LANE_P_H
#define MAGNOLIASPREAD_LANE_P_H

#include "dispatch_p.h"
#include "net_p.h"

#include <magnoliaspread/clock.h>
#include <magnoliaspread/fairq.h>
#include <magnoliaspread/handle.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>

namespace magnoliaspread {

class lane {
public:
  lane(asio::io_context &Context, const clock &Clock,
       const fairq_limits &Limits)
      : Context(Context), Clock(Clock), Queue(Limits) {}

  /// Returns a target or peer that can take a request now; empty when there is
  /// none.
  using place_finder = std::function<std::optional<dispatch_place>()>;

  /// Waits for a place. Errors, all not run: those of push(), or
  /// DeadlineExpired.
  asio::awaitable<result<dispatch_place>> wait(fairq_entry Entry,
                                               const place_finder &Find);

  /// Assigns free places to waiting requests.
  void pump(const place_finder &Find);

  /// Ends the waits whose deadline has passed.
  void expireWaits();

  /// Releases the place of \p Ticket, which was in use for \p Used.
  void releasePlace(std::uint64_t Ticket, std::chrono::nanoseconds Used);

  std::size_t waitingCount() const { return waiting(Queue); }
  fair_queue &queue() { return Queue; }

private:
  struct waiter {
    explicit waiter(asio::io_context &Context) : Signal(Context) {}
    asio::steady_timer Signal;
    std::optional<dispatch_place> Place;
    bool Expired = false;
  };

  void wakeExpired(const std::vector<fairq_entry> &Entries);

  asio::io_context &Context;
  const clock &Clock;
  fair_queue Queue;
  std::unordered_map<std::uint64_t, waiter *> Waiters;
  /// Charges of the places in use, by ticket.
  std::unordered_map<std::uint64_t, fairq_grant> Charged;
};

} // namespace magnoliaspread

#endif
