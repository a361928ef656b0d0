/// What the placer knows of the targets' rate limits.
#ifndef MAGNOLIASPREAD_SENDPERMITS_H
#define MAGNOLIASPREAD_SENDPERMITS_H

#include <magnoliaspread/handle.h>

#include <chrono>
#include <cstdint>
#include <optional>

namespace magnoliaspread {

enum class permit_state : std::uint8_t {
  /// The target has no limit.
  Unlimited,
  /// A request may be sent now.
  Available,
  /// The limit's owner has to be asked; setWaiting() causes that.
  Obtainable,
  /// None for now; see untilAvailable().
  Denied,
};

class send_permits {
public:
  send_permits() = default;
  send_permits(const send_permits &) = delete;
  send_permits &operator=(const send_permits &) = delete;
  virtual ~send_permits() = default;

  virtual permit_state state(target_handle Target) = 0;

  /// Earliest time until a denied permit may be available.
  virtual std::chrono::milliseconds untilAvailable(target_handle Target) = 0;

  /// Requests per second of the target's limit; empty without one.
  virtual std::optional<double> rate(target_handle Target) = 0;

  /// A request is sent to the target.
  virtual void spend(target_handle Target) = 0;

  /// A request for which a permit was spent was not sent.
  virtual void refund(target_handle Target) = 0;

  /// Sets the number of requests that wait only for permits of the target.
  virtual void setWaiting(target_handle Target, std::uint32_t Requests) = 0;
};

} // namespace magnoliaspread

#endif
