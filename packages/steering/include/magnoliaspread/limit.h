/// Requests in flight by weight row against the row's limit.
///
/// A limit is cut into parts that add up to it exactly: by configured data
/// centre, then by quota share of the data centre. Whoever holds the lease of
/// a share admits its part, so no view of the live members can exceed the sum.
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
  /// No limit applies while false.
  bool Limited = false;
  std::uint32_t InFlight = 0;
  /// Requests at once that this instance may admit now.
  std::uint32_t Part = 0;
  /// A larger part that takes effect at RaisedAt.
  std::uint32_t RaisedPart = 0;
  steady_time RaisedAt;
};

/// One row for each weight set, for the instance's own region.
struct limit_ledger {
  std::vector<in_flight_limit> Rows;
};

/// Sets this instance's part of a limit. A smaller part applies at once, a
/// larger one from \p UsableAt on, when the share's former holder has ended
/// its requests or lost them.
void setLimitPart(limit_ledger &Ledger, std::size_t Row, std::uint32_t Part,
                  steady_time Now, steady_time UsableAt);

/// Lifts the limit of a row.
void clearLimit(limit_ledger &Ledger, std::size_t Row);

/// Counts a request in, or refuses it as NoCapacity, not run.
status admitLimited(limit_ledger &Ledger, std::size_t Row, steady_time Now);

/// Counts an admitted request out.
void releaseLimited(limit_ledger &Ledger, std::size_t Row);

} // namespace magnoliaspread

#endif
