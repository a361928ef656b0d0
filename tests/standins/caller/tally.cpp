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

workspace_tally tally::total() const {
  workspace_tally Total;
  for (const auto &[Name, Row] : Workspaces) {
    Total.Sent += Row.Sent;
    Total.Answered += Row.Answered;
    Total.Wrong += Row.Wrong;
    for (const auto &[Kind, Count] : Row.Refused)
      Total.Refused[Kind] += Count;
    Total.Latencies.insert(Total.Latencies.end(), Row.Latencies.begin(),
                           Row.Latencies.end());
  }
  return Total;
}

microseconds percentile(std::vector<microseconds> All, double Fraction) {
  if (All.empty())
    return microseconds(0);
  const auto Last = static_cast<double>(All.size() - 1);
  const auto Rank = static_cast<std::ptrdiff_t>(Last * Fraction);
  std::nth_element(All.begin(), All.begin() + Rank, All.end());
  return All[static_cast<std::size_t>(Rank)];
}

std::string summaryLine(const tally &Tally) {
  const workspace_tally Total = Tally.total();
  std::ostringstream Line;
  Line << "summary sent=" << Total.Sent << " answered=" << Total.Answered
       << " wrong=" << Total.Wrong;
  for (const auto &[Kind, Count] : Total.Refused)
    Line << " refused." << Kind << '=' << Count;
  Line << " p50_us=" << percentile(Total.Latencies, 0.5).count()
       << " p99_us=" << percentile(Total.Latencies, 0.99).count();
  return Line.str();
}

std::string formatTally(const tally &Tally) {
  boost::json::object Workspaces;
  for (const auto &[Name, Row] : Tally.Workspaces)
    Workspaces[Name] = workspaceJson(Row);
  boost::json::object Total = workspaceJson(Tally.total());
  Total["workspaces"] = std::move(Workspaces);
  return boost::json::serialize(Total);
}

} // namespace magnoliaspread
