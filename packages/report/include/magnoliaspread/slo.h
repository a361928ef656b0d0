/// Service-level objective: classification of requests, and counts over sliding
/// windows.
#ifndef MAGNOLIASPREAD_SLO_H
#define MAGNOLIASPREAD_SLO_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/error.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliaspread {

enum class slo_class : std::uint8_t {
  Good,
  /// Answered after the service's latency target.
  Slow,
  /// Failed, timed out or ended with an unknown outcome.
  Failed,
  /// Refused although the workspace was within its rate.
  RefusedWithinRate,
  /// Refused for a fault of the caller, such as an exceeded rate or a bad key.
  Refused,
  /// The caller left before the answer.
  Abandoned,
  Count,
};

inline constexpr std::size_t SloClasses =
    static_cast<std::size_t>(slo_class::Count);

/// Name in metrics and reports.
std::string_view nameOf(slo_class Class);

/// How one request ended.
struct request_result {
  /// Empty when a target's answer was forwarded completely.
  std::optional<error_kind> Error;
  /// HTTP status of the answer.
  unsigned Status = 200;
  /// From the head of the request to the end of the answer.
  std::chrono::microseconds Latency{};
  /// The workspace was certainly within its rate.
  bool WithinRate = false;
};

/// A target's answer with status 500 or above counts as failed.
slo_class classify(const request_result &Result,
                   std::chrono::milliseconds LatencyTarget);

/// Requests by class.
struct slo_counts {
  std::array<std::uint64_t, SloClasses> By{};

  std::uint64_t &of(slo_class Class) {
    return By[static_cast<std::size_t>(Class)];
  }
  std::uint64_t of(slo_class Class) const {
    return By[static_cast<std::size_t>(Class)];
  }
  /// Slow, Failed and RefusedWithinRate.
  std::uint64_t bad() const;
  /// Good and bad requests.
  std::uint64_t total() const;

  slo_counts &operator+=(const slo_counts &Other);
  bool operator==(const slo_counts &) const = default;
};

/// Requests of one workspace to one service.
struct slo_row {
  std::string Workspace;
  std::string Service;
  slo_counts Counts;

  bool operator==(const slo_row &) const = default;
};

inline constexpr std::chrono::minutes ShortWindow{5};
inline constexpr std::chrono::minutes LongWindow{60};

/// Counts of the last hour, computed from samples of monotonic counters.
class slo_window {
public:
  explicit slo_window(steady_time Start);

  /// Adds a sample of the counters since the start; call about once a second.
  /// Rows keep their index from call to call, new ones are appended. Stores one
  /// sample a minute besides the latest.
  void add(steady_time Now, std::vector<slo_row> Totals);

  struct sums {
    /// Time span of the rows; shorter than requested after a start, and up to
    /// a minute longer otherwise.
    std::chrono::seconds Covered{};
    std::vector<slo_row> Rows;
  };

  /// Requests of the last \p Length before the latest sample; at most
  /// LongWindow.
  sums over(std::chrono::seconds Length) const;

private:
  struct sample {
    steady_time At;
    /// Indexed by row.
    std::vector<slo_counts> Counts;
  };

  /// The start and one sample a minute, oldest first.
  std::deque<sample> Samples;
  steady_time LatestAt;
  std::vector<slo_row> Latest;
};

/// The admin port's /slo page: counts of both windows as JSON.
std::string formatSlo(const slo_window &Window);

} // namespace magnoliaspread

#endif
