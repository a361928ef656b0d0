/// Identity of this process in the membership.
#ifndef MAGNOLIASPREAD_IDENTITY_P_H
#define MAGNOLIASPREAD_IDENTITY_P_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/membermsg.h>

#include <cstdint>

namespace magnoliaspread {

/// From std::random_device; never 0.
std::uint64_t randomNumber();

/// Identity with a new random incarnation.
member_identity identityOf(const instance_settings &Settings,
                           const clock &Clock);

} // namespace magnoliaspread

#endif
