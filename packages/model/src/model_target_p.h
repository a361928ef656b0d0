/// A target in the model: slots, a bounded queue and an LRU cache of objects.
#ifndef MAGNOLIASPREAD_MODEL_TARGET_P_H
#define MAGNOLIASPREAD_MODEL_TARGET_P_H

#include <magnoliaspread/placer.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace magnoliaspread {

struct model_target {
  std::uint16_t Service = 0;
  std::uint16_t Region = 0;
  std::uint32_t Slots = 1;
  std::uint32_t Queue = 0;
  std::uint32_t CachedObjects = 0;
  std::uint32_t Running = 0;
  /// Numbers of requests, in order of arrival.
  std::deque<std::uint64_t> Waiting;
  /// Least recently used first.
  std::vector<std::uint64_t> Objects;
  bool Up = true;
  double Slowness = 1;
  /// Counts restarts; work of an earlier incarnation is ignored.
  std::uint32_t Incarnation = 0;

  bool isCached(std::uint64_t Object) const;
  void cacheObject(std::uint64_t Object);
  void restart();
  target_report report() const;
};

} // namespace magnoliaspread

#endif
