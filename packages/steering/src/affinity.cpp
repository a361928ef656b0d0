#include <magnoliaspread/affinity.h>

#include "placermath_p.h"

#include <magnoliaspread/ownership.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace magnoliaspread {

using std::chrono::duration;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

namespace {

/// Samples of each sort before a gain counts as measured.
constexpr std::size_t LeastSamples = 12;
/// A kind without gain is followed again from this multiple of the least gain.
constexpr double ReturnFactor = 1.5;
/// Runs in a bucket before they are evidence of what targets keep.
constexpr double LeastRuns = 6;
/// Fraction of runs that take cold time beyond what a target keeps, and at most
/// right after the object's last run.
constexpr double MissPart = 0.5;
constexpr double BasePart = 0.3;
/// Standard deviations that a rise of demand must exceed the noise by.
constexpr double RiseDeviations = 2;
constexpr milliseconds PlanPeriod{250};
/// Time in which the requests about an object give back what is too much.
constexpr milliseconds ReleasePeriod{1000};
/// Largest planned load of the holders left, as a fraction of their bound.
constexpr double ReleaseFill = 0.8;
/// A load that is small beside a target's bound may fill it.
constexpr double SmallPart = 0.1;
/// Bounds the correction of demand that has just begun.
constexpr double LeastRise = 0.1;
/// Objects with less demand than this are forgotten, in slots.
constexpr double LeastDemand = 0.001;
constexpr std::size_t MaxQuanta = 1024;
/// Smallest part of an object's demand that a holder is planned for, relative
/// to an equal part: without requests it would forget the object.
constexpr double LeastPart = 0.2;
/// Each object's division depends on the others'.
constexpr std::size_t DivideRounds = 2;

double meanDecay(steady_time::duration Age, milliseconds Time) {
  return std::exp(-seconds(Age) / seconds(Time));
}

/// Uniform over [0, 1).
double fraction(std::uint64_t Bits) {
  constexpr double Scale = 1.0 / 9007199254740992.0;
  return static_cast<double>(Bits >> 11U) * Scale;
}

nanoseconds fromSeconds(double Seconds) {
  return duration_cast<nanoseconds>(duration<double>(Seconds));
}

} // namespace

void affinity::sample_window::add(double Seconds) {
  Rows[Count++ % SampleCount] = Seconds;
  const std::size_t Used = std::min(Count, SampleCount);
  std::array<double, SampleCount> Sorted = Rows;
  const auto Middle = Sorted.begin() + static_cast<std::ptrdiff_t>(Used / 2);
  std::nth_element(Sorted.begin(), Middle,
                   Sorted.begin() + static_cast<std::ptrdiff_t>(Used));
  Median = *Middle;
}

affinity::target_state *affinity::find(target_handle Target) {
  return Target.valid() && Target.Index < Targets.size()
             ? &Targets[Target.Index]
             : nullptr;
}

const affinity::target_state *affinity::find(target_handle Target) const {
  return const_cast<affinity *>(this)->find(Target);
}

affinity::service_state &affinity::serviceOf(service_handle Service) {
  if (Service.Index >= Services.size())
    Services.resize(Service.Index + 1U);
  return Services[Service.Index];
}

const affinity::object_state *affinity::objectOf(std::uint64_t Object) const {
  const auto Found = Objects.find(Object);
  return Found == Objects.end() ? nullptr : &Found->second;
}

// Gain.

std::optional<kind_gain> affinity::gain(std::uint64_t Kind) const {
  const auto Found = Kinds.find(Kind);
  if (Found == Kinds.end() || Found->second.Warm.Count < LeastSamples ||
      Found->second.Cold.Count < LeastSamples)
    return std::nullopt;
  const kind_state &Row = Found->second;
  return kind_gain{Kind, fromSeconds(Row.Warm.Median),
                   fromSeconds(Row.Cold.Median),
                   1 - Row.Warm.Median / Row.Cold.Median, Row.Follows};
}

std::vector<kind_gain> affinity::gains() const {
  std::vector<kind_gain> Rows;
  for (const auto &[Kind, Row] : Kinds)
    if (const auto Gain = gain(Kind))
      Rows.push_back(*Gain);
  return Rows;
}

bool affinity::follows(std::uint64_t Kind, std::uint64_t Bits) const {
  const auto Found = Kinds.find(Kind);
  return Found == Kinds.end() || Found->second.Follows ||
         fraction(Bits) < Policy.ProbePart;
}

// Runs.

void affinity::forget(target_handle Target) {
  if (target_state *State = find(Target))
    *State = target_state();
}

void affinity::started(const affinity_run &Run, steady_time Now) {
  if (Run.Object == 0 || !Run.Target.valid())
    return;
  if (Run.Target.Index >= Targets.size())
    Targets.resize(Run.Target.Index + 1U);
  target_state &Target = Targets[Run.Target.Index];
  Target.Service = Run.Service;
  Target.Running.push_back(
      {Run.Object, Run.Kind, Run.Holder, distance(Target, Run.Object)});
  noteRun(Target, Run.Object);
  if (!Run.Follows)
    return;
  addDemand(Run.Object, Run.Service, seconds(Run.Slot), Now);
  const auto Found = Objects.find(Run.Object);
  if (Found == Objects.end())
    return;
  object_state &Object = Found->second;
  Object.Request = seconds(Run.Slot);
  Object.Untold += seconds(Run.Slot);
  const double Quantum = seconds(Policy.DemandQuantum);
  while (Object.Untold >= Quantum && Quantum > 0) {
    Object.Untold -= Quantum;
    if (Quanta.size() < MaxQuanta)
      Quanta.push_back({Run.Object, Run.Target});
  }
}

void affinity::ended(target_handle Handle, std::uint64_t Object,
                     std::uint64_t Kind, std::optional<nanoseconds> Took,
                     steady_time Now) {
  target_state *Target = find(Handle);
  if (Target == nullptr || Object == 0)
    return;
  const auto Run =
      std::find_if(Target->Running.begin(), Target->Running.end(),
                   [&](const running_row &Row) {
                     return Row.Object == Object && Row.Kind == Kind;
                   });
  if (Run == Target->Running.end())
    return;
  const running_row Row = *Run;
  Target->Running.erase(Run);
  if (!Took || Row.Holder == holder_state::Warming)
    return;
  if (!Kinds.contains(Kind) && Kinds.size() >= Policy.MaxKinds)
    return;
  const auto Known = gain(Kind);
  if (Known && Known->Gain >= Policy.LeastGain &&
      Row.Holder == holder_state::Warm)
    noteMemory(Target->Service, Row, *Took < (Known->Warm + Known->Cold) / 2,
               Now);
  kind_state &State = Kinds[Kind];
  if (Row.Holder == holder_state::Warm)
    State.Warm.add(seconds(*Took));
  else if (!Row.Distance)
    State.Cold.add(seconds(*Took));
  if (const auto Measured = gain(Kind))
    State.Follows =
        Measured->Gain >= Policy.LeastGain * (State.Follows ? 1 : ReturnFactor);
}

// Memory of targets.

std::optional<std::size_t> affinity::distance(const target_state &Target,
                                              std::uint64_t Object) const {
  const auto Found =
      std::find(Target.Recent.begin(), Target.Recent.end(), Object);
  if (Found == Target.Recent.end())
    return std::nullopt;
  return static_cast<std::size_t>(Found - Target.Recent.begin());
}

void affinity::noteRun(target_state &Target, std::uint64_t Object) {
  const auto Found =
      std::find(Target.Recent.begin(), Target.Recent.end(), Object);
  if (Found != Target.Recent.end())
    Target.Recent.erase(Found);
  Target.Recent.push_front(Object);
  if (Target.Recent.size() > Buckets * BucketWidth)
    Target.Recent.pop_back();
}

void affinity::noteMemory(service_handle Handle, const running_row &Run,
                          bool Warm, steady_time Now) {
  Forgotten += Warm ? 0 : 1;
  if (!Run.Distance)
    return;
  service_state &Service = serviceOf(Handle);
  const double Factor =
      decayFactor(Now - Service.DecayedAt, Policy.KeepHalfLife);
  for (keep_bucket &Bucket : Service.Runs) {
    Bucket.Hits *= Factor;
    Bucket.Misses *= Factor;
  }
  Service.DecayedAt = Now;
  keep_bucket &Bucket =
      Service.Runs[std::min(*Run.Distance / BucketWidth, Buckets - 1)];
  ++(Warm ? Bucket.Hits : Bucket.Misses);
  Service.Keeps = keepBound(Service, 1);
}

/// The first distance at which most runs took cold time. Nothing is concluded
/// while runs right after the last one do so too: targets are slow then.
std::optional<std::size_t> affinity::keepBound(const service_state &Service,
                                               double Factor) const {
  const keep_bucket &Base = Service.Runs.front();
  if (Base.Misses > BasePart * (Base.Hits + Base.Misses))
    return std::nullopt;
  for (std::size_t I = 1; I < Buckets; ++I) {
    const keep_bucket &Bucket = Service.Runs[I];
    const double Runs = (Bucket.Hits + Bucket.Misses) * Factor;
    if (Runs >= LeastRuns && Bucket.Misses * Factor > MissPart * Runs)
      return I * BucketWidth;
  }
  return std::nullopt;
}

std::optional<std::size_t> affinity::keeps(service_handle Service,
                                           steady_time Now) const {
  if (Service.Index >= Services.size())
    return std::nullopt;
  const service_state &State = Services[Service.Index];
  return keepBound(State,
                   decayFactor(Now - State.DecayedAt, Policy.KeepHalfLife));
}

bool affinity::remembers(target_handle Handle, std::uint64_t Object) const {
  const target_state *Target = find(Handle);
  if (Target == nullptr || Target->Service.Index >= Services.size())
    return true;
  const auto Keeps = Services[Target->Service.Index].Keeps;
  const auto Distance = distance(*Target, Object);
  return !Keeps || !Distance || *Distance < *Keeps;
}

bool affinity::keepsObject(target_handle Handle, std::uint64_t Object) const {
  const target_state *Target = find(Handle);
  return Target != nullptr && distance(*Target, Object) &&
         remembers(Handle, Object);
}

// Demand.

void affinity::addDemand(std::uint64_t Object, service_handle Service,
                         double Seconds, steady_time Now) {
  auto Found = Objects.find(Object);
  if (Found == Objects.end()) {
    if (Objects.size() >= Policy.MaxObjects)
      return;
    Found = Objects.emplace(Object, object_state()).first;
    Found->second.At = Now;
    Found->second.Untold =
        fraction(rendezvousScore(Object, static_cast<std::uint64_t>(
                                             Now.time_since_epoch().count()))) *
        seconds(Policy.DemandQuantum);
  }
  object_state &Row = Found->second;
  Row.Service = Service;
  service_state &State = serviceOf(Service);
  if (!State.Since)
    State.Since = Now;
  Row.Level = Row.Level * meanDecay(Now - Row.At, Policy.DemandTime) +
              Seconds / seconds(Policy.DemandTime);
  Row.Rise = Row.Rise * meanDecay(Now - Row.At, Policy.RiseTime) +
             Seconds / seconds(Policy.RiseTime);
  Row.At = Now;
  Row.Row =
      Row.Row > 0 ? Row.Row + (Seconds - Row.Row) * SampleWeight : Seconds;
}

void affinity::told(std::uint64_t Object, target_handle Handle,
                    service_handle Service, milliseconds Slot,
                    steady_time Now) {
  addDemand(Object, Service, seconds(Slot), Now);
  if (target_state *Target = find(Handle))
    noteRun(*Target, Object);
}

std::vector<demand_quantum> affinity::takeQuanta() {
  return std::exchange(Quanta, {});
}

double affinity::demandOf(const object_state &Object, steady_time Now) const {
  const double Level =
      Object.Level * meanDecay(Now - Object.At, Policy.DemandTime);
  const double Rise = Object.Rise * meanDecay(Now - Object.At, Policy.RiseTime);
  const double Noise =
      std::sqrt(Object.Row * Rise / (2 * seconds(Policy.RiseTime)));
  return std::max(Level, Rise - RiseDeviations * Noise);
}

double affinity::demand(std::uint64_t Object, steady_time Now) const {
  const object_state *Row = objectOf(Object);
  return Row == nullptr ? 0 : demandOf(*Row, Now);
}

double affinity::requests(const object_state &Object, milliseconds Time,
                          steady_time Now) const {
  const double Each = Object.Request > 0 ? Object.Request : Object.Row;
  return std::max(1.0, demandOf(Object, Now) / std::max(0.001, Each) *
                           seconds(Time));
}

// Plan.

void affinity::beginPlan(const std::vector<affinity_target> &Rows) {
  for (target_state &Target : Targets) {
    Target.Present = false;
    Target.Planned = 0;
    Target.Objects = 0;
  }
  for (service_state &Service : Services) {
    Service.Planned = {};
    Service.Slots = {};
  }
  for (const affinity_target &Row : Rows) {
    if (Row.Target.Index >= Targets.size())
      Targets.resize(Row.Target.Index + 1U);
    target_state &Target = Targets[Row.Target.Index];
    Target.Service = Row.Service;
    Target.Slots = Row.Slots;
    Target.Remote = Row.Remote;
    Target.Present = true;
    serviceOf(Row.Service).Slots[Row.Remote ? 1 : 0] += Row.Slots;
  }
}

void affinity::planObject(std::uint64_t Object,
                          std::span<const target_handle> Holders,
                          steady_time Now) {
  const auto Found = Objects.find(Object);
  if (Found == Objects.end())
    return;
  object_state &Row = Found->second;
  Row.Parts.clear();
  const double Demand = demandOf(Row, Now);
  if (Demand <= 0)
    return;
  const double Part =
      Demand / static_cast<double>(std::max<std::size_t>(1, Holders.size()));
  for (const target_handle Handle : Holders) {
    target_state *Target = find(Handle);
    if (Target == nullptr || !Target->Present)
      continue;
    Target->Planned += Part;
    ++Target->Objects;
    serviceOf(Target->Service).Planned[Target->Remote ? 1 : 0] += Part;
    if (Holders.size() > 1)
      Row.Parts.push_back({Handle, Part});
  }
}

void affinity::finishPlan(steady_time Now) {
  NextPlan = Now + PlanPeriod;
  setBounds(Now);
  for (std::size_t I = 0; I < DivideRounds; ++I)
    for (auto &[Key, Object] : Objects)
      if (Object.Parts.size() > 1)
        divide(Object);
  std::erase_if(Objects, [&](const auto &Row) {
    return demandOf(Row.second, Now) < LeastDemand;
  });
}

void affinity::setBounds(steady_time Now) {
  std::vector<std::size_t> Local(Services.size());
  for (const target_state &Target : Targets)
    if (Target.Present && !Target.Remote)
      ++Local[Target.Service.Index];
  for (std::size_t I = 0; I < Services.size(); ++I) {
    service_state &Service = Services[I];
    Service.Keeps = keeps({static_cast<std::uint16_t>(I)}, Now);
    const double Mean = static_cast<double>(std::max<std::size_t>(1, Local[I]));
    Service.Bound = std::max(
        {1.0, Policy.LeastFill * Service.Slots[0] / Mean,
         planFactor() * Service.Planned[0] / Mean / risen(Service, Now)});
  }
  for (target_state &Target : Targets) {
    if (!Target.Present)
      continue;
    const service_state &Service = Services[Target.Service.Index];
    const std::size_t Side = Target.Remote ? 1 : 0;
    const double Fair = Service.Planned[Side] / risen(Service, Now) *
                        Target.Slots / std::max(1.0, Service.Slots[Side]);
    Target.Bound =
        std::max({1.0, Policy.LeastFill * Target.Slots, planFactor() * Fair});
  }
}

void affinity::divide(object_state &Object) {
  double Demand = 0;
  for (const holder_part &Row : Object.Parts) {
    find(Row.Target)->Planned -= Row.Demand;
    Demand += Row.Demand;
  }
  const double Least =
      Demand / static_cast<double>(Object.Parts.size()) * LeastPart;
  const auto Fill = [&](const holder_part &Row) {
    const target_state &Target = *find(Row.Target);
    return (Target.Planned + Least) / Target.Bound;
  };
  std::sort(Object.Parts.begin(), Object.Parts.end(),
            [&](const holder_part &A, const holder_part &B) {
              return Fill(A) < Fill(B);
            });
  // The level up to which the emptiest holders can be filled.
  const double Free = Demand * (1 - LeastPart);
  double Planned = 0;
  double Bound = 0;
  double Level = 0;
  for (const holder_part &Row : Object.Parts) {
    if (Bound > 0 && Fill(Row) >= Level)
      break;
    const target_state &Target = *find(Row.Target);
    Planned += Target.Planned + Least;
    Bound += Target.Bound;
    Level = (Free + Planned) / Bound;
  }
  for (holder_part &Row : Object.Parts) {
    target_state &Target = *find(Row.Target);
    Row.Demand =
        Least + std::max(0.0, (Level - Fill(Row)) * Target.Bound);
    Target.Planned += Row.Demand;
  }
}

double affinity::partOf(const object_state *Object, target_handle Target,
                        std::size_t Holders) const {
  double Sum = 0;
  for (const holder_part &Row : Object->Parts) {
    if (Row.Target == Target)
      return Row.Demand;
    Sum += Row.Demand;
  }
  // Added since the last plan.
  return Sum > 0 ? Sum / static_cast<double>(Holders) : 1;
}

double affinity::risen(const service_state &Service, steady_time Now) const {
  if (!Service.Since)
    return 1;
  return std::max(LeastRise,
                  1 - meanDecay(Now - *Service.Since, Policy.DemandTime));
}

bool affinity::overloaded(target_handle Handle) const {
  const target_state *Target = find(Handle);
  return Target != nullptr && Target->Bound > 0 &&
         Target->Planned > Target->Bound * Policy.LoadFactor / planFactor();
}

bool affinity::hasRoom(target_handle Handle, std::uint64_t Object,
                       std::size_t Holders, steady_time Now) const {
  const target_state *Target = find(Handle);
  if (Target == nullptr || Target->Bound == 0)
    return true;
  const double Part = demand(Object, Now) /
                      static_cast<double>(std::max<std::size_t>(1, Holders));
  return Target->Planned + Part <= Target->Bound && !memoryFull(*Target);
}

bool affinity::memoryFull(const target_state &Target) const {
  const auto Keeps = Target.Service.Index < Services.size()
                         ? Services[Target.Service.Index].Keeps
                         : std::nullopt;
  return Keeps && Target.Objects >= *Keeps;
}

// Holders of an object.

std::size_t affinity::wanted(std::uint64_t Object, double DemandFactor,
                             steady_time Now) const {
  const object_state *Row = objectOf(Object);
  if (Row == nullptr || Row->Service.Index >= Services.size())
    return 1;
  const double Part = Services[Row->Service.Index].Bound * Policy.HolderPart;
  if (Part <= 0)
    return 1;
  return std::max<std::size_t>(
      1, static_cast<std::size_t>(
             std::ceil(demandOf(*Row, Now) * DemandFactor / Part)));
}

bool affinity::adds(std::uint64_t Object,
                    std::span<const target_handle> Holders, std::uint64_t Bits,
                    steady_time Now) const {
  const object_state *Row = objectOf(Object);
  if (Row == nullptr || Holders.empty())
    return false;
  double Missing = static_cast<double>(wanted(Object, Policy.AddMargin, Now)) -
                   static_cast<double>(Holders.size());
  const bool AllOverloaded =
      std::all_of(Holders.begin(), Holders.end(),
                  [this](target_handle Row) { return overloaded(Row); });
  if (AllOverloaded)
    Missing = std::max(Missing, 1.0);
  if (Missing <= 0)
    return false;
  return fraction(Bits) * requests(*Row, Policy.UpdateDelay, Now) < Missing;
}

void affinity::added(std::uint64_t Object, target_handle Handle,
                     std::size_t Holders, steady_time Now) {
  target_state *Target = find(Handle);
  if (Target == nullptr)
    return;
  Target->Planned += demand(Object, Now) /
                     static_cast<double>(std::max<std::size_t>(1, Holders));
  ++Target->Objects;
}

bool affinity::releases(std::uint64_t Object,
                        std::span<const target_handle> Holders,
                        std::uint64_t Bits, steady_time Now) {
  const auto Found = Objects.find(Object);
  if (Found == Objects.end())
    return false;
  object_state &Row = Found->second;
  const auto Count = static_cast<double>(Holders.size());
  const double More = Holders.size() < 2
                          ? 0
                          : demandOf(Row, Now) * (1 / (Count - 1) - 1 / Count);
  bool Fits = Holders.size() >= 2;
  bool Full = false;
  for (const target_handle Handle : Holders) {
    const target_state *Target = find(Handle);
    if (Target == nullptr || Target->Bound == 0)
      continue;
    const double Load = Target->Planned + More;
    Fits = Fits && (Load <= Target->Bound * ReleaseFill ||
                    (Load <= Target->Bound && More <= Target->Bound * SmallPart));
    Full = Full || memoryFull(*Target);
  }
  const std::size_t Needed = wanted(Object, Policy.ReleaseMargin, Now);
  if (!Fits || Needed >= Holders.size()) {
    Row.ExcessSince.reset();
    return false;
  }
  if (!Row.ExcessSince)
    Row.ExcessSince = Now;
  if (Now - *Row.ExcessSince <
      (Full ? Policy.ShortReleaseDelay : Policy.ReleaseDelay))
    return false;
  return fraction(Bits) * requests(Row, ReleasePeriod, Now) <
         static_cast<double>(Holders.size() - Needed);
}

target_handle affinity::preferred(std::uint64_t Object,
                                  std::span<const target_handle> Holders,
                                  std::uint64_t Bits) const {
  if (Holders.empty())
    return {};
  const object_state *Row = objectOf(Object);
  if (Row == nullptr)
    return Holders[static_cast<std::size_t>(
        fraction(Bits) * static_cast<double>(Holders.size()))];
  double Sum = 0;
  for (const target_handle Target : Holders)
    Sum += partOf(Row, Target, Holders.size());
  double Left = fraction(Bits) * Sum;
  for (const target_handle Target : Holders) {
    Left -= partOf(Row, Target, Holders.size());
    if (Left < 0)
      return Target;
  }
  return Holders.back();
}

} // namespace magnoliaspread
