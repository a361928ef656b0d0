/// Message by which instances tell each other where objects are warm, and how
/// busy targets are.
#ifndef MAGNOLIASPREAD_OBJECTMSG_H
#define MAGNOLIASPREAD_OBJECTMSG_H

#include <cstddef>
#include <cstdint>
#include <vector>

namespace magnoliaspread {

/// Rows of one message; fits a datagram.
inline constexpr std::size_t MaxObjectRows = 24;

struct object_row {
  /// Hash of route and object.
  std::uint64_t Object = 0;
  /// Id of the target; see placer_target.
  std::uint64_t Target = 0;
  /// False while the target's first request about the object runs.
  bool Warm = false;

  bool operator==(const object_row &) const = default;
};

/// What a target has reported last.
struct load_row {
  /// Id of the target.
  std::uint64_t Target = 0;
  /// Requests that it ran or that waited there.
  std::uint32_t Busy = 0;

  bool operator==(const load_row &) const = default;
};

struct object_news {
  std::vector<object_row> Rows;
  std::vector<load_row> Loads;

  bool operator==(const object_news &) const = default;
};

} // namespace magnoliaspread

#endif
