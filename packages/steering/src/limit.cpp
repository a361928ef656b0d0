#include <magnoliaspread/limit.h>

#include <algorithm>

namespace magnoliaspread {

namespace {

in_flight_limit &rowAt(limit_table &Table, std::size_t Row) {
  if (Row >= Table.Rows.size())
    Table.Rows.resize(Row + 1);
  return Table.Rows[Row];
}

void applyRaise(in_flight_limit &Row, steady_time Now) {
  if (Row.RaisedPart > Row.Part && Now >= Row.RaisedAt)
    Row.Part = Row.RaisedPart;
}

} // namespace

std::uint32_t limitPart(std::uint32_t Limit, std::uint32_t Index,
                        std::uint32_t Parts) {
  if (Parts == 0 || Index >= Parts)
    return 0;
  const std::uint64_t Limit64 = Limit;
  return static_cast<std::uint32_t>(Limit64 * (Index + 1) / Parts -
                                    Limit64 * Index / Parts);
}

void setLimitPart(limit_table &Table, std::size_t Row, std::uint32_t Part,
                  steady_time Now, steady_time UsableAt) {
  in_flight_limit &State = rowAt(Table, Row);
  applyRaise(State, Now);
  if (!State.Limited)
    State.Part = 0;
  State.Limited = true;
  if (Part != State.RaisedPart)
    State.RaisedAt = UsableAt;
  State.RaisedPart = Part;
  State.Part = std::min(State.Part, Part);
}

void clearLimit(limit_table &Table, std::size_t Row) {
  in_flight_limit &State = rowAt(Table, Row);
  State.Limited = false;
  State.Part = 0;
  State.RaisedPart = 0;
}

status admitLimited(limit_table &Table, std::size_t Row, steady_time Now) {
  in_flight_limit &State = rowAt(Table, Row);
  applyRaise(State, Now);
  if (State.Limited && State.InFlight >= State.Part)
    return error{error_kind::NoCapacity, "the region's limit is reached", {}};
  ++State.InFlight;
  return {};
}

void releaseLimited(limit_table &Table, std::size_t Row) {
  in_flight_limit &State = rowAt(Table, Row);
  if (State.InFlight > 0)
    --State.InFlight;
}

} // namespace magnoliaspread
