/// What a target says of itself in the platform.
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
  /// Finishes what it has and takes no new work.
  bool Draining = false;
  /// How long it stayed cold when it said so.
  std::chrono::milliseconds ColdLeft{0};
  /// Rises with each report of one start.
  std::uint64_t Sequence = 0;
  /// Tells apart two starts under one name; rises.
  std::int64_t StartedAtMs = 0;

  bool operator==(const target_record &) const = default;
};

struct target_change {
  /// Only the name is set of one that is removed.
  target_record Record;
  bool Removed = false;
  /// Of the platform: who knows the targets as of this revision knows of the
  /// change. 0 is not known.
  std::uint64_t Revision = 0;

  bool operator==(const target_change &) const = default;
};

} // namespace magnoliaspread

#endif
