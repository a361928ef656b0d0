/// The gateway's exchange with other instances.
#include "gateway_p.h"

#include "peerfetch_p.h"

#include <magnoliaspread/demandview.h>
#include <magnoliaspread/log.h>
#include <magnoliaspread/ownership.h>

#include <algorithm>
#include <map>
#include <set>

namespace magnoliaspread {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds PeersPeriod{250};
/// About the time a target takes for one request; an older update is stale.
constexpr milliseconds ObjectUpdatePeriod{100};
/// An instance doesn't read the registrations for its region before it knows
/// its regional peers: several rounds of heartbeats.
constexpr milliseconds ReaderSettleTime{3000};
/// Fraction of its capacity from which an instance assumes that the directory
/// lists weaker ones too; below the two thirds at which entry_policy adds more.
constexpr double BusyPart = 0.33;

} // namespace

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

/// Hands the region's registrations to the limiter; its lease is renewed each
/// time.
void gateway::updateRoster(steady_time Now) {
  const instance_roster &Roster = Members.registry().roster();
  const steady_time LeaseEnd = Now + duration_cast<steady_time::duration>(
                                         Roster.leaseEnd() - Clock.boot());
  if (Roster.stamp().Hash == RosterHash && Roster.minting() == RosterMinting)
    return Limiter.renewLease(LeaseEnd, Now);
  RosterHash = Roster.stamp().Hash;
  RosterMinting = Roster.minting();
  Limiter.setRoster(limiterRoster(Roster), LeaseEnd, Now);
}

/// Fetches the rows of a peer of the region whose roster differs and is newer.
void gateway::hearRoster(const member_identity &Peer, const view_reply &Reply) {
  const roster_stamp Stamp{Reply.RosterHash, Reply.AskedAt - Reply.RosterAge,
                           Reply.RosterEra};
  if (Reply.RosterHash == 0 || Peer.Region != Settings.Region ||
      !Members.registry().hearPeer(Stamp) || FetchingRoster)
    return;
  FetchingRoster = true;
  fetchFromPeer(Context, Clock, Secret, Peer.Internal, RosterPath,
                [this, From = textOf(Peer.Internal),
                 AsOf = Stamp.AsOf](const result<std::string> &Fetched) {
                  FetchingRoster = false;
                  status Applied;
                  if (failed(Fetched))
                    Applied = errorOf(Fetched);
                  else
                    Applied = Members.registry().applyRowsText(valueOf(Fetched),
                                                               AsOf);
                  logEvent(log_level::Info, "roster_fetched",
                           {{"peer", From},
                            {"detail", failed(Applied) ? errorOf(Applied).Detail
                                                       : std::string("ok")}});
                  updateRoster(Clock.now());
                });
}

void gateway::addRoster(view_reply &Reply) const {
  const instance_roster &Roster = Members.registry().roster();
  if (!Roster.known())
    return;
  Reply.RosterHash = Roster.stamp().Hash;
  // Rounded up, so that the roster never counts as newer than it is.
  Reply.RosterAge =
      duration_cast<milliseconds>(Clock.boot() - Roster.stamp().AsOf) +
      milliseconds(1);
  Reply.RosterEra = Roster.era();
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
  }
  if (Names != PeerNames) {
    PeerNames = Names;
    Members.registry().liveInstancesChanged();
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
  Paths.setPeers(Peers);
  updateForwardPeers(Now);
  Load.Demand = Gate.demand();
  Members.members().setLoad(Load);
  Gate.setDemand(
      regionDemands(Members.members(), Settings.Gateway->Regions, Now));
  Limiter.setReachable(std::move(Names));
  std::vector<limiter_instance> Remote;
  for (const member_row &Row : Peers)
    if (Row.Identity.Region != Settings.Region)
      Remote.push_back({Row.Identity.Name, Row.Identity.Region});
  Limiter.setRemoteInstances(std::move(Remote), Regions);
  Members.setReader(View.isReader() && Now - StartedAt >= ReaderSettleTime);
  Gate.setInstances(
      std::max(Members.registry().roster().fleetSize(), Peers.size() + 1));
}

/// Tells the gate which peers may serve its requests.
void gateway::updateForwardPeers(steady_time Now) {
  const std::uint16_t Port = Settings.Gateway->ForwardPort;
  std::vector<forward_peer> Rows;
  for (const member_row &Row : Peers) {
    const member_identity &Peer = Row.Identity;
    if (Port == 0)
      break;
    forward_peer &To = Rows.emplace_back();
    To.Name = Peer.Name;
    To.Address = {Peer.Internal.Address, Port};
    To.Region = Gate.regionNumber(Peer.Region);
    if (Peer.Region == Settings.Region)
      To.Distance = target_distance::Region;
    if (Peer.DataCentre == Settings.DataCentre)
      To.Distance = target_distance::DataCentre;
    To.Capacity = Row.Report.Load.Capacity;
    To.Broken = Paths.isBroken(Peer.Name, Now);
  }
  Gate.setForwardPeers(std::move(Rows));
}

void gateway::runLimits(steady_time Now) {
  updateRoster(Now);
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
    for (view_reply &Reply : View.answers(*Request, Clock.boot())) {
      addRoster(Reply);
      sendTo(Requester, Reply);
    }
    return;
  }
  if (const auto *Reply = std::get_if<view_reply>(&Message))
    return applyViewReply(Datagram.Sender, *Reply);
  if (const auto *Limit = std::get_if<target_limit_message>(&Message))
    return TargetLimits.receive(Datagram.Sender, *Limit);
  if (const auto *Path = std::get_if<path_message>(&Message)) {
    const auto Row = Members.members().findIncarnation(Datagram.Sender);
    if (Row && Paths.receive(*Row, *Path, Clock.now()))
      updateForwardPeers(Clock.now());
    return;
  }
  if (const auto *Crashes = std::get_if<quarantine_update>(&Message))
    Gate.receive(*Crashes);
}

void gateway::receive(std::uint64_t Sender, const quota_message &Message) {
  const auto Row = Members.members().findIncarnation(Sender);
  if (const auto *Request = std::get_if<token_request>(&Message)) {
    updateRoster(Clock.now());
    return sendTo(Row, Limiter.answer(*Request, Clock.now()));
  }
  if (const auto *Grant = std::get_if<token_grant>(&Message)) {
    Limiter.accept(*Grant, Clock.now());
    Gate.retryTokenWaiters();
  }
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

} // namespace magnoliaspread
