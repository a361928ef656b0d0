/// A region with a tenth of the slots follows the plan by demand: whole objects
/// move, at the rate of the shift bound, and keep to homes and drains.
#include <magnoliaspread/placer.h>
#include <magnoliaspread/story.h>

#include <cmath>
#include <map>
#include <set>
#include <string>
#include <utility>

using namespace magnoliaspread;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr steady_time Start{std::chrono::hours(1)};
constexpr service_handle Service{0};
constexpr std::uint8_t Own = 2;
constexpr std::uint64_t Objects = 300;
constexpr double MaxShift = 0.15;
constexpr milliseconds Warm{140};
constexpr milliseconds Cold{480};

/// Slots 45/45/10 with 5 a target.
std::vector<placer_target> unevenTargets() {
  std::vector<placer_target> Targets;
  for (std::uint16_t I = 0; I < 20; ++I) {
    placer_target Target;
    Target.Handle = {I};
    Target.Service = Service;
    Target.Id = 1000U + I;
    Target.Slots = 5;
    Target.Region = static_cast<std::uint8_t>(I < 9 ? 0 : I < 18 ? 1 : Own);
    Target.Distance = Target.Region == Own ? target_distance::DataCentre
                                           : target_distance::Remote;
    Targets.push_back(Target);
  }
  return Targets;
}

/// One instance of the smallest region; its requests are answered one by one.
class small_region {
public:
  explicit small_region(double Shift) : Placer(policy(Shift)) {
    Placer.setTargets(Targets, Now);
  }

  static placer_policy policy(double Shift) {
    placer_policy Policy;
    Policy.Spill.MaxShift = Shift;
    Policy.OwnRegion = Own;
    return Policy;
  }

  /// One request for each object in turn, 150 a second; \p Demand of the own
  /// region, in slots, with 20 in the others.
  void run(double Demand, milliseconds Time, home_regions Homes = {}) {
    const steady_time End = Now + Time;
    for (int I = 0; Now < End; ++I) {
      Now += 1000ms / 150;
      if (I % 40 == 0)
        Placer.updateSpill(Service, {20.0, 20.0, Demand}, Now);
      request(1 + Last % Objects, Homes);
      if (I % 300 == 0)
        closeWindow();
    }
  }

  /// Part of the last two windows' requests that ran in the own region.
  double localPart() const {
    const double Local = static_cast<double>(Regions.at(Own));
    return Local / static_cast<double>(Counted);
  }
  void countAnew() {
    Counted = 0;
    Regions = {{0, 0}, {1, 0}, {Own, 0}};
    ColdRuns = 0;
  }

  std::vector<placer_target> Targets = unevenTargets();
  placer Placer;
  std::map<std::uint8_t, std::size_t> Regions{{0, 0}, {1, 0}, {Own, 0}};
  std::size_t Counted = 0;
  std::size_t ColdRuns = 0;
  double MostMoved = 0;
  steady_time Now = Start;

private:
  void request(std::uint64_t Object, home_regions Homes) {
    place_request Request;
    Request.Id = ++Last;
    Request.Service = Service;
    Request.Object = Object;
    Request.Kind = 7;
    Request.Homes = Homes;
    Request.Arrived = Now;
    Request.Deadline = Now + 2500ms;
    Request.GoodUntil = Now + 400ms;
    const placement_verdict Verdict = Placer.place(Request, Now);
    const auto *Sent = std::get_if<place_send>(&Verdict);
    CPPUNIT_ASSERT(Sent != nullptr);
    const placer_target &Target = Targets[Sent->Target.Index];
    const bool IsCold = Cached[Sent->Target.Index].insert(Object).second;
    const milliseconds Travel = Target.Region == Own ? 1ms : 90ms;
    Placer.finished({Sent->Target,
                     Object,
                     7,
                     target_result::Answered,
                     (IsCold ? Cold : Warm) + Travel,
                     {},
                     {}},
                    Now);
    ++Counted;
    ++Regions[Target.Region];
    ColdRuns += IsCold;
    ++Window[Target.Region];
  }

  void closeWindow() {
    const double Count = Window[0] + Window[1] + Window[Own];
    const double Before = Former[0] + Former[1] + Former[Own];
    if (Count > 200 && Before > 200) {
      double Moved = 0;
      for (const std::uint8_t Region : {std::uint8_t(0), std::uint8_t(1), Own})
        Moved += std::abs(Window[Region] / Count - Former[Region] / Before) / 2;
      MostMoved = std::max(MostMoved, Moved);
    }
    Former = std::exchange(Window, {});
  }

  std::uint64_t Last = 0;
  std::map<std::uint16_t, std::set<std::uint64_t>> Cached;
  std::map<std::uint8_t, double> Window;
  std::map<std::uint8_t, double> Former;
};

} // namespace

// The demand of the smallest region doubles, and falls again.
STORY(objects_follow_the_demand_of_their_region) {
  small_region Region(MaxShift);
  Region.run(15, 20s);
  Region.countAnew();
  Region.run(15, 6s);
  const double Before = Region.localPart();
  Region.run(40, 20s);
  Region.countAnew();
  Region.run(40, 6s);
  const double Under = Region.localPart();
  section("what its slots bear stays", [&] {
    // The level is 0.8 of all slots: 8 of the own 10 slots.
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Under),
                           Under * 40 <= 1.1 * 10 && Under < Before);
  });
  section("moved objects are warm", [&] {
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Region.ColdRuns),
                           Region.ColdRuns <= Region.Counted / 50);
  });
  section("most stay where they are", [&] {
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Region.MostMoved),
                           Region.MostMoved <= MaxShift);
  });
  section("they come home", [&] {
    Region.run(6, 30s);
    Region.countAnew();
    Region.run(6, 6s);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Region.localPart()),
                           Region.localPart() > Under + 0.2);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Region.MostMoved),
                           Region.MostMoved <= MaxShift);
  });
}

// Requests that may run in the own region only, and another region's drain.
STORY(the_plan_keeps_to_homes_and_drains) {
  small_region Region(MaxShift);
  Region.run(40, 20s);
  section("homes", [&] {
    Region.countAnew();
    Region.run(40, 4s, home_regions(1U << Own));
    CPPUNIT_ASSERT_EQUAL(Region.Counted, Region.Regions[Own]);
  });
  section("drains", [&] {
    for (placer_target &Target : Region.Targets)
      Target.Open = Target.Region != 0;
    Region.Placer.setTargets(Region.Targets, Region.Now);
    Region.countAnew();
    Region.run(40, 20s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Region.Regions[0]);
  });
}

// Slots that failures take from a region are told from those that the
// configuration does.
STORY(lost_slots_are_those_of_failed_targets) {
  small_region Region(MaxShift);
  const auto OwnSlots = [&] {
    Region.Placer.updateSpill(Service, {20.0, 20.0, 15.0}, Region.Now);
    return Region.Placer.slotsIn(Service, Own, Region.Now);
  };
  const auto SetOwn = [&](bool Open, milliseconds ColdFor) {
    for (placer_target &Target : Region.Targets)
      if (Target.Region == Own) {
        Target.Open = Open;
        Target.ColdUntil = Region.Now + ColdFor;
      }
    Region.Placer.setTargets(Region.Targets, Region.Now);
  };
  CPPUNIT_ASSERT_DOUBLES_EQUAL(10, OwnSlots().Usable, 1e-9);
  CPPUNIT_ASSERT_DOUBLES_EQUAL(0, OwnSlots().Lost, 1e-9);
  section("targets that are cold again", [&] {
    SetOwn(true, 5s);
    CPPUNIT_ASSERT(OwnSlots().Usable < 5);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(10, OwnSlots().Usable + OwnSlots().Lost, 1e-9);
    Region.Now += 6s;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0, OwnSlots().Lost, 1e-9);
  });
  section("a drained region that opens cold", [&] {
    SetOwn(false, 0s);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0, OwnSlots().Usable + OwnSlots().Lost, 1e-9);
    SetOwn(true, 5s);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0, OwnSlots().Lost, 1e-9);
    Region.Now += 6s;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(10, OwnSlots().Usable, 1e-9);
  });
  section("an unreachable target, until that is too old", [&] {
    Region.Placer.finished({Region.Targets[18].Handle,
                            1,
                            7,
                            target_result::Unreachable,
                            0ms,
                            {},
                            {}},
                           Region.Now);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(5, OwnSlots().Usable, 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(5, OwnSlots().Lost, 1e-9);
    Region.Now += 9s;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(10, OwnSlots().Usable, 1e-9);
  });
}

// Without the setting, demand changes nothing.
STORY(placement_without_the_plan_ignores_demand) {
  small_region Off(0);
  small_region Same(0);
  Off.run(6, 10s);
  Off.run(40, 10s);
  Same.run(15, 20s);
  CPPUNIT_ASSERT(Off.Regions == Same.Regions);
  CPPUNIT_ASSERT(Off.Placer.spill(Service) == nullptr);
}
