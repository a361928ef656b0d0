#include "codec_p.h"

namespace magnoliaspread {

namespace {

std::int64_t toSigned(std::uint64_t Number) {
  return static_cast<std::int64_t>(Number);
}

std::uint64_t toUnsigned(std::int64_t Number) {
  return static_cast<std::uint64_t>(Number);
}

milli_tokens readTokens(std::int64_t From) {
  if (From < 0)
    throw malformed_message("negative tokens");
  return From;
}

idl::AskRow write(const ask_row &From) {
  idl::AskRow To;
  To.limit = From.Limit;
  To.want = From.Want;
  To.held = From.Held;
  To.returned = From.Returned;
  return To;
}

ask_row read(const idl::AskRow &From) {
  return {readNumber<limit_id>(From.limit), readTokens(From.want),
          readTokens(From.held), readTokens(From.returned)};
}

idl::GrantRow write(const grant_row &From) {
  idl::GrantRow To;
  To.limit = From.Limit;
  To.tokens = From.Tokens;
  To.left = From.Left;
  To.sparePerSecond = From.SparePerSecond;
  return To;
}

grant_row read(const idl::GrantRow &From) {
  return {readNumber<limit_id>(From.limit), readTokens(From.tokens),
          readTokens(From.left), readTokens(From.sparePerSecond)};
}

idl::Mate write(const share_mate &From) {
  idl::Mate To;
  To.name = From.Name;
  To.incarnation = toSigned(From.Incarnation);
  return To;
}

share_mate read(const idl::Mate &From) {
  return {readName(From.name), toUnsigned(From.incarnation)};
}

} // namespace

void writeTokenAsk(const token_ask &Ask, idl::Datagram &Body) {
  idl::TokenAsk To;
  To.incarnation = toSigned(Ask.Incarnation);
  To.sequence = toSigned(Ask.Sequence);
  To.accepted = toSigned(Ask.Accepted);
  for (const ask_row &Row : Ask.Rows)
    To.rows.push_back(write(Row));
  Body.__set_tokenAsk(To);
}

token_ask readTokenAsk(const idl::TokenAsk &From) {
  token_ask To;
  To.Incarnation = toUnsigned(From.incarnation);
  To.Sequence = toUnsigned(From.sequence);
  To.Accepted = toUnsigned(From.accepted);
  for (const idl::AskRow &Row : From.rows)
    To.Rows.push_back(read(Row));
  return To;
}

void writeTokenGrant(const token_grant &Grant, idl::Datagram &Body) {
  idl::TokenGrant To;
  To.incarnation = toSigned(Grant.Incarnation);
  To.sequence = toSigned(Grant.Sequence);
  To.configVersion = toSigned(Grant.ConfigVersion);
  To.shares = static_cast<std::int32_t>(Grant.Shares);
  for (const grant_row &Row : Grant.Rows)
    To.rows.push_back(write(Row));
  Body.__set_tokenGrant(To);
}

token_grant readTokenGrant(const idl::TokenGrant &From) {
  token_grant To;
  To.Incarnation = toUnsigned(From.incarnation);
  To.Sequence = toUnsigned(From.sequence);
  To.ConfigVersion = toUnsigned(From.configVersion);
  To.Shares = readNumber<std::uint32_t>(From.shares);
  for (const idl::GrantRow &Row : From.rows)
    To.Rows.push_back(read(Row));
  return To;
}

void writePromiseRequest(const promise_request &Request, idl::Datagram &Body) {
  idl::PromiseRequest To;
  To.sender = write(Request.From);
  To.sequence = toSigned(Request.Sequence);
  for (const promise_row &Row : Request.Rows) {
    idl::PromiseRow Promise;
    Promise.index = Row.Index;
    Promise.version = toSigned(Row.Version);
    To.rows.push_back(Promise);
  }
  Body.__set_promiseRequest(To);
}

promise_request readPromiseRequest(const idl::PromiseRequest &From) {
  promise_request To;
  To.From = read(From.sender);
  To.Sequence = toUnsigned(From.sequence);
  for (const idl::PromiseRow &Row : From.rows)
    To.Rows.push_back(
        {readNumber<std::uint16_t>(Row.index), toUnsigned(Row.version)});
  return To;
}

void writePromiseReply(const promise_reply &Reply, idl::Datagram &Body) {
  idl::PromiseReply To;
  To.sender = write(Reply.From);
  To.sequence = toSigned(Reply.Sequence);
  for (const std::uint16_t Index : Reply.Indexes)
    To.indexes.push_back(Index);
  Body.__set_promiseReply(To);
}

promise_reply readPromiseReply(const idl::PromiseReply &From) {
  promise_reply To;
  To.From = read(From.sender);
  To.Sequence = toUnsigned(From.sequence);
  for (const std::int32_t Index : From.indexes)
    To.Indexes.push_back(readNumber<std::uint16_t>(Index));
  return To;
}

void writeCreditAsk(const credit_ask_message &Ask, idl::Datagram &Body) {
  idl::CreditAsk To;
  To.serviceId = toSigned(Ask.Service);
  To.wanted = static_cast<std::int32_t>(Ask.Wanted);
  To.sequence = toSigned(Ask.Sequence);
  Body.__set_creditAsk(To);
}

credit_ask_message readCreditAsk(const idl::CreditAsk &From) {
  return {toUnsigned(From.serviceId), readNumber<std::uint32_t>(From.wanted),
          toUnsigned(From.sequence)};
}

void writeCreditGrant(const credit_grant_message &Grant, idl::Datagram &Body) {
  idl::CreditGrant To;
  To.serviceId = toSigned(Grant.Service);
  To.count = static_cast<std::int32_t>(Grant.Count);
  To.id = toSigned(Grant.Id);
  To.sequence = toSigned(Grant.Sequence);
  To.lifetimeMs = static_cast<std::int32_t>(Grant.Lifetime.count());
  Body.__set_creditGrant(To);
}

credit_grant_message readCreditGrant(const idl::CreditGrant &From) {
  return {
      toUnsigned(From.serviceId), readNumber<std::uint32_t>(From.count),
      toUnsigned(From.id), toUnsigned(From.sequence),
      std::chrono::milliseconds(readNumber<std::uint32_t>(From.lifetimeMs))};
}

} // namespace magnoliaspread
