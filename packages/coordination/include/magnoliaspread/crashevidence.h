/// Target crashes with one request in flight, merged from all instances. A
/// crash is identified by the start of the target, so that duplicate reports
/// count once. Pure: time is passed in.
#ifndef MAGNOLIASPREAD_CRASHEVIDENCE_H
#define MAGNOLIASPREAD_CRASHEVIDENCE_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/hash.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace magnoliaspread {

/// Stands in for the start that follows \p Crashed until its start time is
/// known.
target_start provisionalStartAfter(target_start Crashed);

/// A target that crashed with the request in flight on it.
struct crash {
  target_start Target = 0;
  steady_time SentAt;
  steady_time CrashedAt;
  /// The observing instance had no other request in flight there.
  bool Alone = false;
  /// Observed by this instance, so the times are exact.
  bool IsLocal = false;
};

class crash_evidence {
public:
  /// Crashes stored per request.
  static constexpr std::size_t MaxCrashes = 8;

  /// False if the crash is known, or the request has succeeded since.
  bool add(const crash &Crash);

  /// The request succeeded, so it didn't cause the earlier crashes: drops them.
  /// False if there are none.
  bool succeeded(steady_time At);

  /// A peer that has the same crashes counts \p Rounds. rounds() never exceeds
  /// the number of crashes.
  void mergeRounds(std::size_t Rounds);

  /// Successive crashes: in each the request was sent after the crash before.
  /// Targets that crash of one cause at the same time count once, since the
  /// request wasn't retried in between.
  std::size_t rounds() const;

  /// \p Other was in flight on every target that crashed with this one.
  bool isExplainedBy(const crash_evidence &Other) const;

  bool hasCrashOf(target_start Target) const;
  bool wasEverAlone() const;
  /// Ordered by time of the crash.
  const std::vector<crash> &crashes() const { return Crashes; }
  const std::optional<steady_time> &lastSuccess() const { return SucceededAt; }
  /// Time of the last crash or success.
  steady_time lastChange() const;

private:
  std::vector<std::size_t> successiveCrashes() const;
  void evictOne();

  std::vector<crash> Crashes;
  std::optional<steady_time> SucceededAt;
  std::size_t ReportedRounds = 0;
};

} // namespace magnoliaspread

#endif
