/// The gateway's copy of the platform's state: from the platform, from the
/// region's reader and, at a start, from a peer's snapshot.
#include "gateway_p.h"

#include "peerfetch_p.h"

#include <magnoliaspread/log.h>
#include <magnoliaspread/ownership.h>

namespace magnoliaspread {

using std::chrono::milliseconds;

/// Activates a newer configuration and records when it was confirmed current.
void gateway::applyRoutes(const routes_object &Object, boot_time AsOf) {
  result<route_table> Read = Platform.readRoutes(Object.Json);
  if (failed(Read)) {
    logEvent(log_level::Error, "routes_unreadable",
             {{"revision", Object.Version}, {"detail", errorOf(Read).Detail}});
    return;
  }
  const std::uint64_t Version = valueOf(Read).Version;
  View.confirmRoutes(Version, AsOf, Object.Era, Object.Source);
  Gate.setConfigConfirmed(View.routesConfirmedAt());
  if (InForce != nullptr && Version < InForce->table().Version &&
      BehindLoggedIn < Object.Era) {
    BehindLoggedIn = Object.Era;
    logEvent(log_level::Warning, "routes_behind",
             {{"era", Object.Era},
              {"stored", Version},
              {"in_force", InForce->table().Version}});
  }
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

void gateway::fetchRoutes(const endpoint_address &Peer, boot_time AsOf,
                          store_era Era) {
  if (Fetching)
    return;
  Fetching = true;
  fetchFromPeer(Context, Clock, Secret, Peer, ConfigPath,
                [this, From = textOf(Peer), AsOf,
                 Era](const result<std::string> &Fetched) {
                  Fetching = false;
                  logEvent(log_level::Info, "routes_fetched",
                           {{"peer", From},
                            {"detail", failed(Fetched) ? errorOf(Fetched).Detail
                                                       : std::string("ok")}});
                  if (failed(Fetched))
                    return;
                  applyRoutes(
                      {NoObject, valueOf(Fetched), Era, routes_source::Peer},
                      AsOf);
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
  for (const seed_address &Row : Members.registry().seeds())
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
    fetchRoutes(Peer, RequestedAt - Snapshot.Age, Snapshot.RoutesEra);
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

void gateway::applyViewReply(std::uint64_t Sender, const view_reply &Reply) {
  Follower.hearPeerEra(Reply);
  const platform_view::reply_result Result = View.applyReply(Reply, Sender);
  Follower.applyReply(Result);
  Gate.setConfigConfirmed(View.routesConfirmedAt());
  const auto Row = Members.members().findIncarnation(Sender);
  if (Row)
    hearRoster(Row->Identity, Reply);
  if (Result.FetchRoutes && Row)
    fetchRoutes(Row->Identity.Internal, Result.RoutesAsOf, Result.RoutesEra);
  if (Result.RequestNextPart)
    sendTo(Row, View.makeRequest(Clock.boot(), Sender));
}

} // namespace magnoliaspread
