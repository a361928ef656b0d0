/// Conversion between control messages and their Thrift structures. The read
/// functions throw malformed_message for values out of range.
#ifndef MAGNOLIASPREAD_CODEC_P_H
#define MAGNOLIASPREAD_CODEC_P_H

#include <magnoliaspread/datagram.h>

#include <control_types.h>

#include <cstdint>
#include <limits>
#include <stdexcept>
#include <string>

namespace magnoliaspread {

/// Caught inside the codec, like Thrift's own exceptions.
class malformed_message : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// \p Sender is the incarnation in the frame. A message that names the same
/// incarnation omits it.
void writeMember(const member_message &Message, std::uint64_t Sender,
                 idl::Datagram &Body);
void writeQuota(const quota_message &Message, idl::Datagram &Body);
void writeQuarantine(const quarantine_update &Update, idl::Datagram &Body);
void writeCredit(const credit_message &Message, idl::Datagram &Body);
void writeObjectUpdate(const object_update &Update, idl::Datagram &Body);
void writeTargetLimit(const target_limit_message &Message, idl::Datagram &Body);
void writePath(const path_message &Message, idl::Datagram &Body);
void writeView(const view_request &Request, idl::Datagram &Body);
void writeView(const view_reply &Reply, idl::Datagram &Body);

/// Each decodes one field of the body.
heartbeat_message readHeartbeat(const idl::Heartbeat &From,
                                std::uint64_t Sender);
summary_message readSummary(const idl::SummaryNews &From, std::uint64_t Sender);
rows_message readRows(const idl::Rows &From);
rows_request readRowsRequest(const idl::RowsRequest &From);
token_request readTokenRequest(const idl::TokenAsk &From);
token_grant readTokenGrant(const idl::TokenGrant &From);
promise_request readPromiseRequest(const idl::PromiseRequest &From);
promise_reply readPromiseReply(const idl::PromiseReply &From);
quarantine_update readQuarantine(const idl::QuarantineNews &From);
credit_request_message readCreditRequest(const idl::CreditAsk &From);
credit_grant_message readCreditGrant(const idl::CreditGrant &From);
object_update readObjectUpdate(const idl::ObjectNews &From);
limit_update readLimitUpdate(const idl::LimitNews &From);
permit_request readPermitRequest(const idl::PermitAsk &From);
permit_grant readPermitGrant(const idl::PermitGrant &From);
path_query readPathQuery(const idl::PathAsk &From);
path_report readPathReport(const idl::PathReport &From);
view_request readViewRequest(const idl::ViewAsk &From);
view_reply readViewReply(const idl::ViewReply &From);

/// Rejects names longer than MaxNameBytes.
std::string readName(const std::string &From);

/// Rejects numbers out of the range of \p Integer.
template <class Integer> Integer readNumber(std::int64_t From) {
  if (From < static_cast<std::int64_t>(std::numeric_limits<Integer>::min()) ||
      From > static_cast<std::int64_t>(std::numeric_limits<Integer>::max()))
    throw malformed_message("number out of range");
  return static_cast<Integer>(From);
}

} // namespace magnoliaspread

#endif
