#include "steerer_p.h"

#include <magnoliaspread/log.h>
#include <magnoliaspread/ownership.h>

#include <algorithm>

namespace magnoliaspread {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

/// Longest wait of a forwarded request; after that its sender places it again.
constexpr milliseconds ForwardedWait{500};
/// Expected wait from which requests spill over to another region: a few times
/// the delay between regions.
constexpr milliseconds SpillWait{250};

fairq_limits laneLimits() {
  fairq_limits Limits;
  // One more for requests without a workspace.
  Limits.Workspaces = MaxWorkspaces + 1;
  return Limits;
}

std::uint64_t firstSequence(const clock &Clock) {
  const auto Seconds =
      duration_cast<std::chrono::seconds>(Clock.wall().time_since_epoch());
  return static_cast<std::uint64_t>(Seconds.count()) << 24U;
}

/// Longest wait for a target to become idle.
constexpr milliseconds IsolationWait{2000};
/// Attempts to pick a target that is not isolated for a suspect.
constexpr unsigned MaxPicks = 8;
constexpr milliseconds CrashGossipPeriod{1000};

error quarantined(const placement_decision &Decision) {
  return {error_kind::Quarantined, "targets died while this request ran",
          Decision.RetryAfter};
}

error noCapacity(const char *Detail) {
  return {error_kind::NoCapacity, Detail, {}};
}

} // namespace

steerer::steerer(asio::io_context &Context, const clock &Clock,
                 const instance_settings &Settings, token_pool &Source,
                 std::uint64_t Seed)
    : Context(Context), Clock(Clock), Settings(Settings),
      Tokens(Context, Clock, Source), Random(Seed),
      View(std::make_shared<traffic_view>()), Limits(Settings),
      Targets(MaxTargets), TargetRows(MaxTargets), Peers(MaxInstances),
      Requester(credit_policy{}, firstSequence(Clock)),
      Grantor(credit_policy{}, Seed) {}

void steerer::publish(traffic_view_ptr NewView) {
  const bool NewConfig = NewView->Config != Config;
  View = std::move(NewView);
  Config = View->Config;
  if (Config == nullptr)
    return;
  Limits.publish(View);
  if (NewConfig) {
    rebuildPlan();
    updateWeights();
  }
  updateTargets();
  updatePeers();
  Tokens.publish(View->TokenWaits);
}

namespace {

const std::string &serviceName(const placement_request &Request) {
  const service_handle Service = Request.Request->Service;
  return Request.Config->Table.Services[Service.Index].Name;
}

/// Empty for a request without a workspace.
std::string workspaceName(const placement_request &Request) {
  const workspace_handle Workspace = Request.Request->Workspace;
  return Workspace.valid()
             ? Request.Config->Table.Workspaces[Workspace.Index].Name
             : std::string();
}

} // namespace

service_handle steerer::serviceOf(const placement_request &Request) const {
  return ServiceNames.find(serviceName(Request));
}

workspace_handle steerer::workspaceOf(const placement_request &Request) const {
  const std::string Name = workspaceName(Request);
  return Name.empty()
             ? workspace_handle{static_cast<std::uint16_t>(MaxWorkspaces)}
             : WorkspaceNames.find(Name);
}

wall_time steerer::platformNow(steady_time Now) const {
  if (View->PlatformTime == wall_time())
    return {};
  return View->PlatformTime +
         duration_cast<wall_time::duration>(Now - View->MadeAt);
}

std::vector<instance_handle> steerer::peersOf(region_handle Region) const {
  std::vector<instance_handle> Found;
  for (const instance_view &Row : View->Peers) {
    const instance_handle Handle = PeerNames.find(Row.Name);
    if (Handle.valid() && Peers[Handle.Index].Present &&
        Peers[Handle.Index].Region == Region)
      Found.push_back(Handle);
  }
  return Found;
}

/// Regions where the service can run: those with a live peer, and the own one
/// if it has usable targets.
region_mask steerer::availableRegions(service_handle Service,
                                      steady_time Now) const {
  region_mask Mask;
  for (const instance_view &Row : View->Peers) {
    const instance_handle Handle = PeerNames.find(Row.Name);
    if (Handle.valid() && Peers[Handle.Index].Present)
      Mask.set(Peers[Handle.Index].Region.Index);
  }
  if (countSlots(Targets, Service, Now).Usable > 0)
    Mask.set(Plan.Own.Index);
  return Mask & Services[Service.Index].Serving;
}

/// Drops the regions whose expected wait exceeds SpillWait, unless all do.
region_mask steerer::dropSlowRegions(const region_mask &Regions,
                                     service_handle Service,
                                     workspace_handle Workspace) const {
  region_mask Fast = Regions;
  for (std::size_t I = 0; I < Plan.Regions; ++I) {
    const auto &Lane = Services[Service.Index].Lanes[I];
    if (Lane != nullptr && expectedWait(Lane->queue(), Workspace) > SpillWait)
      Fast.reset(I);
  }
  return Fast.any() ? Fast : Regions;
}

lane &steerer::laneOf(service_handle Service, region_handle Region) {
  return openLane(Services[Service.Index].Lanes[Region.Index]);
}

lane &steerer::forwardedLaneOf(service_handle Service) {
  return openLane(Services[Service.Index].Forwarded);
}

lane &steerer::openLane(std::unique_ptr<lane> &Lane) {
  if (Lane == nullptr) {
    Lane = std::make_unique<lane>(Context, Clock, laneLimits());
    for (const workspace_row &Row : Config->Table.Workspaces)
      setWeight(Lane->queue(), WorkspaceNames.find(Row.Name), Row.Weight);
  }
  return *Lane;
}

result<region_handle> steerer::decideRegion(const placement_request &Request) {
  const steady_time Now = Clock.now();
  region_request Wanted;
  Wanted.Service =
      handleOf<service_handle>(PlanNames.Services, serviceName(Request));
  Wanted.Workspace =
      handleOf<workspace_handle>(PlanNames.Workspaces, workspaceName(Request));
  const service_handle Service = serviceOf(Request);
  Wanted.Available = dropSlowRegions(availableRegions(Service, Now), Service,
                                     workspaceOf(Request));
  Wanted.Repeated = Request.Attempt > 0;
  const result<region_decision> Decided =
      chooseRegion(Plan, Regions, Wanted, Now, platformNow(Now));
  if (failed(Decided))
    return errorOf(Decided);
  return valueOf(Decided).Region;
}

asio::awaitable<result<dispatch_place>>
steerer::place(const placement_request &Request) {
  const service_handle Service = serviceOf(Request);
  if (!Service.valid() || !Plan.Own.valid())
    co_return noCapacity("the service has no plan here");
  const placement_decision Before =
      Quarantine.place(Request.Fingerprint, Clock.now());
  if (Before.Placement == placement::Quarantined ||
      Before.Placement == placement::Later)
    co_return quarantined(Before);
  if (Before.Placement == placement::Alone) {
    const result<limit_handle> Limit = admitLimit(Request);
    if (failed(Limit))
      co_return errorOf(Limit);
    result<dispatch_place> Place =
        countLimit(co_await placeIsolated(Service, Request.Request->Deadline),
                   valueOf(Limit));
    if (failed(Place))
      co_return errorOf(Place);
    co_return startAttempt(Request, std::move(valueOf(Place)));
  }
  result<dispatch_place> Place = co_await placeUnchecked(Request, Service);
  if (failed(Place))
    co_return errorOf(Place);
  const placement_decision After =
      Quarantine.place(Request.Fingerprint, Clock.now());
  if (After.Placement == placement::Any)
    co_return startAttempt(Request, std::move(valueOf(Place)));
  // It became a suspect while it waited.
  relay_outcome Unsent;
  Unsent.Error = quarantined(After);
  finished(valueOf(Place), Unsent);
  co_return Unsent.Error;
}

result<limit_handle> steerer::admitLimit(const placement_request &Request) {
  return Limits.admit(serviceName(Request), workspaceName(Request),
                      Clock.now());
}

/// Keeps a request counted against its limit when it runs on an own target;
/// releases it when it was not placed or goes to a peer.
result<dispatch_place> steerer::countLimit(result<dispatch_place> Place,
                                           limit_handle Limit) {
  if (failed(Place) || valueOf(Place).Kind == next_hop::Peer)
    Limits.release(Limit);
  else
    valueOf(Place).Limit = Limit;
  return Place;
}

/// Registers an attempt on a target with the quarantine; a peer does that
/// itself.
result<dispatch_place> steerer::startAttempt(const placement_request &Request,
                                             dispatch_place Place) {
  if (Place.Kind == next_hop::Target) {
    Place.Attempt = ++NextAttempt;
    Quarantine.started(Place.Attempt, Request.Fingerprint,
                       targetStart(Place.Name, 0), Clock.now());
  }
  return Place;
}

target_handle steerer::leastLoaded(service_handle Service) const {
  target_handle Best;
  for (const target_handle Target : Targets.Owned[Service.Index]) {
    if (usableSlots(Targets, Target, Clock.now()) == 0)
      continue;
    if (!Best.valid() ||
        Targets.Rows[Target.Index].InFlight < Targets.Rows[Best.Index].InFlight)
      Best = Target;
  }
  return Best;
}

/// Drains a target and reserves it for one suspect request.
asio::awaitable<result<dispatch_place>>
steerer::placeIsolated(service_handle Service, steady_time Deadline) {
  const steady_time End = std::min(Deadline, Clock.now() + IsolationWait);
  if (Isolated.valid())
    co_return noCapacity("another suspect runs alone");
  const target_handle Target = leastLoaded(Service);
  if (!Target.valid())
    co_return noCapacity("no target can run a suspect alone");
  Isolated = Target;
  asio::steady_timer Timer(Context);
  while (Targets.Rows[Target.Index].InFlight > 0) {
    if (Clock.now() >= End) {
      Isolated = {};
      co_return noCapacity("no target came free for a suspect");
    }
    Timer.expires_after(Settings.ControlTick);
    co_await Timer.async_wait(Awaited);
  }
  co_return occupySlot(Service, Target, Clock.now());
}

asio::awaitable<result<dispatch_place>>
steerer::placeUnchecked(const placement_request &Request,
                        service_handle Service) {
  if (Request.Forwarded)
    co_return co_await placeForwarded(Request, Service);
  const std::string Workspace = workspaceName(Request);
  if (!Workspace.empty() && Request.Attempt == 0) {
    const status Passed =
        co_await Tokens.acquire(Workspace, Request.Request->Deadline);
    if (failed(Passed))
      co_return errorOf(Passed);
  }
  co_return co_await placeInRegion(Request, Service);
}

asio::awaitable<result<dispatch_place>>
steerer::placeInRegion(const placement_request &Request,
                       service_handle Service) {
  const result<region_handle> Region = decideRegion(Request);
  if (failed(Region))
    co_return errorOf(Region);
  updateSlots(Service, Clock.now());
  const region_handle Chosen = valueOf(Region);
  result<limit_handle> Limit = limit_handle{};
  if (Chosen == Plan.Own)
    Limit = admitLimit(Request);
  if (failed(Limit))
    co_return errorOf(Limit);
  const fairq_entry Entry{++NextTicket, workspaceOf(Request),
                          Request.Request->Deadline};
  result<dispatch_place> Place =
      co_await laneOf(Service, Chosen).wait(Entry, [=, this] {
        return findPlace(Service, Chosen);
      });
  co_return countLimit(std::move(Place), valueOf(Limit));
}

/// A forwarded request with a credit takes a slot here or waits for one; it is
/// never forwarded again. One without a credit takes a free slot or is refused,
/// and its sender queues it.
asio::awaitable<result<dispatch_place>>
steerer::placeForwarded(placement_request Request, service_handle Service) {
  const steady_time Now = Clock.now();
  const instance_handle Peer = PeerNames.intern(Request.Forwarded->Peer);
  const std::uint32_t Free = countSlots(Targets, Service, Now).Free;
  const status Admitted = admitCredited(
      Grantor, Service, Peer, Request.Forwarded->CreditGrant, Free, Now);
  if (failed(Admitted))
    co_return errorOf(Admitted);
  const result<limit_handle> Limit = admitLimit(Request);
  if (failed(Limit))
    co_return errorOf(Limit);
  updateSlots(Service, Now);
  const steady_time Deadline = Request.Request->Deadline;
  const fairq_entry Entry{++NextTicket, workspaceOf(Request),
                          std::min(Deadline, Now + ForwardedWait)};
  result<dispatch_place> Place = co_await forwardedLaneOf(Service).wait(
      Entry, [=, this] { return findTarget(Service, Clock.now()); });
  Place = countLimit(std::move(Place), valueOf(Limit));
  if (failed(Place) && Clock.now() < Deadline)
    co_return noCapacity("no slot came free for a forwarded request");
  co_return Place;
}

dispatch_place steerer::occupySlot(service_handle Service, target_handle Target,
                                   steady_time Now) {
  started(Targets, Target, Now);
  const target_row &Row = TargetRows[Target.Index];
  dispatch_place Place;
  Place.Name = Row.Name;
  Place.Address = {Row.Address, Row.Port};
  Place.Service = Service;
  Place.Region = Plan.Own;
  Place.Target = Target;
  Place.Since = Now;
  return Place;
}

std::optional<dispatch_place> steerer::findTarget(service_handle Service,
                                                  steady_time Now) {
  for (unsigned I = 0; I < MaxPicks; ++I) {
    const result<target_handle> Target = pick(Targets, Service, Now, Random());
    if (failed(Target))
      return std::nullopt;
    if (valueOf(Target) != Isolated)
      return occupySlot(Service, valueOf(Target), Now);
  }
  return std::nullopt;
}

std::optional<dispatch_place> steerer::findPeer(service_handle Service,
                                                region_handle Region,
                                                steady_time Now) {
  const result<credit> Spent =
      spendCredit(Requester, peersOf(Region), Service, Now, Random());
  if (failed(Spent))
    return std::nullopt;
  const instance_view &Peer = Peers[valueOf(Spent).Peer.Index].View;
  dispatch_place Place;
  Place.Kind = next_hop::Peer;
  Place.Name = Peer.Name;
  Place.Address = Peer.Internal;
  Place.CreditGrant = valueOf(Spent).GrantId;
  Place.Service = Service;
  Place.Region = Region;
  Place.Peer = valueOf(Spent).Peer;
  Place.Since = Now;
  return Place;
}

std::optional<dispatch_place> steerer::findPlace(service_handle Service,
                                                 region_handle Region) {
  const steady_time Now = Clock.now();
  if (Region == Plan.Own) {
    std::optional<dispatch_place> Target = findTarget(Service, Now);
    if (Target)
      return Target;
  }
  return findPeer(Service, Region, Now);
}

/// Updates the concurrency from which the queues estimate waits.
void steerer::updateSlots(service_handle Service, steady_time Now) {
  const std::uint32_t Own = countSlots(Targets, Service, Now).Usable;
  if (Services[Service.Index].Forwarded != nullptr)
    setSlots(forwardedLaneOf(Service).queue(), Own);
  for (std::size_t I = 0; I < Plan.Regions; ++I) {
    const auto Region = handleAt<region_handle>(I);
    const auto Peers = static_cast<std::uint32_t>(peersOf(Region).size());
    const std::uint32_t Slots = Region == Plan.Own ? Own + Peers : Peers;
    setSlots(laneOf(Service, Region).queue(), Slots);
  }
}

void steerer::pumpService(service_handle Service) {
  const auto &Forwarded = Services[Service.Index].Forwarded;
  if (Forwarded != nullptr)
    Forwarded->pump([&] { return findTarget(Service, Clock.now()); });
  for (std::size_t I = 0; I < Plan.Regions; ++I) {
    const auto Region = handleAt<region_handle>(I);
    const auto &Lane = Services[Service.Index].Lanes[I];
    if (Lane == nullptr || Lane->waitingCount() == 0)
      continue;
    Lane->pump([&] { return findPlace(Service, Region); });
    if (Lane->waitingCount() > 0)
      requestCredits(Service, Region);
  }
}

void steerer::tick() {
  if (Config == nullptr)
    return;
  const steady_time Now = Clock.now();
  Tokens.tick();
  dropExpired(Grantor, Now);
  for (std::size_t I = 0; I < Services.size(); ++I) {
    const auto Service = handleAt<service_handle>(I);
    updateSlots(Service, Now);
    pumpService(Service);
    grantCreditsOf(Service, Now);
  }
}

void steerer::fillReport(thread_report &Report) {
  const steady_time Now = Clock.now();
  for (std::size_t I = 0; I < Services.size(); ++I) {
    Report.FreeSlots +=
        countSlots(Targets, handleAt<service_handle>(I), Now).Free;
    for (const auto &Lane : Services[I].Lanes)
      if (Lane != nullptr)
        Report.Waiting += Lane->waitingCount();
    if (Services[I].Forwarded != nullptr)
      Report.Waiting += Services[I].Forwarded->waitingCount();
  }
  Report.Credits = std::exchange(Outgoing, {});
  if (Now >= NextCrashGossip) {
    NextCrashGossip = Now + CrashGossipPeriod;
    Report.Crashes = Quarantine.takeUnsentUpdate(Now);
  }
}

/// Records the result of a request in the target table.
void steerer::recordTargetResult(const dispatch_place &Place,
                                 const relay_outcome &Outcome,
                                 steady_time Now) {
  if (Outcome.LoadRunning)
    reportLoad(Targets, Place.Target, *Outcome.LoadRunning, Now);
  if (Outcome.Answered)
    return magnoliaspread::finished(Targets, Place.Target, Now);
  switch (Outcome.Error.Kind) {
  case error_kind::TargetShed:
    return shed(Targets, Place.Target, Now,
                Outcome.Error.RetryAfter.value_or(milliseconds(0)));
  case error_kind::CallerGone:
  case error_kind::RequestStalled:
  case error_kind::DeadlineExpired:
    return abandoned(Targets, Place.Target, Now);
  default:
    return requestFailed(Targets, Place.Target, Now);
  }
}

void steerer::recordPeerResult(const dispatch_place &Place,
                               const relay_outcome &Outcome) {
  if (!Outcome.Answered && Outcome.Error.Kind != error_kind::CallerGone)
    dropCredits(Requester, Place.Peer, Place.Service);
}

/// Reports the end of an attempt on a target to the quarantine. A connection
/// that breaks before any answer counts as a crash of the target.
void steerer::reportToQuarantine(const dispatch_place &Place,
                                 const relay_outcome &Outcome,
                                 steady_time Now) {
  if (Place.Target == Isolated)
    Isolated = {};
  if (Outcome.Ran)
    return Quarantine.succeeded(Place.Attempt, Now);
  if (!Outcome.ConnectionLost || !Outcome.Sent)
    return Quarantine.ended(Place.Attempt);
  for (const request_fingerprint Found :
       Quarantine.targetCrashed(targetStart(Place.Name, 0), Now))
    logEvent(log_level::Warning, "request_quarantined",
             {{"fingerprint", Found}, {"target", Place.Name}});
}

void steerer::receive(const quarantine_update &Update) {
  Quarantine.merge(Update, Clock.now());
}

void steerer::finished(const dispatch_place &Place,
                       const relay_outcome &Outcome) {
  const steady_time Now = Clock.now();
  Limits.release(Place.Limit);
  if (Place.Kind == next_hop::Target) {
    reportToQuarantine(Place, Outcome, Now);
    recordTargetResult(Place, Outcome, Now);
  } else {
    recordPeerResult(Place, Outcome);
  }
  // Tickets are unique, and a lane ignores those of other lanes.
  const auto &Forwarded = Services[Place.Service.Index].Forwarded;
  if (Forwarded != nullptr)
    Forwarded->releasePlace(Place.Ticket, Now - Place.Since);
  if (Place.Ticket != 0)
    laneOf(Place.Service, Place.Region)
        .releasePlace(Place.Ticket, Now - Place.Since);
  pumpService(Place.Service);
}

} // namespace magnoliaspread
