#include "meter_p.h"

namespace magnoliaspread {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds RetryPause{10};

/// Registers the demand of a waiting transfer for its lifetime.
class waiting_demand {
public:
  waiting_demand(token_pool &Source, limit_id Limit, milli_tokens Tokens)
      : Source(Source), Limit(Limit), Tokens(Tokens) {
    Source.addWaiting(Limit, Tokens);
  }
  ~waiting_demand() { Source.addWaiting(Limit, -Tokens); }
  waiting_demand(const waiting_demand &) = delete;
  waiting_demand &operator=(const waiting_demand &) = delete;

private:
  token_pool &Source;
  limit_id Limit;
  milli_tokens Tokens;
};

} // namespace

link_meter::link_meter(token_pool &Source, const clock &Clock,
                       std::string_view From, std::string_view To)
    : Source(Source), Clock(Clock), Limit(linkLimit(From, To)) {}

asio::awaitable<bool> link_meter::charge(std::size_t Bytes, steady_time End) {
  const milli_tokens Tokens = static_cast<milli_tokens>(Bytes) * MilliPerToken;
  if (Source.spend(Limit, Tokens, Clock.now()))
    co_return true;
  const waiting_demand Demand(Source, Limit, Tokens);
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  while (Clock.now() < End) {
    Timer.expires_after(RetryPause);
    co_await Timer.async_wait(Awaited);
    if (Source.retry(Limit, Tokens, Clock.now()))
      co_return true;
  }
  co_return false;
}

} // namespace magnoliaspread
