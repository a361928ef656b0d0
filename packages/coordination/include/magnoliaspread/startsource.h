/// Decides where a starting instance gets the platform's state from.
///
/// When hundreds of instances start at the same time and each reads the
/// platform's lists, the load on the platform grows with the number of
/// instances times that of targets. So an instance requests the state from its
/// peers and reads the platform only if none answers in time; the seeds named
/// in the settings read first. Time is passed in; no I/O.
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
  /// This instance is a seed in the instances' settings.
  bool IsSeed = false;
  /// The whole fleet starts for the first time, so no peer has any state.
  bool FirstStart = false;
  /// A seed asks its peers for this long before it reads: two round trips
  /// between the most distant regions (site files, 55 ms one way).
  std::chrono::milliseconds SeedReadsAfter{220};
  /// Other instances read after ReadsAfter plus a random part of Spread, so
  /// that the first ones can answer the rest. Leaves time for reads of a slow
  /// platform and a snapshot's transfer over a slow link.
  std::chrono::milliseconds ReadsAfter{1200};
  std::chrono::milliseconds Spread{1200};
  /// Interval between requests: several round trips to a nearby peer.
  std::chrono::milliseconds RequestInterval{80};
  /// Limit of unanswered requests: one peer may be cut off.
  std::size_t MaxOutstanding = 2;
  /// Several times a snapshot's transfer over a slow link (12 Mbit/s, site
  /// files).
  std::chrono::milliseconds RequestTimeout{250};
};

enum class start_action : std::uint8_t {
  Wait,
  /// Request the state from one peer, and report the outcome.
  AskPeer,
  /// Read the platform.
  Read,
};

class start_source {
public:
  start_source(const start_settings &Settings, std::uint64_t Seed,
               steady_time Now);

  /// The action to take now. \p Peers is the number of reachable peers.
  start_action next(std::size_t Peers, steady_time Now);

  /// The state has arrived; nothing more to do.
  void targetsKnown() { Done = true; }
  /// A request was answered or failed.
  void requestEnded();

private:
  start_settings Settings;
  steady_time ReadAt;
  steady_time NextRequest;
  /// Send times of unanswered requests.
  std::deque<steady_time> RequestTimes;
  bool Done = false;
};

} // namespace magnoliaspread

#endif
