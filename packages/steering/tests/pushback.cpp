/// Pushback: a target shared by many instances sheds requests and asks for a
/// pause while other targets have free slots.
#include <magnoliaspread/placer.h>
#include <magnoliaspread/story.h>

#include <algorithm>
#include <deque>
#include <random>

using namespace magnoliaspread;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr steady_time Start{std::chrono::hours(1)};
constexpr service_handle Service{0};
constexpr std::uint64_t Kind = 7;
constexpr std::uint16_t Targets = 6;
constexpr target_handle Overloaded{0};
constexpr milliseconds Pause{2000};
/// Time for which requests sent before the answer may still arrive, and the
/// number allowed after it (RULES, BUDGET).
constexpr milliseconds Allowance{500};
constexpr std::size_t AllowedArrivals = 2;

std::vector<placer_target> rows() {
  std::vector<placer_target> Rows;
  for (std::uint16_t I = 0; I < Targets; ++I) {
    placer_target Row;
    Row.Handle = {I};
    Row.Service = Service;
    Row.Id = 1000U + I;
    Row.Slots = 8;
    Rows.push_back(Row);
  }
  return Rows;
}

place_request requestAt(steady_time Now, std::uint64_t Id) {
  place_request Request;
  Request.Id = Id;
  Request.Service = Service;
  Request.Object = 1 + Id % 40;
  Request.Kind = Kind;
  Request.Arrived = Now;
  Request.Deadline = Now + 2500ms;
  Request.GoodUntil = Now + 400ms;
  return Request;
}

target_outcome shedBy(target_handle Target, milliseconds PauseFor) {
  return {Target, 0, Kind, target_result::Shed, 1ms, {}, PauseFor};
}

/// One instance and counts of its requests.
struct steering_instance {
  struct running {
    std::uint64_t Object;
    target_handle Target;
    steady_time Ends;
  };

  placer Placer{placer_policy{}};
  std::deque<running> Running;
  /// When the overloaded target first asked for a pause.
  std::optional<steady_time> PausedAt;
  /// Requests to the paused target after the allowance.
  std::size_t Late = 0;
  std::size_t MostAfterPause = 0;
  std::size_t Served = 0;
  std::size_t Refused = 0;
};

/// Instances that share six targets; one of these sheds every request until
/// ShedsUntil.
class shared_targets {
public:
  explicit shared_targets(std::size_t Count) : Instances(Count) {
    for (steering_instance &Row : Instances)
      Row.Placer.setTargets(rows(), Now);
  }

  void run(milliseconds Time) {
    const steady_time End = Now + Time;
    for (; Now < End; Now += 1ms)
      for (steering_instance &Row : Instances) {
        finishDue(Row);
        if (Random() % 10 == 0)
          arrive(Row, requestAt(Now, ++LastId));
        for (const place_grant &Grant : Row.Placer.poll(Now))
          apply(Row, Grant.Verdict, Grant.Id);
      }
  }

  std::vector<steering_instance> Instances;
  steady_time Now = Start;
  steady_time ShedsUntil = Start + 1500ms;

private:
  void arrive(steering_instance &Row, const place_request &Request) {
    apply(Row, Row.Placer.place(Request, Now), Request.Id);
  }

  void apply(steering_instance &Row, const placement_verdict &Verdict,
             std::uint64_t Id) {
    if (std::holds_alternative<error>(Verdict))
      ++Row.Refused;
    const auto *Send = std::get_if<place_send>(&Verdict);
    if (Send == nullptr)
      return;
    if (Send->Target == Overloaded) {
      noteArrival(Row);
      if (Now < ShedsUntil) {
        if (!Row.PausedAt)
          Row.PausedAt = Now;
        return Row.Placer.finished(shedBy(Overloaded, Pause), Now);
      }
    }
    Row.Running.push_back({1 + Id % 40, Send->Target, Now + 60ms});
  }

  void noteArrival(steering_instance &Row) const {
    if (!Row.PausedAt)
      return;
    const auto Age = Now - *Row.PausedAt;
    if (Age > Allowance && Age < Pause)
      ++Row.Late;
    if (Age < Pause || Now < ShedsUntil)
      return;
    const auto InFlight = static_cast<std::size_t>(std::count_if(
        Row.Running.begin(), Row.Running.end(),
        [](const auto &Other) { return Other.Target == Overloaded; }));
    if (Age < Pause + 60ms)
      Row.MostAfterPause = std::max(Row.MostAfterPause, InFlight + 1);
  }

  void finishDue(steering_instance &Row) const {
    while (!Row.Running.empty() && Row.Running.front().Ends <= Now) {
      const auto Done = Row.Running.front();
      Row.Running.pop_front();
      ++Row.Served;
      Row.Placer.finished({Done.Target,
                           Done.Object,
                           Kind,
                           target_result::Answered,
                           60ms,
                           {},
                           {}},
                          Now);
    }
  }

  std::mt19937_64 Random{3};
  std::uint64_t LastId = 0;
};

} // namespace

STORY(a_target_that_pushes_back) {
  shared_targets Fleet(12);
  Fleet.run(6000ms);
  section("gets no more requests than allowed from any instance", [&] {
    for (const steering_instance &Row : Fleet.Instances) {
      CPPUNIT_ASSERT(Row.PausedAt);
      CPPUNIT_ASSERT(Row.Late <= AllowedArrivals);
    }
  });
  section("gets one request at a time after the pause", [&] {
    for (const steering_instance &Row : Fleet.Instances)
      CPPUNIT_ASSERT(Row.MostAfterPause <= 1);
  });
  section("its requests go to other targets meanwhile", [&] {
    for (const steering_instance &Row : Fleet.Instances) {
      CPPUNIT_ASSERT(Row.Served > 500);
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), Row.Refused);
    }
  });
}

STORY(all_targets_push_back) {
  placer Placer{placer_policy{}};
  Placer.setTargets(rows(), Start);
  for (std::uint16_t I = 0; I < Targets; ++I)
    Placer.finished(shedBy({I}, 3000ms + I * 100ms), Start);
  section("callers are refused until the end of the first pause", [&] {
    const auto Verdict = Placer.place(requestAt(Start + 1s, 1), Start + 1s);
    const auto *Refusal = std::get_if<error>(&Verdict);
    CPPUNIT_ASSERT(Refusal != nullptr);
    CPPUNIT_ASSERT(Refusal->RetryAfter == milliseconds(2000));
  });
  section("a probe that is shed pauses the target again", [&] {
    const steady_time Opens = Start + 3050ms;
    CPPUNIT_ASSERT(Placer.placeNow(requestAt(Opens, 2), Opens) == Overloaded);
    CPPUNIT_ASSERT(!Placer.placeNow(requestAt(Opens, 3), Opens));
    Placer.finished(shedBy(Overloaded, 1000ms), Opens);
    CPPUNIT_ASSERT(!Placer.accepts(Overloaded, Opens + 900ms));
  });
  section("a probe that is answered opens the target", [&] {
    const steady_time Opens = Start + 4100ms;
    CPPUNIT_ASSERT(Placer.accepts(Overloaded, Opens));
    Placer.finished(
        {Overloaded, 0, Kind, target_result::Answered, 50ms, {}, {}}, Opens);
    CPPUNIT_ASSERT(Placer.placeNow(requestAt(Opens, 4), Opens));
    CPPUNIT_ASSERT(Placer.placeNow(requestAt(Opens, 5), Opens));
  });
}

STORY(pushback_values) {
  pushback_table Table;
  section("an excessive time is limited", [&] {
    const steady_time Opens =
        Table.pause(Overloaded, std::chrono::hours(24), Start);
    CPPUNIT_ASSERT(Opens == Start + pushback_policy{}.MaxPause);
  });
  section("a shorter pause doesn't end a longer one", [&] {
    CPPUNIT_ASSERT(Table.pause(Overloaded, 10ms, Start) ==
                   Start + pushback_policy{}.MaxPause);
  });
  section("an answer to an earlier request doesn't end the pause", [&] {
    Table.answered(Overloaded, Start + 1s);
    CPPUNIT_ASSERT(Table.access(Overloaded, Start + 1s) ==
                   target_access::Paused);
  });
  section("a different target with the same handle is open", [&] {
    Table.forget(Overloaded);
    CPPUNIT_ASSERT(Table.access(Overloaded, Start + 1s) == target_access::Open);
    CPPUNIT_ASSERT(Table.access({9}, Start) == target_access::Open);
  });
}
