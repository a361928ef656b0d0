#include "codec_p.h"

namespace magnoliaspread {

using std::chrono::milliseconds;

void writePath(const path_message &Message, idl::Datagram &Body) {
  if (const auto *Query = std::get_if<path_query>(&Message)) {
    idl::PathAsk To;
    To.round = static_cast<std::int64_t>(Query->Round);
    return Body.__set_pathAsk(To);
  }
  const auto &Report = std::get<path_report>(Message);
  idl::PathReport To;
  To.round = static_cast<std::int64_t>(Report.Round);
  To.state = static_cast<std::int8_t>(Report.State);
  if (Report.HeardAge)
    To.__set_heardAgeMs(Report.HeardAge->count());
  Body.__set_pathReport(To);
}

path_query readPathQuery(const idl::PathAsk &From) {
  return {static_cast<std::uint64_t>(From.round)};
}

path_report readPathReport(const idl::PathReport &From) {
  path_report Report;
  Report.Round = static_cast<std::uint64_t>(From.round);
  if (From.state < static_cast<std::int8_t>(path_state::Working) ||
      From.state > static_cast<std::int8_t>(path_state::Broken))
    throw malformed_message("unknown path state");
  Report.State = static_cast<path_state>(From.state);
  if (From.__isset.heardAgeMs)
    Report.HeardAge = milliseconds(readNumber<std::uint32_t>(From.heardAgeMs));
  return Report;
}

} // namespace magnoliaspread
