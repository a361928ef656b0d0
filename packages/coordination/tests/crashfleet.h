/// Simulates instances that share targets, and a request that crashes each
/// target that runs it. Time, message loss and choices are seeded.
#ifndef MAGNOLIASPREAD_TESTS_CRASHFLEET_H
#define MAGNOLIASPREAD_TESTS_CRASHFLEET_H

#include <magnoliaspread/quarantine.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace magnoliaspread {

struct crash_plan {
  std::size_t Instances = 1;
  std::uint64_t Seed = 1;
  /// Fraction of the messages between instances that is lost.
  double Loss = 0;
  /// The first instance that quarantines the request by its own crashes is
  /// killed soon after.
  bool KillsFirstRefuser = false;
  /// Single targets crash every two seconds, and once many at the same time.
  bool OtherCrashes = false;
  std::chrono::milliseconds CrashingPeriod{1000};
  /// Maximum attempts per arrival of the crashing request.
  int CrashingAttempts = 1;
};

struct crash_outcome {
  int Crashes = 0;
  /// Attempts sent more than CrashPropagationTime after the third crash.
  int LateRuns = 0;
  int HarmlessRefused = 0;
  int Arrived = 0;
  int Completed = 0;
};

/// Half of the stabilityWindowMs of the users' platform.
inline constexpr std::chrono::milliseconds CrashPropagationTime{2000};

class crash_fleet {
public:
  explicit crash_fleet(const crash_plan &Plan)
      : Plan(Plan), Random(Plan.Seed), Instances(Plan.Instances),
        Targets(std::max<std::size_t>(28, 3 * Plan.Instances)) {
    for (instance &Row : Instances)
      restart(Row);
  }

  crash_outcome run(std::chrono::milliseconds Duration) {
    for (const steady_time End = Clock.now() + Duration; Clock.now() < End;) {
      Clock.advance(Step);
      deliverDue();
      restartDue();
      killDue();
      if (Plan.OtherCrashes)
        crashOtherTargets();
      finishRuns();
      generateRequests();
      sendSnapshots();
      gossip();
    }
    return Outcome;
  }

private:
  using milliseconds = std::chrono::milliseconds;

  static constexpr milliseconds Step{10};
  static constexpr milliseconds TargetDownTime{3000};
  static constexpr milliseconds InstanceDownTime{2000};
  /// From its first own quarantine until the instance is killed.
  static constexpr milliseconds KillDelay{100};
  /// From a start until peers know the instance, and until it gets requests.
  static constexpr milliseconds JoinTime{500};
  static constexpr milliseconds StartTime{1000};
  static constexpr milliseconds LargestDelay{60};
  static constexpr milliseconds GossipPeriod{50};
  static constexpr milliseconds OtherCrashPeriod{2000};
  /// Since the start. A sixth of the targets crashes then.
  static constexpr milliseconds ManyCrashesAt{1500};
  static constexpr std::size_t RequestsPerInstance = 5;
  static constexpr int MaxAttempts = 3;
  static constexpr request_fingerprint Crashing = 1;
  static constexpr request_fingerprint Popular = 2;

  struct instance {
    std::unique_ptr<quarantine> Quarantine;
    std::optional<steady_time> DownUntil;
    steady_time NextGossip;
    /// Gets requests from then on.
    steady_time AcceptsFrom;
    std::optional<steady_time> JoinsAt;
  };

  struct target {
    std::uint64_t Starts = 1;
    std::optional<steady_time> DownUntil;
  };

  struct running {
    request_fingerprint Fingerprint = 0;
    std::size_t Instance = 0;
    std::size_t Target = 0;
    int Attempts = 1;
    steady_time EndsAt;
  };

  struct message {
    steady_time At;
    std::size_t To = 0;
    quarantine_update Update;
  };

  std::size_t below(std::size_t Limit) { return Random() % Limit; }
  bool chance(double Part) {
    return std::uniform_real_distribution<double>()(Random) < Part;
  }

  void restart(instance &Row) {
    quarantine_settings Settings;
    Settings.CrashesIfAlone = 3;
    Settings.CrashesIfShared = 3;
    Settings.TargetsRestart = true;
    Settings.Seed = Random();
    Row.Quarantine = std::make_unique<quarantine>(Settings);
    Row.DownUntil.reset();
    Row.NextGossip = Clock.now() + milliseconds(below(GossipPeriod.count()));
  }

  void restartDue() {
    for (instance &Row : Instances)
      if (Row.DownUntil && *Row.DownUntil <= Clock.now()) {
        restart(Row);
        Row.JoinsAt = Clock.now() + JoinTime;
        Row.AcceptsFrom = Clock.now() + StartTime;
      }
    for (target &Row : Targets)
      if (Row.DownUntil && *Row.DownUntil <= Clock.now()) {
        Row.DownUntil.reset();
        ++Row.Starts;
      }
  }

  /// A random one that is up. Doesn't return if all are down.
  std::size_t anyTarget() {
    for (;;)
      if (const std::size_t I = below(Targets.size()); !Targets[I].DownUntil)
        return I;
  }

  std::size_t anyInstance() {
    for (;;)
      if (const std::size_t I = below(Instances.size());
          !Instances[I].DownUntil && Clock.now() >= Instances[I].AcceptsFrom)
        return I;
  }

  void generateRequests() {
    const auto Since = Clock.now() - Begin;
    if (Since % Plan.CrashingPeriod < Step)
      send(Crashing, anyInstance(), 1);
    // The fractional part of the requests per step is drawn.
    const double Rate =
        static_cast<double>(RequestsPerInstance * Instances.size()) *
        std::chrono::duration<double>(Step).count();
    auto Count = static_cast<std::size_t>(Rate);
    Count += chance(Rate - static_cast<double>(Count));
    Outcome.Arrived += static_cast<int>(Count);
    for (std::size_t I = 0; I < Count; ++I)
      send(chance(0.1) ? Popular : ++LastRare, anyInstance(), 1);
  }

  void send(request_fingerprint Fingerprint, std::size_t By, int Attempts) {
    quarantine &Quarantine = *Instances[By].Quarantine;
    if (Quarantine.place(Fingerprint, Clock.now()).Placement ==
        placement::Quarantined) {
      Outcome.HarmlessRefused += Fingerprint != Crashing;
      return;
    }
    const std::size_t To = anyTarget();
    const milliseconds Work(Fingerprint == Crashing ? 20 : 200 + below(200));
    Running.emplace(++LastAttempt,
                    running{Fingerprint, By, To, Attempts, Clock.now() + Work});
    Quarantine.started(LastAttempt, Fingerprint, startOf(To), Clock.now());
    if (Fingerprint == Crashing && ThirdCrash &&
        Clock.now() > *ThirdCrash + CrashPropagationTime)
      ++Outcome.LateRuns;
  }

  target_start startOf(std::size_t Target) const {
    return targetStart(std::to_string(Target),
                       static_cast<std::int64_t>(Targets[Target].Starts));
  }

  void finishRuns() {
    std::vector<attempt_id> Ended;
    for (const auto &[Id, Row] : Running)
      if (Row.EndsAt <= Clock.now())
        Ended.push_back(Id);
    for (const attempt_id Id : Ended) {
      const auto Found = Running.find(Id);
      if (Found == Running.end())
        continue;
      if (Found->second.Fingerprint == Crashing) {
        if (++Outcome.Crashes == 3)
          ThirdCrash = Clock.now();
        crashTargets({Found->second.Target});
        continue;
      }
      Instances[Found->second.Instance].Quarantine->succeeded(Id, Clock.now());
      Running.erase(Found);
      ++Outcome.Completed;
    }
  }

  void crashOtherTargets() {
    const auto Since = Clock.now() - Begin;
    std::set<std::size_t> Crashed;
    if (Since % OtherCrashPeriod < Step)
      Crashed.insert(anyTarget());
    if (Since >= ManyCrashesAt && Since < ManyCrashesAt + Step)
      for (std::size_t I = 0; I < Targets.size() / 6; ++I)
        Crashed.insert(anyTarget());
    crashTargets(Crashed);
  }

  /// Each instance with requests in flight there detects it and retries them.
  void crashTargets(const std::set<std::size_t> &Crashed) {
    std::map<std::size_t, std::set<std::size_t>> NoticedBy;
    std::vector<running> Lost;
    for (auto Row = Running.begin(); Row != Running.end();) {
      if (!Crashed.contains(Row->second.Target)) {
        ++Row;
        continue;
      }
      NoticedBy[Row->second.Instance].insert(Row->second.Target);
      Lost.push_back(Row->second);
      Row = Running.erase(Row);
    }
    for (const auto &[Instance, Noticed] : NoticedBy)
      for (const std::size_t Target : Noticed) {
        const auto NewlyQuarantined =
            Instances[Instance].Quarantine->targetCrashed(startOf(Target),
                                                          Clock.now());
        if (Plan.KillsFirstRefuser && !NewlyQuarantined.empty() && !ToKill)
          ToKill = {Instance, Clock.now() + KillDelay};
      }
    for (const std::size_t Target : Crashed)
      Targets[Target].DownUntil = Clock.now() + TargetDownTime;
    for (const running &Row : Lost)
      if (Row.Attempts < maxAttemptsOf(Row.Fingerprint))
        send(Row.Fingerprint, Row.Instance, Row.Attempts + 1);
  }

  int maxAttemptsOf(request_fingerprint Fingerprint) const {
    return Fingerprint == Crashing ? Plan.CrashingAttempts : MaxAttempts;
  }

  void killDue() {
    if (!ToKill || Killed || Clock.now() < ToKill->second ||
        Instances.size() == 1)
      return;
    Killed = true;
    Instances[ToKill->first].DownUntil = Clock.now() + InstanceDownTime;
    std::erase_if(Running, [&](const auto &Row) {
      return Row.second.Instance == ToKill->first;
    });
  }

  void transmit(std::size_t To, quarantine_update Update) {
    if (!chance(Plan.Loss))
      Messages.push_back(
          {Clock.now() + milliseconds(1 + below(LargestDelay.count())), To,
           std::move(Update)});
  }

  /// Each peer sends its snapshot to instances that have just joined.
  void sendSnapshots() {
    for (std::size_t To = 0; To < Instances.size(); ++To) {
      if (!Instances[To].JoinsAt || Clock.now() < *Instances[To].JoinsAt)
        continue;
      Instances[To].JoinsAt.reset();
      for (std::size_t From = 0; From < Instances.size(); ++From)
        if (From != To && !Instances[From].DownUntil)
          transmit(To, Instances[From].Quarantine->current(Clock.now()));
    }
  }

  void gossip() {
    for (std::size_t From = 0; From < Instances.size(); ++From) {
      instance &Row = Instances[From];
      if (Row.DownUntil || Clock.now() < Row.NextGossip)
        continue;
      Row.NextGossip = Clock.now() + GossipPeriod;
      // The list of peers doesn't contain the instance itself.
      for (const quarantine_message &Message :
           Row.Quarantine->pendingMessages(Instances.size() - 1, Clock.now()))
        for (const std::size_t To : Message.To)
          transmit(To < From ? To : To + 1, Message.Update);
    }
  }

  void deliverDue() {
    std::deque<message> Later;
    for (const message &Row : Messages) {
      if (Row.At > Clock.now())
        Later.push_back(Row);
      else if (!Instances[Row.To].DownUntil)
        Instances[Row.To].Quarantine->merge(Row.Update, Clock.now());
    }
    Messages = std::move(Later);
  }

  crash_plan Plan;
  std::mt19937_64 Random;
  fake_clock Clock;
  const steady_time Begin = Clock.now();
  std::vector<instance> Instances;
  std::vector<target> Targets;
  std::map<attempt_id, running> Running;
  std::deque<message> Messages;
  attempt_id LastAttempt = 0;
  request_fingerprint LastRare = 1000;
  std::optional<std::pair<std::size_t, steady_time>> ToKill;
  bool Killed = false;
  std::optional<steady_time> ThirdCrash;
  crash_outcome Outcome;
};

} // namespace magnoliaspread

#endif
