/// The gate: a reverse proxy that routes requests by host and path and sends
/// each to a target of the route's service over a direct connection. Runs on
/// the io_context of the control systems; starts no threads.
#ifndef MAGNOLIASPREAD_GATE_H
#define MAGNOLIASPREAD_GATE_H

#include <magnoliaspread/affinity.h>
#include <magnoliaspread/clock.h>
#include <magnoliaspread/crossing.h>
#include <magnoliaspread/error.h>
#include <magnoliaspread/fleetauth.h>
#include <magnoliaspread/forwardpeers.h>
#include <magnoliaspread/gate_dialect.h>
#include <magnoliaspread/metrics.h>
#include <magnoliaspread/pathmsg.h>
#include <magnoliaspread/permitlender.h>
#include <magnoliaspread/pipeline.h>
#include <magnoliaspread/quarantine.h>
#include <magnoliaspread/registry.h>
#include <magnoliaspread/retry.h>
#include <magnoliaspread/routes.h>
#include <magnoliaspread/servicedemand.h>
#include <magnoliaspread/targetlimits.h>
#include <magnoliaspread/tokensource.h>
#include <magnoliaspread/view.h>
#include <magnoliaspread/waitqueue.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace magnoliaspread {

struct gate_settings {
  /// Of this instance.
  std::string Name;
  endpoint_address Public;
  std::string DataCentre;
  std::string Region;
  /// Region of each data centre.
  name_map<std::string> Regions;
  /// Requests with a key are refused once the configuration was last confirmed
  /// current this long ago; zero is no limit.
  std::chrono::milliseconds KeyedConfigMaxAge{0};
  fleet_retry_settings Retries;
  /// Tell a broken path of this instance apart from targets that are down.
  bool DetectBrokenPath = false;
  /// Where peers forward requests to while they reach no targets; port 0 is
  /// nowhere.
  endpoint_address Forward;
  /// Signs forwarded requests.
  fleet_secret Secret;
  crossing_costs Crossing;
  /// Limit of buffered bodies, in bytes; requests beyond it are refused.
  std::size_t MaxBodyMemory = 32u << 20;
  /// Bounds of the requests of one connection that run at once.
  pipeline_limits Pipelining;
  /// Placement by the demand of the regions: the largest part of a region's
  /// requests that may change region from one window of 2 s to the next; 0 is
  /// off.
  double MaxRegionShift = 0;
  affinity_policy Affinity;
  /// Division of slots between workspaces.
  fair_share_policy FairShare;
};

/// A target and this instance's share of its cold rate.
struct gate_target {
  registered_target Target;
  /// Requests per second that this instance may send while the target is cold.
  double ColdRate = 0;
};

struct gate_counts {
  /// Requests whose head has arrived and whose answer is not complete.
  std::size_t InFlight = 0;
  /// Of these, requests behind another one of their connection.
  std::size_t Pipelined = 0;
  std::size_t Waiting = 0;
  std::size_t Connections = 0;
  /// Requests that were in flight on crashed targets, and those refused for
  /// that.
  std::size_t Suspects = 0;
  std::size_t Quarantined = 0;
  /// Targets that announced a rate limit.
  std::size_t LimitedTargets = 0;
  crossing_counts Crossings;
  /// Targets that report that their work takes longer than usual.
  std::size_t SlowTargets = 0;
  /// Largest part of a service's objects that the plan by demand places in
  /// other regions; 0 without one.
  double SpilledPart = 0;
  /// Requests sent to a peer that serves them.
  std::uint64_t Forwarded = 0;
  /// Requests since the start.
  std::uint64_t Requests = 0;
  /// Holders of all objects, and runs expected warm that took cold time.
  std::size_t Holders = 0;
  std::uint64_t Forgotten = 0;
  /// Kinds with a measured gain, and those of them that are spread by load.
  std::size_t MeasuredKinds = 0;
  std::size_t SpreadKinds = 0;
  /// Workspaces held to their share of a service, and requests refused for it.
  std::size_t HeldWorkspaces = 0;
  std::uint64_t ShareRefusals = 0;
};

class gate {
public:
  /// All references outlive the gate.
  gate(boost::asio::io_context &Context, const gate_settings &Settings,
       const clock &Clock, const gate_dialect &Dialect, token_source &Tokens,
       instance_metrics &Metrics, std::uint64_t Seed);
  ~gate();
  gate(const gate &) = delete;
  gate &operator=(const gate &) = delete;

  /// Opens the port; connections wait there until acceptCallers().
  /// BadSettings when it can't be opened.
  status open();
  void acceptCallers();

  void setRoutes(route_index_ptr Routes);
  /// The configuration was confirmed current at \p At.
  void setConfigConfirmed(boot_time At);
  void setTargets(const std::vector<gate_target> &Targets);
  /// Instances that share the fleet's limits, this one included.
  void setInstances(std::size_t Count);
  void setTokenWaits(const std::vector<token_wait> &Waits);
  /// Called when a request begins to wait for a token.
  void onTokenShortage(std::function<void()> Handler);
  /// Lets requests that wait for tokens retry; call when tokens arrive.
  void retryTokenWaiters();
  /// Called when a target announces in an answer that it leaves; false if that
  /// was known. The next setTargets() must not have the target open.
  using leaving_handler =
      std::function<bool(const std::string &Name, std::int64_t StartedAtMs)>;
  void onTargetLeaving(leaving_handler Handler);
  /// From now on connections are closed after each answer, and requests that
  /// can't be expected to end before \p EndsAt are refused.
  void setLeaving(steady_time EndsAt);

  /// Lets requests that wait for tokens retry; call every few tens of
  /// milliseconds.
  void tick();

  /// Closes the public port and idle connections.
  void stopAccepting();

  /// Called when a crash seen by this instance quarantines a request.
  using quarantine_handler = std::function<void(const suspect_report &Report)>;
  void onQuarantine(quarantine_handler Handler);
  /// Merges a peer's reports of crashes.
  void receive(const quarantine_update &Update);
  /// Crash reports to gossip, each for some of \p Peers peers.
  std::vector<quarantine_message> gossipCrashes(std::size_t Peers);
  /// All current crash reports, for a peer that has just started.
  quarantine_update crashSnapshot() const;

  /// Sets the live instances of all regions, without this one, that share the
  /// rate limits of targets.
  void setLimitInstances(std::vector<permit_instance> Alive);
  void limitInstanceLeft(const std::string &Name);
  /// Called for each permit request to send to another instance.
  using permit_request_handler =
      std::function<void(const outgoing_permit_request &Request)>;
  void onPermitRequest(permit_request_handler Handler);
  /// Gossip of rate limits that is due, each for some of \p Peers peers.
  std::vector<limit_message> gossipLimits(std::size_t Peers);
  void receive(const limit_update &Update);
  /// \p Sender is the incarnation of the requesting process.
  permit_grant answer(const permit_request &Request, std::uint64_t Sender);
  void receive(const permit_grant &Grant);

  /// Merges affinity and load updates of a peer of the region.
  void receive(const object_update &Update);
  /// Pending affinity and load updates for the peers of the region.
  std::vector<object_update> takeUpdates();

  /// What is due to tell peers about this instance's path to the targets; call
  /// every few tens of milliseconds.
  std::vector<path_message> tickPath();
  path_report answer(const path_query &Query);
  void receive(const path_report &Report);
  /// A peer has announced that its path is broken.
  void notePeerBroken();
  /// Live instances of all regions, without this one.
  void setForwardPeers(std::vector<forward_peer> Peers);
  /// As in home_regions; the largest number for a region that isn't known.
  std::uint8_t regionNumber(const std::string &Region) const;
  /// This instance reaches no targets and peers do. Requests are forwarded to
  /// peers, new connections to targets fail at once, and connections of callers
  /// are closed after each answer.
  bool pathBroken() const;
  /// What this instance's callers ask, for the other instances; empty when
  /// placement by demand and fair shares are off.
  demand_list demand() const;
  /// Adapts the placement to the demand of the regions; those missing are
  /// unknown. Call a few times a second.
  void setDemand(const std::vector<region_demand> &Regions);

  gate_counts counts() const;

  /// Shared with the connections; private to the package.
  struct state;

private:
  std::unique_ptr<state> State;
};

} // namespace magnoliaspread

#endif
