/// Who a process is among its peers.
#ifndef MAGNOLIASPREAD_IDENTITY_P_H
#define MAGNOLIASPREAD_IDENTITY_P_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/membermsg.h>

#include <cstdint>

namespace magnoliaspread {

/// From the system's source of randomness; never 0.
std::uint64_t randomNumber();

/// A new incarnation of the instance.
member_identity identityOf(const instance_settings &Settings,
                           const clock &Clock);

} // namespace magnoliaspread

#endif
