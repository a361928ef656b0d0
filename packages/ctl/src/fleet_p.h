/// Finds and queries the instances of the fleet.
#ifndef MAGNOLIASPREAD_FLEET_P_H
#define MAGNOLIASPREAD_FLEET_P_H

#include "commands_p.h"

#include <vector>

namespace magnoliaspread {

/// Prefix of the platform's objects that list instances.
inline constexpr const char *InstancePrefix = "instances/";

/// Admin addresses selected by the options. Errors: BadRequest, BadSettings,
/// NotFound (no instance is listed), PlatformUnavailable.
result<std::vector<endpoint_address>>
findInstances(ctl_context &Context, const fleet_options &Options);

/// A page of one instance, parsed as JSON.
struct instance_page {
  endpoint_address Address;
  result<boost::json::value> Page = error{};
};

std::vector<instance_page>
queryInstances(const std::vector<endpoint_address> &Addresses,
               const std::string &Path, std::chrono::milliseconds Timeout);

} // namespace magnoliaspread

#endif
