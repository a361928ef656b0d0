/// Interface through which requests spend tokens of fleet-wide limits.
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

  /// First attempt to spend \p Tokens of \p Limit, all or none. Counted as
  /// demand.
  virtual bool spend(limit_id Limit, milli_tokens Tokens, steady_time Now) = 0;

  /// Another attempt of a waiting caller; not counted as demand again.
  virtual bool retry(limit_id Limit, milli_tokens Tokens, steady_time Now) = 0;

  /// Returns tokens spent at \p SpentAt for a request that did not run. Tokens
  /// that can no longer be used within the limit are discarded.
  virtual void refund(limit_id Limit, milli_tokens Tokens, steady_time SpentAt,
                      steady_time Now) = 0;

  /// Adjusts the tokens that waiting callers need; \p Tokens may be negative.
  virtual void addWaiting(limit_id Limit, milli_tokens Tokens) = 0;
};

} // namespace magnoliaspread

#endif
