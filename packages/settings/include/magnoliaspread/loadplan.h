/// Load plan of a model run: regions, pools of targets, kinds of requests and
/// disruptions, read from a JSON file. docs/OPERATIONS.md lists the fields.
#ifndef MAGNOLIASPREAD_LOADPLAN_H
#define MAGNOLIASPREAD_LOADPLAN_H

#include <magnoliaspread/error.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliaspread {

/// Callers of one region. Their request rate is a sine around its mean.
struct load_region {
  std::string Name;
  /// Share of all requests, relative to the other regions' shares.
  double Share = 1;
  /// Amplitude of the rate as a fraction of its mean; 0 is steady.
  double Swing = 0;
  std::chrono::milliseconds Period{36000};
  /// Phase at the start of the run, as a fraction of the period.
  double Phase = 0;
  std::uint32_t Instances = 2;
};

/// Targets of one service in one region.
struct load_pool {
  std::string Service;
  std::string Region;
  std::uint32_t Targets = 1;
  std::uint32_t Slots = 4;
  /// Queue capacity of a target; it sheds requests beyond it.
  std::uint32_t Queue = 12;
  /// Objects that a target caches; it evicts the least recently used.
  std::uint32_t CachedObjects = 20;
};

struct load_kind {
  std::string Name;
  std::string Service;
  /// Requests a second, over all regions.
  double Rate = 1;
  /// Number of objects, divided evenly among the regions; 0 means that the
  /// requests name no object.
  std::uint32_t Objects = 0;
  /// Slot time at a target that hasn't cached the object.
  std::chrono::milliseconds ColdWork{500};
  /// Fraction of ColdWork at a target that has cached it.
  double WarmPart = 0.3;
  std::chrono::milliseconds LatencyTarget{500};
  std::chrono::milliseconds Deadline{4000};
  /// Credit for an answer within the latency target, and for a later one.
  double Worth = 1;
  double LateWorth = 0.2;
  /// 0 is the most urgent.
  std::uint32_t Priority = 0;
  /// Times that a caller retries a refused request.
  std::uint32_t CallerRetries = 1;
  /// Safe to run more than once.
  bool Repeatable = true;
  std::uint64_t BodyBytes = 0;
};

enum class trouble_kind : std::uint8_t {
  /// Multiplies the request rate by Factor.
  Burst,
  /// The fraction Part of the callers sends to the next region, for the same
  /// objects.
  Shift,
  /// The fraction Part of the targets is down and restarts with an empty cache.
  LoseTargets,
  /// The fraction Part of the targets takes Factor times as long.
  SlowTargets,
  /// The fraction Part of the instances is down and restarts without state.
  LoseInstances,
  Count,
};

std::string_view nameOf(trouble_kind Kind);

/// A disruption during the run.
struct load_trouble {
  trouble_kind Kind = trouble_kind::Burst;
  std::chrono::milliseconds At{0};
  std::chrono::milliseconds Length{1000};
  /// Empty means every region.
  std::string Region;
  double Part = 0.2;
  double Factor = 2;
};

struct load_plan {
  std::chrono::milliseconds Length{30000};
  /// One-way network delays.
  std::chrono::milliseconds LocalDelay{1};
  std::chrono::milliseconds RegionDelay{45};
  /// Most targets that one request is sent to.
  std::uint32_t MaxAttempts = 3;
  std::vector<load_region> Regions;
  std::vector<load_pool> Pools;
  std::vector<load_kind> Kinds;
  std::vector<load_trouble> Troubles;
};

/// Errors: BadSettings, naming the field, its value and the allowed values.
result<load_plan> parseLoadPlan(std::string_view Json,
                                std::string_view FileName);

} // namespace magnoliaspread

#endif
