/// What gives tokens of the fleet's limits to requests.
#ifndef MAGNOLIASPREAD_TOKENSOURCE_H
#define MAGNOLIASPREAD_TOKENSOURCE_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/quotamsg.h>

namespace magnoliaspread {

class token_source {
public:
  token_source() = default;
  token_source(const token_source &) = delete;
  token_source &operator=(const token_source &) = delete;
  virtual ~token_source() = default;

  /// First attempt to spend \p Tokens of \p Limit, all or none. Counts as
  /// demand.
  virtual bool spend(limit_id Limit, milli_tokens Tokens, steady_time Now) = 0;

  /// Another attempt of a caller that waits; not counted as demand again.
  virtual bool retry(limit_id Limit, milli_tokens Tokens, steady_time Now) = 0;

  /// Returns tokens that were spent at \p SpentAt for a request that did not
  /// run. Tokens that can't be used within the limit any more are given up.
  virtual void refund(limit_id Limit, milli_tokens Tokens, steady_time SpentAt,
                      steady_time Now) = 0;

  /// Adds to what waiting callers need, or with a negative number takes away.
  virtual void addWaiting(limit_id Limit, milli_tokens Tokens) = 0;
};

} // namespace magnoliaspread

#endif
