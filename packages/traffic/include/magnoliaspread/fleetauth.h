/// Authentication of requests forwarded between instances of the fleet. Pure.
#ifndef MAGNOLIASPREAD_FLEETAUTH_H
#define MAGNOLIASPREAD_FLEETAUTH_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/error.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliaspread {

/// Signed fields of a forwarded request.
struct forwarded_head {
  std::string_view Method;
  std::string_view Target;
  std::string RequestId;
  /// Empty on a route open to all.
  std::string Workspace;
  std::string Service;
  std::chrono::milliseconds TimeLeft{};
  bool AtMostOnce = false;
  std::string IdempotencyKey;
  /// Name of the sending instance.
  std::string From;
  /// Id of the credit grant that the request uses; 0 is none.
  std::uint64_t CreditGrant = 0;
  /// When it was sent, milliseconds since the epoch.
  std::int64_t SentAtMs = 0;
};

/// The fleet's shared secret; 32 bytes.
using fleet_secret = std::vector<unsigned char>;

/// Reads 64 hex digits; BadSettings otherwise.
result<fleet_secret> parseFleetSecret(std::string_view Hex);

/// Message authentication code of any text, in hex.
std::string macOf(const fleet_secret &Secret, std::string_view Text);

/// Message authentication code over every field, in hex.
std::string signForwarded(const fleet_secret &Secret,
                          const forwarded_head &Head);

/// PeerRejected when \p Mac is wrong, or when the head was sent too long before
/// or after \p Now.
status verifyForwarded(const fleet_secret &Secret, const forwarded_head &Head,
                       std::string_view Mac, wall_time Now);

} // namespace magnoliaspread

#endif
