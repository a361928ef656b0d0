#include "gatewayparts_p.h"

#include <magnoliaspread/http_store.h>

#include <algorithm>

namespace magnoliaspread {

using std::chrono::duration;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

/// One exchange with the platform: several times its 4 ms (site files), and
/// its slowest, sixty times that.
constexpr milliseconds CallTimeout{700};
constexpr milliseconds OperationTimeout{1400};
constexpr milliseconds LargestBackoff{800};
/// Keys are served this much less than a withdrawn key may be used, for the
/// way from the platform's answer to the request's end.
constexpr milliseconds RevocationMargin{600};
/// Part of the fleet's retry allowance that is used, for requests that are
/// counted in another window.
constexpr double RetryPart = 0.7;
/// Requests a second that a core and a link bear at half of their full load:
/// 0.4 ms of a core a request with all control work (bench, lc-taxi, scale-1),
/// and 7 KB each way (site files: mean sizes by kind).
constexpr double RequestsPerCore = 1000;
constexpr double RequestsPerMbps = 9;

milliseconds partOf(milliseconds Bound, double Part) {
  return duration_cast<milliseconds>(duration<double>(Bound) * Part);
}

/// Parts of the time in which a drain has to be known: a read of the region's
/// reader, a question to it and their ways stay under half of it, so that one
/// of them may be lost.
constexpr double PollPart = 0.28;
constexpr double AskPart = 0.2;
constexpr double SettlePart = 0.5;
constexpr double AnyPeerPart = 0.56;
constexpr double ReadPart = 0.64;
/// Part of the time in which a configuration or an evacuation is in force.
constexpr double RoutesPart = 0.44;
constexpr double EvacuationsPart = 0.34;
constexpr double EvacuationsReadPart = 0.66;
/// With the pause between two questions the proof of a configuration stays
/// younger than view_settings::RoutesLimit.
constexpr milliseconds LongestRoutesPeriod{1400};

} // namespace

http_store_settings storeSettings(const instance_settings &Settings,
                                  const fleet_platform &Platform) {
  http_store_settings Store;
  Store.Protocol = &Platform.protocol();
  Store.Platform = Settings.Platform;
  Store.Pace.MaxBackoff = LargestBackoff;
  Store.CallTimeout = CallTimeout;
  Store.OperationTimeout = OperationTimeout;
  return Store;
}

gate_settings gateSettings(const instance_settings &Settings) {
  gate_settings Gate;
  Gate.Public = Settings.Public;
  Gate.DataCentre = Settings.DataCentre;
  Gate.Region = Settings.Region;
  for (const auto &[DataCentre, Region] : Settings.Gateway->Regions)
    Gate.Regions.emplace(DataCentre, Region);
  const milliseconds Revocation = Settings.Gateway->Revocation;
  if (Revocation > milliseconds(0))
    Gate.KeyProof = std::max(milliseconds(1), Revocation - RevocationMargin);
  Gate.Retries.Ratio = Settings.Gateway->RetryRatio * RetryPart;
  Gate.Retries.Slack = Settings.Gateway->RetrySlack * RetryPart;
  return Gate;
}

view_settings viewSettings(const gateway_settings &Gateway) {
  view_settings View;
  View.AskPeriod = partOf(Gateway.DrainBound, AskPart);
  View.TargetsLimit = partOf(Gateway.DrainBound, ReadPart);
  View.AnyPeerForTargets = partOf(Gateway.DrainBound, AnyPeerPart);
  View.EvacuationsLimit = partOf(Gateway.EvacuationBound, EvacuationsReadPart);
  return View;
}

follower_settings followerSettings(const gateway_settings &Gateway) {
  follower_settings Follower;
  Follower.PollPeriod = partOf(Gateway.DrainBound, PollPart);
  Follower.RoutesPeriod =
      std::min(LongestRoutesPeriod, partOf(Gateway.ConfigBound, RoutesPart));
  Follower.EvacuationsPeriod = partOf(Gateway.EvacuationBound, EvacuationsPart);
  Follower.SettleTime = partOf(Gateway.DrainBound, SettlePart);
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

/// Requests a second; 0 is unknown.
std::uint32_t capacityOf(const gateway_settings &Settings) {
  double Capacity = Settings.CpuShare * RequestsPerCore;
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
