/// Enforces the byte limit of a link between two regions.
#ifndef MAGNOLIASPREAD_METER_P_H
#define MAGNOLIASPREAD_METER_P_H

#include "net_p.h"

#include <magnoliaspread/clock.h>
#include <magnoliaspread/tokenpool.h>

#include <string_view>

namespace magnoliaspread {

class link_meter {
public:
  /// Meters the bytes from one region to another.
  link_meter(token_pool &Source, const clock &Clock, std::string_view From,
             std::string_view To);

  /// Waits until \p Bytes may be sent; false when that takes past \p End.
  asio::awaitable<bool> charge(std::size_t Bytes, steady_time End);

private:
  token_pool &Source;
  const clock &Clock;
  limit_id Limit;
};

} // namespace magnoliaspread

#endif
