/// Header fields of a request that one instance's gate forwards to another's.
#ifndef MAGNOLIASPREAD_FORWARDHEAD_P_H
#define MAGNOLIASPREAD_FORWARDHEAD_P_H

#include "net_p.h"

#include <magnoliaspread/clock.h>
#include <magnoliaspread/error.h>
#include <magnoliaspread/fleetauth.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace magnoliaspread {

/// Bytes that the fields add to a head.
inline constexpr std::size_t ForwardFieldBytes = 1024;

/// What the forwarding instance tells of a request.
struct forward_note {
  /// Its name.
  std::string From;
  /// Time since the request arrived there.
  std::chrono::milliseconds Waited{0};
  /// Targets that it has been sent to.
  std::uint32_t Sends = 0;
};

/// Adds the fields, signed under the fleet's secret.
void writeForwardNote(http::request_header<> &Head, const forward_note &Note,
                      std::string_view RequestId, const fleet_secret &Secret,
                      wall_time Now);

/// Reads and removes the fields; PeerRejected when they are missing, malformed
/// or not signed by this fleet.
result<forward_note> takeForwardNote(http::request_header<> &Head,
                                     std::string_view RequestId,
                                     const fleet_secret &Secret, wall_time Now);

/// Marks an answer to a forwarded request as a refusal of the instance, so
/// that it can't be taken for an answer of a target.
void writeRefusal(http::response_header<> &Head, const error &Error);

/// Removes the mark from the answer of a target.
void eraseRefusal(http::response_header<> &Head);

/// The marked refusal; empty for an answer of a target.
std::optional<error> readRefusal(const http::response_header<> &Head);

} // namespace magnoliaspread

#endif
