/// Burn of the error budget by workspace and service, from the /slo pages of
/// all instances.
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
  /// Time that Long covers.
  std::chrono::seconds Covered{};
};

/// Reads a /slo page; PeerRejected when it has another form.
result<slo_page> parseSlo(std::string_view Json);

struct burn_settings {
  /// Part of the requests that has to be good.
  double Objective = 0.999;
  /// Burn over both windows from which a row is an alert: the budget of 30
  /// days is spent in 50 hours.
  double AlertRate = 14.4;
};

struct burn_row {
  std::string Workspace;
  std::string Service;
  slo_counts Short;
  slo_counts Long;
  /// Bad part of the requests over the budget; 1 spends it exactly.
  double ShortRate = 0;
  double LongRate = 0;
  bool Alert = false;
};

struct burn_report {
  /// Fastest burn first.
  std::vector<burn_row> Rows;
  /// Pages that were summed up.
  std::size_t Instances = 0;
  /// Shortest time that an instance's long window covers.
  std::chrono::seconds Covered{};
};

/// Sums the pages up.
burn_report makeBurnReport(const std::vector<slo_page> &Pages,
                           const burn_settings &Settings);

/// A table for people.
std::string formatBurnTable(const burn_report &Report);

/// One line of JSON.
std::string formatBurnJson(const burn_report &Report);

} // namespace magnoliaspread

#endif
