#include "identity_p.h"

#include <random>

namespace magnoliaspread {

using std::chrono::duration_cast;
using std::chrono::seconds;

std::uint64_t randomNumber() {
  std::random_device Device;
  return (static_cast<std::uint64_t>(Device()) << 32U) | Device() | 1U;
}

member_identity identityOf(const instance_settings &Settings,
                           const clock &Clock) {
  member_identity Identity;
  Identity.Name = Settings.Name;
  Identity.DataCentre = Settings.DataCentre;
  Identity.Region = Settings.Region;
  Identity.Incarnation = randomNumber();
  Identity.Epoch = static_cast<std::uint64_t>(
      duration_cast<seconds>(Clock.wall().time_since_epoch()).count());
  Identity.Internal = Settings.Internal;
  Identity.Public = Settings.Public;
  return Identity;
}

} // namespace magnoliaspread
