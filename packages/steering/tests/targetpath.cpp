/// An instance that is cut off from targets notices it, and takes nothing else
/// for that.
#include <magnoliaspread/story.h>
#include <magnoliaspread/targetpath.h>

#include <array>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace magnoliaspread;
using namespace std::chrono_literals;

namespace {

/// How a cut shows on connections.
enum class cut_kind { Hangs, Resets, OnlyNewFail };

constexpr std::uint16_t TargetCount = 12;
constexpr std::array Services{"bookings", "payments", "media"};

/// Instances in two data centres of two regions that send requests to all
/// targets; each has its own cut.
class path_fleet {
public:
  struct instance {
    std::unique_ptr<target_path> Path;
    std::optional<cut_kind> Cut;
    /// Targets that a cut spares.
    std::uint16_t Spared = 0;
    std::optional<steady_time> BrokenAt;
    std::size_t Announcements = 0;
    std::uint16_t Next = 0;
    /// Between its requests.
    std::chrono::milliseconds Pause = Step;
    steady_time NextRequest;
  };

  explicit path_fleet(std::size_t Count, std::uint64_t Seed = 1) {
    target_path_settings Settings;
    Settings.Enabled = true;
    std::vector<path_target> Targets;
    for (std::uint16_t I = 0; I < TargetCount; ++I)
      Targets.push_back(
          {{I}, Services[I % Services.size()], I % 2 == 0 ? "a" : "b"});
    for (std::size_t I = 0; I < Count; ++I) {
      instance &Row = Instances.emplace_back();
      Row.Path = std::make_unique<target_path>(Settings, Seed + I, Now);
      Row.Path->setTargets(Targets);
      Row.Next = static_cast<std::uint16_t>(I % TargetCount);
    }
  }

  void run(std::chrono::milliseconds Length) {
    const steady_time End = Now + Length;
    for (; Now < End; Now += Step)
      for (std::size_t I = 0; I < Instances.size(); ++I) {
        if (Now >= Instances[I].NextRequest) {
          Instances[I].NextRequest = Now + Instances[I].Pause;
          request(Instances[I]);
        }
        act(I, Instances[I].Path->tick(Now));
      }
  }

  std::size_t broken() const {
    std::size_t Count = 0;
    for (const instance &Row : Instances)
      Count += Row.Path->state() == path_state::Broken;
    return Count;
  }

  steady_time Now{std::chrono::hours(1)};
  std::vector<instance> Instances;
  std::size_t Probes = 0;
  /// Targets that refuse everybody.
  std::array<bool, TargetCount> Down{};

  static constexpr std::chrono::milliseconds Step{50};

private:
  bool reaches(const instance &Row, std::uint16_t Target) const {
    return !Row.Cut || Target < Row.Spared;
  }

  /// One request each step, over a new connection each third time.
  void request(instance &Row) {
    const std::uint16_t Target = Row.Next = (Row.Next + 1) % TargetCount;
    const bool NewConnection = ++Requests % 3 == 0;
    const bool Lives =
        !Down[Target] && (reaches(Row, Target) ||
                          (Row.Cut == cut_kind::OnlyNewFail && !NewConnection));
    if (Lives) {
      if (NewConnection)
        Row.Path->connected({Target}, Now);
      Row.Path->sent({Target}, Now, Work);
      return Row.Path->heard({Target}, Now);
    }
    if (!Down[Target] && Row.Cut == cut_kind::Hangs)
      return Row.Path->sent({Target}, Now, Work);
    Row.Path->failed({Target}, Now);
  }

  void act(std::size_t I, const path_actions &Actions) {
    instance &Row = Instances[I];
    for (const target_handle Target : Actions.Probes)
      if (reaches(Row, Target.Index) && !Down[Target.Index])
        Row.Path->probed(Target, true, Now);
      else if (Down[Target.Index] || Row.Cut != cut_kind::Hangs)
        Row.Path->probed(Target, false, Now);
    Probes += Actions.Probes.size();
    if (Actions.Query)
      for (std::size_t Asked = 0; Asked < QueriedPeers; ++Asked) {
        const std::size_t Peer = Random() % Instances.size();
        if (Peer != I)
          Row.Path->receive(Instances[Peer].Path->answer(*Actions.Query, Now),
                            Now);
      }
    if (!Actions.Announcement)
      return;
    ++Row.Announcements;
    if (Actions.Announcement->State == path_state::Broken)
      for (std::size_t Peer = 0; Peer < Instances.size(); ++Peer)
        if (Peer != I)
          Instances[Peer].Path->notePeerBroken(Now);
    if (Actions.Announcement->State == path_state::Broken)
      Row.BrokenAt = Now;
    else
      Row.BrokenAt.reset();
  }

  static constexpr std::chrono::milliseconds Work{300};
  static constexpr std::size_t QueriedPeers = 6;

  std::mt19937 Random{7};

  std::uint64_t Requests = 0;
};

/// The time within which a cut has to be noticed.
constexpr std::chrono::milliseconds NoticeTime{1200};

} // namespace

// Guards against an instance that is cut off from all targets and goes on
// taking callers.
STORY(a_broken_path_is_noticed) {
  for (const cut_kind Kind :
       {cut_kind::Hangs, cut_kind::Resets, cut_kind::OnlyNewFail})
    for (const std::size_t Cut : {1U, 4U, 7U}) {
      path_fleet Fleet(8);
      Fleet.run(3s);
      section("nothing is noticed before the cut",
              [&] { CPPUNIT_ASSERT_EQUAL(std::size_t(0), Fleet.broken()); });
      for (std::size_t I = 0; I < Cut; ++I)
        Fleet.Instances[I].Cut = Kind;
      Fleet.run(NoticeTime);
      section("it is noticed where it is, and only there", [&] {
        CPPUNIT_ASSERT_EQUAL(Cut, Fleet.broken());
        for (std::size_t I = 0; I < Cut; ++I)
          CPPUNIT_ASSERT(Fleet.Instances[I].BrokenAt.has_value());
      });
      Fleet.run(3s);
      section("it lasts as long as the cut",
              [&] { CPPUNIT_ASSERT_EQUAL(Cut, Fleet.broken()); });
      for (path_fleet::instance &Row : Fleet.Instances)
        Row.Cut.reset();
      Fleet.run(2s);
      section("it ends with the cut",
              [&] { CPPUNIT_ASSERT_EQUAL(std::size_t(0), Fleet.broken()); });
    }
}

// Guards against leaving callers because targets are down.
STORY(failures_of_targets_are_not_the_paths) {
  path_fleet Fleet(8);
  Fleet.run(3s);
  section("all targets of a service are down", [&] {
    for (std::uint16_t I = 0; I < TargetCount; I += Services.size())
      Fleet.Down[I] = true;
    Fleet.run(5s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Fleet.broken());
  });
  section("all targets are down", [&] {
    Fleet.Down.fill(true);
    Fleet.run(5s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Fleet.broken());
  });
  section("they come back", [&] {
    Fleet.Down.fill(false);
    Fleet.run(2s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Fleet.broken());
  });
}

// Guards against instances that all leave, with nobody left to serve.
STORY(a_cut_of_all_instances_breaks_no_path) {
  path_fleet Fleet(8);
  Fleet.run(3s);
  for (path_fleet::instance &Row : Fleet.Instances)
    Row.Cut = cut_kind::Resets;
  Fleet.run(5s);
  CPPUNIT_ASSERT_EQUAL(std::size_t(0), Fleet.broken());
}

// Guards against an instance that leaves although it reaches targets.
STORY(a_partial_cut_breaks_no_path) {
  path_fleet Fleet(8);
  Fleet.run(3s);
  Fleet.Instances[0].Cut = cut_kind::Resets;
  Fleet.Instances[0].Spared = TargetCount / 2;
  Fleet.run(6s);
  CPPUNIT_ASSERT_EQUAL(std::size_t(0), Fleet.broken());
}

// Guards against an instance that comes and goes with each change of a path
// that breaks again and again.
STORY(a_flapping_path_stays_broken_longer) {
  path_fleet Fleet(8);
  Fleet.run(3s);
  for (int I = 0; I < 10; ++I) {
    Fleet.Instances[0].Cut = cut_kind::Resets;
    Fleet.run(1500ms);
    Fleet.Instances[0].Cut.reset();
    Fleet.run(1500ms);
  }
  // Ten cuts; each change of the state is announced.
  CPPUNIT_ASSERT(Fleet.Instances[0].Announcements <= 10);
  Fleet.run(6s);
  CPPUNIT_ASSERT_EQUAL(std::size_t(0), Fleet.broken());
}

namespace {

/// RULES, RECOVER: from here on callers of cut instances must be served.
constexpr std::chrono::milliseconds StabilityWindow{4000};

/// Every fifth instance is busy, the others get about a request a second.
void makeIdle(path_fleet &Fleet) {
  for (std::size_t I = 0; I < Fleet.Instances.size(); ++I)
    if (I % 5 != 0)
      Fleet.Instances[I].Pause = std::chrono::milliseconds(800 + 37 * (I % 11));
}

} // namespace

// Guards against idle instances that stay in use although they are cut off like
// the busy ones beside them (RECOVER).
STORY(idle_instances_notice_a_broken_path) {
  for (const cut_kind Kind : {cut_kind::Hangs, cut_kind::Resets})
    for (const std::size_t Count : {12U, 65U, 195U}) {
      path_fleet Fleet(Count);
      makeIdle(Fleet);
      Fleet.run(6s);
      for (std::size_t I = 0; I < Count; I += 3)
        Fleet.Instances[I].Cut = Kind;
      Fleet.run(StabilityWindow);
      section("all that are cut off, and no others: " + std::to_string(Count),
              [&] {
                for (const path_fleet::instance &Row : Fleet.Instances)
                  CPPUNIT_ASSERT_EQUAL(Row.Cut.has_value(),
                                       Row.BrokenAt.has_value());
              });
      for (path_fleet::instance &Row : Fleet.Instances)
        Row.Cut.reset();
      Fleet.run(2s);
      section("they return after the cut",
              [&] { CPPUNIT_ASSERT_EQUAL(std::size_t(0), Fleet.broken()); });
    }
}

// Guards against idle instances that notice only if a busy one does (RECOVER).
STORY(idle_instances_notice_without_a_busy_one) {
  for (const cut_kind Kind : {cut_kind::Hangs, cut_kind::Resets})
    for (const std::size_t Count : {12U, 65U, 195U}) {
      path_fleet Fleet(Count);
      makeIdle(Fleet);
      Fleet.run(6s);
      for (std::size_t I = 1; I < Count; I += 5)
        Fleet.Instances[I].Cut = Kind;
      Fleet.run(StabilityWindow);
      for (const path_fleet::instance &Row : Fleet.Instances)
        CPPUNIT_ASSERT_EQUAL(Row.Cut.has_value(), Row.BrokenAt.has_value());
    }
}

// Guards against probes in calm times: each one is a new connection.
STORY(a_working_path_is_not_probed) {
  path_fleet Fleet(65);
  makeIdle(Fleet);
  Fleet.run(20s);
  CPPUNIT_ASSERT_EQUAL(std::size_t(0), Fleet.Probes);
}

// A single instance has nobody to compare with.
STORY(a_single_instance_breaks_no_path) {
  path_fleet Fleet(1);
  Fleet.run(3s);
  Fleet.Instances[0].Cut = cut_kind::Resets;
  Fleet.run(5s);
  CPPUNIT_ASSERT_EQUAL(std::size_t(0), Fleet.broken());
}
