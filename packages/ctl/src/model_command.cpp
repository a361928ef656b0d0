#include "commands_p.h"

#include <magnoliaspread/fleet_model.h>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace magnoliaspread {
namespace {

constexpr int NameWidth = 14;
constexpr int CountWidth = 9;

const named_count &worst(const std::vector<named_count> &Rows) {
  return *std::min_element(
      Rows.begin(), Rows.end(), [](const named_count &A, const named_count &B) {
        return A.Count.creditRatio() < B.Count.creditRatio();
      });
}

double worstSecond(const model_report &Report) {
  double Worst = 1;
  for (const model_count &Row : Report.Seconds)
    Worst = std::min(Worst, Row.creditRatio());
  return Worst;
}

boost::json::object toJson(const named_count &Row) {
  return {{"name", Row.Name},
          {"credit", Row.Count.creditRatio()},
          {"offered", Row.Count.Offered},
          {"good", Row.Count.Good},
          {"late", Row.Count.Late},
          {"refused", Row.Count.Refused},
          {"failed", Row.Count.Failed}};
}

boost::json::object toJson(std::string_view Policy, std::uint64_t Seed,
                           const model_report &Report) {
  boost::json::object Json = toJson(named_count{"all", Report.All});
  Json["name"] = Policy;
  Json["seed"] = Seed;
  Json["worst_second"] = worstSecond(Report);
  Json["cold_runs"] = Report.ColdRuns;
  Json["shed"] = Report.Shed;
  Json["remote"] = Report.Remote;
  for (const auto &[Name, Rows] :
       {std::pair("regions", &Report.Regions), {"kinds", &Report.Kinds}}) {
    boost::json::array &Array = Json[Name].emplace_array();
    for (const named_count &Row : *Rows)
      Array.push_back(toJson(Row));
  }
  boost::json::array &Seconds = Json["seconds"].emplace_array();
  for (const model_count &Row : Report.Seconds)
    Seconds.push_back(Row.creditRatio());
  return Json;
}

void writeHead(std::ostream &Out) {
  Out << std::left << std::setw(NameWidth) << "policy" << std::right
      << std::setw(CountWidth) << "seed";
  for (const char *Name : {"credit", "offered", "good", "late", "refused",
                           "failed", "cold", "shed", "remote", "second"})
    Out << std::setw(CountWidth) << Name;
  Out << "  worst region, kind\n";
}

void writeRow(std::ostream &Out, std::string_view Policy, std::uint64_t Seed,
              const model_report &Report) {
  const model_count &All = Report.All;
  Out << std::left << std::setw(NameWidth) << Policy << std::right
      << std::setw(CountWidth) << Seed << std::fixed << std::setprecision(3)
      << std::setw(CountWidth) << All.creditRatio();
  for (const std::uint64_t Count :
       {All.Offered, All.Good, All.Late, All.Refused, All.Failed,
        Report.ColdRuns, Report.Shed, Report.Remote})
    Out << std::setw(CountWidth) << Count;
  Out << std::setw(CountWidth) << worstSecond(Report);
  for (const auto *Rows : {&Report.Regions, &Report.Kinds})
    Out << "  " << worst(*Rows).Name << " " << worst(*Rows).Count.creditRatio();
  Out << "\n";
}

} // namespace

exit_code comparePolicies(ctl_context &Context, const model_options &Options) {
  auto Text = readFile(Options.File);
  if (failed(Text))
    return report(Context, errorOf(Text));
  auto Plan = parseLoadPlan(valueOf(Text), Options.File);
  if (failed(Plan))
    return report(Context, errorOf(Plan));
  placer_policy Placer;
  for (const std::string &Setting : Options.Settings) {
    const status Set = setPlacerField(Placer, Setting);
    if (failed(Set))
      return report(Context, errorOf(Set));
  }
  boost::json::array Json;
  std::ostringstream Table;
  writeHead(Table);
  for (std::uint64_t I = 0; I < Options.Runs; ++I) {
    const std::uint64_t Seed = Options.Seed + I;
    const std::vector<trace_request> Trace = drawTrace(valueOf(Plan), Seed);
    for (const std::string &Name : Options.Policies) {
      model_setup Setup;
      Setup.Policy = policyKindOf(Name).value_or(policy_kind::Holders);
      Setup.Seed = Seed;
      Setup.Placer = Placer;
      const model_report Report = runModel(valueOf(Plan), Trace, Setup);
      Json.push_back(toJson(Name, Seed, Report));
      writeRow(Table, Name, Seed, Report);
    }
  }
  print(Context, Json, Table.str());
  return exit_code::Ok;
}

} // namespace magnoliaspread
