#include <magnoliaspread/burn.h>

#include <algorithm>
#include <boost/json.hpp>
#include <cstdio>
#include <map>

namespace magnoliaspread {
namespace {

namespace json = boost::json;

/// Reads the fields of /slo pages; bad() after a missing or mistyped one.
class page_reader {
public:
  std::vector<slo_row> readRows(const json::value &Window) {
    std::vector<slo_row> Rows;
    for (const json::value &Json : arrayIn(Window, "rows"))
      Rows.push_back(readRow(Json));
    return Rows;
  }

  const json::array &arrayIn(const json::value &In, std::string_view Name) {
    const json::value *Found = find(In, Name);
    if (Found && Found->is_array())
      return Found->get_array();
    Bad = true;
    return Empty;
  }

  std::uint64_t numberIn(const json::value &In, std::string_view Name) {
    const json::value *Found = find(In, Name);
    boost::system::error_code Fault;
    std::uint64_t Number = Found ? Found->to_number<std::uint64_t>(Fault) : 0;
    Bad |= !Found || Fault;
    return Number;
  }

  bool bad() const { return Bad; }

private:
  const json::value *find(const json::value &In, std::string_view Name) {
    const json::object *Object = In.if_object();
    return Object ? Object->if_contains(Name) : nullptr;
  }

  std::string textIn(const json::value &In, std::string_view Name) {
    const json::value *Found = find(In, Name);
    if (Found && Found->is_string())
      return std::string(Found->get_string());
    Bad = true;
    return {};
  }

  slo_row readRow(const json::value &Json) {
    slo_row Row{textIn(Json, "workspace"), textIn(Json, "service"), {}};
    for (std::size_t I = 0; I < SloClasses; ++I)
      Row.Counts.By[I] = numberIn(Json, nameOf(static_cast<slo_class>(I)));
    return Row;
  }

  const json::array Empty;
  bool Bad = false;
};

error badPage(const std::string &Detail) {
  return {error_kind::PeerRejected, "/slo page: " + Detail, {}};
}

/// Burn rate of one window; 0 without requests or error budget.
double burnRate(const slo_counts &Counts, double Objective) {
  double Total = static_cast<double>(Counts.total());
  double Budget = 1 - Objective;
  if (Total <= 0 || Budget <= 0)
    return 0;
  return static_cast<double>(Counts.bad()) / Total / Budget;
}

using burn_key = std::pair<std::string, std::string>;
using burn_map = std::map<burn_key, burn_row>;

burn_row &findOrAddRow(burn_map &Rows, const slo_row &R) {
  burn_row &Row = Rows[{R.Workspace, R.Service}];
  Row.Workspace = R.Workspace;
  Row.Service = R.Service;
  return Row;
}

void computeRates(burn_row &Row, const burn_settings &Settings) {
  Row.ShortRate = burnRate(Row.Short, Settings.Objective);
  Row.LongRate = burnRate(Row.Long, Settings.Objective);
  Row.Alert = std::min(Row.ShortRate, Row.LongRate) >= Settings.AlertRate;
}

bool burnsFaster(const burn_row &A, const burn_row &B) {
  if (A.Alert != B.Alert)
    return A.Alert;
  return A.LongRate > B.LongRate;
}

json::object countsJson(const slo_counts &Counts) {
  json::object Json;
  for (std::size_t I = 0; I < SloClasses; ++I)
    Json[nameOf(static_cast<slo_class>(I))] = Counts.By[I];
  return Json;
}

std::string formatRate(double Value) {
  char Text[64];
  std::snprintf(Text, sizeof(Text), "%.2f", Value);
  return Text;
}

/// Pads each column to its widest cell.
std::string alignColumns(const std::vector<std::vector<std::string>> &Lines) {
  std::vector<std::size_t> Widths;
  for (const auto &Line : Lines)
    for (std::size_t I = 0; I < Line.size(); ++I) {
      Widths.resize(std::max(Widths.size(), I + 1));
      Widths[I] = std::max(Widths[I], Line[I].size());
    }
  std::string Text;
  for (const auto &Line : Lines) {
    for (std::size_t I = 0; I < Line.size(); ++I) {
      Text += Line[I];
      bool Last = I + 1 == Line.size();
      Text.append(Last ? 0 : Widths[I] + 2 - Line[I].size(), ' ');
    }
    Text += '\n';
  }
  return Text;
}

std::string countText(const slo_counts &Counts, slo_class Class) {
  return std::to_string(Counts.of(Class));
}

} // namespace

result<slo_page> parseSlo(std::string_view Text) {
  boost::system::error_code Fault;
  json::value Json = json::parse(Text, Fault);
  if (Fault)
    return badPage(Fault.message());
  page_reader Reader;
  const json::array &Windows = Reader.arrayIn(Json, "windows");
  if (Reader.bad() || Windows.size() != 2)
    return badPage("two windows are missing");
  slo_page Page;
  Page.Short = Reader.readRows(Windows[0]);
  Page.Long = Reader.readRows(Windows[1]);
  Page.Covered =
      std::chrono::seconds(Reader.numberIn(Windows[1], "covered_seconds"));
  if (Reader.bad())
    return badPage("a field is missing or of another type");
  return Page;
}

burn_report makeBurnReport(const std::vector<slo_page> &Pages,
                           const burn_settings &Settings) {
  burn_map Rows;
  burn_report Report;
  Report.Instances = Pages.size();
  Report.Covered = Pages.empty() ? std::chrono::seconds{0} : LongWindow;
  for (const slo_page &Page : Pages) {
    for (const slo_row &R : Page.Short)
      findOrAddRow(Rows, R).Short += R.Counts;
    for (const slo_row &R : Page.Long)
      findOrAddRow(Rows, R).Long += R.Counts;
    Report.Covered = std::min(Report.Covered, Page.Covered);
  }
  for (auto &[Key, Row] : Rows) {
    computeRates(Row, Settings);
    Report.Rows.push_back(std::move(Row));
  }
  std::stable_sort(Report.Rows.begin(), Report.Rows.end(), burnsFaster);
  return Report;
}

std::string formatBurnTable(const burn_report &Report) {
  std::vector<std::vector<std::string>> Lines{
      {"workspace", "service", "burn_5m", "burn_1h", "requests_1h", "slow",
       "failed", "refused_within_rate", "refused", "alert"}};
  for (const burn_row &R : Report.Rows)
    Lines.push_back({R.Workspace, R.Service, formatRate(R.ShortRate),
                     formatRate(R.LongRate), std::to_string(R.Long.total()),
                     countText(R.Long, slo_class::Slow),
                     countText(R.Long, slo_class::Failed),
                     countText(R.Long, slo_class::RefusedWithinRate),
                     countText(R.Long, slo_class::Refused),
                     R.Alert ? "yes" : "no"});
  return alignColumns(Lines) + "instances=" + std::to_string(Report.Instances) +
         " covered_seconds=" + std::to_string(Report.Covered.count()) + "\n";
}

std::string formatBurnJson(const burn_report &Report) {
  json::array Rows;
  for (const burn_row &R : Report.Rows)
    Rows.push_back({{"workspace", R.Workspace},
                    {"service", R.Service},
                    {"burn_5m", R.ShortRate},
                    {"burn_1h", R.LongRate},
                    {"alert", R.Alert},
                    {"counts_5m", countsJson(R.Short)},
                    {"counts_1h", countsJson(R.Long)}});
  return json::serialize(
      json::object{{"instances", Report.Instances},
                   {"covered_seconds", Report.Covered.count()},
                   {"rows", std::move(Rows)}});
}

} // namespace magnoliaspread
