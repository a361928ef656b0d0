/// Targets that share their machines with others: spells of 600 ms on 15 in
/// 100 of them in which work takes 2.5 times as long.
#include <magnoliaspread/placer.h>
#include <magnoliaspread/story.h>
#include <magnoliaspread/targetpace.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>

using namespace magnoliaspread;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr steady_time Start{std::chrono::hours(1)};
constexpr service_handle Service{0};
constexpr std::uint64_t Kind = 7;
constexpr std::size_t Instances = 12;
constexpr std::uint16_t TargetCount = 20;
constexpr std::uint32_t Slots = 9;
constexpr double WorkMs = 390;
constexpr milliseconds Good{1000};
constexpr milliseconds Step{5};
constexpr double SlowPart = 0.15;
constexpr double SlowFactor = 2.5;
constexpr milliseconds Spell{600};

std::vector<placer_target> targets() {
  std::vector<placer_target> Targets;
  for (std::uint16_t I = 0; I < TargetCount; ++I) {
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
  Request.GoodUntil = Now + Good;
  Request.Deadline = Now + 8000ms;
  return Request;
}

enum class figure { Absent, BelievedAtOnce, AsBuilt };

placer_policy policyFor(figure Figure) {
  placer_policy Policy;
  if (Figure == figure::BelievedAtOnce) {
    Policy.Pace.HalfLife = std::chrono::hours(1);
    Policy.Pace.MaxFactor = 100;
  }
  return Policy;
}

/// Instances of a region and targets that slow down at random; each object has
/// two warm holders.
class uneven_load {
public:
  uneven_load(figure Figure, std::uint64_t Seed)
      : Figure(Figure), Random(Seed), Paces(TargetCount, 1.0),
        Until(TargetCount, Start), Loads(TargetCount, 0) {
    object_update Warm;
    for (std::uint64_t Object = 1; Object <= Objects; ++Object)
      for (std::uint64_t I = 0; I < 2; ++I)
        Warm.Rows.push_back(
            {Object, 1000 + (Object + I * (1 + Object / 7)) % TargetCount,
             true});
    for (std::size_t I = 0; I < Instances; ++I) {
      Fleet.push_back(std::make_unique<placer>(policyFor(Figure)));
      Fleet.back()->setTargets(targets(), Now);
      Fleet.back()->receive(Warm, Now);
      Fleet.back()->takeUpdates();
    }
  }

  void run(double Rate, milliseconds Time) {
    std::exponential_distribution<double> Gap(Rate);
    std::chrono::duration<double> Ahead(Gap(Random));
    for (const steady_time End = Now + Time; Now < End; Now += Step) {
      changePaces();
      work();
      for (; Ahead < Step; Ahead += std::chrono::duration<double>(Gap(Random)))
        arrive();
      Ahead -= Step;
      for (std::size_t I = 0; I < Instances; ++I)
        for (const place_grant &Grant : Fleet[I]->poll(Now))
          apply(I, Grant.Id, Grant.Verdict);
      if ((Now - Start) % 100ms == 0ms)
        exchange();
    }
  }

  std::size_t Answers = 0;
  std::size_t Late = 0;
  std::size_t MostOnTarget = 0;

private:
  struct running {
    std::size_t Instance;
    std::uint64_t Id;
    target_handle Target;
    steady_time Sent;
    double LeftMs;
  };

  void changePaces() {
    for (std::size_t I = 0; I < TargetCount; ++I) {
      if (Until[I] > Now)
        continue;
      Paces[I] = 1;
      const double Start = std::chrono::duration<double>(Step) / Spell *
                           SlowPart / (1 - SlowPart);
      if (std::bernoulli_distribution(Start)(Random)) {
        Paces[I] = SlowFactor;
        Until[I] = Now + Spell;
      }
    }
  }

  void arrive() {
    const std::size_t Instance = Random() % Instances;
    const std::uint64_t Id = ++Requested;
    Requests[Id] = requestAt(Now, Id, 1 + Random() % Objects);
    apply(Instance, Id, Fleet[Instance]->place(Requests[Id], Now));
  }

  void apply(std::size_t Instance, std::uint64_t Id,
             const placement_verdict &Verdict) {
    const auto *Send = std::get_if<place_send>(&Verdict);
    if (Send == nullptr)
      return;
    std::lognormal_distribution<double> Work(std::log(WorkMs), 0.15);
    MostOnTarget = std::max(MostOnTarget, ++Loads[Send->Target.Index]);
    Running.push_back({Instance, Id, Send->Target, Now, Work(Random)});
  }

  void work() {
    std::vector<running> Still;
    for (running &Row : std::exchange(Running, {})) {
      const std::size_t Index = Row.Target.Index;
      const double Share = std::min(1.0, static_cast<double>(Slots) /
                                             static_cast<double>(Loads[Index]));
      Row.LeftMs -= static_cast<double>(Step.count()) / Paces[Index] * Share;
      if (Row.LeftMs > 0)
        Still.push_back(Row);
      else
        finish(Row);
    }
    Running = std::move(Still);
  }

  void finish(const running &Row) {
    const std::size_t Index = Row.Target.Index;
    --Loads[Index];
    ++Answers;
    Late += Now > Requests[Row.Id].GoodUntil ? 1 : 0;
    target_outcome End;
    End.Target = Row.Target;
    End.Object = Requests[Row.Id].Object;
    End.Kind = Kind;
    End.Took = Now - Row.Sent;
    End.Report =
        target_report{static_cast<std::uint32_t>(Loads[Index]), 0, Slots, {}};
    if (Figure != figure::Absent)
      End.Report->Pace = Paces[Index];
    Fleet[Row.Instance]->finished(End, Now);
  }

  void exchange() {
    for (std::size_t From = 0; From < Instances; ++From) {
      object_update Update;
      Update.Rows = Fleet[From]->takeUpdates();
      Update.Loads = Fleet[From]->takeLoadReports();
      for (std::size_t To = 0; To < Instances; ++To)
        if (To != From)
          Fleet[To]->receive(Update, Now);
    }
  }

  static constexpr std::uint64_t Objects = 60;
  figure Figure;
  std::mt19937_64 Random;
  std::vector<double> Paces;
  std::vector<steady_time> Until;
  std::vector<std::size_t> Loads;
  std::vector<std::unique_ptr<placer>> Fleet;
  steady_time Now = Start;
  std::uint64_t Requested = 0;
  std::map<std::uint64_t, place_request> Requests;
  std::vector<running> Running;
};

struct lateness {
  double Late = 0;
  std::size_t MostOnTarget = 0;
};

lateness play(figure Figure) {
  std::size_t Answers = 0;
  std::size_t Late = 0;
  lateness Sum;
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed) {
    uneven_load Load(Figure, Seed);
    Load.run(250, 15000ms);
    Answers += Load.Answers;
    Late += Load.Late;
    Sum.MostOnTarget = std::max(Sum.MostOnTarget, Load.MostOnTarget);
  }
  Sum.Late = static_cast<double>(Late) / static_cast<double>(Answers);
  return Sum;
}

} // namespace

// Twelve instances that hear the same figures, at 0.54 of the slots.
STORY(slow_spells_of_targets_repel_requests) {
  const lateness Ignored = play(figure::Absent);
  const lateness AtOnce = play(figure::BelievedAtOnce);
  const lateness Built = play(figure::AsBuilt);
  const std::string Text =
      "late: ignored " + std::to_string(Ignored.Late) + ", believed at once " +
      std::to_string(AtOnce.Late) + ", as built " + std::to_string(Built.Late) +
      "; most on a target " + std::to_string(Ignored.MostOnTarget) + ", " +
      std::to_string(AtOnce.MostOnTarget) + ", " +
      std::to_string(Built.MostOnTarget);
  section("fewer answers are late than with the figure ignored",
          [&] { CPPUNIT_ASSERT_MESSAGE(Text, Built.Late < Ignored.Late); });
  section("and than with the figure believed at once",
          [&] { CPPUNIT_ASSERT_MESSAGE(Text, Built.Late < AtOnce.Late); });
  section("no target gets more at once than with the figure ignored", [&] {
    CPPUNIT_ASSERT_MESSAGE(Text, Built.MostOnTarget <= Ignored.MostOnTarget);
  });
}

// A figure that is out of date, out of range, or of a target that was replaced.
STORY(a_reported_pace_is_believed_within_bounds) {
  target_paces Paces;
  const target_handle Target{3};
  section("an unknown target works as usual",
          [&] { CPPUNIT_ASSERT_EQUAL(1.0, Paces.factor(Target, Start)); });
  section("slowness is believed at first and fades", [&] {
    Paces.note(Target, 2.5, Start);
    CPPUNIT_ASSERT_EQUAL(2.5, Paces.factor(Target, Start));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Paces.slowTargets(Start));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Paces.slowTargets(Start + 3s));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.75, Paces.factor(Target, Start + 300ms),
                                 1e-9);
    CPPUNIT_ASSERT(Paces.factor(Target, Start + 3s) < 1.01);
  });
  section("a fast target doesn't attract", [&] {
    Paces.note(Target, 0.2, Start);
    CPPUNIT_ASSERT_EQUAL(1.0, Paces.factor(Target, Start));
  });
  section("an absurd figure is capped", [&] {
    Paces.note(Target, 100, Start);
    CPPUNIT_ASSERT_EQUAL(target_pace_policy().MaxFactor,
                         Paces.factor(Target, Start));
  });
  section("a replaced target starts without it", [&] {
    Paces.forget(Target);
    CPPUNIT_ASSERT_EQUAL(1.0, Paces.factor(Target, Start));
  });
  section("what the figure explains isn't learned as slowness", [&] {
    CPPUNIT_ASSERT_EQUAL(1.0, unexplainedSlowness(2.5, 2.5));
    CPPUNIT_ASSERT_EQUAL(2.0, unexplainedSlowness(5, 2.5));
    CPPUNIT_ASSERT_EQUAL(1.0, unexplainedSlowness(1.1, 2.5));
    CPPUNIT_ASSERT_EQUAL(0.8, unexplainedSlowness(0.8, 2.5));
    CPPUNIT_ASSERT_EQUAL(3.0, unexplainedSlowness(3, 1));
  });
}

// One instance has the answer, its peers of the region choose next.
STORY(peers_hear_of_a_slow_target) {
  placer Placer{placer_policy{}};
  placer Peer{placer_policy{}};
  for (placer *Each : {&Placer, &Peer})
    Each->setTargets(targets(), Start);
  const auto Answer = [&](std::optional<double> Pace) {
    target_outcome End;
    End.Target = {4};
    End.Object = 5;
    End.Kind = Kind;
    End.Took = 390ms;
    End.Report = target_report{0, 0, Slots, Pace};
    Placer.finished(End, Start);
    return Placer.takeLoadReports();
  };
  section("an idle target without a figure isn't told of",
          [&] { CPPUNIT_ASSERT(Answer({}).empty()); });
  section("nor one at its usual pace",
          [&] { CPPUNIT_ASSERT(Answer(1.0).empty()); });
  section("a slow one is, and its peer prefers another holder", [&] {
    object_update Update;
    Update.Loads = Answer(2.5);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Update.Loads.size());
    CPPUNIT_ASSERT_EQUAL(250U, Update.Loads[0].PacePercent);
    Update.Rows = {{5, 1004, true}, {5, 1009, true}};
    Peer.receive(Update, Start);
    const auto Verdict = Peer.place(requestAt(Start, 1, 5), Start);
    const auto *Send = std::get_if<place_send>(&Verdict);
    CPPUNIT_ASSERT(Send != nullptr && Send->Target.Index == 9);
  });
}
