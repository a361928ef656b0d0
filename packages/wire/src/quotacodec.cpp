#include "codec_p.h"

namespace magnoliaspread {

namespace {

milli_tokens readTokens(std::int64_t From) {
  if (From < 0)
    throw malformed_message("negative amount of tokens");
  return From;
}

idl::Mate write(const process_identity &From) {
  idl::Mate To;
  To.name = From.Name;
  To.incarnation = static_cast<std::int64_t>(From.Incarnation);
  return To;
}

process_identity read(const idl::Mate &From) {
  return {readName(From.name), static_cast<std::uint64_t>(From.incarnation)};
}

idl::AskRow write(const token_request_row &From) {
  idl::AskRow To;
  To.limit = From.Limit;
  To.want = From.Want;
  To.urgent = From.Urgent;
  To.held = From.Held;
  To.returned = From.Returned;
  return To;
}

token_request_row read(const idl::AskRow &From) {
  token_request_row To;
  To.Limit = readNumber<limit_id>(From.limit);
  To.Want = readTokens(From.want);
  To.Urgent = readTokens(From.urgent);
  To.Held = readTokens(From.held);
  To.Returned = readTokens(From.returned);
  return To;
}

idl::GrantRow write(const grant_row &From) {
  idl::GrantRow To;
  To.limit = From.Limit;
  To.tokens = From.Tokens;
  To.left = From.Left;
  To.sparePerSecond = From.SparePerSecond;
  To.mintedPerSecond = From.MintedPerSecond;
  return To;
}

grant_row read(const idl::GrantRow &From) {
  grant_row To;
  To.Limit = readNumber<limit_id>(From.limit);
  To.Tokens = readTokens(From.tokens);
  To.Left = readTokens(From.left);
  To.SparePerSecond = readTokens(From.sparePerSecond);
  To.MintedPerSecond = readTokens(From.mintedPerSecond);
  return To;
}

idl::PromiseRow write(const promise_row &From) {
  idl::PromiseRow To;
  To.index = From.Index;
  To.version = static_cast<std::int64_t>(From.Version);
  return To;
}

promise_row read(const idl::PromiseRow &From) {
  return {readNumber<std::uint16_t>(From.index),
          static_cast<std::uint64_t>(From.version)};
}

void writeMessage(const token_request &Request, idl::Datagram &Body) {
  idl::TokenAsk To;
  To.incarnation = static_cast<std::int64_t>(Request.Incarnation);
  To.sequence = static_cast<std::int64_t>(Request.Sequence);
  To.accepted = static_cast<std::int64_t>(Request.Accepted);
  for (const token_request_row &Row : Request.Rows)
    To.rows.push_back(write(Row));
  Body.__set_tokenAsk(To);
}

void writeMessage(const token_grant &Grant, idl::Datagram &Body) {
  idl::TokenGrant To;
  To.incarnation = static_cast<std::int64_t>(Grant.Incarnation);
  To.sequence = static_cast<std::int64_t>(Grant.Sequence);
  To.configVersion = static_cast<std::int64_t>(Grant.ConfigVersion);
  To.shares = static_cast<std::int32_t>(Grant.Shares);
  for (const grant_row &Row : Grant.Rows)
    To.rows.push_back(write(Row));
  Body.__set_tokenGrant(To);
}

void writeMessage(const promise_request &Request, idl::Datagram &Body) {
  idl::PromiseRequest To;
  To.sender = write(Request.From);
  To.sequence = static_cast<std::int64_t>(Request.Sequence);
  for (const promise_row &Row : Request.Rows)
    To.rows.push_back(write(Row));
  Body.__set_promiseRequest(To);
}

void writeMessage(const promise_reply &Reply, idl::Datagram &Body) {
  idl::PromiseReply To;
  To.sender = write(Reply.From);
  To.sequence = static_cast<std::int64_t>(Reply.Sequence);
  To.indexes.assign(Reply.Indexes.begin(), Reply.Indexes.end());
  Body.__set_promiseReply(To);
}

} // namespace

void writeQuota(const quota_message &Message, idl::Datagram &Body) {
  std::visit([&](const auto &Alternative) { writeMessage(Alternative, Body); },
             Message);
}

token_request readTokenRequest(const idl::TokenAsk &From) {
  token_request To;
  To.Incarnation = static_cast<std::uint64_t>(From.incarnation);
  To.Sequence = static_cast<std::uint64_t>(From.sequence);
  To.Accepted = static_cast<std::uint64_t>(From.accepted);
  for (const idl::AskRow &Row : From.rows)
    To.Rows.push_back(read(Row));
  return To;
}

token_grant readTokenGrant(const idl::TokenGrant &From) {
  token_grant To;
  To.Incarnation = static_cast<std::uint64_t>(From.incarnation);
  To.Sequence = static_cast<std::uint64_t>(From.sequence);
  To.ConfigVersion = static_cast<std::uint64_t>(From.configVersion);
  To.Shares = readNumber<std::uint32_t>(From.shares);
  for (const idl::GrantRow &Row : From.rows)
    To.Rows.push_back(read(Row));
  return To;
}

promise_request readPromiseRequest(const idl::PromiseRequest &From) {
  promise_request To;
  To.From = read(From.sender);
  To.Sequence = static_cast<std::uint64_t>(From.sequence);
  for (const idl::PromiseRow &Row : From.rows)
    To.Rows.push_back(read(Row));
  return To;
}

promise_reply readPromiseReply(const idl::PromiseReply &From) {
  promise_reply To;
  To.From = read(From.sender);
  To.Sequence = static_cast<std::uint64_t>(From.sequence);
  for (const std::int32_t Index : From.indexes)
    To.Indexes.push_back(readNumber<std::uint16_t>(Index));
  return To;
}

} // namespace magnoliaspread
