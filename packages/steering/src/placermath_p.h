/// Small calculations shared by the placer's files.
#ifndef MAGNOLIASPREAD_PLACERMATH_P_H
#define MAGNOLIASPREAD_PLACERMATH_P_H

#include <magnoliaspread/clock.h>

#include <chrono>
#include <cmath>
#include <cstdint>

namespace magnoliaspread {

/// Weight of a new sample in a moving average.
inline constexpr double SampleWeight = 0.15;
inline constexpr double Percent = 100;

inline double seconds(steady_time::duration Time) {
  return std::chrono::duration<double>(Time).count();
}

/// Uniform over (0, 1].
inline double unitOf(std::uint64_t Bits) {
  constexpr double Scale = 1.0 / 9007199254740992.0;
  return (static_cast<double>(Bits >> 11U) + 1) * Scale;
}

inline double decayFactor(steady_time::duration Age,
                          std::chrono::milliseconds HalfLife) {
  return std::exp2(-seconds(Age) / seconds(HalfLife));
}

} // namespace magnoliaspread

#endif
