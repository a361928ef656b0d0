/// Placement policies that model runs compare.
#ifndef MAGNOLIASPREAD_PLACEMENT_POLICY_H
#define MAGNOLIASPREAD_PLACEMENT_POLICY_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/error.h>
#include <magnoliaspread/objectmsg.h>
#include <magnoliaspread/placer.h>

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace magnoliaspread {

/// Placement decisions of one instance; the interface of placer.
class placement_policy {
public:
  placement_policy() = default;
  placement_policy(const placement_policy &) = delete;
  placement_policy &operator=(const placement_policy &) = delete;
  virtual ~placement_policy() = default;

  virtual void setTargets(const std::vector<placer_target> &Targets,
                          steady_time Now) = 0;
  virtual placement_verdict place(const place_request &Request,
                                  steady_time Now) = 0;
  virtual std::vector<place_grant> poll(steady_time Now) = 0;
  virtual void finished(const target_outcome &End, steady_time Now) = 0;
  /// Update for the other instances of the region.
  virtual object_update takeUpdates() = 0;
  virtual void receive(const object_update &Update, steady_time Now) = 0;
};

enum class policy_kind : std::uint8_t {
  /// placer: sends an object's requests to its warm targets; requests may wait
  /// at the instance.
  Holders,
  /// The less loaded of two random targets of the region, or of other regions
  /// if it has none; nothing waits at the instance.
  LeastLoaded,
  /// The first target with free slots in rendezvous order of the object, own
  /// region first.
  Spilling,
  Count,
};

inline constexpr std::array<std::string_view,
                            static_cast<std::size_t>(policy_kind::Count)>
    PolicyNames{"holders", "least_loaded", "spilling"};

/// The policy with this name in PolicyNames, if any.
std::optional<policy_kind> policyKindOf(std::string_view Name);

/// Sets one field of \p Policy from "field=value"; times are in milliseconds.
/// BadRequest lists the fields.
status setPlacerField(placer_policy &Policy, std::string_view Setting);

/// \p Seed is for policies that choose at random.
std::unique_ptr<placement_policy>
makePolicy(policy_kind Kind, const placer_policy &Placer, std::uint64_t Seed);

} // namespace magnoliaspread

#endif
