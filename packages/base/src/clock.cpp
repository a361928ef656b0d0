#include <magnoliaspread/clock.h>

#include <ctime>

namespace magnoliaspread {

steady_time system_clock::now() const {
  return std::chrono::steady_clock::now();
}

boot_time system_clock::boot() const {
  timespec Time{};
  clock_gettime(CLOCK_BOOTTIME, &Time);
  return boot_time(std::chrono::seconds(Time.tv_sec) +
                   std::chrono::nanoseconds(Time.tv_nsec));
}

wall_time system_clock::wall() const {
  return std::chrono::system_clock::now();
}

void fake_clock::advance(std::chrono::nanoseconds Step) {
  Now += std::chrono::duration_cast<steady_time::duration>(Step);
  suspend(Step);
}

void fake_clock::suspend(std::chrono::nanoseconds Step) {
  Boot += Step;
  Wall += std::chrono::duration_cast<wall_time::duration>(Step);
}

} // namespace magnoliaspread
