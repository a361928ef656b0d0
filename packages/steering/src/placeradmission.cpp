/// The placer's queueing by forecast, and the times at which callers return.
#include <magnoliaspread/placer.h>

#include "placermath_p.h"

#include <algorithm>
#include <tuple>

namespace magnoliaspread {

using std::chrono::duration;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds InFlightPeriod{10};
/// Part of the expected answer's bound that a request sent at once must meet.
constexpr double DeadlinePart = 0.9;
/// Least part of the slots that is offered to returning requests: while new
/// requests take all, they still get their chance.
constexpr double LeastReturnPart = 0.2;
/// With a smaller part of the route's time left, a request was rejected before.
constexpr double FreshPart = 0.75;

} // namespace

duration<double> placer::slotTime(const place_request &Request) const {
  return Admission
      .spread(Request.Kind, duration<double>(serviceSeconds(Request, true)))
      .Mean;
}

void placer::noteArrival(const place_request &Request, steady_time Now) {
  if (!Admission.enabled() || Request.Service.Index >= ByService.size())
    return;
  updateInFlight(Now);
  Admission.noteOffered(Request.Service, slotTime(Request), Now);
}

void placer::updateInFlight(steady_time Now) {
  if (!Admission.enabled() || Now < NextInFlight)
    return;
  NextInFlight = Now + InFlightPeriod;
  for (std::size_t I = 0; I < ByService.size(); ++I) {
    std::uint32_t Sum = 0;
    for (const target_handle Handle : ByService[I])
      Sum += Targets[Handle.Index].InFlight;
    Admission.noteInFlight(handleAt<service_handle>(I), Sum, Now);
  }
}

duration<double> placer::queuedAhead(const place_request &Request,
                                     steady_time Now) const {
  const auto Order = [Now](const place_request &Each) {
    return std::tuple(Each.GoodUntil <= Now, Each.Priority, Each.Arrived,
                      Each.Id);
  };
  duration<double> Ahead{0};
  for (const waiting_request &Row : Waiting)
    if (Row.Request.Service == Request.Service &&
        Order(Row.Request) < Order(Request))
      Ahead += slotTime(Row.Request);
  return Ahead;
}

admission_forecast placer::forecast(const place_request &Request,
                                    const choice &Choice, steady_time Now) {
  admission_query Query;
  Query.Service = Request.Service;
  Query.Kind = Request.Kind;
  Query.Usual = duration<double>(serviceSeconds(Request, true));
  Query.Expected = duration<double>(Choice.Expected);
  Query.Ahead = queuedAhead(Request, Now);
  Query.Left = Request.Deadline - Now;
  Query.KeepsTurn = Request.GoodUntil - Now;
  Query.Priority = Request.Priority;
  return Admission.forecast(Query, Now);
}

placement_verdict placer::decideByForecast(const place_request &Request,
                                           const std::optional<choice> &Choice,
                                           steady_time Now, wait_reason &Wait) {
  if (!Choice)
    return withoutTarget(Request, Now, Wait);
  const bool WasQueued = Wait.Target.valid();
  const double Left = seconds(Request.Deadline - Now);
  const double Allowed = WasQueued ? Left : Left * DeadlinePart;
  admission_forecast Forecast;
  Forecast.Mean = Forecast.Bound = duration<double>(Choice->Expected);
  if (Choice->Expected > Allowed) {
    Forecast.Reason =
        WasQueued ? admission_reason::Expired : admission_reason::QueueTooLong;
    Forecast.UntilRoom = duration<double>(Choice->Expected - Allowed);
    return reject(Request, Wait, Forecast, Now);
  }
  const bool NeedsPermit = permitOf(Choice->Target) == permit_state::Obtainable;
  const bool Sends = Choice->HasFreeSlot && !NeedsPermit;
  if (!Sends && !WasQueued) {
    Forecast = forecast(Request, *Choice, Now);
    if (!Forecast.Admitted)
      return reject(Request, Wait, Forecast, Now);
  }
  if (!WasQueued && (Sends || !Wait.OnlyNow))
    Admission.noteAdmitted(Request.Service, Request.Priority, slotTime(Request),
                           Now);
  if (Sends) {
    start(Request, Choice->Target, Now);
    if (Choice->IsNearHolder)
      Crossing.noteNearHolder();
    return place_send{Choice->Target};
  }
  if (!WasQueued && !Wait.OnlyNow)
    Overload.noteQueued();
  Wait.Target = Choice->Target;
  Wait.ForPermit = Choice->HasFreeSlot && NeedsPermit;
  return place_wait{};
}

/// A queued request outlasts a pause of all targets while there is time.
placement_verdict placer::withoutTarget(const place_request &Request,
                                        steady_time Now,
                                        const wait_reason &Wait) {
  const error Plain = noUsableTarget(Request, Now);
  admission_forecast Forecast;
  Forecast.Reason = admission_reason::NoTarget;
  Forecast.UntilRoom = Plain.RetryAfter.value_or(milliseconds(0));
  Forecast.Mean = Forecast.Bound = Forecast.UntilRoom + slotTime(Request);
  if (Wait.Target.valid() && Forecast.Mean < Request.Deadline - Now)
    return place_wait{};
  return reject(Request, Wait, Forecast, Now);
}

error placer::reject(const place_request &Request, const wait_reason &Wait,
                     const admission_forecast &Forecast, steady_time Now) {
  error Refusal{error_kind::NoCapacity, "no target can answer in time", {}};
  if (Wait.OnlyNow || Request.Service.Index >= ByService.size())
    return Refusal;
  const double Slots = Admission.slots(Request.Service);
  Overload.noteRejected(Request.Service, Forecast.Reason,
                        {queuedAhead(Request, Now), Slots, Forecast.Bound},
                        Now);
  // Returning requests are counted among the offered ones.
  const double Returning = Returns.returning(Request.Service, Now);
  const double New =
      std::max(0.0, Admission.offered(Request.Service, Now) - Returning);
  return_query Query;
  Query.Service = Request.Service;
  Query.SlotTime = slotTime(Request);
  Query.FreeSlots = std::max(Slots * LeastReturnPart, Slots - New);
  Query.UntilRoom = Forecast.UntilRoom;
  Query.Left = Request.Deadline - Now;
  const bool RejectedBefore =
      Request.UsualTime.count() > 0 &&
      Query.Left < duration<double>(Request.UsualTime) * FreshPart;
  Query.Preferred =
      RejectedBefore ||
      Admission.isMostUrgent(Request.Service, Request.Priority, Now);
  Refusal.RetryAfter = Returns.reserve(Query, Now);
  return Refusal;
}

error placer::queueFull(const place_request &Request, steady_time Now) {
  error Refusal{error_kind::QueueFull, "too many queued requests", {}};
  if (!Admission.enabled())
    return Refusal;
  admission_forecast Forecast;
  Forecast.Reason = admission_reason::QueueFull;
  Refusal.RetryAfter = reject(Request, {}, Forecast, Now).RetryAfter;
  return Refusal;
}

} // namespace magnoliaspread
