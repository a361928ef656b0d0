/// A target's registration in the platform.
#ifndef MAGNOLIASPREAD_TARGETRECORD_H
#define MAGNOLIASPREAD_TARGETRECORD_H

#include <magnoliaspread/settings.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace magnoliaspread {

struct target_record {
  std::string Name;
  endpoint_address Address;
  std::string Service;
  std::string DataCentre;
  std::uint32_t Slots = 1;
  /// Finishes its running requests and accepts no new ones.
  bool Draining = false;
  /// Remaining cold time when the record was written.
  std::chrono::milliseconds ColdLeft{0};
  /// Increases with each report of one start.
  std::uint64_t Sequence = 0;
  /// Start time; distinguishes and orders starts under one name.
  std::int64_t StartedAtMs = 0;

  bool operator==(const target_record &) const = default;
};

struct target_change {
  /// Only the name is set if Removed.
  target_record Record;
  bool Removed = false;
  /// Platform revision that includes the change; 0 if unknown.
  std::uint64_t Revision = 0;

  bool operator==(const target_change &) const = default;
};

} // namespace magnoliaspread

#endif
