#include "meter_p.h"

namespace magnoliaspread {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds RetryPause{10};

/// What a waiting transfer needs, for as long as it waits.
class waiting_mark {
public:
  waiting_mark(purse &Purse, limit_id Limit, milli_tokens Tokens)
      : Purse(Purse), Limit(Limit), Tokens(Tokens) {
    Purse.addWaiting(Limit, Tokens);
  }
  ~waiting_mark() { Purse.addWaiting(Limit, -Tokens); }
  waiting_mark(const waiting_mark &) = delete;
  waiting_mark &operator=(const waiting_mark &) = delete;

private:
  purse &Purse;
  limit_id Limit;
  milli_tokens Tokens;
};

} // namespace

link_meter::link_meter(purse &Purse, const clock &Clock, std::string_view From,
                       std::string_view To)
    : Purse(Purse), Clock(Clock), Limit(linkLimit(From, To)) {}

asio::awaitable<bool> link_meter::charge(std::size_t Bytes, steady_time End) {
  const milli_tokens Tokens = static_cast<milli_tokens>(Bytes) * MilliPerToken;
  if (Purse.spend(Limit, Tokens, Clock.now()))
    co_return true;
  const waiting_mark Mark(Purse, Limit, Tokens);
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  while (Clock.now() < End) {
    Timer.expires_after(RetryPause);
    co_await Timer.async_wait(Awaited);
    if (Purse.retry(Limit, Tokens, Clock.now()))
      co_return true;
  }
  co_return false;
}

} // namespace magnoliaspread
