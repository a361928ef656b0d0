/// Where a starting instance learns what the platform holds.
///
/// Load it answers: hundreds of instances that start at the same moment. If
/// each reads the platform's lists, the platform's work grows with the number
/// of instances times that of targets. So an instance asks its peers for what
/// they have read, and reads for itself only when none can tell in time; those
/// that the settings name as seeds read first. Pure: time is passed in.
#ifndef MAGNOLIASPREAD_STARTSOURCE_H
#define MAGNOLIASPREAD_STARTSOURCE_H

#include <magnoliaspread/clock.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <random>

namespace magnoliaspread {

struct start_settings {
  /// Named as a seed in the instances' settings.
  bool IsSeed = false;
  /// The whole fleet starts for the first time: no peer can know anything.
  bool FirstStart = false;
  /// A seed asks the others for this long before it reads: two ways there and
  /// back between the regions that lie farthest apart (site files, 55 ms).
  std::chrono::milliseconds SeedReadsAfter{220};
  /// Any other instance reads between ReadsAfter and ReadsAfter + Spread, so
  /// that the first ones can tell the others. Reads of a slow platform and a
  /// snapshot's way over a weak link fit into it.
  std::chrono::milliseconds ReadsAfter{1200};
  std::chrono::milliseconds Spread{1200};
  /// Between two questions: several answers of a near peer that knows nothing.
  std::chrono::milliseconds AskPause{80};
  /// Peers that are asked at a time: one may be cut off.
  std::size_t AtOnce = 2;
  /// A peer that hasn't answered after this long isn't waited for: several
  /// times the way of a snapshot over a weak link (site files, 12 Mbit/s).
  std::chrono::milliseconds Patience{250};
};

enum class start_action : std::uint8_t {
  Wait,
  /// Ask one peer; learned() or askEnded() says how it ended.
  AskPeer,
  /// Read the platform.
  Read,
};

class start_source {
public:
  start_source(const start_settings &Settings, std::uint64_t Seed,
               steady_time Now);

  /// What to do now. \p Peers is the number of peers that can be asked.
  start_action next(std::size_t Peers, steady_time Now);

  /// The targets are known.
  void learned() { Done = true; }
  /// A peer has answered, or could not.
  void askEnded();

private:
  start_settings Settings;
  steady_time ReadAt;
  steady_time NextAsk;
  /// When the peers were asked that have not answered.
  std::deque<steady_time> Asked;
  bool Done = false;
};

} // namespace magnoliaspread

#endif
