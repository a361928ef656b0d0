/// Baseline algorithms for comparison in tests and benchmarks.
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

/// First come, first served, with a bounded length.
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

/// A ramp that starts over with each process.
inline region_shares sharesSinceStart(const region_shares &From,
                                      const region_shares &To,
                                      const shift_row &Shift,
                                      std::chrono::milliseconds SinceStart) {
  return sharesInForce(From, To, Shift, SinceStart);
}

/// A cap that is checked only after a number of decisions, like a sliding
/// window that starts empty. Restarts can exceed it.
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
