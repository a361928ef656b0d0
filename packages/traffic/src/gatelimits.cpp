/// The gate's handling of rate limits that targets announce.
#include "gate_p.h"

#include <magnoliaspread/log.h>

namespace magnoliaspread {

namespace {

std::string_view nameOf(limit_change Change) {
  switch (Change) {
  case limit_change::None:
    return "none";
  case limit_change::Announced:
    return "announced";
  case limit_change::Changed:
    return "changed";
  case limit_change::Withdrawn:
    return "withdrawn";
  }
  return "unknown";
}

} // namespace

void gate::state::noteTargetLimit(target_handle Target,
                                  const std::string &RequestId,
                                  const call_result &Result, boot_time SentAt) {
  const target_process &Row = Targets[Target.Index];
  const answer_head &Head = Result.Head;
  if (Head.WrongRequestId || Head.Misdirected)
    return;
  if (Head.RateLimitUnreadable) {
    if (TargetLimits.observeUnreadable(Row.Start))
      logEvent(log_level::Warning, "target_limit_unreadable",
               {{"target", Row.Name}, {"request_id", RequestId}});
    return;
  }
  // Only a whole, signed answer is sure to be complete in its fields.
  const bool Complete = Result.End == call_end::Answered && Head.Signed;
  if (!Head.RateLimit && !Complete)
    return;
  const limit_change Change =
      TargetLimits.observe(Row.Start, Head.RateLimit, SentAt, Clock.boot());
  if (Change == limit_change::None)
    return;
  logEvent(log_level::Info, "target_limit",
           {{"target", Row.Name},
            {"change", nameOf(Change)},
            {"rate", Head.RateLimit.value_or(0)},
            {"source", "answer"},
            {"request_id", RequestId}});
}

} // namespace magnoliaspread
