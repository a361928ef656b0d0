#include "model_target_p.h"

#include <algorithm>

namespace magnoliaspread {

bool model_target::isCached(std::uint64_t Object) const {
  return Object != 0 &&
         std::find(Objects.begin(), Objects.end(), Object) != Objects.end();
}

void model_target::cacheObject(std::uint64_t Object) {
  if (Object == 0 || CachedObjects == 0)
    return;
  std::erase(Objects, Object);
  if (Objects.size() >= CachedObjects)
    Objects.erase(Objects.begin());
  Objects.push_back(Object);
}

void model_target::restart() {
  ++Incarnation;
  Running = 0;
  Waiting.clear();
  Objects.clear();
}

target_report model_target::report() const {
  return {Running, static_cast<std::uint32_t>(Waiting.size()), Slots, {}};
}

} // namespace magnoliaspread
