/// Answers and failures that the callers received, by outcome.
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
  /// Answers with status 200 that don't match the request.
  std::uint64_t Wrong = 0;
  /// Refusals and failures by error kind.
  std::map<std::string, std::uint64_t> Refused;
  /// Time to the complete answer, of answered requests.
  std::vector<std::chrono::microseconds> Latencies;
};

struct tally {
  std::map<std::string, workspace_tally> Workspaces;

  workspace_tally total() const;
};

/// The latency that \p Fraction (0 to 1) of the answers stayed below.
std::chrono::microseconds percentile(std::vector<std::chrono::microseconds> All,
                                     double Fraction);

/// One line: sent, answered, refused by kind, p50 and p99.
std::string summaryLine(const tally &Tally);

std::string formatTally(const tally &Tally);

} // namespace magnoliaspread

#endif
