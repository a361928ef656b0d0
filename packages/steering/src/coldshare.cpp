#include <magnoliaspread/coldshare.h>

#include <magnoliaspread/hash.h>

#include <algorithm>

namespace magnoliaspread {

void cold_shares::setMates(const std::vector<entry_candidate> &Alive,
                           steady_time Now) {
  for (const entry_candidate &Row : Alive)
    Mates[Row.Id] = {Row, Now};
  std::erase_if(Mates, [&](const auto &Row) {
    return Now - Row.second.SeenAt > Policy.MateTime;
  });
}

double cold_shares::share(std::uint64_t Target,
                          const entry_candidate &Own) const {
  std::vector<entry_candidate> All{Own};
  for (const auto &[Id, Row] : Mates)
    All.push_back(Row.Candidate);
  const std::uint32_t Strong = strongCapacity(All);
  if (Own.Capacity < Strong)
    return 0;
  std::size_t Better = 0;
  std::size_t Instances = 0;
  for (const entry_candidate &Mate : All) {
    if (Mate.Capacity < Strong)
      continue;
    ++Instances;
    Better +=
        rendezvousScore(Target, Mate.Id) > rendezvousScore(Target, Own.Id);
  }
  if (Better >= Policy.Owners)
    return 0;
  return Policy.Part / static_cast<double>(std::min(Instances, Policy.Owners));
}

} // namespace magnoliaspread
