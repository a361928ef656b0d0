#include <magnoliaspread/object_table.h>

namespace magnoliaspread {

namespace {

bool matches(const std::optional<object_version> &Wanted,
             object_version Present) {
  return !Wanted || *Wanted == Present;
}

error conflict(object_version Present) {
  return {error_kind::VersionConflict,
          "present version is " + std::to_string(Present),
          {}};
}

} // namespace

std::optional<stored_object> object_table::find(std::string_view Name) const {
  const auto Found = Objects.find(Name);
  if (Found == Objects.end())
    return std::nullopt;
  return Found->second;
}

object_version object_table::versionOf(std::string_view Name) const {
  const auto Found = Objects.find(Name);
  return Found == Objects.end() ? NoObject : Found->second.Version;
}

result<object_version> object_table::put(const put_request &Request) {
  const object_version Present = versionOf(Request.Name);
  if (!matches(Request.IfVersion, Present))
    return conflict(Present);
  const object_version Version = ++LastVersion;
  Objects[Request.Name] = {Request.Name, Version, Request.Value};
  return Version;
}

status object_table::remove(const remove_request &Request) {
  const object_version Present = versionOf(Request.Name);
  if (Present == NoObject)
    return error{error_kind::NotFound, Request.Name, {}};
  if (!matches(Request.IfVersion, Present))
    return conflict(Present);
  Objects.erase(Request.Name);
  return std::monostate();
}

std::vector<stored_object> object_table::list(std::string_view Prefix) const {
  std::vector<stored_object> Found;
  for (auto Row = Objects.lower_bound(Prefix);
       Row != Objects.end() && Row->first.starts_with(Prefix); ++Row)
    Found.push_back(Row->second);
  return Found;
}

} // namespace magnoliaspread
