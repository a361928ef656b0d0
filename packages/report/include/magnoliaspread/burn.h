/// Error budget burn rate by workspace and service, from the /slo pages of all
/// instances.
#ifndef MAGNOLIASPREAD_BURN_H
#define MAGNOLIASPREAD_BURN_H

#include <magnoliaspread/error.h>
#include <magnoliaspread/slo.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliaspread {

/// One instance's /slo page.
struct slo_page {
  std::vector<slo_row> Short;
  std::vector<slo_row> Long;
  /// Time span of Long.
  std::chrono::seconds Covered{};
};

/// Parses a /slo page; PeerRejected if malformed.
result<slo_page> parseSlo(std::string_view Json);

struct burn_settings {
  /// Required fraction of good requests.
  double Objective = 0.999;
  /// A row whose burn rate reaches this in both windows is an alert; 14.4
  /// spends the budget of 30 days in 50 hours.
  double AlertRate = 14.4;
};

struct burn_row {
  std::string Workspace;
  std::string Service;
  slo_counts Short;
  slo_counts Long;
  /// Fraction of bad requests over the budgeted fraction; 1 spends the budget
  /// exactly.
  double ShortRate = 0;
  double LongRate = 0;
  bool Alert = false;
};

struct burn_report {
  /// Fastest burn first.
  std::vector<burn_row> Rows;
  /// Number of pages in the sums.
  std::size_t Instances = 0;
  /// Shortest time span of an instance's long window.
  std::chrono::seconds Covered{};
};

/// Sums the pages of all instances.
burn_report makeBurnReport(const std::vector<slo_page> &Pages,
                           const burn_settings &Settings);

/// A table for people.
std::string formatBurnTable(const burn_report &Report);

/// One line of JSON.
std::string formatBurnJson(const burn_report &Report);

} // namespace magnoliaspread

#endif
