#include "fleet_p.h"
#include "http_get_p.h"

#include <magnoliaspread/burn.h>

namespace magnoliaspread {
namespace {

constexpr double Percent = 100;

/// Reads the pages; prints an error for each address without one.
std::vector<slo_page> readPages(ctl_context &Context,
                                const std::vector<endpoint_address> &Addresses,
                                std::chrono::milliseconds Timeout) {
  auto Bodies = httpGetAll(Addresses, "/slo", Timeout);
  std::vector<slo_page> Pages;
  for (std::size_t I = 0; I < Addresses.size(); ++I) {
    result<slo_page> Page = failed(Bodies[I])
                                ? result<slo_page>(errorOf(Bodies[I]))
                                : parseSlo(valueOf(Bodies[I]));
    if (failed(Page))
      Context.Err << "magnoliactl: admin=" << formatAddress(Addresses[I]) << " "
                  << errorOf(Page).Detail << "\n";
    else
      Pages.push_back(std::move(valueOf(Page)));
  }
  return Pages;
}

} // namespace

exit_code reportBurn(ctl_context &Context, const burn_options &Options) {
  auto Addresses = findInstances(Context, Options.Fleet);
  if (failed(Addresses))
    return report(Context, errorOf(Addresses));
  auto Pages = readPages(Context, valueOf(Addresses), Options.Fleet.Timeout);
  burn_settings Settings;
  Settings.Objective = Options.ObjectivePercent / Percent;
  burn_report Report = makeBurnReport(Pages, Settings);
  if (Context.Json)
    Context.Out << formatBurnJson(Report) << "\n";
  else
    Context.Out << formatBurnTable(Report);
  bool Complete = Pages.size() == valueOf(Addresses).size();
  return Complete ? exit_code::Ok : exit_code::Refused;
}

} // namespace magnoliaspread
