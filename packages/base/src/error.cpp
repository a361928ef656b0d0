#include <magnoliaspread/error.h>

#include <array>
#include <cstddef>

namespace magnoliaspread {

using std::chrono::milliseconds;

namespace {

constexpr std::size_t KindCount = static_cast<std::size_t>(error_kind::Count);
constexpr milliseconds Soon{100};
constexpr milliseconds Later{1000};
constexpr milliseconds MuchLater{10000};

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
    {DeadlineExpired, "deadline_expired", 504, NotRun, Soon},
    {RateLimited, "rate_limited", 429, NotRun, Later},
    {QueueFull, "queue_full", 503, NotRun, Later},
    {NoCapacity, "no_capacity", 503, NotRun, Later},
    {ShiftCapped, "shift_capped", 503, NotRun, MuchLater},
    {LinkFull, "link_full", 503, NotRun, Later},
    {Quarantined, "quarantined", 422, NotRun, MuchLater},
    {Draining, "draining", 503, NotRun, Soon},
    {TargetUnreachable, "target_unreachable", 503, NotRun, Later},
    {TargetDown, "target_down", 503, NotRun, Later},
    {TargetShed, "target_shed", 503, NotRun, Later},
    {TargetFailed, "target_failed", 502, MayHaveRun, Later},
    {TargetTimeout, "target_timeout", 504, MayHaveRun, Later},
    {OutcomeUnknown, "outcome_unknown", 409, MayHaveRun, {}},
    {TicketNeeded, "ticket_needed", 428, NotRun, milliseconds(0)},
    {RequestStalled, "request_stalled", 408, MayHaveRun, Soon},
    {CallerGone, "caller_gone", 499, MayHaveRun, {}},
    {PeerUnreachable, "peer_unreachable", 503, NotRun, Later},
    {PeerRejected, "peer_rejected", 403, NotRun, {}},
    {NotFound, "not_found", 404, NotRun, {}},
    {VersionConflict, "version_conflict", 409, NotRun, Soon},
    {PlatformUnavailable, "platform_unavailable", 503, MayHaveRun, Later},
    {BadSettings, "bad_settings", 400, NotRun, {}},
    {BadTable, "bad_table", 400, NotRun, {}},
    {BadDatagram, "bad_datagram", 400, NotRun, {}},
    {ForgedDatagram, "forged_datagram", 403, NotRun, {}},
    {Internal, "internal", 500, MayHaveRun, Later},
}};

constexpr bool rowsFollowTheEnum() {
  for (std::size_t I = 0; I < KindCount; ++I)
    if (static_cast<std::size_t>(Answers[I].Kind) != I)
      return false;
  return true;
}
static_assert(rowsFollowTheEnum());

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
