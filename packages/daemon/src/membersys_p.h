/// Membership of this instance on the wire: seeds, heartbeats, and probes of
/// silent mates for a proof of death.
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
#include <set>
#include <string>

namespace magnoliaspread {

/// An instance by the platform's list.
struct registered_instance {
  std::string Name;
  std::string DataCentre;
};

class member_system {
public:
  /// Runs when a process is proven dead, with its incarnation.
  using death_handler = std::function<void(std::uint64_t Incarnation)>;

  member_system(boost::asio::io_context &Context, object_store &Store,
                datagram_port &Port, const clock &Clock,
                const instance_settings &Settings,
                const member_identity &Identity, std::uint64_t Seed,
                death_handler Died);

  void tick();
  void receive(const endpoint_address &From, const member_message &Message);

  /// Tells everyone, and the platform, that this instance leaves.
  void leave();

  /// Seeds of any data centre, beside those of the settings; names and data
  /// centres are not known.
  void addSeedHosts(const std::vector<std::string> &Hosts,
                    const std::vector<std::string> &DataCentres);

  /// Names and data centres of the instances that have registered in the
  /// platform, without this one; empty before the first list.
  const std::optional<std::vector<registered_instance>> &registered() const {
    return Registrations;
  }

  /// Lists the instances again soon, as more are alive than the list names.
  void listSoon();

  /// The registered instances' addresses, without this one's.
  const std::vector<seed_address> &listed() const { return Listed; }

  membership &members() { return Members; }
  const membership &members() const { return Members; }

private:
  void send(const outbox &Messages);
  void seed();
  void listInstances();
  void registerSelf();
  bool isRegisteredAsIs(const object_list &List) const;
  void probeSilent();
  void probe(const member_identity &Mate);

  boost::asio::io_context &Context;
  object_store &Store;
  datagram_port &Port;
  const clock &Clock;
  const instance_settings &Settings;
  membership Members;
  death_handler Died;
  std::vector<seed_address> Listed;
  std::vector<seed_address> Hosts;
  std::optional<std::vector<registered_instance>> Registrations;
  /// The platform holds an object of this instance's name.
  bool ObjectExists = false;
  std::set<std::uint64_t> Probing;
  steady_time ListedAt;
  steady_time NextList;
  steady_time NextRegister;
  steady_time NextProbe;
  bool Registered = false;
  bool Registering = false;
  bool Listing = false;
  bool Leaving = false;
  /// No instance has registered before this start of the fleet.
  bool FirstStart = false;
};

/// Name of the platform object in which an instance tells its addresses.
std::string instanceObjectName(const std::string &Instance);

} // namespace magnoliaspread

#endif
