/// Benchmark of fleet-wide limits on simulated time: requests wrongly refused
/// under skewed load, exceeded limits, messages, and how the cost of an
/// instance grows with the fleet and the number of limits.
#include <quota_fleet.h>

#include <cstdio>
#include <cstring>
#include <ctime>
#include <optional>

using namespace magnoliaspread;

namespace {

constexpr double Rate = 200;
constexpr double Burst = 100;
constexpr double LoadFraction = 0.9;
constexpr int Instances = 12;
constexpr milliseconds Warmup{20000};
constexpr milliseconds Measured{120000};
constexpr milliseconds HotspotInterval{5000};

enum class load_kind { Even, Zipf, OneHot, MovingHot };

const char *nameOf(load_kind Load) {
  switch (Load) {
  case load_kind::Even:
    return "even";
  case load_kind::Zipf:
    return "zipf";
  case load_kind::OneHot:
    return "one_hot";
  default:
    return "moving_hot";
  }
}

bool AllOk = true;

void print(const std::string &Measure, double Value, const char *Unit,
           std::optional<double> Bound) {
  const bool Ok = !Bound || Value <= *Bound;
  AllOk = AllOk && Ok;
  std::printf("{\"measure\":\"%s\",\"value\":%.6g,\"unit\":\"%s\",",
              Measure.c_str(), Value, Unit);
  if (Bound)
    std::printf("\"bound\":%.6g,\"ok\":%s}\n", *Bound, Ok ? "true" : "false");
  else
    std::printf("\"bound\":null,\"ok\":null}\n");
  std::fflush(stdout);
}

fleet_config configOf(std::size_t DataCentres, std::size_t Limits,
                      double LimitRate, double LimitBurst) {
  fleet_config Config;
  for (std::size_t L = 0; L < Limits; ++L)
    Config.Limits.push_back({workspaceLimit("workspace" + std::to_string(L)),
                             LimitRate, LimitBurst});
  const auto Permille = static_cast<std::uint32_t>(1000 / DataCentres);
  for (std::size_t D = 0; D < DataCentres; ++D)
    Config.Splits.push_back({1, Permille, 2});
  return Config;
}

/// Sends requests at a fleet-wide rate to instances chosen by weight.
class load_source {
public:
  load_source(quota_fleet &Fleet, load_kind Kind, double PerSecond)
      : Fleet(Fleet), Kind(Kind), PerSecond(PerSecond),
        Random(Fleet.Options.Seed + 17) {
    next();
  }

private:
  std::size_t pick() {
    const std::size_t Count = Fleet.Processes.size();
    std::vector<double> Weights(Count, 0);
    const auto Span = Fleet.Now.time_since_epoch() / HotspotInterval;
    for (std::size_t P = 0; P < Count; ++P) {
      // Adjacent ranks are in different data centres.
      const double Place = static_cast<double>((P * 7) % Count + 1);
      if (Kind == load_kind::Even)
        Weights[P] = 1;
      else if (Kind == load_kind::Zipf)
        Weights[P] = 1 / Place;
      else if (Kind == load_kind::OneHot)
        Weights[P] = P == 3 ? 1 : 0;
      else
        Weights[P] = P == static_cast<std::size_t>(Span * 5) % Count ? 1 : 0;
    }
    return std::discrete_distribution<std::size_t>(Weights.begin(),
                                                   Weights.end())(Random);
  }

  void next() {
    const double Gap = std::exponential_distribution<double>(PerSecond)(Random);
    Fleet.at(Fleet.Now +
                 std::chrono::nanoseconds(static_cast<std::int64_t>(Gap * 1e9)),
             [this] {
               Fleet.arrive(pick(), 0);
               next();
             });
  }

  quota_fleet &Fleet;
  load_kind Kind;
  double PerSecond;
  std::mt19937_64 Random;
};

void measureLoad(load_kind Load, quota_policy Policy, milliseconds Wait,
                 std::optional<double> Bound) {
  fleet_options Options;
  Options.DataCentres = 6;
  Options.Instances = Instances / 6;
  Options.DataCentresPerRegion = 2;
  Options.Policy = Policy;
  Options.Wait = Wait;
  quota_fleet Fleet(Options, configOf(6, 1, Rate, Burst));
  const load_source Source(Fleet, Load, Rate * LoadFraction);
  Fleet.run(Warmup);
  Fleet.ConformantCalls = 0;
  Fleet.WronglyRefused = 0;
  Fleet.Messages = 0;
  Fleet.Bytes = 0;
  Fleet.run(Measured);
  const bool Lent = Policy == quota_policy::Lent;
  const std::string Name = std::string(Lent ? "lent" : "divided") + "_" +
                           nameOf(Load) + "_wait" +
                           std::to_string(Wait.count());
  const auto Calls = static_cast<double>(Fleet.ConformantCalls);
  const double Percent =
      100 * static_cast<double>(Fleet.WronglyRefused) / Calls;
  const double Spans =
      std::chrono::duration<double>(Measured).count() * Instances;
  print("wrong_refusals_" + Name, Percent, "percent", Bound);
  print("breaches_" + Name, static_cast<double>(Fleet.breaches()), "count",
        Lent ? std::optional<double>(0) : std::nullopt);
  print("messages_" + Name, static_cast<double>(Fleet.Messages) / Spans,
        "per_second_per_instance", std::nullopt);
  print("bytes_" + Name, static_cast<double>(Fleet.Bytes) / Spans,
        "bytes_per_second_per_instance", std::nullopt);
}

void measureLoads() {
  constexpr double EvenBound = 0;
  constexpr double SkewBound = 1;
  for (const milliseconds Wait : {milliseconds(300), milliseconds(0)})
    for (const load_kind Load : {load_kind::Even, load_kind::Zipf,
                                 load_kind::OneHot, load_kind::MovingHot}) {
      const double Bound = Load == load_kind::Even ? EvenBound : SkewBound;
      const bool Bounded = Wait.count() > 0;
      measureLoad(Load, quota_policy::Lent, Wait,
                  Bounded ? std::optional<double>(Bound) : std::nullopt);
      measureLoad(Load, quota_policy::Divided, Wait, std::nullopt);
    }
}

/// Even load at 90% of every limit. The limits add up to CallsPerInstance for
/// each instance.
void measureScale(std::size_t FleetSize, std::size_t PerCentre,
                  std::size_t Limits) {
  constexpr double CallsPerInstance = 50;
  constexpr double BurstSeconds = 2;
  constexpr milliseconds ScaleFill{8000};
  constexpr milliseconds ScaleWarmup{4000};
  constexpr milliseconds ScaleMeasured{4000};
  fleet_options Options;
  Options.DataCentres = FleetSize / PerCentre;
  Options.Instances = PerCentre;
  Options.DataCentresPerRegion = 2;
  Options.Wait = milliseconds(300);
  const double LimitRate = CallsPerInstance * static_cast<double>(FleetSize) /
                           static_cast<double>(Limits) / LoadFraction;
  quota_fleet Fleet(Options, configOf(Options.DataCentres, Limits, LimitRate,
                                      LimitRate * BurstSeconds));
  Fleet.run(ScaleFill);
  std::function<void()> Next = [&] {
    Fleet.arrive(Fleet.below(FleetSize), Fleet.below(Limits));
    const double Gap = std::exponential_distribution<double>(
        CallsPerInstance * static_cast<double>(FleetSize))(Fleet.Random);
    Fleet.at(Fleet.Now +
                 std::chrono::nanoseconds(static_cast<std::int64_t>(Gap * 1e9)),
             Next);
  };
  Next();
  Fleet.run(ScaleWarmup);
  Fleet.Messages = 0;
  Fleet.Bytes = 0;
  Fleet.ConformantCalls = 0;
  Fleet.WronglyRefused = 0;
  Fleet.PlatformReads = 0;
  Fleet.PlatformWrites = 0;
  Fleet.AllocatorTime = {};
  Fleet.run(ScaleMeasured);
  const double Span = std::chrono::duration<double>(ScaleMeasured).count();
  const double Spans = Span * static_cast<double>(FleetSize);
  const std::string Name =
      "_" + std::to_string(FleetSize) + "x" + std::to_string(Limits);
  const double Cpu =
      std::chrono::duration<double>(Fleet.AllocatorTime).count() / Spans;
  print("scale_messages" + Name, static_cast<double>(Fleet.Messages) / Spans,
        "per_second_per_instance", std::nullopt);
  print("scale_bytes" + Name, static_cast<double>(Fleet.Bytes) / Spans,
        "bytes_per_second_per_instance", std::nullopt);
  print("scale_cpu" + Name, 100 * Cpu, "percent_of_core", std::nullopt);
  print("scale_wrong_refusals" + Name,
        100 * static_cast<double>(Fleet.WronglyRefused) /
            static_cast<double>(Fleet.ConformantCalls),
        "percent", std::nullopt);
  print("scale_breaches" + Name, static_cast<double>(Fleet.breaches()), "count",
        0);
  print("scale_platform_reads" + Name,
        static_cast<double>(Fleet.PlatformReads) / Span, "per_second",
        std::nullopt);
  print("scale_platform_writes" + Name,
        static_cast<double>(Fleet.PlatformWrites) / Span, "per_second",
        std::nullopt);
}

/// Small limits, whose burst is a few tokens for each share.
void measureSmall(double LimitBurst) {
  constexpr std::size_t Limits = 16;
  constexpr double LimitRate = 10;
  constexpr double Calls = LimitRate * Limits * LoadFraction;
  fleet_options Options;
  Options.DataCentres = 6;
  Options.Instances = Instances / 6;
  Options.Wait = milliseconds(300);
  quota_fleet Fleet(Options, configOf(6, Limits, LimitRate, LimitBurst));
  Fleet.run(Warmup);
  std::function<void()> Next = [&] {
    Fleet.arrive(Fleet.below(Instances), Fleet.below(Limits));
    const double Gap =
        std::exponential_distribution<double>(Calls)(Fleet.Random);
    Fleet.at(Fleet.Now +
                 std::chrono::nanoseconds(static_cast<std::int64_t>(Gap * 1e9)),
             Next);
  };
  Next();
  Fleet.run(Measured);
  print("small_wrong_refusals_burst" +
            std::to_string(static_cast<int>(LimitBurst)),
        100 * static_cast<double>(Fleet.WronglyRefused) /
            static_cast<double>(Fleet.ConformantCalls),
        "percent", std::nullopt);
}

} // namespace

int main(int Count, char **Arguments) {
  const bool OnlyLoads = Count > 1 && std::strcmp(Arguments[1], "loads") == 0;
  const bool OnlyScale = Count > 1 && std::strcmp(Arguments[1], "scale") == 0;
  if (!OnlyScale)
    measureLoads();
  if (!OnlyLoads) {
    for (const double LimitBurst : {10, 20, 40, 80})
      measureSmall(LimitBurst);
    for (const std::size_t Limits : {8, 64, 256})
      measureScale(12, 2, Limits);
    measureScale(40, 5, 64);
    measureScale(135, 5, 64);
    for (const std::size_t Limits : {8, 64, 256})
      measureScale(540, 20, Limits);
  }
  return AllOk ? 0 : 1;
}
