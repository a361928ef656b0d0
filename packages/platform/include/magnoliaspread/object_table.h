/// Versioned objects in memory, with the platform's rules for conditional
/// updates. Shared by the in-process store and the platform's stand-in.
#ifndef MAGNOLIASPREAD_OBJECT_TABLE_H
#define MAGNOLIASPREAD_OBJECT_TABLE_H

#include <magnoliaspread/platform.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliaspread {

class object_table {
public:
  /// Empty when there is no such object.
  std::optional<stored_object> find(std::string_view Name) const;

  /// NoObject when there is no such object.
  object_version versionOf(std::string_view Name) const;

  /// Errors: VersionConflict.
  result<object_version> put(const put_request &Request);

  /// Errors: VersionConflict, NotFound.
  status remove(const remove_request &Request);

  std::vector<stored_object> list(std::string_view Prefix) const;

private:
  std::map<std::string, stored_object, std::less<>> Objects;
  object_version LastVersion = NoObject;
};

} // namespace magnoliaspread

#endif
