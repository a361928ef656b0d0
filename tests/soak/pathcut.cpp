/// Property: while some instances reach no targets, their callers are served
/// about as well as the others.
#include "cutport.h"

#include <client.h>
#include <process.h>
#include <standin.h>

#include <magnoliaspread/story.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <thread>

using namespace magnoliaspread;
using namespace std::chrono_literals;
namespace json = boost::json;
using std::chrono::milliseconds;
using test_time = std::chrono::steady_clock::time_point;

namespace {

/// RULES, RECOVER: the bounds hold from stabilityWindowMs after the cut began.
constexpr milliseconds StabilityWindow{4000};
/// Least part of the others' share of served first tries.
constexpr double LeastPart = 2.0 / 3;
/// First tries that may fail in any case: this many and one in so many.
constexpr std::size_t FailuresAllowed = 10;
constexpr std::size_t FailuresPart = 50;
/// The directory's answers name a time to live in whole seconds.
constexpr milliseconds LookupTtl{2000};
constexpr std::size_t TargetCount = 6;
constexpr double ColdTargetRate = 200;
constexpr milliseconds Work{10};
constexpr milliseconds CallerDeadline{1500};
/// A caller that isn't served within this time has failed at its first try.
constexpr milliseconds FirstTryTimeout{2000};
const std::string Secret(64, 'a');

struct cut_folder {
  cut_folder() {
    if (mkdtemp(Name.data()) == nullptr)
      throw std::runtime_error("no temporary folder");
  }
  ~cut_folder() { std::filesystem::remove_all(Name); }

  std::string Name =
      (std::filesystem::temp_directory_path() / "pathcut-XXXXXX").string();
};

/// An instance that reaches each target at an address of its own.
struct cut_instance {
  std::string Name;
  std::string DataCentre;
  std::string Host;
  double CpuShare = 0;
  std::uint16_t Public = freePort();
  std::uint16_t Admin = freePort();
  std::uint16_t Directory = freePort();
  std::uint16_t Ready = freePort();
  std::vector<std::unique_ptr<cut_port>> Links;
  /// The platform's store as this instance sees it.
  std::unique_ptr<http_standin> Store;
  std::optional<process> Process;
  bool Cut = false;
};

struct first_try {
  std::uint16_t Instance;
  test_time At;
  bool Served;
};

/// Requests each second and the number of times to live that a caller keeps an
/// answer of the directory.
struct caller_habit {
  milliseconds Pause;
  int TimesToLive;
  bool KeepsConnection;
};

/// Two data centres; the first instance of each takes nearly all requests.
class cut_fleet {
public:
  explicit cut_fleet(std::size_t PerDataCentre) {
    Store.put("config", "main",
              standinConfiguration(1, ColdTargetRate,
                                   {standinTenant("club", {"k"}, 100000)}));
    for (std::size_t I = 0; I < TargetCount; ++I) {
      Targets.push_back(
          std::make_unique<target_standin>("i-" + std::to_string(I)));
      Targets.back()->setWorkTime(Work);
      Store.put("servers", Targets.back()->name(),
                Targets.back()->entry("ready", I % 2 == 0 ? "a" : "b"));
    }
    for (const std::string DataCentre : {"a", "b"})
      for (std::size_t I = 0; I < PerDataCentre; ++I)
        add(DataCentre, I == 0 ? 0.5 : 0.1);
    for (const auto &Instance : Instances)
      start(*Instance);
    for (const auto &Instance : Instances)
      CPPUNIT_ASSERT(within(20s, [&] { return ready(*Instance); }));
    // Until the instances have joined each other.
    std::this_thread::sleep_for(3s);
  }

  ~cut_fleet() {
    Stopped = true;
    for (std::thread &Caller : Callers)
      Caller.join();
    if (const char *Kept = std::getenv("PATHCUT_LOGS"))
      std::filesystem::copy(
          Folder.Name, Kept,
          std::filesystem::copy_options::recursive |
              std::filesystem::copy_options::overwrite_existing);
  }

  /// Callers of both data centres: most keep an answer of the directory for its
  /// time to live, some for three times as long; half use new connections. Each
  /// weak instance gets about one request a second, as nothing names it.
  void startCallers() {
    const std::array Habits{
        caller_habit{40ms, 1, false}, caller_habit{40ms, 1, true},
        caller_habit{40ms, 1, false}, caller_habit{40ms, 3, true},
        caller_habit{40ms, 3, false}};
    for (const std::string DataCentre : {"a", "b"})
      for (const caller_habit &Habit : Habits)
        Callers.emplace_back([=, this] { useDirectory(DataCentre, Habit); });
    for (const auto &Instance : Instances)
      if (Instance->CpuShare < 0.5)
        Callers.emplace_back([&Row = *Instance, this] { useWeak(Row); });
  }

  void cut(std::size_t Index, path_cut How) {
    Instances[Index]->Cut = true;
    for (const auto &Link : Instances[Index]->Links)
      Link->apply(How);
  }

  void heal() {
    for (const auto &Instance : Instances)
      for (const auto &Link : Instance->Links)
        Link->apply(path_cut::None);
  }

  /// Whether the first tries at cut instances between two times keep to one of
  /// the rule's bounds.
  void checkServed(test_time From, test_time To) {
    std::array<std::size_t, 2> Sent{};
    std::array<std::size_t, 2> Served{};
    {
      const std::lock_guard Lock(Mutex);
      for (const first_try &Row : Tries)
        if (Row.At >= From && Row.At < To) {
          const bool AtCut = std::any_of(
              Instances.begin(), Instances.end(), [&](const auto &Instance) {
                return Instance->Cut && Instance->Public == Row.Instance;
              });
          ++Sent[AtCut ? 1 : 0];
          Served[AtCut ? 1 : 0] += Row.Served ? 1 : 0;
        }
    }
    std::cerr << "first tries served: at cut instances " << Served[1] << " of "
              << Sent[1] << ", at the others " << Served[0] << " of " << Sent[0]
              << "\n";
    CPPUNIT_ASSERT(Sent[0] > 0 || Sent[1] > 0);
    const auto ShareOf = [&](std::size_t Which) {
      return Sent[Which] == 0 ? 1.0
                              : static_cast<double>(Served[Which]) /
                                    static_cast<double>(Sent[Which]);
    };
    const bool FewFail =
        Sent[1] - Served[1] <= FailuresAllowed + Sent[1] / FailuresPart;
    CPPUNIT_ASSERT(FewFail || ShareOf(1) >= LeastPart * ShareOf(0));
    // Cut instances must not draw their failures from the others.
    CPPUNIT_ASSERT(ShareOf(0) >= 0.9);
  }

  /// Cuts instances off for a while and checks what callers got meanwhile.
  void play(const std::vector<std::size_t> &Which, path_cut How,
            milliseconds Length = 9000ms) {
    startCallers();
    std::this_thread::sleep_for(3s);
    const test_time Began = std::chrono::steady_clock::now();
    for (const std::size_t Index : Which)
      cut(Index, How);
    std::this_thread::sleep_for(Length);
    const test_time Ended = std::chrono::steady_clock::now();
    // What is sent last has ended by then.
    std::this_thread::sleep_for(FirstTryTimeout);
    checkServed(Began + StabilityWindow, Ended);
    heal();
    CPPUNIT_ASSERT(within(8s, [&] {
      return std::all_of(Instances.begin(), Instances.end(),
                         [](const auto &Row) { return ready(*Row); });
    }));
    const test_time Healed = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(2s + FirstTryTimeout);
    checkServed(Healed, Healed + 2s);
  }

private:
  static bool within(milliseconds Time,
                     const std::function<bool()> &Condition) {
    const auto End = std::chrono::steady_clock::now() + Time;
    while (std::chrono::steady_clock::now() < End) {
      if (Condition())
        return true;
      std::this_thread::sleep_for(20ms);
    }
    return Condition();
  }

  static bool ready(const cut_instance &Instance) {
    return call(Instance.Ready, {.Target = "/magnoliaspread/readiness"})
               .Status == 200;
  }

  static std::string at(std::uint16_t Port) {
    return "127.0.0.1:" + std::to_string(Port);
  }

  void add(const std::string &DataCentre, double CpuShare) {
    auto &Instance = *Instances.emplace_back(std::make_unique<cut_instance>());
    const std::string Number = std::to_string(Instances.size());
    Instance.Name = DataCentre + "-" + Number;
    Instance.DataCentre = DataCentre;
    Instance.Host = "127.0.3." + Number;
    Instance.CpuShare = CpuShare;
    std::vector<std::pair<std::string, std::string>> Addresses;
    for (const auto &Target : Targets) {
      Instance.Links.push_back(std::make_unique<cut_port>(Target->port()));
      Addresses.emplace_back("\"" + at(Target->port()) + "\"",
                             "\"" + at(Instance.Links.back()->port()) + "\"");
    }
    Instance.Store = std::make_unique<http_standin>(
        [this, Addresses](const standin_request &Request) {
          auto Answer = Store.answer(Request);
          for (const auto &[Common, Own] : Addresses)
            for (std::size_t Place = 0; Answer;) {
              Place = Answer->body().find(Common, Place);
              if (Place == std::string::npos)
                break;
              Answer->body().replace(Place, Common.size(), Own);
            }
          if (Answer)
            Answer->prepare_payload();
          return Answer;
        });
  }

  /// Each instance is a region of its own, so that none takes the addresses of
  /// targets from a peer.
  std::string settingsOf(const cut_instance &Instance) const {
    const std::string Region = "of-" + Instance.Name;
    json::array Seeds;
    for (const auto &Row : Instances)
      Seeds.emplace_back(Row->Host + ":" + std::to_string(InternalPort));
    return json::serialize(json::object{
        {"name", Instance.Name},
        {"region", Region},
        {"data_centre", Instance.DataCentre},
        {"public", at(Instance.Public)},
        {"internal", Instance.Host + ":" + std::to_string(InternalPort)},
        {"admin", at(Instance.Admin)},
        {"platform", at(Instance.Store->port())},
        {"fleet_secret", Secret},
        {"lookup_ttl_ms", LookupTtl.count()},
        {"control_tick_ms", 50},
        {"gateway", json::object{{"directory", at(Instance.Directory)},
                                 {"ready", at(Instance.Ready)},
                                 {"data_centres",
                                  json::object{{"a", Region}, {"b", Region}}},
                                 {"seeds", std::move(Seeds)},
                                 {"revocation_ms", 5000},
                                 {"retry_ratio", 0.2},
                                 {"detect_broken_path", true},
                                 {"forward_port", ForwardPort},
                                 {"cpu_share", Instance.CpuShare},
                                 {"first_start", true},
                                 {"grace_ms", 6000}}}});
  }

  void start(cut_instance &Instance) {
    const std::string File = Folder.Name + "/" + Instance.Name;
    std::ofstream(File + ".json") << settingsOf(Instance);
    Instance.Process.emplace(
        std::vector<std::string>{DAEMON_PROGRAM, "--settings", File + ".json"},
        File + ".log", true);
  }

  http_call request() {
    const std::string Id = std::to_string(++NextId);
    const bool Repeatable = NextId % 3 != 0;
    return {
        .Method = Repeatable ? "GET" : "POST",
        .Target = Repeatable ? "/read/1" : "/pay/1",
        .Fields = {{"Host", "a.example"},
                   {"Attempt-Id", Id},
                   {"Affinity-Key", std::to_string(NextId % 40)},
                   {"Request-Deadline", std::to_string(CallerDeadline.count())},
                   {"Key", "k"}},
        .Body = Repeatable ? "" : "sum=3",
        .Timeout = FirstTryTimeout};
  }

  void record(std::uint16_t Instance, test_time At, bool Served) {
    const std::lock_guard Lock(Mutex);
    Tries.push_back({Instance, At, Served});
  }

  /// The ports that the directory of the data centre's first instance names.
  std::vector<std::uint16_t> lookUp(const std::string &DataCentre) const {
    std::vector<std::uint16_t> Ports;
    std::string Query = "/magnoliaspread/resolution?name=a.example&region=";
    Query.append(DataCentre).append("&zone=").append(DataCentre);
    for (const auto &Instance : Instances) {
      if (Instance->DataCentre != DataCentre)
        continue;
      const http_answer Answer =
          call(Instance->Directory, {.Target = Query, .Timeout = 1000ms});
      if (Answer.Status != 200)
        continue;
      const json::value Named = Answer.json();
      for (const json::value &Row : Named.at("addresses").as_array()) {
        const std::string Text(Row.as_string());
        Ports.push_back(static_cast<std::uint16_t>(
            std::stoi(Text.substr(Text.find(':') + 1))));
      }
      break;
    }
    return Ports;
  }

  void useDirectory(const std::string &DataCentre, const caller_habit &Habit) {
    std::mt19937 Random(static_cast<unsigned>(Habit.Pause.count()) +
                        static_cast<unsigned>(DataCentre[0]));
    std::vector<std::uint16_t> Ports;
    test_time Until;
    std::uint16_t Connected = 0;
    std::unique_ptr<open_connection> Connection;
    while (!Stopped) {
      const test_time Now = std::chrono::steady_clock::now();
      if (Now >= Until) {
        if (auto Named = lookUp(DataCentre); !Named.empty())
          Ports = std::move(Named);
        Until = Now + LookupTtl * Habit.TimesToLive;
        if (std::find(Ports.begin(), Ports.end(), Connected) == Ports.end())
          Connection.reset();
      }
      if (Ports.empty())
        continue;
      if (!Connection) {
        Connected = Ports[Random() % Ports.size()];
        Connection = std::make_unique<open_connection>(Connected);
      }
      const http_answer Answer = Connection->call(request());
      record(Connected, Now, Answer.Status == 200);
      const auto Closes = Answer.Fields.find("Connection");
      if (!Habit.KeepsConnection || Answer.Status == 0 ||
          (Closes != Answer.Fields.end() && Closes->second == "close"))
        Connection.reset();
      std::this_thread::sleep_for(Habit.Pause);
    }
  }

  void useWeak(const cut_instance &Instance) {
    while (!Stopped) {
      const test_time Now = std::chrono::steady_clock::now();
      const http_answer Answer = call(Instance.Public, request());
      record(Instance.Public, Now, Answer.Status == 200);
      std::this_thread::sleep_for(1s);
    }
  }

  store_standin Store;
  std::vector<std::unique_ptr<target_standin>> Targets;
  std::uint16_t InternalPort = freePort();
  std::uint16_t ForwardPort = freePort();
  cut_folder Folder;
  std::vector<std::unique_ptr<cut_instance>> Instances;
  std::atomic<bool> Stopped = false;
  std::atomic<std::uint64_t> NextId = 0;
  std::vector<std::thread> Callers;
  std::mutex Mutex;
  std::vector<first_try> Tries;
};

constexpr std::size_t PerDataCentre = 4;

} // namespace

// All of these guard against callers who stay at, or are sent to, instances
// that have lost all targets (RECOVER).

STORY(callers_are_served_while_a_data_centre_is_refused_by_all_targets) {
  cut_fleet Fleet(PerDataCentre);
  Fleet.play({0, 1, 2, 3}, path_cut::Resets);
}

STORY(callers_are_served_while_a_data_centre_hears_no_target) {
  cut_fleet Fleet(PerDataCentre);
  Fleet.play({0, 1, 2, 3}, path_cut::Hangs);
}

STORY(callers_are_served_while_a_data_centre_opens_no_connection) {
  cut_fleet Fleet(PerDataCentre);
  Fleet.play({0, 1, 2, 3}, path_cut::OnlyNewFail);
}

STORY(callers_are_served_while_all_but_one_of_a_data_centre_hear_no_target) {
  cut_fleet Fleet(PerDataCentre);
  Fleet.play({0, 1, 2}, path_cut::Hangs);
}

STORY(callers_are_served_while_idle_instances_hear_no_target) {
  cut_fleet Fleet(PerDataCentre);
  Fleet.play({1, 2, 5, 6}, path_cut::Hangs);
}
