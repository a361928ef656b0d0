/// State shared by the connections of one gate.
#ifndef MAGNOLIASPREAD_GATE_P_H
#define MAGNOLIASPREAD_GATE_P_H

#include "bodymemory_p.h"
#include "names_p.h"
#include "net_p.h"
#include "pool_p.h"
#include "spilllog_p.h"
#include "target_call_p.h"
#include "targetpermits_p.h"
#include "tokens_p.h"

#include <magnoliaspread/gate.h>
#include <magnoliaspread/placer.h>
#include <magnoliaspread/quarantine.h>
#include <magnoliaspread/retry.h>
#include <magnoliaspread/shift.h>
#include <magnoliaspread/targetpath.h>

#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace magnoliaspread {

/// An admitted request.
struct gate_request {
  std::string Id;
  /// Keeps Route and Workspace alive.
  route_index_ptr Routes;
  const route_row *Route = nullptr;
  /// Null on an open route.
  const routed_workspace *Workspace = nullptr;
  std::string Service;
  place_request Place;
  /// The peer that forwarded it; empty if it came from a caller.
  std::string ForwardedBy;
  /// Targets that the peer has sent it to.
  std::uint32_t EarlierSends = 0;
  request_fingerprint Fingerprint = 0;
};

struct gate::state {
  state(asio::io_context &Context, const gate_settings &Settings,
        const clock &Clock, const gate_dialect &Dialect, token_source &Tokens,
        instance_metrics &Metrics, std::uint64_t Seed);

  struct target_process {
    std::string Name;
    endpoint_address Address;
    std::int64_t StartedAtMs = 0;
    target_start Start = 0;
  };

  asio::awaitable<void> pollWaiting();

  /// Checks route, key and home regions; sends and counts nothing.
  result<gate_request> admit(const whole_request &Request, steady_time Arrived);
  /// Waits until a target can take the request. After an error the request has
  /// not run.
  asio::awaitable<result<target_handle>> place(const place_request &Request);
  /// False if the process is likely to end before a request that is sent now
  /// has its answer.
  bool endsInTime(const place_request &Request) const;
  /// When bodies that are still being read are refused.
  steady_time bodiesUntil() const;
  /// Refuses the requests that wait for a target and would end too late.
  void refuseLate();
  /// Ends the wait of a request that is being placed.
  void cancelPlacement(std::uint64_t Id);
  void wakePlaced();
  /// Reserves a target that can take the request at once.
  std::optional<target_handle> placeNow(const place_request &Request);
  /// \p Heard when the target answered, if only with an error.
  void finished(target_outcome End, bool Heard = false);
  /// Opens a connection for a request that was placed on the target. Fails at
  /// once while the path to the targets is broken.
  asio::awaitable<result<outbound_ptr>> connectTo(target_handle Target,
                                                  steady_time Deadline);
  /// Tells the path's state from the outcome. While the path is in doubt, a
  /// failure counts neither for nor against the target.
  void notePathOutcome(target_outcome &End, bool Heard);
  asio::awaitable<void> probe(target_handle Target);
  std::vector<path_message> tickPath();
  /// Whether the path is broken and a peer may serve the request.
  bool canForward(const gate_request &Wanted) const;
  /// Whether a caller's connection stays open after an answer.
  bool keepsCallers() const {
    return !Leaving && Path.state() != path_state::Broken;
  }
  /// The target's process is gone; a request in flight may have crashed it.
  void targetCrashed(const target_process &Target, std::string_view Source);
  void
  reportCrash(const target_process &Target, std::string_view Source,
              const std::vector<request_fingerprint> &NewlyQuarantined) const;
  void reportQuarantine(request_fingerprint Fingerprint,
                        const target_process &Target) const;
  void persistQuarantine(request_fingerprint Fingerprint) const;
  /// Checks after a broken connection whether the target's process is gone.
  void checkAlive(const target_process &Target);
  asio::awaitable<void> reconnect(target_process Target);
  void detectRestart(const target_process &Target, bool IsLeaving);
  /// The target announced that it leaves; no effect if that is known.
  void handleTargetLeaving(target_handle Target, const std::string &RequestId);
  /// Records whether the answer to a request sent at \p SentAt announced a
  /// rate limit.
  void noteTargetLimit(target_handle Target, const std::string &RequestId,
                       const call_result &Result, boot_time SentAt);
  void mergeLimits(const limit_update &Update);
  void targetLimitsChanged();
  /// Sends the permit requests that are due.
  void requestPermits();
  std::string pickService(const route_row &Route);
  home_regions homesOf(const route_row &Route,
                       const routed_workspace *Workspace) const;
  bool keysCurrent() const;
  double spilledPart() const;
  /// Whether fair shares are on and the configuration has workspaces.
  bool sharesFairly() const;
  /// For place_request::Workspace.
  std::uint32_t workspaceIndex(const routed_workspace *Workspace);
  void addClaims(demand_list &Rows) const;
  void updateShares(const std::vector<region_demand> &Regions);
  /// Logs the workspaces that begin and end to be held to their shares.
  void logShares(steady_time Now);
  /// Names the kind of a request in logs.
  void nameKind(std::uint64_t Kind, const std::string &Route,
                const std::string &Service);
  /// Logs holders gained and given back, and the measured gains.
  void logAffinity();

  struct place_waiter {
    place_waiter(asio::io_context &Context, const place_request &Request)
        : Request(Request), Signal(Context) {}
    const place_request &Request;
    asio::steady_timer Signal;
    std::optional<placement_verdict> Verdict;
  };

  struct share_log_entry {
    bool Held = false;
    steady_time At;
    /// Refusals as of the line.
    std::uint64_t Refused = 0;
  };

  struct last_start {
    target_process Target;
    /// The process announced that it leaves, so its end is no crash.
    bool IsLeaving = false;
  };

  asio::io_context &Context;
  const gate_settings &Settings;
  const clock &Clock;
  const gate_dialect &Dialect;
  token_gate Tokens;
  instance_metrics &Metrics;
  target_permits Permits;
  placer Placer;
  connection_pool Pool;
  target_path Path;
  forward_peers ForwardPeers;
  std::uint64_t Forwarded = 0;
  quarantine Quarantine;
  route_index_ptr Routes;
  boot_time ConfigConfirmedAt;
  bool Leaving = false;
  /// When the process ends, once it is leaving.
  steady_time EndsAt = steady_time::max();
  stable_names<service_handle> Services{MaxServices};
  name_map<std::size_t> RegionNumbers;
  spill_log SpillLog;
  stable_names<workspace_handle> Workspaces{MaxWorkspaces};
  /// By service handle and workspace index.
  std::map<std::pair<std::uint16_t, std::uint32_t>, share_log_entry> ShareLog;
  std::size_t HeldWorkspaces = 0;
  /// By target handle.
  std::vector<target_process> Targets;
  /// By target name.
  name_map<last_start> Starts;
  /// Processes with a connection check in progress.
  std::set<target_start> Reconnecting;
  leaving_handler OnTargetLeaving;
  quarantine_handler OnQuarantine;
  permit_request_handler OnPermitRequest;
  std::unordered_map<std::uint64_t, place_waiter *> Waiters;
  fleet_retry_budget Retries;
  /// By route; spreads requests evenly by the weights of its parts.
  name_map<even_draw> Draws;
  /// Wakes connections without a request, by their numbers.
  std::map<std::uint64_t, asio::steady_timer *> IdleCallers;
  /// Connections are closed as soon as they are idle.
  bool ClosesIdle = false;
  /// Route and service by kind of request.
  std::unordered_map<std::uint64_t, std::string> KindNames;
  steady_time NextGainLog;
  steady_time NextHolderLog;
  std::uint64_t NextId = 0;
  std::size_t InFlight = 0;
  /// Of these, requests behind another one of their connection.
  std::size_t Pipelined = 0;
  std::uint64_t Requests = 0;
  std::size_t Connections = 0;
  memory_budget Memory;
  tcp::acceptor Acceptor;
  /// For requests that peers forward.
  tcp::acceptor ForwardAcceptor;
  asio::steady_timer PollTimer;
  bool Polling = false;
};

/// Refusal of a request for which the process ends too soon.
error endsTooSoon();

/// Who sends the requests of a connection.
enum class request_source : std::uint8_t { Caller, Peer };

/// Serves one connection.
asio::awaitable<void> serveConnection(tcp::socket Socket, gate::state &State,
                                      request_source Source);

} // namespace magnoliaspread

#endif
