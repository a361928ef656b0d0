#include <magnoliaspread/once.h>

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
std::string scopeOf(const once_request &Request) {
  std::string Scope = std::to_string(Request.Workspace.size());
  Scope += ':';
  Scope += Request.Workspace;
  Scope += Request.IdempotencyKey;
  return Scope;
}

once_decision refused(error_kind Kind, std::string Detail) {
  once_decision Decision;
  Decision.Error = error{Kind, std::move(Detail), {}};
  return Decision;
}

} // namespace

std::string encodeTicket(const once_ticket &Ticket, const mac_function &Mac) {
  std::string Text = Ticket.Instance;
  Text += Separator;
  Text += std::to_string(Ticket.Incarnation);
  Text += Separator;
  Text += std::to_string(millisecondsOf(Ticket.ExpiresAt));
  return Text + Separator + macOf(Text, Mac);
}

result<once_ticket> decodeTicket(std::string_view Text,
                                 const mac_function &Mac) {
  const std::size_t End = Text.rfind(Separator);
  if (End == std::string_view::npos)
    return invalidTicket();
  if (!equalConstantTime(Text.substr(End + 1), macOf(Text.substr(0, End), Mac)))
    return invalidTicket();
  std::string_view Rest = Text.substr(0, End);
  once_ticket Ticket;
  Ticket.Instance = takeField(Rest);
  std::int64_t Expiry = 0;
  if (!parse(takeField(Rest), Ticket.Incarnation) ||
      !parse(takeField(Rest), Expiry) || !Rest.empty())
    return invalidTicket();
  Ticket.ExpiresAt = wall_time(milliseconds(Expiry));
  return Ticket;
}

once_registry::once_registry(std::string Instance, std::uint64_t Incarnation,
                             const once_settings &Settings, mac_function Mac,
                             steady_time Now, wall_time WallNow)
    : Instance(std::move(Instance)), Incarnation(Incarnation),
      Settings(Settings), Mac(std::move(Mac)), StartedAt(Now),
      WallAtStart(WallNow) {}

/// Wall time at the start plus elapsed steady time. It never jumps, so that an
/// entry outlives its ticket.
wall_time once_registry::localWall(steady_time Now) const {
  return WallAtStart +
         std::chrono::duration_cast<wall_time::duration>(Now - StartedAt);
}

std::string once_registry::issue(steady_time Now) const {
  return encodeTicket(
      {Instance, Incarnation, localWall(Now) + Settings.TicketLife}, Mac);
}

once_decision once_registry::admit(const once_request &Request,
                                   steady_time Now) {
  const wall_time Local = forgetExpired(Now);
  const auto Known = IdsByScope.find(scopeOf(Request));
  if (Known != IdsByScope.end())
    return admitRepeat(Known->second, Request, Local);
  return admitNew(Request, Local);
}

/// The entry must also outlive a later ticket that a repeat carries.
void once_registry::extendExpiry(entry &Entry, const once_request &Request,
                                 wall_time Local) {
  const result<once_ticket> Ticket = decodeTicket(Request.Ticket, Mac);
  if (failed(Ticket))
    return;
  const wall_time Latest = Local + Settings.TicketLife + Settings.MaxClockSkew;
  const wall_time Requested = std::min(valueOf(Ticket).ExpiresAt, Latest);
  Entry.KeepUntil = std::max(Entry.KeepUntil, Requested);
}

once_decision once_registry::admitRepeat(once_id Id,
                                         const once_request &Request,
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
  once_decision Decision;
  Decision.Verdict = once_verdict::Answered;
  Decision.Answer = Entry.Answer;
  return Decision;
}

once_decision once_registry::admitNew(const once_request &Request,
                                      wall_time Local) {
  once_decision Decision;
  if (Request.Ticket.empty()) {
    Decision.Verdict = once_verdict::TicketNeeded;
    Decision.NewTicket =
        encodeTicket({Instance, Incarnation, Local + Settings.TicketLife}, Mac);
    return Decision;
  }
  result<once_ticket> Decoded = decodeTicket(Request.Ticket, Mac);
  if (failed(Decoded))
    return refused(error_kind::BadRequest, errorOf(Decoded).Detail);
  const once_ticket &Ticket = valueOf(Decoded);
  if (Ticket.Instance != Instance || Ticket.Incarnation != Incarnation) {
    Decision.Verdict = once_verdict::Elsewhere;
    Decision.Ticket = std::move(valueOf(Decoded));
    return Decision;
  }
  if (Ticket.ExpiresAt <= Local)
    return refused(error_kind::OutcomeUnknown, "the ticket has expired");
  if (Ticket.ExpiresAt > Local + Settings.TicketLife + Settings.MaxClockSkew)
    return refused(error_kind::BadRequest, "the ticket's expiry is too late");
  return accept(Request, Ticket.ExpiresAt);
}

once_decision once_registry::accept(const once_request &Request,
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
  const once_id Id = ++LastId;
  entry Entry;
  Entry.Scope = scopeOf(Request);
  Entry.Workspace = Workspace;
  Entry.ContentHash = Request.ContentHash;
  Entry.KeepUntil = ExpiresAt;
  IdsByScope[Entry.Scope] = Id;
  Entries.emplace(Id, std::move(Entry));
  once_decision Decision;
  Decision.Verdict = once_verdict::Run;
  Decision.Id = Id;
  return Decision;
}

void once_registry::sent(once_id Id) { Entries.at(Id).State = state::Sent; }

void once_registry::finish(once_id Id, once_answer Answer, steady_time Now) {
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

void once_registry::finishUnknown(once_id Id, steady_time Now) {
  setFinished(Id, state::Unknown, forgetExpired(Now));
}

/// The entry outlives every ticket issued so far.
void once_registry::setFinished(once_id Id, state State, wall_time Local) {
  entry &Entry = Entries.at(Id);
  Entry.State = State;
  Entry.KeepUntil = std::max(Entry.KeepUntil, Local + Settings.TicketLife);
  scheduleExpiry(Id);
}

void once_registry::finishNotRun(once_id Id) { forget(Id); }

void once_registry::scheduleExpiry(once_id Id) {
  Expiries.emplace(Entries.at(Id).KeepUntil, Id);
}

/// An entry whose expiry was extended is rescheduled when the old one is due.
wall_time once_registry::forgetExpired(steady_time Now) {
  LatestLocal = std::max(LatestLocal, localWall(Now));
  const wall_time Local = LatestLocal;
  while (!Expiries.empty() && Expiries.begin()->first <= Local) {
    const once_id Id = Expiries.begin()->second;
    Expiries.erase(Expiries.begin());
    if (Entries.at(Id).KeepUntil > Local)
      scheduleExpiry(Id);
    else
      forget(Id);
  }
  return Local;
}

void once_registry::forget(once_id Id) {
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
