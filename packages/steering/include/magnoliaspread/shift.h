/// Traffic shift between regions with a cap and a ramp.
///
/// Weights in force are a function of the former weights, the new ones and
/// the platform time since the edit, so that a restarted instance resumes
/// where the others are. Each instance keeps its own moved part of the
/// requests under the cap, so any mixture of instances does too.
#ifndef MAGNOLIASPREAD_SHIFT_H
#define MAGNOLIASPREAD_SHIFT_H

#include <magnoliaspread/config.h>
#include <magnoliaspread/table.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace magnoliaspread {

/// Parts of the traffic by region; they add up to 1, or are all 0.
struct region_shares {
  std::array<double, MaxRegions> Share{};
};

/// Scales the shares to a sum of 1; negative and non-finite ones count as 0.
region_shares normalized(const region_shares &Shares);

/// Part of the traffic that has to move to get from \p From to \p To, 0 to 1.
double movedPart(const region_shares &From, const region_shares &To);

/// Part of the traffic that a ramp lets be away from the former weights,
/// 0 to 1: ramp rate times \p SinceEdit, at most the cap. A negative time
/// counts as zero.
double allowedPart(const shift_row &Shift, std::chrono::milliseconds SinceEdit);

/// Shares in force \p SinceEdit after an edit: on the straight line from
/// \p From to \p To, moved by no more than allowedPart(). \p SinceEdit is a
/// lower bound on the platform time since the edit.
region_shares sharesInForce(const region_shares &From, const region_shares &To,
                            const shift_row &Shift,
                            std::chrono::milliseconds SinceEdit);

/// Counts decisions of one instance and service so that in every run of N
/// decisions at most Cap * N + 1 are moved, from the first decision on.
struct shift_budget {
  /// Moves that may be made now, at most 1 after each decision.
  double Credit = 0;
  std::uint64_t Decisions = 0;
  std::uint64_t Moved = 0;
  /// Decisions left during which only forced moves are made, since one was
  /// asked for.
  std::uint32_t ForcedOnly = 0;
};

/// Why a request would leave the region of the former weights.
enum class move_cause : std::uint8_t {
  /// The new weights say so.
  Weights,
  /// The region is drained, lost or full.
  Forced,
};

/// Counts one decision; call once for each request before tryMove().
void countDecision(shift_budget &Budget, const shift_row &Shift);

/// Takes one move from the budget; false when the cap doesn't let it.
bool tryMove(shift_budget &Budget, move_cause Cause);

/// Decisions until the budget has a move again, at least 1; used for the time
/// to come back.
double decisionsUntilMove(const shift_budget &Budget, const shift_row &Shift);

/// Spreads consecutive draws evenly over [0, 1): the golden-ratio sequence.
struct even_draw {
  std::uint64_t State = 0;
};
double draw(even_draw &Draw);

/// Region of a draw under the former shares and under those in force, coupled
/// so that they differ for no more draws than needed.
struct coupled_choice {
  std::size_t Former = 0;
  std::size_t InForce = 0;
};
coupled_choice chooseCoupled(const region_shares &Former,
                             const region_shares &InForce, double Draw);

} // namespace magnoliaspread

#endif
