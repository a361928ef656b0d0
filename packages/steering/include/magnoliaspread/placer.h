/// Places requests on targets so that each object stays on few of them.
///
/// A target that has recently handled an object has it cached and answers
/// several times faster: it is a holder of the object. Requests go to a holder
/// of their object. An object without one goes to the first target of a
/// weighted rendezvous hash, which is the same on every instance, and only one
/// request at a time warms it up there. Another holder is added only on a
/// target with spare slots, since a cold run would otherwise delay other
/// objects. No target gets more requests than its slots and a small
/// allowance; the others queue here by urgency, and those that can't be
/// answered in time are refused at once. A target with a rate limit gets only
/// requests with a permit; without one they go to other targets.
///
/// Does no I/O and reads no clock. Not thread-safe.
#ifndef MAGNOLIASPREAD_PLACER_H
#define MAGNOLIASPREAD_PLACER_H

#include <magnoliaspread/affinity.h>
#include <magnoliaspread/clock.h>
#include <magnoliaspread/crossing.h>
#include <magnoliaspread/demandmeter.h>
#include <magnoliaspread/error.h>
#include <magnoliaspread/handle.h>
#include <magnoliaspread/objectmsg.h>
#include <magnoliaspread/placerequest.h>
#include <magnoliaspread/pushback.h>
#include <magnoliaspread/sendpermits.h>
#include <magnoliaspread/spillplan.h>
#include <magnoliaspread/targetdistance.h>
#include <magnoliaspread/targetpace.h>
#include <magnoliaspread/waitqueue.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

namespace magnoliaspread {

struct placer_policy {
  /// Assumed use of a service's slots in the own region when every region
  /// sends the same load; decides how many objects of a region with few
  /// targets are placed in other regions.
  double RegionFill = 1.4;
  /// Bounds of the fraction of objects placed in the own region.
  double LeastLocal = 0.05;
  double MostLocal = 0.96;
  /// Weight factor of the own data centre within the region, for small and
  /// for large bodies; traffic between data centres is expensive.
  double NearFactor = 1.3;
  double LargeNearFactor = 60;
  /// Weight factor of the own region for large bodies.
  double LargeRegionFactor = 30;
  /// Smallest body that counts as large, in bytes.
  std::size_t LargeBody = 8192;
  /// Expected round trip by distance.
  std::array<std::chrono::microseconds, TargetDistances> RoundTrip{
      std::chrono::microseconds(500), std::chrono::microseconds(3000),
      std::chrono::microseconds(90000)};
  /// Requests in flight to a target beyond its slots, so that it doesn't idle
  /// for a round trip.
  std::uint32_t Ahead = 1;
  /// A target that isn't a holder is preferred only if its expected answer is
  /// earlier than the best holder's by this much.
  std::chrono::milliseconds LeaveMargin{60};
  /// A holder with a rate limit is preferred to others unless its expected
  /// answer is later by this much. Otherwise its limit would go unused once its
  /// objects have other holders, and its end unnoticed.
  std::chrono::milliseconds LimitedMargin{60};
  /// Older requests don't wait for permits: the waits for several limited
  /// targets would add up when messages are lost.
  std::chrono::milliseconds PermitPatience{200};
  /// If a holder's expected answer takes more than this fraction of the time
  /// left, another holder is added even if its answer is late as well.
  double LatePart = 0.5;
  /// What the bytes of requests and answers cost that leave the data centre.
  crossing_costs Crossing;
  target_pace_policy Pace;
  /// Largest busy fraction of a target's slots, the new request included, at
  /// which it may become an additional holder.
  double SparePart = 0.5;
  /// Load reports of at least this fraction of a target's slots are sent to
  /// peers.
  double BusyPart = 0.5;
  /// A warm-up is given up after this many expected cold service times.
  double WarmingPatience = 2.5;
  /// Service time of a cold and a warm request until it is measured, as a
  /// fraction of the latency target.
  double ColdGuess = 1.1;
  double WarmGuess = 0.36;
  /// An object counts as warm on a target for this long after its last use.
  std::chrono::milliseconds WarmTime{30000};
  /// Half-life of the reported load of other instances on a target.
  std::chrono::milliseconds ReportHalfLife{400};
  /// Half-life of a target's failure score and slowness.
  std::chrono::milliseconds FailureHalfLife{4000};
  /// First backoff after failures of a target; doubles up to the largest.
  std::chrono::milliseconds FirstPause{300};
  std::chrono::milliseconds LargestPause{4000};
  /// Backoff after a target has shed a request.
  std::chrono::milliseconds ShedPause{60};
  /// A request that has queued for this fraction of its total time is refused.
  double WaitPart = 0.55;
  /// Objects whose holders are tracked.
  std::size_t MaxObjects = 16384;
  std::size_t MaxWaiting = 512;
  demand_meter_settings Demand;
  /// Placement by the demand of all regions; off by default.
  spill_settings Spill;
  /// Number of the own region in the settings.
  std::uint8_t OwnRegion = 0;
  /// A holder in the region to which the plan moved the object is preferred
  /// unless its expected answer, travel apart, is later by this much.
  std::chrono::milliseconds RegionMargin{60};
  /// Holders by demand; off by default.
  affinity_policy Affinity;
  /// Room by workspace; off by default.
  fair_share_policy FairShare;
};

/// Configuration and membership state of a target.
struct placer_target {
  target_handle Handle;
  service_handle Service;
  /// Hash of the target's name; the same on every instance.
  std::uint64_t Id = 0;
  std::uint32_t Slots = 1;
  target_distance Distance = target_distance::DataCentre;
  /// The region's number in the settings.
  std::uint8_t Region = 0;
  /// Accepts new requests: neither draining nor in an evacuated data centre.
  bool Open = true;
  /// Limited to ColdRate until then.
  steady_time ColdUntil;
  /// Rate that this instance may send while the target is cold, in requests a
  /// second.
  double ColdRate = 0;
  /// Time that the target stays cold after a start.
  std::chrono::milliseconds ColdTime{0};
};

/// Send the request to Target now; it counts as in flight already.
struct place_send {
  target_handle Target;
};

/// The request is queued; poll() returns the outcome.
struct place_wait {};

using placement_verdict = std::variant<place_send, place_wait, error>;

/// Outcome of a queued request.
struct place_grant {
  std::uint64_t Id = 0;
  /// Never place_wait.
  placement_verdict Verdict;
};

enum class target_result : std::uint8_t {
  Answered,
  /// Refused by the target as not run.
  Shed,
  /// A different process answers at the target's address.
  Misdirected,
  /// No connection.
  Unreachable,
  /// Connection broken, or invalid answer.
  Failed,
  /// No answer within this instance's timeout.
  TimedOut,
  /// Ended by the caller or the deadline; not counted for or against the
  /// target.
  Abandoned,
};

/// Load reported by a target.
struct target_report {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  std::uint32_t Slots = 0;
  /// Time that work takes there at this moment, relative to the usual time;
  /// empty where the target doesn't say.
  std::optional<double> Pace;
};

/// Outcome of one request on a target.
struct target_outcome {
  target_handle Target;
  std::uint64_t Object = 0;
  std::uint64_t Kind = 0;
  target_result Result = target_result::Answered;
  /// From the first byte sent to the end of the answer.
  std::chrono::nanoseconds Took{0};
  std::optional<target_report> Report;
  /// Pause that the target asked for.
  std::optional<std::chrono::milliseconds> PauseFor;
  /// Size of the answer's body.
  std::size_t AnswerBytes = 0;
};

/// An object has gained or given back a holder by its demand.
struct holder_change {
  std::uint64_t Object = 0;
  target_handle Target;
  bool Gained = false;
  /// Holders after the change.
  std::size_t Holders = 0;
  /// Demand in slots, over the instances of the region.
  double Demand = 0;
};

class placer {
public:
  /// \p Permits outlives the placer; null if targets have no rate limits.
  explicit placer(const placer_policy &Policy, send_permits *Permits = nullptr)
      : Policy(Policy), Permits(Permits), Crossing(Policy.Crossing),
        Paces(Policy.Pace), Affinity(Policy.Affinity) {}

  /// Replaces all targets. The state of a handle is retained while its Id
  /// stays the same.
  void setTargets(const std::vector<placer_target> &Targets, steady_time Now);

  /// Sends, queues or refuses the request. Errors, not run: NoCapacity,
  /// QueueFull.
  placement_verdict place(const place_request &Request, steady_time Now);

  /// Sends the request if a target has a free slot now; never queues it.
  std::optional<target_handle> placeNow(const place_request &Request,
                                        steady_time Now);

  /// The rate limit of a target was announced, changed or withdrawn.
  void limitsChanged() { updateCapacities(); }

  /// The largest demands for the service by workspace, and the slots of all its
  /// targets; see workspace_shares::update().
  void updateShares(service_handle Service,
                    const std::vector<workspace_claim> &Claims, double Slots,
                    steady_time Now) {
    Waiting.shares().update(Service, Claims, Slots, Now);
  }
  const wait_queue &queue() const { return Waiting; }
  wait_queue &queue() { return Waiting; }

  /// Queued requests that are now sent or refused, most urgent first.
  std::vector<place_grant> poll(steady_time Now);

  /// Removes a queued request; false when it isn't queued.
  bool cancel(std::uint64_t Id);

  void finished(const target_outcome &End, steady_time Now);

  /// Voids what was noted against targets since \p Since: not they failed, but
  /// the path to them.
  void forgiveFailures(steady_time Since, steady_time Now);

  /// Stops new requests to a draining target. Later calls of setTargets() must
  /// not open it again.
  void close(target_handle Target);

  /// Whether a placed request may still be sent: the target is neither
  /// draining nor paused since.
  bool accepts(target_handle Target, steady_time Now) const;

  std::size_t waiting() const { return Waiting.size(); }
  std::size_t inFlight() const { return InFlight; }

  /// Estimated requests on a target, those of other instances included.
  double loadOf(target_handle Target, steady_time Now) const;

  /// Applies a peer's holders and target loads.
  void receive(const object_update &Update, steady_time Now);
  /// Holders that changed here since the last call, for the region's peers.
  std::vector<object_row> takeUpdates();
  /// Load reports of busy targets since the last call, for the region's peers.
  std::vector<load_row> takeLoadReports();

  /// Slots that this instance's callers will need of the service; see
  /// demand_meter::forecast().
  double demand(service_handle Service, steady_time Now) const;
  /// Updates the plan of a service. \p Demand is by region number, empty for
  /// regions whose demand isn't known. Call a few times a second.
  void updateSpill(service_handle Service,
                   const std::vector<std::optional<double>> &Demand,
                   steady_time Now);
  /// The plan of a service; null before its first update.
  const spill_plan *spill(service_handle Service) const;
  /// Slots of a service's open targets in a region, less what limits leave
  /// unused.
  region_slots slotsIn(service_handle Service, std::size_t Region,
                       steady_time Now) const;

  /// Measured service time of a kind of request; zero when unknown.
  std::chrono::nanoseconds expectedService(std::uint64_t Kind, bool Warm) const;
  /// Time within which nearly all requests of a kind are answered once they are
  /// sent; zero when unknown.
  std::chrono::nanoseconds longestAnswer(std::uint64_t Kind) const;

  const crossing_counts &crossings() const { return Crossing.counts(); }
  /// Targets that report that their work takes longer than usual.
  std::size_t slowTargets(steady_time Now) const {
    return Paces.slowTargets(Now);
  }
  /// Holder changes by demand since the last call, oldest first; the number
  /// left out is added to \p Omitted.
  std::vector<holder_change> takeHolderChanges(std::uint64_t &Omitted);
  /// Holders of all objects.
  std::size_t holders() const;
  const affinity &affinityState() const { return Affinity; }

private:
  struct target_state {
    placer_target Info;
    bool Present = false;
    std::uint32_t InFlight = 0;
    /// Requests of other instances as of ReportedAt.
    double Others = 0;
    steady_time ReportedAt;
    /// Service time relative to the expected one.
    double Slowness = 1;
    /// Recent failures, 0 to 1.
    double FailureScore = 0;
    steady_time DecayedAt;
    std::uint32_t Failures = 0;
    steady_time FailedAt;
    steady_time PausedUntil;
    /// Was unreachable; cold for ColdTime after its next answer.
    bool Restarted = false;
    /// Has been warm since it was last opened.
    bool WasWarm = false;
    double ColdTokens = 1;
    steady_time ColdRefilledAt;
    /// Last load report not yet sent to peers, in requests.
    std::optional<std::uint32_t> UnsentLoad;
    /// Pace of the same report in percent; 0 is unknown.
    std::uint32_t UnsentPace = 0;
    /// Requests queued here for this target.
    std::uint32_t Queued = 0;
    /// Those of them that wait only for a permit.
    std::uint32_t AwaitingPermit = 0;
  };

  /// Mean service times of a kind of request in seconds; 0 is unknown.
  struct service_times {
    double Warm = 0;
    double Cold = 0;
    /// From the send to the whole answer, on any target: the mean, and the mean
    /// deviation from it.
    double Answer = 0;
    double AnswerDeviation = 0;
  };

  /// A target that has an object cached or is being warmed up for it.
  struct holder {
    target_handle Target;
    steady_time Used;
    /// When this instance or a peer last sent an update of it.
    steady_time UpdatedAt;
    /// Set while the first request about the object runs.
    std::optional<steady_time> WarmingSince;
  };

  /// A holder that was given back.
  struct released_holder {
    std::uint64_t Object = 0;
    target_handle Target;
    steady_time At;
  };

  /// Slots of a service, used to weight its targets.
  struct service_capacity {
    double LocalSlots = 0;
    /// Those of LocalSlots in the own data centre.
    double DataCentreSlots = 0;
    double RemoteSlots = 0;
    std::set<std::uint8_t> Regions;
    /// Of open targets, by region.
    std::array<double, MaxRegions> RegionSlots{};
  };

  struct service_spill {
    spill_plan Plan;
    /// Counts changes of the plan and of the targets.
    std::uint64_t Revision = 0;
    /// Parts without the plan.
    region_parts Fixed{};
  };

  /// The region in which the plan places an object.
  struct object_region {
    std::uint64_t Revision = 0;
    std::uint8_t Region = 0;
    /// It differs, or once differed, from that of the fixed parts.
    bool Moved = false;
  };

  struct candidate {
    target_handle Target;
    double Score = 0;
  };

  /// Weight factors by distance, which grow with a request's bytes.
  struct distance_factors {
    double DataCentre = 1;
    double Region = 1;
    /// Applies even if the region's slots can't serve all its objects.
    bool IsLargeBody = false;
  };

  struct choice {
    target_handle Target;
    double Expected = 0;
    bool HasFreeSlot = false;
    /// Becomes a holder so that answers don't cross.
    bool IsNearHolder = false;
  };

  target_state *find(target_handle Target);
  const target_state *find(target_handle Target) const;
  bool usable(const target_state &Target, const place_request &Request,
              steady_time Now) const;
  bool coldAllowed(const target_state &Target, steady_time Now) const;
  double regionFactor(const service_capacity &Capacity,
                      const distance_factors &Factors) const;
  double weight(const target_state &Target,
                const distance_factors &Factors) const;
  distance_factors factorsOf(const place_request &Request,
                             const crossing_price &Price) const;
  bool hasRoom(target_handle Target, steady_time Now) const;
  bool hasSpareSlots(target_handle Target, steady_time Now) const;
  /// Weight of a slot of the target by the part that its region has of the
  /// own region's objects.
  double regionWeight(const target_state &Target) const;
  /// Part of the own region's objects that it keeps, by slots alone.
  double fixedLocalPart(const service_capacity &Capacity) const;
  region_parts fixedParts(const service_capacity &Capacity) const;
  bool isUnreachable(const target_state &Target, steady_time Now) const;
  void noteWarmTargets(service_handle Service, steady_time Now);
  /// The region to which the plan has moved the request's object.
  std::optional<std::uint8_t> movedRegion(const place_request &Request);
  object_region planObject(const place_request &Request,
                           const service_spill &Spill) const;
  bool hasHolderIn(std::uint64_t Object, std::uint8_t Region) const;
  /// What a holder's cost is lowered by, in seconds, in the object's region.
  double regionBonus(const target_state &Target,
                     std::optional<std::uint8_t> Region) const;
  /// A target in the region to which the plan has moved the object, if the
  /// object has no holder there and one is free.
  std::optional<choice> moveToRegion(const place_request &Request,
                                     std::uint8_t Region, steady_time Now);
  /// Candidates of \p Region only, if it is given.
  void listCandidates(const place_request &Request,
                      std::optional<std::uint8_t> Region, steady_time Now);
  double waitSeconds(const target_state &Target, double ServiceSeconds,
                     steady_time Now) const;
  double expected(const target_state &Target, const place_request &Request,
                  double ServiceSeconds, steady_time Now) const;
  std::optional<choice> bestHolder(const place_request &Request,
                                   std::optional<std::uint8_t> Region,
                                   steady_time Now);
  std::optional<choice> bestOther(const place_request &Request,
                                  const choice *Holder,
                                  std::optional<std::uint8_t> Region,
                                  steady_time Now);
  std::optional<choice> nearHolder(const place_request &Request,
                                   const choice &Holder, steady_time Now);
  bool isWarm(target_handle Target, std::uint64_t Object,
              steady_time Now) const;
  holder *holderOf(std::uint64_t Object, target_handle Target);
  double serviceSeconds(const place_request &Request, bool Warm) const;
  double slotSeconds(const place_request &Request) const;
  std::optional<choice> chooseTarget(const place_request &Request,
                                     steady_time Now);
  bool followsAffinity(const place_request &Request) const;
  bool isIdleProbe(const place_request &Request,
                   const std::optional<choice> &Holder, steady_time Now) const;
  std::optional<choice> chooseFreely(const place_request &Request,
                                     steady_time Now);
  std::optional<choice> additionalHolder(const place_request &Request,
                                         const choice &Holder, steady_time Now);
  /// Warm holders of the request's object that may take it now.
  std::vector<target_handle> warmHolders(const place_request &Request,
                                         steady_time Now);
  target_handle preferredHolder(const place_request &Request, steady_time Now);
  void listReleased(const place_request &Request, steady_time Now);
  double newHolderSeconds(const place_request &Request,
                          target_handle Target) const;
  double holderBias(const place_request &Request, target_handle Target,
                    target_handle Preferred) const;
  double crowding(const place_request &Request, target_handle Target,
                  double ServiceSeconds, steady_time Now) const;
  void releaseHolder(const place_request &Request, target_handle Sent,
                     steady_time Now);
  void noteReleased(std::uint64_t Object, target_handle Target,
                    steady_time Now);
  bool isReleased(std::uint64_t Object, target_handle Target,
                  steady_time Now) const;
  void noteChange(std::uint64_t Object, target_handle Target, bool Gained,
                  std::size_t Holders, steady_time Now);
  void noteStart(const place_request &Request, target_handle Target,
                 steady_time Now);
  void noteEnd(const target_state &Target, const target_outcome &End,
               steady_time Now);
  void recordRun(std::uint64_t Object, std::uint64_t Kind, target_handle Target,
                 bool Warm, steady_time Now);
  bool receiveAffinity(const object_row &Row, target_handle Target,
                       steady_time Now);
  void updatePlan(steady_time Now);
  /// Queues or refuses a request whose workspace has used its share.
  placement_verdict hold(const place_request &Request, steady_time Now,
                         wait_reason &Wait);
  placement_verdict decide(const place_request &Request, steady_time Now,
                           wait_reason &Wait);
  void start(const place_request &Request, target_handle Target,
             steady_time Now);
  void noteAnswer(target_state &Target, const target_outcome &End,
                  steady_time Now);
  void noteFailure(target_state &Target, target_result Result, steady_time Now);
  void noteReport(target_state &Target, const target_report &Report,
                  steady_time Now);
  void decayFailures(target_state &Target, steady_time Now) const;
  void recordHolder(std::uint64_t Object, target_handle Target, bool Warm,
                    steady_time Now);
  void cancelWarming(std::uint64_t Object, target_handle Target);
  /// Queues an update for peers; drops it if the queue is full.
  void queueUpdate(const object_row &Row);
  permit_state permitOf(target_handle Target) const;
  /// Whether the request may use or wait for a permit of the target.
  bool permitAllows(target_handle Target, const place_request &Request,
                    steady_time Now) const;
  /// Slots that the target's rate limit lets requests use.
  double usableSlots(const target_state &Target) const;
  void updateCapacities();
  /// Reports how many queued requests wait only for permits.
  void updatePermitRequests();
  error refusal(double Seconds) const;
  error noUsableTarget(const place_request &Request, steady_time Now) const;

  placer_policy Policy;
  send_permits *Permits;
  crossing Crossing;
  pushback_table Pushback;
  target_paces Paces;
  std::vector<target_state> Targets;
  /// Handles by service.
  std::vector<std::vector<target_handle>> ByService;
  std::unordered_map<std::uint64_t, service_times> Times;
  std::vector<service_capacity> Capacities;
  /// Mean service time in seconds by service; 0 is unknown.
  std::vector<double> MeanService;
  demand_meter Demand{Policy.Demand};
  /// By service handle; empty before the first update.
  std::vector<std::optional<service_spill>> Spills;
  std::unordered_map<std::uint64_t, object_region> ObjectRegions;
  /// Targets with requests that wait only for permits.
  std::vector<target_handle> AwaitedPermits;
  std::unordered_map<std::uint64_t, target_handle> ById;
  std::unordered_map<std::uint64_t, std::vector<holder>> Objects;
  std::vector<object_row> Updates;
  std::vector<target_handle> UnsentLoads;
  wait_queue Waiting{Policy.MaxWaiting, Policy.FairShare};
  std::vector<candidate> Candidates;
  affinity Affinity;
  std::vector<released_holder> Released;
  std::vector<holder_change> Changes;
  std::uint64_t ChangesOmitted = 0;
  std::size_t InFlight = 0;
  /// Varies the hash key of requests without an object.
  std::uint64_t Draws = 0;
};

} // namespace magnoliaspread

#endif
