/// Admits requests against the token buckets of their workspaces. A request
/// without a token waits briefly, in arrival order.
#ifndef MAGNOLIASPREAD_TOKENS_P_H
#define MAGNOLIASPREAD_TOKENS_P_H

#include "names_p.h"
#include "net_p.h"

#include <magnoliaspread/clock.h>
#include <magnoliaspread/error.h>
#include <magnoliaspread/tokensource.h>
#include <magnoliaspread/view.h>

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace magnoliaspread {

/// Longest time that a request waits for a token before it is refused.
inline constexpr std::chrono::milliseconds MaxTokenWait{300};

class token_gate {
public:
  token_gate(asio::io_context &Context, const clock &Clock,
             token_source &Source)
      : Context(Context), Clock(Clock), Source(Source) {}

  /// Takes one token. RateLimited, not run, with a retry time: at once when no
  /// token is expected in time, otherwise after the wait.
  asio::awaitable<status> acquire(std::string Workspace, steady_time Deadline);

  /// Returns the token of a request that did not run.
  void refund(const std::string &Workspace, steady_time PassedAt);

  /// Sets the waits that the quota allocator expects.
  void publish(const std::vector<token_wait> &Waits);

  /// Called when a request begins to wait.
  std::function<void()> OnShortage;

  /// Lets waiting requests try again.
  void tick();

private:
  struct waiter {
    explicit waiter(asio::io_context &Context) : Signal(Context) {}
    asio::steady_timer Signal;
    bool Passed = false;
  };

  struct wait_queue {
    limit_id Limit = 0;
    std::chrono::milliseconds ExpectedWait{};
    std::deque<std::shared_ptr<waiter>> Waiters;
  };

  asio::awaitable<bool> wait(wait_queue &Queue, steady_time End);
  static void admitFirst(wait_queue &Queue);
  error refusal(const wait_queue &Queue) const;
  wait_queue &queueOf(const std::string &Workspace);

  asio::io_context &Context;
  const clock &Clock;
  token_source &Source;
  name_map<wait_queue> Queues;
};

} // namespace magnoliaspread

#endif
