/// Message between instances of a region with the targets on which objects are
/// warm and the load of busy targets.
#ifndef MAGNOLIASPREAD_OBJECTMSG_H
#define MAGNOLIASPREAD_OBJECTMSG_H

#include <cstddef>
#include <cstdint>
#include <vector>

namespace magnoliaspread {

/// Largest number of rows in one message; fits a datagram.
inline constexpr std::size_t MaxObjectRows = 24;

/// A holder of an object; see placer.h.
struct object_row {
  /// Hash of route and object.
  std::uint64_t Object = 0;
  /// Id of the target; see placer_target.
  std::uint64_t Target = 0;
  /// False while the first request about the object runs on the target.
  bool Warm = false;
  /// Slot time of the object that the sender has used since it last told,
  /// in milliseconds; see affinity.h.
  std::uint32_t DemandMs = 0;
  /// The target is no longer a holder: the object has more than it needs.
  bool Released = false;

  bool operator==(const object_row &) const = default;
};

/// Last load report of a target.
struct load_row {
  /// Id of the target.
  std::uint64_t Target = 0;
  /// Requests running or waiting on the target.
  std::uint32_t Busy = 0;
  /// Time that work takes there, in percent of the usual; 0 is unknown.
  std::uint32_t PacePercent = 0;

  bool operator==(const load_row &) const = default;
};

struct object_update {
  std::vector<object_row> Rows;
  std::vector<load_row> Loads;

  bool operator==(const object_update &) const = default;
};

} // namespace magnoliaspread

#endif
