#include "codec_p.h"

namespace magnoliaspread {

namespace {

std::int64_t toSigned(std::uint64_t Number) {
  return static_cast<std::int64_t>(Number);
}

std::uint64_t toUnsigned(std::int64_t Number) {
  return static_cast<std::uint64_t>(Number);
}

void write(const credit_request_message &Request, idl::Datagram &Body) {
  idl::CreditAsk To;
  To.serviceId = toSigned(Request.Service);
  To.wanted = static_cast<std::int32_t>(Request.Wanted);
  To.sequence = toSigned(Request.Sequence);
  Body.__set_creditAsk(To);
}

void write(const credit_grant_message &Grant, idl::Datagram &Body) {
  idl::CreditGrant To;
  To.serviceId = toSigned(Grant.Service);
  To.count = static_cast<std::int32_t>(Grant.Count);
  To.id = toSigned(Grant.Id);
  To.sequence = toSigned(Grant.Sequence);
  To.lifetimeMs = static_cast<std::int32_t>(Grant.Lifetime.count());
  Body.__set_creditGrant(To);
}

} // namespace

void writeCredit(const credit_message &Message, idl::Datagram &Body) {
  std::visit([&](const auto &Alternative) { write(Alternative, Body); },
             Message);
}

credit_request_message readCreditRequest(const idl::CreditAsk &From) {
  return {toUnsigned(From.serviceId), readNumber<std::uint32_t>(From.wanted),
          toUnsigned(From.sequence)};
}

credit_grant_message readCreditGrant(const idl::CreditGrant &From) {
  return {
      toUnsigned(From.serviceId), readNumber<std::uint32_t>(From.count),
      toUnsigned(From.id), toUnsigned(From.sequence),
      std::chrono::milliseconds(readNumber<std::uint32_t>(From.lifetimeMs))};
}

} // namespace magnoliaspread
