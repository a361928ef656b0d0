#include <magnoliaspread/coldshare.h>

#include <magnoliaspread/hash.h>

#include <algorithm>

namespace magnoliaspread {

void cold_shares::setRegionalPeers(const std::vector<entry_candidate> &Alive,
                                   steady_time Now) {
  for (const entry_candidate &Row : Alive)
    Peers[Row.Id] = {Row, Now};
  std::erase_if(Peers, [&](const auto &Row) {
    return Now - Row.second.SeenAt > Policy.PeerTime;
  });
}

double cold_shares::share(std::uint64_t Target,
                          const entry_candidate &Own) const {
  std::vector<entry_candidate> All{Own};
  for (const auto &[Id, Row] : Peers)
    All.push_back(Row.Candidate);
  const std::uint32_t MinCapacity = strongCapacity(All);
  if (Own.Capacity < MinCapacity)
    return 0;
  std::size_t BetterScores = 0;
  std::size_t Instances = 0;
  for (const entry_candidate &Instance : All) {
    if (Instance.Capacity < MinCapacity)
      continue;
    ++Instances;
    BetterScores +=
        rendezvousScore(Target, Instance.Id) > rendezvousScore(Target, Own.Id);
  }
  if (BetterScores >= Policy.Owners)
    return 0;
  return Policy.RateFraction /
         static_cast<double>(std::min(Instances, Policy.Owners));
}

} // namespace magnoliaspread
