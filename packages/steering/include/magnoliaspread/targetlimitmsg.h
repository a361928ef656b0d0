/// Messages between instances about the rate limits that targets announce:
/// gossip of limits, and permits for single requests.
#ifndef MAGNOLIASPREAD_TARGETLIMITMSG_H
#define MAGNOLIASPREAD_TARGETLIMITMSG_H

#include <magnoliaspread/hash.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace magnoliaspread {

/// Limits in one message, so that it fits a datagram (tested in
/// wire/tests/sizes.cpp).
inline constexpr std::size_t MaxLimitReports = 32;

/// A target's limit as an instance knows it.
struct limit_report {
  target_start Target = 0;
  /// Requests per second; empty when the target has withdrawn its limit.
  std::optional<double> Rate;
  /// Time from the sending of the request that was answered so to the sending
  /// of this message.
  std::chrono::milliseconds Age{0};

  bool operator==(const limit_report &) const = default;
};

struct limit_update {
  std::vector<limit_report> Limits;

  bool operator==(const limit_update &) const = default;
};

/// Asks the owner of a target's limit for permits. Repeated with the same
/// sequence until it is answered.
struct permit_request {
  std::uint64_t Sequence = 0;
  std::uint32_t Count = 0;
  /// The limit as the sender knows it.
  limit_report Limit;

  bool operator==(const permit_request &) const = default;
};

struct permit_grant {
  /// Of the request.
  std::uint64_t Sequence = 0;
  std::uint32_t Count = 0;
  /// Until the next permit, when fewer were granted than requested.
  std::chrono::milliseconds Wait{0};
  /// The limit as the owner knows it.
  limit_report Limit;

  bool operator==(const permit_grant &) const = default;
};

using target_limit_message =
    std::variant<limit_update, permit_request, permit_grant>;

} // namespace magnoliaspread

#endif
