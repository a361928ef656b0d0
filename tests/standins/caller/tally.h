/// What the callers got, counted by outcome.
#ifndef MAGNOLIASPREAD_CALLER_TALLY_H
#define MAGNOLIASPREAD_CALLER_TALLY_H

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace magnoliaspread {

struct workspace_tally {
  std::uint64_t Sent = 0;
  std::uint64_t Answered = 0;
  /// Answers that were not the request's own or not whole.
  std::uint64_t Wrong = 0;
  /// Refusals and failures by the name of their error kind.
  std::map<std::string, std::uint64_t> Refused;
  /// Time to the whole answer of answered requests.
  std::vector<std::chrono::microseconds> Latencies;
};

struct tally {
  std::map<std::string, workspace_tally> Workspaces;

  workspace_tally whole() const;
};

/// The latency below which \p Part (0 to 1) of the answers came.
std::chrono::microseconds percentile(std::vector<std::chrono::microseconds> All,
                                     double Part);

/// One line: sent, answered, refused by kind, p50 and p99.
std::string summaryLine(const tally &Tally);

std::string formatTally(const tally &Tally);

} // namespace magnoliaspread

#endif
