#include <magnoliaspread/targetpace.h>

#include "placermath_p.h"

#include <algorithm>

namespace magnoliaspread {

void target_paces::note(target_handle Target, double Factor, steady_time Now) {
  if (!Target.valid())
    return;
  if (Target.Index >= Rows.size())
    Rows.resize(Target.Index + 1U);
  Rows[Target.Index] = {std::clamp(Factor, 1.0, Policy.MaxFactor), Now};
}

void target_paces::forget(target_handle Target) {
  if (Target.valid() && Target.Index < Rows.size())
    Rows[Target.Index] = row();
}

double target_paces::factor(target_handle Target, steady_time Now) const {
  if (!Target.valid() || Target.Index >= Rows.size())
    return 1;
  const row &Row = Rows[Target.Index];
  if (Row.Factor <= 1)
    return 1;
  return 1 + (Row.Factor - 1) * decayFactor(Now - Row.NotedAt, Policy.HalfLife);
}

std::size_t target_paces::slowTargets(steady_time Now) const {
  std::size_t Count = 0;
  for (std::size_t I = 0; I < Rows.size(); ++I)
    if (isSlow(factor(handleAt<target_handle>(I), Now)))
      ++Count;
  return Count;
}

double unexplainedSlowness(double Ratio, double Factor) {
  if (Factor <= 1 || Ratio <= 1)
    return Ratio;
  return std::max(1.0, Ratio / Factor);
}

} // namespace magnoliaspread
