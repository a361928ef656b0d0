/// The tokens that the traffic threads of one process can spend. Public
/// functions are thread-safe.
#ifndef MAGNOLIASPREAD_TOKENPOOL_H
#define MAGNOLIASPREAD_TOKENPOOL_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/quotamsg.h>
#include <magnoliaspread/tokensource.h>

#include <cstdint>
#include <mutex>
#include <unordered_map>

namespace magnoliaspread {

/// Tokens available to the traffic threads until they expire.
struct spendable_tokens {
  milli_tokens Borrowed = 0;
  steady_time BorrowedExpires;
  milli_tokens Own = 0;
  steady_time OwnExpires;
};

/// Spending of one limit since the last withdraw().
struct spending_report {
  milli_tokens SpentBorrowed = 0;
  milli_tokens SpentOwn = 0;
  /// Tokens of all first attempts.
  milli_tokens Attempted = 0;
  /// Tokens of first attempts that failed.
  milli_tokens Denied = 0;
  /// Tokens that waiting callers need now.
  milli_tokens Waiting = 0;
};

class token_pool final : public token_source {
public:
  bool spend(limit_id Limit, milli_tokens Tokens, steady_time Now) override;
  bool retry(limit_id Limit, milli_tokens Tokens, steady_time Now) override;
  /// Does nothing: the quota allocator has already counted the tokens as spent.
  void refund(limit_id, milli_tokens, steady_time, steady_time) override {}
  void addWaiting(limit_id Limit, milli_tokens Tokens) override;

  /// Blocks the traffic threads, so that none is denied tokens between
  /// withdraw() and setAvailable().
  std::unique_lock<std::recursive_mutex> lock() {
    return std::unique_lock(Mutex);
  }

  /// Removes the unspent tokens of \p Limit and returns what was spent.
  spending_report withdraw(limit_id Limit);

  /// Replaces the tokens available for \p Limit.
  void setAvailable(limit_id Limit, const spendable_tokens &Spendable);

private:
  struct limit_entry {
    spendable_tokens Spendable;
    spending_report Report;
  };

  static bool trySpend(limit_entry &Entry, milli_tokens Tokens,
                       steady_time Now);

  std::recursive_mutex Mutex;
  std::unordered_map<limit_id, limit_entry> Entries;
};

} // namespace magnoliaspread

#endif
