#include "gate_p.h"
#include "sockets_p.h"

#include <magnoliaspread/log.h>
#include <magnoliaspread/ownership.h>

#include <algorithm>
#include <set>

namespace magnoliaspread {

using std::chrono::milliseconds;

namespace {

/// Interval between placement retries of waiting requests.
constexpr milliseconds PollPeriod{15};
/// From a target's answer to its last byte at the caller.
constexpr milliseconds AnswerTime{50};
/// Time for the refusal of a request whose body doesn't end in time: its caller
/// may be sending, and has to read it.
constexpr milliseconds RefusalTime{400};
/// A request is quarantined from the third target crash on.
constexpr std::uint32_t CrashesToQuarantine = 3;
/// Covers the time in which callers are likely to repeat a request that crashed
/// three targets.
constexpr milliseconds InitialQuarantine = std::chrono::minutes(10);
constexpr milliseconds QuarantineLimit = std::chrono::hours(1);
/// Timeout of the connection attempt that checks a target after a broken
/// connection.
constexpr milliseconds ReconnectTimeout{1000};

connection_reuse_settings reuseSettings() {
  connection_reuse_settings ReuseSettings;
  // Targets close idle connections after 10 s; stay below that.
  ReuseSettings.MaxIdle = milliseconds(7000);
  ReuseSettings.ProbeAfterIfNotRepeatable = milliseconds(1500);
  return ReuseSettings;
}

quarantine_settings quarantineSettings(std::uint64_t Seed) {
  quarantine_settings Quarantine;
  Quarantine.CrashesIfAlone = CrashesToQuarantine;
  Quarantine.CrashesIfShared = CrashesToQuarantine;
  Quarantine.MinQuarantine = InitialQuarantine;
  Quarantine.MaxQuarantine = QuarantineLimit;
  Quarantine.SuspectTime = InitialQuarantine;
  Quarantine.TargetsRestart = true;
  Quarantine.Seed = Seed;
  return Quarantine;
}

target_path_settings pathSettings(const gate_settings &Settings) {
  target_path_settings Path;
  Path.Enabled = Settings.DetectBrokenPath;
  return Path;
}

/// Numbers the regions in the order of their names.
name_map<std::size_t> numberRegions(const name_map<std::string> &Regions) {
  std::set<std::string> Names;
  for (const auto &[DataCentre, Region] : Regions)
    Names.insert(Region);
  name_map<std::size_t> Numbers;
  for (const std::string &Name : Names)
    Numbers.emplace(Name, Numbers.size());
  return Numbers;
}

placer_policy placerPolicy(const gate_settings &Settings) {
  placer_policy Policy;
  Policy.Crossing = Settings.Crossing;
  Policy.Affinity = Settings.Affinity;
  Policy.FairShare = Settings.FairShare;
  Policy.Spill.MaxShift = Settings.MaxRegionShift;
  const name_map<std::size_t> Numbers = numberRegions(Settings.Regions);
  if (const auto Own = Numbers.find(Settings.Region); Own != Numbers.end())
    Policy.OwnRegion = static_cast<std::uint8_t>(Own->second);
  return Policy;
}

} // namespace

gate::state::state(asio::io_context &Context, const gate_settings &Settings,
                   const clock &Clock, const gate_dialect &Dialect,
                   token_source &Tokens, instance_metrics &Metrics,
                   std::uint64_t Seed)
    : Context(Context), Settings(Settings), Clock(Clock), Dialect(Dialect),
      Tokens(Context, Clock, Tokens), Metrics(Metrics),
      Permits(Clock, {Settings.Name, Settings.Region}, Seed),
      Placer(placerPolicy(Settings), &Permits),
      Pool(Context, Clock, reuseSettings()),
      Path(pathSettings(Settings), Seed, Clock.now()), ForwardPeers(Seed),
      Quarantine(quarantineSettings(Seed)),
      RegionNumbers(numberRegions(Settings.Regions)), Retries(Settings.Retries),
      NextId(Seed), Memory(Settings.MaxBodyMemory), Acceptor(Context),
      ForwardAcceptor(Context), PollTimer(Context) {}

/// Retries the placement of waiting requests: the estimate of other instances'
/// load on a target decays without a message.
asio::awaitable<void> gate::state::pollWaiting() {
  Polling = true;
  while (!Waiters.empty()) {
    PollTimer.expires_after(PollPeriod);
    co_await PollTimer.async_wait(Awaited);
    wakePlaced();
    requestPermits();
  }
  Polling = false;
}

void gate::state::wakePlaced() {
  for (place_grant &Grant : Placer.poll(Clock.now())) {
    const auto Found = Waiters.find(Grant.Id);
    if (Found == Waiters.end())
      continue;
    Found->second->Verdict = std::move(Grant.Verdict);
    Found->second->Signal.cancel();
  }
}

asio::awaitable<result<target_handle>>
gate::state::place(const place_request &Request) {
  placement_verdict Verdict = Placer.place(Request, Clock.now());
  if (std::holds_alternative<place_wait>(Verdict)) {
    place_waiter Waiter(Context, Request);
    Waiter.Signal.expires_at(Request.Deadline);
    Waiters.emplace(Request.Id, &Waiter);
    requestPermits();
    if (Placer.queue().hasEvicted())
      wakePlaced();
    if (!Polling)
      asio::co_spawn(Context, pollWaiting(), asio::detached);
    if (!Waiter.Verdict)
      co_await Waiter.Signal.async_wait(Awaited);
    Waiters.erase(Request.Id);
    if (!Waiter.Verdict) {
      Placer.cancel(Request.Id);
      co_return error{
          error_kind::DeadlineExpired, "no target had room in time", {}};
    }
    Verdict = std::move(*Waiter.Verdict);
  }
  if (const auto *Send = std::get_if<place_send>(&Verdict)) {
    Path.sent(Send->Target, Clock.now(),
              Placer.expectedService(Request.Kind, false));
    co_return Send->Target;
  }
  co_return std::get<error>(Verdict);
}

bool gate::state::endsInTime(const place_request &Request) const {
  if (!Leaving)
    return true;
  const steady_time Now = Clock.now();
  const auto Longest = Placer.longestAnswer(Request.Kind);
  const steady_time AnsweredBy =
      Longest.count() == 0
          ? Request.Deadline
          : std::min<steady_time>(Request.Deadline, Now + Longest);
  return AnsweredBy + AnswerTime <= EndsAt;
}

steady_time gate::state::bodiesUntil() const {
  return Leaving ? EndsAt - RefusalTime : steady_time::max();
}

void gate::state::refuseLate() {
  if (!Leaving)
    return;
  for (const auto &[Id, Waiter] : Waiters) {
    if (Waiter->Verdict || endsInTime(Waiter->Request))
      continue;
    Placer.cancel(Id);
    Waiter->Verdict = endsTooSoon();
    Waiter->Signal.cancel();
  }
}

error endsTooSoon() {
  return {error_kind::Draining, "this instance stops before it can end", {}};
}

void gate::state::cancelPlacement(std::uint64_t Id) {
  if (const auto Found = Waiters.find(Id); Found != Waiters.end())
    Found->second->Signal.cancel();
}

namespace {

std::string_view nameOf(target_result Result) {
  switch (Result) {
  case target_result::Answered:
    return "answered";
  case target_result::Shed:
    return "shed";
  case target_result::Misdirected:
    return "misdirected";
  case target_result::Unreachable:
    return "unreachable";
  case target_result::Failed:
    return "failed";
  case target_result::TimedOut:
    return "silent";
  case target_result::Abandoned:
    return "abandoned";
  }
  return "unknown";
}

} // namespace

void gate::state::finished(target_outcome End, bool Heard) {
  notePathOutcome(End, Heard);
  if (End.Result != target_result::Answered &&
      End.Result != target_result::Abandoned)
    logEvent(log_level::Info, "target_failed",
             {{"target", Targets[End.Target.Index].Name},
              {"result", nameOf(End.Result)},
              {"load", Placer.loadOf(End.Target, Clock.now())},
              {"reported_waiting", End.Report ? End.Report->Waiting : 0U}});
  if (End.PauseFor)
    logEvent(log_level::Info, "target_held",
             {{"target", Targets[End.Target.Index].Name},
              {"hold_ms", End.PauseFor->count()}});
  Placer.finished(End, Clock.now());
  if (Placer.waiting() > 0)
    wakePlaced();
}

std::string gate::state::pickService(const route_row &Route) {
  double Sum = 0;
  for (const route_part &Part : Route.Parts)
    Sum += Part.Weight;
  double Left = draw(Draws[Route.Name]) * Sum;
  for (const route_part &Part : Route.Parts) {
    if (Left < Part.Weight)
      return Part.Service;
    Left -= Part.Weight;
  }
  return Route.Parts.empty() ? std::string() : Route.Parts.back().Service;
}

/// Regions in which the request may run: the homes of the route or of the
/// workspace, or the intersection if both have any. Empty if neither does,
/// which means all regions.
home_regions gate::state::homesOf(const route_row &Route,
                                  const routed_workspace *Workspace) const {
  const auto MaskOf = [this](const std::vector<std::string> &Names) {
    home_regions Mask;
    for (const std::string &Name : Names)
      if (const auto Found = RegionNumbers.find(Name);
          Found != RegionNumbers.end())
        Mask.set(Found->second);
    return Mask;
  };
  home_regions Homes = MaskOf(Route.HomeRegions);
  if (Workspace == nullptr || Workspace->HomeRegions.empty())
    return Homes;
  const home_regions Other = MaskOf(Workspace->HomeRegions);
  return Route.HomeRegions.empty() ? Other : Homes & Other;
}

void gate::state::targetCrashed(const target_process &Target,
                                std::string_view Source) {
  // A refused connection may be the fault of this instance's path.
  if (Path.state() != path_state::Working)
    return;
  const bool HadSuspects = Quarantine.mayHaveCrashed(Target.Start);
  const std::vector<request_fingerprint> NewlyQuarantined =
      Quarantine.targetCrashed(Target.Start, Clock.now());
  if (HadSuspects || !NewlyQuarantined.empty())
    reportCrash(Target, Source, NewlyQuarantined);
}

void gate::state::reportCrash(
    const target_process &Target, std::string_view Source,
    const std::vector<request_fingerprint> &NewlyQuarantined) const {
  logEvent(log_level::Info, "target_died",
           {{"target", Target.Name},
            {"started_at_ms", Target.StartedAtMs},
            {"source", Source},
            {"suspects", Quarantine.suspects()}});
  for (const request_fingerprint Fingerprint : NewlyQuarantined)
    reportQuarantine(Fingerprint, Target);
}

void gate::state::reportQuarantine(request_fingerprint Fingerprint,
                                   const target_process &Target) const {
  logEvent(log_level::Warning, "request_quarantined",
           {{"fingerprint", Fingerprint}, {"target", Target.Name}});
  persistQuarantine(Fingerprint);
}

/// Only the instance that saw the last crash stores the quarantine.
void gate::state::persistQuarantine(request_fingerprint Fingerprint) const {
  const auto Report = Quarantine.report(Fingerprint, Clock.now());
  if (OnQuarantine && Report && Quarantine.isLastCrashLocal(Fingerprint))
    OnQuarantine(*Report);
}

void gate::state::checkAlive(const target_process &Target) {
  if (Reconnecting.insert(Target.Start).second)
    asio::co_spawn(Context, reconnect(Target), asio::detached);
}

/// A refused connection means that the process is gone; a successful one is
/// pooled for the next request.
asio::awaitable<void> gate::state::reconnect(target_process Target) {
  auto Fresh =
      co_await Pool.connect(Target.Address, Clock.now() + ReconnectTimeout);
  Reconnecting.erase(Target.Start);
  if (!failed(Fresh))
    Pool.putBack(Target.Address, std::move(valueOf(Fresh)));
  else if (errorOf(Fresh).Kind == error_kind::TargetDown)
    targetCrashed(Target, "connection refused");
}

/// A restart under the same name counts as a crash, unless the previous process
/// was leaving.
void gate::state::detectRestart(const target_process &Target, bool IsLeaving) {
  const auto Known = Starts.find(Target.Name);
  if (Known != Starts.end() && !Known->second.IsLeaving &&
      Target.StartedAtMs > Known->second.Target.StartedAtMs) {
    const target_process &Died = Known->second.Target;
    const bool HadSuspects = Quarantine.mayHaveCrashed(Died.Start);
    const std::vector<request_fingerprint> NewlyQuarantined =
        Quarantine.targetRestarted(Died.Start, Target.Start, Clock.now());
    if (HadSuspects || !NewlyQuarantined.empty())
      reportCrash(Died, "started again", NewlyQuarantined);
  }
  // Most processes have a unique name, so the map must be bounded.
  if (Starts.size() > 2 * MaxTargets)
    Starts.clear();
  Starts[Target.Name] = {Target, IsLeaving};
}

bool gate::state::keysCurrent() const {
  return Settings.KeyedConfigMaxAge == milliseconds(0) ||
         Clock.boot() - ConfigConfirmedAt < Settings.KeyedConfigMaxAge;
}

void gate::state::handleTargetLeaving(target_handle Target,
                                      const std::string &RequestId) {
  const target_process &Row = Targets[Target.Index];
  if (OnTargetLeaving && !OnTargetLeaving(Row.Name, Row.StartedAtMs))
    return;
  logEvent(log_level::Info, "target_leaving",
           {{"target", Row.Name},
            {"started_at_ms", Row.StartedAtMs},
            {"source", "answer"},
            {"request_id", RequestId}});
  Placer.close(Target);
  Pool.dropIdle(Row.Address);
}

namespace {

error staleConfig() {
  return {error_kind::NoCapacity, "the configuration may be out of date", {}};
}

} // namespace

result<gate_request> gate::state::admit(const whole_request &Request,
                                        steady_time Arrived) {
  if (Routes == nullptr)
    return error{error_kind::NoCapacity, "no configuration is in force", {}};
  const caller_head Head = Dialect.read(Request.base());
  gate_request Admitted;
  Admitted.Id = Head.Id;
  Admitted.Routes = Routes;
  Admitted.Route = Routes->find(Head.Host, Request.target());
  if (Admitted.Route == nullptr)
    return keysCurrent() ? error{error_kind::UnknownRoute, "no such route", {}}
                         : staleConfig();
  const route_row &Route = *Admitted.Route;
  if (Routes->table().KeysRequired && !Route.Open) {
    if (!keysCurrent())
      return staleConfig();
    Admitted.Workspace = Routes->workspaceOf(Head.Key);
    if (Admitted.Workspace == nullptr)
      return error{error_kind::KeyUnknown, "no workspace holds this key", {}};
  }
  Admitted.Service = pickService(Route);
  place_request &Place = Admitted.Place;
  Place.Service = Services.find(Admitted.Service);
  Place.Homes = homesOf(Route, Admitted.Workspace);
  const bool HasHomes =
      !Route.HomeRegions.empty() || (Admitted.Workspace != nullptr &&
                                     !Admitted.Workspace->HomeRegions.empty());
  if (!Place.Service.valid() || (HasHomes && Place.Homes.none()))
    return error{error_kind::NoCapacity, "no target may serve the route", {}};
  Place.Id = ++NextId;
  Place.Kind = stableId(Route.Prefix + Route.Host + Admitted.Service);
  nameKind(Place.Kind, Route.Name, Admitted.Service);
  if (Route.Sticky && !Head.Object.empty())
    Place.Object = rendezvousScore(Place.Kind, stableId(Head.Object)) | 1U;
  Place.Priority = Route.Priority;
  if (Admitted.Workspace != nullptr)
    Place.Priority += Admitted.Workspace->Priority << 8U;
  Place.Workspace = workspaceIndex(Admitted.Workspace);
  Place.Arrived = Arrived;
  const milliseconds Allowed = Head.CallerTimeout.value_or(Route.Timeout);
  Place.Deadline = Arrived + std::min(Allowed, Route.Timeout);
  Place.GoodUntil = Arrived + Route.LatencyTarget;
  Place.BodyBytes = Request.body().size();
  Admitted.Fingerprint = fingerprintOf(
      {Admitted.Workspace == nullptr ? std::string_view()
                                     : Admitted.Workspace->Name,
       Request.method_string(), Request.target(), Request.body()});
  return Admitted;
}

gate::gate(asio::io_context &Context, const gate_settings &Settings,
           const clock &Clock, const gate_dialect &Dialect,
           token_source &Tokens, instance_metrics &Metrics, std::uint64_t Seed)
    : State(std::make_unique<state>(Context, Settings, Clock, Dialect, Tokens,
                                    Metrics, Seed)) {}

gate::~gate() = default;

status gate::open() {
  status Opened =
      openPort(State->Acceptor, State->Settings.Public, port_use::Alone);
  if (!failed(Opened) && State->Settings.Forward.Port != 0)
    Opened = openPort(State->ForwardAcceptor, State->Settings.Forward,
                      port_use::Alone);
  if (failed(Opened))
    return Opened;
  asio::co_spawn(State->Context, State->Pool.sweepAll(), asio::detached);
  return {};
}

void gate::acceptCallers() {
  const auto Accept = [State = State.get()](tcp::acceptor &From,
                                            request_source Source) {
    asio::co_spawn(State->Context,
                   acceptAll(State->Context, From,
                             [State, Source](tcp::socket Socket) {
                               return serveConnection(std::move(Socket), *State,
                                                      Source);
                             }),
                   asio::detached);
  };
  Accept(State->Acceptor, request_source::Caller);
  if (State->ForwardAcceptor.is_open())
    Accept(State->ForwardAcceptor, request_source::Peer);
}

void gate::setRoutes(route_index_ptr Routes) {
  State->Routes = std::move(Routes);
  for (const routed_service &Service : State->Routes->table().Services)
    State->Services.intern(Service.Name);
  State->Placer.queue().setFair(State->sharesFairly());
}

void gate::setConfigConfirmed(boot_time At) {
  State->ConfigConfirmedAt = std::max(State->ConfigConfirmedAt, At);
}

void gate::setTargets(const std::vector<gate_target> &Rows) {
  std::vector<placer_target> Placed;
  std::vector<target_permits::target_row> Limited;
  std::vector<path_target> Reached;
  for (const gate_target &Row : Rows) {
    const target_record &Record = Row.Target.Record;
    const std::size_t Index = Row.Target.Handle.Index;
    if (Index >= State->Targets.size())
      State->Targets.resize(Index + 1);
    State->Targets[Index] = {Record.Name, Record.Address, Record.StartedAtMs,
                             targetStart(Record.Name, Record.StartedAtMs)};
    State->detectRestart(State->Targets[Index], !Row.Target.Open);
    if (!Row.Target.Open)
      State->Pool.dropIdle(Record.Address);
    else
      Reached.push_back({Row.Target.Handle, Record.Service, Record.DataCentre});
    placer_target Target;
    Target.Handle = Row.Target.Handle;
    Target.Service = State->Services.intern(Record.Service);
    const auto Region = State->Settings.Regions.find(Record.DataCentre);
    if (!Target.Service.valid() || Region == State->Settings.Regions.end())
      continue;
    Limited.push_back(
        {Row.Target.Handle, {State->Targets[Index].Start, Region->second}});
    Target.Id = stableId(Record.Name);
    Target.Slots = Record.Slots;
    Target.Region =
        static_cast<std::uint8_t>(State->RegionNumbers[Region->second]);
    if (Record.DataCentre == State->Settings.DataCentre)
      Target.Distance = target_distance::DataCentre;
    else
      Target.Distance = Region->second == State->Settings.Region
                            ? target_distance::Region
                            : target_distance::Remote;
    Target.Open = Row.Target.Open;
    Target.ColdUntil = Row.Target.ColdUntil;
    Target.ColdRate = Row.ColdRate;
    if (State->Routes != nullptr)
      if (const routed_service *Service =
              State->Routes->service(Record.Service))
        Target.ColdTime = Service->ColdTime;
    Placed.push_back(Target);
  }
  State->Path.setTargets(std::move(Reached));
  State->Permits.setTargets(Limited);
  State->Placer.setTargets(Placed, State->Clock.now());
}

void gate::setInstances(std::size_t Count) {
  State->Retries.setInstances(Count);
}

void gate::setTokenWaits(const std::vector<token_wait> &Waits) {
  State->Tokens.publish(Waits);
}

void gate::onTokenShortage(std::function<void()> Handler) {
  State->Tokens.OnShortage = std::move(Handler);
}

void gate::retryTokenWaiters() { State->Tokens.tick(); }

void gate::onTargetLeaving(leaving_handler Handler) {
  State->OnTargetLeaving = std::move(Handler);
}

void gate::onQuarantine(quarantine_handler Handler) {
  State->OnQuarantine = std::move(Handler);
}

void gate::setLeaving(steady_time EndsAt) {
  State->Leaving = true;
  State->EndsAt = EndsAt;
  State->Permits.lender().leave();
}

void gate::tick() {
  State->Tokens.tick();
  State->refuseLate();
  State->requestPermits();
}

void gate::stopAccepting() {
  error_code Ignored;
  State->Acceptor.close(Ignored);
  State->ForwardAcceptor.close(Ignored);
  State->ClosesIdle = true;
  logEvent(log_level::Info, "idle_connections_closed",
           {{"count", State->IdleCallers.size()},
            {"connections", State->Connections}});
  for (const auto &[Id, Changed] : State->IdleCallers)
    Changed->cancel();
}

void gate::receive(const quarantine_update &Update) {
  const steady_time Now = State->Clock.now();
  for (const request_fingerprint Fingerprint :
       State->Quarantine.merge(Update, Now)) {
    logEvent(log_level::Warning, "quarantine_learned",
             {{"fingerprint", Fingerprint},
              {"refuse_ms",
               State->Quarantine.place(Fingerprint, Now).RetryAfter.count()}});
    State->persistQuarantine(Fingerprint);
  }
}

std::vector<quarantine_message> gate::gossipCrashes(std::size_t Peers) {
  return State->Quarantine.pendingMessages(Peers, State->Clock.now());
}

quarantine_update gate::crashSnapshot() const {
  return State->Quarantine.current(State->Clock.now());
}

void gate::receive(const object_update &Update) {
  State->Placer.receive(Update, State->Clock.now());
}

std::vector<object_update> gate::takeUpdates() {
  State->logAffinity();
  std::vector<object_update> Messages;
  for (const object_row &Row : State->Placer.takeUpdates()) {
    if (Messages.empty() || Messages.back().Rows.size() >= MaxObjectRows)
      Messages.emplace_back();
    Messages.back().Rows.push_back(Row);
  }
  for (const load_row &Row : State->Placer.takeLoadReports()) {
    if (Messages.empty() || Messages.back().Loads.size() >= MaxObjectRows)
      Messages.emplace_back();
    Messages.back().Loads.push_back(Row);
  }
  return Messages;
}

gate_counts gate::counts() const {
  gate_counts Counts;
  Counts.InFlight = State->InFlight;
  Counts.Pipelined = State->Pipelined;
  Counts.Waiting = State->Placer.waiting();
  Counts.Connections = State->Connections;
  Counts.Suspects = State->Quarantine.suspects();
  Counts.Quarantined = State->Quarantine.quarantined(State->Clock.now());
  Counts.LimitedTargets = State->Permits.limits().size(State->Clock.boot());
  Counts.Crossings = State->Placer.crossings();
  Counts.SlowTargets = State->Placer.slowTargets(State->Clock.now());
  Counts.SpilledPart = State->spilledPart();
  Counts.Forwarded = State->Forwarded;
  Counts.Requests = State->Requests;
  Counts.HeldWorkspaces = State->HeldWorkspaces;
  Counts.ShareRefusals = State->Placer.queue().shares().refused();
  if (State->Settings.Affinity.Enabled) {
    const affinity &Affinity = State->Placer.affinityState();
    Counts.Holders = State->Placer.holders();
    Counts.Forgotten = Affinity.forgotten();
    for (const kind_gain &Row : Affinity.gains()) {
      ++Counts.MeasuredKinds;
      Counts.SpreadKinds += Row.Follows ? 0 : 1;
    }
  }
  return Counts;
}

} // namespace magnoliaspread
