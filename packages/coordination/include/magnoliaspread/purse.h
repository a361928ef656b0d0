/// The tokens that the traffic threads of one process may spend. Every public
/// function may be called from any thread.
#ifndef MAGNOLIASPREAD_PURSE_H
#define MAGNOLIASPREAD_PURSE_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/quotamsg.h>
#include <magnoliaspread/tokensource.h>

#include <cstdint>
#include <mutex>
#include <unordered_map>

namespace magnoliaspread {

/// Tokens that may be spent until they expire.
struct purse_offer {
  milli_tokens Borrowed = 0;
  steady_time BorrowedExpires;
  milli_tokens Own = 0;
  steady_time OwnExpires;
};

/// What happened to a limit since its last offer.
struct purse_report {
  milli_tokens SpentBorrowed = 0;
  milli_tokens SpentOwn = 0;
  /// Sum over first attempts.
  milli_tokens Wanted = 0;
  /// Sum over first attempts that got nothing.
  milli_tokens Missed = 0;
  /// Sum over callers that wait for tokens now.
  milli_tokens Waiting = 0;
};

class purse final : public token_source {
public:
  bool spend(limit_id Limit, milli_tokens Tokens, steady_time Now) override;
  bool retry(limit_id Limit, milli_tokens Tokens, steady_time Now) override;
  /// Gives them up: the bank has counted them as spent.
  void refund(limit_id, milli_tokens, steady_time, steady_time) override {}
  void addWaiting(limit_id Limit, milli_tokens Tokens) override;

  /// Keeps the traffic threads out while the token bank moves tokens, so that
  /// none is refused between collect() and offer().
  std::unique_lock<std::recursive_mutex> hold() {
    return std::unique_lock(Mutex);
  }

  /// Takes back what is left of \p Limit. For the token bank.
  purse_report collect(limit_id Limit);

  /// Replaces what may be spent of \p Limit. For the token bank.
  void offer(limit_id Limit, const purse_offer &Offer);

private:
  struct purse_slot {
    purse_offer Offer;
    purse_report Report;
  };

  static bool take(purse_slot &Slot, milli_tokens Tokens, steady_time Now);

  std::recursive_mutex Mutex;
  std::unordered_map<limit_id, purse_slot> Slots;
};

} // namespace magnoliaspread

#endif
