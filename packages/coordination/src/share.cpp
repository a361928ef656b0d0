#include <magnoliaspread/share.h>

#include <xxhash.h>

#include <algorithm>

namespace magnoliaspread {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds RetryPause{300};
constexpr milliseconds AcquireJitter{200};
/// Gives local peers that hold fewer shares the first chance at a free one.
constexpr milliseconds AcquireDelayPerShare{500};
/// Gives local peers below their fair number of shares the first chance.
constexpr milliseconds AcquireDelayAboveFair{5000};
constexpr milliseconds SurplusCheckInterval{1000};
constexpr milliseconds SurplusReleasePause{15000};
constexpr milliseconds StaleRecordPause{1000};
constexpr int RenewalsPerTtl = 3;
constexpr int ReadsPerTtl = 4;
constexpr int PromisesPerTtl = 10;
/// Peers that can't take a share over read its record once in this many lease
/// times.
constexpr int IdleReadTtls = 4;
constexpr std::size_t MaxShares = 256;

std::uint64_t rosterRank(const process_identity &Process, std::uint16_t Index) {
  return XXH64(Process.Name.data(), Process.Name.size(), Index);
}

bool contains(const std::vector<process_identity> &Processes,
              const process_identity &Process) {
  return std::find(Processes.begin(), Processes.end(), Process) !=
         Processes.end();
}

} // namespace

std::string shareObjectName(std::string_view DataCentre, std::uint16_t Index) {
  return "quota/" + std::string(DataCentre) + "/" + std::to_string(Index);
}

share_lease_manager::share_lease_manager(share_settings Settings,
                                         steady_time Now)
    : Settings(std::move(Settings)), Random(this->Settings.Seed),
      NextSurplusCheck(Now + SurplusReleasePause) {}

void share_lease_manager::setLocalPeers(
    std::vector<process_identity> NewLocalPeers) {
  LocalPeers = std::move(NewLocalPeers);
}

bool share_lease_manager::isSelf(const process_identity &Process) const {
  return Process.Incarnation == Settings.Incarnation &&
         Process.Name == Settings.Name;
}

bool share_lease_manager::isDead(const process_identity &Process) const {
  return Dead.contains(Process.Incarnation);
}

void share_lease_manager::declareDead(std::uint64_t Incarnation,
                                      steady_time Now) {
  if (Incarnation == Settings.Incarnation) {
    for (share_row &Row : Rows)
      dropShare(Row);
    Leaving = true;
    return;
  }
  if (!Dead.insert(Incarnation).second)
    return;
  for (share_row &Row : Rows) {
    // A peer that died after this lease expired may have sent a write before it
    // died.
    if (!Row.Held || Now >= mintsUntil(Row))
      continue;
    std::erase_if(Row.RequiredPromises, [&](const required_promise &Each) {
      return Each.Peer.Incarnation == Incarnation;
    });
    updateOldestPromise(Row);
  }
}

void share_lease_manager::addShareRows() {
  const std::size_t Count = std::min<std::size_t>(Plan.shares(), MaxShares);
  while (Rows.size() < Count) {
    Rows.emplace_back();
    Rows.back().Index = static_cast<std::uint16_t>(Rows.size() - 1);
  }
}

share_actions share_lease_manager::tick(steady_time Now) {
  share_actions Actions;
  Plan.pruneSplits(Now);
  addShareRows();
  releaseSurplus(Now);
  for (share_row &Row : Rows) {
    expireOperations(Row, Now);
    if (Row.Held)
      tickHeld(Row, Now, Actions);
    else
      tickNotHeld(Row, Now, Actions);
  }
  requestPromises(Now, Actions);
  return Actions;
}

void share_lease_manager::expireOperations(share_row &Row, steady_time Now) {
  if (Row.ReadTicket != 0 && Now >= Row.ReadSentAt + Settings.OperationTimeout)
    finishRead({Row.ReadTicket, Row.Index, read_outcome::Failed, 0, {}}, Now);
  if (Row.WriteTicket == 0 || Row.Unresolved.empty())
    return;
  if (Now >= Row.Unresolved.back().SentAt + Settings.OperationTimeout)
    finishWrite({Row.WriteTicket, Row.Index, write_outcome::Unknown, 0}, Now);
}

void share_lease_manager::tickHeld(share_row &Row, steady_time Now,
                                   share_actions &Actions) {
  if (Row.Index >= Plan.shares())
    Row.Releasing = true;
  const bool Lapsed = !Row.Releasing && Now >= mintsUntil(Row);
  if (Lapsed && !Row.Lapsed)
    ++Counts.Lost;
  Row.Lapsed = Lapsed;
  if (Row.ReadTicket != 0 || Row.WriteTicket != 0)
    return;
  if (Row.MustRead) {
    if (Now >= Row.NextRead)
      startRead(Row, Now, Actions);
    return;
  }
  const bool Release = Leaving || Row.Releasing;
  const bool Stale =
      Release || Row.Record.ConfigVersion != Plan.version() ||
      Row.Record.FractionPpm != Plan.fractionPpm(Row.Index, Row.RecordedPpm);
  const steady_time Due =
      Stale ? std::min(Row.NextWrite, Row.ConfirmedAt + StaleRecordPause)
            : Row.NextWrite;
  if (Now < std::max(Due, Row.RetryAt))
    return;
  Row.Releasing = Release;
  startWrite(Row, Now, Release ? lease_state::Released : lease_state::Held,
             Actions);
}

void share_lease_manager::tickNotHeld(share_row &Row, steady_time Now,
                                      share_actions &Actions) {
  if (Row.ReadTicket != 0 || Row.WriteTicket != 0)
    return;
  if (Now >= Row.NextRead) {
    startRead(Row, Now, Actions);
    return;
  }
  if (Row.MustRead || !canAcquire(Row, Now)) {
    Row.AcquireAt.reset();
    return;
  }
  if (!Row.AcquireAt)
    Row.AcquireAt = Now + jitter(AcquireJitter);
  if (Now >= std::max(*Row.AcquireAt + acquireDelay(), Row.RetryAt))
    startWrite(Row, Now, lease_state::Held, Actions);
}

milliseconds share_lease_manager::acquireDelay() const {
  const auto Count = static_cast<std::size_t>(
      std::count_if(Rows.begin(), Rows.end(), [](const share_row &Row) {
        return Row.Held || Row.WriteTicket != 0;
      }));
  const milliseconds Pause = AcquireDelayPerShare * static_cast<int>(Count);
  return Count < fairShareCount() ? Pause : Pause + AcquireDelayAboveFair;
}

bool share_lease_manager::canAcquire(const share_row &Row,
                                     steady_time Now) const {
  if (Leaving || !Row.Known || Row.Index >= Plan.shares())
    return false;
  if (Row.Version == 0 || Row.Record.State == lease_state::Released)
    return true;
  return isDead(Row.Record.Holder) || holderUnresponsive(Row, Now);
}

bool share_lease_manager::holderUnresponsive(const share_row &Row,
                                             steady_time Now) const {
  if (pinned(Row.Index) || Now < Row.NoTakeoverUntil)
    return false;
  const process_identity Self{Settings.Name, Settings.Incarnation};
  if (!contains(Row.Record.Roster, Self))
    return false;
  const steady_time Due = Row.SeenAt + Settings.LeaseTtl + Settings.LeaseMargin;
  return Now >= Due && Row.LastReadSentAt >= Due;
}

std::size_t share_lease_manager::fairShareCount() const {
  const std::size_t Live = LocalPeers.size() + 1;
  return (Plan.shares() + Live - 1) / Live;
}

std::size_t share_lease_manager::heldCount() const {
  return static_cast<std::size_t>(std::count_if(
      Rows.begin(), Rows.end(), [](const share_row &Row) { return Row.Held; }));
}

void share_lease_manager::releaseSurplus(steady_time Now) {
  if (Now < NextSurplusCheck)
    return;
  NextSurplusCheck = Now + SurplusCheckInterval;
  if (Leaving || !PlatformReachable || heldCount() < 2)
    return;
  std::vector<process_identity> Holders;
  for (const share_row &Row : Rows) {
    if (!Row.Known || Row.Releasing || Row.Record.State != lease_state::Held)
      return;
    Holders.push_back(Row.Record.Holder);
  }
  const bool PeerWithoutShare = std::any_of(
      LocalPeers.begin(), LocalPeers.end(),
      [&](const process_identity &Peer) { return !contains(Holders, Peer); });
  if (!PeerWithoutShare)
    return;
  for (auto Row = Rows.rbegin(); Row != Rows.rend(); ++Row) {
    if (!Row->Held)
      continue;
    Row->Releasing = true;
    NextSurplusCheck = Now + SurplusReleasePause;
    return;
  }
}

bool share_lease_manager::readsFrequently(const share_row &Row) const {
  const process_identity Self{Settings.Name, Settings.Incarnation};
  return Row.Version == 0 || contains(Row.Record.Roster, Self) ||
         LocalPeers.size() <= RosterSize;
}

void share_lease_manager::startRead(share_row &Row, steady_time Now,
                                    share_actions &Actions) {
  Row.ReadTicket = ++LastTicket;
  Row.ReadSentAt = Now;
  Actions.Reads.push_back({Row.ReadTicket, Row.Index});
}

void share_lease_manager::startWrite(share_row &Row, steady_time Now,
                                     lease_state State,
                                     share_actions &Actions) {
  if (!Row.Held)
    Row.RecordedPpm = Row.Version == 0 ? 0 : Row.Record.FractionPpm;
  share_record Record;
  Record.Holder = {Settings.Name, Settings.Incarnation};
  Record.Renewal = ++LastRenewal;
  Record.State = State;
  Record.ConfigVersion = Plan.version();
  Record.FractionPpm = Plan.fractionPpm(Row.Index, Row.RecordedPpm);
  Record.Roster = roster(Row.Index);
  Row.WriteTicket = ++LastTicket;
  Row.Unresolved.push_back({Row.WriteTicket, Now, Record});
  if (Row.Held)
    addRequiredPromises(Row, Record.Roster, Now);
  Actions.Writes.push_back(
      {Row.WriteTicket, Row.Index, Row.Version, std::move(Record)});
}

std::vector<process_identity>
share_lease_manager::roster(std::uint16_t Index) const {
  std::vector<process_identity> Roster = LocalPeers;
  std::erase_if(Roster,
                [&](const process_identity &Peer) { return isDead(Peer); });
  std::sort(Roster.begin(), Roster.end(),
            [&](const process_identity &A, const process_identity &B) {
              return rosterRank(A, Index) > rosterRank(B, Index);
            });
  if (Roster.size() > RosterSize)
    Roster.resize(RosterSize);
  return Roster;
}

void share_lease_manager::finishRead(const share_read_result &Result,
                                     steady_time Now) {
  if (Result.Index >= Rows.size())
    return;
  share_row &Row = Rows[Result.Index];
  if (Row.ReadTicket == 0 || Row.ReadTicket != Result.Ticket)
    return;
  Row.ReadTicket = 0;
  PlatformReachable = Result.Outcome != read_outcome::Failed;
  if (!PlatformReachable) {
    Row.NextRead = Now + RetryPause + jitter(RetryPause);
    return;
  }
  Row.LastReadSentAt = Row.ReadSentAt;
  Row.MustRead = false;
  if (Result.Outcome == read_outcome::Found)
    applyRecord(Row, Result.Version, Result.Record, Now);
  else
    applyMissing(Row);
  const auto Period = readsFrequently(Row) ? Settings.LeaseTtl / ReadsPerTtl
                                           : Settings.LeaseTtl * IdleReadTtls;
  Row.NextRead = Now + Period + jitter(Period / 4);
}

void share_lease_manager::finishWrite(const share_write_result &Result,
                                      steady_time Now) {
  if (Result.Index >= Rows.size())
    return;
  share_row &Row = Rows[Result.Index];
  if (Row.WriteTicket == 0 || Row.WriteTicket != Result.Ticket)
    return;
  Row.WriteTicket = 0;
  Row.AcquireAt.reset();
  PlatformReachable = Result.Outcome == write_outcome::Done ||
                      Result.Outcome == write_outcome::Conflict;
  switch (Result.Outcome) {
  case write_outcome::Done:
    applyRecord(Row, Result.Version, share_record(Row.Unresolved.back().Record),
                Now);
    return;
  case write_outcome::NotSent:
    Row.Unresolved.pop_back();
    Row.RetryAt = Now + RetryPause + jitter(RetryPause);
    return;
  case write_outcome::Conflict:
    Row.Unresolved.pop_back();
    break;
  case write_outcome::Unknown:
    Row.RetryAt = Now + RetryPause + jitter(RetryPause);
    break;
  }
  Row.MustRead = true;
  Row.NextRead = Now;
}

void share_lease_manager::applyRecord(share_row &Row, std::uint64_t Version,
                                      const share_record &Record,
                                      steady_time Now) {
  if (Row.Known && Version <= Row.Version)
    return;
  Row.Known = true;
  Row.Version = Version;
  Row.Record = Record;
  Row.SeenAt = Now;
  if (isSelf(Record.Holder))
    applyOwnRecord(Row, Now);
  else
    dropShare(Row);
  // The version has changed, so no earlier conditional write can succeed.
  Row.Unresolved.clear();
}

void share_lease_manager::applyOwnRecord(share_row &Row, steady_time Now) {
  if (Row.Record.State == lease_state::Released) {
    if (Row.Held)
      ++Counts.Released;
    dropShare(Row);
    return;
  }
  const auto Sent =
      std::find_if(Row.Unresolved.begin(), Row.Unresolved.end(),
                   [&](const sent_write &Write) {
                     return Write.Record.Renewal == Row.Record.Renewal;
                   });
  if (Sent == Row.Unresolved.end()) {
    // Not a write of this process's current state: release the share and never
    // mint on it.
    Row.Held = true;
    Row.Releasing = true;
    return;
  }
  Row.ConfirmedAt = Sent->SentAt;
  if (!Row.Held) {
    Row.Held = true;
    Row.MintsFrom = Sent->SentAt + TokenLife;
    Row.NextPromise = Now;
    ++Counts.Acquired;
  } else {
    ++Counts.Renewed;
  }
  Row.NextWrite = Sent->SentAt + Settings.LeaseTtl / RenewalsPerTtl;
  resetRequiredPromises(Row, Sent->SentAt);
}

void share_lease_manager::applyMissing(share_row &Row) {
  Row.Known = true;
  if (Row.Version == 0)
    return;
  Row.Version = 0;
  Row.Record = {};
  dropShare(Row);
}

void share_lease_manager::dropShare(share_row &Row) {
  if (Row.Held && !Row.Releasing)
    ++Counts.Lost;
  Row.Held = false;
  Row.Releasing = false;
  Row.Lapsed = false;
  Row.RequiredPromises.clear();
  Row.OldestPromiseAt.reset();
}

void share_lease_manager::resetRequiredPromises(share_row &Row,
                                                steady_time SentAt) {
  std::vector<required_promise> RequiredPromises;
  for (const process_identity &Peer : Row.Record.Roster) {
    steady_time At = SentAt;
    for (const required_promise &Old : Row.RequiredPromises)
      if (Old.Peer == Peer)
        At = std::max(At, Old.PromisedAt);
    if (!isDead(Peer))
      RequiredPromises.push_back({Peer, At});
  }
  Row.RequiredPromises = std::move(RequiredPromises);
  updateOldestPromise(Row);
}

void share_lease_manager::addRequiredPromises(
    share_row &Row, const std::vector<process_identity> &Roster,
    steady_time SentAt) {
  for (const process_identity &Peer : Roster) {
    const bool Present = std::any_of(
        Row.RequiredPromises.begin(), Row.RequiredPromises.end(),
        [&](const required_promise &Each) { return Each.Peer == Peer; });
    if (!Present)
      Row.RequiredPromises.push_back({Peer, SentAt});
  }
  updateOldestPromise(Row);
}

void share_lease_manager::updateOldestPromise(share_row &Row) {
  Row.OldestPromiseAt = steady_time::max() - Settings.LeaseTtl;
  for (const required_promise &Each : Row.RequiredPromises)
    Row.OldestPromiseAt = std::min(*Row.OldestPromiseAt, Each.PromisedAt);
}

steady_time share_lease_manager::mintsUntil(const share_row &Row) const {
  if (!Row.Held || Row.Releasing)
    return steady_time::min();
  if (pinned(Row.Index))
    return steady_time::max();
  const steady_time LastConfirmed =
      std::max(Row.ConfirmedAt, Row.OldestPromiseAt.value_or(Row.ConfirmedAt));
  return LastConfirmed + Settings.LeaseTtl;
}

std::vector<minted_share> share_lease_manager::minted(steady_time Now) const {
  std::vector<minted_share> Shares;
  for (const share_row &Row : Rows) {
    const steady_time Until = mintsUntil(Row);
    if (Leaving || Now >= Until)
      continue;
    const std::uint32_t Ppm = Plan.fractionPpm(Row.Index, Row.RecordedPpm);
    Shares.push_back({Row.Index, Ppm, Row.MintsFrom, Until});
  }
  return Shares;
}

void share_lease_manager::requestPromises(steady_time Now,
                                          share_actions &Actions) {
  std::vector<outgoing_promise_request> &Out = Actions.Requests;
  for (share_row &Row : Rows) {
    if (!Row.Held || Row.Releasing || Leaving || pinned(Row.Index))
      continue;
    if (Now < Row.ConfirmedAt + Settings.LeaseTtl / 2 || Now < Row.NextPromise)
      continue;
    Row.NextPromise = Now + Settings.LeaseTtl / PromisesPerTtl;
    for (const required_promise &Each : Row.RequiredPromises) {
      auto To = std::find_if(Out.begin(), Out.end(), [&](const auto &Request) {
        return Request.To == Each.Peer;
      });
      if (To == Out.end())
        To = Out.insert(Out.end(), {Each.Peer, {}});
      To->Request.Rows.push_back({Row.Index, Row.Version});
    }
  }
  if (Out.empty())
    return;
  ++LastRequestSequence;
  SentRequests.push_back({LastRequestSequence, Now});
  std::erase_if(SentRequests, [&](const sent_request &Request) {
    return Now >= Request.SentAt + Settings.LeaseTtl;
  });
  for (outgoing_promise_request &Each : Out) {
    Each.Request.From = {Settings.Name, Settings.Incarnation};
    Each.Request.Sequence = LastRequestSequence;
  }
}

promise_reply share_lease_manager::answer(const promise_request &Request,
                                          steady_time Now) {
  promise_reply Reply{
      {Settings.Name, Settings.Incarnation}, Request.Sequence, {}};
  for (const promise_row &Asked : Request.Rows) {
    if (Asked.Index >= Rows.size()) {
      ++Counts.PromisesRefused;
      continue;
    }
    share_row &Row = Rows[Asked.Index];
    const bool Superseded = Row.Known && Row.Version > Asked.Version &&
                            !(Row.Record.Holder == Request.From &&
                              Row.Record.State == lease_state::Held);
    if (Row.Held || !Row.Unresolved.empty() || Superseded) {
      ++Counts.PromisesRefused;
      continue;
    }
    Row.NoTakeoverUntil = std::max(
        Row.NoTakeoverUntil, Now + Settings.LeaseTtl + Settings.LeaseMargin);
    Reply.Indexes.push_back(Asked.Index);
    ++Counts.PromisesGiven;
  }
  return Reply;
}

void share_lease_manager::accept(const promise_reply &Reply, steady_time) {
  const auto Request = std::find_if(SentRequests.begin(), SentRequests.end(),
                                    [&](const sent_request &Each) {
                                      return Each.Sequence == Reply.Sequence;
                                    });
  if (Request == SentRequests.end())
    return;
  for (const std::uint16_t Index : Reply.Indexes) {
    if (Index >= Rows.size() || !Rows[Index].Held)
      continue;
    share_row &Row = Rows[Index];
    // The request was sent under an earlier lease and doesn't count for this
    // one.
    if (Request->SentAt < Row.ConfirmedAt)
      continue;
    for (required_promise &Each : Row.RequiredPromises)
      if (Each.Peer == Reply.From)
        Each.PromisedAt = std::max(Each.PromisedAt, Request->SentAt);
    updateOldestPromise(Row);
  }
}

milliseconds share_lease_manager::jitter(milliseconds Max) {
  if (Max.count() <= 0)
    return milliseconds(0);
  return milliseconds(Random() % static_cast<std::uint64_t>(Max.count()));
}

} // namespace magnoliaspread
