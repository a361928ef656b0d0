/// At-most-once execution of requests that are marked as not repeatable,
/// without a write to storage. A ticket names the only incarnation of an
/// instance that may run such a request. That incarnation deduplicates by
/// idempotency key while the ticket is valid; all other processes answer that
/// the outcome is unknown. Pure: time is passed in.
#ifndef MAGNOLIASPREAD_DEDUP_H
#define MAGNOLIASPREAD_DEDUP_H

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

/// Names the process that may run the requests that carry it.
struct dedup_ticket {
  /// Name of the instance.
  std::string Instance;
  std::uint64_t Incarnation = 0;
  /// Checked only by the named instance, by its own clock.
  wall_time ExpiresAt;

  bool operator==(const dedup_ticket &) const = default;
};

/// Message authentication code under the fleet's secret, in printable
/// characters without a dot.
using mac_function = std::function<std::string(std::string_view)>;

/// Printable text that fits an HTTP header.
std::string encodeTicket(const dedup_ticket &Ticket, const mac_function &Mac);

/// Checks the message authentication code and parses the ticket. BadRequest if
/// either fails.
result<dedup_ticket> decodeTicket(std::string_view Text,
                                  const mac_function &Mac);

struct dedup_settings {
  /// Lifetime of a new ticket.
  std::chrono::milliseconds TicketLife{60000};
  /// A ticket may expire this much later than one issued now.
  std::chrono::milliseconds MaxClockSkew{30000};
  std::size_t MaxEntries = 65536;
  std::size_t MaxEntriesPerWorkspace = 16384;
  /// Answer bodies stored for repeats: the largest one and their total. Of
  /// others only the status is stored.
  std::size_t MaxAnswerBytes = 4096;
  std::size_t MaxTotalAnswerBytes = 16u << 20;
};

struct dedup_request {
  std::string_view Workspace;
  /// Chosen by the caller, unique to each of its requests.
  std::string_view IdempotencyKey;
  /// Empty if the caller sent none.
  std::string_view Ticket;
  /// Hash of method, path and length; distinguishes a reused key from a repeat.
  std::uint64_t ContentHash = 0;
};

/// An answer stored for repeats of its request.
struct stored_answer {
  /// HTTP status code.
  unsigned Status = 0;
  std::string ContentType;
  std::string Body;
  /// False if the body was too large to store.
  bool HasBody = true;
};

using dedup_id = std::uint64_t;

enum class dedup_verdict : std::uint8_t {
  /// Run it now, and report its progress to the registry under Id.
  Run,
  /// It ran before; return Answer to the caller.
  Answered,
  /// Not run. The caller has to send it again with NewTicket.
  TicketNeeded,
  /// Only the process that Ticket names can decide. Forward it there without
  /// retries, or answer OutcomeUnknown.
  OtherInstance,
  /// Answer with Error, whose kind tells whether the request may have run.
  Refused,
};

struct dedup_decision {
  dedup_verdict Verdict = dedup_verdict::Refused;
  dedup_id Id = 0;
  std::optional<stored_answer> Answer;
  std::string NewTicket;
  std::optional<dedup_ticket> Ticket;
  std::optional<error> Error;
};

/// The requests that one incarnation of an instance runs or has run. Not
/// thread-safe.
class dedup_registry {
public:
  /// \p Incarnation is unique among all processes named \p Instance.
  dedup_registry(std::string Instance, std::uint64_t Incarnation,
                 const dedup_settings &Settings, mac_function Mac,
                 steady_time Now, wall_time WallNow);

  /// A ticket for this process.
  std::string issueTicket(steady_time Now) const;

  /// Errors in the decision: OutcomeUnknown, QueueFull (not run), BadRequest
  /// (not run: invalid ticket, or a key used for another request).
  dedup_decision admit(const dedup_request &Request, steady_time Now);

  /// Call before the first byte is sent to a target or peer.
  void sent(dedup_id Id);

  /// The request ran and was answered.
  void finish(dedup_id Id, stored_answer Answer, steady_time Now);

  /// The request was sent, but no complete answer arrived.
  void finishUnknown(dedup_id Id, steady_time Now);

  /// The request certainly didn't run: never sent, or the receiver said so. A
  /// repeat may run it.
  void finishNotRun(dedup_id Id);

  std::size_t size() const { return Entries.size(); }
  std::size_t answerBytes() const { return AnswerBytes; }

private:
  enum class state : std::uint8_t { Accepted, Sent, Finished, Unknown };

  struct entry {
    std::string Scope;
    std::string Workspace;
    std::uint64_t ContentHash = 0;
    state State = state::Accepted;
    stored_answer Answer;
    /// Stored at least until then, and while the request runs.
    wall_time KeepUntil;
  };

  wall_time localWall(steady_time Now) const;
  /// Forgets expired entries; returns the time to check tickets against.
  wall_time forgetExpired(steady_time Now);
  void forget(dedup_id Id);
  void scheduleExpiry(dedup_id Id);
  void setFinished(dedup_id Id, state State, wall_time Local);
  dedup_decision admitRepeat(dedup_id Id, const dedup_request &Request,
                             wall_time Local);
  dedup_decision admitNew(const dedup_request &Request, wall_time Local);
  dedup_decision accept(const dedup_request &Request, wall_time ExpiresAt);
  void extendExpiry(entry &Entry, const dedup_request &Request,
                    wall_time Local);

  std::string Instance;
  std::uint64_t Incarnation;
  dedup_settings Settings;
  mac_function Mac;
  steady_time StartedAt;
  wall_time WallAtStart;
  /// Keeps time monotonic when a caller passes an older reading.
  wall_time LatestLocal;
  dedup_id LastId = 0;
  std::unordered_map<dedup_id, entry> Entries;
  std::unordered_map<std::string, dedup_id> IdsByScope;
  std::unordered_map<std::string, std::size_t> CountsByWorkspace;
  /// Expiry of the entries whose requests no longer run.
  std::multimap<wall_time, dedup_id> Expiries;
  std::size_t AnswerBytes = 0;
};

} // namespace magnoliaspread

#endif
