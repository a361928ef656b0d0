/// Answers that cross data centres: downloads of 90 KB and reads of 1.5 KB over
/// links that are narrow or dear.
#include <magnoliaspread/crossing.h>
#include <magnoliaspread/ownership.h>
#include <magnoliaspread/placer.h>
#include <magnoliaspread/story.h>

#include <array>
#include <cmath>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>

using namespace magnoliaspread;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr steady_time Start{std::chrono::hours(1)};
constexpr service_handle Service{0};
constexpr std::uint64_t Kind = 7;
constexpr milliseconds WarmTime{300};
constexpr milliseconds ColdTime{1000};
constexpr milliseconds Good{800};
constexpr milliseconds Step{5};
constexpr crossing_costs Costs{milliseconds(2000), milliseconds(4000)};
constexpr std::size_t LargeAnswer = 90000;
constexpr std::size_t SmallAnswer = 1500;
constexpr std::size_t DataCentres = 2;
constexpr std::uint16_t TargetsEach = 4;
constexpr std::uint32_t Slots = 9;
/// Five times the expected time until answers of 90 KB, twice a second, have
/// cost as much as a late cold run.
constexpr milliseconds SettleTime{20000};

std::size_t dataCentreOf(target_handle Target) {
  return Target.Index / TargetsEach;
}

/// Targets of both data centres as seen from one of them.
std::vector<placer_target> targetsFrom(std::size_t DataCentre) {
  std::vector<placer_target> Targets;
  for (std::uint16_t I = 0; I < DataCentres * TargetsEach; ++I) {
    placer_target Target;
    Target.Handle = {I};
    Target.Service = Service;
    Target.Id = 1000U + I;
    Target.Slots = Slots;
    Target.Distance = dataCentreOf({I}) == DataCentre
                          ? target_distance::DataCentre
                          : target_distance::Region;
    Targets.push_back(Target);
  }
  return Targets;
}

placer_policy policyWith(const crossing_costs &Crossing) {
  placer_policy Policy;
  Policy.Crossing = Crossing;
  return Policy;
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
  Request.Deadline = Now + 6000ms;
  return Request;
}

/// Two data centres of a region whose callers ask for the same objects.
class region_load {
public:
  region_load(std::size_t Instances, const crossing_costs &Crossing,
              std::size_t AnswerBytes)
      : AnswerBytes(AnswerBytes), EachSide(Instances) {
    for (std::size_t I = 0; I < DataCentres * Instances; ++I) {
      Fleet.push_back(std::make_unique<placer>(policyWith(Crossing)));
      Fleet.back()->setTargets(targetsFrom(I / Instances), Now);
    }
  }

  /// Sends \p Rate requests a second in each data centre.
  void run(double Rate, std::uint64_t Objects, milliseconds Time) {
    std::exponential_distribution<double> Gap(Rate * DataCentres);
    std::chrono::duration<double> Ahead(Gap(Random));
    for (const steady_time End = Now + Time; Now < End; Now += Step) {
      finishDue();
      for (; Ahead < Step; Ahead += std::chrono::duration<double>(Gap(Random)))
        arrive(1 + Random() % Objects);
      Ahead -= Step;
      for (std::size_t I = 0; I < Fleet.size(); ++I)
        for (const place_grant &Grant : Fleet[I]->poll(Now))
          apply(I, Grant.Id, Grant.Verdict);
      if ((Now - Start) % 100ms == 0ms)
        exchange();
    }
  }

  /// Resets the counts below.
  void startCounting() { Answers = Crossed = Late = Refused = ColdRuns = 0; }

  /// Part of the answers that crossed.
  double crossedPart() const {
    return static_cast<double>(Crossed) /
           static_cast<double>(std::max<std::size_t>(1, Answers));
  }

  std::size_t AnswerBytes;
  std::size_t Answers = 0;
  std::size_t Crossed = 0;
  std::size_t Late = 0;
  std::size_t Refused = 0;
  std::size_t ColdRuns = 0;
  /// Largest load of a target before a request was sent to it, as the sending
  /// instance knew it.
  double MostBefore = 0;

private:
  struct running {
    std::size_t Instance;
    std::uint64_t Id;
    target_handle Target;
    steady_time Sent;
    steady_time Ends;
  };

  void arrive(std::uint64_t Object) {
    const std::size_t Instance = Random() % Fleet.size();
    const std::uint64_t Id = ++Requested;
    Requests[Id] = requestAt(Now, Id, Object);
    apply(Instance, Id, Fleet[Instance]->place(Requests[Id], Now));
  }

  void apply(std::size_t Instance, std::uint64_t Id,
             const placement_verdict &Verdict) {
    if (std::holds_alternative<error>(Verdict))
      ++Refused;
    const auto *Send = std::get_if<place_send>(&Verdict);
    if (Send == nullptr)
      return;
    const bool Warm = Cached[Send->Target.Index].contains(Requests[Id].Object);
    ColdRuns += Warm ? 0 : 1;
    ++Loads[Send->Target.Index];
    MostBefore =
        std::max(MostBefore, Fleet[Instance]->loadOf(Send->Target, Now) - 1);
    Running.push_back(
        {Instance, Id, Send->Target, Now, Now + (Warm ? WarmTime : ColdTime)});
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
      const auto Load =
          static_cast<std::uint32_t>(Loads[Row.Target.Index]-- - 1);
      ++Answers;
      Late += Now > Request.GoodUntil ? 1 : 0;
      Crossed += dataCentreOf(Row.Target) == Row.Instance / EachSide ? 0 : 1;
      target_outcome End;
      End.Target = Row.Target;
      End.Object = Request.Object;
      End.Kind = Kind;
      End.Took = Now - Row.Sent;
      End.Report = target_report{Load, 0, Slots, {}};
      End.AnswerBytes = AnswerBytes;
      Fleet[Row.Instance]->finished(End, Now);
    }
    Running = std::move(Still);
  }

  void exchange() {
    for (std::size_t From = 0; From < Fleet.size(); ++From) {
      object_update Update;
      Update.Rows = Fleet[From]->takeUpdates();
      Update.Loads = Fleet[From]->takeLoadReports();
      for (std::size_t To = 0; To < Fleet.size(); ++To)
        if (To != From)
          Fleet[To]->receive(Update, Now);
    }
  }

  std::size_t EachSide;
  std::vector<std::unique_ptr<placer>> Fleet;
  steady_time Now = Start;
  std::mt19937_64 Random{1};
  std::uint64_t Requested = 0;
  std::map<std::uint64_t, place_request> Requests;
  std::map<std::uint16_t, std::set<std::uint64_t>> Cached;
  std::map<std::uint16_t, std::size_t> Loads;
  std::vector<running> Running;
};

std::optional<target_handle> sentTo(const placement_verdict &Verdict) {
  const auto *Send = std::get_if<place_send>(&Verdict);
  return Send == nullptr ? std::nullopt : std::optional(Send->Target);
}

void answer(placer &Placer, target_handle Target, std::uint64_t Object,
            std::size_t Bytes, milliseconds Took, steady_time Now) {
  target_outcome End;
  End.Target = Target;
  End.Object = Object;
  End.Kind = Kind;
  End.Took = Took;
  End.AnswerBytes = Bytes;
  Placer.finished(End, Now);
}

} // namespace

// Downloads of 90 KB that both data centres of a region ask for, over links of
// 10 Mbit/s an instance.
STORY(large_answers_stay_in_a_data_centre_with_room) {
  constexpr double Rate = 24;
  constexpr std::uint64_t Objects = 12;
  for (const std::size_t Instances : {1U, 4U, 18U}) {
    section(std::to_string(Instances) + " instances in each", [&] {
      region_load Load(Instances, Costs, LargeAnswer);
      Load.run(Rate, Objects, SettleTime);
      // One cold run in each data centre, and few that met another one.
      CPPUNIT_ASSERT_MESSAGE("cold runs " + std::to_string(Load.ColdRuns),
                             Load.ColdRuns <= Objects * DataCentres * 3 / 2);
      Load.startCounting();
      Load.run(Rate, Objects, 15000ms);
      CPPUNIT_ASSERT_MESSAGE("crossed " + std::to_string(Load.crossedPart()),
                             Load.crossedPart() <= 0.05);
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), Load.Refused);
      CPPUNIT_ASSERT_MESSAGE("late " + std::to_string(Load.Late),
                             Load.Late * 50 <= Load.Answers);
      CPPUNIT_ASSERT(Load.MostBefore < Slots + 1);
    });
  }
  section("half of them cross where crossing has no price", [&] {
    region_load Load(4, {}, LargeAnswer);
    Load.run(Rate, Objects, 30000ms);
    CPPUNIT_ASSERT(Load.crossedPart() > 0.3);
  });
}

// Reads of 1.5 KB: a second holder would cost more slot time than it saves.
STORY(small_answers_follow_their_object) {
  constexpr std::uint64_t Objects = 12;
  for (const std::size_t Instances : {1U, 18U})
    section(std::to_string(Instances) + " instances in each", [&] {
      region_load Load(Instances, Costs, SmallAnswer);
      Load.run(24, Objects, 2000ms);
      Load.startCounting();
      Load.run(24, Objects, 15000ms);
      CPPUNIT_ASSERT_MESSAGE("cold runs " + std::to_string(Load.ColdRuns),
                             Load.ColdRuns <= Objects / 4);
    });
}

// One data centre's targets are full of other work.
STORY(large_answers_cross_when_their_data_centre_is_full) {
  placer Placer{policyWith(Costs)};
  Placer.setTargets(targetsFrom(0), Start);
  constexpr std::uint64_t Object = 5;
  answer(Placer, {0}, Object, LargeAnswer, WarmTime, Start);
  answer(Placer, {TargetsEach}, Object, LargeAnswer, WarmTime, Start);
  const auto Report = [&](std::uint32_t Busy, steady_time Now) {
    object_update Update;
    for (std::uint16_t I = 0; I < TargetsEach; ++I)
      Update.Loads.push_back({1000U + I, Busy});
    Placer.receive(Update, Now);
  };
  section("with slots free the near holder is used", [&] {
    const auto Sent = sentTo(Placer.place(requestAt(Start, 1, Object), Start));
    CPPUNIT_ASSERT(Sent && dataCentreOf(*Sent) == 0);
  });
  section("a near holder that would be late gives way", [&] {
    const steady_time Now = Start + 1s;
    Report(4 * Slots, Now);
    const auto Sent = sentTo(Placer.place(requestAt(Now, 2, Object), Now));
    CPPUNIT_ASSERT(Sent && dataCentreOf(*Sent) == 1);
  });
  section("so do objects without a holder", [&] {
    const steady_time Now = Start + 2s;
    Report(4 * Slots, Now);
    for (std::uint64_t I = 0; I < 20; ++I) {
      const auto Sent =
          sentTo(Placer.place(requestAt(Now, 10 + I, 100 + I), Now));
      CPPUNIT_ASSERT(Sent && dataCentreOf(*Sent) == 1);
      answer(Placer, *Sent, 100 + I, LargeAnswer, ColdTime, Now);
    }
  });
  section("they come back when there is room", [&] {
    const steady_time Now = Start + 10s;
    const auto Sent = sentTo(Placer.place(requestAt(Now, 50, Object), Now));
    CPPUNIT_ASSERT(Sent && dataCentreOf(*Sent) == 0);
  });
  section("and a closed data centre gets none", [&] {
    const steady_time Now = Start + 11s;
    std::vector<placer_target> Targets = targetsFrom(0);
    for (std::uint16_t I = 0; I < TargetsEach; ++I)
      Targets[I].Open = false;
    Placer.setTargets(Targets, Now);
    for (std::uint64_t I = 0; I < 20; ++I) {
      const auto Sent =
          sentTo(Placer.place(requestAt(Now, 60 + I, Object), Now));
      CPPUNIT_ASSERT(!Sent || dataCentreOf(*Sent) == 1);
    }
  });
}

// A region with a tenth of the slots and a third of the load: large answers
// must not bring more objects into it than its slots bear.
STORY(large_answers_leave_a_scarce_region_its_part) {
  std::vector<placer_target> Targets = targetsFrom(0);
  for (std::uint16_t I = 0; I < 72; ++I) {
    placer_target Target = Targets[0];
    Target.Handle = {static_cast<std::uint16_t>(Targets.size())};
    Target.Id = 2000U + I;
    Target.Distance = target_distance::Remote;
    Target.Region = static_cast<std::uint8_t>(1 + I % 2);
    Targets.push_back(Target);
  }
  const auto LocalPart = [&](std::size_t AnswerBytes) {
    placer Placer{policyWith(Costs)};
    Placer.setTargets(Targets, Start);
    answer(Placer, {20}, 1, AnswerBytes, WarmTime + 90ms, Start);
    std::size_t Local = 0;
    constexpr std::uint64_t Objects = 600;
    for (std::uint64_t Object = 2; Object < 2 + Objects; ++Object) {
      const auto Sent =
          sentTo(Placer.place(requestAt(Start, Object, Object), Start));
      CPPUNIT_ASSERT(Sent);
      const bool IsLocal = Sent->Index < DataCentres * TargetsEach;
      Local += IsLocal ? 1 : 0;
      // Distant answers take their round trip longer.
      answer(Placer, *Sent, Object, AnswerBytes,
             IsLocal ? WarmTime : WarmTime + 90ms, Start);
    }
    return static_cast<double>(Local) / Objects;
  };
  // RegionFill 1.4 times 8 of 80 targets times 3 regions: 0.42.
  const double Small = LocalPart(0);
  const double Large = LocalPart(LargeAnswer);
  CPPUNIT_ASSERT_MESSAGE(std::to_string(Small) + " and " +
                             std::to_string(Large),
                         std::abs(Large - Small) <= 0.05);
}

// A route whose answers turn from 1.5 KB to 90 KB and back.
STORY(objects_follow_a_kind_whose_answers_change_size) {
  region_load Load(4, Costs, SmallAnswer);
  Load.run(24, 12, 5000ms);
  section("large ones get near holders", [&] {
    Load.AnswerBytes = LargeAnswer;
    Load.run(24, 12, SettleTime);
    Load.startCounting();
    Load.run(24, 12, 10000ms);
    CPPUNIT_ASSERT_MESSAGE("crossed " + std::to_string(Load.crossedPart()),
                           Load.crossedPart() <= 0.05);
  });
  section("small ones again add none", [&] {
    Load.AnswerBytes = SmallAnswer;
    Load.run(24, 12, 5000ms);
    Load.startCounting();
    Load.run(24, 12, 10000ms);
    CPPUNIT_ASSERT(Load.ColdRuns <= 3);
  });
}

// Deployments that state no cost keep their placement.
STORY(no_costs_no_change) {
  const auto Play = [](std::size_t AnswerBytes) {
    region_load Load(4, {}, AnswerBytes);
    Load.run(60, 40, 20000ms);
    return std::array{Load.Answers, Load.Crossed, Load.Late, Load.ColdRuns};
  };
  CPPUNIT_ASSERT(Play(0) == Play(LargeAnswer));
}

// Both instances of a pair and 18 of a data centre pay the same before they
// add a holder.
STORY(near_holders_pay_off) {
  section("crossings of about the cold run's price come before", [&] {
    constexpr int Plays = 2000;
    std::uint64_t Id = 0;
    int Crossings = 0;
    for (int I = 0; I < Plays; ++I)
      while (!addsNearHolder(180ms, 1800ms, rendezvousScore(++Id, 5)))
        ++Crossings;
    const double Mean = static_cast<double>(Crossings) / Plays;
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Mean), Mean > 8 && Mean < 10);
  });
  section("without a price never, without a gain of warm runs at once", [&] {
    CPPUNIT_ASSERT(!addsNearHolder(0ms, 100ms, 0));
    CPPUNIT_ASSERT(addsNearHolder(1ms, 0ms, ~std::uint64_t(0)));
  });
  section("no holder where less than half of the slots are free", [&] {
    placer Placer{policyWith({100s, 100s})};
    Placer.setTargets(targetsFrom(0), Start);
    answer(Placer, {TargetsEach}, 5, LargeAnswer, WarmTime, Start);
    object_update Busy;
    for (std::uint16_t I = 0; I < TargetsEach; ++I)
      Busy.Loads.push_back({1000U + I, Slots / 2 + 1});
    Placer.receive(Busy, Start);
    const auto Sent = sentTo(Placer.place(requestAt(Start, 1, 5), Start));
    CPPUNIT_ASSERT(Sent && dataCentreOf(*Sent) == 1);
    const steady_time Later = Start + 5s;
    const auto Near = sentTo(Placer.place(requestAt(Later, 2, 5), Later));
    CPPUNIT_ASSERT(Near && dataCentreOf(*Near) == 0);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), Placer.crossings().NearHolders);
  });
}
