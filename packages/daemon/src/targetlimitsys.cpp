#include "targetlimitsys_p.h"

#include <algorithm>
#include <utility>

namespace magnoliaspread {

target_limit_system::target_limit_system(gate &Gate, datagram_port &Datagrams,
                                         const membership &Members)
    : Gate(Gate), Datagrams(Datagrams), Members(Members) {
  Gate.onPermitRequest([this](const outgoing_permit_request &Row) {
    if (const auto To = this->Members.find(Row.To))
      this->Datagrams.send({To->Identity.Internal},
                           target_limit_message(Row.Request));
  });
}

void target_limit_system::setPeers(const std::vector<member_row> &Alive) {
  const auto SameName = [](const member_row &A, const member_row &B) {
    return A.Identity.Name == B.Identity.Name;
  };
  const std::vector<member_row> Before = std::exchange(Peers, Alive);
  if (std::equal(Before.begin(), Before.end(), Peers.begin(), Peers.end(),
                 SameName))
    return;
  std::vector<permit_instance> Instances;
  Instances.reserve(Peers.size());
  for (const member_row &Row : Peers)
    Instances.push_back({Row.Identity.Name, Row.Identity.Region});
  Gate.setLimitInstances(std::move(Instances));
  for (const member_row &Row : Before) {
    const auto Now = Members.find(Row.Identity.Name);
    if (Now && Now->Report.State == member_state::Leaving)
      Gate.limitInstanceLeft(Row.Identity.Name);
  }
}

void target_limit_system::tick() {
  for (const limit_message &Message : Gate.gossipLimits(Peers.size())) {
    std::vector<endpoint_address> To;
    for (const std::size_t Peer : Message.To)
      To.push_back(Peers[Peer].Identity.Internal);
    Datagrams.send(To, target_limit_message(Message.Update));
  }
}

void target_limit_system::receive(std::uint64_t Sender,
                                  const target_limit_message &Message) {
  if (const auto *Update = std::get_if<limit_update>(&Message))
    return Gate.receive(*Update);
  if (const auto *Grant = std::get_if<permit_grant>(&Message))
    return Gate.receive(*Grant);
  const permit_grant Grant =
      Gate.answer(std::get<permit_request>(Message), Sender);
  if (const auto To = Members.findIncarnation(Sender))
    Datagrams.send({To->Identity.Internal}, target_limit_message(Grant));
}

} // namespace magnoliaspread
