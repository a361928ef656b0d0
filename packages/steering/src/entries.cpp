#include <magnoliaspread/entries.h>

#include <algorithm>
#include <numeric>

namespace magnoliaspread {

std::vector<std::size_t>
chooseEntries(const std::vector<entry_candidate> &Candidates,
              const entry_policy &Policy) {
  std::vector<std::size_t> Rows(Candidates.size());
  std::iota(Rows.begin(), Rows.end(), std::size_t{0});
  double Rate = 0;
  for (const entry_candidate &Candidate : Candidates) {
    if (Candidate.Capacity == 0)
      return Rows;
    Rate += Candidate.Rate;
  }
  std::sort(Rows.begin(), Rows.end(), [&](std::size_t A, std::size_t B) {
    const entry_candidate &Left = Candidates[A];
    const entry_candidate &Right = Candidates[B];
    if (Left.Capacity != Right.Capacity)
      return Left.Capacity > Right.Capacity;
    return Left.Id < Right.Id;
  });
  // Callers spread evenly, so the smallest announced capacity is the limit.
  std::size_t Best = Rows.size();
  double MaxCarried = 0;
  for (std::size_t Count = std::min(Policy.MinCount, Rows.size());
       Count <= Rows.size() && Count > 0; ++Count) {
    const double Carried =
        static_cast<double>(Count) * Candidates[Rows[Count - 1]].Capacity;
    if (Carried <= MaxCarried)
      continue;
    MaxCarried = Carried;
    Best = Count;
    if (Carried >= Rate * Policy.Headroom)
      break;
  }
  Rows.resize(Best);
  return Rows;
}

std::uint32_t strongCapacity(const std::vector<entry_candidate> &Candidates) {
  std::uint32_t Largest = 0;
  for (const entry_candidate &Row : Candidates)
    Largest = std::max(Largest, Row.Capacity);
  return Largest / 2;
}

} // namespace magnoliaspread
