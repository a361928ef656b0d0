/// Adapter to the platform that a fleet runs on. Implementations provide names,
/// formats and calls, and contain no policy.
#ifndef MAGNOLIASPREAD_FLEET_PLATFORM_H
#define MAGNOLIASPREAD_FLEET_PLATFORM_H

#include <magnoliaspread/gate_dialect.h>
#include <magnoliaspread/registry.h>
#include <magnoliaspread/routes.h>
#include <magnoliaspread/store_protocol.h>

#include <string>

namespace magnoliaspread {

class fleet_platform {
public:
  fleet_platform() = default;
  fleet_platform(const fleet_platform &) = delete;
  fleet_platform &operator=(const fleet_platform &) = delete;
  virtual ~fleet_platform() = default;

  virtual const store_protocol &protocol() const = 0;
  virtual const gate_dialect &dialect() const = 0;

  /// Name of the object that contains the routes.
  virtual std::string routesObject() const = 0;
  /// Prefix of the targets' entries.
  virtual std::string targetsPrefix() const = 0;
  /// Prefix of the names of evacuated data centres.
  virtual std::string evacuationsPrefix() const = 0;

  /// \p Json is an object's value. Errors: BadTable.
  virtual result<route_table> readRoutes(const std::string &Json) const = 0;
  /// \p Name has no prefix. Errors: BadTable.
  virtual result<target_record> readTarget(const std::string &Name,
                                           const std::string &Json) const = 0;
};

} // namespace magnoliaspread

#endif
