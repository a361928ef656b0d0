/// Tells peers whether this instance reaches targets, and keeps what they tell.
#ifndef MAGNOLIASPREAD_PATHSYS_P_H
#define MAGNOLIASPREAD_PATHSYS_P_H

#include "datagrams_p.h"

#include <magnoliaspread/clock.h>
#include <magnoliaspread/gate.h>
#include <magnoliaspread/member.h>

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace magnoliaspread {

class path_system {
public:
  /// All references outlive the system.
  path_system(gate &Gate, datagram_port &Datagrams, std::string DataCentre,
              std::uint64_t Seed);

  /// Sets the live instances of all data centres, without this one.
  void setPeers(const std::vector<member_row> &Alive) { Peers = Alive; }

  /// Sends what is due.
  void tick(steady_time Now);

  /// \p Sender is the sending instance. True when its path has changed.
  bool receive(const member_row &Sender, const path_message &Message,
               steady_time Now);

  /// The peer has announced that it reaches no targets.
  bool isBroken(const std::string &Name, steady_time Now) const;
  std::size_t brokenCount(steady_time Now) const;

private:
  std::vector<endpoint_address> takePeers(std::vector<const member_row *> &Rows,
                                          std::size_t Near,
                                          std::size_t Far) const;
  void query(const path_query &Query);
  void announce(const path_report &Report);

  gate &Gate;
  datagram_port &Datagrams;
  std::string DataCentre;
  std::mt19937_64 Random;
  std::vector<member_row> Peers;
  steady_time NextAnnouncement;
  /// Peers with a broken path, by name, and until when that holds.
  std::map<std::string, steady_time> Broken;
};

} // namespace magnoliaspread

#endif
