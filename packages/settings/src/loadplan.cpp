#include <magnoliaspread/loadplan.h>

#include "json_read_p.h"

#include <algorithm>
#include <array>
#include <exception>
#include <optional>

namespace magnoliaspread {
namespace {

// A model run holds every request and target in memory.
constexpr double MaxRunMs = 600000;
constexpr double MaxRate = 20000;
constexpr double MaxTargets = 5000;
constexpr double MaxInstances = 100;
constexpr double MaxSlots = 1000;
constexpr double MaxObjects = 100000;
constexpr double MaxMs = 60000;
constexpr double MaxReturns = 10;
constexpr double MaxAttempts = 10;
constexpr double MaxWorth = 1000;
constexpr double MaxFactor = 100;
constexpr double MaxBody = 1e8;
constexpr double MaxPriority = 9;

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(trouble_kind::Count)>
    TroubleNames{"burst", "shift", "lose_targets", "slow_targets",
                 "lose_instances"};

field_spec requiredName(std::string_view Name) {
  return textField(Name, presence::Required, text_rule::Name);
}

field_spec optionalNumber(std::string_view Name, double Min, double Max) {
  return numberField(Name, presence::Optional, Min, Max);
}

} // namespace

// Found by argument-dependent lookup from readRows().
template <class Visitor> void visitFields(Visitor &Visit, load_region &R) {
  Visit(requiredName("name"), R.Name);
  Visit(optionalNumber("share", 0, MaxWorth), R.Share);
  Visit(optionalNumber("swing", 0, 1), R.Swing);
  Visit(optionalNumber("period_ms", 1, MaxRunMs), R.Period);
  Visit(optionalNumber("phase", 0, 1), R.Phase);
  Visit(optionalNumber("instances", 1, MaxInstances), R.Instances);
}

template <class Visitor> void visitFields(Visitor &Visit, load_pool &R) {
  Visit(requiredName("service"), R.Service);
  Visit(requiredName("region"), R.Region);
  Visit(optionalNumber("targets", 1, MaxTargets), R.Targets);
  Visit(optionalNumber("slots", 1, MaxSlots), R.Slots);
  Visit(optionalNumber("queue", 0, MaxSlots), R.Queue);
  Visit(optionalNumber("kept_objects", 0, MaxObjects), R.CachedObjects);
}

template <class Visitor> void visitFields(Visitor &Visit, load_kind &R) {
  Visit(requiredName("name"), R.Name);
  Visit(requiredName("service"), R.Service);
  Visit(numberField("rate", presence::Required, 0, MaxRate), R.Rate);
  Visit(optionalNumber("objects", 0, MaxObjects), R.Objects);
  Visit(optionalNumber("cold_work_ms", 1, MaxMs), R.ColdWork);
  Visit(optionalNumber("warm_part", 0, 1), R.WarmPart);
  Visit(optionalNumber("latency_target_ms", 1, MaxMs), R.LatencyTarget);
  Visit(optionalNumber("deadline_ms", 1, MaxMs), R.Deadline);
  Visit(optionalNumber("worth", 0, MaxWorth), R.Worth);
  Visit(optionalNumber("late_worth", 0, MaxWorth), R.LateWorth);
  Visit(optionalNumber("priority", 0, MaxPriority), R.Priority);
  Visit(optionalNumber("returns", 0, MaxReturns), R.CallerRetries);
  Visit(choiceField("repeatable"), R.Repeatable);
  Visit(optionalNumber("body_bytes", 0, MaxBody), R.BodyBytes);
}

namespace {

bool fromJson(const boost::json::value &Json, trouble_kind &Value) {
  if (!Json.is_string())
    return false;
  const auto *Found = std::find(TroubleNames.begin(), TroubleNames.end(),
                                std::string_view(Json.get_string()));
  Value = static_cast<trouble_kind>(Found - TroubleNames.begin());
  return Found != TroubleNames.end();
}

std::string troubleNames() {
  std::string Names;
  for (const std::string_view Name : TroubleNames)
    Names.append(Names.empty() ? "" : ", ").append(Name);
  return Names;
}

void readTroubles(object_reader &Reader, load_plan &Plan, read_fault &Fault) {
  const boost::json::array *Array = Reader.findArray("troubles");
  if (!Array)
    return;
  for (const boost::json::value &Json : *Array) {
    load_trouble &Row = Plan.Troubles.emplace_back();
    object_reader Nested(
        Json, "troubles[" + std::to_string(Plan.Troubles.size() - 1) + "]",
        Fault);
    const field_spec Kind = choiceField("kind");
    if (const auto *Value = Nested.findField(Kind.Name, presence::Required))
      if (!fromJson(*Value, Row.Kind))
        Nested.reject(Kind, *Value, troubleNames());
    Nested(optionalNumber("at_ms", 0, MaxRunMs), Row.At);
    Nested(optionalNumber("length_ms", 1, MaxRunMs), Row.Length);
    Nested(textField("region", presence::Optional, text_rule::Name),
           Row.Region);
    Nested(optionalNumber("part", 0, 1), Row.Part);
    Nested(optionalNumber("factor", 0, MaxFactor), Row.Factor);
    Nested.finish();
  }
}

template <class Row>
bool hasRow(const std::vector<Row> &Rows, const std::string &Name) {
  return std::any_of(Rows.begin(), Rows.end(),
                     [&](const Row &R) { return R.Name == Name; });
}

/// Checks that names refer to rows.
void checkNames(const load_plan &Plan, read_fault &Fault) {
  const auto Service = [&](const std::string &Name) {
    return std::any_of(Plan.Pools.begin(), Plan.Pools.end(),
                       [&](const load_pool &R) { return R.Service == Name; });
  };
  if (Plan.Regions.empty() || Plan.Kinds.empty())
    Fault.set("regions and kinds need at least one row each");
  for (const load_pool &Row : Plan.Pools)
    if (!hasRow(Plan.Regions, Row.Region))
      Fault.set(faultText("pools", "region", Row.Region, "a region's name"));
  for (const load_kind &Row : Plan.Kinds)
    if (!Service(Row.Service))
      Fault.set(faultText("kinds", "service", Row.Service,
                          "the service of a row of pools"));
  for (const load_trouble &Row : Plan.Troubles)
    if (!Row.Region.empty() && !hasRow(Plan.Regions, Row.Region))
      Fault.set(faultText("troubles", "region", Row.Region, "a region's name"));
}

load_plan readPlan(const boost::json::value &Json, std::string_view FileName,
                   read_fault &Fault) {
  load_plan Plan;
  object_reader Reader(Json, std::string(FileName), Fault);
  Reader(optionalNumber("length_ms", 1, MaxRunMs), Plan.Length);
  Reader(optionalNumber("local_delay_ms", 0, MaxMs), Plan.LocalDelay);
  Reader(optionalNumber("region_delay_ms", 0, MaxMs), Plan.RegionDelay);
  Reader(optionalNumber("max_sends", 1, MaxAttempts), Plan.MaxAttempts);
  readRows(Reader, "regions", Plan.Regions, Fault);
  readRows(Reader, "pools", Plan.Pools, Fault);
  readRows(Reader, "kinds", Plan.Kinds, Fault);
  readTroubles(Reader, Plan, Fault);
  Reader.finish();
  return Plan;
}

} // namespace

std::string_view nameOf(trouble_kind Kind) {
  return TroubleNames.at(static_cast<std::size_t>(Kind));
}

result<load_plan> parseLoadPlan(std::string_view Json,
                                std::string_view FileName) {
  const auto Failed = [&](const std::string &Detail) {
    return error{
        error_kind::BadSettings, std::string(FileName) + ": " + Detail, {}};
  };
  try {
    auto Parsed = parseJson(Json, error_kind::BadSettings);
    if (failed(Parsed))
      return Failed(errorOf(Parsed).Detail);
    read_fault Fault;
    load_plan Plan = readPlan(valueOf(Parsed), FileName, Fault);
    checkNames(Plan, Fault);
    if (Fault.found())
      return Failed(Fault.Text);
    return Plan;
  } catch (const std::exception &Fault) {
    return Failed(Fault.what());
  }
}

} // namespace magnoliaspread
