/// The control thread of one instance. Each tick it runs configuration,
/// membership and limits, and publishes the result to the traffic threads as
/// one view.
#ifndef MAGNOLIASPREAD_CONTROL_H
#define MAGNOLIASPREAD_CONTROL_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/error.h>
#include <magnoliaspread/settings.h>

namespace magnoliaspread {

/// Runs an instance until SIGTERM or SIGINT has drained it. BadSettings when
/// a port can't be opened or the secret can't be read.
status runInstance(const instance_settings &Settings, const clock &Clock);

} // namespace magnoliaspread

#endif
