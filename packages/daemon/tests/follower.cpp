/// Whether all instances of a fleet know the targets' state in time while some
/// are cut off from the platform, messages are lost, and many targets change.
#include "follower_p.h"

#include <magnoliaspread/startsource.h>
#include <magnoliaspread/story.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

using namespace magnoliaspread;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds Step{10};
/// The gateway's tick.
constexpr milliseconds TickPeriod{50};
/// The operation timeout of the gateway's store.
constexpr milliseconds CallTimeout{1400};
/// Round trip to the platform in its region (site files), and one-way delays
/// between instances.
constexpr milliseconds CallTime{4};
constexpr milliseconds NearDelay{1};
constexpr milliseconds FarDelay{36};
/// A drain must be known within 2.5 s where a request arrives (RULES, DRAIN);
/// 0.1 s of it is for the request's own delay.
constexpr milliseconds DrainTime{2400};
constexpr std::size_t Regions = 3;
constexpr std::size_t InstancesPerRegion = 5;
constexpr std::size_t Instances = Regions * InstancesPerRegion;

/// Runs what is due on simulated time.
class schedule {
public:
  void after(milliseconds Delay, std::function<void()> Run) {
    Due.emplace(Clock.now() + Delay, std::move(Run));
  }

  void step() {
    Clock.advance(Step);
    while (!Due.empty() && Due.begin()->first <= Clock.now()) {
      const auto Run = std::move(Due.begin()->second);
      Due.erase(Due.begin());
      Run();
    }
  }

  fake_clock Clock;

private:
  std::multimap<steady_time, std::function<void()>> Due;
};

/// The platform's objects: one per target, whose value is the target's state.
struct platform_state {
  struct change {
    object_version Revision;
    std::string Name;
  };

  object_version Revision = 1;
  struct value {
    std::string State;
    object_version Version;
  };
  std::map<std::string, value> Objects;
  std::vector<change> Log;

  void put(const std::string &Name, const std::string &Value) {
    Objects[Name] = {Value, ++Revision};
    Log.push_back({Revision, Name});
  }

  /// Discards the history of changes.
  void compact() {
    Forgotten = ++Revision;
    Log.clear();
  }
  object_version Forgotten = 0;

  stored_object object(const std::string &Name) const {
    stored_object Object;
    Object.Name = "targets/" + Name;
    Object.Value = Objects.at(Name).State;
    Object.Version = Objects.at(Name).Version;
    return Object;
  }
};

class fake_platform final : public fleet_platform {
public:
  const store_protocol &protocol() const override {
    throw std::logic_error("the follower has no platform protocol");
  }
  const gate_dialect &dialect() const override {
    throw std::logic_error("the follower serves no callers");
  }
  std::string routesObject() const override { return "routes"; }
  std::string targetsPrefix() const override { return "targets/"; }
  std::string evacuationsPrefix() const override { return "evacuated/"; }
  result<route_table> readRoutes(const std::string &) const override {
    return route_table();
  }
  result<target_record> readTarget(const std::string &Name,
                                   const std::string &Json) const override {
    target_record Record;
    Record.Name = Name;
    Record.Address = {"127.0.0.1", 9000};
    Record.Service = "service";
    Record.DataCentre = "dc";
    Record.Draining = Json == "draining";
    return Record;
  }
};

/// One instance's connection to the store, which can be cut.
class fake_store final : public object_store {
public:
  fake_store(schedule &Schedule, const platform_state &State)
      : Schedule(Schedule), State(State) {}

  void get(get_request, completion<stored_object> Done) override {
    answer<stored_object>(std::move(Done), [] {
      stored_object Object;
      Object.Version = 1;
      return Object;
    });
  }

  void list(list_request Request, completion<object_list> Done) override {
    answer<object_list>(std::move(Done), [this, Request] {
      object_list List;
      List.Revision = State.Revision;
      if (Request.Prefix == "targets/")
        for (const auto &[Name, Value] : State.Objects)
          List.Objects.push_back(State.object(Name));
      return List;
    });
  }

  void changes(changes_request Request,
               completion<changes_answer> Done) override {
    answer<changes_answer>(std::move(Done), [this, Request] {
      changes_answer Answer;
      Answer.Revision = State.Revision;
      Answer.HistoryGone = Request.Since < State.Forgotten;
      for (const auto &Row : State.Log)
        if (Row.Revision > Request.Since)
          Answer.Changes.push_back({State.object(Row.Name), false});
      return Answer;
    });
  }

  void put(put_request, completion<put_answer> Done) override {
    Done(error{error_kind::BadRequest, "the follower only reads", {}});
  }
  void remove(remove_request, completion<std::monostate> Done) override {
    Done(error{error_kind::BadRequest, "the follower only reads", {}});
  }
  void watch(watch_request, completion<watch_answer> Done) override {
    Done(error{error_kind::BadRequest, "the follower only polls", {}});
  }
  bool reachable() const override { return !Cut; }
  std::optional<wall_time> platformTimeAtLeast() const override { return {}; }
  const platform_counters &counters() const override { return Counters; }

  bool Cut = false;
  std::uint64_t Calls = 0;

private:
  template <class T, class Make>
  void answer(completion<T> Done, const Make &MakeAnswer) {
    ++Calls;
    if (Cut)
      return Schedule.after(CallTimeout, [Done = std::move(Done)] {
        Done(error{error_kind::PlatformUnavailable, "no answer", {}});
      });
    Schedule.after(CallTime / 2, [this, MakeAnswer, Done = std::move(Done)] {
      Schedule.after(CallTime / 2,
                     [Answer = MakeAnswer(), Done] { Done(Answer); });
    });
  }

  schedule &Schedule;
  const platform_state &State;
  platform_counters Counters;
};

enum class first_reads : std::uint8_t { AtOnce, WhenAllowed };

/// The parts of the gateway that follow the platform, for one instance.
struct instance {
  instance(schedule &Schedule, const platform_state &State,
           const fleet_platform &Platform, std::string Name,
           std::uint64_t Number, first_reads Reads = first_reads::AtOnce)
      : Name(std::move(Name)), Store(Schedule, State),
        Registry(registry_settings()), View(view_settings(), this->Name),
        Follower(Store, Platform, Schedule.Clock, Registry, View,
                 follower_settings(), Number,
                 [this](const routes_object &Object, boot_time AsOf) {
                   View.confirmRoutes(Object.Version, AsOf);
                 }) {
    if (Reads == first_reads::AtOnce)
      Follower.allowReads();
  }

  bool seesOpen(const std::string &Target) const {
    for (const registered_target &Row : Registry.targets())
      if (Row.Record.Name == Target)
        return Row.Open;
    return false;
  }

  std::string Name;
  fake_store Store;
  target_registry Registry;
  platform_view View;
  platform_follower Follower;
};

struct fault_plan {
  std::uint64_t Seed = 1;
  /// Target changes per second, each of a different target.
  double Changes = 40;
  double Loss = 0;
  /// Instances that are cut off from the platform in the middle of the run but
  /// still exchange messages.
  std::set<std::size_t> Cut;
};

class fleet {
public:
  explicit fleet(const fault_plan &Plan) : Plan(Plan), Random(Plan.Seed) {
    for (int I = 0; I < 600; ++I)
      State.put("t" + std::to_string(I), "open");
    for (std::size_t I = 0; I < Instances; ++I)
      Fleet.push_back(std::make_unique<instance>(Schedule, State, Platform,
                                                 "i" + std::to_string(I), I));
    for (std::size_t I = 0; I < Instances; ++I) {
      std::vector<std::string> RegionalPeers;
      std::vector<std::string> RemotePeers;
      for (std::size_t J = 0; J < Instances; ++J)
        if (J != I)
          (regionOf(I) == regionOf(J) ? RegionalPeers : RemotePeers)
              .push_back(Fleet[J]->Name);
      Fleet[I]->View.setRegionalPeers(RegionalPeers);
      Fleet[I]->View.setRemotePeers(RemotePeers);
    }
  }

  /// Two seconds to start, then \p Length of changes, with the cut in its two
  /// middle quarters, then three seconds until the last drains are checked.
  void run(milliseconds Length) {
    advance(2000ms);
    const steady_time End = Schedule.Clock.now() + Length;
    const steady_time CutAt = Schedule.Clock.now() + Length / 4;
    const steady_time HealsAt = End - Length / 4;
    std::exponential_distribution<double> Gap(Plan.Changes);
    auto Next = Schedule.Clock.now();
    int Target = 0;
    while (Schedule.Clock.now() < End) {
      for (const std::size_t I : Plan.Cut)
        Fleet[I]->Store.Cut =
            Schedule.Clock.now() >= CutAt && Schedule.Clock.now() < HealsAt;
      for (; Next <= Schedule.Clock.now();
           Next += std::chrono::duration_cast<milliseconds>(
               std::chrono::duration<double>(Gap(Random))))
        drain("t" + std::to_string(Target++ % 600));
      advance(Step);
    }
    advance(3000ms);
  }

  std::size_t Drains = 0;
  /// Number of drains not known in time, by instance.
  std::map<std::string, int> Late;

  std::uint64_t calls() const {
    std::uint64_t Sum = 0;
    for (const auto &Row : Fleet)
      Sum += Row->Store.Calls;
    return Sum;
  }

private:
  static std::size_t regionOf(std::size_t I) { return I / InstancesPerRegion; }

  milliseconds delay(std::size_t A, std::size_t B) const {
    return regionOf(A) == regionOf(B) ? NearDelay : FarDelay;
  }

  void advance(milliseconds Time) {
    for (milliseconds Passed{0}; Passed < Time; Passed += Step) {
      Schedule.step();
      if (Schedule.Clock.now() < NextTick)
        continue;
      NextTick = Schedule.Clock.now() + TickPeriod;
      for (std::size_t I = 0; I < Instances; ++I) {
        Fleet[I]->Follower.tick();
        requestView(I);
      }
    }
  }

  void drain(const std::string &Target) {
    State.put(Target, "draining");
    ++Drains;
    Schedule.after(DrainTime, [this, Target] {
      for (const auto &Row : Fleet)
        if (Row->seesOpen(Target))
          ++Late[Row->Name];
    });
  }

  std::size_t numberOf(const std::string &Name) const {
    return std::stoul(Name.substr(1));
  }

  void requestView(std::size_t From) {
    platform_view &View = Fleet[From]->View;
    const boot_time Now = Schedule.Clock.boot();
    const view_source Source = View.dueRequest(Now);
    if (Source == view_source::Reader)
      return send(From, numberOf(View.reader()),
                  View.makeRequest(Now, numberOf(View.reader()) + 1));
    if (Source == view_source::SamePeer)
      return send(From, View.partsFrom() - 1,
                  View.makeRequest(Now, View.partsFrom()));
    if (Source == view_source::None)
      return;
    const view_request Request = View.makeRequest(Now, 0);
    for (const std::string &Name : View.samplePeers(Random))
      send(From, numberOf(Name), Request);
  }

  bool lost() {
    return std::uniform_real_distribution<double>(0, 1)(Random) < Plan.Loss;
  }

  void send(std::size_t From, std::size_t To, const view_request &Request) {
    if (lost())
      return;
    Schedule.after(delay(From, To), [this, From, To, Request] {
      for (const view_reply &Reply :
           Fleet[To]->View.answers(Request, Schedule.Clock.boot()))
        if (!lost())
          Schedule.after(delay(From, To), [this, From, To, Reply] {
            handleReply(From, To, Reply);
          });
    });
  }

  void handleReply(std::size_t At, std::size_t From, const view_reply &Reply) {
    instance &Instance = *Fleet[At];
    const platform_view::reply_result Result =
        Instance.View.applyReply(Reply, From + 1);
    Instance.Follower.applyReply(Result);
    if (Result.RequestNextPart)
      send(At, From,
           Instance.View.makeRequest(Schedule.Clock.boot(), From + 1));
  }

  fault_plan Plan;
  std::mt19937_64 Random;
  schedule Schedule;
  platform_state State;
  fake_platform Platform;
  std::vector<std::unique_ptr<instance>> Fleet;
  steady_time NextTick;
};

/// Formats \p Late for failure messages.
std::string textOf(const std::map<std::string, int> &Late) {
  std::string Text;
  for (const auto &[Name, Count] : Late)
    Text += Name + ": " + std::to_string(Count) + " ";
  return Text;
}

void expectNoneLate(const fault_plan &Plan) {
  fleet Fleet(Plan);
  Fleet.run(8000ms);
  CPPUNIT_ASSERT(Fleet.Drains > 0);
  CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(Plan.Seed),
                               std::string(), textOf(Fleet.Late));
}

std::set<std::size_t> thirdOf(std::uint64_t Seed) {
  std::mt19937_64 Random(Seed);
  std::set<std::size_t> Some;
  while (Some.size() < Instances / 3)
    Some.insert(Random() % Instances);
  return Some;
}

} // namespace

STORY(follower_drains_are_known_in_time) {
  section("when few targets change", [&] {
    for (std::uint64_t Seed = 1; Seed <= 2; ++Seed)
      expectNoneLate({Seed, 5, 0, {}});
  });
  section("while many targets change", [&] {
    for (std::uint64_t Seed = 1; Seed <= 2; ++Seed)
      expectNoneLate({Seed, 60, 0, {}});
  });
  section("while a third of the instances can't reach the platform", [&] {
    for (std::uint64_t Seed = 1; Seed <= 10; ++Seed)
      expectNoneLate({Seed, 5, 0, thirdOf(Seed)});
  });
  section("while a third can't reach the platform and many targets change",
          [&] {
            for (std::uint64_t Seed = 1; Seed <= 20; ++Seed)
              expectNoneLate({Seed, 60, 0, thirdOf(Seed)});
          });
  section("while a region's instances can't reach the platform", [&] {
    for (std::uint64_t Seed = 1; Seed <= 3; ++Seed)
      expectNoneLate({Seed, 60, 0, {5, 6, 7, 8, 9}});
  });
  section("while messages between instances are lost as well", [&] {
    for (std::uint64_t Seed = 1; Seed <= 10; ++Seed)
      expectNoneLate({Seed, 60, 0.05, {Seed % Instances}});
  });
}

namespace {

/// A whole fleet that starts at once, to count its calls to the platform.
struct fleet_start {
  std::uint64_t Seed = 1;
  std::size_t PerRegion = 65;
  /// Seeds that are down: the settings' addresses are stale.
  std::size_t SeedsDown = 0;
  bool FirstStart = true;
  /// Fraction of the requests to peers that get no answer.
  double Loss = 0;
};

constexpr std::size_t SeedInstances = 3;
/// Transfer time of a snapshot over a link that many share.
constexpr milliseconds SnapshotDelay{60};
/// A request without an answer fails after this time (FetchTimeout).
constexpr milliseconds RequestTimeout{2000};

class starting_fleet {
public:
  explicit starting_fleet(const fleet_start &Start)
      : Setup(Start), Random(Start.Seed) {
    for (int I = 0; I < 600; ++I)
      State.put("t" + std::to_string(I), I < 20 ? "draining" : "open");
    const std::size_t Count = Start.PerRegion * Regions;
    for (std::size_t I = 0; I < Count; ++I) {
      start_settings Settings;
      Settings.IsSeed = I % Start.PerRegion == 0;
      Settings.FirstStart = Start.FirstStart;
      Rows.push_back({std::make_unique<instance>(Schedule, State, Platform,
                                                 "i" + std::to_string(I), I,
                                                 first_reads::WhenAllowed),
                      start_source(Settings, Random(), Schedule.Clock.now()),
                      isDown(I)});
    }
    for (std::size_t I = 0; I < Count; ++I)
      Rows[I].Instance->View.setRegionalPeers(regionalPeersOf(I));
  }

  void run(milliseconds Time) {
    for (milliseconds Passed{0}; Passed < Time; Passed += Step) {
      Schedule.step();
      if (Schedule.Clock.now() < NextTick)
        continue;
      NextTick = Schedule.Clock.now() + TickPeriod;
      for (std::size_t I = 0; I < Rows.size(); ++I)
        if (!Rows[I].Down)
          tick(I);
    }
  }

  /// Instances that know every target as the platform has it.
  std::size_t upToDate() const {
    return static_cast<std::size_t>(
        std::count_if(Rows.begin(), Rows.end(), [](const row &Row) {
          return !Row.Down && Row.Instance->Registry.targets().size() == 600 &&
                 !Row.Instance->seesOpen("t7") &&
                 Row.Instance->seesOpen("t100");
        }));
  }
  std::size_t running() const {
    return static_cast<std::size_t>(std::count_if(
        Rows.begin(), Rows.end(), [](const row &Row) { return !Row.Down; }));
  }
  std::uint64_t calls() const {
    std::uint64_t Sum = 0;
    for (const row &Row : Rows)
      Sum += Row.Instance->Store.Calls;
    return Sum;
  }

private:
  struct row {
    std::unique_ptr<instance> Instance;
    start_source Start;
    bool Down = false;
  };

  std::vector<std::string> regionalPeersOf(std::size_t I) const {
    const std::size_t First = I / Setup.PerRegion * Setup.PerRegion;
    std::vector<std::string> RegionalPeers;
    for (std::size_t J = First; J < First + Setup.PerRegion; ++J)
      if (J != I && !Rows[J].Down)
        RegionalPeers.push_back(Rows[J].Instance->Name);
    return RegionalPeers;
  }

  bool isDown(std::size_t I) const {
    return I % Setup.PerRegion == 0 && I / Setup.PerRegion < Setup.SeedsDown;
  }

  void tick(std::size_t I) {
    row &Row = Rows[I];
    if (Row.Instance->Follower.knowsTargets()) {
      Row.Start.targetsKnown();
    } else {
      const start_action Action =
          Row.Start.next(Rows.size() - 1, Schedule.Clock.now());
      if (Action == start_action::Read)
        Row.Instance->Follower.allowReads();
      if (Action == start_action::AskPeer)
        requestSnapshot(I, peerOf(I));
    }
    Row.Instance->Follower.tick();
  }

  /// One of the region's instances, or a seed.
  std::size_t peerOf(std::size_t I) {
    const std::size_t Region = I / Setup.PerRegion;
    const std::size_t Draw = Random() % (Setup.PerRegion + SeedInstances);
    return Draw < SeedInstances
               ? Draw * Setup.PerRegion
               : Region * Setup.PerRegion + Draw - SeedInstances;
  }

  void requestSnapshot(std::size_t I, std::size_t Peer) {
    const boot_time RequestedAt = Schedule.Clock.boot();
    const bool Lost = Rows[Peer].Down || std::uniform_real_distribution<double>(
                                             0, 1)(Random) < Setup.Loss;
    if (Lost)
      return Schedule.after(RequestTimeout,
                            [this, I] { Rows[I].Start.requestEnded(); });
    Schedule.after(SnapshotDelay, [this, I, Peer, RequestedAt] {
      Rows[I].Start.requestEnded();
      platform_follower &From = Rows[Peer].Instance->Follower;
      if (Peer != I && From.knowsTargets())
        Rows[I].Instance->Follower.applySnapshot(From.snapshot(RequestedAt));
    });
  }

  fleet_start Setup;
  std::mt19937_64 Random;
  schedule Schedule;
  platform_state State;
  fake_platform Platform;
  std::vector<row> Rows;
  steady_time NextTick;
};

} // namespace

STORY(fleet_learns_from_few_reads_at_its_start) {
  // A list, its second page, the configuration and the evacuations.
  constexpr std::uint64_t CallsPerReader = 4;
  // The seeds read first, then one instance of each region.
  constexpr std::uint64_t MaxCalls = (SeedInstances + Regions) * CallsPerReader;
  // After this time instances that aren't seeds would read.
  const milliseconds Deadline = start_settings().ReadsAfter;
  section("hundreds of instances at their first start", [&] {
    for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
      starting_fleet Fleet({Seed, 65, 0, true, 0});
      Fleet.run(Deadline);
      CPPUNIT_ASSERT_EQUAL(Fleet.running(), Fleet.upToDate());
      CPPUNIT_ASSERT(Fleet.calls() <= MaxCalls);
    }
  });
  section("at a restart of the whole fleet", [&] {
    for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
      starting_fleet Fleet({Seed, 65, 0, false, 0});
      Fleet.run(Deadline);
      CPPUNIT_ASSERT_EQUAL(Fleet.running(), Fleet.upToDate());
      CPPUNIT_ASSERT(Fleet.calls() <= MaxCalls);
    }
  });
  section("while a fifth of the requests get no answer", [&] {
    starting_fleet Fleet({6, 65, 0, false, 0.2});
    Fleet.run(Deadline);
    CPPUNIT_ASSERT_EQUAL(Fleet.running(), Fleet.upToDate());
  });
  section("when all seeds are down, a few others read instead", [&] {
    starting_fleet Fleet({7, 65, SeedInstances, false, 0});
    Fleet.run(Deadline + start_settings().Spread);
    CPPUNIT_ASSERT_EQUAL(Fleet.running(), Fleet.upToDate());
    CPPUNIT_ASSERT(Fleet.calls() <= Fleet.running());
  });
}

STORY(snapshots_that_are_of_no_use) {
  schedule Schedule;
  platform_state State;
  State.put("t1", "open");
  fake_platform Platform;
  instance From(Schedule, State, Platform, "i1", 1);
  instance To(Schedule, State, Platform, "i2", 2, first_reads::WhenAllowed);
  const auto Advance = [&](milliseconds Time) {
    for (milliseconds Passed{0}; Passed < Time; Passed += Step)
      Schedule.step();
  };
  const auto Snapshot = [&] {
    return From.Follower.snapshot(Schedule.Clock.boot());
  };
  section("a snapshot without targets is dropped",
          [&] { CPPUNIT_ASSERT(!To.Follower.applySnapshot(Snapshot())); });
  From.Follower.tick();
  Advance(50ms);
  section("a snapshot without evacuations is dropped", [&] {
    view_reply Early = Snapshot();
    CPPUNIT_ASSERT(!To.Follower.applySnapshot(Early));
    From.Follower.tick();
    Advance(50ms);
  });
  section("a snapshot older than the age limit of targets is dropped", [&] {
    const view_reply Early = Snapshot();
    Advance(2000ms);
    CPPUNIT_ASSERT(!To.Follower.applySnapshot(Early));
    CPPUNIT_ASSERT(!To.Follower.applySnapshot(Snapshot()));
    CPPUNIT_ASSERT(To.Registry.targets().empty());
  });
  section("a target that drained meanwhile is not reopened", [&] {
    From.Follower.refresh();
    State.put("t1", "draining");
    From.Follower.tick();
    Advance(50ms);
    CPPUNIT_ASSERT(To.Follower.applySnapshot(Snapshot()));
    CPPUNIT_ASSERT(!To.seesOpen("t1"));
  });
  section("a snapshot that arrives after the first is ignored",
          [&] { CPPUNIT_ASSERT(!To.Follower.applySnapshot(Snapshot())); });
  section("an instance that applied one lists again when history is gone", [&] {
    State.compact();
    State.put("t2", "open");
    for (int I = 0; I < 80; ++I) {
      To.Follower.tick();
      Advance(50ms);
    }
    CPPUNIT_ASSERT(To.seesOpen("t2"));
  });
}
