/// Finds the instances that a command asks.
#ifndef MAGNOLIASPREAD_FLEET_P_H
#define MAGNOLIASPREAD_FLEET_P_H

#include "commands_p.h"

#include <vector>

namespace magnoliaspread {

/// Prefix of the platform's objects that list instances.
inline constexpr const char *InstancePrefix = "instances/";

/// Admin addresses as the options say. Errors: BadRequest, BadSettings,
/// NotFound (no instance is listed), PlatformUnavailable.
result<std::vector<endpoint_address>>
findInstances(ctl_context &Context, const fleet_options &Options);

/// The same page of every instance, parsed as JSON.
struct instance_page {
  endpoint_address Address;
  result<boost::json::value> Page = error{};
};

std::vector<instance_page>
askInstances(const std::vector<endpoint_address> &Addresses,
             const std::string &Path, std::chrono::milliseconds Timeout);

} // namespace magnoliaspread

#endif
