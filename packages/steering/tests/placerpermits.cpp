#include <magnoliaspread/placer.h>
#include <magnoliaspread/story.h>

#include <map>
#include <variant>

using namespace magnoliaspread;
using namespace std::chrono_literals;

namespace {

constexpr steady_time Start{std::chrono::hours(1)};
constexpr target_handle Limited{0};
constexpr target_handle Other{1};

/// Permits of one limited target, set by the test.
class fake_permits final : public send_permits {
public:
  permit_state state(target_handle Target) override {
    return Target == Limited ? State : OtherState;
  }
  std::chrono::milliseconds untilAvailable(target_handle) override {
    return 700ms;
  }
  std::optional<double> rate(target_handle Target) override {
    return Target == Limited ? std::optional(Rate) : std::nullopt;
  }
  void spend(target_handle Target) override { ++Spent[Target.Index]; }
  void refund(target_handle Target) override { ++Refunded[Target.Index]; }
  void setWaiting(target_handle Target, std::uint32_t Requests) override {
    Waiting[Target.Index] = Requests;
  }

  permit_state State = permit_state::Unlimited;
  permit_state OtherState = permit_state::Unlimited;
  double Rate = 4;
  std::map<std::uint16_t, int> Spent;
  std::map<std::uint16_t, int> Refunded;
  std::map<std::uint16_t, std::uint32_t> Waiting;
};

std::vector<placer_target> targets() {
  std::vector<placer_target> Rows;
  for (const target_handle Handle : {Limited, Other}) {
    placer_target Row;
    Row.Handle = Handle;
    Row.Service = {0};
    Row.Id = 100U + Handle.Index;
    Row.Slots = 4;
    Rows.push_back(Row);
  }
  return Rows;
}

place_request requestAt(steady_time Now, std::uint64_t Id,
                        std::uint64_t Object = 5) {
  place_request Request;
  Request.Id = Id;
  Request.Service = {0};
  Request.Object = Object;
  Request.Kind = 7;
  Request.Arrived = Now;
  Request.Deadline = Now + 2000ms;
  Request.GoodUntil = Now + 400ms;
  return Request;
}

std::optional<target_handle> sentTo(const placement_verdict &Verdict) {
  const auto *Send = std::get_if<place_send>(&Verdict);
  return Send == nullptr ? std::nullopt : std::optional(Send->Target);
}

/// A placer whose limited target holds object 5.
struct fixture {
  fixture() {
    Placer.setTargets(targets(), Start);
    Placer.receive({{{5, 100, true}}, {}}, Start);
  }

  fake_permits Permits;
  placer Placer{placer_policy(), &Permits};
};

} // namespace

STORY(requests_need_permits_of_limited_targets) {
  fixture Fixture;
  placer &Placer = Fixture.Placer;
  fake_permits &Permits = Fixture.Permits;
  std::uint64_t Id = 0;
  section("with a permit the target gets its objects' requests", [&] {
    Permits.State = permit_state::Available;
    CPPUNIT_ASSERT(sentTo(Placer.place(requestAt(Start, ++Id), Start)) ==
                   Limited);
    CPPUNIT_ASSERT_EQUAL(1, Permits.Spent[Limited.Index]);
  });
  section("without one they go to another target at once", [&] {
    Permits.State = permit_state::Denied;
    CPPUNIT_ASSERT(sentTo(Placer.place(requestAt(Start, ++Id), Start)) ==
                   Other);
    CPPUNIT_ASSERT(Placer.placeNow(requestAt(Start, ++Id, 6), Start) == Other);
  });
  section("when all are denied they are refused with the time to retry", [&] {
    Permits.OtherState = permit_state::Denied;
    const auto Verdict = Placer.place(requestAt(Start, ++Id), Start);
    const auto *Refusal = std::get_if<error>(&Verdict);
    CPPUNIT_ASSERT(Refusal != nullptr && Refusal->RetryAfter == 700ms);
    Permits.OtherState = permit_state::Unlimited;
  });
  section("a permit of a request that wasn't sent is returned", [&] {
    Placer.finished({Limited, 5, 7, target_result::Abandoned, {}, {}, {}},
                    Start);
    CPPUNIT_ASSERT_EQUAL(1, Permits.Refunded[Limited.Index]);
    Placer.finished({Other, 5, 7, target_result::Abandoned, 3ms, {}, {}},
                    Start);
    CPPUNIT_ASSERT_EQUAL(0, Permits.Refunded[Other.Index]);
  });
}

STORY(requests_wait_for_permits) {
  fixture Fixture;
  placer &Placer = Fixture.Placer;
  fake_permits &Permits = Fixture.Permits;
  Permits.State = permit_state::Obtainable;
  const auto Waits = [&](std::uint64_t Id, steady_time Arrived) {
    return std::holds_alternative<place_wait>(
        Placer.place(requestAt(Arrived, Id), Start));
  };
  section("the owners learn how many wait", [&] {
    CPPUNIT_ASSERT(Waits(1, Start) && Waits(2, Start));
    CPPUNIT_ASSERT_EQUAL(2U, Permits.Waiting[Limited.Index]);
    CPPUNIT_ASSERT(Placer.cancel(1));
    CPPUNIT_ASSERT_EQUAL(1U, Permits.Waiting[Limited.Index]);
  });
  section("with a permit they are sent", [&] {
    Permits.State = permit_state::Available;
    const auto Grants = Placer.poll(Start + 3ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Grants.size());
    CPPUNIT_ASSERT(sentTo(Grants[0].Verdict) == Limited);
    CPPUNIT_ASSERT_EQUAL(0U, Permits.Waiting[Limited.Index]);
  });
  section("an old request doesn't wait", [&] {
    Permits.State = permit_state::Obtainable;
    CPPUNIT_ASSERT(!Waits(3, Start - 250ms));
    Placer.finished({Other, 5, 7, target_result::Answered, 100ms, {}, {}},
                    Start);
  });
  section("when permits are denied meanwhile it goes elsewhere", [&] {
    CPPUNIT_ASSERT(Waits(4, Start));
    Permits.State = permit_state::Denied;
    const auto Grants = Placer.poll(Start + 10ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Grants.size());
    CPPUNIT_ASSERT(sentTo(Grants[0].Verdict) == Other);
  });
}

// Guards against a limited target that is placed new objects on as if all its
// slots were free.
STORY(limited_targets_get_few_new_objects) {
  fixture Fixture;
  placer &Placer = Fixture.Placer;
  fake_permits &Permits = Fixture.Permits;
  constexpr std::uint64_t Objects = 200;
  // Objects placed on the limited target; the service time becomes known.
  const auto Placed = [&](std::uint64_t First, steady_time Now) {
    int OnLimited = 0;
    for (std::uint64_t Object = First; Object < First + Objects; ++Object) {
      const auto Target =
          sentTo(Placer.place(requestAt(Now, Object, Object), Now));
      CPPUNIT_ASSERT(Target.has_value());
      OnLimited += *Target == Limited;
      Placer.finished(
          {*Target, Object, 7, target_result::Answered, 100ms, {}, {}}, Now);
    }
    return OnLimited;
  };
  section("without a limit it gets its share", [&] {
    Permits.Rate = 1e6;
    CPPUNIT_ASSERT(Placed(1000, Start) > 60);
  });
  section("with four a second of forty it gets a tenth of that", [&] {
    Permits.Rate = 4;
    Permits.State = permit_state::Available;
    Placer.limitsChanged();
    CPPUNIT_ASSERT(Placed(2000, Start) < 40);
  });
}
