/// The closed list of error kinds, and the table from kind to answer.
#ifndef MAGNOLIASPREAD_ERROR_H
#define MAGNOLIASPREAD_ERROR_H

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace magnoliaspread {

enum class error_kind : std::uint8_t {
  BadRequest,
  HeaderTooLarge,
  BodyTooLarge,
  KeyMissing,
  KeyUnknown,
  KeyWithdrawn,
  UnknownRoute,
  DeadlineExpired,
  RateLimited,
  QueueFull,
  NoCapacity,
  ShiftCapped,
  LinkFull,
  Quarantined,
  Draining,
  TargetUnreachable,
  /// No process takes connections at its address.
  TargetDown,
  TargetShed,
  TargetFailed,
  TargetTimeout,
  OutcomeUnknown,
  TicketNeeded,
  RequestStalled,
  CallerGone,
  PeerUnreachable,
  PeerRejected,
  NotFound,
  VersionConflict,
  PlatformUnavailable,
  BadSettings,
  BadTable,
  BadDatagram,
  ForgedDatagram,
  Internal,
  Count,
};

/// What is known about a request's effect when an error is reported.
enum class run_state : std::uint8_t { NotRun, MayHaveRun, Ran };

/// How one kind of error is answered to a caller.
struct error_answer {
  error_kind Kind;
  /// Stable name in answers, logs and metrics.
  std::string_view Name;
  /// HTTP status code.
  unsigned Status;
  run_state Run;
  /// Earliest sensible repeat; empty when a repeat can't succeed.
  std::optional<std::chrono::milliseconds> RetryAfter;
};

/// The row for \p Kind.
const error_answer &answerOf(error_kind Kind);

/// The kind whose stable name is \p Name.
std::optional<error_kind> errorKindOf(std::string_view Name);

/// "not_run", "may_have_run" or "ran".
std::string_view nameOf(run_state Run);

struct error {
  error_kind Kind = error_kind::Internal;
  /// For people: what was wrong, and what is allowed.
  std::string Detail;
  /// Overrides the table's time when the cause gives a better one.
  std::optional<std::chrono::milliseconds> RetryAfter;
};

template <class T> using result = std::variant<T, error>;

/// Result of an operation that returns nothing on success.
using status = std::variant<std::monostate, error>;

template <class T> bool failed(const std::variant<T, error> &Result) {
  return std::holds_alternative<error>(Result);
}

template <class T> const error &errorOf(const std::variant<T, error> &Result) {
  return std::get<error>(Result);
}

template <class T> T &valueOf(std::variant<T, error> &Result) {
  return std::get<T>(Result);
}

template <class T> const T &valueOf(const std::variant<T, error> &Result) {
  return std::get<T>(Result);
}

} // namespace magnoliaspread

#endif
