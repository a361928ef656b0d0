#include "codec_p.h"

#include <cmath>

namespace magnoliaspread {

using std::chrono::milliseconds;

namespace {

milliseconds readTime(std::int64_t From) {
  return milliseconds(readNumber<std::uint32_t>(From));
}

idl::LimitReport toWire(const limit_report &Report) {
  idl::LimitReport To;
  To.target = static_cast<std::int64_t>(Report.Target);
  if (Report.Rate)
    To.__set_perSecond(*Report.Rate);
  To.ageMs = Report.Age.count();
  return To;
}

limit_report fromWire(const idl::LimitReport &From) {
  limit_report Report;
  Report.Target = static_cast<std::uint64_t>(From.target);
  if (From.__isset.perSecond) {
    if (!std::isfinite(From.perSecond) || From.perSecond < 0)
      throw malformed_message("rate out of range");
    Report.Rate = From.perSecond;
  }
  Report.Age = readTime(From.ageMs);
  return Report;
}

void write(const limit_update &Update, idl::Datagram &Body) {
  idl::LimitNews To;
  for (const limit_report &Row : Update.Limits)
    To.limits.push_back(toWire(Row));
  Body.__set_limitNews(To);
}

void write(const permit_request &Request, idl::Datagram &Body) {
  idl::PermitAsk To;
  To.sequence = static_cast<std::int64_t>(Request.Sequence);
  To.count = static_cast<std::int32_t>(Request.Count);
  To.limit = toWire(Request.Limit);
  Body.__set_permitAsk(To);
}

void write(const permit_grant &Grant, idl::Datagram &Body) {
  idl::PermitGrant To;
  To.sequence = static_cast<std::int64_t>(Grant.Sequence);
  To.count = static_cast<std::int32_t>(Grant.Count);
  To.waitMs = static_cast<std::int32_t>(Grant.Wait.count());
  To.limit = toWire(Grant.Limit);
  Body.__set_permitGrant(To);
}

} // namespace

void writeTargetLimit(const target_limit_message &Message,
                      idl::Datagram &Body) {
  std::visit([&](const auto &Kind) { write(Kind, Body); }, Message);
}

limit_update readLimitUpdate(const idl::LimitNews &From) {
  limit_update Update;
  for (const idl::LimitReport &Row : From.limits)
    Update.Limits.push_back(fromWire(Row));
  return Update;
}

permit_request readPermitRequest(const idl::PermitAsk &From) {
  return {static_cast<std::uint64_t>(From.sequence),
          readNumber<std::uint32_t>(From.count), fromWire(From.limit)};
}

permit_grant readPermitGrant(const idl::PermitGrant &From) {
  return {static_cast<std::uint64_t>(From.sequence),
          readNumber<std::uint32_t>(From.count), readTime(From.waitMs),
          fromWire(From.limit)};
}

} // namespace magnoliaspread
