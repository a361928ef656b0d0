/// Sending side of membership: heartbeats, summaries, rows and requests.
#include <magnoliaspread/member.h>

#include "member_p.h"

#include <magnoliaspread/config.h>

#include <algorithm>
#include <xxhash.h>

namespace magnoliaspread {

using std::chrono::milliseconds;

namespace {

/// Bytes of rows that fit into one datagram besides its header.
constexpr std::size_t RowsBudgetBytes = 900;
/// Fixed part of an encoded row: numbers, field headers and ports.
constexpr std::size_t RowFixedBytes = 64;
/// Largest encoded size of a service's demand.
constexpr std::size_t DemandRowBytes = 8;
/// Bytes of rows relayed to each local peer with one heartbeat.
constexpr std::size_t RelayBudgetBytes = 200;
constexpr std::size_t SummariesPerDatagram = 5;
constexpr std::size_t MaxUrgentSummaries = 4;
/// Bytes for the names of silent data centres in a heartbeat.
constexpr std::size_t SilentNamesBudgetBytes = 400;
constexpr milliseconds HeartbeatJitter{50};
/// Heartbeats between two unchanged summaries that a speaker relays.
constexpr std::uint64_t RelayEvery = 3;
/// Heartbeats between two probes of local peers marked dead.
constexpr std::uint64_t ProbeEvery = 5;
constexpr std::size_t MaxProbes = 8;
constexpr milliseconds SummaryPeriodMin{1000};
/// Share of each data centre in a speaker's round of summaries.
constexpr milliseconds SummarySpacing{200};
/// The same when a change is sent ahead of the regular round.
constexpr milliseconds ExpeditedSpacing{100};
constexpr milliseconds ExpeditePeriod{1000};
constexpr milliseconds JoinPeriod{1000};
constexpr milliseconds SeedProbePeriod{5000};
constexpr std::size_t SeedsAtOnce = 3;
constexpr milliseconds RequestRound{500};
constexpr std::size_t RequestsPerRound = 4;
constexpr milliseconds RequestBackoff{3000};
/// Answers include rows of instances that died no longer ago than this.
constexpr milliseconds DeadRowAnswerTime{60000};
/// While speakers don't answer, one in this many messages goes to a random
/// instance.
constexpr std::uint32_t RandomEvery = 4;
/// After this long without a summary the known speakers may be outdated.
constexpr milliseconds SpeakersStaleAfter{6000};

std::size_t addressBytes(const endpoint_address &Address) {
  return Address.Address.size();
}

std::size_t rowBytes(const member_row &Row) {
  const member_identity &Identity = Row.Identity;
  return RowFixedBytes + DemandRowBytes * Row.Report.Load.Demand.size() +
         Identity.Name.size() + Identity.DataCentre.size() +
         Identity.Region.size() + addressBytes(Identity.Internal) +
         addressBytes(Identity.Public);
}

/// Suspicion is local to each instance: others get the state of the last
/// heartbeat.
member_row withoutSuspicion(const member_row &Row) {
  member_row Shared = Row;
  if (Shared.Report.State == member_state::Suspect)
    Shared.Report.State = member_state::Alive;
  return Shared;
}

std::uint64_t rowHash(const member_row &Row) {
  const bool Leaving = Row.Report.State == member_state::Leaving;
  const std::string &Name = Row.Identity.Name;
  return XXH64(Name.data(), Name.size(), Row.Identity.Incarnation) +
         (Leaving ? 1 : 0);
}

/// Appends \p Rows in messages that each fit into a datagram.
void appendPacked(const std::vector<member_row> &Rows,
                  const std::vector<endpoint_address> &To, bool Relayed,
                  outbox &Out) {
  rows_message Part{{}, Relayed};
  std::size_t Bytes = 0;
  for (const member_row &Row : Rows) {
    if (!Part.Rows.empty() && Bytes + rowBytes(Row) > RowsBudgetBytes) {
      Out.push_back({To, Part});
      Part.Rows.clear();
      Bytes = 0;
    }
    Bytes += rowBytes(Row);
    Part.Rows.push_back(Row);
  }
  if (!Part.Rows.empty())
    Out.push_back({To, Part});
}

} // namespace

void membership::sendHeartbeat(steady_time Now, outbox &Out) {
  if (Now < NextHeartbeat)
    return;
  const auto Jitter = milliseconds(randomBelow(HeartbeatJitter.count() * 2));
  NextHeartbeat = Now + HeartbeatPeriod - HeartbeatJitter + Jitter;
  LastHeartbeat = Now;
  ++Own.Sequence;
  ++HeartbeatCount;
  heartbeat_message Message;
  Message.Incarnation = Self.Incarnation;
  Message.Report = Own;
  Message.Speaker = isSpeaker();
  Message.Summaries = summariesToRelay();
  if (Message.Speaker)
    Message.SilentCentres = silentCentres(Now);
  std::vector<endpoint_address> To = heartbeatAddresses();
  if (!To.empty())
    Out.push_back({std::move(To), std::move(Message)});
  sendRelays(Out);
}

std::vector<endpoint_address> membership::heartbeatAddresses() {
  std::vector<endpoint_address> Addresses;
  std::vector<endpoint_address> Dead;
  for (const instance_handle Handle : Table.ofDataCentre(Self.DataCentre)) {
    const member_entry &Entry = Table.at(Handle);
    (Entry.live() ? Addresses : Dead).push_back(Entry.Row.Identity.Internal);
  }
  if (HeartbeatCount % ProbeEvery != 0)
    return Addresses;
  std::shuffle(Dead.begin(), Dead.end(), Random);
  Dead.resize(std::min(Dead.size(), MaxProbes));
  Addresses.insert(Addresses.end(), Dead.begin(), Dead.end());
  return Addresses;
}

std::vector<std::string> membership::silentCentres(steady_time Now) const {
  std::vector<std::string> Names;
  std::size_t Bytes = 0;
  for (const remote_centre &Centre : Centres) {
    if (!isOverdue(Now, Centre))
      continue;
    Bytes += Centre.Name.size() + 1;
    if (Bytes > SilentNamesBudgetBytes)
      break;
    Names.push_back(Centre.Name);
  }
  return Names;
}

/// The summaries for the next heartbeat: changed ones or, if there are none and
/// this instance is a speaker, now and then one of the others in turn.
std::vector<data_centre_summary> membership::summariesToRelay() {
  std::vector<data_centre_summary> Chosen;
  for (remote_centre &Centre : Centres) {
    if (Centre.RelaysLeft == 0 || Chosen.size() >= MaxUrgentSummaries)
      continue;
    --Centre.RelaysLeft;
    Chosen.push_back(Centre.Summary);
  }
  if (!Chosen.empty() || Centres.empty() || !isSpeaker() ||
      HeartbeatCount % RelayEvery != 0)
    return Chosen;
  const remote_centre &Next = Centres[RelayCursor++ % Centres.size()];
  if (Next.Summary.Sequence != 0)
    Chosen.push_back(Next.Summary);
  return Chosen;
}

/// Relays rows of other data centres to local peers, a few with each heartbeat,
/// so that a healed partition causes no surge.
void membership::sendRelays(outbox &Out) {
  rows_message Message{{}, true};
  std::size_t Bytes = 0;
  std::size_t Left = Relays.size();
  while (Left-- > 0 &&
         (Message.Rows.empty() ||
          Bytes + rowBytes(Relays.front().Row) <= RelayBudgetBytes)) {
    relayed_row Next = std::move(Relays.front());
    Relays.pop_front();
    Bytes += rowBytes(Next.Row);
    Message.Rows.push_back(Next.Row);
    if (--Next.TimesLeft > 0)
      Relays.push_back(std::move(Next));
  }
  if (Message.Rows.empty())
    return;
  std::vector<endpoint_address> To;
  for (const instance_handle Handle : Table.ofDataCentre(Self.DataCentre))
    if (Table.at(Handle).live())
      To.push_back(Table.at(Handle).Row.Identity.Internal);
  if (!To.empty())
    Out.push_back({std::move(To), std::move(Message)});
}

milliseconds membership::summaryPeriod() const {
  return std::max(SummaryPeriodMin,
                  SummarySpacing * static_cast<int>(Centres.size()));
}

/// Brings forward the next summary to each data centre, spaced in random order.
void membership::expediteSummaries(steady_time Now) {
  if (!ExpediteWanted || Now < NextExpedite)
    return;
  ExpediteWanted = false;
  NextExpedite =
      Now + std::max(ExpeditePeriod,
                     ExpeditedSpacing * static_cast<int>(Centres.size()));
  std::vector<std::size_t> Order(Centres.size());
  for (std::size_t I = 0; I < Order.size(); ++I)
    Order[I] = I;
  std::shuffle(Order.begin(), Order.end(), Random);
  steady_time At = Now;
  for (const std::size_t I : Order) {
    Centres[I].NextSummary = std::min(Centres[I].NextSummary, At);
    At += ExpeditedSpacing;
  }
}

void membership::sendSummaries(steady_time Now, outbox &Out) {
  const bool Leaving = LeftAt && Now - *LeftAt < SuspectAfter;
  if (Centres.empty() || (!isSpeaker() && !Leaving))
    return;
  expediteSummaries(Now);
  for (remote_centre &Centre : Centres)
    if (Now >= Centre.NextSummary)
      sendSummary(Now, Centre, Out);
}

void membership::sendSummary(steady_time Now, remote_centre &Centre,
                             outbox &Out) {
  const milliseconds Period = summaryPeriod();
  const auto Jitter = milliseconds(randomBelow(Period.count() / 5));
  Centre.NextSummary = Now + Period - Jitter;
  const std::optional<endpoint_address> To = pickAddress(Now, Centre);
  if (!To)
    return;
  Out.push_back({{*To}, summary_message{ownSummary(), changedRows(Now)}});
}

std::optional<endpoint_address> membership::pickAddress(steady_time Now,
                                                        remote_centre &Centre) {
  const std::uint32_t Turn = Centre.SummaryCount++;
  const std::vector<member_row> Speakers = speakers(Centre.Name);
  const bool SpeakersStale = Now - Centre.LastReceived >= SpeakersStaleAfter;
  if (!Speakers.empty() && !(SpeakersStale && Turn % RandomEvery == 0))
    return Speakers[Turn % Speakers.size()].Identity.Internal;
  std::vector<endpoint_address> Choices;
  for (const instance_handle Handle : Table.ofDataCentre(Centre.Name))
    if (Table.at(Handle).live())
      Choices.push_back(Table.at(Handle).Row.Identity.Internal);
  for (const seed_address &Seed : Seeds)
    if (Seed.DataCentre == Centre.Name && (SpeakersStale || Speakers.empty()))
      Choices.push_back(Seed.Internal);
  if (Choices.empty())
    return std::nullopt;
  return Choices[randomBelow(Choices.size())];
}

std::vector<member_row> membership::changedRows(steady_time Now) const {
  const auto Window = 2 * summaryPeriod();
  std::vector<member_row> Rows;
  std::size_t Bytes = 0;
  const auto Add = [&](const member_row &Row) {
    if (Bytes + rowBytes(Row) > RowsBudgetBytes)
      return;
    Bytes += rowBytes(Row);
    Rows.push_back(withoutSuspicion(Row));
  };
  if (LeftAt || Now - Started < Window)
    Add(self());
  for (const instance_handle Handle : Table.ofDataCentre(Self.DataCentre)) {
    const member_entry &Entry = Table.at(Handle);
    if (Now - Entry.ChangedAt < Window)
      Add(Entry.Row);
  }
  return Rows;
}

data_centre_summary membership::ownSummary() {
  data_centre_summary Summary;
  Summary.DataCentre = Self.DataCentre;
  Summary.RowsHash = rowsHash(Self.DataCentre);
  Summary.Speaker = Self.Incarnation;
  Summary.Sequence = ++SummarySequence;
  Summary.Config = Own.Config;
  Summary.LowestVersion = Own.Config.Version;
  Summary.Alive = 1;
  Summary.Load = Own.Load;
  Summary.PlatformReachable = Own.PlatformReachable;
  for (const instance_handle Handle : Table.ofDataCentre(Self.DataCentre)) {
    const member_entry &Entry = Table.at(Handle);
    const member_report &Report = Entry.Row.Report;
    if (!Entry.live())
      continue;
    ++Summary.Alive;
    Summary.Load.FreeSlots += Report.Load.FreeSlots;
    Summary.Load.QueueLength += Report.Load.QueueLength;
    Summary.Load.Capacity += Report.Load.Capacity;
    Summary.Load.Rate += Report.Load.Rate;
    addDemand(Summary.Load.Demand, Report.Load.Demand);
    Summary.PlatformReachable |= Report.PlatformReachable;
    if (Report.Config.Version != 0)
      Summary.LowestVersion =
          std::min(Summary.LowestVersion, Report.Config.Version);
  }
  return Summary;
}

std::uint64_t membership::rowsHash(std::string_view DataCentre) const {
  std::uint64_t Hash = 0;
  if (DataCentre == Self.DataCentre)
    Hash += rowHash(self());
  for (const instance_handle Handle : Table.ofDataCentre(DataCentre))
    if (Table.at(Handle).live())
      Hash += rowHash(Table.at(Handle).Row);
  return Hash;
}

/// Introduces this instance to local seeds that aren't known as live rows.
void membership::sendJoin(steady_time Now, outbox &Out) {
  if (Now < NextJoin || Seeds.empty())
    return;
  const std::vector<member_row> Peers = liveLocalPeers();
  NextJoin = Now + (Peers.empty() ? JoinPeriod : SeedProbePeriod);
  const auto Known = [&](const endpoint_address &Address) {
    return std::any_of(Peers.begin(), Peers.end(), [&](const member_row &Row) {
      return Row.Identity.Internal == Address;
    });
  };
  std::vector<endpoint_address> To;
  for (std::size_t I = 0; I < Seeds.size() && To.size() < SeedsAtOnce; ++I) {
    const seed_address &Seed = Seeds[SeedCursor++ % Seeds.size()];
    if (Seed.DataCentre == Self.DataCentre && !Known(Seed.Internal))
      To.push_back(Seed.Internal);
  }
  for (const seed_address &Seed : Seeds)
    if (Seed.DataCentre != Self.DataCentre)
      findOrAddCentre(Now, Seed.DataCentre);
  if (!To.empty())
    Out.push_back(
        {To, rows_request{self(), Peers.empty() ? Self.DataCentre : ""}});
}

void membership::sendRequests(steady_time Now, outbox &Out) {
  if (Now < NextRequests)
    return;
  NextRequests = Now + RequestRound;
  std::size_t Sent = 0;
  for (remote_centre &Centre : Centres) {
    if (!Centre.MismatchSince || Now < Centre.NextRequest ||
        Sent == RequestsPerRound)
      continue;
    checkHash(Now, Centre);
    if (!Centre.MismatchSince)
      continue;
    Centre.NextRequest = Now + RequestBackoff;
    ++Sent;
    sendRequest(Now, Centre, Out);
  }
}

/// Speakers send to the other data centre, either to the sender of its last
/// summary or to one of its expected speakers; the rest mostly send to a local
/// peer.
void membership::sendRequest(steady_time Now, remote_centre &Centre,
                             outbox &Out) {
  const std::uint32_t Turn = Centre.RequestCount++;
  std::optional<endpoint_address> To;
  if (!isSpeaker() && Turn % RandomEvery != RandomEvery - 1)
    To = pickLocalPeer();
  else if (randomBelow(2) == 0)
    To = Centre.LastFrom;
  if (!To)
    To = pickAddress(Now, Centre);
  if (To)
    Out.push_back({{*To}, rows_request{self(), Centre.Name}});
}

/// Half of the requests go to speakers, which likely know the rows; the others
/// spread the load over all local peers.
std::optional<endpoint_address> membership::pickLocalPeer() {
  std::vector<member_row> Peers =
      randomBelow(2) == 0 ? speakers(Self.DataCentre) : liveLocalPeers();
  std::erase_if(Peers, [&](const member_row &Row) {
    return Row.Identity.Name == Self.Name;
  });
  if (Peers.empty())
    return std::nullopt;
  return Peers[randomBelow(Peers.size())].Identity.Internal;
}

/// Appends the rows of a data centre, in answer to a rows_request.
void membership::appendRows(steady_time Now, std::string_view DataCentre,
                            const endpoint_address &To, bool Relayed,
                            outbox &Out) const {
  std::vector<member_row> Rows;
  if (DataCentre == Self.DataCentre)
    Rows.push_back(self());
  for (const instance_handle Handle : Table.ofDataCentre(DataCentre)) {
    const member_entry &Entry = Table.at(Handle);
    if (Entry.live() || Now - Entry.ChangedAt < DeadRowAnswerTime)
      Rows.push_back(withoutSuspicion(Entry.Row));
  }
  appendPacked(Rows, {To}, Relayed, Out);
}

/// Appends all known summaries, for an instance that has just joined.
void membership::appendSummaries(const endpoint_address &To,
                                 outbox &Out) const {
  heartbeat_message Part;
  Part.Incarnation = Self.Incarnation;
  Part.Report = Own;
  for (const remote_centre &Centre : Centres) {
    if (Centre.Summary.Sequence == 0)
      continue;
    Part.Summaries.push_back(Centre.Summary);
    if (Part.Summaries.size() < SummariesPerDatagram)
      continue;
    Out.push_back({{To}, Part});
    Part.Summaries.clear();
  }
  if (!Part.Summaries.empty())
    Out.push_back({{To}, Part});
}

membership::remote_centre *membership::findOrAddCentre(steady_time Now,
                                                       std::string_view Name) {
  if (remote_centre *Known = findCentre(Name))
    return Known;
  if (Name.empty() || Name == Self.DataCentre ||
      Centres.size() >= MaxDataCentres)
    return nullptr;
  remote_centre Added;
  Added.Name = Name;
  Added.LastReceived = Now;
  Added.LastRelayed = Now;
  Added.NextRequest = Now;
  const auto Delay = milliseconds(randomBelow(SummaryPeriodMin.count()));
  Added.NextSummary = Now + Delay;
  Centres.push_back(std::move(Added));
  return &Centres.back();
}

std::size_t membership::randomBelow(std::size_t Bound) {
  return Bound == 0 ? 0 : Random() % Bound;
}

} // namespace magnoliaspread
