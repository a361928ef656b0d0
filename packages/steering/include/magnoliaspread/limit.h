/// Limits on requests in flight, by weight row.
///
/// A limit is split into parts that add up to it exactly: by configured data
/// centre, then by quota share of the data centre. The instance that has the
/// lease of a share admits its part, so the sum stays within the limit even
/// while instances disagree on the membership.
#ifndef MAGNOLIASPREAD_LIMIT_H
#define MAGNOLIASPREAD_LIMIT_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/error.h>

#include <cstdint>
#include <vector>

namespace magnoliaspread {

/// Part \p Index of \p Parts of \p Limit; all parts add up to the limit.
std::uint32_t limitPart(std::uint32_t Limit, std::uint32_t Index,
                        std::uint32_t Parts);

struct in_flight_limit {
  /// False when no limit applies.
  bool Limited = false;
  std::uint32_t InFlight = 0;
  /// Concurrent requests that this instance may admit now.
  std::uint32_t Part = 0;
  /// A larger part that takes effect at RaisedAt.
  std::uint32_t RaisedPart = 0;
  steady_time RaisedAt;
};

/// One row for each weight set of the instance's own region.
struct limit_table {
  std::vector<in_flight_limit> Rows;
};

/// Sets this instance's part of a limit. A smaller part applies at once, a
/// larger one from \p UsableAt on, when the requests of the share's previous
/// lease owner have ended or are lost.
void setLimitPart(limit_table &Table, std::size_t Row, std::uint32_t Part,
                  steady_time Now, steady_time UsableAt);

/// Removes the limit of a row.
void clearLimit(limit_table &Table, std::size_t Row);

/// Counts a request as in flight, or refuses it: NoCapacity, not run.
status admitLimited(limit_table &Table, std::size_t Row, steady_time Now);

/// Counts an admitted request as ended.
void releaseLimited(limit_table &Table, std::size_t Row);

} // namespace magnoliaspread

#endif
