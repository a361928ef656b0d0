/// What the stand-in targets recorded, independent of the system under test.
#ifndef MAGNOLIASPREAD_TARGET_RECORD_H
#define MAGNOLIASPREAD_TARGET_RECORD_H

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace magnoliaspread {

struct endpoint_record {
  std::uint64_t Runs = 0;
  std::uint64_t Shed = 0;
  std::uint64_t Cancelled = 0;
  std::uint64_t Crashes = 0;
  std::uint32_t Running = 0;
  std::uint32_t MostRunning = 0;
  std::uint32_t Connections = 0;
  std::uint32_t MostConnections = 0;
  /// Wall time of the last accepted request, milliseconds since the epoch.
  std::int64_t LastWorkMs = 0;
};

struct target_record {
  std::map<std::string, endpoint_record> Endpoints;
  std::map<std::string, std::uint64_t> RunsByWorkspace;
  /// Runs by idempotency key; only of requests with one.
  std::map<std::string, std::uint64_t> RunsByIdempotencyKey;
  /// Requests whose workspace key was not removed.
  std::uint64_t KeysSeen = 0;
};

std::int64_t wallMs();

/// The whole record as JSON.
std::string formatRecord(const target_record &Record);

} // namespace magnoliaspread

#endif
