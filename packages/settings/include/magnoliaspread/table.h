/// The operators' configuration table. The platform stores it; every instance
/// activates it as one version.
#ifndef MAGNOLIASPREAD_TABLE_H
#define MAGNOLIASPREAD_TABLE_H

#include <magnoliaspread/error.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliaspread {

/// Matches every workspace or service, in fields that allow it.
inline constexpr std::string_view AnyName = "*";

enum class key_state : std::uint8_t { Active, Withdrawn };
enum class drain_state : std::uint8_t { Active, Draining };

struct data_centre_row {
  std::string Name;
  std::string Region;
  /// Share of every fleet-wide limit that is minted here, in parts per
  /// thousand; all rows add up to at most 1000.
  std::uint32_t QuotaPermille = 0;
  /// Number of leased quota shares that the data centre's part is split into.
  std::uint32_t QuotaShares = 2;
  drain_state State = drain_state::Active;

  bool operator==(const data_centre_row &) const = default;
};

struct region_row {
  std::string Name;
  drain_state State = drain_state::Active;

  bool operator==(const region_row &) const = default;
};

/// One direction between two regions.
struct link_row {
  std::string From;
  std::string To;
  std::uint64_t BytesPerSecond = 0;

  bool operator==(const link_row &) const = default;
};

struct service_row {
  std::string Name;
  /// Path prefix that routes to the service, such as "/calendar/".
  std::string Prefix;
  /// Requests need no key.
  bool Open = false;
  /// Time to a complete answer, unless the caller sets a deadline.
  std::chrono::milliseconds Deadline{30000};
  /// Longest time between two parts of a body.
  std::chrono::milliseconds ProgressTimeout{5000};
  /// Time to a complete answer within which a request counts as good for the
  /// service-level objective.
  std::chrono::milliseconds LatencyTarget{1000};

  bool operator==(const service_row &) const = default;
};

struct target_row {
  std::string Name;
  std::string Service;
  std::string DataCentre;
  std::string Address;
  std::uint16_t Port = 0;
  /// Requests that the target runs concurrently.
  std::uint32_t Slots = 1;
  drain_state State = drain_state::Active;

  bool operator==(const target_row &) const = default;
};

struct workspace_row {
  std::string Name;
  /// Requests per second over the whole fleet.
  double Rate = 0;
  /// Burst of requests over the whole fleet, on top of the rate.
  double Burst = 0;
  /// Share of contended slots against other workspaces.
  double Weight = 1;

  bool operator==(const workspace_row &) const = default;
};

/// Keys are stored as BLAKE2b-256 hashes in hex, never in clear text.
struct key_row {
  std::string Id;
  std::string Workspace;
  std::string Hash;
  key_state State = key_state::Active;

  bool operator==(const key_row &) const = default;
};

/// Weight of a region for a service's traffic, of one workspace or of all,
/// relative to the other rows of the same service and workspace. A service
/// without rows is served in the caller's own region first.
struct weight_row {
  std::string Region;
  std::string Service;
  std::string Workspace{AnyName};
  double Weight = 1;
  /// Most requests in flight in the region under this row; 0 is no limit.
  std::uint32_t Limit = 0;

  bool operator==(const weight_row &) const = default;
};

/// How fast traffic may move between regions after an edit or a failure.
struct shift_row {
  std::string Service{AnyName};
  /// Rate at which a shift may move traffic away from the previous weights, in
  /// percent of the traffic per minute.
  double RampPercentPerMinute = 100;
  /// Most traffic that may be moved at any time, in percent.
  double CapPercent = 100;

  bool operator==(const shift_row &) const = default;
};

/// Weights before the last accepted edit, from which a ramp starts.
struct shift_origin {
  std::vector<weight_row> From;
  /// Platform time of the edit, milliseconds since the epoch.
  std::int64_t StartedAtMs = 0;

  bool operator==(const shift_origin &) const = default;
};

/// One accepted edit. An editor that got no answer looks for its edit here.
struct edit_record {
  /// Random, chosen by the editor.
  std::string Id;
  /// Version of the table that the edit produced.
  std::uint64_t Version = 0;
  /// Platform time of the edit, milliseconds since the epoch.
  std::int64_t AtMs = 0;

  bool operator==(const edit_record &) const = default;
};

inline constexpr std::size_t MaxEditRecords = 64;

struct config_table {
  /// Increases by one with each accepted edit; 0 is no configuration.
  std::uint64_t Version = 0;
  std::vector<region_row> Regions;
  std::vector<data_centre_row> DataCentres;
  std::vector<link_row> Links;
  std::vector<service_row> Services;
  std::vector<target_row> Targets;
  std::vector<workspace_row> Workspaces;
  std::vector<key_row> Keys;
  std::vector<weight_row> Weights;
  std::vector<shift_row> Shifts;
  shift_origin Origin;
  /// The latest edits, oldest first; at most MaxEditRecords.
  std::vector<edit_record> Edits;

  bool operator==(const config_table &) const = default;
};

/// Reads a table from JSON text and checks every row. The error names the
/// row, the field, the value and the allowed values.
result<config_table> parseTable(std::string_view Json);

/// The whole table as one line of JSON that parseTable() reads back.
std::string formatTable(const config_table &Table);

/// The same JSON with one row a line, for people and version control.
std::string formatTableRows(const config_table &Table);

/// Checks names, references between rows, ranges and sums.
status checkTable(const config_table &Table);

/// BLAKE2b-256 of a key in hex, as stored in key_row.
std::string hashKey(std::string_view Key);

} // namespace magnoliaspread

#endif
