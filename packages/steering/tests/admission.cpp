/// Forecasts of answers, and when rejected callers return.
#include <magnoliaspread/admission.h>
#include <magnoliaspread/overload.h>
#include <magnoliaspread/returntimes.h>
#include <magnoliaspread/story.h>

#include <map>

using namespace magnoliaspread;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr steady_time Start{std::chrono::hours(1)};
constexpr service_handle Service{0};
constexpr std::uint64_t Kind = 7;

admission_query queryWith(milliseconds Ahead, milliseconds Left) {
  admission_query Query;
  Query.Service = Service;
  Query.Kind = Kind;
  Query.Usual = 400ms;
  Query.Ahead = Ahead;
  Query.Left = Left;
  Query.KeepsTurn = Left;
  return Query;
}

} // namespace

// Ten slots, work of 400 ms, and a queue that grows.
STORY(requests_queue_only_if_they_will_be_answered_in_time) {
  admission Admission{{true}};
  Admission.noteInFlight(Service, 10, Start);
  section("nothing ahead: the answer takes the service time", [&] {
    const auto Forecast = Admission.forecast(queryWith(0ms, 2000ms), Start);
    CPPUNIT_ASSERT(Forecast.Admitted);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.4, Forecast.Mean.count(), 1e-9);
    CPPUNIT_ASSERT(Forecast.Bound > Forecast.Mean);
  });
  section("10 s of slot time ahead take a second", [&] {
    const auto Forecast = Admission.forecast(queryWith(10000ms, 2000ms), Start);
    CPPUNIT_ASSERT(Forecast.Admitted);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.4, Forecast.Mean.count(), 1e-9);
  });
  section("beyond the deadline the request is rejected", [&] {
    const auto Forecast = Admission.forecast(queryWith(20000ms, 2000ms), Start);
    CPPUNIT_ASSERT(!Forecast.Admitted);
    CPPUNIT_ASSERT(Forecast.Reason == admission_reason::QueueTooLong);
    CPPUNIT_ASSERT(Forecast.UntilRoom > 0ms);
  });
  section("so is work that takes longer than the time left", [&] {
    const auto Forecast = Admission.forecast(queryWith(0ms, 300ms), Start);
    CPPUNIT_ASSERT(Forecast.Reason == admission_reason::TooLittleTime);
  });
  section("more urgent arrivals take from the slots", [&] {
    admission_query Query = queryWith(6000ms, 2000ms);
    Query.Priority = 1;
    CPPUNIT_ASSERT(Admission.forecast(Query, Start).Admitted);
    for (int I = 0; I < 8; ++I)
      Admission.noteAdmitted(Service, 0, 500ms, Start);
    CPPUNIT_ASSERT(!Admission.forecast(Query, Start).Admitted);
    CPPUNIT_ASSERT(!Admission.isMostUrgent(Service, 1, Start));
  });
  section("and are forgotten", [&] {
    admission_query Query = queryWith(6000ms, 2000ms);
    Query.Priority = 1;
    CPPUNIT_ASSERT(Admission.forecast(Query, Start + 5s).Admitted);
  });
}

// A thousand requests of 0.4 s rejected at once; 20 slots are free.
STORY(rejected_callers_return_at_the_rate_that_can_be_served) {
  return_times Times;
  return_query Query;
  Query.Service = Service;
  Query.SlotTime = 400ms;
  Query.FreeSlots = 20;
  Query.Left = 6000ms;
  std::map<std::int64_t, int> Returns;
  section("none later than a third of the time left", [&] {
    for (int I = 0; I < 1000; ++I) {
      const milliseconds After = Times.reserve(Query, Start);
      CPPUNIT_ASSERT(After > 0ms && After <= 2000ms);
      ++Returns[After.count() / 250];
    }
  });
  section("spread evenly over that time, within a tenth", [&] {
    for (milliseconds At = 250ms; At < 1750ms; At += 250ms)
      CPPUNIT_ASSERT_DOUBLES_EQUAL(125, Returns[At.count() / 250], 12.5);
  });
  section("a second service has its own time line", [&] {
    Query.Service = {1};
    CPPUNIT_ASSERT(Times.reserve(Query, Start) < 100ms);
  });
}

// Twelve requests of 0.4 s on one free slot take 4.8 s; with 20 free slots they
// fill the first 320 ms.
STORY(first_returns_fill_what_is_free) {
  return_times Times;
  return_query Query;
  Query.Service = Service;
  Query.SlotTime = 400ms;
  Query.FreeSlots = 20;
  Query.Left = 6000ms;
  section("by the rate", [&] {
    for (int I = 0; I < 12; ++I)
      CPPUNIT_ASSERT(Times.reserve(Query, Start) <= 450ms);
  });
  section("not before there is room", [&] {
    Query.UntilRoom = 900ms;
    CPPUNIT_ASSERT(Times.reserve(Query, Start) >= 900ms);
  });
  section("urgent requests still find a place in a filled slice", [&] {
    Query.UntilRoom = 0ms;
    for (int I = 0; I < 40; ++I)
      Times.reserve(Query, Start);
    const milliseconds Last = Times.reserve(Query, Start);
    Query.Preferred = true;
    CPPUNIT_ASSERT(Times.reserve(Query, Start) < Last);
  });
  section("reservations pass", [&] {
    CPPUNIT_ASSERT(Times.returning(Service, Start + 100ms) > 0);
    Query.Preferred = false;
    CPPUNIT_ASSERT(Times.reserve(Query, Start + 10s) < 100ms);
    CPPUNIT_ASSERT_EQUAL(0.0, Times.returning(Service, Start + 100ms));
  });
}

// A service rejects for a while.
STORY(overload_is_told_once_and_its_end_once) {
  overload_states States;
  States.noteRejected(Service, admission_reason::QueueTooLong, {8s, 4, 2s},
                      Start);
  States.noteRejected(Service, admission_reason::Expired, {9s, 4, 2s}, Start);
  const auto First = States.take(Start);
  CPPUNIT_ASSERT_EQUAL(std::size_t(1), First.size());
  CPPUNIT_ASSERT(First[0].Overloaded);
  CPPUNIT_ASSERT_EQUAL(4.0, First[0].Inputs.Slots);
  CPPUNIT_ASSERT(States.take(Start + 1s).empty());
  CPPUNIT_ASSERT_EQUAL(std::size_t(1), States.counts().OverloadedServices);
  const auto Last = States.take(Start + 2s);
  CPPUNIT_ASSERT(Last.size() == 1 && !Last[0].Overloaded);
  CPPUNIT_ASSERT_EQUAL(std::size_t(0), States.counts().OverloadedServices);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), States.counts().rejectedAtOnce());
}
