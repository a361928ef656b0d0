/// What each workspace asks of a service here, and its part of the slots of the
/// fleet. Reads no clock. Not thread-safe.
///
/// Each instance measures its callers' demand by workspace and tells it. From
/// the sums, every instance computes the same max-min fair level and holds a
/// workspace that asks for more to its own part of that workspace's share, so
/// that the parts of all instances add up to the share.
#ifndef MAGNOLIASPREAD_WORKSPACESHARES_H
#define MAGNOLIASPREAD_WORKSPACESHARES_H

#include <magnoliaspread/demandmeter.h>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <unordered_map>
#include <vector>

namespace magnoliaspread {

/// What the callers of a workspace ask of a service, over the whole fleet.
struct workspace_claim {
  std::uint32_t Workspace = 0;
  double Slots = 0;
  double Weight = 1;
};

/// Demand and share of a workspace here.
struct workspace_use {
  service_handle Service;
  std::uint32_t Workspace = 0;
  /// Slots that its requests to this instance need.
  double Demand = 0;
  /// Slots that it may use through this instance; empty when it isn't held.
  std::optional<double> Share;
  /// Requests refused so that the workspace keeps to its share.
  std::uint64_t Refused = 0;
};

/// The level L at which the sum of min(Slots, L * Weight) is \p Slots; infinite
/// when all claims fit.
double fairLevel(const std::vector<workspace_claim> &Claims, double Slots);

class workspace_shares {
public:
  static constexpr double Unlimited = std::numeric_limits<double>::infinity();

  /// A request of the workspace that needs a slot for \p SlotSeconds arrived.
  void count(service_handle Service, std::uint32_t Workspace,
             double SlotSeconds, steady_time Now);
  /// The largest claims on the service; a workspace without one is small and
  /// isn't held. Call a few times a second.
  void update(service_handle Service,
              const std::vector<workspace_claim> &Claims, double Slots,
              steady_time Now);
  /// Whether the workspace has slot time left of its share.
  bool hasRoom(service_handle Service, std::uint32_t Workspace,
               steady_time Now) const;
  /// A request of the workspace takes a slot for \p SlotSeconds.
  void spend(service_handle Service, std::uint32_t Workspace,
             double SlotSeconds, steady_time Now);
  /// Time until a held workspace has been given \p SlotSeconds more; zero when
  /// it isn't held.
  double secondsUntil(service_handle Service, std::uint32_t Workspace,
                      double SlotSeconds, steady_time Now) const;
  void noteRefused(service_handle Service, std::uint32_t Workspace);

  /// This instance's part of the workspace's demand, 0 to 1; 1 when unknown.
  double partHere(service_handle Service, std::uint32_t Workspace,
                  steady_time Now) const;
  std::vector<workspace_use> uses(steady_time Now) const;
  std::uint64_t refused() const { return Refused; }

private:
  struct account {
    service_handle Service;
    std::uint32_t Workspace = 0;
    /// Index of its demand in the meter.
    service_handle Metered;
    std::optional<double> Claim;
    /// The workspace's share over its demand, below 1 while it is held.
    double Ratio = 1;
    /// Slots that may be used here while it is held.
    double Share = Unlimited;
    /// Slot time left in seconds as of At.
    double Budget = 0;
    steady_time At;
    std::uint64_t Refused = 0;
  };

  static std::uint64_t keyOf(service_handle Service, std::uint32_t Workspace) {
    return std::uint64_t{Service.Index} << 32U | Workspace;
  }
  const account *find(service_handle Service, std::uint32_t Workspace) const;
  double budgetAt(const account &Account, steady_time Now) const;

  std::unordered_map<std::uint64_t, account> Accounts;
  demand_meter Meter{
      {std::chrono::milliseconds(1000), std::chrono::milliseconds(0)}};
  std::uint64_t Refused = 0;
};

} // namespace magnoliaspread

#endif
