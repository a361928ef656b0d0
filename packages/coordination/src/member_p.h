/// Constants shared by the sources of membership.
#ifndef MAGNOLIASPREAD_MEMBER_P_H
#define MAGNOLIASPREAD_MEMBER_P_H

#include <chrono>

namespace magnoliaspread {

/// Shortest pause between two heartbeats of an instance that has news.
inline constexpr std::chrono::milliseconds MinHeartbeatGap{200};

} // namespace magnoliaspread

#endif
