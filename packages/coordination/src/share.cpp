#include <magnoliaspread/share.h>

#include <xxhash.h>

#include <algorithm>

namespace magnoliaspread {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds RetryPause{300};
constexpr milliseconds TakeJitter{200};
/// Leaves a free share to mates that hold fewer.
constexpr milliseconds TakePausePerShare{500};
/// Leaves a free share to mates that hold less than their part.
constexpr milliseconds TakePauseOverFair{5000};
constexpr milliseconds SpreadCheck{1000};
constexpr milliseconds SpreadPause{15000};
constexpr milliseconds ContentPause{1000};
constexpr int RenewalsPerTtl = 3;
constexpr int ReadsPerTtl = 4;
constexpr int PromisesPerTtl = 10;
/// Non-takers read a record once in this many lease times.
constexpr int IdleReadTtls = 4;
constexpr std::size_t MaxShares = 256;

std::uint64_t rank(const share_mate &Mate, std::uint16_t Index) {
  return XXH64(Mate.Name.data(), Mate.Name.size(), Index);
}

bool contains(const std::vector<share_mate> &Mates, const share_mate &Mate) {
  return std::find(Mates.begin(), Mates.end(), Mate) != Mates.end();
}

} // namespace

std::string shareObjectName(std::string_view DataCentre, std::uint16_t Index) {
  return "quota/" + std::string(DataCentre) + "/" + std::to_string(Index);
}

share_keeper::share_keeper(share_settings Settings, steady_time Now)
    : Settings(std::move(Settings)), Random(this->Settings.Seed),
      NextSpread(Now + SpreadPause) {}

void share_keeper::setMates(std::vector<share_mate> NewMates) {
  Mates = std::move(NewMates);
}

bool share_keeper::isSelf(const share_mate &Mate) const {
  return Mate.Incarnation == Settings.Incarnation && Mate.Name == Settings.Name;
}

bool share_keeper::isDead(const share_mate &Mate) const {
  return Dead.contains(Mate.Incarnation);
}

void share_keeper::declareDead(std::uint64_t Incarnation, steady_time Now) {
  if (Incarnation == Settings.Incarnation) {
    for (share_row &Row : Rows)
      drop(Row);
    Leaving = true;
    return;
  }
  if (!Dead.insert(Incarnation).second)
    return;
  for (share_row &Row : Rows) {
    // A mate that died after this lease ran out may have sent a write before.
    if (!Row.Held || Now >= fence(Row))
      continue;
    std::erase_if(Row.Confirmers, [&](const confirmer &Each) {
      return Each.Mate.Incarnation == Incarnation;
    });
    updatePromised(Row);
  }
}

void share_keeper::resize() {
  const std::size_t Count = std::min<std::size_t>(Plan.shares(), MaxShares);
  while (Rows.size() < Count) {
    Rows.emplace_back();
    Rows.back().Index = static_cast<std::uint16_t>(Rows.size() - 1);
  }
}

share_actions share_keeper::tick(steady_time Now) {
  share_actions Actions;
  Plan.settle(Now);
  resize();
  spread(Now);
  for (share_row &Row : Rows) {
    expireOperations(Row, Now);
    if (Row.Held)
      tickHeld(Row, Now, Actions);
    else
      tickFree(Row, Now, Actions);
  }
  requestPromises(Now, Actions);
  return Actions;
}

void share_keeper::expireOperations(share_row &Row, steady_time Now) {
  if (Row.ReadTicket != 0 && Now >= Row.ReadSentAt + Settings.OperationTimeout)
    finishRead({Row.ReadTicket, Row.Index, read_outcome::Failed, 0, {}}, Now);
  if (Row.WriteTicket == 0 || Row.Unresolved.empty())
    return;
  if (Now >= Row.Unresolved.back().SentAt + Settings.OperationTimeout)
    finishWrite({Row.WriteTicket, Row.Index, write_outcome::Unknown, 0}, Now);
}

void share_keeper::tickHeld(share_row &Row, steady_time Now,
                            share_actions &Actions) {
  if (Row.Index >= Plan.shares())
    Row.Releasing = true;
  const bool Lapsed = !Row.Releasing && Now >= fence(Row);
  if (Lapsed && !Row.Lapsed)
    ++Counts.Lost;
  Row.Lapsed = Lapsed;
  if (Row.ReadTicket != 0 || Row.WriteTicket != 0)
    return;
  if (Row.MustRead) {
    if (Now >= Row.NextRead)
      read(Row, Now, Actions);
    return;
  }
  const bool Release = Leaving || Row.Releasing;
  const bool Stale =
      Release || Row.Record.ConfigVersion != Plan.version() ||
      Row.Record.FractionPpm != Plan.fractionPpm(Row.Index, Row.RecordedPpm);
  const steady_time Due =
      Stale ? std::min(Row.NextWrite, Row.ConfirmedAt + ContentPause)
            : Row.NextWrite;
  if (Now < std::max(Due, Row.RetryAt))
    return;
  Row.Releasing = Release;
  write(Row, Now, Release ? lease_state::Released : lease_state::Held, Actions);
}

void share_keeper::tickFree(share_row &Row, steady_time Now,
                            share_actions &Actions) {
  if (Row.ReadTicket != 0 || Row.WriteTicket != 0)
    return;
  if (Now >= Row.NextRead) {
    read(Row, Now, Actions);
    return;
  }
  if (Row.MustRead || !mayTake(Row, Now)) {
    Row.TakeAt.reset();
    return;
  }
  if (!Row.TakeAt)
    Row.TakeAt = Now + jitter(TakeJitter);
  if (Now >= std::max(*Row.TakeAt + takePause(), Row.RetryAt))
    write(Row, Now, lease_state::Held, Actions);
}

milliseconds share_keeper::takePause() const {
  const auto Count = static_cast<std::size_t>(
      std::count_if(Rows.begin(), Rows.end(), [](const share_row &Row) {
        return Row.Held || Row.WriteTicket != 0;
      }));
  const milliseconds Pause = TakePausePerShare * static_cast<int>(Count);
  return Count < fairCount() ? Pause : Pause + TakePauseOverFair;
}

bool share_keeper::mayTake(const share_row &Row, steady_time Now) const {
  if (Leaving || !Row.Known || Row.Index >= Plan.shares())
    return false;
  if (Row.Version == 0 || Row.Record.State == lease_state::Released)
    return true;
  return isDead(Row.Record.Holder) || silent(Row, Now);
}

bool share_keeper::silent(const share_row &Row, steady_time Now) const {
  if (pinned(Row.Index) || Now < Row.PromisedUntil)
    return false;
  const share_mate Self{Settings.Name, Settings.Incarnation};
  if (!contains(Row.Record.Roster, Self))
    return false;
  const steady_time Due = Row.SeenAt + Settings.LeaseTtl + Settings.LeaseMargin;
  return Now >= Due && Row.LastReadSentAt >= Due;
}

std::size_t share_keeper::fairCount() const {
  const std::size_t Live = Mates.size() + 1;
  return (Plan.shares() + Live - 1) / Live;
}

std::size_t share_keeper::heldCount() const {
  return static_cast<std::size_t>(std::count_if(
      Rows.begin(), Rows.end(), [](const share_row &Row) { return Row.Held; }));
}

void share_keeper::spread(steady_time Now) {
  if (Now < NextSpread)
    return;
  NextSpread = Now + SpreadCheck;
  if (Leaving || !PlatformAnswers || heldCount() < 2)
    return;
  std::vector<share_mate> Holders;
  for (const share_row &Row : Rows) {
    if (!Row.Known || Row.Releasing || Row.Record.State != lease_state::Held)
      return;
    Holders.push_back(Row.Record.Holder);
  }
  const bool OneWithout =
      std::any_of(Mates.begin(), Mates.end(), [&](const share_mate &Mate) {
        return !contains(Holders, Mate);
      });
  if (!OneWithout)
    return;
  for (auto Row = Rows.rbegin(); Row != Rows.rend(); ++Row) {
    if (!Row->Held)
      continue;
    Row->Releasing = true;
    NextSpread = Now + SpreadPause;
    return;
  }
}

bool share_keeper::isReader(const share_row &Row) const {
  const share_mate Self{Settings.Name, Settings.Incarnation};
  return Row.Version == 0 || contains(Row.Record.Roster, Self) ||
         Mates.size() <= TakersPerShare;
}

void share_keeper::read(share_row &Row, steady_time Now,
                        share_actions &Actions) {
  Row.ReadTicket = ++LastTicket;
  Row.ReadSentAt = Now;
  Actions.Reads.push_back({Row.ReadTicket, Row.Index});
}

void share_keeper::write(share_row &Row, steady_time Now, lease_state State,
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
    addConfirmers(Row, Record.Roster, Now);
  Actions.Writes.push_back(
      {Row.WriteTicket, Row.Index, Row.Version, std::move(Record)});
}

std::vector<share_mate> share_keeper::roster(std::uint16_t Index) const {
  std::vector<share_mate> Roster = Mates;
  std::erase_if(Roster, [&](const share_mate &Mate) { return isDead(Mate); });
  std::sort(Roster.begin(), Roster.end(),
            [&](const share_mate &A, const share_mate &B) {
              return rank(A, Index) > rank(B, Index);
            });
  if (Roster.size() > TakersPerShare)
    Roster.resize(TakersPerShare);
  return Roster;
}

void share_keeper::finishRead(const share_read_result &Result,
                              steady_time Now) {
  if (Result.Index >= Rows.size())
    return;
  share_row &Row = Rows[Result.Index];
  if (Row.ReadTicket == 0 || Row.ReadTicket != Result.Ticket)
    return;
  Row.ReadTicket = 0;
  PlatformAnswers = Result.Outcome != read_outcome::Failed;
  if (!PlatformAnswers) {
    Row.NextRead = Now + RetryPause + jitter(RetryPause);
    return;
  }
  Row.LastReadSentAt = Row.ReadSentAt;
  Row.MustRead = false;
  if (Result.Outcome == read_outcome::Found)
    adopt(Row, Result.Version, Result.Record, Now);
  else
    adoptMissing(Row);
  const auto Period = isReader(Row) ? Settings.LeaseTtl / ReadsPerTtl
                                    : Settings.LeaseTtl * IdleReadTtls;
  Row.NextRead = Now + Period + jitter(Period / 4);
}

void share_keeper::finishWrite(const share_write_result &Result,
                               steady_time Now) {
  if (Result.Index >= Rows.size())
    return;
  share_row &Row = Rows[Result.Index];
  if (Row.WriteTicket == 0 || Row.WriteTicket != Result.Ticket)
    return;
  Row.WriteTicket = 0;
  Row.TakeAt.reset();
  PlatformAnswers = Result.Outcome == write_outcome::Done ||
                    Result.Outcome == write_outcome::Conflict;
  switch (Result.Outcome) {
  case write_outcome::Done:
    adopt(Row, Result.Version, share_record(Row.Unresolved.back().Record), Now);
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

void share_keeper::adopt(share_row &Row, std::uint64_t Version,
                         const share_record &Record, steady_time Now) {
  if (Row.Known && Version <= Row.Version)
    return;
  Row.Known = true;
  Row.Version = Version;
  Row.Record = Record;
  Row.SeenAt = Now;
  if (isSelf(Record.Holder))
    adoptOwn(Row, Now);
  else
    drop(Row);
  // The version has moved on, so no earlier write can take effect any more.
  Row.Unresolved.clear();
}

void share_keeper::adoptOwn(share_row &Row, steady_time Now) {
  if (Row.Record.State == lease_state::Released) {
    if (Row.Held)
      ++Counts.Released;
    drop(Row);
    return;
  }
  const auto Sent =
      std::find_if(Row.Unresolved.begin(), Row.Unresolved.end(),
                   [&](const sent_write &Write) {
                     return Write.Record.Renewal == Row.Record.Renewal;
                   });
  if (Sent == Row.Unresolved.end()) {
    // Not a write of this state: never mint on it, but give it back.
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
  confirmAll(Row, Sent->SentAt);
}

void share_keeper::adoptMissing(share_row &Row) {
  Row.Known = true;
  if (Row.Version == 0)
    return;
  Row.Version = 0;
  Row.Record = {};
  drop(Row);
}

void share_keeper::drop(share_row &Row) {
  if (Row.Held && !Row.Releasing)
    ++Counts.Lost;
  Row.Held = false;
  Row.Releasing = false;
  Row.Lapsed = false;
  Row.Confirmers.clear();
  Row.PromisedAt.reset();
}

void share_keeper::confirmAll(share_row &Row, steady_time SentAt) {
  std::vector<confirmer> Confirmers;
  for (const share_mate &Mate : Row.Record.Roster) {
    steady_time At = SentAt;
    for (const confirmer &Old : Row.Confirmers)
      if (Old.Mate == Mate)
        At = std::max(At, Old.PromisedAt);
    if (!isDead(Mate))
      Confirmers.push_back({Mate, At});
  }
  Row.Confirmers = std::move(Confirmers);
  updatePromised(Row);
}

void share_keeper::addConfirmers(share_row &Row,
                                 const std::vector<share_mate> &Roster,
                                 steady_time SentAt) {
  for (const share_mate &Mate : Roster) {
    const bool Present =
        std::any_of(Row.Confirmers.begin(), Row.Confirmers.end(),
                    [&](const confirmer &Each) { return Each.Mate == Mate; });
    if (!Present)
      Row.Confirmers.push_back({Mate, SentAt});
  }
  updatePromised(Row);
}

void share_keeper::updatePromised(share_row &Row) {
  Row.PromisedAt = steady_time::max() - Settings.LeaseTtl;
  for (const confirmer &Each : Row.Confirmers)
    Row.PromisedAt = std::min(*Row.PromisedAt, Each.PromisedAt);
}

steady_time share_keeper::fence(const share_row &Row) const {
  if (!Row.Held || Row.Releasing)
    return steady_time::min();
  if (pinned(Row.Index))
    return steady_time::max();
  const steady_time Confirmed =
      std::max(Row.ConfirmedAt, Row.PromisedAt.value_or(Row.ConfirmedAt));
  return Confirmed + Settings.LeaseTtl;
}

std::vector<minted_share> share_keeper::minted(steady_time Now) const {
  std::vector<minted_share> Shares;
  for (const share_row &Row : Rows) {
    const steady_time Fence = fence(Row);
    if (Leaving || Now >= Fence)
      continue;
    const std::uint32_t Ppm = Plan.fractionPpm(Row.Index, Row.RecordedPpm);
    Shares.push_back({Row.Index, Ppm, Row.MintsFrom, Fence});
  }
  return Shares;
}

void share_keeper::requestPromises(steady_time Now, share_actions &Actions) {
  std::vector<outgoing_promise_request> &Out = Actions.Requests;
  for (share_row &Row : Rows) {
    if (!Row.Held || Row.Releasing || Leaving || pinned(Row.Index))
      continue;
    if (Now < Row.ConfirmedAt + Settings.LeaseTtl / 2 || Now < Row.NextPromise)
      continue;
    Row.NextPromise = Now + Settings.LeaseTtl / PromisesPerTtl;
    for (const confirmer &Each : Row.Confirmers) {
      auto To = std::find_if(Out.begin(), Out.end(), [&](const auto &Request) {
        return Request.To == Each.Mate;
      });
      if (To == Out.end())
        To = Out.insert(Out.end(), {Each.Mate, {}});
      To->Request.Rows.push_back({Row.Index, Row.Version});
    }
  }
  if (Out.empty())
    return;
  ++LastRequest;
  Requests.push_back({LastRequest, Now});
  std::erase_if(Requests, [&](const sent_request &Request) {
    return Now >= Request.SentAt + Settings.LeaseTtl;
  });
  for (outgoing_promise_request &Each : Out) {
    Each.Request.From = {Settings.Name, Settings.Incarnation};
    Each.Request.Sequence = LastRequest;
  }
}

promise_reply share_keeper::answer(const promise_request &Request,
                                   steady_time Now) {
  promise_reply Reply{
      {Settings.Name, Settings.Incarnation}, Request.Sequence, {}};
  for (const promise_row &Asked : Request.Rows) {
    if (Asked.Index >= Rows.size()) {
      ++Counts.PromisesRefused;
      continue;
    }
    share_row &Row = Rows[Asked.Index];
    const bool MovedOn = Row.Known && Row.Version > Asked.Version &&
                         !(Row.Record.Holder == Request.From &&
                           Row.Record.State == lease_state::Held);
    if (Row.Held || !Row.Unresolved.empty() || MovedOn) {
      ++Counts.PromisesRefused;
      continue;
    }
    Row.PromisedUntil = std::max(Row.PromisedUntil, Now + Settings.LeaseTtl +
                                                        Settings.LeaseMargin);
    Reply.Indexes.push_back(Asked.Index);
    ++Counts.PromisesGiven;
  }
  return Reply;
}

void share_keeper::accept(const promise_reply &Reply, steady_time) {
  const auto Request = std::find_if(Requests.begin(), Requests.end(),
                                    [&](const sent_request &Each) {
                                      return Each.Sequence == Reply.Sequence;
                                    });
  if (Request == Requests.end())
    return;
  for (const std::uint16_t Index : Reply.Indexes) {
    if (Index >= Rows.size() || !Rows[Index].Held)
      continue;
    share_row &Row = Rows[Index];
    // A request for a former tenure proves nothing about this one.
    if (Request->SentAt < Row.ConfirmedAt)
      continue;
    for (confirmer &Each : Row.Confirmers)
      if (Each.Mate == Reply.From)
        Each.PromisedAt = std::max(Each.PromisedAt, Request->SentAt);
    updatePromised(Row);
  }
}

milliseconds share_keeper::jitter(milliseconds Most) {
  if (Most.count() <= 0)
    return milliseconds(0);
  return milliseconds(Random() % static_cast<std::uint64_t>(Most.count()));
}

} // namespace magnoliaspread
