/// Message in which instances exchange the requests that were in flight on
/// targets that crashed.
#ifndef MAGNOLIASPREAD_QUARANTINEMSG_H
#define MAGNOLIASPREAD_QUARANTINEMSG_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace magnoliaspread {

/// Crashes and suspects in one message, so that it fits a datagram (tested in
/// wire/tests/sizes.cpp).
inline constexpr std::size_t MaxCrashReports = 24;

struct crash_report {
  /// Start of the target, see targetStart().
  std::uint64_t Target = 0;
  /// Ages count back from the sending of the message.
  std::chrono::milliseconds SentAgo{0};
  std::chrono::milliseconds CrashedAgo{0};
  bool Alone = false;

  bool operator==(const crash_report &) const = default;
};

struct suspect_report {
  std::uint64_t Fingerprint = 0;
  /// Last known success of the request.
  std::optional<std::chrono::milliseconds> SucceededAgo;
  /// Successive crashes, as counted by the sender.
  std::uint32_t Rounds = 0;
  std::vector<crash_report> Crashes;

  bool operator==(const suspect_report &) const = default;
};

struct quarantine_update {
  std::vector<suspect_report> Suspects;

  bool operator==(const quarantine_update &) const = default;
};

} // namespace magnoliaspread

#endif
