/// Benchmark of membership and configuration distribution: many instances in
/// one process, real datagrams, simulated network and time. Prints one JSON
/// object a line; fails if a bound is exceeded. An argument restricts the run
/// to measures whose name begins with it.
#include "fleet.h"

#include <magnoliaspread/datagram.h>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <map>

using namespace magnoliaspread;
using namespace std::chrono_literals;

namespace {

/// Budgets of one instance for all control traffic, and the largest fleet.
constexpr double BytesPerSecondBound = 5000;
constexpr double CpuPercentBound = 1.3;
constexpr double InForceBoundSeconds = 7;
/// A surge may use the budget of two seconds within one.
constexpr double SurgeBytesBound = 2 * BytesPerSecondBound;
/// Time until look-ups omit a dead instance: detection, then one round of
/// updates.
constexpr double RemovalBoundSeconds = 15;
constexpr double UsefulBoundSeconds = 7;
constexpr std::size_t LargestCentres = 27;
constexpr std::size_t LargestPerCentre = 20;

bool AllWithin = true;
std::string Filter;

void report(const std::string &Measure, double Value, const char *Unit,
            double Bound) {
  const bool Ok = Value <= Bound;
  AllWithin &= Ok;
  std::printf("{\"measure\":\"%s\",\"value\":%.3f,\"unit\":\"%s\","
              "\"bound\":%.3f,\"ok\":%s}\n",
              Measure.c_str(), Value, Unit, Bound, Ok ? "true" : "false");
  std::fflush(stdout);
}

bool isSelected(const std::string &Measure) {
  return Filter.empty() || Measure.starts_with(Filter);
}

double cpuSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

double seconds(steady_time::duration Time) {
  return std::chrono::duration<double>(Time).count();
}

/// A fleet whose messages pass through the real codec.
class wired_fleet {
public:
  wired_fleet(std::size_t Centres, std::size_t PerCentre, std::uint64_t Seed)
      : Fleet(Centres, PerCentre, Seed) {
    Fleet.Faults = {0.01, 0, 1ms, 60ms};
    Fleet.Encode = [this](std::size_t Index, const member_message &Message) {
      return valueOf(codec(Index).encode(Message));
    };
    Fleet.Decode = [this](std::size_t Index, const std::string &Datagram) {
      return decode(Index, Datagram);
    };
  }

  void startCalm() {
    Fleet.startAll();
    for (int I = 0; I < 60 && !calm(); ++I)
      Fleet.run(3s);
    if (!calm())
      report("start.calm", 1, "failures", 0);
  }

  bool calm() const {
    return Fleet.allHaveVersion(version()) && Fleet.viewsAgree();
  }

  std::uint64_t version() const { return Fleet.Platform.Current.Version; }

  void edit() {
    const std::uint64_t Next = version() + 1;
    Fleet.Platform.Current = {Next, static_cast<std::uint32_t>(Next)};
  }

  /// Time until \p Done holds, checked at every step.
  double timeUntil(std::chrono::seconds Limit,
                   const std::function<bool()> &Done) {
    const steady_time Start = Fleet.Now;
    if (!Fleet.runUntil(Limit, Done))
      return 1e9;
    return seconds(Fleet.Now - Start);
  }

  fleet Fleet;

private:
  datagram_codec &codec(std::size_t Index) {
    const std::uint64_t Incarnation =
        Fleet.Instances[Index].Identity.Incarnation;
    const auto Found = Codecs.find(Incarnation);
    if (Found != Codecs.end())
      return Found->second;
    return Codecs.emplace(Incarnation, datagram_codec(fleet_key{}, Incarnation))
        .first->second;
  }

  std::optional<member_message> decode(std::size_t Index,
                                       const std::string &Datagram) {
    auto Received = codec(Index).decode(Datagram);
    if (failed(Received))
      return std::nullopt;
    return std::get<member_message>(valueOf(Received).Message);
  }

  std::map<std::uint64_t, datagram_codec> Codecs;
};

struct traffic {
  double Sent = 0;
  double Received = 0;

  double both() const { return Sent + Received; }
};

std::vector<traffic> trafficSoFar(const fleet &Fleet) {
  std::vector<traffic> Totals;
  Totals.reserve(Fleet.Instances.size());
  for (const simulated_instance &Instance : Fleet.Instances)
    Totals.push_back({static_cast<double>(Instance.SentBytes),
                      static_cast<double>(Instance.ReceivedBytes)});
  return Totals;
}

struct steady_cost {
  /// Cost of the instance that sends and receives most.
  traffic Busiest;
  double MeanBoth = 0;
  double CpuPercent = 0;
};

/// Runs for \p Time and returns the cost of one instance per second. The CPU
/// time includes the simulation, so it is an upper bound.
steady_cost measureSteady(fleet &Fleet, std::chrono::seconds Time) {
  const std::vector<traffic> Before = trafficSoFar(Fleet);
  const double CpuBefore = cpuSeconds();
  Fleet.run(Time);
  const double Cpu = cpuSeconds() - CpuBefore;
  const std::vector<traffic> After = trafficSoFar(Fleet);
  const auto Count = static_cast<double>(Fleet.Instances.size());
  const auto Span = static_cast<double>(Time.count());
  steady_cost Cost;
  Cost.CpuPercent = 100 * Cpu / Count / Span;
  for (std::size_t I = 0; I < Before.size(); ++I) {
    const traffic Rate{(After[I].Sent - Before[I].Sent) / Span,
                       (After[I].Received - Before[I].Received) / Span};
    Cost.MeanBoth += Rate.both() / Count;
    if (Rate.both() > Cost.Busiest.both())
      Cost.Busiest = Rate;
  }
  return Cost;
}

/// Largest number of bytes that one instance sends and receives in any second
/// of \p Time.
double measureSurge(fleet &Fleet, std::chrono::seconds Time) {
  double Surge = 0;
  for (std::chrono::seconds Passed{0}; Passed < Time; ++Passed) {
    const std::vector<traffic> Before = trafficSoFar(Fleet);
    Fleet.run(1s);
    const std::vector<traffic> After = trafficSoFar(Fleet);
    for (std::size_t I = 0; I < Before.size(); ++I)
      Surge = std::max(Surge, After[I].both() - Before[I].both());
  }
  return Surge;
}

void reportSteady(const std::string &Shape, const steady_cost &Cost) {
  report("steady.sent." + Shape, Cost.Busiest.Sent, "B/s", BytesPerSecondBound);
  report("steady.sent_and_received." + Shape, Cost.Busiest.both(), "B/s",
         BytesPerSecondBound);
  report("steady.mean_sent_and_received." + Shape, Cost.MeanBoth, "B/s",
         BytesPerSecondBound);
  report("steady.cpu." + Shape, Cost.CpuPercent, "% of a core",
         CpuPercentBound);
}

std::string shapeName(std::size_t Centres, std::size_t PerCentre) {
  return std::to_string(Centres) + "x" + std::to_string(PerCentre);
}

double worstEdit(wired_fleet &Run, int Edits) {
  double Worst = 0;
  for (int I = 0; I < Edits; ++I) {
    Run.Fleet.run(std::chrono::milliseconds(Run.Fleet.Random() % 3000));
    Run.edit();
    const std::uint64_t Version = Run.version();
    Worst = std::max(Worst, Run.timeUntil(60s, [&] {
      return Run.Fleet.allHaveVersion(Version);
    }));
  }
  return Worst;
}

void benchSpread(wired_fleet &Run, const std::string &Shape) {
  report("config.watched." + Shape, worstEdit(Run, 5), "s",
         InForceBoundSeconds);
  for (simulated_instance &Instance : Run.Fleet.Instances)
    Instance.PlatformBlocked = Instance.Centre != 0;
  report("config.one_data_centre_reaches_platform." + Shape, worstEdit(Run, 5),
         "s", InForceBoundSeconds);
  for (simulated_instance &Instance : Run.Fleet.Instances)
    Instance.PlatformBlocked = false;
}

void benchShape(std::size_t Centres, std::size_t PerCentre) {
  const std::string Shape = shapeName(Centres, PerCentre);
  if (!isSelected("steady") && !isSelected("config"))
    return;
  wired_fleet Run(Centres, PerCentre, 1);
  Run.startCalm();
  Run.Fleet.run(30s);
  if (isSelected("steady"))
    reportSteady(Shape, measureSteady(Run.Fleet, 30s));
  if (isSelected("config"))
    benchSpread(Run, Shape);
}

void benchPlatform() {
  if (!isSelected("platform"))
    return;
  wired_fleet Run(LargestCentres, LargestPerCentre, 2);
  Run.startCalm();
  std::size_t Watches = 0;
  std::uint64_t ReadsBefore = 0;
  for (const simulated_instance &Instance : Run.Fleet.Instances) {
    Watches += Instance.Members->isSpeaker() ? 1 : 0;
    ReadsBefore += Instance.PlatformReads;
  }
  Run.Fleet.run(120s);
  std::uint64_t Reads = 0;
  for (const simulated_instance &Instance : Run.Fleet.Instances)
    Reads += Instance.PlatformReads;
  report("platform.watches", static_cast<double>(Watches), "watches",
         LargestCentres * SpeakersPerDataCentre);
  report("platform.polls", static_cast<double>(Reads - ReadsBefore) / 120,
         "reads/s", 20);
}

/// Kills \p Indexes and reports how long look-ups name them anywhere, and the
/// largest surge of an instance.
void benchLoss(wired_fleet &Run, const std::string &Name,
               const std::vector<std::size_t> &Indexes) {
  for (const std::size_t I : Indexes)
    Run.Fleet.kill(I);
  std::set<std::string> Gone;
  for (const std::size_t I : Indexes)
    Gone.insert(Run.Fleet.Instances[I].Name);
  std::set<std::size_t> Places;
  for (const std::size_t I : Indexes)
    Places.insert(Run.Fleet.Instances[I].Centre);
  const auto NamedBy = [&](std::size_t By) {
    for (const std::size_t C : Places)
      for (const std::string &Named : Run.Fleet.named(By, C))
        if (Gone.contains(Named))
          return true;
    return false;
  };
  const double Time = Run.timeUntil(120s, [&] {
    for (std::size_t I = 0; I < Run.Fleet.Instances.size(); ++I)
      if (Run.Fleet.active(I) && NamedBy(I))
        return false;
    return true;
  });
  report("loss." + Name + ".unnamed", Time, "s", RemovalBoundSeconds);
  report("loss." + Name + ".surge", measureSurge(Run.Fleet, 30s), "B in 1 s",
         SurgeBytesBound);
}

std::vector<std::size_t> indexRange(std::size_t First, std::size_t Count) {
  std::vector<std::size_t> Indexes;
  Indexes.reserve(Count);
  for (std::size_t I = First; I < First + Count; ++I)
    Indexes.push_back(I);
  return Indexes;
}

void benchLosses() {
  if (!isSelected("loss"))
    return;
  wired_fleet Run(LargestCentres, LargestPerCentre, 3);
  Run.startCalm();
  Run.Fleet.run(20s);
  benchLoss(Run, "three_instances", {25, 26, 47});
  benchLoss(Run, "rack_of_five", indexRange(60, 5));
  benchLoss(Run, "data_centre",
            indexRange(5 * LargestPerCentre, LargestPerCentre));
}

void benchPartition() {
  if (!isSelected("partition"))
    return;
  wired_fleet Run(LargestCentres, LargestPerCentre, 4);
  Run.startCalm();
  Run.Fleet.Blocked = [&](std::size_t A, std::size_t B) {
    return (Run.Fleet.Instances[A].Centre < LargestCentres / 2) !=
           (Run.Fleet.Instances[B].Centre < LargestCentres / 2);
  };
  Run.Fleet.run(60s);
  for (std::size_t Centre = 0; Centre < LargestCentres; ++Centre)
    Run.Fleet.kill(Centre * LargestPerCentre + 3);
  Run.Fleet.run(60s);
  Run.Fleet.Blocked = nullptr;
  const steady_time Healed = Run.Fleet.Now;
  report("partition.healed.surge", measureSurge(Run.Fleet, 40s), "B in 1 s",
         SurgeBytesBound);
  for (int I = 0; I < 60 && !Run.Fleet.viewsAgree(); ++I)
    Run.Fleet.run(1s);
  report("partition.healed.views_agree_within",
         Run.Fleet.viewsAgree() ? seconds(Run.Fleet.Now - Healed) : 1e9, "s",
         60);
}

void benchReplacement() {
  if (!isSelected("replacement"))
    return;
  wired_fleet Run(LargestCentres, LargestPerCentre, 5);
  Run.startCalm();
  Run.Fleet.run(20s);
  const double Calm = measureSteady(Run.Fleet, 20s).MeanBoth;
  const auto Sum = [&] {
    double Bytes = 0;
    for (const traffic &Total : trafficSoFar(Run.Fleet))
      Bytes += Total.both();
    return Bytes;
  };
  const double Before = Sum();
  const std::size_t Instances = Run.Fleet.Instances.size();
  for (std::size_t I = 0; I < 3; ++I) {
    Run.Fleet.leave(I * 90 + 5);
    Run.Fleet.run(10s);
    Run.Fleet.kill(I * 90 + 5);
    Run.Fleet.start(I * 90 + 5, indexRange(I * 80, 20));
    Run.Fleet.run(10s);
  }
  const double Extra =
      (Sum() - Before) / static_cast<double>(Instances) - Calm * 60;
  report("replacement.extra_bytes_per_instance", Extra / 3, "B",
         BytesPerSecondBound);
}

/// A new instance is useful once it has the configuration and its local peers;
/// its view of the other data centres follows.
void benchNewInstance() {
  if (!isSelected("join"))
    return;
  wired_fleet Run(LargestCentres, LargestPerCentre, 6);
  Run.startCalm();
  Run.Fleet.run(20s);
  Run.Fleet.Platform.Up = false;
  const std::size_t Fresh = Run.Fleet.addInstance(4);
  Run.Fleet.start(Fresh, {80, 81, 82});
  const auto &Instance = Run.Fleet.Instances[Fresh];
  report("join.useful",
         Run.timeUntil(60s,
                       [&] {
                         return Instance.Config->inForce().Version ==
                                    Run.version() &&
                                Run.Fleet.named(Fresh, 4) ==
                                    Run.Fleet.serving(4);
                       }),
         "s", UsefulBoundSeconds);
  report("join.useful_bytes",
         static_cast<double>(Instance.ReceivedBytes + Instance.SentBytes), "B",
         UsefulBoundSeconds * BytesPerSecondBound);
  const double Whole = Run.timeUntil(120s, [&] {
    for (std::size_t C = 0; C < LargestCentres; ++C)
      if (Run.Fleet.named(Fresh, C) != Run.Fleet.serving(C))
        return false;
    return true;
  });
  report("join.whole_view", Whole, "s", 60);
  report("join.whole_view_bytes",
         static_cast<double>(Instance.ReceivedBytes + Instance.SentBytes), "B",
         60 * BytesPerSecondBound);
}

} // namespace

int main(int Argc, char **Argv) {
  Filter = Argc > 1 ? Argv[1] : "";
  for (const std::size_t PerCentre : {5, 10, 20, 40})
    benchShape(3, PerCentre);
  for (const std::size_t Centres : {9, 27})
    benchShape(Centres, LargestPerCentre);
  benchPlatform();
  benchLosses();
  benchPartition();
  benchReplacement();
  benchNewInstance();
  return AllWithin ? 0 : 1;
}
