/// Limits on how long a TCP connection waits for a peer that is silent.
///
/// Where TCP_USER_TIMEOUT is set, it also decides when keep-alive probes give
/// up, whatever their count. So keep-alive stays off everywhere: each wait for
/// an answer has a timer of its own, and idle connections have a limit.
#ifndef MAGNOLIASPREAD_SILENCE_H
#define MAGNOLIASPREAD_SILENCE_H

#include <chrono>
#include <cstdint>

namespace magnoliaspread {

enum class connection_kind : std::uint8_t { Caller, Target, Peer, Store };

/// Longest time that sent bytes may stay unacknowledged.
std::chrono::milliseconds silenceLimit(connection_kind Kind);

/// Sets the limit on a connected socket and turns keep-alive off. False when
/// the system refuses; the connection is usable then, too.
bool limitSilence(int Socket, connection_kind Kind);
bool limitSilence(int Socket, std::chrono::milliseconds Limit);

} // namespace magnoliaspread

#endif
