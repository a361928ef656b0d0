/// The configuration of a fleet that routes by host and path: routes,
/// services, workspaces and their keys, as one immutable version.
#ifndef MAGNOLIASPREAD_ROUTES_H
#define MAGNOLIASPREAD_ROUTES_H

#include <magnoliaspread/namemap.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliaspread {

/// A service's share of a route's requests.
struct route_part {
  std::string Service;
  /// Relative to the other parts of the route.
  double Weight = 1;

  bool operator==(const route_part &) const = default;
};

struct route_row {
  std::string Name;
  std::string Host;
  /// Begins and ends with a slash.
  std::string Prefix;
  /// May run more than once; every other request runs at most once.
  bool Repeatable = false;
  /// Longest time to a final answer.
  std::chrono::milliseconds Timeout{30000};
  /// Time to a complete answer within which a request counts as good.
  std::chrono::milliseconds LatencyTarget{1000};
  /// 0 is the most urgent.
  std::uint32_t Priority = 0;
  std::vector<route_part> Parts;
  /// Most targets that one request is sent to.
  std::uint32_t MaxAttempts = 1;
  /// Requests need no key.
  bool Open = false;
  /// Targets answer faster for an object that they handled recently.
  bool Sticky = false;
  /// Regions that may serve the route; empty is all.
  std::vector<std::string> HomeRegions;

  bool operator==(const route_row &) const = default;
};

struct routed_service {
  std::string Name;
  /// Path of the targets' health page.
  std::string HealthPath;
  /// Connections that a target accepts in total.
  std::uint32_t MaxConnections = 0;
  /// How long a target stays cold after its start.
  std::chrono::milliseconds ColdTime{0};
  /// Requests per second that a cold target can serve; 0 is no limit.
  double ColdRate = 0;

  bool operator==(const routed_service &) const = default;
};

struct routed_workspace {
  std::string Name;
  /// 0 is the most urgent; compared before the route's priority.
  std::uint32_t Priority = 0;
  /// Requests per second over the whole fleet; 0 is no limit.
  double Rate = 0;
  /// Burst of requests over the whole fleet, on top of the rate.
  double Burst = 0;
  /// Regions that may serve the workspace; empty is all.
  std::vector<std::string> HomeRegions;

  bool operator==(const routed_workspace &) const = default;
};

/// Limits on the size and the duration of a caller's requests.
struct caller_limits {
  std::size_t HeaderBytes = 16384;
  std::size_t BodyBytes = 1u << 26;
  /// From the first byte of a head to its end.
  std::chrono::milliseconds HeaderTimeout{3000};
  /// A connection without a request is closed after this.
  std::chrono::milliseconds IdleTimeout{15000};

  bool operator==(const caller_limits &) const = default;
};

struct route_table {
  /// Increases monotonically; 0 is no configuration.
  std::uint64_t Version = 0;
  std::vector<route_row> Routes;
  std::vector<routed_service> Services;
  std::vector<routed_workspace> Workspaces;
  /// Indices into Workspaces by hashKey() of a key.
  name_map<std::size_t> Keys;
  /// Routes that aren't open require a key.
  bool KeysRequired = false;
  caller_limits Limits;
};

/// A table with its lookup indices. Row numbers are valid for this version
/// only.
class route_index {
public:
  explicit route_index(route_table Table);

  const route_table &table() const { return Table; }

  /// The route of \p Host with the longest prefix of \p Path, query left out;
  /// null if none matches.
  const route_row *find(std::string_view Host, std::string_view Path) const;

  /// The workspace that owns \p Key; null if there is none.
  const routed_workspace *workspaceOf(std::string_view Key) const;

  const routed_service *service(std::string_view Name) const;

private:
  route_table Table;
  /// Indices into Table.Routes by host, longest prefix first.
  name_map<std::vector<std::size_t>> Hosts;
  name_map<std::size_t> Services;
};

using route_index_ptr = std::shared_ptr<const route_index>;

} // namespace magnoliaspread

#endif
