/// Runs the membership of this instance: registration, seeds, heartbeats, and
/// probes that confirm whether a suspect local peer is dead.
#ifndef MAGNOLIASPREAD_MEMBERSYS_P_H
#define MAGNOLIASPREAD_MEMBERSYS_P_H

#include "datagrams_p.h"
#include "rostersys_p.h"

#include <magnoliaspread/clock.h>
#include <magnoliaspread/member.h>
#include <magnoliaspread/platform.h>
#include <magnoliaspread/settings.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <set>
#include <string>

namespace magnoliaspread {

class member_system {
public:
  /// Called with the incarnation of a process that is confirmed dead.
  using death_handler = std::function<void(std::uint64_t Incarnation)>;

  member_system(boost::asio::io_context &Context, object_store &Store,
                datagram_port &Port, const clock &Clock,
                const instance_settings &Settings,
                const member_identity &Identity, std::uint64_t Seed,
                death_handler OnDeath);

  void tick();
  void receive(const endpoint_address &From, const member_message &Message);

  /// Announces to all peers, and in the platform, that this instance leaves.
  void leave();

  /// Adds seeds whose name and data centre are unknown to those of the
  /// settings; each host is tried for every data centre.
  void addSeedHosts(const std::vector<std::string> &Hosts,
                    const std::vector<std::string> &DataCentres);

  /// Whether this instance reads the platform for its region.
  void setReader(bool Reads) { IsReader = Reads; }

  /// The platform lost a part of its history; \p Era is the new one.
  void historyLost(store_era Era) { Registry.historyLost(Era); }

  roster_system &registry() { return Registry; }
  const roster_system &registry() const { return Registry; }

  membership &members() { return Members; }
  const membership &members() const { return Members; }

private:
  void send(const outbox &Messages);
  void updateSeeds();
  void probeSuspects();
  void probe(const member_identity &Peer);

  boost::asio::io_context &Context;
  object_store &Store;
  datagram_port &Port;
  const clock &Clock;
  const instance_settings &Settings;
  membership Members;
  death_handler OnDeath;
  roster_system Registry;
  bool IsReader = false;
  std::vector<seed_address> Hosts;
  std::set<std::uint64_t> Probing;
  steady_time NextProbe;
};

} // namespace magnoliaspread

#endif
