#include <magnoliaspread/dedup.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace magnoliaspread {

namespace {

using std::chrono::milliseconds;

/// Between the fields of a ticket; instance names and MACs don't contain it.
constexpr char Separator = '~';

std::int64_t millisecondsOf(wall_time Time) {
  return std::chrono::duration_cast<milliseconds>(Time.time_since_epoch())
      .count();
}

error invalidTicket() {
  return {error_kind::BadRequest, "not a valid ticket", {}};
}

/// Removes the next field and its separator from \p Rest.
std::string_view takeField(std::string_view &Rest) {
  const std::size_t End = std::min(Rest.find(Separator), Rest.size());
  const std::string_view Field = Rest.substr(0, End);
  Rest.remove_prefix(std::min(End + 1, Rest.size()));
  return Field;
}

template <class Number> bool parse(std::string_view Text, Number &Value) {
  const char *End = Text.data() + Text.size();
  const auto [Last, Error] = std::from_chars(Text.data(), End, Value);
  return Error == std::errc() && Last == End;
}

/// The prefix separates MACs of tickets from others under the same secret.
std::string macOf(std::string_view Text, const mac_function &Mac) {
  return Mac("once-ticket:" + std::string(Text));
}

/// Takes constant time for MACs of equal length.
bool equalConstantTime(std::string_view Left, std::string_view Right) {
  if (Left.size() != Right.size())
    return false;
  unsigned Difference = 0;
  for (std::size_t I = 0; I < Left.size(); ++I)
    Difference |= static_cast<unsigned char>(Left[I]) ^
                  static_cast<unsigned char>(Right[I]);
  return Difference == 0;
}

/// The length prefix keeps keys of different workspaces from colliding.
std::string scopeOf(const dedup_request &Request) {
  std::string Scope = std::to_string(Request.Workspace.size());
  Scope += ':';
  Scope += Request.Workspace;
  Scope += Request.IdempotencyKey;
  return Scope;
}

dedup_decision refused(error_kind Kind, std::string Detail) {
  dedup_decision Decision;
  Decision.Error = error{Kind, std::move(Detail), {}};
  return Decision;
}

} // namespace

std::string encodeTicket(const dedup_ticket &Ticket, const mac_function &Mac) {
  std::string Text = Ticket.Instance;
  Text += Separator;
  Text += std::to_string(Ticket.Incarnation);
  Text += Separator;
  Text += std::to_string(millisecondsOf(Ticket.ExpiresAt));
  return Text + Separator + macOf(Text, Mac);
}

result<dedup_ticket> decodeTicket(std::string_view Text,
                                  const mac_function &Mac) {
  const std::size_t End = Text.rfind(Separator);
  if (End == std::string_view::npos)
    return invalidTicket();
  if (!equalConstantTime(Text.substr(End + 1), macOf(Text.substr(0, End), Mac)))
    return invalidTicket();
  std::string_view Rest = Text.substr(0, End);
  dedup_ticket Ticket;
  Ticket.Instance = takeField(Rest);
  std::int64_t Expiry = 0;
  if (!parse(takeField(Rest), Ticket.Incarnation) ||
      !parse(takeField(Rest), Expiry) || !Rest.empty())
    return invalidTicket();
  Ticket.ExpiresAt = wall_time(milliseconds(Expiry));
  return Ticket;
}

dedup_registry::dedup_registry(std::string Instance, std::uint64_t Incarnation,
                               const dedup_settings &Settings, mac_function Mac,
                               steady_time Now, wall_time WallNow)
    : Instance(std::move(Instance)), Incarnation(Incarnation),
      Settings(Settings), Mac(std::move(Mac)), StartedAt(Now),
      WallAtStart(WallNow) {}

/// Wall time at the start plus elapsed steady time. It never jumps, so that an
/// entry outlives its ticket.
wall_time dedup_registry::localWall(steady_time Now) const {
  return WallAtStart +
         std::chrono::duration_cast<wall_time::duration>(Now - StartedAt);
}

std::string dedup_registry::issueTicket(steady_time Now) const {
  return encodeTicket(
      {Instance, Incarnation, localWall(Now) + Settings.TicketLife}, Mac);
}

dedup_decision dedup_registry::admit(const dedup_request &Request,
                                     steady_time Now) {
  const wall_time Local = forgetExpired(Now);
  const auto Known = IdsByScope.find(scopeOf(Request));
  if (Known != IdsByScope.end())
    return admitRepeat(Known->second, Request, Local);
  return admitNew(Request, Local);
}

/// The entry must also outlive a later ticket that a repeat carries.
void dedup_registry::extendExpiry(entry &Entry, const dedup_request &Request,
                                  wall_time Local) {
  const result<dedup_ticket> Ticket = decodeTicket(Request.Ticket, Mac);
  if (failed(Ticket))
    return;
  const wall_time Latest = Local + Settings.TicketLife + Settings.MaxClockSkew;
  const wall_time Requested = std::min(valueOf(Ticket).ExpiresAt, Latest);
  Entry.KeepUntil = std::max(Entry.KeepUntil, Requested);
}

dedup_decision dedup_registry::admitRepeat(dedup_id Id,
                                           const dedup_request &Request,
                                           wall_time Local) {
  entry &Entry = Entries.at(Id);
  if (Entry.ContentHash != Request.ContentHash)
    return refused(error_kind::BadRequest,
                   "the idempotency key belongs to another request");
  extendExpiry(Entry, Request, Local);
  if (Entry.State == state::Unknown)
    return refused(error_kind::OutcomeUnknown, "it was sent but not answered");
  if (Entry.State != state::Finished)
    return refused(error_kind::OutcomeUnknown, "it is still running");
  dedup_decision Decision;
  Decision.Verdict = dedup_verdict::Answered;
  Decision.Answer = Entry.Answer;
  return Decision;
}

dedup_decision dedup_registry::admitNew(const dedup_request &Request,
                                        wall_time Local) {
  dedup_decision Decision;
  if (Request.Ticket.empty()) {
    Decision.Verdict = dedup_verdict::TicketNeeded;
    Decision.NewTicket =
        encodeTicket({Instance, Incarnation, Local + Settings.TicketLife}, Mac);
    return Decision;
  }
  result<dedup_ticket> Decoded = decodeTicket(Request.Ticket, Mac);
  if (failed(Decoded))
    return refused(error_kind::BadRequest, errorOf(Decoded).Detail);
  const dedup_ticket &Ticket = valueOf(Decoded);
  if (Ticket.Instance != Instance || Ticket.Incarnation != Incarnation) {
    Decision.Verdict = dedup_verdict::OtherInstance;
    Decision.Ticket = std::move(valueOf(Decoded));
    return Decision;
  }
  if (Ticket.ExpiresAt <= Local)
    return refused(error_kind::OutcomeUnknown, "the ticket has expired");
  if (Ticket.ExpiresAt > Local + Settings.TicketLife + Settings.MaxClockSkew)
    return refused(error_kind::BadRequest, "the ticket's expiry is too late");
  return accept(Request, Ticket.ExpiresAt);
}

dedup_decision dedup_registry::accept(const dedup_request &Request,
                                      wall_time ExpiresAt) {
  const std::string Workspace(Request.Workspace);
  std::size_t &Count = CountsByWorkspace[Workspace];
  if (Entries.size() >= Settings.MaxEntries ||
      Count >= Settings.MaxEntriesPerWorkspace) {
    if (Count == 0)
      CountsByWorkspace.erase(Workspace);
    return refused(error_kind::QueueFull, "too many requests to remember");
  }
  ++Count;
  const dedup_id Id = ++LastId;
  entry Entry;
  Entry.Scope = scopeOf(Request);
  Entry.Workspace = Workspace;
  Entry.ContentHash = Request.ContentHash;
  Entry.KeepUntil = ExpiresAt;
  IdsByScope[Entry.Scope] = Id;
  Entries.emplace(Id, std::move(Entry));
  dedup_decision Decision;
  Decision.Verdict = dedup_verdict::Run;
  Decision.Id = Id;
  return Decision;
}

void dedup_registry::sent(dedup_id Id) { Entries.at(Id).State = state::Sent; }

void dedup_registry::finish(dedup_id Id, stored_answer Answer,
                            steady_time Now) {
  const wall_time Local = forgetExpired(Now);
  entry &Entry = Entries.at(Id);
  if (Answer.Body.size() > Settings.MaxAnswerBytes ||
      AnswerBytes + Answer.Body.size() > Settings.MaxTotalAnswerBytes) {
    Answer.Body.clear();
    Answer.HasBody = false;
  }
  AnswerBytes += Answer.Body.size();
  Entry.Answer = std::move(Answer);
  setFinished(Id, state::Finished, Local);
}

void dedup_registry::finishUnknown(dedup_id Id, steady_time Now) {
  setFinished(Id, state::Unknown, forgetExpired(Now));
}

/// The entry outlives every ticket issued so far.
void dedup_registry::setFinished(dedup_id Id, state State, wall_time Local) {
  entry &Entry = Entries.at(Id);
  Entry.State = State;
  Entry.KeepUntil = std::max(Entry.KeepUntil, Local + Settings.TicketLife);
  scheduleExpiry(Id);
}

void dedup_registry::finishNotRun(dedup_id Id) { forget(Id); }

void dedup_registry::scheduleExpiry(dedup_id Id) {
  Expiries.emplace(Entries.at(Id).KeepUntil, Id);
}

/// An entry whose expiry was extended is rescheduled when the old one is due.
wall_time dedup_registry::forgetExpired(steady_time Now) {
  LatestLocal = std::max(LatestLocal, localWall(Now));
  const wall_time Local = LatestLocal;
  while (!Expiries.empty() && Expiries.begin()->first <= Local) {
    const dedup_id Id = Expiries.begin()->second;
    Expiries.erase(Expiries.begin());
    if (Entries.at(Id).KeepUntil > Local)
      scheduleExpiry(Id);
    else
      forget(Id);
  }
  return Local;
}

void dedup_registry::forget(dedup_id Id) {
  const auto Found = Entries.find(Id);
  const entry &Entry = Found->second;
  AnswerBytes -= Entry.Answer.Body.size();
  IdsByScope.erase(Entry.Scope);
  const auto Count = CountsByWorkspace.find(Entry.Workspace);
  if (--Count->second == 0)
    CountsByWorkspace.erase(Count);
  Entries.erase(Found);
}

} // namespace magnoliaspread
