/// The gate's handling of rate limits that targets announce.
#include "gate_p.h"

#include <magnoliaspread/log.h>

#include <algorithm>
#include <iterator>

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
  target_limits &Limits = Permits.limits();
  if (Head.RateLimitUnreadable) {
    if (Limits.observeUnreadable(Row.Start))
      logEvent(log_level::Warning, "target_limit_unreadable",
               {{"target", Row.Name}, {"request_id", RequestId}});
    return;
  }
  // Only a whole, signed answer is sure to be complete in its fields.
  const bool Complete = Result.End == call_end::Answered && Head.Signed;
  if (!Head.RateLimit && !Complete)
    return;
  const limit_change Change =
      Limits.observe(Row.Start, Head.RateLimit, SentAt, Clock.boot());
  if (Change == limit_change::None)
    return;
  logEvent(log_level::Info, "target_limit",
           {{"target", Row.Name},
            {"change", nameOf(Change)},
            {"rate", Head.RateLimit.value_or(0)},
            {"source", "answer"},
            {"request_id", RequestId}});
  targetLimitsChanged();
}

void gate::state::targetLimitsChanged() {
  Placer.limitsChanged();
  if (Placer.waiting() > 0)
    wakePlaced();
}

void gate::state::mergeLimits(const limit_update &Update) {
  const std::vector<learned_limit> Learned =
      Permits.limits().merge(Update, Clock.boot());
  for (const learned_limit &Row : Learned) {
    const auto Known = std::find_if(Targets.begin(), Targets.end(),
                                    [&](const target_process &Target) {
                                      return Target.Start == Row.Target;
                                    });
    logEvent(log_level::Info, "target_limit",
             {{"target",
               Known == Targets.end() ? std::string("unknown") : Known->Name},
              {"change", nameOf(Row.Change)},
              {"rate", Row.Rate.value_or(0)},
              {"source", "peer"}});
  }
  if (!Learned.empty())
    targetLimitsChanged();
}

void gate::state::requestPermits() {
  if (Permits.limits().empty() || !OnPermitRequest)
    return;
  for (const outgoing_permit_request &Row : Permits.lender().tick(Clock.boot()))
    OnPermitRequest(Row);
}

void gate::setLimitInstances(std::vector<permit_instance> Alive) {
  State->Permits.lender().setInstances(std::move(Alive), State->Clock.boot());
}

void gate::limitInstanceLeft(const std::string &Name) {
  State->Permits.lender().instanceLeft(Name);
}

void gate::onPermitRequest(permit_request_handler Handler) {
  State->OnPermitRequest = std::move(Handler);
}

std::vector<limit_message> gate::gossipLimits(std::size_t Peers) {
  return State->Permits.limits().pendingMessages(Peers, State->Clock.boot());
}

void gate::receive(const limit_update &Update) { State->mergeLimits(Update); }

permit_grant gate::answer(const permit_request &Request, std::uint64_t Sender) {
  State->mergeLimits({{Request.Limit}});
  return State->Permits.lender().answer(Request, Sender, State->Clock.boot());
}

void gate::receive(const permit_grant &Grant) {
  State->mergeLimits({{Grant.Limit}});
  State->Permits.lender().accept(Grant, State->Clock.boot());
  if (State->Placer.waiting() > 0)
    State->wakePlaced();
  // Another owner may have what this one denied.
  State->requestPermits();
}

} // namespace magnoliaspread
