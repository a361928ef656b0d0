/// The tokens that the traffic threads of one process may spend. Every public
/// function may be called from any thread.
#ifndef MAGNOLIASPREAD_PURSE_H
#define MAGNOLIASPREAD_PURSE_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/quotamsg.h>

#include <cstdint>
#include <mutex>
#include <unordered_map>

namespace magnoliaspread {

/// Whether a request asks for its tokens for the first time; only first
/// attempts count as demand.
enum class spend_attempt : std::uint8_t { First, Again };

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
  /// Sum over attempts that got nothing.
  milli_tokens Refused = 0;
};

class purse {
public:
  /// Spends \p Tokens of \p Limit, all or none. A caller that waits tries
  /// again once each control tick with spend_attempt::Again.
  bool spend(limit_id Limit, milli_tokens Tokens, steady_time Now,
             spend_attempt Attempt = spend_attempt::First);

  /// Takes back what is left of \p Limit. For the token bank.
  purse_report collect(limit_id Limit);

  /// Replaces what may be spent of \p Limit. For the token bank.
  void offer(limit_id Limit, const purse_offer &Offer);

private:
  struct purse_slot {
    purse_offer Offer;
    purse_report Report;
  };

  std::mutex Mutex;
  std::unordered_map<limit_id, purse_slot> Slots;
};

} // namespace magnoliaspread

#endif
