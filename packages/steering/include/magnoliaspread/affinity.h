/// Decides for which kinds of requests affinity to warm targets pays, how many
/// targets hold an object, and which targets have room for another one.
///
/// The gain of a kind is the median service time of warm runs against cold
/// ones. An object's demand in slot time adds up over the instances of a
/// region: each tells its peers a quantum whenever its own runs have used one.
/// From demand and holders follows each target's planned load, which may not
/// exceed its fair part by more than a factor. What a target keeps is bounded
/// by the runs that were expected warm and took cold time, by the number of
/// other objects run there in between.
///
/// Does no I/O and reads no clock. Not thread-safe.
#ifndef MAGNOLIASPREAD_AFFINITY_H
#define MAGNOLIASPREAD_AFFINITY_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/handle.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace magnoliaspread {

struct affinity_policy {
  bool Enabled = false;
  /// Largest load of a target relative to its fair part.
  double LoadFactor = 1.5;
  /// A target planned for less than this fraction of its slots is never
  /// overloaded: nothing waits there.
  double LeastFill = 0.5;
  /// Largest demand of an object on one holder, as a fraction of the target's
  /// bound.
  double HolderPart = 0.5;
  /// Smallest gain, as a fraction of the cold service time.
  double LeastGain = 0.15;
  /// Fraction of the requests of a kind without gain that go to a holder, to
  /// measure the gain again.
  double ProbePart = 0.02;
  /// Averaging time of an object's demand, and of its rise.
  std::chrono::milliseconds DemandTime{2000};
  std::chrono::milliseconds RiseTime{300};
  /// Slot time of an object that is told to peers as one row.
  std::chrono::milliseconds DemandQuantum{250};
  /// Time until peers know of a new holder.
  std::chrono::milliseconds UpdateDelay{200};
  /// Time for which an object has too many holders before they are given back,
  /// and the same where targets have no room for further objects.
  std::chrono::milliseconds ReleaseDelay{10000};
  std::chrono::milliseconds ShortReleaseDelay{2000};
  /// Demand relative to the measured one for which holders are added, and for
  /// which they are retained.
  double AddMargin = 0.85;
  double ReleaseMargin = 1.5;
  /// Half-life of the evidence on what targets keep.
  std::chrono::milliseconds KeepHalfLife{10000};
  std::size_t MaxObjects = 16384;
  std::size_t MaxKinds = 512;
};

/// What the placer knows of an object on the target that it sends to.
enum class holder_state : std::uint8_t { None, Warming, Warm };

struct affinity_run {
  target_handle Target;
  service_handle Service;
  std::uint64_t Object = 0;
  std::uint64_t Kind = 0;
  holder_state Holder = holder_state::None;
  /// Expected service time on a warm target.
  std::chrono::nanoseconds Slot{0};
  /// Whether affinity decided; demand counts only then.
  bool Follows = true;
};

struct affinity_target {
  target_handle Target;
  service_handle Service;
  double Slots = 1;
  /// Of another region, whose instances don't tell this one their demand.
  bool Remote = false;
};

/// A quantum of an object's slot time, used on a target.
struct demand_quantum {
  std::uint64_t Object = 0;
  target_handle Target;
};

/// Measured service times of a kind of request.
struct kind_gain {
  std::uint64_t Kind = 0;
  std::chrono::nanoseconds Warm{0};
  std::chrono::nanoseconds Cold{0};
  /// 1 - Warm / Cold.
  double Gain = 0;
  /// Whether its requests go to holders.
  bool Follows = true;
};

class affinity {
public:
  explicit affinity(const affinity_policy &Policy) : Policy(Policy) {}

  bool enabled() const { return Policy.Enabled; }

  /// Whether a request of the kind goes to a holder of its object. \p Bits is
  /// random, the same for each attempt of the request.
  bool follows(std::uint64_t Kind, std::uint64_t Bits) const;

  /// The handle names another target, or the target's process has restarted.
  void forget(target_handle Target);

  void started(const affinity_run &Run, steady_time Now);
  /// \p Took is empty for runs that tell nothing of the service time.
  void ended(target_handle Target, std::uint64_t Object, std::uint64_t Kind,
             std::optional<std::chrono::nanoseconds> Took, steady_time Now);

  /// A peer has used slot time of an object on a target.
  void told(std::uint64_t Object, target_handle Target, service_handle Service,
            std::chrono::milliseconds Slot, steady_time Now);
  /// Quanta used here since the last call.
  std::vector<demand_quantum> takeQuanta();

  /// Whether the next plan is due.
  bool planDue(steady_time Now) const { return Now >= NextPlan; }
  /// Starts a plan; planObject() for each object follows, then finishPlan().
  void beginPlan(const std::vector<affinity_target> &Targets);
  void planObject(std::uint64_t Object, std::span<const target_handle> Holders,
                  steady_time Now);
  void finishPlan(steady_time Now);

  /// Whether the target's planned load exceeds its bound.
  bool overloaded(target_handle Target) const;
  /// Whether the target may become one of \p Holders holders of the object.
  bool hasRoom(target_handle Target, std::uint64_t Object, std::size_t Holders,
               steady_time Now) const;
  /// Whether the target has run the object and not too many others since.
  bool keepsObject(target_handle Target, std::uint64_t Object) const;
  /// False if the target has run too many other objects since this one.
  bool remembers(target_handle Target, std::uint64_t Object) const;

  /// Holders that the object should have.
  std::size_t wanted(std::uint64_t Object, double DemandFactor,
                     steady_time Now) const;
  /// Whether this request should add a holder. Over all instances, the requests
  /// until every peer knows of it add about as many as are missing.
  bool adds(std::uint64_t Object, std::span<const target_handle> Holders,
            std::uint64_t Bits, steady_time Now) const;
  /// Counts a holder that was added since the last plan.
  void added(std::uint64_t Object, target_handle Target, std::size_t Holders,
             steady_time Now);
  /// Whether this request should give a holder back: the demand is met with
  /// fewer, without overload of those left. Over all instances, the requests of
  /// a second give back about as many as are too many.
  bool releases(std::uint64_t Object, std::span<const target_handle> Holders,
                std::uint64_t Bits, steady_time Now);
  /// The holder that a request prefers when several would answer equally soon:
  /// each gets the part of the object's requests that it is planned for.
  target_handle preferred(std::uint64_t Object,
                          std::span<const target_handle> Holders,
                          std::uint64_t Bits) const;

  /// Demand for an object in slots, as far as this instance knows.
  double demand(std::uint64_t Object, steady_time Now) const;
  /// Objects that a target of the service keeps, at most; empty if unknown.
  std::optional<std::size_t> keeps(service_handle Service,
                                   steady_time Now) const;
  std::optional<kind_gain> gain(std::uint64_t Kind) const;
  std::vector<kind_gain> gains() const;
  /// Runs that were expected warm and took cold time.
  std::uint64_t forgotten() const { return Forgotten; }

private:
  static constexpr std::size_t SampleCount = 32;
  static constexpr std::size_t BucketWidth = 4;
  static constexpr std::size_t Buckets = 16;
  /// Part of what a target may get beyond its fair part that is planned for.
  static constexpr double PlanPart = 0.8;

  /// Latest service times, in seconds.
  struct sample_window {
    std::array<double, SampleCount> Rows{};
    std::size_t Count = 0;
    double Median = 0;

    void add(double Seconds);
  };

  struct kind_state {
    sample_window Warm;
    sample_window Cold;
    bool Follows = true;
  };

  /// Demand that a holder of an object is planned for, in slots.
  struct holder_part {
    target_handle Target;
    double Demand = 0;
  };

  struct object_state {
    /// Slots in use on average over DemandTime and over RiseTime, as of At.
    double Level = 0;
    double Rise = 0;
    steady_time At;
    /// Mean slot time of one row of demand, and of one own request, in seconds.
    double Row = 0;
    double Request = 0;
    /// Own slot time not yet told, in seconds; starts at a random part of the
    /// quantum, so that small parts of many instances add up.
    double Untold = 0;
    service_handle Service;
    /// Since when the object has too many holders.
    std::optional<steady_time> ExcessSince;
    /// By the last plan; empty with a single holder.
    std::vector<holder_part> Parts;
  };

  struct running_row {
    std::uint64_t Object = 0;
    std::uint64_t Kind = 0;
    holder_state Holder = holder_state::None;
    /// Other objects run since the object's last run; empty if unknown.
    std::optional<std::size_t> Distance;
  };

  struct target_state {
    service_handle Service;
    double Slots = 1;
    double Planned = 0;
    double Bound = 0;
    std::size_t Objects = 0;
    bool Remote = false;
    bool Present = false;
    /// Latest first.
    std::deque<std::uint64_t> Recent;
    std::vector<running_row> Running;
  };

  struct keep_bucket {
    double Hits = 0;
    double Misses = 0;
  };

  struct service_state {
    std::array<keep_bucket, Buckets> Runs{};
    steady_time DecayedAt;
    std::optional<std::size_t> Keeps;
    /// Since when there is demand; averages are still rising for a while.
    std::optional<steady_time> Since;
    /// Planned load and slots of the own region's targets and of the others.
    std::array<double, 2> Planned{};
    std::array<double, 2> Slots{};
    /// Bound of an average target of the own region.
    double Bound = 0;
  };

  target_state *find(target_handle Target);
  const target_state *find(target_handle Target) const;
  service_state &serviceOf(service_handle Service);
  const object_state *objectOf(std::uint64_t Object) const;
  double demandOf(const object_state &Object, steady_time Now) const;
  /// Requests about the object in a time, over all instances.
  double requests(const object_state &Object, std::chrono::milliseconds Time,
                  steady_time Now) const;
  void addDemand(std::uint64_t Object, service_handle Service, double Seconds,
                 steady_time Now);
  void noteRun(target_state &Target, std::uint64_t Object);
  std::optional<std::size_t> distance(const target_state &Target,
                                      std::uint64_t Object) const;
  void noteMemory(service_handle Service, const running_row &Run, bool Warm,
                  steady_time Now);
  /// Largest planned load relative to the fair part: demand varies around its
  /// average.
  double planFactor() const { return 1 + (Policy.LoadFactor - 1) * PlanPart; }
  /// How far the average of demand has risen, 0 to 1.
  double risen(const service_state &Service, steady_time Now) const;
  bool memoryFull(const target_state &Target) const;
  void setBounds(steady_time Now);
  /// Divides the object's demand among its holders so that they are filled
  /// evenly.
  void divide(object_state &Object);
  double partOf(const object_state *Object, target_handle Target,
                std::size_t Holders) const;
  std::optional<std::size_t> keepBound(const service_state &Service,
                                       double Factor) const;

  affinity_policy Policy;
  std::vector<target_state> Targets;
  std::vector<service_state> Services;
  std::unordered_map<std::uint64_t, object_state> Objects;
  std::unordered_map<std::uint64_t, kind_state> Kinds;
  std::vector<demand_quantum> Quanta;
  steady_time NextPlan;
  std::uint64_t Forgotten = 0;
};

} // namespace magnoliaspread

#endif
