#include <magnoliaspread/clock.h>

namespace magnoliaspread {

steady_time system_clock::now() const {
  return std::chrono::steady_clock::now();
}

wall_time system_clock::wall() const {
  return std::chrono::system_clock::now();
}

void fake_clock::advance(std::chrono::nanoseconds Step) {
  Now += std::chrono::duration_cast<steady_time::duration>(Step);
  Wall += std::chrono::duration_cast<wall_time::duration>(Step);
}

} // namespace magnoliaspread
