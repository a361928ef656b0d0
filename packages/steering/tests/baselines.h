/// Simple versions that the tests and benchmarks compare against.
#ifndef MAGNOLIASPREAD_BASELINES_H
#define MAGNOLIASPREAD_BASELINES_H

#include <magnoliaspread/fairq.h>
#include <magnoliaspread/shift.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace magnoliaspread {

/// First come, first served, bounded in all.
struct fifo_queue {
  std::size_t Capacity = 4096;
  std::deque<fairq_entry> Entries;
};

inline bool push(fifo_queue &Queue, const fairq_entry &Entry) {
  if (Queue.Entries.size() >= Queue.Capacity)
    return false;
  Queue.Entries.push_back(Entry);
  return true;
}

inline std::optional<fairq_entry> pop(fifo_queue &Queue, steady_time Now) {
  while (!Queue.Entries.empty()) {
    const fairq_entry Entry = Queue.Entries.front();
    Queue.Entries.pop_front();
    if (Entry.Deadline > Now)
      return Entry;
  }
  return std::nullopt;
}

/// A ramp that begins when the process starts.
inline region_shares sharesSinceStart(const region_shares &From,
                                      const region_shares &To,
                                      const shift_row &Shift,
                                      std::chrono::milliseconds SinceStart) {
  return sharesInForce(From, To, Shift, SinceStart);
}

/// Each instance checks the cap against its own count only once it has made
/// a number of decisions, as a sliding window that starts empty does.
struct lenient_budget {
  std::uint64_t Decisions = 0;
  std::uint64_t Moved = 0;
};

inline bool tryMove(lenient_budget &Budget, const shift_row &Shift,
                    std::uint64_t Window) {
  ++Budget.Decisions;
  const auto Counted = static_cast<double>(
      Budget.Decisions > Window ? Budget.Decisions : Window);
  if (static_cast<double>(Budget.Moved + 1) > Counted * Shift.CapPercent / 100)
    return false;
  ++Budget.Moved;
  return true;
}

} // namespace magnoliaspread

#endif
