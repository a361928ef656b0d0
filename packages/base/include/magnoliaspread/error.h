/// Error kinds, how each is answered to callers, and the result type.
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
  /// No process accepts connections at its address.
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

/// How an error kind is answered to a caller.
struct error_answer {
  error_kind Kind;
  /// Stable name in answers, logs and metrics.
  std::string_view Name;
  /// HTTP status code.
  unsigned Status;
  run_state Run;
  /// Delay before a retry; empty when a retry can't succeed.
  std::optional<std::chrono::milliseconds> RetryAfter;
};

/// How \p Kind is answered.
const error_answer &answerOf(error_kind Kind);

/// Inverse of error_answer::Name.
std::optional<error_kind> errorKindOf(std::string_view Name);

/// "not_run", "may_have_run" or "ran".
std::string_view nameOf(run_state Run);

struct error {
  error_kind Kind = error_kind::Internal;
  /// Human-readable: what is wrong, and what is allowed.
  std::string Detail;
  /// Overrides error_answer::RetryAfter when the cause gives a better time.
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
