/// One entry instance in front of a platform: its systems and how they are
/// joined.
#ifndef MAGNOLIASPREAD_GATEWAY_P_H
#define MAGNOLIASPREAD_GATEWAY_P_H

#include <magnoliaspread/gateway.h>

#include "admin_p.h"
#include "datagrams_p.h"
#include "follower_p.h"
#include "gatewayparts_p.h"
#include "identity_p.h"
#include "membersys_p.h"
#include "pathsys_p.h"
#include "quarantinestore_p.h"
#include "targetlimitsys_p.h"

#include <magnoliaspread/coldshare.h>
#include <magnoliaspread/entries.h>
#include <magnoliaspread/gate.h>
#include <magnoliaspread/http_store.h>
#include <magnoliaspread/limiter.h>
#include <magnoliaspread/startsource.h>
#include <magnoliaspread/traffic.h>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace magnoliaspread {

namespace asio = boost::asio;

entry_candidate candidateOf(const member_identity &Identity,
                            const load_summary &Load);
std::string textOf(const endpoint_address &Address);

class gateway {
public:
  gateway(const instance_settings &Settings, const fleet_platform &Platform,
          const clock &Clock, fleet_secret Secret, const fleet_key &Key,
          settings_reader Reload);

  status run();

private:
  status open();
  void awaitSignal();
  void reload();
  void tick();
  void applyRoutes(const routes_object &Object, boot_time AsOf);
  void publishTargets(steady_time Now);
  double coldRate(const target_record &Record) const;
  entry_candidate ownCandidate() const;
  /// Live peers of the own region.
  std::vector<entry_candidate> regionCandidates() const;
  void updatePeers(steady_time Now);
  void updateForwardPeers(steady_time Now);
  void runLimits(steady_time Now);
  void updateRoster(steady_time Now);
  void hearRoster(const member_identity &Peer, const view_reply &Reply);
  /// Adds how current this instance's roster is.
  void addRoster(view_reply &Reply) const;
  void receive(const endpoint_address &From, const received_datagram &Datagram);
  void receive(std::uint64_t Sender, const quota_message &Message);
  void applyViewReply(std::uint64_t Sender, const view_reply &Reply);
  void sendTo(const std::optional<member_row> &Row,
              const control_message &Message);
  void measure(steady_time Now);
  bool serving() const;
  std::vector<std::string> directory() const;
  /// 0 in the data centre, 1 in the region, else 2.
  int distanceOf(const member_identity &Peer) const;
  bool lacksCapacity(steady_time Now) const;
  std::vector<std::string> directoryRows(bool OnlyWorkingPaths) const;
  void logDirectory(const std::vector<std::string> &Addresses);
  admin_answer directoryPage(std::string_view Target);
  admin_answer readyPage(std::string_view Target) const;
  admin_answer peerPage(const admin_port::request &Request) const;
  void requestView();
  /// The configuration in force at \p Peer was current at \p AsOf, in \p Era.
  void fetchRoutes(const endpoint_address &Peer, boot_time AsOf, store_era Era);
  void bootstrapTargets(steady_time Now);
  std::vector<endpoint_address> startPeers() const;
  void requestSnapshot(const endpoint_address &Peer);
  void applySnapshot(const endpoint_address &Peer, boot_time RequestedAt,
                     const result<std::string> &Fetched);
  admin_answer snapshotPage() const;
  void gossipCrashes();
  void sendKnownCrashes(const std::vector<endpoint_address> &Started);
  void sendObjectUpdates(steady_time Now);
  std::vector<endpoint_address> updateReceivers() const;
  void beginDrain();
  void watchDrain(steady_time Now);

  const instance_settings &Settings;
  const fleet_platform &Platform;
  const clock &Clock;
  fleet_secret Secret;
  settings_reader Reload;
  gate_settings GateSettings;
  member_identity Identity;
  asio::io_context Context{1};
  http_store Store;
  instance_metrics Metrics;
  datagram_port Datagrams;
  member_system Members;
  fleet_limiter Limiter;
  target_registry Registry;
  platform_view View;
  platform_follower Follower;
  start_source Start;
  cold_shares ColdShares;
  gate Gate;
  target_limit_system TargetLimits;
  path_system Paths;
  quarantine_store Quarantines;
  admin_port Admin;
  admin_port Directory;
  admin_port Ready;
  /// Serves the configuration to peers.
  admin_port Internal;
  asio::steady_timer Timer;
  asio::signal_set Signals;
  std::vector<std::string> DataCentres;
  route_index_ptr InForce;
  /// The object that InForce was read from.
  routes_object Source;
  /// The era in which an older configuration than InForce was last logged.
  store_era BehindLoggedIn = 0;
  bool Fetching = false;
  std::mt19937_64 Random{randomNumber()};
  std::uint64_t PublishedRevision = 0;
  steady_time StartedAt;
  steady_time NextPeers;
  steady_time NextMeasure;
  steady_time NextObjectUpdates;
  /// Live instances of all data centres, without this one.
  std::vector<member_row> Peers;
  std::size_t PeerCount = 0;
  std::set<std::string> PeerNames;
  /// The roster that the limiter has.
  std::uint64_t RosterHash = 0;
  bool RosterMinting = false;
  bool FetchingRoster = false;
  /// Incarnations of Peers.
  std::set<std::uint64_t> KnownIncarnations;
  load_summary Load;
  std::uint64_t LastRequests = 0;
  std::size_t Regions = 1;
  /// The directory's answer that was last logged.
  std::vector<std::string> LoggedDirectory;
  steady_time NextDirectoryLog;
  bool Accepting = false;
  std::optional<steady_time> DrainingSince;
  std::optional<steady_time> ClosedAt;
};

} // namespace magnoliaspread

#endif
