#include <magnoliaspread/forwardpeers.h>

#include <algorithm>
#include <array>

namespace magnoliaspread {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds AvoidTime{1000};
constexpr std::array Order{target_distance::Region, target_distance::DataCentre,
                           target_distance::Remote};

} // namespace

bool forward_peers::usable(const forward_peer &Peer, home_regions Homes,
                           steady_time Now) const {
  if (Peer.Broken || (Homes.any() && !Homes.test(Peer.Region)))
    return false;
  const auto Avoided = AvoidedUntil.find(Peer.Name);
  return Avoided == AvoidedUntil.end() || Now >= Avoided->second;
}

bool forward_peers::any(home_regions Homes, steady_time Now) const {
  return std::any_of(Peers.begin(), Peers.end(), [&](const forward_peer &Peer) {
    return usable(Peer, Homes, Now);
  });
}

std::optional<forward_peer>
forward_peers::choose(home_regions Homes, const std::vector<std::string> &Tried,
                      steady_time Now) {
  for (const target_distance Distance : Order) {
    std::vector<const forward_peer *> Rows;
    std::vector<double> Weights;
    for (const forward_peer &Peer : Peers) {
      if (Peer.Distance != Distance || !usable(Peer, Homes, Now) ||
          std::find(Tried.begin(), Tried.end(), Peer.Name) != Tried.end())
        continue;
      Rows.push_back(&Peer);
      Weights.push_back(std::max<double>(1, Peer.Capacity));
    }
    if (Rows.empty())
      continue;
    std::discrete_distribution<std::size_t> Draw(Weights.begin(),
                                                 Weights.end());
    return *Rows[Draw(Random)];
  }
  return std::nullopt;
}

void forward_peers::failed(const std::string &Name, steady_time Now) {
  std::erase_if(AvoidedUntil,
                [&](const auto &Row) { return Now >= Row.second; });
  AvoidedUntil[Name] = Now + AvoidTime;
}

} // namespace magnoliaspread
