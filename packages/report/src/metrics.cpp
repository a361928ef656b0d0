#include <magnoliaspread/metrics.h>

#include <atomic>
#include <map>
#include <mutex>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace magnoliaspread {
namespace {

constexpr std::size_t ErrorKinds = static_cast<std::size_t>(error_kind::Count);
/// Workspace and service of the meter that is shared by all pairs beyond
/// MaxMeters.
constexpr const char *OverflowLabel = "other";
/// Workspace of requests without one.
constexpr const char *NoWorkspaceLabel = "open";

using seconds_double = std::chrono::duration<double>;

/// In seconds.
const prometheus::Histogram::BucketBoundaries LatencyBuckets = {
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2,
    0.5,   1,     2,     5,    10,   30,   60,  300};

/// Counters of one workspace and service.
struct meter {
  std::string Workspace;
  std::string Service;
  std::array<std::atomic<std::uint64_t>, SloClasses> Counts{};
  std::array<prometheus::Counter *, SloClasses> Requests{};
  prometheus::Histogram *Latency = nullptr;
  std::atomic<std::int64_t> LatencyTargetMs{0};
};

prometheus::Gauge &addGauge(prometheus::Registry &Registry, const char *Name,
                            const char *Help) {
  return prometheus::BuildGauge().Name(Name).Help(Help).Register(Registry).Add(
      {});
}

} // namespace

struct instance_metrics::state {
  state();
  std::unique_ptr<meter> makeMeter(std::string Workspace, std::string Service);

  prometheus::Registry Registry;
  prometheus::Family<prometheus::Counter> &Requests;
  prometheus::Family<prometheus::Histogram> &Latency;
  std::array<prometheus::Counter *, ErrorKinds> Errors{};
  prometheus::Gauge &InFlight;
  prometheus::Gauge &Pipelined;
  prometheus::Gauge &QueueLength;
  prometheus::Gauge &Connections;
  prometheus::Gauge &ConfigVersion;
  prometheus::Gauge &ConfigStaleness;
  prometheus::Gauge &PlatformReachable;
  prometheus::Gauge &Draining;
  prometheus::Gauge &Suspects;
  prometheus::Gauge &Quarantined;
  prometheus::Gauge &LimitedTargets;
  prometheus::Gauge &PathBroken;
  prometheus::Gauge &Forwarded;
  prometheus::Gauge &DataCentreCrossed;
  prometheus::Gauge &RegionCrossed;
  prometheus::Gauge &NearHolders;
  prometheus::Gauge &SlowTargets;
  prometheus::Gauge &SpilledPart;
  prometheus::Gauge &Holders;
  prometheus::Gauge &Forgotten;
  prometheus::Gauge &MeasuredKinds;
  prometheus::Gauge &SpreadKinds;
  prometheus::Gauge &HeldWorkspaces;
  prometheus::Gauge &ShareRefusals;
  prometheus::Gauge &MintedLimits;
  prometheus::Gauge &RosterStaleness;

  /// Guards Ids and the growth of Meters.
  mutable std::mutex Lock;
  std::map<std::pair<std::string, std::string>, std::uint32_t> Ids;
  /// Never reallocated, so that meters with a known id are read without the
  /// lock.
  std::vector<std::unique_ptr<meter>> Meters;
};

instance_metrics::state::state()
    : Requests(prometheus::BuildCounter()
                   .Name("magnoliaspread_requests_total")
                   .Help("Requests by workspace, service and outcome")
                   .Register(Registry)),
      Latency(prometheus::BuildHistogram()
                  .Name("magnoliaspread_request_seconds")
                  .Help("Time to the whole answer of a target")
                  .Register(Registry)),
      InFlight(addGauge(Registry, "magnoliaspread_in_flight",
                        "Requests without a whole answer")),
      Pipelined(addGauge(Registry, "magnoliaspread_pipelined",
                         "Requests behind an unanswered one of their "
                         "connection")),
      QueueLength(addGauge(Registry, "magnoliaspread_queue_length",
                           "Requests that wait for a target")),
      Connections(addGauge(Registry, "magnoliaspread_connections",
                           "Open connections of callers and peers")),
      ConfigVersion(addGauge(Registry, "magnoliaspread_config_version",
                             "Version of the table in force")),
      ConfigStaleness(addGauge(Registry,
                               "magnoliaspread_config_staleness_seconds",
                               "Time since the table was known to be the "
                               "latest")),
      PlatformReachable(addGauge(Registry, "magnoliaspread_platform_reachable",
                                 "1 while the platform answers")),
      Draining(addGauge(Registry, "magnoliaspread_drain_seconds",
                        "Time since the drain began")),
      Suspects(addGauge(Registry, "magnoliaspread_suspect_requests",
                        "Requests that were in flight on targets that died")),
      Quarantined(addGauge(Registry, "magnoliaspread_quarantined_requests",
                           "Requests that are refused for the targets that "
                           "died of them")),
      LimitedTargets(addGauge(Registry, "magnoliaspread_limited_targets",
                              "Targets that announced a rate limit")),
      PathBroken(addGauge(Registry, "magnoliaspread_path_broken",
                          "1 while this instance reaches no targets and peers "
                          "do")),
      Forwarded(addGauge(Registry, "magnoliaspread_forwarded_requests",
                         "Requests that peers served, as this instance reached "
                         "no targets")),
      DataCentreCrossed(
          addGauge(Registry, "magnoliaspread_data_centre_crossed_bytes",
                   "Answer bytes from other data centres of the region")),
      RegionCrossed(addGauge(Registry, "magnoliaspread_region_crossed_bytes",
                             "Answer bytes from other regions")),
      NearHolders(addGauge(Registry, "magnoliaspread_near_holders",
                           "Holders added so that answers don't cross")),
      SlowTargets(addGauge(Registry, "magnoliaspread_slow_targets",
                           "Targets that report that their work takes longer "
                           "than usual")),
      SpilledPart(addGauge(Registry, "magnoliaspread_spilled_part",
                           "Largest part of a service's objects that is placed "
                           "in other regions by their demand")),
      Holders(addGauge(Registry, "magnoliaspread_object_holders",
                       "Targets that hold objects, by affinity")),
      Forgotten(addGauge(Registry, "magnoliaspread_objects_forgotten",
                         "Runs that were expected warm and took cold time")),
      MeasuredKinds(addGauge(Registry, "magnoliaspread_kinds_measured",
                             "Kinds of requests with a measured gain")),
      SpreadKinds(addGauge(Registry, "magnoliaspread_kinds_spread",
                           "Kinds of requests spread by load for want of "
                           "gain")),
      HeldWorkspaces(addGauge(Registry, "magnoliaspread_workspaces_held",
                              "Workspaces held to their share of a service")),
      ShareRefusals(addGauge(Registry, "magnoliaspread_share_refusals",
                             "Requests refused so that their workspace keeps "
                             "to its share")),
      MintedLimits(addGauge(Registry, "magnoliaspread_limits_minted",
                            "Limits whose regional share this instance "
                            "mints")),
      RosterStaleness(addGauge(Registry,
                               "magnoliaspread_roster_staleness_seconds",
                               "Time since the region's registered instances "
                               "were known to be the latest")) {
  auto &Family = prometheus::BuildCounter()
                     .Name("magnoliaspread_errors_total")
                     .Help("Requests answered by the instance itself")
                     .Register(Registry);
  for (std::size_t I = 0; I < ErrorKinds; ++I) {
    std::string Name(answerOf(static_cast<error_kind>(I)).Name);
    Errors[I] = &Family.Add({{"kind", Name}});
  }
  Meters.reserve(MaxMeters);
  Meters.push_back(makeMeter(OverflowLabel, OverflowLabel));
}

std::unique_ptr<meter> instance_metrics::state::makeMeter(std::string Workspace,
                                                          std::string Service) {
  auto Meter = std::make_unique<meter>();
  Meter->Workspace = std::move(Workspace);
  Meter->Service = std::move(Service);
  prometheus::Labels Labels{{"workspace", Meter->Workspace},
                            {"service", Meter->Service}};
  Meter->Latency = &Latency.Add(Labels, LatencyBuckets);
  for (std::size_t I = 0; I < SloClasses; ++I) {
    Labels["outcome"] = std::string(nameOf(static_cast<slo_class>(I)));
    Meter->Requests[I] = &Requests.Add(Labels);
  }
  return Meter;
}

instance_metrics::instance_metrics() : State(std::make_unique<state>()) {}

instance_metrics::~instance_metrics() = default;

meter_id instance_metrics::meterOf(std::string_view Workspace,
                                   std::string_view Service,
                                   std::chrono::milliseconds LatencyTarget) {
  std::string Name(Workspace.empty() ? NoWorkspaceLabel : Workspace);
  std::lock_guard<std::mutex> Guard(State->Lock);
  auto [Found, IsNew] = State->Ids.try_emplace({Name, std::string(Service)}, 0);
  if (IsNew && State->Meters.size() < MaxMeters) {
    Found->second = static_cast<std::uint32_t>(State->Meters.size());
    State->Meters.push_back(State->makeMeter(Name, std::string(Service)));
  }
  State->Meters[Found->second]->LatencyTargetMs = LatencyTarget.count();
  return {Found->second};
}

void instance_metrics::count(meter_id Id, const request_result &Result) {
  meter &Meter = *State->Meters[Id.Index];
  std::chrono::milliseconds Target(Meter.LatencyTargetMs.load());
  auto Class = static_cast<std::size_t>(classify(Result, Target));
  Meter.Counts[Class].fetch_add(1, std::memory_order_relaxed);
  Meter.Requests[Class]->Increment();
  if (Result.Error)
    State->Errors[static_cast<std::size_t>(*Result.Error)]->Increment();
  else
    Meter.Latency->Observe(seconds_double(Result.Latency).count());
}

void instance_metrics::setGauges(const instance_gauges &Gauges) {
  State->InFlight.Set(static_cast<double>(Gauges.InFlight));
  State->Pipelined.Set(static_cast<double>(Gauges.Pipelined));
  State->QueueLength.Set(static_cast<double>(Gauges.QueueLength));
  State->Connections.Set(static_cast<double>(Gauges.Connections));
  State->ConfigVersion.Set(static_cast<double>(Gauges.ConfigVersion));
  State->ConfigStaleness.Set(seconds_double(Gauges.ConfigStaleness).count());
  State->PlatformReachable.Set(Gauges.PlatformReachable ? 1 : 0);
  State->Draining.Set(seconds_double(Gauges.Draining).count());
  State->Suspects.Set(static_cast<double>(Gauges.Suspects));
  State->Quarantined.Set(static_cast<double>(Gauges.Quarantined));
  State->LimitedTargets.Set(static_cast<double>(Gauges.LimitedTargets));
  State->Forwarded.Set(static_cast<double>(Gauges.Forwarded));
  State->PathBroken.Set(Gauges.PathBroken ? 1 : 0);
  State->DataCentreCrossed.Set(static_cast<double>(Gauges.DataCentreCrossed));
  State->RegionCrossed.Set(static_cast<double>(Gauges.RegionCrossed));
  State->NearHolders.Set(static_cast<double>(Gauges.NearHolders));
  State->SlowTargets.Set(static_cast<double>(Gauges.SlowTargets));
  State->SpilledPart.Set(Gauges.SpilledPart);
  State->Holders.Set(static_cast<double>(Gauges.Holders));
  State->Forgotten.Set(static_cast<double>(Gauges.Forgotten));
  State->MintedLimits.Set(static_cast<double>(Gauges.MintedLimits));
  State->RosterStaleness.Set(seconds_double(Gauges.RosterStaleness).count());
  State->MeasuredKinds.Set(static_cast<double>(Gauges.MeasuredKinds));
  State->SpreadKinds.Set(static_cast<double>(Gauges.SpreadKinds));
  State->HeldWorkspaces.Set(static_cast<double>(Gauges.HeldWorkspaces));
  State->ShareRefusals.Set(static_cast<double>(Gauges.ShareRefusals));
}

std::vector<slo_row> instance_metrics::sums() const {
  std::lock_guard<std::mutex> Guard(State->Lock);
  std::vector<slo_row> Rows;
  for (const auto &Meter : State->Meters) {
    slo_row &Row = Rows.emplace_back();
    Row.Workspace = Meter->Workspace;
    Row.Service = Meter->Service;
    for (std::size_t I = 0; I < SloClasses; ++I)
      Row.Counts.By[I] = Meter->Counts[I].load(std::memory_order_relaxed);
  }
  return Rows;
}

std::string instance_metrics::exposition() const {
  return prometheus::TextSerializer().Serialize(State->Registry.Collect());
}

} // namespace magnoliaspread
