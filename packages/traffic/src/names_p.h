/// Handles of names that stay valid across configurations.
#ifndef MAGNOLIASPREAD_NAMES_P_H
#define MAGNOLIASPREAD_NAMES_P_H

#include <magnoliaspread/handle.h>
#include <magnoliaspread/index.h>

#include <string>
#include <string_view>
#include <vector>

namespace magnoliaspread {

template <class Handle> class stable_names {
public:
  explicit stable_names(std::size_t Capacity) : Capacity(Capacity) {}

  /// The handle of \p Name, which is added if new; invalid when full.
  Handle intern(std::string_view Name) {
    const Handle Known = find(Name);
    if (Known.valid() || Names.size() >= Capacity)
      return Known;
    const auto Fresh = handleAt<Handle>(Names.size());
    Names.emplace_back(Name);
    Handles.emplace(std::string(Name), Fresh);
    return Fresh;
  }

  Handle find(std::string_view Name) const {
    const auto Found = Handles.find(Name);
    return Found == Handles.end() ? Handle{} : Found->second;
  }

  const std::string &name(Handle Of) const { return Names[Of.Index]; }

private:
  std::size_t Capacity;
  std::vector<std::string> Names;
  name_map<Handle> Handles;
};

} // namespace magnoliaspread

#endif
