#include <magnoliaspread/control.h>

#include "admin_p.h"
#include "configsys_p.h"
#include "datagrams_p.h"
#include "identity_p.h"
#include "membersys_p.h"
#include "quotasys_p.h"
#include "views_p.h"

#include <magnoliaspread/http_store.h>
#include <magnoliaspread/log.h>
#include <magnoliaspread/traffic.h>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <optional>

namespace magnoliaspread {

namespace asio = boost::asio;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

/// Callers may use a look-up answer for this long beyond its TTL.
constexpr milliseconds LookupGrace{500};
/// Pause between two views while the configuration doesn't change.
constexpr milliseconds PublishPeriod{100};
/// Pause between two samples of the metrics for the service-level windows.
constexpr milliseconds MeasurePeriod{1000};
/// An instance without quota shares borrows tokens; it is ready after this.
constexpr milliseconds ReadyWithoutShares{5000};
/// Time for the thread reports to show requests that arrived just before the
/// public port was closed.
constexpr milliseconds CloseGrace{200};
/// Idle connections are cut this long after the public port closed.
constexpr milliseconds IdleGrace{2000};
/// Maximum wait for the release of the quota shares at the end of a drain.
constexpr milliseconds ReleaseTimeout{2000};

http_store_settings storeSettings(const instance_settings &Settings) {
  http_store_settings Store;
  Store.Platform = Settings.Platform;
  return Store;
}

class instance {
public:
  instance(const instance_settings &Settings, const clock &Clock,
           fleet_secret Secret, const fleet_key &Key);

  status run();

private:
  status open();
  void awaitSignal();
  void tick();
  void adopt(const config_index_ptr &Index);
  void publish();
  void receive(const endpoint_address &From, const received_datagram &Datagram);
  void handleReport(thread_report Report);
  std::vector<endpoint_address> peerAddresses() const;
  std::size_t inFlight() const;
  std::size_t connections() const;
  void beginDrain();
  bool trafficEnded(steady_time Now);
  void watchDrain();
  admin_answer healthPage() const;
  admin_answer statusPage() const;
  admin_answer metricsPage() const;
  admin_answer sloPage() const;
  void measure(steady_time Now);

  const instance_settings &Settings;
  const clock &Clock;
  fleet_secret Secret;
  member_identity Identity;
  asio::io_context Context{1};
  http_store Store;
  token_pool Tokens;
  instance_metrics Metrics;
  slo_window Slo;
  datagram_port Datagrams;
  member_system Members;
  quota_system Quota;
  config_system Config;
  traffic_threads Traffic;
  /// The latest report of each traffic thread.
  std::vector<thread_report> Reports;
  admin_port Admin;
  asio::steady_timer Timer;
  asio::signal_set Signals;
  config_index_ptr InForce;
  steady_time StartedAt;
  steady_time NextPublish;
  steady_time NextMeasure;
  bool Draining = false;
  steady_time DrainingSince;
  /// When the public port was closed.
  std::optional<steady_time> ClosedAt;
};

instance::instance(const instance_settings &Settings, const clock &Clock,
                   fleet_secret FleetSecret, const fleet_key &Key)
    : Settings(Settings), Clock(Clock), Secret(std::move(FleetSecret)),
      Identity(identityOf(Settings, Clock)),
      Store(Context, storeSettings(Settings), Clock, randomNumber()),
      Slo(Clock.now()),
      Datagrams(Context, Key, Identity.Incarnation,
                [this](const endpoint_address &From,
                       const received_datagram &Row) { receive(From, Row); }),
      Members(Context, Store, Datagrams, Clock, Settings, Identity,
              randomNumber(),
              [this](std::uint64_t Dead) { Quota.declareDead(Dead); }),
      Quota(Store, Datagrams, Members.members(), Clock, Settings,
            Identity.Incarnation, randomNumber(), Tokens),
      Config(Context, Store, Clock, Secret, randomNumber(),
             [this](const config_index_ptr &Index) { adopt(Index); }),
      Traffic(Settings, Clock, Secret, Tokens, Metrics,
              [this](thread_report Report) {
                asio::post(Context, [this, Report = std::move(Report)] {
                  handleReport(Report);
                });
              }),
      Reports(Settings.TrafficThreads),
      Admin(Context, {{"/healthz", [this] { return healthPage(); }},
                      {"/status", [this] { return statusPage(); }},
                      {"/metrics", [this] { return metricsPage(); }},
                      {"/slo", [this] { return sloPage(); }}}),
      Timer(Context), Signals(Context, SIGTERM, SIGINT, SIGHUP),
      StartedAt(Clock.now()) {}

std::size_t instance::inFlight() const {
  std::size_t Sum = 0;
  for (const thread_report &Report : Reports)
    Sum += Report.InFlight;
  return Sum;
}

std::size_t instance::connections() const {
  std::size_t Sum = 0;
  for (const thread_report &Report : Reports)
    Sum += Report.Connections;
  return Sum;
}

admin_answer instance::healthPage() const {
  const bool Limits =
      Quota.minting() || Clock.now() - StartedAt >= ReadyWithoutShares;
  const bool Ready = InForce != nullptr && Limits && !Draining;
  return {Ready ? 200U : 503U, "application/json",
          Ready ? "{\"ready\":true}" : "{\"ready\":false}"};
}

admin_answer instance::statusPage() const {
  boost::json::array LocalPeers;
  for (const member_row &Row : Members.members().liveLocalPeers())
    LocalPeers.push_back(boost::json::value(Row.Identity.Name));
  const boost::json::object Status{
      {"name", Settings.Name},
      {"data_centre", Settings.DataCentre},
      {"region", Settings.Region},
      {"config_version", Config.inForce().Version},
      {"config_staleness_ms", Config.sync().staleness(Clock.now()).count()},
      {"lowest_config_version", Members.members().lowestVersion()},
      {"platform_reachable", Store.reachable()},
      {"mates", std::move(LocalPeers)},
      {"speaker", Members.members().isSpeaker()},
      {"quota_shares", Quota.leases().heldCount()},
      {"draining", Draining},
      {"in_flight", inFlight()}};
  return {200, "application/json", boost::json::serialize(Status)};
}

admin_answer instance::metricsPage() const {
  return {200, "text/plain; version=0.0.4", Metrics.exposition()};
}

admin_answer instance::sloPage() const {
  return {200, "application/json", formatSlo(Slo)};
}

void instance::measure(steady_time Now) {
  NextMeasure = Now + MeasurePeriod;
  instance_gauges Gauges;
  Gauges.InFlight = inFlight();
  for (const thread_report &Report : Reports) {
    Gauges.QueueLength += Report.Waiting;
    Gauges.Connections += Report.Connections;
  }
  Gauges.ConfigVersion = Config.inForce().Version;
  Gauges.ConfigStaleness = Config.sync().staleness(Now);
  Gauges.PlatformReachable = Store.reachable();
  if (Draining)
    Gauges.Draining = duration_cast<milliseconds>(Now - DrainingSince);
  Metrics.setGauges(Gauges);
  Slo.add(Now, Metrics.sums());
}

void instance::adopt(const config_index_ptr &Index) {
  InForce = Index;
  std::vector<std::string> Centres;
  for (const data_centre_row &Row : Index->Table.DataCentres)
    Centres.push_back(Row.Name);
  Members.members().retainDataCentres(Centres);
  Members.members().setConfig(Clock.now(), Config.inForce());
  Quota.adopt(Index->Table);
  publish();
}

void instance::publish() {
  const steady_time Now = Clock.now();
  NextPublish = Now + PublishPeriod;
  auto View = std::make_shared<traffic_view>();
  View->Config = InForce;
  View->Leaving = Draining;
  View->MadeAt = Now;
  View->PlatformTime = Store.platformTimeAtLeast().value_or(wall_time());
  if (InForce != nullptr) {
    const config_table &Table = InForce->Table;
    View->Instances = lookupOrder(Members.members(), Table, Now);
    View->Peers = peersOf(Members.members(), Table, Now);
    View->Owned = ownedTargets(Members.members(), Table, Now);
    View->TokenWaits = Quota.waits();
    View->Shares = Quota.leases().minted(Now);
  }
  Traffic.publish(View);
}

/// Dispatches a message to the system that handles its kind.
void instance::receive(const endpoint_address &From,
                       const received_datagram &Datagram) {
  const std::uint64_t Sender = Datagram.Sender;
  const control_message &Message = Datagram.Message;
  if (const auto *Member = std::get_if<member_message>(&Message))
    return Members.receive(From, *Member);
  if (const auto *Limits = std::get_if<quota_message>(&Message))
    return Quota.receive(Sender, *Limits);
  const auto Row = Members.members().findIncarnation(Sender);
  if (!Row)
    return;
  if (const auto *Update = std::get_if<quarantine_update>(&Message))
    return Traffic.deliver(*Update);
  if (const auto *Credit = std::get_if<credit_message>(&Message))
    return Traffic.deliver({Row->Identity.Name, *Credit});
}

void instance::handleReport(thread_report Report) {
  for (const peer_credit_message &Row : Report.Credits) {
    const auto Peer = Members.members().find(Row.Peer);
    if (Peer)
      Datagrams.send({Peer->Identity.Internal}, Row.Message);
  }
  if (!Report.Crashes.Suspects.empty()) {
    Datagrams.send(peerAddresses(), Report.Crashes);
    // The other traffic threads of this instance need them too.
    Traffic.deliver(Report.Crashes);
  }
  Report.Credits.clear();
  Report.Crashes.Suspects.clear();
  Reports[Report.Thread] = std::move(Report);
}

std::vector<endpoint_address> instance::peerAddresses() const {
  std::vector<endpoint_address> Addresses;
  if (InForce == nullptr)
    return Addresses;
  for (const instance_view &Row :
       peersOf(Members.members(), InForce->Table, Clock.now()))
    Addresses.push_back(Row.Internal);
  return Addresses;
}

void instance::tick() {
  const steady_time Now = Clock.now();
  load_summary Load;
  for (const thread_report &Report : Reports) {
    Load.FreeSlots += Report.FreeSlots;
    Load.QueueLength += static_cast<std::uint32_t>(Report.Waiting);
  }
  Members.members().setLoad(Load);
  Members.tick();
  Config.tick(Members.members());
  Quota.tick();
  if (Now >= NextPublish)
    publish();
  if (Now >= NextMeasure)
    measure(Now);
  if (Members.members().superseded())
    beginDrain();
  if (Draining)
    watchDrain();
  Timer.expires_after(Settings.ControlTick);
  Timer.async_wait([this](boost::system::error_code Stopped) {
    if (!Stopped)
      tick();
  });
}

void instance::beginDrain() {
  if (Draining)
    return;
  Draining = true;
  DrainingSince = Clock.now();
  logEvent(log_level::Info, "drain_started", {{"instance", Settings.Name}});
  Members.leave();
  publish();
}

/// Closes the public port when its time has come. True when nothing is in
/// flight and the connections have ended or had time to.
bool instance::trafficEnded(steady_time Now) {
  if (Now - DrainingSince < Settings.LookupTtl + LookupGrace)
    return false;
  if (!ClosedAt) {
    Traffic.stopAccepting();
    ClosedAt = Now;
  }
  const auto Closed = Now - *ClosedAt;
  if (Closed < CloseGrace || inFlight() > 0)
    return false;
  return connections() == 0 || Closed >= IdleGrace;
}

/// Ends the process once its traffic has ended and its quota shares are
/// released.
void instance::watchDrain() {
  const steady_time Now = Clock.now();
  const auto Since = Now - DrainingSince;
  if (!trafficEnded(Now) && Since < Settings.DrainTimeout)
    return;
  Quota.leave();
  const bool GiveUp =
      Since >= Settings.DrainTimeout + ReleaseTimeout || !Store.reachable();
  if (!Quota.released() && !GiveUp)
    return;
  logEvent(log_level::Info, "drain_ended",
           {{"instance", Settings.Name},
            {"ms", duration_cast<milliseconds>(Since).count()},
            {"in_flight", inFlight()}});
  Context.stop();
}

status instance::open() {
  status DatagramsOpened = Datagrams.open(Settings.Internal);
  if (failed(DatagramsOpened))
    return DatagramsOpened;
  status AdminOpened = Admin.open(Settings.Admin);
  if (failed(AdminOpened))
    return AdminOpened;
  return Traffic.start();
}

void instance::awaitSignal() {
  Signals.async_wait([this](boost::system::error_code Stopped, int Signal) {
    if (Stopped)
      return;
    if (Signal == SIGHUP)
      Config.refresh();
    else
      beginDrain();
    awaitSignal();
  });
}

status instance::run() {
  status Opened = open();
  if (failed(Opened))
    return Opened;
  awaitSignal();
  logEvent(log_level::Info, "started",
           {{"instance", Settings.Name},
            {"data_centre", Settings.DataCentre},
            {"public_port", Settings.Public.Port}});
  tick();
  Context.run();
  Traffic.stop();
  return {};
}

} // namespace

status runInstance(const instance_settings &Settings, const clock &Clock) {
  result<fleet_secret> Secret = parseFleetSecret(Settings.FleetSecret);
  if (failed(Secret))
    return errorOf(Secret);
  const result<fleet_key> Key = parseFleetKey(Settings.FleetSecret);
  if (failed(Key))
    return errorOf(Key);
  instance Instance(Settings, Clock, std::move(valueOf(Secret)), valueOf(Key));
  return Instance.run();
}

} // namespace magnoliaspread
