/// Exchanges with peers what the gate's targets announce of their rate limits,
/// and permits for single requests.
#ifndef MAGNOLIASPREAD_TARGETLIMITSYS_P_H
#define MAGNOLIASPREAD_TARGETLIMITSYS_P_H

#include "datagrams_p.h"

#include <magnoliaspread/gate.h>
#include <magnoliaspread/member.h>

#include <cstdint>
#include <vector>

namespace magnoliaspread {

class target_limit_system {
public:
  /// All references outlive the system.
  target_limit_system(gate &Gate, datagram_port &Datagrams,
                      const membership &Members);

  /// Sets the live instances of all data centres, without this one.
  void setPeers(const std::vector<member_row> &Alive);

  /// Sends the gossip that is due.
  void tick();

  /// \p Sender is the incarnation of the sending process.
  void receive(std::uint64_t Sender, const target_limit_message &Message);

private:
  gate &Gate;
  datagram_port &Datagrams;
  const membership &Members;
  std::vector<member_row> Peers;
};

} // namespace magnoliaspread

#endif
