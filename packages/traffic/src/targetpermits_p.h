/// The rate limits of the gate's targets, by handle.
#ifndef MAGNOLIASPREAD_TARGETPERMITS_P_H
#define MAGNOLIASPREAD_TARGETPERMITS_P_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/permitlender.h>
#include <magnoliaspread/sendpermits.h>
#include <magnoliaspread/targetlimits.h>

#include <cstdint>
#include <vector>

namespace magnoliaspread {

class target_permits final : public send_permits {
public:
  target_permits(const clock &Clock, permit_instance Self, std::uint64_t Seed);

  struct target_row {
    target_handle Handle;
    permit_target Target;
  };
  void setTargets(const std::vector<target_row> &Targets);

  permit_state state(target_handle Target) override;
  std::chrono::milliseconds untilAvailable(target_handle Target) override;
  std::optional<double> rate(target_handle Target) override;
  void spend(target_handle Target) override;
  void refund(target_handle Target) override;
  void setWaiting(target_handle Target, std::uint32_t Requests) override;

  target_limits &limits() { return Limits; }
  permit_lender &lender() { return Lender; }

private:
  target_start startOf(target_handle Target) const;

  const clock &Clock;
  target_limits Limits;
  permit_lender Lender;
  /// By handle.
  std::vector<target_start> Starts;
};

} // namespace magnoliaspread

#endif
