/// Maps keyed by std::string with heterogeneous lookup.
#ifndef MAGNOLIASPREAD_NAMEMAP_H
#define MAGNOLIASPREAD_NAMEMAP_H

#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace magnoliaspread {

/// Transparent hash: finds std::string keys by string_view.
struct name_hash {
  using is_transparent = void;
  std::size_t operator()(std::string_view Name) const {
    return std::hash<std::string_view>{}(Name);
  }
};

template <class Value>
using name_map =
    std::unordered_map<std::string, Value, name_hash, std::equal_to<>>;

} // namespace magnoliaspread

#endif
