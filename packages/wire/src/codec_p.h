/// Conversions between the messages of coordination and their Thrift form.
/// The readers throw malformed_message for values out of range.
#ifndef MAGNOLIASPREAD_CODEC_P_H
#define MAGNOLIASPREAD_CODEC_P_H

#include <magnoliaspread/datagram.h>

#include <control_types.h>

#include <cstdint>
#include <limits>
#include <stdexcept>
#include <string>

namespace magnoliaspread {

/// Caught inside the codec, where Thrift's own exceptions are.
class malformed_message : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// \p Sender is the sender of the frame.
void writeMember(const member_message &Message, std::uint64_t Sender,
                 idl::Datagram &Body);
void writeQuota(const quota_message &Message, idl::Datagram &Body);
void writeQuarantine(const quarantine_news &News, idl::Datagram &Body);
void writeCredit(const credit_message &Message, idl::Datagram &Body);
void writeNews(const object_news &News, idl::Datagram &Body);
void writeView(const view_ask &Ask, idl::Datagram &Body);
void writeView(const view_reply &Reply, idl::Datagram &Body);

/// Read the field of \p Body that is set.
heartbeat_message readHeartbeat(const idl::Heartbeat &From,
                                std::uint64_t Sender);
summary_message readSummaryNews(const idl::SummaryNews &From,
                                std::uint64_t Sender);
rows_message readRows(const idl::Rows &From);
rows_request readRowsRequest(const idl::RowsRequest &From);
token_ask readTokenAsk(const idl::TokenAsk &From);
token_grant readTokenGrant(const idl::TokenGrant &From);
promise_request readPromiseRequest(const idl::PromiseRequest &From);
promise_reply readPromiseReply(const idl::PromiseReply &From);
quarantine_news readQuarantine(const idl::QuarantineNews &From);
credit_ask_message readCreditAsk(const idl::CreditAsk &From);
credit_grant_message readCreditGrant(const idl::CreditGrant &From);
object_news readNews(const idl::ObjectNews &From);
view_ask readViewAsk(const idl::ViewAsk &From);
view_reply readViewReply(const idl::ViewReply &From);

/// Names are checked for their length, numbers for their range.
std::string readName(const std::string &From);

template <class Narrow> Narrow readNumber(std::int64_t From) {
  if (From < static_cast<std::int64_t>(std::numeric_limits<Narrow>::min()) ||
      From > static_cast<std::int64_t>(std::numeric_limits<Narrow>::max()))
    throw malformed_message("number out of range");
  return static_cast<Narrow>(From);
}

} // namespace magnoliaspread

#endif
