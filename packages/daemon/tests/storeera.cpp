/// Whether a fleet keeps what was acknowledged while the platform comes back
/// from an older copy at any step of any write, with an instance that starts
/// again, others that are cut off, and delayed answers.
#include "follower_p.h"

#include <magnoliaspread/story.h>

#include <glog/logging.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

using namespace magnoliaspread;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds Step{10};
constexpr milliseconds TickPeriod{50};
constexpr milliseconds Length{12000};
constexpr std::size_t Instances = 5;
constexpr int Targets = 4;
/// Operators and targets write again within this time of the return.
constexpr int RewriteMs = 2000;
constexpr milliseconds Heartbeat{1000};
/// The targets' state may be this old at most (RULES, DRAIN).
constexpr milliseconds DrainTime{2500};
/// The operation timeout of the gateway's store.
constexpr milliseconds CallTimeout{1400};
/// After the last fault, all writes are known everywhere within this time: the
/// time to write again, and the bound of an evacuation (RULES, EVAC: 5 s).
constexpr milliseconds CalmTime{7500};

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

/// The platform's objects as the log of all writes, which a return from an
/// older copy cuts off.
struct platform_state {
  struct write {
    boot_time At;
    std::string Name;
    std::string Value;
    bool Removed = false;
  };

  void add(boot_time Now, const std::string &Name, const std::string &Value) {
    Log.push_back({Now, Name, Value});
  }
  void remove(boot_time Now, const std::string &Name) {
    Log.push_back({Now, Name, {}, true});
  }

  object_version revision() const { return Log.size() + 1; }

  std::map<std::string, stored_object>
  objects(const std::string &Prefix) const {
    std::map<std::string, stored_object> Found;
    for (std::size_t I = 0; I < Log.size(); ++I) {
      if (!Log[I].Name.starts_with(Prefix))
        continue;
      if (Log[I].Removed)
        Found.erase(Log[I].Name);
      else
        Found[Log[I].Name] = {Log[I].Name, I + 2, Log[I].Value, Era};
    }
    return Found;
  }

  void restore(boot_time CopiedAt) {
    while (!Log.empty() && Log.back().At > CopiedAt)
      Log.pop_back();
    ++Era;
  }

  std::vector<write> Log;
  store_era Era = 0;
  bool Away = false;
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
  /// A target's value is its state and sequence, such as "open 3".
  result<target_record> readTarget(const std::string &Name,
                                   const std::string &Json) const override {
    target_record Record;
    Record.Name = Name;
    Record.DataCentre = "dc";
    Record.StartedAtMs = 1;
    Record.Draining = Json.starts_with("draining");
    Record.Sequence = std::stoull(Json.substr(Json.find(' ') + 1));
    return Record;
  }
};

/// One instance's connection to the store. Answers take a random time and may
/// arrive after those of a later era.
class fake_store final : public object_store {
public:
  fake_store(schedule &Schedule, const platform_state &State,
             std::mt19937_64 &Random)
      : Schedule(Schedule), State(State), Random(Random) {}

  void get(get_request Request, completion<stored_object> Done) override {
    answer<stored_object>(std::move(Done),
                          [this, Request]() -> result<stored_object> {
                            const auto Found = State.objects(Request.Name);
                            if (Found.empty())
                              return error{error_kind::NotFound, {}, {}};
                            return Found.begin()->second;
                          });
  }

  void list(list_request Request, completion<object_list> Done) override {
    answer<object_list>(std::move(Done),
                        [this, Request]() -> result<object_list> {
                          object_list List;
                          List.Revision = State.revision();
                          List.Era = State.Era;
                          for (const auto &Row : State.objects(Request.Prefix))
                            List.Objects.push_back(Row.second);
                          return List;
                        });
  }

  void changes(changes_request Request,
               completion<changes_answer> Done) override {
    answer<changes_answer>(
        std::move(Done), [this, Request]() -> result<changes_answer> {
          changes_answer Answer;
          Answer.Revision = State.revision();
          Answer.Era = State.Era;
          Answer.HistoryGone = Request.Since > State.revision();
          for (std::size_t I = Request.Since - 1;
               !Answer.HistoryGone && I < State.Log.size(); ++I)
            if (State.Log[I].Name.starts_with(Request.Prefix))
              Answer.Changes.push_back(
                  {{State.Log[I].Name, I + 2, State.Log[I].Value, State.Era},
                   State.Log[I].Removed});
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
  store_era era() const override { return Heard; }
  std::optional<wall_time> platformTimeAtLeast() const override { return {}; }
  const platform_counters &counters() const override { return Counters; }

  bool Cut = false;

private:
  template <class T, class Make>
  void answer(completion<T> Done, const Make &MakeAnswer) {
    const std::weak_ptr<bool> Lives = Alive;
    if (Cut || State.Away)
      return Schedule.after(
          State.Away ? 20ms : CallTimeout, [Lives, Done = std::move(Done)] {
            if (Lives.lock())
              Done(error{error_kind::PlatformUnavailable, "no answer", {}});
          });
    // One answer in eight is delayed.
    const milliseconds Back(Random() % 8 == 0 ? Random() % 600 : 2);
    Schedule.after(2ms,
                   [this, Lives, Back, MakeAnswer, Done = std::move(Done)] {
                     if (!Lives.lock())
                       return;
                     Schedule.after(Back, [this, Lives, Era = State.Era,
                                           Answer = MakeAnswer(), Done] {
                       if (!Lives.lock())
                         return;
                       Heard = std::max(Heard, Era);
                       Done(Answer);
                     });
                   });
  }

  schedule &Schedule;
  const platform_state &State;
  std::mt19937_64 &Random;
  platform_counters Counters;
  store_era Heard = 0;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

/// The parts of the gateway that follow the platform, for one instance.
struct instance {
  instance(schedule &Schedule, const platform_state &State,
           const fleet_platform &Platform, const std::string &Name,
           std::mt19937_64 &Random)
      : Store(Schedule, State, Random), Registry(registry_settings()),
        View(view_settings(), Name),
        Follower(Store, Platform, Schedule.Clock, Registry, View,
                 follower_settings(), Random(),
                 [this](const routes_object &Object, boot_time AsOf) {
                   applyRoutes(Object, AsOf);
                 }) {}

  /// As the gateway: the version in force only rises.
  void applyRoutes(const routes_object &Object, boot_time AsOf) {
    const std::uint64_t Version = std::stoull(Object.Json);
    View.confirmRoutes(Version, AsOf, Object.Era, Object.Source);
    InForce = std::max(InForce, Version);
  }

  bool seesOpen(const std::string &Target) const {
    for (const registered_target &Row : Registry.targets())
      if (Row.Record.Name == Target)
        return Row.Open;
    return false;
  }

  fake_store Store;
  target_registry Registry;
  platform_view View;
  platform_follower Follower;
  std::uint64_t InForce = 0;
  /// Targets that this instance has seen leave.
  std::set<std::string> SeenLeaving;
  /// t1 was open here once.
  bool SeenOpen = false;
  bool SeenEvacuated = false;
  /// When the targets were last no older than view_settings::TargetsLimit.
  boot_time TargetsCurrentAt;
  bool CutFromPeers = false;
};

class play {
public:
  explicit play(std::uint64_t Seed) : Random(Seed) {
    const boot_time Now = Schedule.Clock.boot();
    State.add(Now, "routes", "1");
    for (int I = 0; I < Targets; ++I)
      write("t" + std::to_string(I), "open");
    for (std::size_t I = 0; I < Instances; ++I)
      start(I).Follower.allowReads();
  }

  /// The first broken rule; empty if none.
  std::string run() {
    for (milliseconds At = Heartbeat; At < Length + CalmTime; At += Heartbeat)
      Schedule.after(At, [this] { reportAll(); });
    at(3000, 4500, [this] { withdrawKey(); });
    at(3000, 4500, [this] { drain("t0"); });
    at(3000, 4500, [this] { removeTarget("t1"); });
    at(3000, 4500, [this] { write("t9", "open"); });
    at(3000, 4500, [this] { evacuate("dc9"); });
    // Evacuated before all copies, and taken back around the return.
    at(100, 200, [this] { evacuate("dc8"); });
    at(3000, 4500, [this] { takeBack("dc8"); });
    at(3000, 6000, [this] { loseHistory(); });
    // A second loss, in half of the plays.
    if (Random() % 2 == 0)
      at(6000, 7500, [this] { loseHistory(); });
    at(2500, 6500, [this] { cutForAWhile(Random() % Instances); });
    at(2500, 6500, [this] { restart(Random() % Instances); });
    while (Elapsed < Length && Broken.empty())
      advance();
    for (milliseconds Calm{0}; Calm < CalmTime && Broken.empty(); Calm += Step)
      advance();
    if (Broken.empty())
      checkEnd();
    return Broken;
  }

private:
  void at(int From, int To, std::function<void()> Run) {
    Schedule.after(
        milliseconds(std::uniform_int_distribution<int>(From, To)(Random)),
        std::move(Run));
  }
  boot_time boot() const { return Schedule.Clock.boot(); }

  /// What an operator or a target wants to hold is written now, or once the
  /// store is back.
  void submit(const std::string &Name, const std::string &Value) {
    Wanted[Name] = Value;
    if (!State.Away)
      State.add(boot(), Name, Value);
  }
  void withdraw(const std::string &Name) {
    Wanted.erase(Name);
    Withdrawn.insert(Name);
    if (!State.Away)
      State.remove(boot(), Name);
  }
  void write(const std::string &Target, const std::string &Value) {
    submit("targets/" + Target,
           Value + ' ' + std::to_string(++Sequences[Target]));
  }
  /// Acknowledged only when the store takes it.
  void withdrawKey() {
    if (!State.Away)
      WithdrawnAt = boot();
    submit("routes", "2");
  }
  void drain(const std::string &Target) { write(Target, "draining"); }
  void removeTarget(const std::string &Target) {
    withdraw("targets/" + Target);
  }
  void evacuate(const std::string &Name) { submit("evacuated/" + Name, "1"); }
  void takeBack(const std::string &Name) { withdraw("evacuated/" + Name); }

  /// The store is away for up to 0.8 s and returns from a copy up to 4 s old.
  void loseHistory() {
    State.Away = true;
    const boot_time CopiedAt =
        boot() -
        milliseconds(std::uniform_int_distribution<int>(10, 4000)(Random));
    at(50, 800, [this, CopiedAt] {
      State.Away = false;
      State.restore(CopiedAt);
      for (const auto &Row : Wanted)
        at(0, RewriteMs, [this, Name = Row.first] { rewrite(Name); });
      for (const std::string &Name : Withdrawn)
        at(0, RewriteMs, [this, Name] {
          if (!State.Away && !Wanted.contains(Name) &&
              !State.objects(Name).empty())
            State.remove(boot(), Name);
        });
    });
  }
  void rewrite(const std::string &Name) {
    const auto Row = Wanted.find(Name);
    if (State.Away || Row == Wanted.end())
      return;
    if (!Name.starts_with("targets/"))
      return State.add(boot(), Name, Row->second);
    write(Name.substr(8), Row->second.substr(0, Row->second.find(' ')));
  }

  /// The targets' heartbeats.
  void reportAll() {
    std::vector<std::string> Live;
    for (const auto &Row : Wanted)
      if (Row.first.starts_with("targets/"))
        Live.push_back(Row.first);
    for (const std::string &Name : Live)
      rewrite(Name);
  }

  void cutForAWhile(std::size_t I) {
    Fleet[I]->Store.Cut = Random() % 2 == 0;
    Fleet[I]->CutFromPeers = !Fleet[I]->Store.Cut;
    at(500, 3000,
       [this, I] { Fleet[I]->Store.Cut = Fleet[I]->CutFromPeers = false; });
  }

  instance &start(std::size_t I) {
    if (Fleet.size() <= I)
      Fleet.resize(Instances);
    Fleet[I] = std::make_unique<instance>(Schedule, State, Platform,
                                          "i" + std::to_string(I), Random);
    std::vector<std::string> Peers;
    for (std::size_t J = 0; J < Instances; ++J)
      if (J != I)
        Peers.push_back("i" + std::to_string(J));
    Fleet[I]->View.setRegionalPeers(Peers);
    ++Starts[I];
    return *Fleet[I];
  }

  /// Starts from a peer's snapshot, or reads the platform.
  void restart(std::size_t I) {
    instance &Started = start(I);
    const std::size_t Peer = (I + 1) % Instances;
    if (Random() % 2 == 0 && Fleet[Peer]->Follower.knowsTargets()) {
      const view_reply Snapshot = Fleet[Peer]->Follower.snapshot(boot());
      if (Started.Follower.applySnapshot(Snapshot)) {
        Started.applyRoutes({NoObject, std::to_string(Fleet[Peer]->InForce),
                             Snapshot.RoutesEra, routes_source::Peer},
                            Snapshot.AskedAt - Snapshot.Age);
        Started.Follower.setRoutesKnown();
      }
    }
    Started.Follower.allowReads();
  }

  void advance() {
    Schedule.step();
    Elapsed += Step;
    if (Schedule.Clock.now() < NextTick)
      return;
    NextTick = Schedule.Clock.now() + TickPeriod;
    for (std::size_t I = 0; I < Instances; ++I) {
      Fleet[I]->Follower.tick();
      requestView(I);
      check(*Fleet[I]);
    }
  }

  void check(instance &At) {
    if (!At.View.targetsDue(boot()))
      At.TargetsCurrentAt = boot();
    if (WithdrawnAt && At.InForce < 2 &&
        At.View.routesConfirmedAt() > *WithdrawnAt)
      Broken = "a configuration was proved current after a key's withdrawal";
    for (const std::string Target : {"t0", "t1"}) {
      const bool Left = Target == "t0" ? Sequences[Target] > 1
                                       : Withdrawn.contains("targets/t1");
      const bool Open = At.seesOpen(Target);
      if (At.SeenLeaving.contains(Target) && Open)
        Broken = Target + " was seen to leave and is open again";
      // Known before it left, and no longer open.
      if (Left && !Open && Target == "t1" && At.Follower.knowsTargets() &&
          At.SeenOpen)
        At.SeenLeaving.insert(Target);
      for (const registered_target &Row : At.Registry.targets())
        if (Row.Record.Name == "t0" && Row.Record.Draining)
          At.SeenLeaving.insert("t0");
      if (Target == "t1" && Open)
        At.SeenOpen = true;
    }
    const std::set<std::string> Evacuated = At.View.evacuated();
    if (At.SeenEvacuated && !Evacuated.contains("dc9"))
      Broken = "an evacuation was forgotten";
    At.SeenEvacuated = At.SeenEvacuated || Evacuated.contains("dc9");
  }

  void checkEnd() {
    for (std::size_t I = 0; I < Instances; ++I) {
      const instance &At = *Fleet[I];
      const std::string Who = "i" + std::to_string(I);
      if (At.InForce != 2)
        Broken = Who + " doesn't know the configuration";
      if (boot() - At.View.routesConfirmedAt() > 5s)
        Broken = Who + " has no proof of its configuration";
      if (boot() - At.TargetsCurrentAt >
          DrainTime - view_settings().TargetsLimit)
        Broken = Who + " doesn't know the targets";
      if (At.seesOpen("t0") || At.seesOpen("t1") || !At.seesOpen("t2") ||
          !At.seesOpen("t9"))
        Broken = Who + " has targets in the wrong state";
      if (At.View.evacuated() != std::set<std::string>{"dc9"})
        Broken = Who + " doesn't know the evacuations";
      if (At.View.history().era() != State.Era)
        Broken = Who + " doesn't know the era";
    }
  }

  void requestView(std::size_t From) {
    platform_view &View = Fleet[From]->View;
    const view_source Source = View.dueRequest(boot());
    if (Source == view_source::Reader)
      return send(From, numberOf(View.reader()),
                  View.makeRequest(boot(), numberOf(View.reader()) + 1));
    if (Source == view_source::SamePeer)
      return send(From, View.partsFrom() - 1,
                  View.makeRequest(boot(), View.partsFrom()));
    if (Source == view_source::None)
      return;
    const view_request Request = View.makeRequest(boot(), 0);
    for (const std::string &Name : View.samplePeers(Random))
      send(From, numberOf(Name), Request);
  }

  static std::size_t numberOf(const std::string &Name) {
    return std::stoul(Name.substr(1));
  }

  milliseconds delay() {
    return milliseconds(Random() % 10 == 0 ? Random() % 400 : Random() % 40);
  }

  void send(std::size_t From, std::size_t To, const view_request &Request) {
    if (Fleet[From]->CutFromPeers || Fleet[To]->CutFromPeers)
      return;
    Schedule.after(delay(), [this, From, To, Request, Start = Starts[From]] {
      for (const view_reply &Reply : Fleet[To]->View.answers(Request, boot())) {
        Schedule.after(delay(), [this, From, To, Reply, Start,
                                 Version = Fleet[To]->InForce] {
          if (Starts[From] == Start)
            handleReply(From, To, Reply, Version);
        });
      }
    });
  }

  /// As gateway::applyViewReply(); a newer configuration arrives at once.
  void handleReply(std::size_t At, std::size_t From, const view_reply &Reply,
                   std::uint64_t Version) {
    instance &Instance = *Fleet[At];
    Instance.Follower.hearPeerEra(Reply);
    const platform_view::reply_result Result =
        Instance.View.applyReply(Reply, From + 1);
    Instance.Follower.applyReply(Result);
    if (Result.FetchRoutes) {
      Instance.applyRoutes({NoObject, std::to_string(Version), Result.RoutesEra,
                            routes_source::Peer},
                           Result.RoutesAsOf);
      Instance.Follower.setRoutesKnown();
    }
    if (Result.RequestNextPart)
      send(At, From, Instance.View.makeRequest(boot(), From + 1));
  }

  std::mt19937_64 Random;
  schedule Schedule;
  platform_state State;
  fake_platform Platform;
  std::vector<std::unique_ptr<instance>> Fleet;
  std::map<std::size_t, int> Starts;
  std::map<std::string, int> Sequences;
  /// What operators and targets write again, and what they remove again.
  std::map<std::string, std::string> Wanted;
  std::set<std::string> Withdrawn;
  std::optional<boot_time> WithdrawnAt;
  milliseconds Elapsed{0};
  steady_time NextTick;
  std::string Broken;
};

} // namespace

// Guards against history that the platform loses: a withdrawn key, a target
// that left or an evacuation must not come back on the word of an older copy,
// and all that was written again must be known in the end.
STORY(store_returns_from_an_older_copy) {
  constexpr std::uint64_t Plays = 1000;
  const auto Level = FLAGS_minloglevel;
  FLAGS_minloglevel = google::GLOG_ERROR;
  section("at any step of any write", [&] {
    for (std::uint64_t Seed = 1; Seed <= Plays; ++Seed)
      CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(Seed),
                                   std::string(), play(Seed).run());
  });
  FLAGS_minloglevel = Level;
}
