/// Traffic shift between regions with a cap and a ramp.
///
/// Weights in force are a function of the former weights, the new ones and the
/// platform time since the edit, so a restarted instance has the same ones as
/// the others. Each instance limits its own fraction of moved requests to the
/// cap, so the cap applies to any set of instances too.
#ifndef MAGNOLIASPREAD_SHIFT_H
#define MAGNOLIASPREAD_SHIFT_H

#include <magnoliaspread/config.h>
#include <magnoliaspread/table.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace magnoliaspread {

/// Fractions of the traffic by region; they add up to 1, or are all 0.
struct region_shares {
  std::array<double, MaxRegions> Share{};
};

/// Scales the shares to a sum of 1; negative and non-finite ones count as 0.
region_shares normalized(const region_shares &Shares);

/// Fraction of the traffic that moves between \p From and \p To, 0 to 1.
double movedPart(const region_shares &From, const region_shares &To);

/// Fraction of the traffic that may be moved away from the former weights,
/// 0 to 1: ramp rate times \p SinceEdit, at most the cap. A negative time
/// counts as zero.
double allowedPart(const shift_row &Shift, std::chrono::milliseconds SinceEdit);

/// Shares in force \p SinceEdit after an edit: interpolated from \p From to
/// \p To, moved by at most allowedPart(). \p SinceEdit is a lower bound on the
/// platform time since the edit.
region_shares sharesInForce(const region_shares &From, const region_shares &To,
                            const shift_row &Shift,
                            std::chrono::milliseconds SinceEdit);

/// Budget of moves of one instance and service: of any N consecutive decisions,
/// at most Cap * N + 1 are moves, from the first decision on.
struct shift_budget {
  /// Moves available now; at most 1 carries over to the next decision.
  double Credit = 0;
  std::uint64_t Decisions = 0;
  std::uint64_t Moved = 0;
  /// Remaining decisions reserved for forced moves since one was last
  /// requested.
  std::uint32_t ForcedOnly = 0;
};

/// Reason to move a request out of the region by the former weights.
enum class move_cause : std::uint8_t {
  /// By the new weights.
  Weights,
  /// The region is drained, unreachable or full.
  Forced,
};

/// Counts one decision; called once for each request, before tryMove().
void countDecision(shift_budget &Budget, const shift_row &Shift);

/// Uses one move of the budget; false when the cap doesn't allow it.
bool tryMove(shift_budget &Budget, move_cause Cause);

/// Decisions until the budget has a move again, at least 1; for retry times.
double decisionsUntilMove(const shift_budget &Budget, const shift_row &Shift);

/// Spreads consecutive draws evenly over [0, 1): the golden-ratio sequence.
struct even_draw {
  std::uint64_t State = 0;
};
double draw(even_draw &Draw);

/// Regions for a draw by the former shares and by those in force, coupled so
/// that they differ for as few draws as possible.
struct coupled_choice {
  std::size_t Former = 0;
  std::size_t InForce = 0;
};
coupled_choice chooseCoupled(const region_shares &Former,
                             const region_shares &InForce, double Draw);

} // namespace magnoliaspread

#endif
