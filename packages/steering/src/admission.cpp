#include <magnoliaspread/admission.h>

#include "placermath_p.h"

#include <algorithm>
#include <cmath>

namespace magnoliaspread {

namespace {

using seconds_double = std::chrono::duration<double>;

/// Spread of a kind that isn't measured yet, as a fraction of its usual time.
constexpr double UsualDeviation = 0.25;
/// Least part of the slots that serves requests behind more urgent ones; less
/// counts as none.
constexpr double LeastPart = 0.02;
constexpr double LeastWorkPart = 0.05;
/// Standard deviation of the slots that an instance's requests get, as a
/// fraction of them.
constexpr double SlotsDeviation = 0.1;

} // namespace

const char *nameOf(admission_reason Reason) {
  switch (Reason) {
  case admission_reason::TooLittleTime:
    return "too_little_time";
  case admission_reason::QueueTooLong:
    return "queue_too_long";
  case admission_reason::Outranked:
    return "outranked";
  case admission_reason::QueueFull:
    return "queue_full";
  case admission_reason::NoTarget:
    return "no_target";
  case admission_reason::Expired:
    return "expired";
  }
  return "unknown";
}

admission::service_row &admission::rowOf(service_handle Service) {
  if (Service.Index >= Services.size())
    Services.resize(Service.Index + 1U);
  return Services[Service.Index];
}

const admission::service_row *admission::find(service_handle Service) const {
  return Service.Index < Services.size() ? &Services[Service.Index] : nullptr;
}

void admission::noteAnswer(service_handle Service, std::uint64_t Kind,
                           seconds_double Took, bool Waited) {
  auto Found = Kinds.find(Kind);
  if (Found == Kinds.end()) {
    if (Kinds.size() >= Policy.MaxKinds)
      return;
    const double Deviation = Took.count() * UsualDeviation;
    Found = Kinds.emplace(Kind, kind_row{Took.count(), Deviation * Deviation})
                .first;
  }
  kind_row &Row = Found->second;
  const double Part = std::clamp(Row.Mean / Took.count(), LeastWorkPart, 1.0);
  double &WorkPart = rowOf(Service).WorkPart;
  WorkPart += (Part - WorkPart) * SampleWeight;
  if (Waited)
    return;
  const double Difference = Took.count() - Row.Mean;
  Row.Mean += Difference * SampleWeight;
  Row.Variance = (1 - SampleWeight) *
                 (Row.Variance + SampleWeight * Difference * Difference);
}

void admission::noteInFlight(service_handle Service, double InFlight,
                             steady_time Now) {
  service_row &Row = rowOf(Service);
  const double Kept =
      Row.Known ? std::exp(-seconds(Now - Row.At) / seconds(Policy.Memory)) : 0;
  Row.InFlight = Row.InFlight * Kept + InFlight * (1 - Kept);
  Row.Known = true;
  Row.At = Now;
}

void admission::noteOffered(service_handle Service, seconds_double SlotTime,
                            steady_time Now) {
  add(rowOf(Service).Offered, SlotTime.count(), Now);
}

void admission::add(class_row &Row, double SlotSeconds, steady_time Now) const {
  Row.Slots = decayed(Row, Now) + SlotSeconds / seconds(Policy.Memory);
  Row.At = Now;
}

double admission::decayed(const class_row &Row, steady_time Now) const {
  const double Age = std::max(0.0, seconds(Now - Row.At));
  return Row.Slots * std::exp(-Age / seconds(Policy.Memory));
}

void admission::noteAdmitted(service_handle Service, std::uint32_t Priority,
                             seconds_double SlotTime, steady_time Now) {
  service_row &Row = rowOf(Service);
  // The quietest class makes way for a new one.
  class_row *Class = &Row.Arrivals.front();
  for (class_row &Each : Row.Arrivals) {
    if (Each.Used && Each.Priority == Priority) {
      Class = &Each;
      break;
    }
    if (decayed(Each, Now) < decayed(*Class, Now))
      Class = &Each;
  }
  if (!Class->Used || Class->Priority != Priority)
    *Class = {Priority, 0, Now, true};
  add(*Class, SlotTime.count(), Now);
}

double admission::arrivingAhead(const service_row &Row, std::uint32_t Priority,
                                bool Equal, steady_time Now) const {
  double Slots = 0;
  for (const class_row &Each : Row.Arrivals)
    if (Each.Priority < Priority || (Equal && Each.Priority == Priority))
      Slots += decayed(Each, Now);
  return Slots;
}

double admission::offered(service_handle Service, steady_time Now) const {
  const service_row *Row = find(Service);
  return Row == nullptr ? 0 : decayed(Row->Offered, Now);
}

bool admission::isMostUrgent(service_handle Service, std::uint32_t Priority,
                             steady_time Now) const {
  const service_row *Row = find(Service);
  if (Row == nullptr)
    return false;
  const double Least = slots(Service) * LeastPart;
  double Behind = 0;
  for (const class_row &Each : Row->Arrivals)
    if (Each.Priority > Priority)
      Behind += decayed(Each, Now);
  return Behind > Least && arrivingAhead(*Row, Priority, false, Now) <= Least;
}

double admission::slots(service_handle Service) const {
  const service_row *Row = find(Service);
  return Row == nullptr ? 0 : Row->InFlight * Row->WorkPart;
}

service_spread admission::spread(std::uint64_t Kind,
                                 seconds_double Usual) const {
  const auto Found = Kinds.find(Kind);
  if (Found == Kinds.end())
    return {Usual, Usual * UsualDeviation};
  return {seconds_double(Found->second.Mean),
          seconds_double(std::sqrt(Found->second.Variance))};
}

admission_forecast admission::forecast(const admission_query &Query,
                                       steady_time Now) const {
  const service_row *Row = find(Query.Service);
  const service_spread Spread = spread(Query.Kind, Query.Usual);
  const double Mean = Spread.Mean.count();
  const double Whole = Query.Slots > 0 ? Query.Slots : slots(Query.Service);
  const double Urgent =
      Row == nullptr ? 0 : arrivingAhead(*Row, Query.Priority, false, Now);
  const double Ahead = Query.Ahead.count();
  const auto WaitWith = [&](double Slots) {
    if (Ahead <= 0)
      return 0.0;
    return Ahead / std::max(Slots, Whole * LeastPart + 1e-9);
  };
  double Wait = WaitWith(Whole - Urgent);
  const bool Outranked = Urgent > 0 && Whole - Urgent < Whole * LeastPart;
  // A sum of independent service times, drained by all slots at once.
  const double Runs = Mean > 0 ? Ahead / Mean : 0;
  const double WaitDeviation = std::hypot(
      Whole > 0 ? std::sqrt(Runs) * Spread.Deviation.count() / Whole : 0,
      Wait * SlotsDeviation);
  // Its turn would pass to later arrivals before it comes.
  if (Wait + Policy.Deviations * WaitDeviation > Query.KeepsTurn.count()) {
    const double Later =
        Row == nullptr ? 0 : arrivingAhead(*Row, Query.Priority, true, Now);
    Wait = std::max(Wait, WaitWith(Whole - Later));
  }
  const double Margin =
      Policy.Deviations * std::hypot(WaitDeviation, Spread.Deviation.count());
  admission_forecast Result;
  Result.Mean = std::max(Query.Expected, seconds_double(Wait) + Spread.Mean);
  Result.Bound = Result.Mean + seconds_double(Margin);
  Result.Admitted = Result.Bound <= Query.Left;
  if (Result.Admitted)
    return Result;
  if (Mean + Margin > Query.Left.count())
    Result.Reason = admission_reason::TooLittleTime;
  else if (Outranked)
    Result.Reason = admission_reason::Outranked;
  Result.UntilRoom = std::min(Result.Bound - Query.Left, Result.Mean);
  return Result;
}

} // namespace magnoliaspread
