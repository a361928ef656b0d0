/// Choice of the peer that serves the requests of an instance which reaches no
/// targets.
///
/// Load it answers: an instance, most or all of a data centre are cut off from
/// all targets, and callers go on using them for as long as they keep an
/// answer of the directory. Does no I/O and reads no clock. Not thread-safe.
#ifndef MAGNOLIASPREAD_FORWARDPEERS_H
#define MAGNOLIASPREAD_FORWARDPEERS_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/placerequest.h>
#include <magnoliaspread/settings.h>
#include <magnoliaspread/targetdistance.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace magnoliaspread {

struct forward_peer {
  std::string Name;
  /// Where it takes forwarded requests.
  endpoint_address Address;
  std::uint8_t Region = 0;
  target_distance Distance = target_distance::Remote;
  /// Requests a second that it can handle; 0 is unknown.
  std::uint32_t Capacity = 0;
  /// It has announced that it reaches no targets.
  bool Broken = false;
};

class forward_peers {
public:
  explicit forward_peers(std::uint64_t Seed) : Random(Seed) {}

  void setPeers(std::vector<forward_peer> Rows) { Peers = std::move(Rows); }

  /// Whether any peer may be chosen.
  bool any(home_regions Homes, steady_time Now) const;

  /// A peer in one of the \p Homes, or anywhere if there are none, without
  /// those in \p Tried. Another data centre of the region comes first, since a
  /// cut often covers a whole data centre; among equals, chosen in proportion
  /// to capacity.
  std::optional<forward_peer> choose(home_regions Homes,
                                     const std::vector<std::string> &Tried,
                                     steady_time Now);

  /// The peer didn't answer, or reaches no targets either; it isn't chosen for
  /// a second.
  void failed(const std::string &Name, steady_time Now);

private:
  bool usable(const forward_peer &Peer, home_regions Homes,
              steady_time Now) const;

  std::mt19937_64 Random;
  std::vector<forward_peer> Peers;
  /// By name.
  std::map<std::string, steady_time> AvoidedUntil;
};

} // namespace magnoliaspread

#endif
