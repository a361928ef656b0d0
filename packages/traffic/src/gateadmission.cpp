/// The gate's logs of overloaded services.
#include "gate_p.h"

#include <magnoliaspread/log.h>

#include <chrono>
#include <string>

namespace magnoliaspread {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

std::string reasonsOf(const overload_change &Change) {
  std::string Text;
  for (std::size_t I = 0; I < AdmissionReasons; ++I) {
    if (Change.Rejected[I] == 0)
      continue;
    Text += Text.empty() ? "" : ",";
    Text += nameOf(static_cast<admission_reason>(I));
    Text += ":" + std::to_string(Change.Rejected[I]);
  }
  return Text;
}

} // namespace

void gate::state::logOverload() {
  for (const overload_change &Row : Placer.takeOverloadChanges(Clock.now()))
    logEvent(log_level::Info,
             Row.Overloaded ? "service_overloaded" : "service_recovered",
             {{"service", Services.name(Row.Service)},
              {"queued_slot_ms",
               duration_cast<milliseconds>(Row.Inputs.Ahead).count()},
              {"slots", Row.Inputs.Slots},
              {"forecast_ms",
               duration_cast<milliseconds>(Row.Inputs.Forecast).count()},
              {"rejected", reasonsOf(Row)}});
}

} // namespace magnoliaspread
