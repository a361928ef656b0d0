/// The gate's logs and counts of affinity.
#include "gate_p.h"

#include <magnoliaspread/log.h>

#include <chrono>

namespace magnoliaspread {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// Pause between log lines of holder changes, several lines at a time, and of
/// gains.
constexpr std::chrono::seconds HolderLogPeriod{1};
constexpr std::chrono::seconds GainLogPeriod{10};

} // namespace

void gate::state::nameKind(std::uint64_t Kind, const std::string &Route,
                           const std::string &Service) {
  if (Settings.Affinity.Enabled &&
      KindNames.size() < Settings.Affinity.MaxKinds)
    KindNames.try_emplace(Kind, Route + " " + Service);
}

void gate::state::logAffinity() {
  const steady_time Now = Clock.now();
  if (!Settings.Affinity.Enabled || Now < NextHolderLog)
    return;
  NextHolderLog = Now + HolderLogPeriod;
  std::uint64_t Omitted = 0;
  for (const holder_change &Row : Placer.takeHolderChanges(Omitted))
    logEvent(log_level::Info, Row.Gained ? "holder_added" : "holder_given_back",
             {{"object", Row.Object},
              {"target", Targets[Row.Target.Index].Name},
              {"holders", Row.Holders},
              {"demand_slots", Row.Demand}});
  if (Omitted > 0)
    logEvent(log_level::Info, "holder_changes_omitted", {{"count", Omitted}});
  if (Now < NextGainLog)
    return;
  NextGainLog = Now + GainLogPeriod;
  for (const kind_gain &Row : Placer.affinityState().gains())
    logEvent(log_level::Info, "affinity_gain",
             {{"kind", KindNames[Row.Kind]},
              {"warm_ms", duration_cast<milliseconds>(Row.Warm).count()},
              {"cold_ms", duration_cast<milliseconds>(Row.Cold).count()},
              {"gain", Row.Gain},
              {"follows", Row.Follows}});
}

} // namespace magnoliaspread
