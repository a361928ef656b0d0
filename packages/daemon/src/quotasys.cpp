#include "quotasys_p.h"

#include "sharejson_p.h"

#include <magnoliaspread/log.h>

#include <algorithm>

namespace magnoliaspread {

using std::chrono::milliseconds;

namespace {

/// Burst of a link, in seconds at its rate.
constexpr double LinkBurstSeconds = 0.25;
constexpr milliseconds PeerPeriod{200};
/// A share has tokens available after minting for this long.
constexpr milliseconds FillTime{2000};

share_settings leaseSettings(const instance_settings &Settings,
                             std::uint64_t Incarnation, std::uint64_t Seed) {
  share_settings Shares;
  Shares.Name = Settings.Name;
  Shares.Incarnation = Incarnation;
  Shares.LeaseTtl = Settings.LeaseTtl;
  Shares.Seed = Seed;
  return Shares;
}

std::vector<limit_row> limitsOf(const config_table &Table) {
  std::vector<limit_row> Limits;
  for (const workspace_row &Row : Table.Workspaces)
    Limits.push_back({workspaceLimit(Row.Name), Row.Rate, Row.Burst});
  for (const link_row &Row : Table.Links) {
    const auto Rate = static_cast<double>(Row.BytesPerSecond);
    Limits.push_back(
        {linkLimit(Row.From, Row.To), Rate, Rate * LinkBurstSeconds});
  }
  return Limits;
}

write_outcome outcomeOf(const result<put_answer> &Answer) {
  if (!failed(Answer))
    return valueOf(Answer).Superseded ? write_outcome::Conflict
                                      : write_outcome::Done;
  switch (errorOf(Answer).Kind) {
  case error_kind::VersionConflict:
    return write_outcome::Conflict;
  case error_kind::QueueFull:
  case error_kind::BadRequest:
    return write_outcome::NotSent;
  default:
    return write_outcome::Unknown;
  }
}

} // namespace

quota_system::quota_system(object_store &Store, datagram_port &Port,
                           const membership &Members, const clock &Clock,
                           const instance_settings &Settings,
                           std::uint64_t Incarnation, std::uint64_t Seed,
                           token_pool &Pool)
    : Store(Store), Port(Port), Members(Members), Clock(Clock),
      Settings(Settings),
      Leases(leaseSettings(Settings, Incarnation, Seed), Clock.now()),
      Allocator({Incarnation, Seed}, Pool, Clock.now()),
      NextPeers(Clock.now()) {}

void quota_system::adopt(const config_table &Table) {
  Version = Table.Version;
  Workspaces.clear();
  for (const workspace_row &Row : Table.Workspaces)
    Workspaces.push_back(Row.Name);
  DataCentres.clear();
  for (const data_centre_row &Row : Table.DataCentres) {
    DataCentres.push_back(Row.Name);
    if (Row.Name == Settings.DataCentre)
      Leases.setSplit({Table.Version, Row.QuotaPermille, Row.QuotaShares});
  }
  Allocator.setLimits(Table.Version, limitsOf(Table), Clock.now());
}

void quota_system::tick() {
  if (Version == 0)
    return;
  const steady_time Now = Clock.now();
  runShares(Now);
  runAllocator(Now);
}

void quota_system::runShares(steady_time Now) {
  std::vector<process_identity> LocalPeers;
  for (const member_row &Row : Members.liveLocalPeers())
    if (Row.Report.State != member_state::Leaving)
      LocalPeers.push_back({Row.Identity.Name, Row.Identity.Incarnation});
  Leases.setLocalPeers(std::move(LocalPeers));
  const std::uint64_t Lowest = Members.lowestVersion();
  if (const auto Since = Members.everywhereSince(Lowest))
    Leases.confirmEverywhere(Lowest, *Since);
  const share_actions Actions = Leases.tick(Now);
  for (const share_read &Read : Actions.Reads)
    read(Read);
  for (const share_write &Write : Actions.Writes)
    write(Write);
  for (const outgoing_promise_request &Row : Actions.Requests)
    sendTo(Row.To.Incarnation, Row.Request);
}

void quota_system::runAllocator(steady_time Now) {
  if (Now >= NextPeers) {
    NextPeers = Now + PeerPeriod;
    std::vector<quota_peer> Peers;
    for (const std::string &Centre : DataCentres)
      for (const member_row &Row : Members.lookupInstances(Now, Centre))
        if (Row.Identity.Name != Settings.Name)
          Peers.push_back(
              {Row.Identity.Name, Row.Identity.Region == Settings.Region});
    Allocator.setPeers(Peers);
  }
  Allocator.setShares(Leases.minted(Now), Now);
  for (const outgoing_token_request &Row : Allocator.tick(Now))
    sendTo(Row.To, Row.Ask);
}

void quota_system::read(const share_read &Read) {
  Store.get({shareObjectName(Settings.DataCentre, Read.Index)},
            [this, Read](const result<stored_object> &Answer) {
              share_read_result Result{
                  Read.Ticket, Read.Index, read_outcome::Failed, 0, {}};
              if (failed(Answer)) {
                if (errorOf(Answer).Kind == error_kind::NotFound)
                  Result.Outcome = read_outcome::Missing;
                return Leases.finishRead(Result, Clock.now());
              }
              const result<share_record> Record =
                  parseShare(valueOf(Answer).Value);
              if (!failed(Record)) {
                Result.Outcome = read_outcome::Found;
                Result.Version = valueOf(Answer).Version;
                Result.Record = valueOf(Record);
              }
              Leases.finishRead(Result, Clock.now());
            });
}

void quota_system::write(const share_write &Write) {
  put_request Request;
  Request.Name = shareObjectName(Settings.DataCentre, Write.Index);
  Request.Value = formatShare(Write.Record);
  Request.IfVersion = Write.ExpectedVersion;
  Store.put(std::move(Request), [this,
                                 Write](const result<put_answer> &Answer) {
    share_write_result Result{Write.Ticket, Write.Index, outcomeOf(Answer), 0};
    if (Result.Outcome == write_outcome::Done)
      Result.Version = valueOf(Answer).Version;
    Leases.finishWrite(Result, Clock.now());
  });
}

void quota_system::sendTo(std::uint64_t Incarnation,
                          const quota_message &Message) {
  if (const auto Row = Members.findIncarnation(Incarnation))
    Port.send({Row->Identity.Internal}, Message);
}

void quota_system::sendTo(const std::string &Name,
                          const quota_message &Message) {
  if (const auto Row = Members.find(Name))
    Port.send({Row->Identity.Internal}, Message);
}

void quota_system::receive(std::uint64_t Sender, const quota_message &Message) {
  std::visit([&](const auto &Kind) { handle(Sender, Kind); }, Message);
}

void quota_system::handle(std::uint64_t Sender, const token_request &Request) {
  if (const auto Grant = Allocator.answer(Request, Clock.now()))
    sendTo(Sender, *Grant);
}

void quota_system::handle(std::uint64_t Sender, const token_grant &Grant) {
  if (const auto Row = Members.findIncarnation(Sender))
    Allocator.accept(Row->Identity.Name, Grant, Clock.now());
}

void quota_system::handle(std::uint64_t Sender,
                          const promise_request &Request) {
  sendTo(Sender, Leases.answer(Request, Clock.now()));
}

void quota_system::handle(std::uint64_t /*Sender*/,
                          const promise_reply &Reply) {
  Leases.accept(Reply, Clock.now());
}

void quota_system::declareDead(std::uint64_t Incarnation) {
  Leases.declareDead(Incarnation, Clock.now());
}

bool quota_system::minting() const {
  const steady_time Now = Clock.now();
  const std::vector<minted_share> Shares = Leases.minted(Now);
  return std::any_of(
      Shares.begin(), Shares.end(), [&](const minted_share &Share) {
        return Share.MintsFrom + FillTime <= Now && Now < Share.MintsUntil;
      });
}

std::vector<token_wait> quota_system::waits() const {
  const steady_time Now = Clock.now();
  std::vector<token_wait> Waits;
  for (const std::string &Name : Workspaces) {
    const milliseconds Wait =
        Allocator.retryAfter(workspaceLimit(Name), MilliPerToken, Now);
    if (Wait > milliseconds(0))
      Waits.push_back({Name, Wait});
  }
  return Waits;
}

} // namespace magnoliaspread
