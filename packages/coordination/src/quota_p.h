/// Times and sizes of the token bank.
#ifndef MAGNOLIASPREAD_QUOTA_P_H
#define MAGNOLIASPREAD_QUOTA_P_H

#include <magnoliaspread/share.h>

#include <chrono>
#include <cstddef>

namespace magnoliaspread {

/// Life of own tokens that were handed to the traffic threads; at most
/// TokenLife, so that they have expired when a next holder starts to mint.
inline constexpr std::chrono::milliseconds PurseLife{1000};
/// Added by lenders for differences between clock rates.
inline constexpr std::chrono::milliseconds ExpiryMargin{100};
/// Borrowed tokens with less life than this are given back.
inline constexpr std::chrono::milliseconds LeastLife{60};
/// An idle borrower's account is kept for this long.
inline constexpr std::chrono::milliseconds AccountLife{10000};
inline constexpr std::chrono::milliseconds ExpiryCheck{100};
inline constexpr double SecondsPerMilli = 0.001;
inline constexpr double PpmPerUnit = 1e6;

inline double seconds(std::chrono::nanoseconds Span) {
  return std::chrono::duration<double>(Span).count();
}

} // namespace magnoliaspread

#endif
