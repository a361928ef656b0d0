/// Blocking calls on the object store.
#ifndef MAGNOLIASPREAD_PLATFORM_LINK_P_H
#define MAGNOLIASPREAD_PLATFORM_LINK_P_H

#include <magnoliaspread/platform.h>
#include <magnoliaspread/settings.h>

#include <memory>
#include <optional>

namespace magnoliaspread {

class platform_link {
public:
  platform_link() = default;
  platform_link(const platform_link &) = delete;
  platform_link &operator=(const platform_link &) = delete;
  virtual ~platform_link() = default;

  virtual object_store &store() = 0;

  /// Runs at least one completion; false when none is pending.
  virtual bool step() = 0;
};

/// A link over HTTP.
std::unique_ptr<platform_link> connectPlatform(const endpoint_address &Address);

/// Starts a call with \p Start and runs the link until it completes.
template <class T, class Starter>
result<T> waitFor(platform_link &Link, Starter Start) {
  std::optional<result<T>> Result;
  Start([&Result](result<T> Got) { Result = std::move(Got); });
  while (!Result && Link.step())
    ;
  if (!Result)
    return error{error_kind::PlatformUnavailable, "the call was dropped", {}};
  return std::move(*Result);
}

result<stored_object> getObject(platform_link &Link, const std::string &Name);
result<put_answer> putObject(platform_link &Link, put_request Request);
result<object_list> listObjects(platform_link &Link, const std::string &Prefix);

} // namespace magnoliaspread

#endif
