#include <magnoliaspread/error.h>

#include <array>
#include <cstddef>

namespace magnoliaspread {

using std::chrono::milliseconds;

namespace {

constexpr std::size_t KindCount = static_cast<std::size_t>(error_kind::Count);
/// Retry delays of callers.
constexpr milliseconds ShortDelay{100};
constexpr milliseconds MediumDelay{1000};
constexpr milliseconds LongDelay{10000};

using enum error_kind;
using enum run_state;

constexpr std::array<error_answer, KindCount> Answers{{
    {BadRequest, "bad_request", 400, NotRun, {}},
    {HeaderTooLarge, "header_too_large", 431, NotRun, {}},
    {BodyTooLarge, "body_too_large", 413, MayHaveRun, {}},
    {KeyMissing, "key_missing", 401, NotRun, {}},
    {KeyUnknown, "key_unknown", 401, NotRun, {}},
    {KeyWithdrawn, "key_withdrawn", 403, NotRun, {}},
    {UnknownRoute, "unknown_route", 404, NotRun, {}},
    {DeadlineExpired, "deadline_expired", 504, NotRun, ShortDelay},
    {RateLimited, "rate_limited", 429, NotRun, MediumDelay},
    {QueueFull, "queue_full", 503, NotRun, MediumDelay},
    {NoCapacity, "no_capacity", 503, NotRun, MediumDelay},
    {ShiftCapped, "shift_capped", 503, NotRun, LongDelay},
    {LinkFull, "link_full", 503, NotRun, MediumDelay},
    {Quarantined, "quarantined", 422, NotRun, LongDelay},
    {Draining, "draining", 503, NotRun, ShortDelay},
    {TargetUnreachable, "target_unreachable", 503, NotRun, MediumDelay},
    {TargetDown, "target_down", 503, NotRun, MediumDelay},
    {TargetShed, "target_shed", 503, NotRun, MediumDelay},
    {TargetFailed, "target_failed", 502, MayHaveRun, MediumDelay},
    {TargetTimeout, "target_timeout", 504, MayHaveRun, MediumDelay},
    {OutcomeUnknown, "outcome_unknown", 409, MayHaveRun, {}},
    {TicketNeeded, "ticket_needed", 428, NotRun, milliseconds(0)},
    {RequestStalled, "request_stalled", 408, MayHaveRun, ShortDelay},
    {CallerGone, "caller_gone", 499, MayHaveRun, {}},
    {PeerUnreachable, "peer_unreachable", 503, NotRun, MediumDelay},
    {PeerRejected, "peer_rejected", 403, NotRun, {}},
    {NotFound, "not_found", 404, NotRun, {}},
    {VersionConflict, "version_conflict", 409, NotRun, ShortDelay},
    {PlatformUnavailable, "platform_unavailable", 503, MayHaveRun, MediumDelay},
    {BadSettings, "bad_settings", 400, NotRun, {}},
    {BadTable, "bad_table", 400, NotRun, {}},
    {BadDatagram, "bad_datagram", 400, NotRun, {}},
    {ForgedDatagram, "forged_datagram", 403, NotRun, {}},
    {Internal, "internal", 500, MayHaveRun, MediumDelay},
}};

constexpr bool answersFollowEnumOrder() {
  for (std::size_t I = 0; I < KindCount; ++I)
    if (static_cast<std::size_t>(Answers[I].Kind) != I)
      return false;
  return true;
}
static_assert(answersFollowEnumOrder());

} // namespace

const error_answer &answerOf(error_kind Kind) {
  return Answers[static_cast<std::size_t>(Kind)];
}

std::optional<error_kind> errorKindOf(std::string_view Name) {
  for (const error_answer &Row : Answers)
    if (Row.Name == Name)
      return Row.Kind;
  return std::nullopt;
}

std::string_view nameOf(run_state Run) {
  switch (Run) {
  case run_state::NotRun:
    return "not_run";
  case run_state::MayHaveRun:
    return "may_have_run";
  case run_state::Ran:
    return "ran";
  }
  return "may_have_run";
}

} // namespace magnoliaspread
