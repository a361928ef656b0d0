/// Typed 16-bit indexes into fixed-capacity tables.
#ifndef MAGNOLIASPREAD_HANDLE_H
#define MAGNOLIASPREAD_HANDLE_H

#include <compare>
#include <cstddef>
#include <cstdint>
#include <limits>

namespace magnoliaspread {

/// \p Tag makes handles of different tables distinct types.
template <class Tag> struct handle {
  static constexpr std::uint16_t InvalidIndex =
      std::numeric_limits<std::uint16_t>::max();

  std::uint16_t Index = InvalidIndex;

  constexpr bool valid() const { return Index != InvalidIndex; }
  constexpr auto operator<=>(const handle &) const = default;
};

/// The handle of row \p Row, which must be below InvalidIndex.
template <class Handle> constexpr Handle handleAt(std::size_t Row) {
  return Handle{static_cast<std::uint16_t>(Row)};
}

using instance_handle = handle<struct instance_tag>;
using data_centre_handle = handle<struct data_centre_tag>;
using region_handle = handle<struct region_tag>;
using workspace_handle = handle<struct workspace_tag>;
using service_handle = handle<struct service_tag>;
using target_handle = handle<struct target_tag>;

} // namespace magnoliaspread

#endif
