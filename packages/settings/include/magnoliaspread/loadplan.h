/// Load of a model run: regions, services, kinds of requests and troubles, as
/// read from a JSON file. docs/OPERATIONS.md lists the fields.
#ifndef MAGNOLIASPREAD_LOADPLAN_H
#define MAGNOLIASPREAD_LOADPLAN_H

#include <magnoliaspread/error.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliaspread {

/// Callers of one region. Its rate swings around the mean as a sine.
struct load_region {
  std::string Name;
  /// Part of all requests, in proportion to the other regions' shares.
  double Share = 1;
  /// Part of the mean by which the rate swings; 0 is steady.
  double Swing = 0;
  std::chrono::milliseconds Period{36000};
  /// Where in the period the run begins, in turns.
  double Phase = 0;
  std::uint32_t Instances = 2;
};

/// Targets of one service in one region.
struct load_pool {
  std::string Service;
  std::string Region;
  std::uint32_t Targets = 1;
  std::uint32_t Slots = 4;
  /// Requests that a target lets wait; it sheds what comes on top.
  std::uint32_t Queue = 12;
  /// Objects that a target remembers; it forgets the one used longest ago.
  std::uint32_t KeptObjects = 20;
};

struct load_kind {
  std::string Name;
  std::string Service;
  /// Requests a second, over all regions.
  double Rate = 1;
  /// Objects, divided evenly among the regions; 0 is requests without one.
  std::uint32_t Objects = 0;
  /// Slot time at a target that doesn't remember the object.
  std::chrono::milliseconds ColdWork{500};
  /// Part of ColdWork at a target that remembers it.
  double WarmPart = 0.3;
  std::chrono::milliseconds LatencyTarget{500};
  std::chrono::milliseconds Deadline{4000};
  /// Credit for an answer within the latency target, and for a later one.
  double Worth = 1;
  double LateWorth = 0.2;
  /// 0 is the most urgent.
  std::uint32_t Priority = 0;
  /// Times that a refused caller comes back.
  std::uint32_t Returns = 1;
  /// May run twice.
  bool Repeatable = true;
  std::uint64_t BodyBytes = 0;
};

enum class trouble_kind : std::uint8_t {
  /// Factor times the requests.
  Burst,
  /// Part of the callers ask in the next region, for the same objects.
  Shift,
  /// Part of the targets are gone, and come back without their objects.
  LoseTargets,
  /// Part of the targets take Factor times as long.
  SlowTargets,
  /// Part of the instances are gone, and come back knowing nothing.
  LoseInstances,
  Count,
};

std::string_view nameOf(trouble_kind Kind);

struct load_trouble {
  trouble_kind Kind = trouble_kind::Burst;
  std::chrono::milliseconds At{0};
  std::chrono::milliseconds Length{1000};
  /// Every region when empty.
  std::string Region;
  double Part = 0.2;
  double Factor = 2;
};

struct load_plan {
  std::chrono::milliseconds Length{30000};
  /// One way.
  std::chrono::milliseconds LocalDelay{1};
  std::chrono::milliseconds RegionDelay{45};
  /// Targets that one request is sent to at most.
  std::uint32_t MaxSends = 3;
  std::vector<load_region> Regions;
  std::vector<load_pool> Pools;
  std::vector<load_kind> Kinds;
  std::vector<load_trouble> Troubles;
};

/// Errors: BadSettings, which names the field, its value and what is allowed.
result<load_plan> parseLoadPlan(std::string_view Json,
                                std::string_view FileName);

} // namespace magnoliaspread

#endif
