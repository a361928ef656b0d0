/// Message by which instances share what they know of requests that were in
/// flight on targets that died.
#ifndef MAGNOLIASPREAD_QUARANTINEMSG_H
#define MAGNOLIASPREAD_QUARANTINEMSG_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace magnoliaspread {

/// Crashes in one message; with their requests they fit a datagram
/// (wire/tests/sizes.cpp).
inline constexpr std::size_t MaxCrashReports = 24;

struct crash_report {
  /// Start of the target, as targetStart() names it.
  std::uint64_t Target = 0;
  /// Before the message was sent.
  std::chrono::milliseconds SentAgo{0};
  std::chrono::milliseconds DiedAgo{0};
  bool Alone = false;

  bool operator==(const crash_report &) const = default;
};

struct suspect_report {
  std::uint64_t Fingerprint = 0;
  /// The request's last success that is known.
  std::optional<std::chrono::milliseconds> SucceededAgo;
  /// Crashes that came one after the other, as the sender counts them.
  std::uint32_t Rounds = 0;
  std::vector<crash_report> Crashes;

  bool operator==(const suspect_report &) const = default;
};

struct quarantine_news {
  std::vector<suspect_report> Suspects;

  bool operator==(const quarantine_news &) const = default;
};

} // namespace magnoliaspread

#endif
