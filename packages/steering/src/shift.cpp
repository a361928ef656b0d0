#include <magnoliaspread/shift.h>

#include <algorithm>
#include <cmath>

namespace magnoliaspread {

using std::chrono::duration;
using std::chrono::milliseconds;

namespace {

/// Decisions after a forced move is requested during which new weights move
/// nothing.
constexpr std::uint32_t ForcedOnlyDecisions = 64;
/// Largest credit carried over to the next decision, in moves.
constexpr double MaxCredit = 1;
/// Tolerance for rounding errors of summed credits, in moves.
constexpr double CreditSlack = 1e-9;
/// 2^64 divided by the golden ratio.
constexpr std::uint64_t GoldenStep = 0x9E3779B97F4A7C15ULL;

double capOf(const shift_row &Shift) {
  return std::isfinite(Shift.CapPercent)
             ? std::clamp(Shift.CapPercent / 100, 0.0, 1.0)
             : 0.0;
}

double validShare(double Share) {
  return std::isfinite(Share) && Share > 0 ? Share : 0;
}

/// Index of the share that contains \p Point, in [0, sum).
std::size_t locate(const std::array<double, MaxRegions> &Shares, double Point) {
  std::size_t Last = 0;
  for (std::size_t I = 0; I < MaxRegions; ++I) {
    if (Shares[I] <= 0)
      continue;
    Last = I;
    if (Point < Shares[I])
      return I;
    Point -= Shares[I];
  }
  return Last;
}

} // namespace

region_shares normalized(const region_shares &Shares) {
  double Sum = 0;
  for (const double Share : Shares.Share)
    Sum += validShare(Share);
  region_shares Result;
  if (Sum <= 0)
    return Result;
  for (std::size_t I = 0; I < MaxRegions; ++I)
    Result.Share[I] = validShare(Shares.Share[I]) / Sum;
  return Result;
}

double movedPart(const region_shares &From, const region_shares &To) {
  double Moved = 0;
  for (std::size_t I = 0; I < MaxRegions; ++I)
    Moved += std::max(0.0, To.Share[I] - From.Share[I]);
  return std::min(Moved, 1.0);
}

double allowedPart(const shift_row &Shift, milliseconds SinceEdit) {
  const double Minutes =
      duration<double, std::ratio<60>>(std::max(SinceEdit, milliseconds{0}))
          .count();
  const double Rate = validShare(Shift.RampPercentPerMinute) / 100;
  return std::min(Rate * Minutes, capOf(Shift));
}

region_shares sharesInForce(const region_shares &From, const region_shares &To,
                            const shift_row &Shift, milliseconds SinceEdit) {
  const double Whole = movedPart(From, To);
  const double Allowed = allowedPart(Shift, SinceEdit);
  if (Whole <= Allowed)
    return To;
  region_shares Result;
  for (std::size_t I = 0; I < MaxRegions; ++I)
    Result.Share[I] =
        From.Share[I] + (To.Share[I] - From.Share[I]) * (Allowed / Whole);
  return Result;
}

void countDecision(shift_budget &Budget, const shift_row &Shift) {
  ++Budget.Decisions;
  const double CarriedOver = std::min(Budget.Credit, MaxCredit);
  Budget.Credit = CarriedOver + capOf(Shift);
  if (Budget.ForcedOnly > 0)
    --Budget.ForcedOnly;
}

bool tryMove(shift_budget &Budget, move_cause Cause) {
  if (Cause == move_cause::Weights && Budget.ForcedOnly > 0)
    return false;
  if (Cause == move_cause::Forced)
    Budget.ForcedOnly = ForcedOnlyDecisions;
  if (Budget.Credit < 1 - CreditSlack)
    return false;
  Budget.Credit = std::max(0.0, Budget.Credit - 1);
  ++Budget.Moved;
  return true;
}

double decisionsUntilMove(const shift_budget &Budget, const shift_row &Shift) {
  const double Cap = capOf(Shift);
  if (Cap <= 0)
    return HUGE_VAL;
  return std::max(1.0, std::ceil((1 - Budget.Credit) / Cap));
}

double draw(even_draw &Draw) {
  Draw.State += GoldenStep;
  return static_cast<double>(Draw.State >> 11) * 0x1.0p-53;
}

coupled_choice chooseCoupled(const region_shares &Former,
                             const region_shares &InForce, double Draw) {
  std::array<double, MaxRegions> Common{};
  std::array<double, MaxRegions> Lost{};
  std::array<double, MaxRegions> Gained{};
  double CommonSum = 0;
  for (std::size_t I = 0; I < MaxRegions; ++I) {
    Common[I] = std::min(Former.Share[I], InForce.Share[I]);
    Lost[I] = std::max(0.0, Former.Share[I] - InForce.Share[I]);
    Gained[I] = std::max(0.0, InForce.Share[I] - Former.Share[I]);
    CommonSum += Common[I];
  }
  if (Draw < CommonSum) {
    const std::size_t Region = locate(Common, Draw);
    return {Region, Region};
  }
  const double Point = Draw - CommonSum;
  return {locate(Lost, Point), locate(Gained, Point)};
}

} // namespace magnoliaspread
