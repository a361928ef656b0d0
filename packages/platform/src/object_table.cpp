#include <magnoliaspread/object_table.h>

namespace magnoliaspread {

namespace {

bool matches(const std::optional<object_version> &Expected,
             object_version Current) {
  return !Expected || *Expected == Current;
}

error conflict(object_version Current) {
  return {error_kind::VersionConflict,
          "present version is " + std::to_string(Current),
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
  const object_version Current = versionOf(Request.Name);
  if (!matches(Request.IfVersion, Current))
    return conflict(Current);
  const object_version Version = ++LastVersion;
  Objects[Request.Name] = {Request.Name, Version, Request.Value};
  return Version;
}

status object_table::remove(const remove_request &Request) {
  const object_version Current = versionOf(Request.Name);
  if (Current == NoObject)
    return error{error_kind::NotFound, Request.Name, {}};
  if (!matches(Request.IfVersion, Current))
    return conflict(Current);
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
