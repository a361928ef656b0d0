#include "record.h"

#include <boost/json.hpp>

namespace magnoliaspread {

namespace {

boost::json::object
countsJson(const std::map<std::string, std::uint64_t> &Counts) {
  boost::json::object Object;
  for (const auto &[Name, Count] : Counts)
    Object[Name] = Count;
  return Object;
}

boost::json::object endpointJson(const endpoint_record &Row) {
  return {{"runs", Row.Runs},
          {"shed", Row.Shed},
          {"cancelled", Row.Cancelled},
          {"deaths", Row.Crashes},
          {"running", Row.Running},
          {"most_running", Row.MostRunning},
          {"connections", Row.Connections},
          {"most_connections", Row.MostConnections},
          {"last_work_ms", Row.LastWorkMs}};
}

} // namespace

std::int64_t wallMs() {
  const auto Now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(Now).count();
}

std::string formatRecord(const target_record &Record) {
  boost::json::object Endpoints;
  for (const auto &[Name, Row] : Record.Endpoints)
    Endpoints[Name] = endpointJson(Row);
  const boost::json::object Root{
      {"endpoints", std::move(Endpoints)},
      {"runs_by_workspace", countsJson(Record.RunsByWorkspace)},
      {"runs_by_idempotency_key", countsJson(Record.RunsByIdempotencyKey)},
      {"keys_seen", Record.KeysSeen}};
  return boost::json::serialize(Root);
}

} // namespace magnoliaspread
