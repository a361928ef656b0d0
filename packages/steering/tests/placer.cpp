/// Object placement under load: affinity to warm targets, overload, failing
/// targets, and updates from peers.
#include <magnoliaspread/placer.h>
#include <magnoliaspread/story.h>

#include <map>
#include <random>
#include <set>
#include <utility>

using namespace magnoliaspread;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr steady_time Start{std::chrono::hours(1)};
constexpr service_handle Service{0};
constexpr std::uint64_t Kind = 7;
constexpr milliseconds WarmTime{140};
constexpr milliseconds ColdTime{480};

std::vector<placer_target> targetsOf(std::uint16_t Count, std::uint32_t Slots) {
  std::vector<placer_target> Targets;
  for (std::uint16_t I = 0; I < Count; ++I) {
    placer_target Target;
    Target.Handle = {I};
    Target.Service = Service;
    Target.Id = 1000U + I;
    Target.Slots = Slots;
    Targets.push_back(Target);
  }
  return Targets;
}

place_request requestAt(steady_time Now, std::uint64_t Id,
                        std::uint64_t Object) {
  place_request Request;
  Request.Id = Id;
  Request.Service = Service;
  Request.Object = Object;
  Request.Kind = Kind;
  Request.Arrived = Now;
  Request.Deadline = Now + 2500ms;
  Request.GoodUntil = Now + 400ms;
  return Request;
}

std::optional<target_handle> sentTo(const placement_verdict &Verdict) {
  const auto *Send = std::get_if<place_send>(&Verdict);
  return Send == nullptr ? std::nullopt : std::optional(Send->Target);
}

void answer(placer &Placer, target_handle Target, std::uint64_t Object,
            milliseconds Took, steady_time Now) {
  Placer.finished({Target, Object, Kind, target_result::Answered, Took, {}, {}},
                  Now);
}

/// Targets that cache the objects they have handled, under load from one
/// instance; counts answers within the latency target.
class warm_load {
public:
  warm_load(std::uint16_t Targets, std::uint32_t Slots) {
    Placer.setTargets(targetsOf(Targets, Slots), Now);
  }

  /// Sends \p Rate requests a second for \p Objects objects during \p Time.
  void run(double Rate, std::uint64_t Objects, milliseconds Time) {
    const steady_time End = Now + Time;
    std::exponential_distribution<double> Gap(Rate);
    auto Next = Now;
    while (Now < End) {
      Now += 1ms;
      finishDue();
      for (; Next <= Now; Next += std::chrono::duration_cast<milliseconds>(
                              std::chrono::duration<double>(Gap(Random))))
        arrive(1 + Random() % Objects);
      for (const place_grant &Grant : Placer.poll(Now))
        apply(Grant.Id, Grant.Verdict);
    }
  }

  std::size_t Requested = 0;
  std::size_t Good = 0;
  std::size_t ColdRuns = 0;
  std::size_t MostOnTarget = 0;

private:
  struct running {
    std::uint64_t Id;
    target_handle Target;
    steady_time Sent;
    steady_time Ends;
  };

  void arrive(std::uint64_t Object) {
    const std::uint64_t Id = ++Requested;
    Requests[Id] = requestAt(Now, Id, Object);
    apply(Id, Placer.place(Requests[Id], Now));
  }

  void apply(std::uint64_t Id, const placement_verdict &Verdict) {
    const auto Target = sentTo(Verdict);
    if (!Target)
      return;
    const std::uint64_t Object = Requests[Id].Object;
    const bool Warm = Cached[Target->Index].contains(Object);
    ColdRuns += Warm ? 0 : 1;
    std::size_t Here = 1;
    steady_time Free = Now;
    for (const running &Row : Running)
      if (Row.Target == *Target)
        ++Here;
    MostOnTarget = std::max(MostOnTarget, Here);
    Running.push_back({Id, *Target, Now, Free + (Warm ? WarmTime : ColdTime)});
  }

  void finishDue() {
    std::vector<running> Still;
    for (const running &Row : std::exchange(Running, {})) {
      if (Row.Ends > Now) {
        Still.push_back(Row);
        continue;
      }
      const place_request &Request = Requests[Row.Id];
      Cached[Row.Target.Index].insert(Request.Object);
      Good += Now <= Request.GoodUntil ? 1 : 0;
      answer(Placer, Row.Target, Request.Object,
             std::chrono::duration_cast<milliseconds>(Now - Row.Sent), Now);
    }
    Still.insert(Still.end(), Running.begin(), Running.end());
    Running = std::move(Still);
  }

  placer Placer{placer_policy{}};
  steady_time Now = Start;
  std::mt19937_64 Random{1};
  std::map<std::uint64_t, place_request> Requests;
  std::map<std::uint16_t, std::set<std::uint64_t>> Cached;
  std::vector<running> Running;
};

} // namespace

STORY(placer_sends_objects_to_their_holders) {
  placer Placer{placer_policy{}};
  Placer.setTargets(targetsOf(8, 4), Start);
  const auto First = sentTo(Placer.place(requestAt(Start, 1, 5), Start));
  section("the first request goes to a target at once",
          [&] { CPPUNIT_ASSERT(First.has_value()); });
  section("a second one is queued instead of causing another cold run", [&] {
    const auto Verdict =
        Placer.place(requestAt(Start + 10ms, 2, 5), Start + 10ms);
    CPPUNIT_ASSERT(std::holds_alternative<place_wait>(Verdict));
  });
  section("it is sent to the same target when that is warm", [&] {
    answer(Placer, *First, 5, ColdTime, Start + ColdTime);
    const auto Grants = Placer.poll(Start + ColdTime);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Grants.size());
    CPPUNIT_ASSERT(sentTo(Grants[0].Verdict) == First);
  });
  section("an instance that receives the update uses the same target", [&] {
    placer Other{placer_policy{}};
    Other.setTargets(targetsOf(8, 4), Start);
    object_update News;
    News.Rows = Placer.takeUpdates();
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), News.Rows.size());
    Other.receive(News, Start + 600ms);
    CPPUNIT_ASSERT(Other.takeUpdates().empty());
    const auto Sent =
        sentTo(Other.place(requestAt(Start + 600ms, 1, 5), Start + 600ms));
    CPPUNIT_ASSERT(Sent == First);
  });
  section("when the target is removed the object moves to another", [&] {
    std::vector<placer_target> Left = targetsOf(8, 4);
    Left.erase(Left.begin() + First->Index);
    Placer.setTargets(Left, Start + 1s);
    const auto Sent =
        sentTo(Placer.place(requestAt(Start + 1s, 3, 5), Start + 1s));
    CPPUNIT_ASSERT(Sent && Sent != First);
  });
}

STORY(placer_under_a_load_near_the_warm_capacity) {
  // Warm, 8 targets of 4 slots answer 228 requests a second; cold, 66.
  section("a load three times the cold capacity stays warm", [&] {
    warm_load Load(8, 4);
    Load.run(150, 60, 3000ms);
    const std::size_t Before = Load.Requested;
    const std::size_t GoodBefore = Load.Good;
    Load.run(150, 60, 8000ms);
    const double Part = static_cast<double>(Load.Good - GoodBefore) /
                        static_cast<double>(Load.Requested - Before);
    CPPUNIT_ASSERT_MESSAGE("in good time " + std::to_string(Part), Part > 0.9);
  });
  section("objects are warmed up on few more targets", [&] {
    warm_load Load(8, 4);
    Load.run(150, 60, 8000ms);
    CPPUNIT_ASSERT(Load.ColdRuns <= std::size_t{2} * 60);
  });
  section("no target gets more than its slots and one request", [&] {
    warm_load Load(4, 2);
    Load.run(200, 30, 4000ms);
    CPPUNIT_ASSERT(Load.MostOnTarget <= 3);
  });
}

STORY(placer_refuses_early_and_in_order) {
  placer_policy Policy;
  placer Placer{Policy};
  Placer.setTargets(targetsOf(1, 1), Start);
  section("a request that can't be answered in time is refused at once", [&] {
    place_request TooShort = requestAt(Start, 1, 5);
    TooShort.Deadline = Start + 50ms;
    const auto Verdict = Placer.place(TooShort, Start);
    const auto *Refusal = std::get_if<error>(&Verdict);
    CPPUNIT_ASSERT(Refusal != nullptr);
    CPPUNIT_ASSERT(Refusal->RetryAfter && *Refusal->RetryAfter > 0ms);
  });
  section("the most urgent queued request is sent first", [&] {
    const auto Running = sentTo(Placer.place(requestAt(Start, 2, 6), Start));
    CPPUNIT_ASSERT(Running.has_value());
    place_request Later = requestAt(Start, 3, 6);
    Later.Priority = 2;
    place_request Urgent = requestAt(Start + 1ms, 4, 6);
    Urgent.Priority = 1;
    Placer.place(Later, Start);
    Placer.place(Urgent, Start + 1ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Placer.waiting());
    answer(Placer, *Running, 6, 140ms, Start + 140ms);
    const auto Grants = Placer.poll(Start + 140ms);
    CPPUNIT_ASSERT(!Grants.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), Grants[0].Id);
  });
  section("a request that isn't queued can't be cancelled",
          [&] { CPPUNIT_ASSERT(!Placer.cancel(99)); });
}

STORY(placer_limits_cold_and_failing_targets) {
  section("a cold target gets no more than its rate", [&] {
    placer Placer{placer_policy{}};
    std::vector<placer_target> Targets = targetsOf(1, 8);
    Targets[0].ColdUntil = Start + 3s;
    Targets[0].ColdRate = 2;
    Placer.setTargets(Targets, Start);
    int Sent = 0;
    for (int I = 0; I < 100; ++I) {
      const steady_time Now = Start + 10ms * I;
      if (const auto Target = sentTo(Placer.place(
              requestAt(Now, static_cast<std::uint64_t>(I) + 1, 0), Now))) {
        ++Sent;
        answer(Placer, *Target, 0, 5ms, Now);
      }
    }
    CPPUNIT_ASSERT(Sent >= 1 && Sent <= 3);
  });
  section("an unreachable target is paused with growing backoff", [&] {
    placer Placer{placer_policy{}};
    Placer.setTargets(targetsOf(1, 4), Start);
    const target_handle Target{0};
    const auto Fail = [&](steady_time Now) {
      Placer.finished(
          {Target, 0, Kind, target_result::Unreachable, 0ms, {}, {}}, Now);
    };
    CPPUNIT_ASSERT(sentTo(Placer.place(requestAt(Start, 1, 0), Start)));
    Fail(Start);
    CPPUNIT_ASSERT(!sentTo(Placer.place(requestAt(Start, 2, 0), Start)));
    const steady_time Again = Start + 310ms;
    CPPUNIT_ASSERT(sentTo(Placer.place(requestAt(Again, 3, 0), Again)));
    Fail(Again);
    CPPUNIT_ASSERT(
        !sentTo(Placer.place(requestAt(Again + 310ms, 4, 0), Again + 310ms)));
  });
  section("a target that a peer reports as full gets nothing", [&] {
    placer Placer{placer_policy{}};
    Placer.setTargets(targetsOf(1, 2), Start);
    object_update News;
    News.Loads.push_back({1000, 6});
    Placer.receive(News, Start);
    const auto Verdict = Placer.place(requestAt(Start, 1, 0), Start);
    CPPUNIT_ASSERT(std::holds_alternative<place_wait>(Verdict));
  });
}

STORY(placer_home_and_own_regions) {
  std::vector<placer_target> Targets = targetsOf(12, 4);
  for (std::uint16_t I = 0; I < 12; ++I) {
    Targets[I].Region = I < 2 ? 0 : 1;
    Targets[I].Distance =
        I < 2 ? target_distance::DataCentre : target_distance::Remote;
  }
  section("a request with a home region never leaves it", [&] {
    placer Placer{placer_policy{}};
    Placer.setTargets(Targets, Start);
    for (std::uint64_t Object = 1; Object < 200; ++Object) {
      place_request Request = requestAt(Start, Object, Object);
      Request.Homes.set(1);
      const auto Sent = sentTo(Placer.place(Request, Start));
      CPPUNIT_ASSERT(!Sent || Sent->Index >= 2);
    }
  });
  section("a region with few targets serves as many objects as these can", [&] {
    placer Placer{placer_policy{}};
    Placer.setTargets(Targets, Start);
    std::size_t Local = 0;
    for (std::uint64_t Object = 1; Object <= 400; ++Object) {
      const auto Sent =
          sentTo(Placer.place(requestAt(Start, Object, Object), Start));
      if (!Sent)
        continue;
      Local += Sent->Index < 2 ? 1 : 0;
      answer(Placer, *Sent, Object, Sent->Index < 2 ? 100ms : 190ms, Start);
    }
    // 400 objects times RegionFill 1.4 times 8 of 48 slots times 2 regions:
    // 187.
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Local), Local > 130 && Local < 240);
  });
  section("large bodies stay in their data centre", [&] {
    placer Placer{placer_policy{}};
    Placer.setTargets(Targets, Start);
    std::size_t Local = 0;
    for (std::uint64_t Object = 1; Object <= 100; ++Object) {
      place_request Request = requestAt(Start, Object, Object);
      Request.BodyBytes = 60000;
      const auto Sent = sentTo(Placer.place(Request, Start));
      if (!Sent)
        continue;
      Local += Sent->Index < 2 ? 1 : 0;
      answer(Placer, *Sent, Object, 100ms, Start);
    }
    CPPUNIT_ASSERT(Local >= 95);
  });
}
