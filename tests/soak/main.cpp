/// Randomized soak: real instances, faults from outside, and an observer that
/// checks the promises to callers by what callers and targets saw.
#include "world.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <iostream>
#include <map>
#include <random>

using namespace magnoliaspread;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

/// RULES, CONFIG: revocationMs.
constexpr milliseconds Revocation = 5000ms;
/// RULES, DRAIN: drainMs.
constexpr milliseconds DrainTime = 2500ms;
/// RULES, EVAC: evacuationMs.
constexpr milliseconds EvacuationTime = 5000ms;
/// The platform kills a process this long after SIGTERM (gracePeriodS).
constexpr milliseconds Grace = 6000ms;
/// Instances are in touch again this long after the last fault
/// (stabilityWindowMs), and serve.
constexpr milliseconds Stability = 4000ms;
/// RULES, QUOTA: quotaWindowS, quotaOver, quotaSlack.
constexpr milliseconds QuotaWindow = 5000ms;
constexpr double QuotaOver = 1.1;
constexpr std::size_t QuotaSlack = 20;
constexpr int CalmRequests = 60;
/// RULES, BUDGET: crashes before a request is stopped, and its retries later
/// than Stability after them.
constexpr std::size_t CrashesAllowed = 3;
constexpr std::ptrdiff_t LateCrashesAllowed = 3;

soak_time now() { return std::chrono::steady_clock::now(); }

/// The most of \p Times in any QuotaWindow.
std::size_t busiestWindow(std::vector<soak_time> Times) {
  std::sort(Times.begin(), Times.end());
  std::size_t Most = 0;
  std::size_t First = 0;
  for (std::size_t Last = 0; Last < Times.size(); ++Last) {
    while (Times[Last] - Times[First] >= QuotaWindow)
      ++First;
    Most = std::max(Most, Last - First + 1);
  }
  return Most;
}

class soak {
public:
  soak(std::uint64_t Seed, milliseconds Length, const std::string &Folder)
      : World(Folder), Random(Seed), Length(Length) {}

  /// What was broken, one line each.
  std::vector<std::string> run();

private:
  using action = std::function<void()>;

  std::size_t draw(std::size_t Count) { return Random() % Count; }
  milliseconds span(int Least, int Most) {
    return milliseconds(Least + static_cast<int>(draw(Most - Least)));
  }
  void after(milliseconds Time, action Action) {
    Due.emplace(now() + Time, std::move(Action));
  }
  void broken(const std::string &What) { Broken.push_back(What); }
  void note(const std::string &What) {
    std::cout
        << std::chrono::duration_cast<milliseconds>(now() - StartedAt).count()
        << " ms " << What << '\n';
  }

  void addFault();
  void killOne(soak_instance &Instance);
  void pauseOne(soak_instance &Instance);
  void endOne(soak_instance &Instance);
  void spoilStore();
  void spoilTargets();
  void drainTarget();
  void evacuate();
  void watchProcesses();
  void calmDown();
  void checkCalm();
  void checkDrainedTarget();
  void checkAnswers();
  void checkRuns();
  void checkQuota();
  void checkCrashes();
  void endAll();
  std::size_t serveSome();
  std::map<std::string, std::vector<target_run>> runsById() const;

  soak_world World;
  std::mt19937_64 Random;
  milliseconds Length;
  soak_time StartedAt = now();
  bool Crashing = false;
  /// The faults are over and excuse nothing any more.
  std::optional<soak_time> CalmSince;
  std::multimap<soak_time, action> Due;
  std::vector<std::string> Broken;
};

void soak::killOne(soak_instance &Instance) {
  if (!Instance.Process)
    return;
  note("kill " + Instance.Name);
  Instance.Process->kill();
  Instance.Process.reset();
  Instance.Ending.reset();
  after(span(0, 1500), [this, &Instance] {
    if (!Instance.Process)
      World.start(Instance);
  });
}

void soak::pauseOne(soak_instance &Instance) {
  if (!Instance.Process || Instance.Paused)
    return;
  note("pause " + Instance.Name);
  Instance.Process->signal(SIGSTOP);
  Instance.Paused = true;
  Instance.Disturbed = true;
  after(span(200, 3000), [&Instance] {
    if (Instance.Process && Instance.Paused)
      Instance.Process->signal(SIGCONT);
    Instance.Paused = false;
  });
}

void soak::endOne(soak_instance &Instance) {
  if (!Instance.Process || Instance.Ending)
    return;
  note("end " + Instance.Name);
  Instance.Process->signal(SIGTERM);
  Instance.Ending = now();
}

void soak::spoilStore() {
  const auto Fault = static_cast<link_fault>(1 + draw(LinkFaults - 1));
  const std::size_t Count = 1 + draw(World.Instances.size());
  note("store link fault " + std::to_string(static_cast<int>(Fault)) + " for " +
       std::to_string(Count));
  const milliseconds Time = span(300, 4000);
  for (std::size_t I = 0; I < Count; ++I) {
    fault_proxy &Link = *World.Instances[draw(World.Instances.size())].Store;
    Link.setFault(Fault);
    after(Time, [&Link] { Link.setFault(link_fault::None); });
  }
}

void soak::spoilTargets() {
  const std::size_t Count = 1 + draw(World.Targets.size());
  const milliseconds Time = span(300, 3000);
  const bool Links = draw(2) == 0;
  const int Fault = static_cast<int>(1 + draw(LinkFaults - 1));
  note(std::string(Links ? "target link" : "target") + " fault " +
       std::to_string(Fault) + " on " + std::to_string(Count));
  for (std::size_t I = 0; I < Count; ++I) {
    soak_target &Target = World.Targets[draw(World.Targets.size())];
    if (Links) {
      Target.Link->setFault(static_cast<link_fault>(Fault));
      after(Time, [&Target] { Target.Link->setFault(link_fault::None); });
    } else {
      Target.Target->setFault(static_cast<target_fault>(Fault));
      after(Time, [&Target] { Target.Target->setFault(target_fault::None); });
    }
  }
}

void soak::drainTarget() {
  soak_target &Target = World.Targets[draw(World.Targets.size())];
  note("drain " + Target.Target->name());
  World.putTarget(Target, "draining");
  after(span(500, 3000), [this, &Target] {
    World.Store.remove("servers", Target.Target->name());
  });
  after(span(3500, 5000),
        [this, &Target] { World.putTarget(Target, "ready"); });
}

void soak::evacuate() {
  const std::string DataCentre =
      World.Instances[draw(World.Instances.size())].DataCentre;
  note("evacuate " + DataCentre);
  World.Store.put("evacuations", DataCentre, boost::json::object{});
  after(span(1000, 4000),
        [this, DataCentre] { World.Store.remove("evacuations", DataCentre); });
}

/// Several kinds at a time, of any length, and on top of each other.
void soak::addFault() {
  soak_instance &Instance = World.Instances[draw(World.Instances.size())];
  switch (draw(12)) {
  case 0:
    return killOne(Instance);
  case 1:
    return pauseOne(Instance);
  case 2:
    return endOne(Instance);
  case 3:
  case 4:
    return spoilStore();
  case 5:
    note("store down");
    World.Store.setDown(true);
    return after(span(300, 3000), [this] { World.Store.setDown(false); });
  case 6:
    note("compact");
    return World.Store.compact();
  case 7:
    return spoilTargets();
  case 8:
    return drainTarget();
  case 9:
    note("configure");
    return World.configure(draw(2) == 0);
  case 10:
    if (Crashing)
      return;
    Crashing = true;
    note("a request that crashes its targets comes");
    return World.startCrashes();
  default:
    return evacuate();
  }
}

/// An end that nobody asked for, or one that takes too long, is broken.
void soak::watchProcesses() {
  for (soak_instance &Instance : World.Instances) {
    if (!Instance.Process)
      continue;
    const std::optional<int> Code = Instance.Process->wait(0ms);
    if (!Code) {
      if (Instance.Ending && !Instance.Disturbed &&
          now() - *Instance.Ending > Grace)
        broken(Instance.Name + " runs on after its grace");
      if (Instance.Ending && now() - *Instance.Ending > Grace)
        killOne(Instance);
      continue;
    }
    if (!Instance.Ending || *Code != 0)
      broken(Instance.Name + " ended with code " + std::to_string(*Code));
    Instance.Process.reset();
    World.start(Instance);
  }
}

std::map<std::string, std::vector<target_run>> soak::runsById() const {
  std::map<std::string, std::vector<target_run>> Runs;
  for (const soak_target &Target : World.Targets)
    for (const target_run &Run : Target.Target->seen())
      Runs[Run.Id].push_back(Run);
  return Runs;
}

void soak::checkAnswers() {
  for (const sent_request &Request : World.sent()) {
    if (Request.Status != 200)
      continue;
    const std::string Name = Request.Signature.substr(std::min<std::size_t>(
        Request.Signature.size(), std::string("signed-by-").size()));
    if (Name.empty() || Request.Body != "answer of " + Name)
      broken(Request.Id + " got an answer that no target gave");
    if (Request.EchoedId != Request.Id)
      broken(Request.Id + " got the answer of " + Request.EchoedId);
  }
}

void soak::checkRuns() {
  const auto Runs = runsById();
  std::map<std::string, const sent_request *> Known;
  const std::vector<sent_request> Sent = World.sent();
  for (const sent_request &Request : Sent) {
    Known[Request.Id] = &Request;
    const auto Found = Runs.find(Request.Id);
    const std::size_t Count = Found == Runs.end() ? 0 : Found->second.size();
    if (!Request.Repeatable && Count > 1)
      broken(Request.Id + " ran " + std::to_string(Count) + " times");
    const bool NotRun = Request.Status == 429 || Request.Status == 503 ||
                        Request.Status == 408 || Request.Status == 421;
    if (NotRun && Count > 0)
      broken(Request.Id + " was answered " + std::to_string(Request.Status) +
             " and ran");
    if (Request.Status == 200 && Count == 0)
      broken(Request.Id + " was answered 200 and never ran");
    if (Count > 0 && Request.Key == "key-gone" && World.Withdrawn &&
        Request.SentAt > *World.Withdrawn + Revocation)
      broken(Request.Id + " ran with a withdrawn key");
    if (Count > 0 && Found->second.front().Workspace !=
                         (Request.Key == "key-small" ? "small" : "club"))
      broken(Request.Id + " ran for another workspace");
  }
  for (const auto &[Id, Seen] : Runs)
    if (!Known.contains(Id))
      broken(Id + " ran and nobody sent it");
}

void soak::checkQuota() {
  // A request that is repeated after a target broke off counts once.
  std::vector<soak_time> Runs;
  std::vector<soak_time> Requests;
  for (const auto &[Id, Seen] : runsById()) {
    if (Seen.front().Workspace != "small")
      continue;
    soak_time First = Seen.front().At;
    for (const target_run &Run : Seen) {
      Runs.push_back(Run.At);
      First = std::min(First, Run.At);
    }
    Requests.push_back(First);
  }
  const double Seconds = std::chrono::duration<double>(QuotaWindow).count();
  const std::size_t Allowed =
      static_cast<std::size_t>((SmallRate * Seconds + SmallRate) * QuotaOver) +
      QuotaSlack;
  const std::size_t Most = busiestWindow(std::move(Requests));
  note("busiest 5 s of small: requests " + std::to_string(Most) + " runs " +
       std::to_string(busiestWindow(std::move(Runs))));
  if (Most > Allowed)
    broken("over the rate of small: " + std::to_string(Most) + " in 5 s");
}

/// A request under which CrashesAllowed targets died reaches few others later.
void soak::checkCrashes() {
  const auto Runs = runsById();
  std::map<bool, std::vector<soak_time>> Crashes;
  for (const sent_request &Request : World.sent())
    if (const auto Found = Runs.find(Request.Id);
        Request.Crashes && Found != Runs.end())
      for (const target_run &Run : Found->second)
        Crashes[Request.Repeatable].push_back(Run.At);
  for (auto &[Repeatable, Times] : Crashes) {
    std::sort(Times.begin(), Times.end());
    note(std::string(Repeatable ? "a repeatable" : "a") +
         " request crashed targets " + std::to_string(Times.size()) + " times");
    if (Times.size() <= CrashesAllowed)
      continue;
    const soak_time Since =
        std::max(*CalmSince, Times[CrashesAllowed - 1] + Stability);
    const auto Late =
        std::count_if(Times.begin(), Times.end(),
                      [&](soak_time Time) { return Time > Since; });
    if (Late > LateCrashesAllowed)
      broken("a crashing request reached targets " + std::to_string(Late) +
             " times after the third crash");
  }
}

void soak::calmDown() {
  note("calm");
  // What was begun comes to its end.
  while (!Due.empty()) {
    const auto Next = Due.begin();
    std::this_thread::sleep_until(Next->first);
    const action Action = Next->second;
    Due.erase(Next);
    Action();
    watchProcesses();
  }
  for (const soak_instance &Instance : World.Instances)
    if (Instance.Ending)
      std::this_thread::sleep_until(*Instance.Ending + Grace + 100ms);
  watchProcesses();
  if (!World.waitAllReady(Stability + Stability))
    broken("not all instances are ready again");
  std::this_thread::sleep_for(Stability);
  CalmSince = now();
  if (Crashing)
    std::this_thread::sleep_for(Stability);
}

/// Requests that are answered with success, of CalmRequests.
std::size_t soak::serveSome() {
  std::size_t Served = 0;
  for (int I = 0; I < CalmRequests; ++I) {
    const sent_request Request = World.send(
        World.Instances[I % World.Instances.size()], "key-club", I % 2 == 0);
    Served += Request.Status == 200;
    if (Request.Status != 200)
      note(Request.Id + " got " + std::to_string(Request.Status) + ", ran " +
           std::to_string(runsById()[Request.Id].size()) + " times");
    std::this_thread::sleep_for(10ms);
  }
  return Served;
}

void soak::checkCalm() {
  if (const std::size_t Served = serveSome(); Served < CalmRequests)
    broken("after the faults " + std::to_string(Served) + " of " +
           std::to_string(CalmRequests) + " are served");
  checkDrainedTarget();
}

void soak::checkDrainedTarget() {
  const soak_target &Drained = World.Targets.front();
  const std::string Evacuated = World.Targets.back().DataCentre;
  World.putTarget(Drained, "draining");
  World.Store.put("evacuations", Evacuated, boost::json::object{});
  std::this_thread::sleep_for(std::max(DrainTime, EvacuationTime));
  const soak_time Since = now();
  if (serveSome() < CalmRequests)
    broken("requests are lost over a drain and an evacuation");
  for (const soak_target &Target : World.Targets) {
    if (&Target != &Drained && Target.DataCentre != Evacuated)
      continue;
    for (const target_run &Run : Target.Target->seen())
      if (Run.At > Since)
        broken(Run.Id + " reached " + Target.Target->name() +
               ", which was to get nothing");
  }
}

void soak::endAll() {
  for (soak_instance &Instance : World.Instances)
    Instance.Process->signal(SIGTERM);
  for (soak_instance &Instance : World.Instances)
    if (Instance.Process->wait(Grace) != 0)
      broken(Instance.Name + " did not end in its grace with code 0");
}

std::vector<std::string> soak::run() {
  if (!World.waitAllReady(10s))
    return {"not all instances are ready after the start"};
  // Callers come once the instances know each other, as on the platform.
  std::this_thread::sleep_for(2s);
  World.startCallers();
  const soak_time End = now() + Length;
  soak_time NextFault = now() + 500ms;
  while (now() < End) {
    while (!Due.empty() && Due.begin()->first <= now()) {
      const action Action = Due.begin()->second;
      Due.erase(Due.begin());
      Action();
    }
    if (now() >= NextFault) {
      addFault();
      NextFault = now() + span(50, 1500);
    }
    watchProcesses();
    std::this_thread::sleep_for(10ms);
  }
  calmDown();
  World.stopCallers();
  checkCalm();
  endAll();
  checkAnswers();
  checkRuns();
  checkQuota();
  checkCrashes();
  std::size_t Served = 0;
  const auto Sent = World.sent();
  for (const sent_request &Request : Sent)
    Served += Request.Status == 200;
  note("requests " + std::to_string(Sent.size()) + " served " +
       std::to_string(Served));
  return Broken;
}

std::string makeFolder() {
  std::string Name =
      (std::filesystem::temp_directory_path() / "soak-XXXXXX").string();
  if (mkdtemp(Name.data()) == nullptr)
    throw std::runtime_error("no temporary folder");
  return Name;
}

} // namespace

static int runProgram(int Argc, char **Argv) {
  CLI::App App("Fault soak of magnoliaspread instances on one machine");
  std::vector<std::uint64_t> Seeds{1};
  int Seconds = 10;
  App.add_option("--seeds", Seeds, "seeds to play, one after the other");
  App.add_option("--seconds", Seconds, "length of the faults of each seed");
  App.footer("Exit codes: 0 nothing broken, 1 broken (logs are kept).");
  CLI11_PARSE(App, Argc, Argv);
  int Result = 0;
  for (const std::uint64_t Seed : Seeds) {
    const std::string Folder = makeFolder();
    std::cout << "seed " << Seed << '\n';
    const std::vector<std::string> Broken =
        soak(Seed, std::chrono::seconds(Seconds), Folder).run();
    for (const std::string &Line : Broken)
      std::cout << "BROKEN seed " << Seed << ": " << Line << '\n';
    if (Broken.empty())
      std::filesystem::remove_all(Folder);
    else
      std::cout << "logs in " << Folder << '\n';
    std::cout.flush();
    Result |= Broken.empty() ? 0 : 1;
  }
  return Result;
}

int main(int Argc, char **Argv) {
  try {
    return runProgram(Argc, Argv);
  } catch (const std::exception &Problem) {
    std::fputs(Problem.what(), stderr);
    return 1;
  }
}
