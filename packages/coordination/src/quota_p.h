/// Constants shared by the sources of the quota allocator.
#ifndef MAGNOLIASPREAD_QUOTA_P_H
#define MAGNOLIASPREAD_QUOTA_P_H

#include <magnoliaspread/share.h>

#include <chrono>
#include <cstddef>

namespace magnoliaspread {

/// How long traffic threads can spend own tokens without an update. At most
/// TokenLife, so that they have expired when the next holder starts to mint.
inline constexpr std::chrono::milliseconds PoolLife{1000};
/// Added by lenders to allow for clock drift.
inline constexpr std::chrono::milliseconds ExpiryMargin{100};
/// Borrowed tokens with less time left are returned.
inline constexpr std::chrono::milliseconds MinRemainingLife{60};
/// A borrower without loans is forgotten after this long.
inline constexpr std::chrono::milliseconds BorrowerIdleTime{10000};
inline constexpr std::chrono::milliseconds ExpiryCheckInterval{100};
inline constexpr double SecondsPerMilli = 0.001;
inline constexpr double PpmPerUnit = 1e6;

inline double seconds(std::chrono::nanoseconds Span) {
  return std::chrono::duration<double>(Span).count();
}

} // namespace magnoliaspread

#endif
