#include "gateway_p.h"

#include <magnoliaspread/log.h>
#include <magnoliaspread/ownership.h>

#include <algorithm>

namespace magnoliaspread {

using std::chrono::duration;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds MeasurePeriod{1000};
/// A draining instance accepts connections for this long after the look-up TTL,
/// as callers use the directory's answer slightly longer than that.
constexpr milliseconds AcceptGrace{700};
/// Minimum time from closing the public port to the end of the process.
constexpr milliseconds MinCloseTime{300};
/// Requests in flight are abandoned this long before the grace period ends.
constexpr milliseconds GraceMargin{400};
/// Maximum time that callers wait for a starting instance's configuration and
/// targets; then their requests are accepted and answered with an error.
constexpr milliseconds StartWait{800};
constexpr milliseconds StartTick{10};
/// The reported request rate falls by at most this factor per second, so that
/// a pause between two bursts doesn't change it.
constexpr double RateDecay = 0.8;

} // namespace

entry_candidate candidateOf(const member_identity &Identity,
                            const load_summary &Load) {
  return {stableId(Identity.Name), Load.Capacity, Load.Rate};
}

std::string textOf(const endpoint_address &Address) {
  return Address.Address + ':' + std::to_string(Address.Port);
}

gateway::gateway(const instance_settings &Settings,
                 const fleet_platform &Platform, const clock &Clock,
                 fleet_secret FleetSecret, const fleet_key &Key,
                 settings_reader Reload)
    : Settings(Settings), Platform(Platform), Clock(Clock),
      Secret(std::move(FleetSecret)), Reload(std::move(Reload)),
      GateSettings(gateSettings(Settings)),
      Identity(identityOf(Settings, Clock)),
      Store(Context, storeSettings(Settings, Platform), Clock, randomNumber()),
      Datagrams(Context, Key, Identity.Incarnation,
                [this](const endpoint_address &From,
                       const received_datagram &Row) { receive(From, Row); }),
      Members(Context, Store, Datagrams, Clock, Settings, Identity,
              randomNumber(), [](std::uint64_t) {}),
      Limiter(limiterSettings(Settings, Identity), Clock.now()),
      Registry(registrySettings(*Settings.Gateway)),
      View(viewSettings(*Settings.Gateway), Settings.Name),
      Follower(Store, Platform, Clock, Registry, View,
               followerSettings(*Settings.Gateway), randomNumber(),
               [this](const routes_object &Object, boot_time AsOf) {
                 applyRoutes(Object, AsOf);
               }),
      Start(startSettings(Settings), randomNumber(), Clock.now()),
      Gate(Context, GateSettings, Clock, Platform.dialect(), Limiter, Metrics,
           randomNumber()),
      TargetLimits(Gate, Datagrams, Members.members()),
      Paths(Gate, Datagrams, Settings.DataCentre, randomNumber()),
      Quarantines(
          Store, Clock,
          [this](const quarantine_update &Update) { Gate.receive(Update); }),
      Admin(Context, {{"/metrics",
                       [this] {
                         return admin_answer{200, "text/plain; version=0.0.4",
                                             Metrics.exposition()};
                       }}}),
      Directory(Context,
                [this](const admin_port::request &Request) {
                  return directoryPage(Request.target());
                }),
      Ready(Context,
            [this](const admin_port::request &Request) {
              return readyPage(Request.target());
            }),
      Internal(Context,
               [this](const admin_port::request &Request) {
                 return peerPage(Request);
               }),
      Timer(Context), Signals(Context, SIGTERM, SIGINT, SIGHUP),
      StartedAt(Clock.now()) {
  std::set<std::string> Names;
  for (const auto &[DataCentre, Region] : Settings.Gateway->Regions) {
    DataCentres.push_back(DataCentre);
    Names.insert(Region);
  }
  Regions = Names.size();
  Load.Capacity = capacityOf(*Settings.Gateway);
  Members.members().setLoad(Load);
  Gate.onTokenShortage([this] {
    asio::post(Context, [this] { runLimits(this->Clock.now()); });
  });
  Gate.onTargetLeaving(
      [this](const std::string &Name, std::int64_t StartedAtMs) {
        return Registry.noteLeaving(Name, StartedAtMs);
      });
  Gate.onQuarantine(
      [this](const suspect_report &Report) { Quarantines.save(Report); });
  Follower.onHistoryLost([this] {
    Members.historyLost(View.history().era());
    Quarantines.historyLost();
  });
  GateSettings.Secret = Secret;
  Members.addSeedHosts(Settings.Gateway->Seeds, DataCentres);
}

void gateway::measure(steady_time Now) {
  NextMeasure = Now + MeasurePeriod;
  const gate_counts Counts = Gate.counts();
  const auto Rate = static_cast<double>(Counts.Requests - LastRequests) /
                    duration<double>(MeasurePeriod).count();
  LastRequests = Counts.Requests;
  Load.Rate = static_cast<std::uint32_t>(std::max(Rate, Load.Rate * RateDecay));
  Members.members().setLoad(Load);
  instance_gauges Gauges;
  Gauges.InFlight = Counts.InFlight;
  Gauges.Pipelined = Counts.Pipelined;
  Gauges.QueueLength = Counts.Waiting;
  Gauges.Connections = Counts.Connections;
  Gauges.ConfigVersion = InForce == nullptr ? 0 : InForce->table().Version;
  Gauges.ConfigStaleness =
      duration_cast<milliseconds>(Clock.boot() - View.routesConfirmedAt());
  Gauges.PlatformReachable = Store.reachable();
  Gauges.Suspects = Counts.Suspects;
  Gauges.Quarantined = Counts.Quarantined;
  Gauges.LimitedTargets = Counts.LimitedTargets;
  Gauges.PathBroken = Gate.pathBroken();
  Gauges.Forwarded = Counts.Forwarded;
  Gauges.DataCentreCrossed =
      Counts.Crossings.bytesFrom(target_distance::Region);
  Gauges.RegionCrossed = Counts.Crossings.bytesFrom(target_distance::Remote);
  Gauges.NearHolders = Counts.Crossings.NearHolders;
  Gauges.SlowTargets = Counts.SlowTargets;
  Gauges.SpilledPart = Counts.SpilledPart;
  Gauges.Holders = Counts.Holders;
  Gauges.Forgotten = Counts.Forgotten;
  Gauges.MeasuredKinds = Counts.MeasuredKinds;
  Gauges.SpreadKinds = Counts.SpreadKinds;
  Gauges.HeldWorkspaces = Counts.HeldWorkspaces;
  Gauges.ShareRefusals = Counts.ShareRefusals;
  Gauges.MintedLimits = Limiter.minted(Now);
  const instance_roster &Roster = Members.registry().roster();
  if (Roster.known())
    Gauges.RosterStaleness =
        duration_cast<milliseconds>(Clock.boot() - Roster.stamp().AsOf);
  if (DrainingSince)
    Gauges.Draining = duration_cast<milliseconds>(Now - *DrainingSince);
  Metrics.setGauges(Gauges);
}

void gateway::tick() {
  const steady_time Now = Clock.now();
  Members.tick();
  if (Now >= NextPeers)
    updatePeers(Now);
  bootstrapTargets(Now);
  Follower.tick();
  requestView();
  publishTargets(Now);
  runLimits(Now);
  if (!Accepting && (serving() || Now - StartedAt >= StartWait)) {
    Accepting = true;
    Gate.acceptCallers();
  }
  Gate.tick();
  Quarantines.tick();
  gossipCrashes();
  TargetLimits.tick();
  Paths.tick(Now);
  sendObjectUpdates(Now);
  if (Now >= NextMeasure)
    measure(Now);
  if (Members.members().superseded())
    beginDrain();
  if (DrainingSince)
    watchDrain(Now);
  flushLog();
  Timer.expires_after(Accepting ? Settings.ControlTick : StartTick);
  Timer.async_wait([this](boost::system::error_code Stopped) {
    if (!Stopped)
      tick();
  });
}

void gateway::beginDrain() {
  if (DrainingSince)
    return;
  DrainingSince = Clock.now();
  logEvent(
      log_level::Info, "drain_started",
      {{"instance", Settings.Name}, {"in_flight", Gate.counts().InFlight}});
  Gate.setLeaving(*DrainingSince + Settings.Gateway->Grace - GraceMargin);
  Limiter.resign(Clock.now());
  Members.leave();
}

void gateway::watchDrain(steady_time Now) {
  const auto Since = Now - *DrainingSince;
  if (!ClosedAt && Since >= Settings.LookupTtl + AcceptGrace) {
    Gate.stopAccepting();
    ClosedAt = Now;
  }
  const bool GraceOver = Since >= Settings.Gateway->Grace - GraceMargin;
  const bool Ended = ClosedAt && Now - *ClosedAt >= MinCloseTime &&
                     Gate.counts().InFlight == 0;
  if (!GraceOver && !Ended)
    return;
  logEvent(log_level::Info, "stopped",
           {{"instance", Settings.Name},
            {"drain_ms", duration_cast<milliseconds>(Since).count()},
            {"in_flight", Gate.counts().InFlight}});
  Context.stop();
}

status gateway::open() {
  if (status Opened = Datagrams.open(Settings.Internal); failed(Opened))
    return Opened;
  if (status Opened = Internal.open(Settings.Internal); failed(Opened))
    return Opened;
  if (status Opened = Admin.open(Settings.Admin); failed(Opened))
    return Opened;
  if (status Opened = Directory.open(Settings.Gateway->Directory);
      failed(Opened))
    return Opened;
  if (status Opened = Ready.open(Settings.Gateway->Ready); failed(Opened))
    return Opened;
  return Gate.open();
}

/// Validates the settings file and reads the platform again. Ports and names
/// don't change while the process runs.
void gateway::reload() {
  const result<instance_settings> Read = Reload();
  if (failed(Read))
    return logEvent(log_level::Error, "reload_failed",
                    {{"detail", errorOf(Read).Detail}});
  logEvent(log_level::Info, "reloaded", {{"instance", Settings.Name}});
  Follower.refresh();
}

void gateway::awaitSignal() {
  Signals.async_wait([this](boost::system::error_code Stopped, int Signal) {
    if (Stopped)
      return;
    if (Signal == SIGHUP)
      reload();
    else
      beginDrain();
    awaitSignal();
  });
}

status gateway::run() {
  if (status Opened = open(); failed(Opened))
    return Opened;
  awaitSignal();
  logEvent(log_level::Info, "started",
           {{"instance", Settings.Name},
            {"data_centre", Settings.DataCentre},
            {"incarnation", Identity.Incarnation},
            {"public", textOf(Settings.Public)}});
  tick();
  Context.run();
  flushLog();
  return {};
}

status runGateway(const instance_settings &Settings,
                  const fleet_platform &Platform, const clock &Clock,
                  const settings_reader &Reload) {
  if (!Settings.Gateway)
    return error{error_kind::BadSettings,
                 "field gateway is missing, allowed: an object",
                 {}};
  result<fleet_secret> Secret = parseFleetSecret(Settings.FleetSecret);
  if (failed(Secret))
    return errorOf(Secret);
  const result<fleet_key> Key = parseFleetKey(Settings.FleetSecret);
  if (failed(Key))
    return errorOf(Key);
  gateway Gateway(Settings, Platform, Clock, std::move(valueOf(Secret)),
                  valueOf(Key), Reload);
  return Gateway.run();
}

} // namespace magnoliaspread
