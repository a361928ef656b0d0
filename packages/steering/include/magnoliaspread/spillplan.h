/// Which part of a region's objects runs in other regions, by demand and slots
/// of all regions. Reads no clock. Not thread-safe.
#ifndef MAGNOLIASPREAD_SPILLPLAN_H
#define MAGNOLIASPREAD_SPILLPLAN_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/config.h>

#include <array>
#include <cstddef>
#include <optional>
#include <vector>

namespace magnoliaspread {

struct spill_settings {
  /// Largest part of a region's requests that may change their region from one
  /// window of 2 s to the next; 0 turns the plan off.
  double MaxShift = 0;
  /// Use of the slots up to which a region keeps its demand; the rest is for
  /// cold runs and peaks.
  double Fill = 0.6;
  /// Objects return once the region's use would stay below this part of the
  /// level; a return costs a cold run as well, and demand is measured with a
  /// spread of a fifth.
  double ReturnPart = 0.6;
  /// Part of MaxShift that the plan uses: popular objects count more.
  double RampPart = 0.6;
  /// A region that has lost more than this part of its slots to failures is
  /// relieved at the whole of MaxShift.
  double LossPart = 0.1;
  /// Parts that are closer than this to the plan stay.
  double DeadBand = 0.03;
  double LeastLocal = 0.05;
  double MostLocal = 0.96;
};

/// Slots of a service's targets in one region.
struct region_slots {
  double Usable = 0;
  /// Unusable because of failures: of targets that are unreachable, or cold
  /// again while they were in service.
  double Lost = 0;
};

/// Demand and room of a service in one region, in slots.
struct region_load {
  /// False while the region's demand isn't known.
  bool Known = false;
  double Demand = 0;
  double Slots = 0;
  /// See region_slots::Lost; not in Slots.
  double LostSlots = 0;
};

/// Parts of a region's objects by the region that they run in; they add up
/// to 1.
using region_parts = std::array<double, MaxRegions>;

/// Slots of demand that each region moves to each other one.
using spill_matrix = std::vector<std::vector<double>>;

/// Use of slots above which regions spill: \p Fill, or the mean use.
double spillLevel(const std::vector<region_load> &Regions, double Fill);

/// What regions above the level move into the room of those below it. Each
/// takes the same part of every room, so that no room is taken twice.
spill_matrix planSpill(const std::vector<region_load> &Regions, double Fill);

/// Part of \p From that has changed region in \p To.
double movedPart(const region_parts &From, const region_parts &To);

/// The parts in force of one service in one region.
class spill_plan {
public:
  spill_plan(const spill_settings &Settings, std::size_t Own)
      : Settings(Settings), Own(Own) {}

  /// Moves the parts in force towards the plan for \p Regions, by region
  /// number. \p Fixed are the parts used without knowledge of demand; returns
  /// whether the parts in force have changed.
  bool update(const std::vector<region_load> &Regions,
              const region_parts &Fixed, steady_time Now);

  /// Empty while the fixed parts apply.
  const std::optional<region_parts> &parts() const { return InForce; }
  /// The parts that those in force move to.
  const region_parts &wanted() const { return Wanted; }
  bool moving() const { return Moving; }

private:
  std::vector<region_load>
  withFormerDemand(const std::vector<region_load> &Regions);
  region_parts wantedParts(const std::vector<region_load> &Regions,
                           const std::vector<region_load> &Claims,
                           const region_parts &Fixed,
                           const region_parts &Current) const;

  spill_settings Settings;
  std::size_t Own;
  std::optional<region_parts> InForce;
  /// The last known demand of each region that still has slots.
  std::array<double, MaxRegions> FormerDemand{};
  region_parts Wanted{};
  std::optional<steady_time> UpdatedAt;
  bool Moving = false;
};

} // namespace magnoliaspread

#endif
