#include "tally.h"

#include <algorithm>
#include <boost/json.hpp>
#include <sstream>

namespace magnoliaspread {

using std::chrono::microseconds;

namespace {

boost::json::object workspaceJson(const workspace_tally &Row) {
  boost::json::object Refused;
  for (const auto &[Kind, Count] : Row.Refused)
    Refused[Kind] = Count;
  return {{"sent", Row.Sent},
          {"answered", Row.Answered},
          {"wrong", Row.Wrong},
          {"refused", std::move(Refused)},
          {"p50_us", percentile(Row.Latencies, 0.5).count()},
          {"p99_us", percentile(Row.Latencies, 0.99).count()}};
}

} // namespace

workspace_tally tally::whole() const {
  workspace_tally Whole;
  for (const auto &[Name, Row] : Workspaces) {
    Whole.Sent += Row.Sent;
    Whole.Answered += Row.Answered;
    Whole.Wrong += Row.Wrong;
    for (const auto &[Kind, Count] : Row.Refused)
      Whole.Refused[Kind] += Count;
    Whole.Latencies.insert(Whole.Latencies.end(), Row.Latencies.begin(),
                           Row.Latencies.end());
  }
  return Whole;
}

microseconds percentile(std::vector<microseconds> All, double Part) {
  if (All.empty())
    return microseconds(0);
  const auto Last = static_cast<double>(All.size() - 1);
  const auto Rank = static_cast<std::ptrdiff_t>(Last * Part);
  std::nth_element(All.begin(), All.begin() + Rank, All.end());
  return All[static_cast<std::size_t>(Rank)];
}

std::string summaryLine(const tally &Tally) {
  const workspace_tally Whole = Tally.whole();
  std::ostringstream Line;
  Line << "summary sent=" << Whole.Sent << " answered=" << Whole.Answered
       << " wrong=" << Whole.Wrong;
  for (const auto &[Kind, Count] : Whole.Refused)
    Line << " refused." << Kind << '=' << Count;
  Line << " p50_us=" << percentile(Whole.Latencies, 0.5).count()
       << " p99_us=" << percentile(Whole.Latencies, 0.99).count();
  return Line.str();
}

std::string formatTally(const tally &Tally) {
  boost::json::object Workspaces;
  for (const auto &[Name, Row] : Tally.Workspaces)
    Workspaces[Name] = workspaceJson(Row);
  boost::json::object Whole = workspaceJson(Tally.whole());
  Whole["workspaces"] = std::move(Workspaces);
  return boost::json::serialize(Whole);
}

} // namespace magnoliaspread
