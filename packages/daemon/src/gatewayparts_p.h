/// Settings of the gateway's parts, derived from those of the instance.
#ifndef MAGNOLIASPREAD_GATEWAYPARTS_P_H
#define MAGNOLIASPREAD_GATEWAYPARTS_P_H

#include "follower_p.h"

#include <magnoliaspread/fleet_platform.h>
#include <magnoliaspread/gate.h>
#include <magnoliaspread/http_store.h>
#include <magnoliaspread/limiter.h>
#include <magnoliaspread/member.h>
#include <magnoliaspread/registry.h>
#include <magnoliaspread/settings.h>
#include <magnoliaspread/startsource.h>

#include <cstdint>

namespace magnoliaspread {

http_store_settings storeSettings(const instance_settings &Settings,
                                  const fleet_platform &Platform);
gate_settings gateSettings(const instance_settings &Settings);
view_settings viewSettings(const gateway_settings &Gateway);
follower_settings followerSettings(const gateway_settings &Gateway);
start_settings startSettings(const instance_settings &Settings);
registry_settings registrySettings(const gateway_settings &Gateway);
limiter_settings limiterSettings(const instance_settings &Settings,
                                 const member_identity &Identity);

/// Requests per second that the instance can carry; 0 is unknown.
std::uint32_t capacityOf(const gateway_settings &Settings);

} // namespace magnoliaspread

#endif
