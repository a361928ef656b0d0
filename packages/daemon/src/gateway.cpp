#include <magnoliaspread/gateway.h>

#include "admin_p.h"
#include "datagrams_p.h"
#include "follower_p.h"
#include "gatewayparts_p.h"
#include "identity_p.h"
#include "membersys_p.h"
#include "peerfetch_p.h"
#include "quarantinestore_p.h"
#include "targetlimitsys_p.h"

#include <magnoliaspread/coldshare.h>
#include <magnoliaspread/entries.h>
#include <magnoliaspread/gate.h>
#include <magnoliaspread/http_store.h>
#include <magnoliaspread/limiter.h>
#include <magnoliaspread/log.h>
#include <magnoliaspread/ownership.h>
#include <magnoliaspread/startsource.h>
#include <magnoliaspread/traffic.h>

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <random>
#include <set>

namespace magnoliaspread {

namespace asio = boost::asio;
using std::chrono::duration;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds MeasurePeriod{1000};
constexpr milliseconds PeersPeriod{250};
/// About the time a target takes for one request; an older update is stale.
constexpr milliseconds ObjectUpdatePeriod{100};
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
/// Without the list of registered instances, limits are spread over the live
/// ones after this time.
constexpr milliseconds RegistrationWait{3000};
/// The reported request rate falls by at most this factor per second, so that
/// a pause between two bursts doesn't change it.
constexpr double RateDecay = 0.8;
/// Fraction of its capacity from which an instance assumes that the directory
/// lists weaker ones too; below the two thirds at which entry_policy adds more.
constexpr double BusyPart = 0.33;

entry_candidate candidateOf(const member_identity &Identity,
                            const load_summary &Load) {
  return {stableId(Identity.Name), Load.Capacity, Load.Rate};
}

std::string textOf(const endpoint_address &Address) {
  return Address.Address + ':' + std::to_string(Address.Port);
}

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
  void runLimits(steady_time Now);
  std::vector<limiter_instance> limiterInstances(steady_time Now) const;
  void receive(const endpoint_address &From, const received_datagram &Datagram);
  void receive(std::uint64_t Sender, const quota_message &Message);
  void applyViewReply(std::uint64_t Sender, const view_reply &Reply);
  void sendTo(const std::optional<member_row> &Row,
              const control_message &Message);
  void measure(steady_time Now);
  bool serving() const;
  std::vector<std::string> directory() const;
  admin_answer directoryPage(std::string_view Target) const;
  admin_answer readyPage(std::string_view Target) const;
  admin_answer peerPage(const admin_port::request &Request) const;
  void requestView();
  /// The configuration in force at \p Peer was current at \p AsOf.
  void fetchRoutes(const endpoint_address &Peer, boot_time AsOf);
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
  /// Incarnations of Peers.
  std::set<std::uint64_t> KnownIncarnations;
  load_summary Load;
  std::uint64_t LastRequests = 0;
  std::size_t Regions = 1;
  bool Accepting = false;
  std::optional<steady_time> DrainingSince;
  std::optional<steady_time> ClosedAt;
};

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
  Members.addSeedHosts(Settings.Gateway->Seeds, DataCentres);
}

/// Activates a newer configuration and records when it was confirmed current.
void gateway::applyRoutes(const routes_object &Object, boot_time AsOf) {
  result<route_table> Read = Platform.readRoutes(Object.Json);
  if (failed(Read)) {
    logEvent(log_level::Error, "routes_unreadable",
             {{"revision", Object.Version}, {"detail", errorOf(Read).Detail}});
    return;
  }
  const std::uint64_t Version = valueOf(Read).Version;
  View.confirmRoutes(Version, AsOf);
  Gate.setConfigConfirmed(View.routesConfirmedAt());
  if (InForce != nullptr && Version <= InForce->table().Version)
    return;
  InForce = std::make_shared<route_index>(std::move(valueOf(Read)));
  Source = Object;
  Gate.setRoutes(InForce);
  std::vector<limit_row> Limits;
  for (const routed_workspace &Row : InForce->table().Workspaces)
    if (Row.Rate > 0)
      Limits.push_back({workspaceLimit(Row.Name), Row.Rate, Row.Burst});
  Limiter.setLimits(Limits, Clock.now());
  Members.members().setConfig(Clock.now(), {Version, 0});
  PublishedRevision = 0;
  logEvent(log_level::Info, "routes_in_force",
           {{"version", Version},
            {"revision", Object.Version},
            {"routes", InForce->table().Routes.size()},
            {"keys", InForce->table().Keys.size()}});
}

/// Sends the view request that is due: to the region's reader, or to a few
/// peers when no reader confirms the view.
void gateway::requestView() {
  const view_source Source = View.dueRequest(Clock.boot());
  if (Source == view_source::None)
    return;
  if (Source == view_source::Reader) {
    const std::optional<member_row> Reader =
        Members.members().find(View.reader());
    if (Reader)
      sendTo(Reader,
             View.makeRequest(Clock.boot(), Reader->Identity.Incarnation));
    return;
  }
  if (Source == view_source::SamePeer)
    return sendTo(Members.members().findIncarnation(View.partsFrom()),
                  View.makeRequest(Clock.boot(), View.partsFrom()));
  const view_request Request = View.makeRequest(Clock.boot(), 0);
  for (const std::string &Name : View.samplePeers(Random))
    sendTo(Members.members().find(Name), Request);
}

void gateway::fetchRoutes(const endpoint_address &Peer, boot_time AsOf) {
  if (Fetching)
    return;
  Fetching = true;
  fetchFromPeer(
      Context, Clock, Secret, Peer, ConfigPath,
      [this, From = textOf(Peer), AsOf](const result<std::string> &Fetched) {
        Fetching = false;
        logEvent(log_level::Info, "routes_fetched",
                 {{"peer", From},
                  {"detail", failed(Fetched) ? errorOf(Fetched).Detail
                                             : std::string("ok")}});
        if (failed(Fetched))
          return;
        applyRoutes({NoObject, valueOf(Fetched)}, AsOf);
        if (InForce != nullptr)
          Follower.setRoutesKnown();
      });
}

/// Until the targets are known: requests snapshots from peers, or reads the
/// platform.
void gateway::bootstrapTargets(steady_time Now) {
  if (Follower.knowsTargets())
    return Start.targetsKnown();
  const std::vector<endpoint_address> Candidates = startPeers();
  switch (Start.next(Candidates.size(), Now)) {
  case start_action::Wait:
    return;
  case start_action::Read:
    logEvent(log_level::Info, "start_reads_platform",
             {{"peers", Candidates.size()}});
    // Instances that start from a peer get the quarantines from it. Before the
    // first start none are stored.
    if (!Settings.Gateway->FirstStart)
      Quarantines.load();
    return Follower.allowReads();
  case start_action::AskPeer:
    return requestSnapshot(
        Candidates[std::uniform_int_distribution<std::size_t>(
            0, Candidates.size() - 1)(Random)]);
  }
}

/// Instances of the region, listed by the platform or alive by heartbeat, and
/// the seeds of the settings.
std::vector<endpoint_address> gateway::startPeers() const {
  std::vector<endpoint_address> Candidates;
  for (const seed_address &Row : Members.listed())
    if (const auto Region = Settings.Gateway->Regions.find(Row.DataCentre);
        Region != Settings.Gateway->Regions.end() &&
        Region->second == Settings.Region)
      Candidates.push_back(Row.Internal);
  for (const member_row &Row : Peers)
    if (Row.Identity.Region == Settings.Region)
      Candidates.push_back(Row.Identity.Internal);
  for (const std::string &Host : Settings.Gateway->Seeds)
    if (Host != Settings.Internal.Address)
      Candidates.push_back({Host, Settings.Internal.Port});
  return Candidates;
}

void gateway::requestSnapshot(const endpoint_address &Peer) {
  fetchFromPeer(Context, Clock, Secret, Peer, SnapshotPath,
                [this, Peer, RequestedAt = Clock.boot()](
                    const result<std::string> &Fetched) {
                  applySnapshot(Peer, RequestedAt, Fetched);
                });
}

/// Drops a snapshot that is unreadable or too old; start_source then picks
/// another peer.
void gateway::applySnapshot(const endpoint_address &Peer, boot_time RequestedAt,
                            const result<std::string> &Fetched) {
  Start.requestEnded();
  if (failed(Fetched) || Follower.knowsTargets())
    return;
  result<view_reply> Read = decodeSnapshot(valueOf(Fetched));
  const std::string Detail =
      failed(Read) ? errorOf(Read).Detail : std::string("too old");
  if (!failed(Read))
    // Ages count from the time of this instance's own request.
    valueOf(Read).AskedAt = RequestedAt;
  if (failed(Read) || !Follower.applySnapshot(valueOf(Read)))
    return logEvent(log_level::Warning, "snapshot_dropped",
                    {{"peer", textOf(Peer)}, {"detail", Detail}});
  const view_reply &Snapshot = valueOf(Read);
  logEvent(log_level::Info, "snapshot_taken",
           {{"peer", textOf(Peer)},
            {"targets", Snapshot.Changes.size()},
            {"revision", Snapshot.Revision},
            {"age_ms", Snapshot.TargetsAge.count()}});
  if (Snapshot.Version != 0 && InForce == nullptr)
    fetchRoutes(Peer, RequestedAt - Snapshot.Age);
}

admin_answer gateway::snapshotPage() const {
  if (!Follower.knowsTargets() || DrainingSince)
    return {503, "application/json", "{\"error\":\"not_ready\"}"};
  result<std::string> Text = encodeSnapshot(Follower.snapshot(Clock.boot()));
  if (failed(Text))
    return {500, "application/json", "{\"error\":\"unreadable\"}"};
  return {200, "application/octet-stream", std::move(valueOf(Text))};
}

admin_answer gateway::peerPage(const admin_port::request &Request) const {
  const std::string_view Path = Request.target();
  if (Path != ConfigPath && Path != SnapshotPath)
    return {404, "application/json", "{\"error\":\"not_found\"}"};
  const status Verified =
      verifyFetch(Request.base(), Path, Secret, Clock.wall());
  if (failed(Verified))
    return {403, "application/json", "{\"error\":\"peer_rejected\"}"};
  if (Path == SnapshotPath)
    return snapshotPage();
  if (InForce == nullptr)
    return {404, "application/json", "{\"error\":\"not_found\"}"};
  return {200, "application/json", Source.Json};
}

std::vector<entry_candidate> gateway::regionCandidates() const {
  std::vector<entry_candidate> Candidates;
  for (const member_row &Row : Peers)
    if (Row.Identity.Region == Settings.Region)
      Candidates.push_back(candidateOf(Row.Identity, Row.Report.Load));
  return Candidates;
}

entry_candidate gateway::ownCandidate() const {
  return {stableId(Settings.Name), Load.Capacity, Load.Rate};
}

/// Requests per second that this instance may send to a cold target; 0 for a
/// target of another region.
double gateway::coldRate(const target_record &Record) const {
  const routed_service *Service =
      InForce == nullptr ? nullptr : InForce->service(Record.Service);
  const auto Region = Settings.Gateway->Regions.find(Record.DataCentre);
  if (Service == nullptr || Region == Settings.Gateway->Regions.end() ||
      Region->second != Settings.Region)
    return 0;
  return Service->ColdRate *
         ColdShares.share(stableId(Record.Name), ownCandidate());
}

void gateway::publishTargets(steady_time Now) {
  if (InForce == nullptr || Registry.revision() == PublishedRevision)
    return;
  PublishedRevision = Registry.revision();
  std::vector<gate_target> Targets;
  std::size_t Open = 0;
  for (const registered_target &Row : Registry.targets()) {
    Open += Row.Open;
    Targets.push_back({Row, Row.ColdUntil > Now ? coldRate(Row.Record) : 0.0});
  }
  Gate.setTargets(Targets);
  logEvent(log_level::Info, "targets_changed",
           {{"targets", Targets.size()},
            {"open", Open},
            {"change", PublishedRevision}});
}

/// Instances that may own a limit: the registered ones, or the live ones until
/// the registrations are known.
std::vector<limiter_instance> gateway::limiterInstances(steady_time Now) const {
  std::vector<limiter_instance> Instances{{Settings.Name, Settings.Region}};
  if (const auto &Registered = Members.registered()) {
    for (const registered_instance &Row : *Registered)
      if (const auto Region = Settings.Gateway->Regions.find(Row.DataCentre);
          Region != Settings.Gateway->Regions.end())
        Instances.push_back({Row.Name, Region->second});
    return Instances;
  }
  if (Now - StartedAt < RegistrationWait)
    return {};
  for (const member_row &Row : Peers)
    Instances.push_back({Row.Identity.Name, Row.Identity.Region});
  return Instances;
}

/// Refreshes the live peers and everything derived from them.
void gateway::updatePeers(steady_time Now) {
  NextPeers = Now + PeersPeriod;
  Peers.clear();
  for (const std::string &DataCentre : DataCentres)
    for (const member_row &Row :
         Members.members().lookupInstances(Now, DataCentre))
      if (Row.Identity.Name != Settings.Name)
        Peers.push_back(Row);
  std::set<std::string> Names;
  std::set<std::uint64_t> Incarnations;
  std::vector<endpoint_address> Started;
  for (const member_row &Row : Peers) {
    Names.insert(Row.Identity.Name);
    Incarnations.insert(Row.Identity.Incarnation);
    if (!KnownIncarnations.contains(Row.Identity.Incarnation))
      Started.push_back(Row.Identity.Internal);
  }
  KnownIncarnations = std::move(Incarnations);
  sendKnownCrashes(Started);
  if (Names.size() != PeerCount) {
    PeerCount = Names.size();
    logEvent(log_level::Info, "peers_changed", {{"alive", PeerCount}});
    const auto &Registered = Members.registered();
    if (Registered && Registered->size() < PeerCount)
      Members.listSoon();
  }
  std::vector<std::string> RegionalPeers;
  std::vector<std::string> RemotePeers;
  for (const member_row &Row : Peers)
    (Row.Identity.Region == Settings.Region ? RegionalPeers : RemotePeers)
        .push_back(Row.Identity.Name);
  View.setRegionalPeers(RegionalPeers);
  View.setRemotePeers(std::move(RemotePeers));
  ColdShares.setRegionalPeers(regionCandidates(), Now);
  TargetLimits.setPeers(Peers);
  Limiter.setReachable(std::move(Names));
  std::vector<limiter_instance> Instances = limiterInstances(Now);
  Gate.setInstances(Instances.size());
  Limiter.setInstances(std::move(Instances), Regions, Now);
}

void gateway::runLimits(steady_time Now) {
  for (const outgoing_token_request &Row : Limiter.tick(Now))
    sendTo(Members.members().find(Row.To), Row.Ask);
  std::vector<token_wait> Waits;
  if (InForce != nullptr)
    for (const routed_workspace &Row : InForce->table().Workspaces) {
      if (Row.Rate <= 0)
        continue;
      const milliseconds Wait = Limiter.waitFor(workspaceLimit(Row.Name), Now);
      if (Wait > milliseconds(0))
        Waits.push_back({Row.Name, Wait});
    }
  Gate.setTokenWaits(Waits);
}

void gateway::sendTo(const std::optional<member_row> &Row,
                     const control_message &Message) {
  if (Row)
    Datagrams.send({Row->Identity.Internal}, Message);
}

void gateway::receive(const endpoint_address &From,
                      const received_datagram &Datagram) {
  const control_message &Message = Datagram.Message;
  if (const auto *Member = std::get_if<member_message>(&Message))
    return Members.receive(From, *Member);
  if (const auto *Limits = std::get_if<quota_message>(&Message))
    return receive(Datagram.Sender, *Limits);
  if (const auto *Update = std::get_if<object_update>(&Message))
    return Gate.receive(*Update);
  if (const auto *Request = std::get_if<view_request>(&Message)) {
    const auto Requester = Members.members().findIncarnation(Datagram.Sender);
    for (const view_reply &Reply : View.answers(*Request, Clock.boot()))
      sendTo(Requester, Reply);
    return;
  }
  if (const auto *Reply = std::get_if<view_reply>(&Message))
    return applyViewReply(Datagram.Sender, *Reply);
  if (const auto *Limit = std::get_if<target_limit_message>(&Message))
    return TargetLimits.receive(Datagram.Sender, *Limit);
  if (const auto *Crashes = std::get_if<quarantine_update>(&Message))
    Gate.receive(*Crashes);
}

void gateway::applyViewReply(std::uint64_t Sender, const view_reply &Reply) {
  const platform_view::reply_result Result = View.applyReply(Reply, Sender);
  Follower.applyReply(Result);
  Gate.setConfigConfirmed(View.routesConfirmedAt());
  const auto Row = Members.members().findIncarnation(Sender);
  if (Result.FetchRoutes && Row)
    fetchRoutes(Row->Identity.Internal, Result.RoutesAsOf);
  if (Result.RequestNextPart)
    sendTo(Row, View.makeRequest(Clock.boot(), Sender));
}

void gateway::receive(std::uint64_t Sender, const quota_message &Message) {
  const auto Row = Members.members().findIncarnation(Sender);
  if (const auto *Request = std::get_if<token_request>(&Message))
    return sendTo(Row, Limiter.answer(*Request, Clock.now()));
  if (const auto *Grant = std::get_if<token_grant>(&Message)) {
    Limiter.accept(*Grant, Clock.now());
    Gate.retryTokenWaiters();
  }
}

bool gateway::serving() const {
  const bool ConfigConfirmed =
      GateSettings.KeyedConfigMaxAge == milliseconds(0) ||
      Clock.boot() - View.routesConfirmedAt() < GateSettings.KeyedConfigMaxAge;
  return InForce != nullptr && Registry.revision() > 0 && ConfigConfirmed;
}

/// Instances for callers: of this data centre, else of the region, else of all;
/// chooseEntries selects among them by capacity and load.
std::vector<std::string> gateway::directory() const {
  std::vector<std::string> Addresses;
  std::vector<entry_candidate> Candidates;
  const bool IncludesSelf = serving() && !DrainingSince;
  if (IncludesSelf) {
    Addresses.push_back(textOf(Settings.Public));
    Candidates.push_back(ownCandidate());
  }
  int Nearest = IncludesSelf ? 0 : 3;
  for (const member_row &Row : Peers) {
    if (!Row.Report.PlatformReachable && IncludesSelf)
      continue;
    int Distance = 2;
    if (Row.Identity.DataCentre == Settings.DataCentre)
      Distance = 0;
    else if (Row.Identity.Region == Settings.Region)
      Distance = 1;
    if (Distance > Nearest)
      continue;
    if (Distance < Nearest) {
      Addresses.clear();
      Candidates.clear();
    }
    Nearest = Distance;
    Addresses.push_back(textOf(Row.Identity.Public));
    Candidates.push_back(candidateOf(Row.Identity, Row.Report.Load));
  }
  std::vector<std::string> Chosen;
  for (const std::size_t Row : chooseEntries(Candidates))
    Chosen.push_back(Addresses[Row]);
  return Chosen;
}

admin_answer gateway::directoryPage(std::string_view Target) const {
  if (!Platform.dialect().readDirectory(Target))
    return {404, "application/json", "{\"error\":\"not_found\"}"};
  const std::vector<std::string> Addresses = directory();
  if (Addresses.empty())
    return {503, "application/json", "{\"error\":\"no_instance\"}"};
  return {200, "application/json",
          Platform.dialect().directoryAnswer(Addresses, Settings.LookupTtl)};
}

admin_answer gateway::readyPage(std::string_view Target) const {
  if (!Platform.dialect().isReadinessProbe(Target))
    return {404, "application/json", "{\"error\":\"not_found\"}"};
  const bool Accepts = serving() && !DrainingSince;
  return {Accepts ? 200U : 503U, "application/json",
          Accepts ? "{\"ready\":true}" : "{\"ready\":false}"};
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
  Gauges.QueueLength = Counts.Waiting;
  Gauges.Connections = Counts.Connections;
  Gauges.ConfigVersion = InForce == nullptr ? 0 : InForce->table().Version;
  Gauges.ConfigStaleness =
      duration_cast<milliseconds>(Clock.boot() - View.routesConfirmedAt());
  Gauges.PlatformReachable = Store.reachable();
  Gauges.Suspects = Counts.Suspects;
  Gauges.Quarantined = Counts.Quarantined;
  Gauges.LimitedTargets = Counts.LimitedTargets;
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

void gateway::gossipCrashes() {
  for (const quarantine_message &Message : Gate.gossipCrashes(Peers.size())) {
    std::vector<endpoint_address> To;
    for (const std::size_t Peer : Message.To)
      To.push_back(Peers[Peer].Identity.Internal);
    Datagrams.send(To, Message.Update);
  }
}

/// Sends the known crashes to instances that have just started.
void gateway::sendKnownCrashes(const std::vector<endpoint_address> &Started) {
  const quarantine_update Update = Gate.crashSnapshot();
  if (!Started.empty() && !Update.Suspects.empty())
    Datagrams.send(Started, Update);
}

/// Announces to the region which targets are warm for which objects; an
/// object's callers are all in one region.
void gateway::sendObjectUpdates(steady_time Now) {
  if (Now < NextObjectUpdates)
    return;
  NextObjectUpdates = Now + ObjectUpdatePeriod;
  const std::vector<object_update> Update = Gate.takeUpdates();
  if (Update.empty())
    return;
  const std::vector<endpoint_address> To = updateReceivers();
  for (const object_update &Message : Update)
    Datagrams.send(To, Message);
}

/// Instances of the region that the directory lists: the strong ones of each
/// data centre, and all of them under high load.
std::vector<endpoint_address> gateway::updateReceivers() const {
  const bool Busy = Load.Rate >= Load.Capacity * BusyPart;
  std::map<std::string, std::vector<entry_candidate>> Candidates;
  for (const member_row &Row : Peers)
    if (Row.Identity.Region == Settings.Region)
      Candidates[Row.Identity.DataCentre].push_back(
          candidateOf(Row.Identity, Row.Report.Load));
  std::vector<endpoint_address> Receivers;
  for (const member_row &Row : Peers) {
    const auto LocalPeers = Candidates.find(Row.Identity.DataCentre);
    if (LocalPeers != Candidates.end() &&
        (Busy ||
         Row.Report.Load.Capacity >= strongCapacity(LocalPeers->second)))
      Receivers.push_back(Row.Identity.Internal);
  }
  return Receivers;
}

void gateway::beginDrain() {
  if (DrainingSince)
    return;
  DrainingSince = Clock.now();
  logEvent(
      log_level::Info, "drain_started",
      {{"instance", Settings.Name}, {"in_flight", Gate.counts().InFlight}});
  Gate.setLeaving();
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

} // namespace

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
