#include "gatewayparts_p.h"

#include <magnoliaspread/http_store.h>

#include <algorithm>

namespace magnoliaspread {

using std::chrono::duration;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

/// One exchange with the platform takes 4 ms (site files), and up to sixty
/// times that.
constexpr milliseconds CallTimeout{700};
constexpr milliseconds OperationTimeout{1400};
constexpr milliseconds MaxPlatformBackoff{800};
/// Subtracted from the time for which a withdrawn key may be used: covers the
/// time from the platform's answer to the end of a request.
constexpr milliseconds RevocationMargin{600};
/// Fraction of the fleet's retry allowance that is used; the rest covers
/// requests that are counted in another window.
constexpr double RetryAllowancePart = 0.7;
/// Requests per second that a core and a link carry at half load: 0.4 ms of a
/// core per request with all control work (bench, lc-taxi, scale-1), and 7 KB
/// each way (site files: mean sizes by kind).
constexpr double RequestsPerCore = 1000;
constexpr double RequestsPerMbps = 9;

milliseconds fractionOf(milliseconds Bound, double Fraction) {
  return duration_cast<milliseconds>(duration<double>(Bound) * Fraction);
}

/// Fractions of the drain bound. The reader's poll, a request to the reader and
/// their round trips take less than half of it, so that one may be lost.
constexpr double PollPart = 0.28;
constexpr double RequestPart = 0.2;
constexpr double SettlePart = 0.5;
constexpr double AnyPeerPart = 0.56;
constexpr double ReadPart = 0.64;
/// Fractions of the bounds within which a configuration or an evacuation is in
/// force.
constexpr double RoutesPart = 0.44;
constexpr double EvacuationsPart = 0.34;
constexpr double EvacuationsReadPart = 0.66;
/// Together with the pause between two requests this keeps the confirmation of
/// a configuration younger than view_settings::RoutesLimit.
constexpr milliseconds MaxRoutesPeriod{1400};

} // namespace

http_store_settings storeSettings(const instance_settings &Settings,
                                  const fleet_platform &Platform) {
  http_store_settings Store;
  Store.Protocol = &Platform.protocol();
  Store.Platform = Settings.Platform;
  Store.Pace.MaxBackoff = MaxPlatformBackoff;
  Store.CallTimeout = CallTimeout;
  Store.OperationTimeout = OperationTimeout;
  return Store;
}

gate_settings gateSettings(const instance_settings &Settings) {
  gate_settings Gate;
  Gate.Name = Settings.Name;
  Gate.Public = Settings.Public;
  Gate.DataCentre = Settings.DataCentre;
  Gate.Region = Settings.Region;
  for (const auto &[DataCentre, Region] : Settings.Gateway->Regions)
    Gate.Regions.emplace(DataCentre, Region);
  const milliseconds RevocationBound = Settings.Gateway->RevocationBound;
  if (RevocationBound > milliseconds(0))
    Gate.KeyedConfigMaxAge =
        std::max(milliseconds(1), RevocationBound - RevocationMargin);
  Gate.Retries.Ratio = Settings.Gateway->RetryRatio * RetryAllowancePart;
  Gate.DetectBrokenPath = Settings.Gateway->DetectBrokenPath;
  Gate.Forward = {Settings.Internal.Address, Settings.Gateway->ForwardPort};
  Gate.Retries.Slack = Settings.Gateway->RetrySlack * RetryAllowancePart;
  Gate.Pipelining.Requests = Settings.Gateway->PipelinedRequests;
  Gate.Pipelining.Bytes = Settings.Gateway->PipelinedBytes;
  Gate.Crossing = {Settings.Gateway->DataCentreCrossing,
                   Settings.Gateway->RegionCrossing};
  Gate.MaxRegionShift = Settings.Gateway->MaxRegionShift;
  const affinity_settings &Affinity = Settings.Gateway->Affinity;
  Gate.Affinity.Enabled = Affinity.Enabled;
  Gate.Affinity.LoadFactor = Affinity.LoadFactor;
  Gate.Affinity.LeastGain = Affinity.LeastGain;
  Gate.FairShare.Enabled = Settings.Gateway->FairShare.Enabled;
  Gate.FairShare.QueuePart = Settings.Gateway->FairShare.QueuePart;
  return Gate;
}

view_settings viewSettings(const gateway_settings &Gateway) {
  view_settings View;
  View.RequestPeriod = fractionOf(Gateway.DrainBound, RequestPart);
  View.TargetsLimit = fractionOf(Gateway.DrainBound, ReadPart);
  View.AnyPeerForTargets = fractionOf(Gateway.DrainBound, AnyPeerPart);
  View.EvacuationsLimit =
      fractionOf(Gateway.EvacuationBound, EvacuationsReadPart);
  View.History.FirstStart = Gateway.FirstStart;
  return View;
}

follower_settings followerSettings(const gateway_settings &Gateway) {
  follower_settings Follower;
  Follower.PollPeriod = fractionOf(Gateway.DrainBound, PollPart);
  Follower.RoutesPeriod =
      std::min(MaxRoutesPeriod, fractionOf(Gateway.ConfigBound, RoutesPart));
  Follower.EvacuationsPeriod =
      fractionOf(Gateway.EvacuationBound, EvacuationsPart);
  Follower.SettleTime = fractionOf(Gateway.DrainBound, SettlePart);
  return Follower;
}

start_settings startSettings(const instance_settings &Settings) {
  const std::vector<std::string> &Seeds = Settings.Gateway->Seeds;
  start_settings Start;
  Start.IsSeed = std::find(Seeds.begin(), Seeds.end(),
                           Settings.Internal.Address) != Seeds.end();
  Start.FirstStart = Settings.Gateway->FirstStart;
  return Start;
}

std::uint32_t capacityOf(const gateway_settings &Settings) {
  double Capacity = Settings.CpuCores * RequestsPerCore;
  if (Settings.LinkMbps > 0)
    Capacity = std::min(Capacity, Settings.LinkMbps * RequestsPerMbps);
  return static_cast<std::uint32_t>(Capacity);
}

registry_settings registrySettings(const gateway_settings &Gateway) {
  registry_settings Registry;
  Registry.AwayAfter = Gateway.TargetHeartbeat + Gateway.TargetHeartbeat;
  return Registry;
}

limiter_settings limiterSettings(const instance_settings &Settings,
                                 const member_identity &Identity) {
  limiter_settings Limiter;
  Limiter.Instance = Settings.Name;
  Limiter.Region = Settings.Region;
  Limiter.Incarnation = Identity.Incarnation;
  return Limiter;
}

} // namespace magnoliaspread
