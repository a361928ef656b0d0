/// What is known of the targets that died with one request in flight. Every
/// instance adds what it saw to what others saw; a death is named by the start
/// of the target, so that it counts once whoever tells it and however often.
/// Pure: time is passed in.
#ifndef MAGNOLIASPREAD_CRASHEVIDENCE_H
#define MAGNOLIASPREAD_CRASHEVIDENCE_H

#include <magnoliaspread/clock.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace magnoliaspread {

/// Names one start of a target, alike on every instance.
using target_start = std::uint64_t;

target_start targetStart(std::string_view Name, std::int64_t StartedAtMs);

/// The start after \p Died of a target that serves again, as long as its own
/// name isn't known.
target_start startAfter(target_start Died);

/// A target that died with the request in flight on it.
struct crash {
  target_start Target = 0;
  steady_time SentAt;
  steady_time DiedAt;
  /// No other request of the instance that saw it was in flight there.
  bool Alone = false;
  /// This instance saw it, so the times are exact.
  bool SeenHere = false;
};

class crash_evidence {
public:
  /// Crashes that are kept of one request.
  static constexpr std::size_t MaxCrashes = 8;

  /// False when it was known, or when the request has succeeded since.
  bool add(const crash &Crash);

  /// The request ran to a good end: what died before did not die of it. False
  /// when that changes nothing.
  bool succeeded(steady_time At);

  /// An instance that knows these crashes counts \p Rounds; more than there
  /// are crashes can't be.
  void claim(std::size_t Rounds);

  /// Crashes that came one after the other. Targets that die of one cause at
  /// one moment count once: a request that is in flight on several of them has
  /// not been tried again in between.
  std::size_t rounds() const;

  /// Every target that died with this request died with \p Other too.
  bool isExplainedBy(const crash_evidence &Other) const;

  bool knows(target_start Target) const;
  bool diedAlone() const;
  /// In the order of their times.
  const std::vector<crash> &crashes() const { return Crashes; }
  const std::optional<steady_time> &lastSuccess() const { return SucceededAt; }
  /// Of the last crash or success.
  steady_time lastChange() const;

private:
  std::vector<std::size_t> chain() const;
  void makeRoom();

  std::vector<crash> Crashes;
  std::optional<steady_time> SucceededAt;
  std::size_t Claimed = 0;
};

} // namespace magnoliaspread

#endif
