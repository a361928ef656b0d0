/// Randomized soak test: injects faults into instances that run as processes,
/// then checks the guarantees to callers from the records of callers and
/// targets.
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
constexpr milliseconds RevocationBound = 5000ms;
/// RULES, DRAIN: drainMs.
constexpr milliseconds DrainTime = 2500ms;
/// RULES, EVAC: evacuationMs.
constexpr milliseconds EvacuationTime = 5000ms;
/// The platform kills a process this long after SIGTERM (gracePeriodS).
constexpr milliseconds GracePeriod = 6000ms;
/// Instances have rejoined and serve this long after the last fault
/// (stabilityWindowMs).
constexpr milliseconds StabilityWindow = 4000ms;
/// RULES, QUOTA: quotaWindowS, quotaOver, quotaSlack.
constexpr milliseconds QuotaWindow = 5000ms;
constexpr double QuotaTolerance = 1.1;
constexpr std::size_t QuotaSlack = 20;
constexpr int RecoveryRequests = 60;
/// RULES, BUDGET: crashes before a request is quarantined, and crashes allowed
/// later than StabilityWindow after those.
constexpr std::size_t CrashesAllowed = 3;
constexpr std::ptrdiff_t LateCrashesAllowed = 3;

soak_time now() { return std::chrono::steady_clock::now(); }

/// Largest number of \p Times within any QuotaWindow.
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
  soak(std::uint64_t Seed, milliseconds FaultDuration,
       const std::string &Folder)
      : World(Folder), Random(Seed), FaultDuration(FaultDuration) {}

  /// Violated guarantees, one line each.
  std::vector<std::string> run();

private:
  using action = std::function<void()>;

  std::size_t draw(std::size_t Count) { return Random() % Count; }
  milliseconds drawTime(int Least, int Most) {
    return milliseconds(Least + static_cast<int>(draw(Most - Least)));
  }
  void schedule(milliseconds Time, action Action) {
    ScheduledActions.emplace(now() + Time, std::move(Action));
  }
  void reportViolation(const std::string &What) { Violations.push_back(What); }
  void logEvent(const std::string &What) {
    std::cout
        << std::chrono::duration_cast<milliseconds>(now() - StartedAt).count()
        << " ms " << What << '\n';
  }

  void injectFault();
  void killInstance(soak_instance &Instance);
  void pauseInstance(soak_instance &Instance);
  void terminateInstance(soak_instance &Instance);
  void injectStoreFault();
  void injectTargetFault();
  void drainTarget();
  void evacuate();
  void checkProcesses();
  void waitForRecovery();
  void checkRecovery();
  void checkDrainedTarget();
  void checkAnswers();
  void checkRuns();
  void checkQuota();
  void checkCrashes();
  void terminateAll();
  std::size_t sendRecoveryRequests();
  std::map<std::string, std::vector<target_run>> runsById() const;

  soak_world World;
  std::mt19937_64 Random;
  milliseconds FaultDuration;
  soak_time StartedAt = now();
  bool CrashesStarted = false;
  /// From here on faults excuse no violation.
  std::optional<soak_time> RecoveredAt;
  std::multimap<soak_time, action> ScheduledActions;
  std::vector<std::string> Violations;
};

void soak::killInstance(soak_instance &Instance) {
  if (!Instance.Process)
    return;
  logEvent("kill " + Instance.Name);
  Instance.Process->kill();
  Instance.Process.reset();
  Instance.TerminatedAt.reset();
  schedule(drawTime(0, 1500), [this, &Instance] {
    if (!Instance.Process)
      World.start(Instance);
  });
}

void soak::pauseInstance(soak_instance &Instance) {
  if (!Instance.Process || Instance.Paused)
    return;
  logEvent("pause " + Instance.Name);
  Instance.Process->signal(SIGSTOP);
  Instance.Paused = true;
  Instance.LateExitExcused = true;
  schedule(drawTime(200, 3000), [&Instance] {
    if (Instance.Process && Instance.Paused)
      Instance.Process->signal(SIGCONT);
    Instance.Paused = false;
  });
}

void soak::terminateInstance(soak_instance &Instance) {
  if (!Instance.Process || Instance.TerminatedAt)
    return;
  logEvent("end " + Instance.Name);
  Instance.Process->signal(SIGTERM);
  Instance.TerminatedAt = now();
}

void soak::injectStoreFault() {
  const auto Fault = static_cast<link_fault>(1 + draw(LinkFaults - 1));
  const std::size_t Count = 1 + draw(World.Instances.size());
  logEvent("store link fault " + std::to_string(static_cast<int>(Fault)) +
           " for " + std::to_string(Count));
  const milliseconds Time = drawTime(300, 4000);
  for (std::size_t I = 0; I < Count; ++I) {
    fault_proxy &Link = *World.Instances[draw(World.Instances.size())].Store;
    Link.setFault(Fault);
    schedule(Time, [&Link] { Link.setFault(link_fault::None); });
  }
}

void soak::injectTargetFault() {
  const std::size_t Count = 1 + draw(World.Targets.size());
  const milliseconds Time = drawTime(300, 3000);
  const bool Links = draw(2) == 0;
  const int Fault = static_cast<int>(1 + draw(LinkFaults - 1));
  logEvent(std::string(Links ? "target link" : "target") + " fault " +
           std::to_string(Fault) + " on " + std::to_string(Count));
  for (std::size_t I = 0; I < Count; ++I) {
    soak_target &Target = World.Targets[draw(World.Targets.size())];
    if (Links) {
      Target.Link->setFault(static_cast<link_fault>(Fault));
      schedule(Time, [&Target] { Target.Link->setFault(link_fault::None); });
    } else {
      Target.Target->setFault(static_cast<target_fault>(Fault));
      schedule(Time,
               [&Target] { Target.Target->setFault(target_fault::None); });
    }
  }
}

void soak::drainTarget() {
  soak_target &Target = World.Targets[draw(World.Targets.size())];
  logEvent("drain " + Target.Target->name());
  World.putTarget(Target, "draining");
  schedule(drawTime(500, 3000), [this, &Target] {
    World.Store.remove("servers", Target.Target->name());
  });
  schedule(drawTime(3500, 5000),
           [this, &Target] { World.putTarget(Target, "ready"); });
}

void soak::evacuate() {
  const std::string DataCentre =
      World.Instances[draw(World.Instances.size())].DataCentre;
  logEvent("evacuate " + DataCentre);
  World.Store.put("evacuations", DataCentre, boost::json::object{});
  schedule(drawTime(1000, 4000), [this, DataCentre] {
    World.Store.remove("evacuations", DataCentre);
  });
}

/// Injects a random fault; faults overlap and vary in length.
void soak::injectFault() {
  soak_instance &Instance = World.Instances[draw(World.Instances.size())];
  switch (draw(12)) {
  case 0:
    return killInstance(Instance);
  case 1:
    return pauseInstance(Instance);
  case 2:
    return terminateInstance(Instance);
  case 3:
  case 4:
    return injectStoreFault();
  case 5:
    logEvent("store down");
    World.Store.setDown(true);
    return schedule(drawTime(300, 3000),
                    [this] { World.Store.setDown(false); });
  case 6:
    logEvent("compact");
    return World.Store.compact();
  case 7:
    return injectTargetFault();
  case 8:
    return drainTarget();
  case 9:
    logEvent("configure");
    return World.configure(draw(2) == 0);
  case 10:
    if (CrashesStarted)
      return;
    CrashesStarted = true;
    logEvent("start of requests that crash their targets");
    return World.startCrashes();
  default:
    return evacuate();
  }
}

/// Reports an unexpected exit, and one later than the grace period.
void soak::checkProcesses() {
  for (soak_instance &Instance : World.Instances) {
    if (!Instance.Process)
      continue;
    const std::optional<int> Code = Instance.Process->wait(0ms);
    if (!Code) {
      if (Instance.TerminatedAt && !Instance.LateExitExcused &&
          now() - *Instance.TerminatedAt > GracePeriod)
        reportViolation(Instance.Name + " still runs after its grace period");
      if (Instance.TerminatedAt && now() - *Instance.TerminatedAt > GracePeriod)
        killInstance(Instance);
      continue;
    }
    if (!Instance.TerminatedAt || *Code != 0)
      reportViolation(Instance.Name + " ended with code " +
                      std::to_string(*Code));
    Instance.Process.reset();
    World.start(Instance);
  }
}

std::map<std::string, std::vector<target_run>> soak::runsById() const {
  std::map<std::string, std::vector<target_run>> Runs;
  for (const soak_target &Target : World.Targets)
    for (const target_run &Run : Target.Target->runLog())
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
      reportViolation(Request.Id + " got an answer that no target sent");
    if (Request.EchoedId != Request.Id)
      reportViolation(Request.Id + " got the answer of " + Request.EchoedId);
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
      reportViolation(Request.Id + " ran " + std::to_string(Count) + " times");
    const bool NotRun = Request.Status == 429 || Request.Status == 503 ||
                        Request.Status == 408 || Request.Status == 421;
    if (NotRun && Count > 0)
      reportViolation(Request.Id + " was answered " +
                      std::to_string(Request.Status) + " and ran");
    if (Request.Status == 200 && Count == 0)
      reportViolation(Request.Id + " was answered 200 and never ran");
    if (Count > 0 && Request.Key == "key-gone" && World.KeyWithdrawnAt &&
        Request.SentAt > *World.KeyWithdrawnAt + RevocationBound)
      reportViolation(Request.Id + " ran with a withdrawn key");
    if (Count > 0 && Found->second.front().Workspace !=
                         (Request.Key == "key-small" ? "small" : "club"))
      reportViolation(Request.Id + " ran for another workspace");
  }
  for (const auto &[Id, Seen] : Runs)
    if (!Known.contains(Id))
      reportViolation(Id + " ran but was never sent");
}

void soak::checkQuota() {
  // A request that was retried after a target failed counts as one.
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
      static_cast<std::size_t>((SmallRate * Seconds + SmallRate) *
                               QuotaTolerance) +
      QuotaSlack;
  const std::size_t Most = busiestWindow(std::move(Requests));
  logEvent("busiest 5 s of small: requests " + std::to_string(Most) + " runs " +
           std::to_string(busiestWindow(std::move(Runs))));
  if (Most > Allowed)
    reportViolation("over the rate of small: " + std::to_string(Most) +
                    " in 5 s");
}

/// A request that crashed CrashesAllowed targets may crash only a few later.
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
    logEvent(std::string(Repeatable ? "a repeatable" : "a") +
             " request crashed targets " + std::to_string(Times.size()) +
             " times");
    if (Times.size() <= CrashesAllowed)
      continue;
    const soak_time Since =
        std::max(*RecoveredAt, Times[CrashesAllowed - 1] + StabilityWindow);
    const auto Late =
        std::count_if(Times.begin(), Times.end(),
                      [&](soak_time Time) { return Time > Since; });
    if (Late > LateCrashesAllowed)
      reportViolation("a crashing request reached targets " +
                      std::to_string(Late) + " times after the third crash");
  }
}

void soak::waitForRecovery() {
  logEvent("no more faults");
  // Runs the actions that end the injected faults.
  while (!ScheduledActions.empty()) {
    const auto Next = ScheduledActions.begin();
    std::this_thread::sleep_until(Next->first);
    const action Action = Next->second;
    ScheduledActions.erase(Next);
    Action();
    checkProcesses();
  }
  for (const soak_instance &Instance : World.Instances)
    if (Instance.TerminatedAt)
      std::this_thread::sleep_until(*Instance.TerminatedAt + GracePeriod +
                                    100ms);
  checkProcesses();
  if (!World.waitAllReady(StabilityWindow + StabilityWindow))
    reportViolation("not all instances are ready again");
  std::this_thread::sleep_for(StabilityWindow);
  RecoveredAt = now();
  if (CrashesStarted)
    std::this_thread::sleep_for(StabilityWindow);
}

/// How many of RecoveryRequests are answered with status 200.
std::size_t soak::sendRecoveryRequests() {
  std::size_t Served = 0;
  for (int I = 0; I < RecoveryRequests; ++I) {
    const sent_request Request = World.send(
        World.Instances[I % World.Instances.size()], "key-club", I % 2 == 0);
    Served += Request.Status == 200;
    if (Request.Status != 200)
      logEvent(Request.Id + " got " + std::to_string(Request.Status) +
               ", ran " + std::to_string(runsById()[Request.Id].size()) +
               " times");
    std::this_thread::sleep_for(10ms);
  }
  return Served;
}

void soak::checkRecovery() {
  if (const std::size_t Served = sendRecoveryRequests();
      Served < RecoveryRequests)
    reportViolation("after the faults " + std::to_string(Served) + " of " +
                    std::to_string(RecoveryRequests) + " are served");
  checkDrainedTarget();
}

void soak::checkDrainedTarget() {
  const soak_target &Drained = World.Targets.front();
  const std::string Evacuated = World.Targets.back().DataCentre;
  World.putTarget(Drained, "draining");
  World.Store.put("evacuations", Evacuated, boost::json::object{});
  std::this_thread::sleep_for(std::max(DrainTime, EvacuationTime));
  const soak_time Since = now();
  if (sendRecoveryRequests() < RecoveryRequests)
    reportViolation("requests are lost over a drain and an evacuation");
  for (const soak_target &Target : World.Targets) {
    if (&Target != &Drained && Target.DataCentre != Evacuated)
      continue;
    for (const target_run &Run : Target.Target->runLog())
      if (Run.At > Since)
        reportViolation(Run.Id + " reached " + Target.Target->name() +
                        ", which is drained or evacuated");
  }
}

void soak::terminateAll() {
  for (soak_instance &Instance : World.Instances)
    Instance.Process->signal(SIGTERM);
  for (soak_instance &Instance : World.Instances)
    if (Instance.Process->wait(GracePeriod) != 0)
      reportViolation(Instance.Name +
                      " did not exit with code 0 within its grace period");
}

std::vector<std::string> soak::run() {
  if (!World.waitAllReady(10s))
    return {"not all instances are ready after the start"};
  // Callers start after the instances have joined each other, as on the
  // platform.
  std::this_thread::sleep_for(2s);
  World.startCallers();
  const soak_time End = now() + FaultDuration;
  soak_time NextFault = now() + 500ms;
  while (now() < End) {
    while (!ScheduledActions.empty() &&
           ScheduledActions.begin()->first <= now()) {
      const action Action = ScheduledActions.begin()->second;
      ScheduledActions.erase(ScheduledActions.begin());
      Action();
    }
    if (now() >= NextFault) {
      injectFault();
      NextFault = now() + drawTime(50, 1500);
    }
    checkProcesses();
    std::this_thread::sleep_for(10ms);
  }
  waitForRecovery();
  World.stopCallers();
  checkRecovery();
  terminateAll();
  checkAnswers();
  checkRuns();
  checkQuota();
  checkCrashes();
  std::size_t Served = 0;
  const auto Sent = World.sent();
  for (const sent_request &Request : Sent)
    Served += Request.Status == 200;
  logEvent("requests " + std::to_string(Sent.size()) + " served " +
           std::to_string(Served));
  return Violations;
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
    const std::vector<std::string> Violations =
        soak(Seed, std::chrono::seconds(Seconds), Folder).run();
    for (const std::string &Line : Violations)
      std::cout << "BROKEN seed " << Seed << ": " << Line << '\n';
    if (Violations.empty())
      std::filesystem::remove_all(Folder);
    else
      std::cout << "logs in " << Folder << '\n';
    std::cout.flush();
    Result |= Violations.empty() ? 0 : 1;
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
