/// Tables shared by the tests of this package.
#ifndef MAGNOLIASPREAD_TESTS_TABLES_H
#define MAGNOLIASPREAD_TESTS_TABLES_H

#include <magnoliaspread/table.h>

namespace magnoliaspread {

/// Two regions, three workspaces and a row of every kind.
inline config_table smallTable() {
  config_table T;
  T.Version = 7;
  T.Regions = {{"porto", drain_state::Active}, {"faro", drain_state::Draining}};
  T.DataCentres = {{"porto-1", "porto", 600, 2, drain_state::Active},
                   {"faro-1", "faro", 400, 3, drain_state::Active}};
  T.Links = {{"porto", "faro", 35'000'000}, {"faro", "porto", 35'000'000}};
  T.Services = {
      {"calendar", "/calendar/", false, std::chrono::seconds(10),
       std::chrono::seconds(5)},
      {"pages", "/", true, std::chrono::seconds(3), std::chrono::seconds(2)}};
  T.Targets = {{"calendar-1", "calendar", "porto-1", "127.0.0.1", 9001, 4,
                drain_state::Active},
               {"calendar-2", "calendar", "faro-1", "::1", 9002, 3,
                drain_state::Draining}};
  T.Workspaces = {{"aero", 12.5, 25, 2}, {"club", 3, 6, 1}, {"vela", 1, 2, 1}};
  T.Keys = {{"aero-1", "aero", hashKey("one"), key_state::Active},
            {"club-1", "club", hashKey("two"), key_state::Withdrawn}};
  T.Weights = {{"porto", "calendar", "*", 2, 0},
               {"faro", "calendar", "*", 1, 10},
               {"porto", "calendar", "aero", 0.3, 0}};
  T.Shifts = {{"*", 50, 60}, {"calendar", 12.5, 25}};
  T.Origin = {{{"porto", "calendar", "*", 1, 0}}, 1'700'000'000'000};
  T.Edits = {{"e-1", 6, 1'600'000'000'000}, {"e-2", 7, 1'700'000'000'000}};
  return T;
}

} // namespace magnoliaspread

#endif
