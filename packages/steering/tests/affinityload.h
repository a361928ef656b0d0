/// A seeded load on targets that cache objects, for the tests of affinity.
#ifndef MAGNOLIASPREAD_TESTS_AFFINITYLOAD_H
#define MAGNOLIASPREAD_TESTS_AFFINITYLOAD_H

#include <magnoliaspread/placer.h>
#include <magnoliaspread/story.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <numeric>
#include <random>
#include <set>
#include <string>
#include <utility>

namespace affinity_tests {

using namespace magnoliaspread;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

inline constexpr steady_time Start{std::chrono::hours(1)};
inline constexpr service_handle Service{0};
inline constexpr std::uint64_t Kind = 7;
inline constexpr milliseconds Tick{2};
inline constexpr milliseconds UpdatePeriod{100};
inline constexpr milliseconds Deadline{2500};

struct load_shape {
  std::size_t Instances = 1;
  std::uint16_t Targets = 16;
  std::uint32_t Slots = 4;
  /// Objects that a target keeps.
  std::size_t Keeps = 1000;
  milliseconds Warm{120};
  milliseconds Cold{400};
  milliseconds Good{400};
  bool Affinity = true;
  /// Places without holders: the less loaded of two random targets.
  bool LeastLoaded = false;
};

using object_picker = std::function<std::uint64_t(std::mt19937_64 &)>;

inline object_picker evenly(std::uint64_t Objects) {
  return [Objects](std::mt19937_64 &Random) { return 1 + Random() % Objects; };
}

/// Object I is asked for in proportion to 1 / I.
inline object_picker skewed(std::uint64_t Objects) {
  std::vector<double> Parts;
  for (std::uint64_t I = 1; I <= Objects; ++I)
    Parts.push_back(1.0 / static_cast<double>(I));
  return [Draw = std::discrete_distribution<std::uint64_t>(
              Parts.begin(), Parts.end())](std::mt19937_64 &Random) mutable {
    return 1 + Draw(Random);
  };
}

/// Instances that send to the same targets and tell each other; counts what
/// callers get.
class shared_load {
public:
  explicit shared_load(const load_shape &Shape) : Shape(Shape) {
    placer_policy Policy;
    Policy.Affinity.Enabled = Shape.Affinity;
    std::vector<placer_target> Rows;
    for (std::uint16_t I = 0; I < Shape.Targets; ++I) {
      placer_target Row;
      Row.Handle = {I};
      Row.Service = Service;
      Row.Id = 1000U + I;
      Row.Slots = Shape.Slots;
      Rows.push_back(Row);
    }
    for (std::size_t I = 0; I < Shape.Instances; ++I) {
      Placers.push_back(std::make_unique<placer>(Policy));
      Placers.back()->setTargets(Rows, Now);
    }
    Targets.resize(Shape.Targets);
  }

  void run(double Rate, const object_picker &Pick, milliseconds Time) {
    const steady_time End = Now + Time;
    std::exponential_distribution<double> Gap(Rate);
    auto Next = Now;
    while (Now < End) {
      Now += Tick;
      finishDue();
      for (; Next <= Now;
           Next += std::chrono::duration_cast<std::chrono::nanoseconds>(
               std::chrono::duration<double>(Gap(Random))))
        arrive(Pick(Random));
      for (std::size_t I = 0; I < Placers.size(); ++I)
        if (Placers[I]->waiting() > 0)
          for (const place_grant &Grant : Placers[I]->poll(Now))
            apply(I, Grant.Id, Grant.Verdict);
      if (Now >= NextUpdate)
        exchange();
    }
  }

  void resetCounts() {
    Requested = Good = Refused = WarmRuns = Runs = 0;
    Answered = 0;
    WaitedMs = 0;
    for (target &Row : Targets)
      Row.BusyMs = 0;
  }

  double warmPart() const { return part(WarmRuns, Runs); }
  double goodPart() const { return part(Good, Answered + Refused); }
  double meanWaitMs() const {
    return WaitedMs / static_cast<double>(std::max<std::size_t>(1, Answered));
  }
  /// Slot time of the busiest target relative to the mean.
  double worstTarget() const {
    double Sum = 0;
    double Most = 0;
    for (const target &Row : Targets) {
      Sum += Row.BusyMs;
      Most = std::max(Most, Row.BusyMs);
    }
    return Most / (Sum / static_cast<double>(Targets.size()));
  }
  /// Targets that ran the object since the last call.
  std::size_t takeTargetsOf(std::uint64_t Object) {
    std::size_t Count = 0;
    for (target &Row : Targets)
      Count += Row.Ran.contains(Object) ? 1 : 0;
    for (target &Row : Targets)
      Row.Ran.clear();
    return Count;
  }
  std::vector<holder_change> takeChanges() {
    std::uint64_t Omitted = 0;
    return Placers.front()->takeHolderChanges(Omitted);
  }
  const affinity &state() const { return Placers.front()->affinityState(); }
  std::size_t holders() const { return Placers.front()->holders(); }
  steady_time now() const { return Now; }

  std::size_t Requested = 0;
  std::size_t Good = 0;
  std::size_t Refused = 0;

private:
  struct run_row {
    std::uint64_t Id = 0;
    std::size_t Instance = 0;
    place_request Request;
    steady_time Sent;
    steady_time Ends;
  };

  struct target {
    std::vector<run_row> Running;
    std::deque<run_row> Queue;
    /// Latest first.
    std::deque<std::uint64_t> Cached;
    std::set<std::uint64_t> Ran;
    double BusyMs = 0;
  };

  static double part(std::size_t Some, std::size_t All) {
    return static_cast<double>(Some) /
           static_cast<double>(std::max<std::size_t>(1, All));
  }

  void arrive(std::uint64_t Object) {
    const std::uint64_t Id = ++LastId;
    ++Requested;
    place_request Request;
    Request.Id = Id;
    Request.Service = Service;
    Request.Object = Object;
    Request.Kind = Kind;
    Request.Arrived = Now;
    Request.Deadline = Now + Deadline;
    Request.GoodUntil = Now + Shape.Good;
    const std::size_t Instance = Random() % Placers.size();
    Requests[Id] = Request;
    if (Shape.LeastLoaded)
      return send(Instance, Id, leastLoaded());
    apply(Instance, Id, Placers[Instance]->place(Request, Now));
  }

  target_handle leastLoaded() {
    const std::size_t A = Random() % Targets.size();
    const std::size_t B = Random() % Targets.size();
    return handleAt<target_handle>(load(A) <= load(B) ? A : B);
  }

  std::size_t load(std::size_t Target) const {
    return Targets[Target].Running.size() + Targets[Target].Queue.size();
  }

  void apply(std::size_t Instance, std::uint64_t Id,
             const placement_verdict &Verdict) {
    if (const auto *Send = std::get_if<place_send>(&Verdict))
      return send(Instance, Id, Send->Target);
    if (std::holds_alternative<error>(Verdict)) {
      ++Refused;
      Requests.erase(Id);
    }
  }

  void send(std::size_t Instance, std::uint64_t Id, target_handle Handle) {
    target &Row = Targets[Handle.Index];
    Row.Queue.push_back({Id, Instance, Requests[Id], Now, Now});
    Requests.erase(Id);
    startQueued(Row);
  }

  void startQueued(target &Row) {
    while (!Row.Queue.empty() && Row.Running.size() < Shape.Slots) {
      run_row Run = std::move(Row.Queue.front());
      Row.Queue.pop_front();
      const std::uint64_t Object = Run.Request.Object;
      const auto Found =
          std::find(Row.Cached.begin(), Row.Cached.end(), Object);
      const bool Warm = Found != Row.Cached.end();
      std::uniform_real_distribution<double> Spread(0.85, 1.15);
      const auto Mean =
          static_cast<double>((Warm ? Shape.Warm : Shape.Cold).count());
      const milliseconds Took(static_cast<std::int64_t>(Mean * Spread(Random)));
      WaitedMs +=
          std::chrono::duration<double, std::milli>(Now - Run.Request.Arrived)
              .count();
      ++Runs;
      WarmRuns += Warm ? 1 : 0;
      Row.BusyMs += static_cast<double>(Took.count());
      Row.Ran.insert(Object);
      Run.Ends = Now + Took;
      Row.Running.push_back(std::move(Run));
    }
  }

  void finishDue() {
    for (std::size_t I = 0; I < Targets.size(); ++I) {
      target &Row = Targets[I];
      std::vector<run_row> Done;
      std::erase_if(Row.Running, [&](const run_row &Run) {
        if (Run.Ends > Now)
          return false;
        Done.push_back(Run);
        return true;
      });
      startQueued(Row);
      for (const run_row &Run : Done) {
        const std::uint64_t Object = Run.Request.Object;
        std::erase(Row.Cached, Object);
        Row.Cached.push_front(Object);
        if (Row.Cached.size() > Shape.Keeps)
          Row.Cached.pop_back();
        ++Answered;
        Good += Now <= Run.Request.GoodUntil ? 1 : 0;
        if (Shape.LeastLoaded)
          continue;
        const target_report Report{
            static_cast<std::uint32_t>(Row.Running.size()),
            static_cast<std::uint32_t>(Row.Queue.size()),
            Shape.Slots,
            {}};
        Placers[Run.Instance]->finished({handleAt<target_handle>(I), Object,
                                         Kind, target_result::Answered,
                                         Now - Run.Sent, Report, std::nullopt},
                                        Now);
      }
    }
  }

  void exchange() {
    NextUpdate = Now + UpdatePeriod;
    for (std::size_t From = 0; From < Placers.size(); ++From) {
      const object_update Update{Placers[From]->takeUpdates(),
                                 Placers[From]->takeLoadReports()};
      if (Update == object_update())
        continue;
      for (std::size_t To = 0; To < Placers.size(); ++To)
        if (To != From)
          Placers[To]->receive(Update, Now);
    }
  }

  load_shape Shape;
  std::vector<std::unique_ptr<placer>> Placers;
  std::vector<target> Targets;
  steady_time Now = Start;
  steady_time NextUpdate = Start;
  std::mt19937_64 Random{1};
  std::map<std::uint64_t, place_request> Requests;
  std::uint64_t LastId = 0;
  std::size_t Answered = 0;
  std::size_t Runs = 0;
  std::size_t WarmRuns = 0;
  double WaitedMs = 0;
};

/// The load after it has run for a while.
inline shared_load settled(const load_shape &Shape, double Rate,
                           const object_picker &Pick, milliseconds Warmup,
                           milliseconds Time) {
  shared_load Load(Shape);
  Load.run(Rate, Pick, Warmup);
  Load.resetCounts();
  Load.run(Rate, Pick, Time);
  return Load;
}

inline std::string pair(const char *What, double A, double B) {
  return std::string(What) + " " + std::to_string(A) + " and " +
         std::to_string(B);
}

inline void checkAtMost(const char *What, double Value, double Bound) {
  CPPUNIT_ASSERT_MESSAGE(pair(What, Value, Bound), Value <= Bound);
}

inline load_shape today() {
  load_shape Shape;
  Shape.Affinity = false;
  return Shape;
}

} // namespace affinity_tests

#endif
