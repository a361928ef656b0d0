/// An instance that serves as a platform's gate: one process with one thread,
/// which serves callers, the directory and the readiness page.
#ifndef MAGNOLIASPREAD_GATEWAY_H
#define MAGNOLIASPREAD_GATEWAY_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/error.h>
#include <magnoliaspread/fleet_platform.h>
#include <magnoliaspread/settings.h>

#include <functional>

namespace magnoliaspread {

/// Reads the settings again; called on SIGHUP.
using settings_reader = std::function<result<instance_settings>()>;

/// Runs until SIGTERM or SIGINT has drained the instance. BadSettings when
/// the settings have no gateway part or a port can't be opened.
status runGateway(const instance_settings &Settings,
                  const fleet_platform &Platform, const clock &Clock,
                  const settings_reader &Reload);

} // namespace magnoliaspread

#endif
