#include "spilllog_p.h"

#include <magnoliaspread/log.h>

#include <chrono>
#include <cmath>

namespace magnoliaspread {

namespace {

constexpr std::chrono::seconds MinGap{2};
constexpr double MinChange = 0.05;

} // namespace

void spill_log::update(const std::string &Service, const spill_state &State,
                       steady_time Now) {
  entry &Entry = Entries[Service];
  if (Entry.LocalPart >= 0 &&
      (Now - Entry.At < MinGap ||
       std::abs(State.LocalPart - Entry.LocalPart) < MinChange))
    return;
  Entry = {State.LocalPart, Now};
  logEvent(log_level::Info, "region_parts_changed",
           {{"service", Service},
            {"local_part", State.LocalPart},
            {"wanted_part", State.WantedPart},
            {"demand_slots", State.Demand},
            {"region_slots", State.Slots},
            {"lost_slots", State.LostSlots}});
}

} // namespace magnoliaspread
