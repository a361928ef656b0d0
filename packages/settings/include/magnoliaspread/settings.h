/// The settings file of one instance: its addresses, its data centre and
/// where the platform is.
#ifndef MAGNOLIASPREAD_SETTINGS_H
#define MAGNOLIASPREAD_SETTINGS_H

#include <magnoliaspread/error.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliaspread {

/// An IP address and a port.
struct endpoint_address {
  std::string Address = "127.0.0.1";
  std::uint16_t Port = 0;

  bool operator==(const endpoint_address &) const = default;
};

/// Another instance as configured; used until the platform or a peer reports
/// more.
struct peer_settings {
  std::string Name;
  std::string Region;
  std::string DataCentre;
  endpoint_address Internal;
  endpoint_address Public;
};

/// Affinity of requests to targets that have their object cached, by measured
/// gain and demand.
struct affinity_settings {
  bool Enabled = false;
  /// Largest load of a target through affinity, relative to its fair part.
  double LoadFactor = 1.5;
  /// Smallest gain for which requests go to warm targets, as a fraction of the
  /// cold service time.
  double LeastGain = 0.15;
};

/// Division of a service's slots between workspaces.
struct fair_share_settings {
  bool Enabled = false;
  /// Largest part of an instance's queue that one workspace may fill.
  double QueuePart = 1;
};

/// Settings of an instance that serves a platform on which targets register
/// themselves and operators maintain the routes.
struct gateway_settings {
  /// Listen address: callers request the list of instances to use.
  endpoint_address Directory;
  /// Listen address: the platform's readiness probe of this instance.
  endpoint_address Ready;
  /// Region of each data centre.
  std::map<std::string, std::string> Regions;
  /// Addresses of other instances, whose port is that of Internal.
  std::vector<std::string> Seeds;
  /// Longest time that a withdrawn key is still accepted; 0 is unlimited.
  std::chrono::milliseconds RevocationBound{5000};
  /// Retries and hedges of a service as a fraction of its requests over the
  /// whole fleet.
  double RetryRatio = 0.2;
  /// Burst of retries and hedges of a service over the whole fleet.
  double RetrySlack = 60;
  /// Interval of a target's heartbeats to the platform.
  std::chrono::milliseconds TargetHeartbeat{1500};
  /// Longest time until every instance knows of a target's drain.
  std::chrono::milliseconds DrainBound{2500};
  /// Longest time until a configuration is in force on every instance.
  std::chrono::milliseconds ConfigBound{2500};
  /// Longest time until an evacuated data centre receives no requests.
  std::chrono::milliseconds EvacuationBound{5000};
  /// First start of the whole fleet: nothing has registered yet.
  bool FirstStart = false;
  /// Time from the platform's request to terminate until it kills the instance.
  std::chrono::milliseconds Grace{6000};
  /// Cores that this instance may use; 0 is unknown.
  double CpuCores = 0;
  /// Bandwidth of its link, megabits per second; 0 is unknown.
  double LinkMbps = 0;
  /// Leave the directory while this instance reaches no targets and peers do.
  bool DetectBrokenPath = false;
  /// Port beside the internal one, the same on all instances, that takes the
  /// requests of peers which reach no targets; 0 is none.
  std::uint16_t ForwardPort = 0;
  /// Requests of one caller's connection that may be unanswered at once; with
  /// 1 each waits for the one before it.
  std::size_t PipelinedRequests = 1;
  /// Bytes of answers of a connection that wait for those before them.
  std::size_t PipelinedBytes = 256u << 10;
  /// Time that a caller may wait rather than have a megabyte cross between data
  /// centres of a region, and between regions.
  std::chrono::milliseconds DataCentreCrossing{0};
  std::chrono::milliseconds RegionCrossing{0};
  /// Places objects by the demand of all regions and moves at most this part
  /// of a region's requests from one window of 2 s to the next; 0 is off.
  double MaxRegionShift = 0;
  affinity_settings Affinity;
  fair_share_settings FairShare;
};

struct instance_settings {
  std::string Name;
  std::string Region;
  std::string DataCentre;
  /// Callers: look-ups and requests.
  endpoint_address Public;
  /// The fleet's own processes, over TCP and UDP on the same port.
  endpoint_address Internal;
  /// Operators: /metrics, /healthz, /status.
  endpoint_address Admin;
  endpoint_address Platform;
  /// Shared secret of the fleet, 32 bytes in hex; authenticates the internal
  /// port. Read from the file that FleetSecretFile names when that is set.
  std::string FleetSecret;
  std::string FleetSecretFile;
  std::uint32_t TrafficThreads = 1;
  /// How long callers may cache a look-up's answer.
  std::chrono::milliseconds LookupTtl{2000};
  /// Longest time that a graceful shutdown waits for requests in flight.
  std::chrono::milliseconds DrainTimeout{60000};
  /// How long a lease lasts without renewal.
  std::chrono::milliseconds LeaseTtl{10000};
  /// Interval between runs of the control systems.
  std::chrono::milliseconds ControlTick{20};
  std::uint64_t MaxHeaderBytes = 16384;
  /// Seed membership when the platform is unreachable at startup. May include
  /// the instance itself.
  std::vector<peer_settings> Peers;
  std::optional<gateway_settings> Gateway;
};

/// Reads the settings file's JSON text. The error names the file, the field,
/// the value and what is allowed; unknown fields are errors.
result<instance_settings> parseSettings(std::string_view Json,
                                        std::string_view FileName);

/// Reads and parses the file at \p FileName.
result<instance_settings> loadSettings(const std::string &FileName);

} // namespace magnoliaspread

#endif
