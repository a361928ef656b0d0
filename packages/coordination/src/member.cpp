#include <magnoliaspread/member.h>

#include "member_p.h"

#include <magnoliaspread/config.h>

#include <algorithm>

namespace magnoliaspread {

using std::chrono::milliseconds;

namespace {

/// A tick delayed by more than this counts as a pause of the process.
constexpr milliseconds PauseLimit{1500};
constexpr milliseconds ViewRefreshTime{2000};
constexpr milliseconds AgeingPeriod{250};
/// Within this time of its start a process takes precedence over another
/// incarnation of its name by raising its epoch; afterwards it yields.
constexpr milliseconds ClaimWindow{10000};
/// Added to the sequence of an instance marked dead: it may have sent this many
/// heartbeats that reached others, but not the one that marked it.
constexpr std::uint64_t DeathSequenceMargin = 5;
constexpr milliseconds UnconfirmedLimit{30000};
constexpr std::uint32_t UnconfirmedAnswers = 3;
constexpr std::size_t MaxVersionMarks = 16;
constexpr std::uint32_t RowRelays = 2;
constexpr std::uint32_t SummaryRelays = 2;
/// Rows queued for relaying; local peers request those that don't fit.
constexpr std::size_t MaxRelays = 16;
/// Wait for changed rows to arrive unrequested before they are requested, and
/// the random spread for each data centre, so that a large fleet doesn't
/// request them all at the same time.
constexpr milliseconds MismatchGrace{2000};
constexpr milliseconds MismatchSpread{300};
/// Interval between requests to unknown speakers of a data centre.
constexpr milliseconds IntroductionPeriod{1000};
/// After sending this many rows within a second an instance ignores further
/// requests, which bounds a surge; their senders retry with others.
constexpr std::size_t MaxAnsweredRowsPerSecond = 20;

} // namespace

membership::membership(member_identity Identity, std::uint64_t Seed,
                       steady_time Now)
    : Self(std::move(Identity)), Random(Seed), Started(Now), ViewFreshAt(Now),
      LastTick(Now), LastHeartbeat(Now - HeartbeatPeriod), NextHeartbeat(Now),
      NextAgeing(Now), NextJoin(Now), NextRequests(Now), NextExpedite(Now) {}

outbox membership::tick(steady_time Now) {
  outbox Out;
  detectPause(Now);
  if (Now >= NextAgeing) {
    NextAgeing = Now + AgeingPeriod;
    age(Now);
  }
  sendHeartbeat(Now, Out);
  sendJoin(Now, Out);
  sendRequests(Now, Out);
  sendSummaries(Now, Out);
  return Out;
}

outbox membership::receive(steady_time Now, const endpoint_address &From,
                           const member_message &Message) {
  outbox Out;
  detectPause(Now);
  if (const auto *Heartbeat = std::get_if<heartbeat_message>(&Message))
    receiveHeartbeat(Now, From, *Heartbeat, Out);
  else if (const auto *Summary = std::get_if<summary_message>(&Message))
    receiveSummary(Now, From, *Summary, Out);
  else if (const auto *Rows = std::get_if<rows_message>(&Message))
    receiveRows(Now, From, *Rows, Out);
  else if (const auto *Request = std::get_if<rows_request>(&Message))
    receiveRequest(Now, From, *Request, Out);
  return Out;
}

void membership::updateSeeds(std::vector<seed_address> Addresses) {
  std::erase_if(Addresses, [&](const seed_address &Seed) {
    return Seed.Internal == Self.Internal;
  });
  Seeds = std::move(Addresses);
}

void membership::retainDataCentres(const std::vector<std::string> &Names) {
  const auto Gone = [&](const std::string &Name) {
    return std::find(Names.begin(), Names.end(), Name) == Names.end();
  };
  std::vector<std::string> Dropped;
  for (const remote_centre &Centre : Centres)
    if (Gone(Centre.Name))
      Dropped.push_back(Centre.Name);
  for (const std::string &Name : Dropped) {
    const std::vector<instance_handle> Handles = Table.ofDataCentre(Name);
    for (const instance_handle Handle : Handles)
      Table.remove(Handle);
  }
  std::erase_if(Centres, [&](const remote_centre &C) { return Gone(C.Name); });
}

outbox membership::leave(steady_time Now) {
  if (Own.State != member_state::Leaving)
    LeftAt = Now;
  Own.State = member_state::Leaving;
  NextHeartbeat = Now;
  ExpediteWanted = true;
  outbox Out;
  sendHeartbeat(Now, Out);
  return Out;
}

void membership::setConfig(steady_time Now, config_stamp Config) {
  if (Config.Version <= Own.Config.Version)
    return;
  Own.Config = Config;
  if (!isSpeaker())
    return;
  NextHeartbeat =
      std::min(NextHeartbeat, std::max(Now, LastHeartbeat + MinHeartbeatGap));
  ExpediteWanted = true;
}

void membership::reportRefused(steady_time Now, std::string_view Name,
                               std::uint64_t Incarnation) {
  const instance_handle Handle = Table.byName(Name);
  if (!Handle.valid())
    return;
  member_entry &Entry = Table.at(Handle);
  if (Entry.Row.Identity.Incarnation != Incarnation)
    return;
  recordEnded(Incarnation);
  if (Entry.live())
    markDead(Now, Entry);
}

void membership::receiveHeartbeat(steady_time Now, const endpoint_address &From,
                                  const heartbeat_message &Message,
                                  outbox &Out) {
  if (Message.Incarnation == Self.Incarnation)
    return;
  for (const data_centre_summary &Summary : Message.Summaries)
    applySummary(Now, Summary, false);
  const instance_handle Handle = Table.byIncarnation(Message.Incarnation);
  if (!Handle.valid()) {
    Out.push_back({{From}, rows_request{self(), ""}});
    return;
  }
  member_entry &Entry = Table.at(Handle);
  if (!isOwn(Entry.Row))
    return;
  if (Message.Report.Sequence <= Entry.Row.Report.Sequence) {
    ++Counts.StaleDropped;
    return;
  }
  applyHeartbeat(Now, Entry, Message.Report);
  if (Message.Speaker)
    applySilenceReport(Now, Message);
}

void membership::applyHeartbeat(steady_time Now, member_entry &Entry,
                                const member_report &Report) {
  const member_state Before = Entry.Row.Report.State;
  Entry.Row.Report = Report;
  if (Before == member_state::Leaving)
    Entry.Row.Report.State = member_state::Leaving;
  Entry.LastReceived = Now;
  if (Before == member_state::Dead)
    ++Counts.Revived;
  const bool Left = Entry.Row.Report.State == member_state::Leaving &&
                    Before != member_state::Leaving;
  if (Before != member_state::Dead && !Left)
    return;
  Entry.ChangedAt = Now;
  ExpediteWanted = true;
}

void membership::applySilenceReport(steady_time Now,
                                    const heartbeat_message &Message) {
  for (remote_centre &Centre : Centres) {
    const bool Silent =
        std::find(Message.SilentCentres.begin(), Message.SilentCentres.end(),
                  Centre.Name) != Message.SilentCentres.end();
    if (Silent) {
      Centre.ReportedSilentAt = Now;
      if (Centre.ReportedActiveBy == Message.Incarnation)
        Centre.ReportedActiveAt.reset();
      continue;
    }
    Centre.ReportedActiveAt = Now;
    Centre.ReportedActiveBy = Message.Incarnation;
  }
}

void membership::receiveSummary(steady_time Now, const endpoint_address &From,
                                const summary_message &Message, outbox &Out) {
  if (Message.Summary.DataCentre == Self.DataCentre)
    return;
  for (const member_row &Row : Message.Changed)
    applyRow(Now, From, Row, true, Out);
  applySummary(Now, Message.Summary, true);
  remote_centre *Centre = findCentre(Message.Summary.DataCentre);
  if (Centre != nullptr)
    Centre->LastFrom = From;
  const bool SenderKnown =
      Table.byIncarnation(Message.Summary.Speaker).valid() &&
      Table.at(Table.byIncarnation(Message.Summary.Speaker)).live();
  if (Centre == nullptr || SenderKnown || Now < Centre->NextIntroduction)
    return;
  Centre->NextIntroduction = Now + IntroductionPeriod;
  Out.push_back({{From}, rows_request{self(), ""}});
}

/// Records the sequence of \p Summary; false unless it is higher than the last
/// one from the same speaker.
bool membership::recordSequence(remote_centre &Centre,
                                const data_centre_summary &Summary) {
  for (summary_mark &Mark : Centre.Marks) {
    if (Mark.Speaker != Summary.Speaker)
      continue;
    const bool Later = Summary.Sequence > Mark.Sequence;
    Mark.Sequence = std::max(Mark.Sequence, Summary.Sequence);
    return Later;
  }
  Centre.Marks[Centre.NextMark++ % Centre.Marks.size()] = {Summary.Speaker,
                                                           Summary.Sequence};
  return true;
}

void membership::applySummary(steady_time Now,
                              const data_centre_summary &Summary, bool Direct) {
  remote_centre *Found = findOrAddCentre(Now, Summary.DataCentre);
  if (Found == nullptr)
    return;
  remote_centre &Centre = *Found;
  if (!recordSequence(Centre, Summary)) {
    ++Counts.StaleDropped;
    return;
  }
  (Direct ? Centre.LastReceived : Centre.LastRelayed) = Now;
  const data_centre_summary Before = std::exchange(Centre.Summary, Summary);
  const bool SummaryChanged = Before.RowsHash != Summary.RowsHash ||
                              Before.LowestVersion != Summary.LowestVersion ||
                              Before.Config != Summary.Config;
  if (Direct && SummaryChanged)
    Centre.RelaysLeft = SummaryRelays;
  checkHash(Now, Centre);
}

void membership::checkHash(steady_time Now, remote_centre &Centre) {
  if (Centre.Summary.Sequence == 0 ||
      rowsHash(Centre.Name) == Centre.Summary.RowsHash) {
    Centre.MismatchSince.reset();
    return;
  }
  if (Centre.MismatchSince)
    return;
  const bool HasRows = !Table.ofDataCentre(Centre.Name).empty();
  const auto Spread =
      milliseconds(randomBelow(MismatchSpread.count() * Centres.size()));
  Centre.MismatchSince = Now;
  Centre.AnswersSinceMismatch = 0;
  Centre.NextRequest = std::max(Centre.NextRequest,
                                HasRows ? Now + MismatchGrace + Spread : Now);
}

void membership::receiveRows(steady_time Now, const endpoint_address &From,
                             const rows_message &Message, outbox &Out) {
  remote_centre *Last = nullptr;
  for (const member_row &Row : Message.Rows) {
    applyRow(Now, From, Row, !Message.Relayed, Out);
    if (Last == nullptr || Last->Name != Row.Identity.DataCentre) {
      Last = findCentre(Row.Identity.DataCentre);
      if (Last != nullptr)
        ++Last->AnswersSinceMismatch;
    }
  }
  for (remote_centre &Centre : Centres)
    if (Centre.MismatchSince)
      checkHash(Now, Centre);
}

void membership::applyRow(steady_time Now, const endpoint_address &From,
                          const member_row &Row, bool Relay, outbox &Out) {
  if (Row.Identity.Name == Self.Name) {
    resolveNameConflict(Now, Row);
    return;
  }
  const bool FromItself = Row.Identity.Internal == From;
  if (mergeRow(Now, Row, FromItself)) {
    if (isOwn(Row))
      ExpediteWanted = true;
    else if (Relay && Relays.size() < MaxRelays)
      Relays.push_back({Row, RowRelays});
    return;
  }
  const std::optional<member_row> Known = find(Row.Identity.Name);
  if (FromItself && Known &&
      Known->Identity.Incarnation != Row.Identity.Incarnation)
    Out.push_back({{From}, rows_message{{*Known}, true}});
}

bool membership::mergeRow(steady_time Now, const member_row &Row,
                          bool FromItself) {
  if (!isOwn(Row) && findOrAddCentre(Now, Row.Identity.DataCentre) == nullptr)
    return false;
  const instance_handle Handle = Table.byName(Row.Identity.Name);
  if (!Handle.valid())
    return addRow(Now, Row, FromItself);
  member_entry &Entry = Table.at(Handle);
  switch (compareRows(Entry.Row, Row)) {
  case row_order::Replaces:
    if (Entry.Row.Identity.Internal == Row.Identity.Internal)
      recordEnded(Entry.Row.Identity.Incarnation);
    Table.remove(Handle);
    return addRow(Now, Row, FromItself);
  case row_order::Newer:
    return isOwn(Row) ? mergeLocalPeer(Now, Entry, Row)
                      : mergeRemote(Now, Entry, Row);
  case row_order::Same:
    if (!isOwn(Row))
      Entry.LastReceived = Now;
    return false;
  case row_order::Older:
    ++Counts.StaleDropped;
    return false;
  }
  return false;
}

bool membership::addRow(steady_time Now, const member_row &Row,
                        bool FromItself) {
  member_row Added = Row;
  if (isOwn(Row) && !FromItself && Row.Report.State == member_state::Alive)
    Added.Report.State = member_state::Suspect;
  if (!Table.add(Added, Now).valid()) {
    ++Counts.TableFull;
    return false;
  }
  if (Row.Report.State != member_state::Dead)
    ++Counts.Joined;
  return true;
}

/// Merges a relayed row of a local peer. Only a leaving state, or a dead state
/// while its heartbeats are overdue, is accepted; that it is alive is shown by
/// its own heartbeats alone.
bool membership::mergeLocalPeer(steady_time Now, member_entry &Entry,
                                const member_row &Row) {
  const member_state State = Row.Report.State;
  if (State == member_state::Leaving && Entry.eligible()) {
    Entry.Row.Report.State = member_state::Leaving;
    Entry.ChangedAt = Now;
    return true;
  }
  if (State != member_state::Dead || !Entry.live() ||
      Now - Entry.LastReceived < SuspectAfter)
    return false;
  Entry.Row.Report = Row.Report;
  Entry.ChangedAt = Now;
  ++Counts.Died;
  return true;
}

bool membership::mergeRemote(steady_time Now, member_entry &Entry,
                             const member_row &Row) {
  const member_state Before = Entry.Row.Report.State;
  Entry.Row = Row;
  Entry.LastReceived = Now;
  if (Before == member_state::Leaving &&
      Row.Report.State == member_state::Alive)
    Entry.Row.Report.State = member_state::Leaving;
  if (Entry.Row.Report.State == Before)
    return false;
  if (Entry.Row.Report.State == member_state::Dead)
    ++Counts.Died;
  if (Before == member_state::Dead)
    ++Counts.Revived;
  Entry.ChangedAt = Now;
  return true;
}

void membership::resolveNameConflict(steady_time Now, const member_row &Row) {
  if (Row.Identity.Incarnation == Self.Incarnation) {
    if (Row.Report.State == member_state::Dead)
      Own.Sequence = std::max(Own.Sequence, Row.Report.Sequence);
    return;
  }
  const bool Outranks = compareRows(self(), Row) == row_order::Replaces;
  if (!Outranks)
    return;
  if (Now - Started < ClaimWindow) {
    Self.Epoch = Row.Identity.Epoch + 1;
    return;
  }
  Superseded = true;
  if (Own.State != member_state::Leaving)
    LeftAt = Now;
  Own.State = member_state::Leaving;
}

void membership::receiveRequest(steady_time Now, const endpoint_address &From,
                                const rows_request &Message, outbox &Out) {
  applyRow(Now, From, Message.Sender, true, Out);
  const bool FromLocalPeer = isOwn(Message.Sender);
  if (Message.DataCentre.empty()) {
    Out.push_back({{From}, rows_message{{self()}, FromLocalPeer}});
    return;
  }
  const bool Join = FromLocalPeer && Message.DataCentre == Self.DataCentre;
  if (!Join && !admitAnswer(Now, Message.DataCentre))
    return;
  appendRows(Now, Message.DataCentre, From, FromLocalPeer, Out);
  if (Join)
    appendSummaries(From, Out);
}

bool membership::admitAnswer(steady_time Now, std::string_view DataCentre) {
  if (Now >= AnswerWindowStart + HeartbeatPeriod) {
    AnswerWindowStart = Now;
    RowsAnswered = 0;
  }
  if (RowsAnswered >= MaxAnsweredRowsPerSecond)
    return false;
  RowsAnswered += Table.ofDataCentre(DataCentre).size();
  return true;
}

void membership::recordEnded(std::uint64_t Incarnation) {
  if (EndedIncarnations.size() < MaxInstances)
    EndedIncarnations.push_back(Incarnation);
}

void membership::markDead(steady_time Now, member_entry &Entry) {
  Entry.Row.Report.State = member_state::Dead;
  Entry.Row.Report.Sequence += DeathSequenceMargin;
  Entry.ChangedAt = Now;
  ++Counts.Died;
  if (isOwn(Entry.Row))
    ExpediteWanted = true;
}

/// After a pause of this process missing heartbeats say nothing about their
/// senders, so their timeouts restart.
void membership::detectPause(steady_time Now) {
  const auto Pause = Now - LastTick;
  LastTick = std::max(LastTick, Now);
  if (Pause <= PauseLimit)
    return;
  ++Counts.Pauses;
  ViewFreshAt = Now + ViewRefreshTime;
  for (const instance_handle Handle : Table.ofDataCentre(Self.DataCentre)) {
    member_entry &Entry = Table.at(Handle);
    Entry.LastReceived = Now;
    if (Entry.eligible())
      Entry.Row.Report.State = member_state::Suspect;
  }
  for (remote_centre &Centre : Centres) {
    Centre.LastReceived += Pause;
    Centre.LastRelayed += Pause;
  }
}

void membership::age(steady_time Now) {
  if (!isSpeaker())
    SpeakerSince.reset();
  else if (!SpeakerSince)
    SpeakerSince = Now;
  ageLocalPeers(Now);
  dropUnconfirmed(Now);
  forgetDead(Now);
  trackLowestVersion(Now);
}

void membership::ageLocalPeers(steady_time Now) {
  for (const instance_handle Handle : Table.ofDataCentre(Self.DataCentre)) {
    member_entry &Entry = Table.at(Handle);
    const auto SinceHeartbeat = Now - Entry.LastReceived;
    if (!Entry.live())
      continue;
    if (SinceHeartbeat >= DeadAfter)
      markDead(Now, Entry);
    else if (SinceHeartbeat >= SuspectAfter && Entry.eligible())
      Entry.Row.Report.State = member_state::Suspect;
  }
}

/// If a data centre's summary hash differs from the local one, rows that its
/// answers don't contain are of instances that it has dropped: marks them dead.
void membership::dropUnconfirmed(steady_time Now) {
  for (remote_centre &Centre : Centres) {
    if (!Centre.MismatchSince ||
        Now - *Centre.MismatchSince < UnconfirmedLimit ||
        Centre.AnswersSinceMismatch < UnconfirmedAnswers)
      continue;
    for (const instance_handle Handle : Table.ofDataCentre(Centre.Name)) {
      member_entry &Entry = Table.at(Handle);
      if (Entry.live() && Entry.LastReceived < *Centre.MismatchSince)
        markDead(Now, Entry);
    }
    Centre.MismatchSince.reset();
    checkHash(Now, Centre);
  }
}

void membership::forgetDead(steady_time Now) {
  const std::size_t Slots = Table.entries().size();
  for (std::uint16_t I = 0; I < Slots; ++I) {
    const member_entry &Entry = Table.entries()[I];
    if (Entry.Used && !Entry.live() &&
        Now - Entry.ChangedAt >= DeadRowRetention)
      Table.remove({I});
  }
}

void membership::trackLowestVersion(steady_time Now) {
  const std::uint64_t Lowest = lowestVersion();
  while (!LowestMarks.empty() && LowestMarks.back().Version > Lowest)
    LowestMarks.pop_back();
  if (LowestMarks.empty() || LowestMarks.back().Version < Lowest)
    LowestMarks.push_back({Lowest, Now});
  if (LowestMarks.size() > MaxVersionMarks)
    LowestMarks.pop_front();
}

} // namespace magnoliaspread
