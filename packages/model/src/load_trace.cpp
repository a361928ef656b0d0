#include <magnoliaspread/load_trace.h>

#include <magnoliaspread/hash.h>

#include <algorithm>
#include <cmath>
#include <numbers>
#include <random>

namespace magnoliaspread {

using std::chrono::duration;
using std::chrono::duration_cast;
using std::chrono::nanoseconds;

namespace {

/// Standard deviation of the slot time, as a fraction of the kind's mean; as in
/// the site files of the users' platform.
constexpr double WorkSpread = 0.15;
constexpr double MinWorkFactor = 0.3;
constexpr double MaxWorkFactor = 3;

double seconds(nanoseconds Time) { return duration<double>(Time).count(); }

double rateAt(const load_plan &Plan, const load_kind &Kind,
              const load_region &Region, double ShareSum, nanoseconds At) {
  const double Cycles = seconds(At) / seconds(Region.Period) + Region.Phase;
  double Rate = Kind.Rate * Region.Share / ShareSum *
                (1 + Region.Swing * std::sin(2 * std::numbers::pi * Cycles));
  for (const load_trouble &Row : Plan.Troubles)
    if (Row.Kind == trouble_kind::Burst && isActive(Row, At) &&
        (Row.Region.empty() || Row.Region == Region.Name))
      Rate *= Row.Factor;
  return Rate;
}

/// Upper bound of rateAt(), for thinning the Poisson process.
double maxRate(const load_plan &Plan, const load_kind &Kind,
               const load_region &Region, double ShareSum) {
  double Rate = Kind.Rate * Region.Share / ShareSum * (1 + Region.Swing);
  for (const load_trouble &Row : Plan.Troubles)
    if (Row.Kind == trouble_kind::Burst)
      Rate *= std::max(1.0, Row.Factor);
  return Rate;
}

/// Draws the requests of one kind and one home region.
class request_generator {
public:
  request_generator(const load_plan &Plan, std::size_t Kind, std::size_t Region,
                    std::uint64_t Seed)
      : Plan(Plan), Kind(Kind), Region(Region),
        Random(rendezvousScore(Seed, Kind * Plan.Regions.size() + Region)) {}

  void draw(double ShareSum, std::vector<trace_request> &Trace) {
    const load_kind &Row = Plan.Kinds[Kind];
    const load_region &Home = Plan.Regions[Region];
    const double MaxRate = maxRate(Plan, Row, Home, ShareSum);
    if (MaxRate <= 0)
      return;
    std::exponential_distribution<double> Gap(MaxRate);
    std::uniform_real_distribution<double> Unit(0, 1);
    for (double At = Gap(Random); At < seconds(Plan.Length);
         At += Gap(Random)) {
      const auto Time = duration_cast<nanoseconds>(duration<double>(At));
      if (Unit(Random) * MaxRate <= rateAt(Plan, Row, Home, ShareSum, Time))
        Trace.push_back(request(Time));
    }
  }

private:
  trace_request request(nanoseconds At) {
    const load_kind &Row = Plan.Kinds[Kind];
    trace_request Request;
    Request.At = At;
    Request.Kind = static_cast<std::uint16_t>(Kind);
    Request.Region = static_cast<std::uint16_t>(callerRegion(At));
    const std::uint64_t Objects = Row.Objects / Plan.Regions.size();
    if (Objects > 0) {
      const std::uint64_t Number = Region * Objects + Random() % Objects;
      // 0 means no object.
      Request.Object = std::max<std::uint64_t>(
          1, rendezvousScore(Number, stableId(Row.Name)));
    }
    Request.WorkFactor =
        std::clamp(1 + WorkSpread * Work(Random), MinWorkFactor, MaxWorkFactor);
    return Request;
  }

  std::size_t callerRegion(nanoseconds At) {
    std::uniform_real_distribution<double> Unit(0, 1);
    for (const load_trouble &Row : Plan.Troubles)
      if (Row.Kind == trouble_kind::Shift && isActive(Row, At) &&
          (Row.Region.empty() || Row.Region == Plan.Regions[Region].Name) &&
          Unit(Random) < Row.Part)
        return (Region + 1) % Plan.Regions.size();
    return Region;
  }

  const load_plan &Plan;
  std::size_t Kind;
  std::size_t Region;
  std::mt19937_64 Random;
  std::normal_distribution<double> Work;
};

} // namespace

bool isActive(const load_trouble &Trouble, nanoseconds At) {
  return At >= Trouble.At && At < Trouble.At + Trouble.Length;
}

std::vector<trace_request> drawTrace(const load_plan &Plan,
                                     std::uint64_t Seed) {
  double ShareSum = 0;
  for (const load_region &Row : Plan.Regions)
    ShareSum += Row.Share;
  std::vector<trace_request> Trace;
  if (ShareSum <= 0)
    return Trace;
  for (std::size_t Kind = 0; Kind < Plan.Kinds.size(); ++Kind)
    for (std::size_t Region = 0; Region < Plan.Regions.size(); ++Region)
      request_generator(Plan, Kind, Region, Seed).draw(ShareSum, Trace);
  std::stable_sort(Trace.begin(), Trace.end(),
                   [](const trace_request &A, const trace_request &B) {
                     return A.At < B.At;
                   });
  return Trace;
}

} // namespace magnoliaspread
