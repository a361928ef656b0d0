/// Constants shared by the sources of the membership class.
#ifndef MAGNOLIASPREAD_MEMBER_P_H
#define MAGNOLIASPREAD_MEMBER_P_H

#include <chrono>

namespace magnoliaspread {

/// Minimum interval between heartbeats when a change is sent ahead of time.
inline constexpr std::chrono::milliseconds MinHeartbeatGap{200};

} // namespace magnoliaspread

#endif
