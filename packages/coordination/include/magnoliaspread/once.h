/// At-most-once execution of requests that are marked as not repeatable,
/// without a write to storage. A ticket names the one incarnation of one
/// instance that may run such a request; that incarnation remembers the
/// request's idempotency key for as long as the ticket is valid, and everyone
/// else answers that the outcome is unknown. Pure: time is passed in.
#ifndef MAGNOLIASPREAD_ONCE_H
#define MAGNOLIASPREAD_ONCE_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/error.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace magnoliaspread {

/// Says which process may run the requests that carry it.
struct once_ticket {
  /// Name of the instance.
  std::string Instance;
  std::uint64_t Incarnation = 0;
  /// By the clock of the named instance, whose reading alone decides.
  wall_time ExpiresAt;

  bool operator==(const once_ticket &) const = default;
};

/// Message authentication code, in printable characters without a dot, under
/// the fleet's secret.
using mac_function = std::function<std::string(std::string_view)>;

/// Printable text that fits an HTTP header.
std::string encodeTicket(const once_ticket &Ticket, const mac_function &Mac);

/// Errors: BadRequest.
result<once_ticket> decodeTicket(std::string_view Text,
                                 const mac_function &Mac);

struct once_settings {
  /// Life of a new ticket.
  std::chrono::milliseconds TicketLife{60000};
  /// Tickets of others may expire this much later than own ones.
  std::chrono::milliseconds MaxClockSkew{30000};
  std::size_t MaxEntries = 65536;
  std::size_t MaxEntriesPerWorkspace = 16384;
  /// Bodies of answers that are kept whole for repeats; larger ones and those
  /// over the sum are kept as their status only.
  std::size_t MaxAnswerBytes = 4096;
  std::size_t MaxAnswerBytesInAll = 16u << 20;
};

struct once_request {
  std::string_view Workspace;
  /// Chosen by the caller, one for each request that it makes.
  std::string_view IdempotencyKey;
  /// Empty when the caller sent none.
  std::string_view Ticket;
  /// Hash of method, path and length; tells a reused key from a repeat.
  std::uint64_t ContentHash = 0;
};

/// An answer kept for repeats of its request.
struct once_answer {
  /// HTTP status code.
  unsigned Status = 0;
  std::string ContentType;
  std::string Body;
  /// False when the body was too large to keep.
  bool HasBody = true;
};

using once_id = std::uint64_t;

enum class once_verdict : std::uint8_t {
  /// Run it now, and report to the registry under Id.
  Run,
  /// It ran before; give the caller Answer.
  Answered,
  /// Not run. The caller has to send it with NewTicket.
  TicketNeeded,
  /// Only the process that Ticket names can tell. Forward it there without
  /// ever retrying, or answer OutcomeUnknown.
  Elsewhere,
  /// Answer with Error; its kind says whether it may have run.
  Refused,
};

struct once_decision {
  once_verdict Verdict = once_verdict::Refused;
  once_id Id = 0;
  std::optional<once_answer> Answer;
  std::string NewTicket;
  std::optional<once_ticket> Ticket;
  std::optional<error> Error;
};

/// The requests that one incarnation of an instance runs or has run. Not for
/// use by several threads at once.
class once_registry {
public:
  /// \p Incarnation differs from that of every earlier process of the name.
  once_registry(std::string Instance, std::uint64_t Incarnation,
                const once_settings &Settings, mac_function Mac,
                steady_time Now, wall_time WallNow);

  /// A ticket for this process.
  std::string issue(steady_time Now) const;

  /// Errors in the decision: OutcomeUnknown, QueueFull (not run), BadRequest
  /// (not run: forged ticket, or a key used for another request).
  once_decision admit(const once_request &Request, steady_time Now);

  /// Call before the first byte goes to a target or peer.
  void sent(once_id Id);

  /// It ran and was answered.
  void finish(once_id Id, once_answer Answer, steady_time Now);

  /// It was sent, and no whole answer came.
  void finishUnknown(once_id Id, steady_time Now);

  /// Proved not to have run: never sent, or the receiver said so. A repeat may
  /// run it.
  void finishNotRun(once_id Id);

  std::size_t size() const { return Entries.size(); }
  std::size_t answerBytes() const { return AnswerBytes; }

private:
  enum class state : std::uint8_t { Accepted, Sent, Finished, Unknown };

  struct entry {
    std::string Scope;
    std::string Workspace;
    std::uint64_t ContentHash = 0;
    state State = state::Accepted;
    once_answer Answer;
    /// Not forgotten before this, nor while it runs.
    wall_time KeepUntil;
  };

  wall_time localWall(steady_time Now) const;
  /// Forgets what has expired, and returns the time to judge tickets by.
  wall_time forgetExpired(steady_time Now);
  void forget(once_id Id);
  void schedule(once_id Id);
  void end(once_id Id, state State, wall_time Local);
  once_decision repeat(once_id Id, const once_request &Request,
                       wall_time Local);
  once_decision first(const once_request &Request, wall_time Local);
  once_decision accept(const once_request &Request, wall_time ExpiresAt);
  void extend(entry &Entry, const once_request &Request, wall_time Local);

  std::string Instance;
  std::uint64_t Incarnation;
  once_settings Settings;
  mac_function Mac;
  steady_time StartedAt;
  wall_time WallAtStart;
  /// Callers on several clocks' readings must not turn it back.
  wall_time LatestLocal;
  once_id LastId = 0;
  std::unordered_map<once_id, entry> Entries;
  std::unordered_map<std::string, once_id> IdsByScope;
  std::unordered_map<std::string, std::size_t> CountsByWorkspace;
  /// Ends of the entries that no longer run.
  std::multimap<wall_time, once_id> Ends;
  std::size_t AnswerBytes = 0;
};

} // namespace magnoliaspread

#endif
