/// Random schedules of faults, load and edits for a quota_fleet.
#ifndef MAGNOLIASPREAD_QUOTA_SCHEDULE_H
#define MAGNOLIASPREAD_QUOTA_SCHEDULE_H

#include "quota_fleet.h"

#include <cstdlib>
#include <iterator>

namespace magnoliaspread {

inline constexpr double TestRate = 60;
inline constexpr double TestBurst = 40;
inline constexpr milliseconds ScheduleSpan{40000};

inline fleet_config configOf(std::size_t DataCentres, double Rate, double Burst,
                             std::uint32_t Shares) {
  fleet_config Config;
  Config.Limits.push_back({workspaceLimit("clube"), Rate, Burst});
  Config.Limits.push_back({linkLimit("lisboa", "porto"), Rate / 3, Burst / 2});
  const auto Permille = static_cast<std::uint32_t>(1000 / DataCentres);
  for (std::size_t D = 0; D < DataCentres; ++D)
    Config.Splits.push_back({1, Permille, Shares});
  return Config;
}

/// Faults, load and edits, all derived from one seed.
class schedule {
public:
  schedule(std::uint64_t Seed, quota_policy Policy, bool Loaded = true)
      : Fleet(options(Seed, Policy),
              configOf(2 + Seed % 2, TestRate, TestBurst, 1 + Seed % 4)) {
    if (Loaded)
      load();
    else
      Fleet.Options.Tick = milliseconds(250);
    const std::size_t Faults = 4 + Fleet.below(8);
    for (std::size_t I = 0; I < Faults; ++I)
      Fleet.after(milliseconds(Fleet.below(ScheduleSpan.count())),
                  [this] { fault(); });
    // Some operators edit much more often than others.
    for (std::size_t I = 0; I < 6 && Seed % 4 == 0; ++I)
      Fleet.after(milliseconds(Fleet.below(ScheduleSpan.count())),
                  [this] { configure(); });
  }

  /// Ends all faults and lowers the load to three quarters of the rate.
  void endFaults() {
    FaultsEnded = true;
    Fleet.CutLinks.clear();
    Fleet.CutOffFromPlatform.clear();
    Fleet.PlatformUp = true;
    Fleet.AnswerLossRate = 0;
    Fleet.PlatformDelay = milliseconds(5);
    Fleet.Options.Loss = 0.02;
    Fleet.Options.Reorder = milliseconds(1);
    Fleet.Options.Wait = milliseconds(300);
    const double Rate = Fleet.Configs.back().Limits.front().Rate;
    ArrivalGap = milliseconds(static_cast<int>(1000 / (0.75 * Rate)));
  }

  bool allSharesHeld() const {
    std::size_t Held = 0;
    std::size_t Wanted = 0;
    for (const quota_fleet::process &Each : Fleet.Processes)
      Held += Each.Leases->minted(Fleet.Now).size();
    for (const share_split &Split : Fleet.Configs.back().Splits)
      Wanted += Split.Shares;
    return Held == Wanted;
  }

  quota_fleet Fleet;

private:
  static fleet_options options(std::uint64_t Seed, quota_policy Policy) {
    fleet_options Options;
    Options.Seed = Seed;
    Options.Policy = Policy;
    Options.DataCentres = 2 + Seed % 2;
    Options.Instances = 2 + Seed / 2 % 2;
    Options.DataCentresPerRegion = 1;
    Options.Tick = milliseconds(50);
    Options.LeaseTtl = milliseconds(3000);
    Options.Loss = Seed % 3 == 0 ? 0.3 : 0.02;
    Options.Duplicates = 0.1;
    Options.Reorder = milliseconds(Seed % 5 * 100 + 1);
    return Options;
  }

  /// Load below or above the rate, mostly on one instance, which changes. At
  /// times all instances spend all their tokens.
  void load() {
    if (Fleet.uniform() < (FaultsEnded ? 0.004 : 0.02))
      HotProcess = randomProcess();
    if (!FaultsEnded && Fleet.uniform() < 0.01)
      ArrivalGap = milliseconds(Fleet.uniform() < 0.5 ? 8 : 25);
    const std::size_t P = Fleet.uniform() < 0.7 ? HotProcess : randomProcess();
    Fleet.arrive(P, 0);
    if (!FaultsEnded)
      Fleet.arrive(P, 1);
    if (!FaultsEnded && Fleet.uniform() < 0.004) {
      const std::size_t Limit = Fleet.below(2);
      for (std::size_t Q = 0; Q < Fleet.Processes.size(); ++Q)
        Fleet.spendAll(Q, Limit);
    }
    // Pauses let the buckets fill.
    const bool Quiet = Fleet.uniform() < 0.002;
    Fleet.after(Quiet ? milliseconds(3000) : ArrivalGap, [this] { load(); });
  }

  std::size_t randomProcess() { return Fleet.below(Fleet.Processes.size()); }
  milliseconds randomSpan(int Max) {
    return milliseconds(100 + Fleet.below(Max));
  }

  void fault() {
    using action = void (schedule::*)();
    static constexpr action Actions[] = {&schedule::crash,
                                         &schedule::crash,
                                         &schedule::freeze,
                                         &schedule::freeze,
                                         &schedule::partition,
                                         &schedule::outage,
                                         &schedule::cutOffFromPlatform,
                                         &schedule::loseAnswers,
                                         &schedule::slowPlatform,
                                         &schedule::configure,
                                         &schedule::configure,
                                         &schedule::leave};
    (this->*Actions[Fleet.below(std::size(Actions))])();
  }

  void crash() { crashOne(randomProcess(), milliseconds(0)); }

  void crashOne(std::size_t P, milliseconds Delay) {
    Fleet.after(Delay, [this, P] {
      if (!Fleet.Processes[P].Alive)
        return;
      const std::uint64_t Incarnation = Fleet.Processes[P].Incarnation;
      const std::size_t DataCentre = Fleet.Processes[P].DataCentre;
      Fleet.crash(P);
      if (Fleet.uniform() < 0.6)
        Fleet.after(randomSpan(2000), [this, DataCentre, Incarnation] {
          Fleet.reportDead(DataCentre, Incarnation);
        });
      Fleet.after(randomSpan(8000), [this, P, DataCentre, Incarnation] {
        Fleet.start(P);
        Fleet.reportDead(DataCentre, Incarnation);
      });
    });
  }

  void leave() {
    const std::size_t P = randomProcess();
    if (!Fleet.running(P))
      return;
    Fleet.Processes[P].Leases->leave();
    crashOne(P, randomSpan(4000));
  }

  void freeze() { Fleet.freeze(randomProcess(), randomSpan(9000)); }

  void partition() {
    const std::size_t P = randomProcess();
    const std::size_t Q = randomProcess();
    if (P == Q)
      return;
    const std::pair Pair{std::min(P, Q), std::max(P, Q)};
    Fleet.CutLinks.insert(Pair);
    Fleet.after(randomSpan(12000),
                [this, Pair] { Fleet.CutLinks.erase(Pair); });
  }

  void outage() {
    Fleet.PlatformUp = false;
    Fleet.after(randomSpan(15000), [this] { Fleet.PlatformUp = true; });
  }

  void cutOffFromPlatform() {
    const std::size_t P = randomProcess();
    Fleet.CutOffFromPlatform.insert(P);
    Fleet.after(randomSpan(15000),
                [this, P] { Fleet.CutOffFromPlatform.erase(P); });
  }

  void loseAnswers() {
    Fleet.AnswerLossRate = 0.4;
    Fleet.after(randomSpan(15000), [this] { Fleet.AnswerLossRate = 0; });
  }

  void slowPlatform() {
    Fleet.PlatformDelay = milliseconds(3000);
    Fleet.after(randomSpan(10000),
                [this] { Fleet.PlatformDelay = milliseconds(5); });
  }

  void configure() {
    const std::size_t DataCentres = Fleet.Options.DataCentres;
    const double Factor = 0.2 + 2 * Fleet.uniform();
    fleet_config Config =
        configOf(DataCentres, TestRate * Factor, TestBurst * Factor,
                 static_cast<std::uint32_t>(1 + Fleet.below(4)));
    // Moves most of the minting to one data centre.
    const std::size_t Main = Fleet.below(DataCentres);
    for (std::size_t D = 0; D < DataCentres; ++D)
      Config.Splits[D].Permille = D == Main ? 800 : 200 / (DataCentres - 1);
    Fleet.configure(Config, milliseconds(5000));
  }

  std::size_t HotProcess = 0;
  milliseconds ArrivalGap{8};
  bool FaultsEnded = false;
};

/// Number of schedules to run; QUOTA_SCHEDULES overrides the default.
inline std::uint64_t schedules(std::uint64_t Default) {
  const char *Text = std::getenv("QUOTA_SCHEDULES");
  return Text == nullptr ? Default : std::strtoull(Text, nullptr, 10);
}

} // namespace magnoliaspread

#endif
