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

/// An IP number and a port.
struct endpoint_address {
  std::string Address = "127.0.0.1";
  std::uint16_t Port = 0;

  bool operator==(const endpoint_address &) const = default;
};

/// Another instance, as known before the platform or a peer tells more.
struct peer_settings {
  std::string Name;
  std::string Region;
  std::string DataCentre;
  endpoint_address Internal;
  endpoint_address Public;
};

/// For instances that are the gate of a platform on which targets register
/// themselves and operators keep the routes.
struct gateway_settings {
  /// Callers ask here which instances to use.
  endpoint_address Directory;
  /// The platform asks here whether this instance takes requests.
  endpoint_address Ready;
  /// Region of each data centre.
  std::map<std::string, std::string> Regions;
  /// Hosts of other instances; they listen on the port of Internal too.
  std::vector<std::string> Seeds;
  /// A withdrawn key may be used for this long; zero is no bound.
  std::chrono::milliseconds Revocation{5000};
  /// Second sends of a service against its requests over the whole fleet.
  double RetryRatio = 0.2;
  /// Second sends of a service at once, over the whole fleet.
  double RetrySlack = 60;
  /// Pause between two reports of a target to the platform.
  std::chrono::milliseconds TargetHeartbeat{1500};
  /// A target's drain has to be known everywhere in this time.
  std::chrono::milliseconds DrainBound{2500};
  /// A configuration has to be in force everywhere in this time.
  std::chrono::milliseconds ConfigBound{2500};
  /// An evacuated data centre gets nothing after this time.
  std::chrono::milliseconds EvacuationBound{5000};
  /// The whole fleet starts for the first time; nothing has registered yet.
  bool FirstStart = false;
  /// The platform kills an instance this long after it told it to end.
  std::chrono::milliseconds Grace{6000};
  /// Cores that this instance may use; 0 is unknown.
  double CpuShare = 0;
  /// Megabits a second of its link; 0 is unknown.
  double LinkMbps = 0;
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
  /// How long callers may keep a look-up's answer.
  std::chrono::milliseconds LookupTtl{2000};
  /// Longest time that a graceful shutdown waits for requests in flight.
  std::chrono::milliseconds DrainTimeout{60000};
  /// How long a lease lasts without renewal.
  std::chrono::milliseconds LeaseTtl{10000};
  /// Pause between two runs of the control systems.
  std::chrono::milliseconds ControlTick{20};
  std::uint64_t MaxHeaderBytes = 16384;
  /// Seeds membership when the platform can't be reached at the start. May
  /// name the instance itself.
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
