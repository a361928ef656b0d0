/// Runs the membership of this instance: registration, seeds, heartbeats, and
/// probes that confirm whether a suspect local peer is dead.
#ifndef MAGNOLIASPREAD_MEMBERSYS_P_H
#define MAGNOLIASPREAD_MEMBERSYS_P_H

#include "datagrams_p.h"

#include <magnoliaspread/clock.h>
#include <magnoliaspread/member.h>
#include <magnoliaspread/platform.h>
#include <magnoliaspread/settings.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace magnoliaspread {

/// An instance as registered in the platform.
struct registered_instance {
  std::string Name;
  std::string DataCentre;
};

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

  /// The instances registered in the platform, without this one; empty before
  /// the first list.
  const std::optional<std::vector<registered_instance>> &registered() const {
    return Registrations;
  }

  /// The platform lost a part of its history: registers again, and lists the
  /// instances once the others have registered again.
  void historyLost();

  /// Lists the instances again soon, when more are alive than are listed.
  void listSoon();

  /// The registered instances' addresses, without this one's.
  const std::vector<seed_address> &listed() const { return Listed; }

  membership &members() { return Members; }
  const membership &members() const { return Members; }

private:
  void send(const outbox &Messages);
  void updateSeeds();
  void listInstances();
  void registerSelf();
  bool isRegistrationCurrent(const object_list &List) const;
  void probeSuspects();
  void probe(const member_identity &Peer);

  boost::asio::io_context &Context;
  object_store &Store;
  datagram_port &Port;
  const clock &Clock;
  const instance_settings &Settings;
  membership Members;
  death_handler OnDeath;
  std::vector<seed_address> Listed;
  std::vector<seed_address> Hosts;
  std::optional<std::vector<registered_instance>> Registrations;
  /// The platform has an object of this instance's name.
  bool ObjectExists = false;
  std::set<std::uint64_t> Probing;
  steady_time ListedAt;
  steady_time NextList;
  steady_time NextRegister;
  steady_time NextProbe;
  bool Registered = false;
  bool Registering = false;
  bool Listing = false;
  /// The list in progress may lack instances that register again.
  bool DropList = false;
  bool RegisterAgain = false;
  std::mt19937_64 Random;
  bool Leaving = false;
  /// No instance has registered before this start of the fleet.
  bool FirstStart = false;
};

/// Name of the platform object in which an instance registers its addresses.
std::string instanceObjectName(const std::string &Instance);

} // namespace magnoliaspread

#endif
