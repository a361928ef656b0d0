/// Log lines on where a service's objects are placed.
#ifndef MAGNOLIASPREAD_SPILLLOG_P_H
#define MAGNOLIASPREAD_SPILLLOG_P_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/namemap.h>

#include <string>

namespace magnoliaspread {

/// The state of a service's plan that an operator sees.
struct spill_state {
  /// Part of the region's objects that it keeps, and that it moves to.
  double LocalPart = 0;
  double WantedPart = 0;
  /// Of the own region, in slots.
  double Demand = 0;
  double Slots = 0;
  /// Lost to failures; not in Slots.
  double LostSlots = 0;
};

class spill_log {
public:
  /// Logs a change of the local part, at most every few seconds by service.
  void update(const std::string &Service, const spill_state &State,
              steady_time Now);

private:
  struct entry {
    double LocalPart = -1;
    steady_time At;
  };
  name_map<entry> Entries;
};

} // namespace magnoliaspread

#endif
