/// An open-loop load of many workspaces on the fleet's public ports.
#ifndef MAGNOLIASPREAD_CALLER_LOAD_H
#define MAGNOLIASPREAD_CALLER_LOAD_H

#include "tally.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace magnoliaspread {

struct load_address {
  std::string Address;
  std::uint16_t Port = 0;
};

struct workspace_load {
  std::string Workspace;
  std::string Key;
  std::string Path;
  /// Requests per second.
  double Rate = 1;
};

struct load_plan {
  /// Instances that serve look-ups or, with Direct, the destinations.
  std::vector<load_address> Entry;
  /// Sends requests to the entry addresses, without look-ups.
  bool Direct = false;
  std::vector<workspace_load> Workspaces;
  std::chrono::milliseconds Duration{5000};
  std::uint64_t Seed = 1;
  /// Bytes of each request's body; 0 sends GET.
  std::size_t BodyBytes = 0;
  /// Marks requests as not repeatable.
  bool AtMostOnce = false;
  /// Prints a line of progress each second.
  bool Progress = false;
};

/// Sends all requests of the plan and waits for every answer.
tally runLoad(const load_plan &Plan);

} // namespace magnoliaspread

#endif
