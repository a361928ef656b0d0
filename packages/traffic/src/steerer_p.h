/// Steers requests: takes a token of the workspace's limit, chooses a region by
/// weights and shift cap, then waits in a fair queue for a slot of an own
/// target or a credit of a peer instance.
#ifndef MAGNOLIASPREAD_STEERER_P_H
#define MAGNOLIASPREAD_STEERER_P_H

#include "dispatch_p.h"
#include "lane_p.h"
#include "names_p.h"
#include "tokens_p.h"

#include <magnoliaspread/clock.h>
#include <magnoliaspread/config.h>
#include <magnoliaspread/credit.h>
#include <magnoliaspread/region.h>
#include <magnoliaspread/settings.h>
#include <magnoliaspread/target.h>
#include <magnoliaspread/tokenpool.h>

#include <memory>
#include <random>
#include <vector>

namespace magnoliaspread {

class steerer final : public dispatcher {
public:
  steerer(asio::io_context &Context, const clock &Clock,
          const instance_settings &Settings, token_pool &Source,
          std::uint64_t Seed);

  void publish(traffic_view_ptr NewView) override;
  asio::awaitable<result<dispatch_place>>
  place(const placement_request &Request) override;
  void tick() override;
  void fillReport(thread_report &Report) override;
  void receive(const peer_credit_message &Message) override;
  void receive(const quarantine_update &Update) override;
  void finished(const dispatch_place &Place,
                const relay_outcome &Outcome) override;

private:
  /// Indexed by handles of ServiceNames, which outlive a configuration.
  struct service_state {
    std::string Name;
    /// Handle in the plan of the current configuration.
    service_handle Planned;
    region_mask Serving;
    /// By region of the plan.
    std::vector<std::unique_ptr<lane>> Lanes;
    /// Requests that peers forwarded with a credit; own targets only.
    std::unique_ptr<lane> Forwarded;
  };

  struct peer_state {
    instance_view View;
    /// Region in the plan; invalid if the plan has no such region.
    region_handle Region;
    bool Present = false;
  };

  struct credit_request_time {
    instance_handle Peer;
    service_handle Service;
    steady_time At;
  };

  void rebuildPlan();
  bool isActive(std::string_view DataCentre) const;
  region_mask servingRegions(const std::string &Service) const;
  void updateTargets();
  void updatePeers();
  void updateWeights();

  result<region_handle> decideRegion(const placement_request &Request);
  asio::awaitable<result<dispatch_place>>
  placeUnchecked(const placement_request &Request, service_handle Service);
  asio::awaitable<result<dispatch_place>>
  placeInRegion(const placement_request &Request, service_handle Service);
  asio::awaitable<result<dispatch_place>> placeIsolated(service_handle Service,
                                                        steady_time Deadline);
  /// The own target with a usable slot and the fewest requests in flight;
  /// invalid if none has a slot.
  target_handle leastLoaded(service_handle Service) const;
  result<limit_handle> admitLimit(const placement_request &Request);
  result<dispatch_place> countLimit(result<dispatch_place> Place,
                                    limit_handle Limit);
  result<dispatch_place> startAttempt(const placement_request &Request,
                                      dispatch_place Place);
  void reportToQuarantine(const dispatch_place &Place,
                          const relay_outcome &Outcome, steady_time Now);
  asio::awaitable<result<dispatch_place>>
  placeForwarded(placement_request Request, service_handle Service);
  region_mask availableRegions(service_handle Service, steady_time Now) const;
  region_mask dropSlowRegions(const region_mask &Regions,
                              service_handle Service,
                              workspace_handle Workspace) const;
  lane &laneOf(service_handle Service, region_handle Region);
  lane &forwardedLaneOf(service_handle Service);
  lane &openLane(std::unique_ptr<lane> &Lane);
  offered_slots offeredSlots(service_handle Service, steady_time Now) const;
  std::optional<dispatch_place> findPlace(service_handle Service,
                                          region_handle Region);
  std::optional<dispatch_place> findTarget(service_handle Service,
                                           steady_time Now);
  std::optional<dispatch_place> findPeer(service_handle Service,
                                         region_handle Region, steady_time Now);
  dispatch_place occupySlot(service_handle Service, target_handle Target,
                            steady_time Now);
  void pumpService(service_handle Service);
  void requestCredits(service_handle Service, region_handle Region);
  void grantCreditsOf(service_handle Service, steady_time Now);
  void recordTargetResult(const dispatch_place &Place,
                          const relay_outcome &Outcome, steady_time Now);
  void recordPeerResult(const dispatch_place &Place,
                        const relay_outcome &Outcome);
  std::vector<instance_handle> peersOf(region_handle Region) const;
  void updateSlots(service_handle Service, steady_time Now);
  /// Handles of ServiceNames and WorkspaceNames, not of the plan.
  service_handle serviceOf(const placement_request &Request) const;
  workspace_handle workspaceOf(const placement_request &Request) const;
  wall_time platformNow(steady_time Now) const;

  asio::io_context &Context;
  const clock &Clock;
  const instance_settings &Settings;
  token_gate Tokens;
  std::mt19937_64 Random;
  traffic_view_ptr View;
  config_index_ptr Config;

  region_limits Limits;

  stable_names<target_handle> TargetNames{MaxTargets};
  stable_names<service_handle> ServiceNames{MaxServices};
  stable_names<workspace_handle> WorkspaceNames{MaxWorkspaces};
  stable_names<instance_handle> PeerNames{MaxInstances};

  target_table Targets;
  /// Row of the table by target handle.
  std::vector<target_row> TargetRows;
  std::vector<service_state> Services;
  std::vector<peer_state> Peers;

  steering_names PlanNames;
  region_plan Plan;
  region_state Regions;

  credit_requester Requester;
  credit_grantor Grantor;
  std::vector<credit_request_time> CreditRequests;

  quarantine Quarantine{quarantine_settings{}};
  /// Runs one suspect request alone, or is being drained for it.
  target_handle Isolated;
  attempt_id NextAttempt = 0;
  steady_time NextCrashGossip;
  std::vector<peer_credit_message> Outgoing;

  std::uint64_t NextTicket = 0;
};

} // namespace magnoliaspread

#endif
