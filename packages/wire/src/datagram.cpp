#include <magnoliaspread/datagram.h>

#include "codec_p.h"

#include <magnoliaspread/config.h>

#include <algorithm>
#include <memory>
#include <sodium.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace magnoliaspread {

namespace {

using apache::thrift::TConfiguration;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;
using compact_protocol = TCompactProtocolT<TMemoryBuffer>;

constexpr unsigned char Magic[] = {'M', 'S'};
constexpr unsigned char FormatVersion = 1;
constexpr std::size_t SenderOffset = 3;
constexpr std::size_t SequenceOffset = 11;
constexpr int MaxNesting = 8;
constexpr std::size_t BitsPerByte = 8;

error badDatagram(std::string Detail) {
  return {error_kind::BadDatagram, std::move(Detail), {}};
}

void appendNumber(std::string &Out, std::uint64_t Number) {
  for (std::size_t I = sizeof(Number); I-- > 0;)
    Out += static_cast<char>(Number >> (I * BitsPerByte));
}

std::uint64_t readBigEndian(std::string_view Datagram, std::size_t Offset) {
  std::uint64_t Number = 0;
  for (std::size_t I = 0; I < sizeof(Number); ++I)
    Number = Number << BitsPerByte |
             static_cast<unsigned char>(Datagram[Offset + I]);
  return Number;
}

using datagram_tag = std::array<unsigned char, DatagramTagBytes>;

datagram_tag tagOf(const fleet_key &Key, std::string_view Signed) {
  datagram_tag Tag;
  crypto_generichash(Tag.data(), Tag.size(),
                     reinterpret_cast<const unsigned char *>(Signed.data()),
                     Signed.size(), Key.data(), Key.size());
  return Tag;
}

void writeBody(const control_message &Message, std::uint64_t Sender,
               idl::Datagram &Body) {
  if (const auto *Member = std::get_if<member_message>(&Message))
    writeMember(*Member, Sender, Body);
  else if (const auto *Quota = std::get_if<quota_message>(&Message))
    writeQuota(*Quota, Body);
  else if (const auto *Credit = std::get_if<credit_message>(&Message))
    writeCredit(*Credit, Body);
  else if (const auto *Update = std::get_if<object_update>(&Message))
    writeObjectUpdate(*Update, Body);
  else if (const auto *Limit = std::get_if<target_limit_message>(&Message))
    writeTargetLimit(*Limit, Body);
  else if (const auto *Path = std::get_if<path_message>(&Message))
    writePath(*Path, Body);
  else if (const auto *Request = std::get_if<view_request>(&Message))
    writeView(*Request, Body);
  else if (const auto *Reply = std::get_if<view_reply>(&Message))
    writeView(*Reply, Body);
  else
    writeQuarantine(std::get<quarantine_update>(Message), Body);
}

control_message readBody(const idl::Datagram &Body, std::uint64_t Sender) {
  if (Body.__isset.heartbeat)
    return member_message(readHeartbeat(Body.heartbeat, Sender));
  if (Body.__isset.summary)
    return member_message(readSummary(Body.summary, Sender));
  if (Body.__isset.rows)
    return member_message(readRows(Body.rows));
  if (Body.__isset.rowsRequest)
    return member_message(readRowsRequest(Body.rowsRequest));
  if (Body.__isset.tokenAsk)
    return quota_message(readTokenRequest(Body.tokenAsk));
  if (Body.__isset.tokenGrant)
    return quota_message(readTokenGrant(Body.tokenGrant));
  if (Body.__isset.promiseRequest)
    return quota_message(readPromiseRequest(Body.promiseRequest));
  if (Body.__isset.promiseReply)
    return quota_message(readPromiseReply(Body.promiseReply));
  if (Body.__isset.quarantine)
    return readQuarantine(Body.quarantine);
  if (Body.__isset.creditAsk)
    return credit_message(readCreditRequest(Body.creditAsk));
  if (Body.__isset.creditGrant)
    return credit_message(readCreditGrant(Body.creditGrant));
  if (Body.__isset.objectNews)
    return readObjectUpdate(Body.objectNews);
  if (Body.__isset.limitNews)
    return target_limit_message(readLimitUpdate(Body.limitNews));
  if (Body.__isset.permitAsk)
    return target_limit_message(readPermitRequest(Body.permitAsk));
  if (Body.__isset.permitGrant)
    return target_limit_message(readPermitGrant(Body.permitGrant));
  if (Body.__isset.pathAsk)
    return path_message(readPathQuery(Body.pathAsk));
  if (Body.__isset.pathReport)
    return path_message(readPathReport(Body.pathReport));
  if (Body.__isset.viewAsk)
    return readViewRequest(Body.viewAsk);
  if (Body.__isset.viewReply)
    return readViewReply(Body.viewReply);
  throw malformed_message("unknown kind");
}

struct body_limits {
  std::size_t Bytes = MaxDatagramBytes;
  std::size_t ListRows = MaxDatagramListRows;
};

idl::Datagram parseBody(std::string_view Body, const body_limits &Limits) {
  if (Body.size() > Limits.Bytes)
    throw malformed_message("too large");
  auto Config = std::make_shared<TConfiguration>(static_cast<int>(Limits.Bytes),
                                                 static_cast<int>(Limits.Bytes),
                                                 MaxNesting);
  auto *Bytes = reinterpret_cast<std::uint8_t *>(
      const_cast<char *>(Body.data())); // OBSERVE only reads
  auto Buffer = std::make_shared<TMemoryBuffer>(
      Bytes, static_cast<std::uint32_t>(Body.size()), TMemoryBuffer::OBSERVE,
      Config);
  compact_protocol Protocol(Buffer, static_cast<int>(Limits.Bytes),
                            static_cast<int>(Limits.ListRows));
  idl::Datagram Parsed;
  Parsed.read(&Protocol);
  if (Buffer->available_read() != 0)
    throw malformed_message("bytes after the body");
  return Parsed;
}

status checkFrame(const fleet_key &Key, std::string_view Datagram) {
  if (Datagram.size() > MaxDatagramBytes)
    return badDatagram("larger than allowed");
  if (Datagram.size() < DatagramHeaderBytes + DatagramTagBytes)
    return badDatagram("shorter than its frame");
  if (static_cast<unsigned char>(Datagram[0]) != Magic[0] ||
      static_cast<unsigned char>(Datagram[1]) != Magic[1])
    return badDatagram("not a control datagram");
  const std::size_t SignedBytes = Datagram.size() - DatagramTagBytes;
  const datagram_tag Tag = tagOf(Key, Datagram.substr(0, SignedBytes));
  if (sodium_memcmp(Tag.data(), Datagram.data() + SignedBytes, Tag.size()) != 0)
    return error{error_kind::ForgedDatagram, "wrong tag", {}};
  if (static_cast<unsigned char>(Datagram[2]) != FormatVersion)
    return badDatagram("unknown format version");
  return {};
}

} // namespace

result<fleet_key> parseFleetKey(std::string_view Hex) {
  fleet_key Key;
  std::size_t Length = 0;
  if (sodium_hex2bin(Key.data(), Key.size(), Hex.data(), Hex.size(), nullptr,
                     &Length, nullptr) != 0 ||
      Length != Key.size() || Hex.size() != 2 * Key.size())
    return error{
        error_kind::BadSettings, "fleet secret isn't 32 bytes in hex", {}};
  return Key;
}

result<std::string> encodeBody(const control_message &Message,
                               std::uint64_t Sender) {
  try {
    idl::Datagram Body;
    writeBody(Message, Sender, Body);
    auto Buffer = std::make_shared<TMemoryBuffer>();
    compact_protocol Protocol(Buffer);
    Body.write(&Protocol);
    return Buffer->getBufferAsString();
  } catch (const std::exception &Failure) {
    return badDatagram(Failure.what());
  }
}

result<control_message> decodeBody(std::string_view Body,
                                   std::uint64_t Sender) {
  try {
    return readBody(parseBody(Body, {}), Sender);
  } catch (const std::exception &Failure) {
    return badDatagram(Failure.what());
  }
}

result<std::string> encodeSnapshot(const view_reply &Reply) {
  return encodeBody(Reply, 0);
}

result<view_reply> decodeSnapshot(std::string_view Text) {
  try {
    const idl::Datagram Body = parseBody(Text, {MaxSnapshotBytes, MaxTargets});
    if (!Body.__isset.viewReply)
      throw malformed_message("not a snapshot");
    return readViewReply(Body.viewReply);
  } catch (const std::exception &Failure) {
    return badDatagram(Failure.what());
  }
}

result<std::string> datagram_codec::encode(const control_message &Message) {
  result<std::string> Body = encodeBody(Message, Incarnation);
  if (failed(Body))
    return Body;
  const std::size_t Bytes =
      DatagramHeaderBytes + valueOf(Body).size() + DatagramTagBytes;
  if (Bytes > MaxDatagramBytes)
    return badDatagram("message of " + std::to_string(Bytes) + " bytes");
  std::string Out(reinterpret_cast<const char *>(Magic), sizeof(Magic));
  Out.reserve(Bytes);
  Out += static_cast<char>(FormatVersion);
  appendNumber(Out, Incarnation);
  appendNumber(Out, ++LastSequence);
  Out += valueOf(Body);
  const datagram_tag Tag = tagOf(Key, Out);
  Out.append(reinterpret_cast<const char *>(Tag.data()), Tag.size());
  return Out;
}

result<received_datagram> datagram_codec::decode(std::string_view Datagram) {
  const status Frame = checkFrame(Key, Datagram);
  if (failed(Frame))
    return errorOf(Frame);
  received_datagram Received;
  Received.Sender = readBigEndian(Datagram, SenderOffset);
  Received.Sequence = readBigEndian(Datagram, SequenceOffset);
  if (Received.Sender == Incarnation)
    return badDatagram("sent by this process");
  if (!Replays.accept(Received.Sender, Received.Sequence))
    return badDatagram("received before");
  const std::size_t BodyBytes =
      Datagram.size() - DatagramHeaderBytes - DatagramTagBytes;
  result<control_message> Message = decodeBody(
      Datagram.substr(DatagramHeaderBytes, BodyBytes), Received.Sender);
  if (failed(Message))
    return errorOf(Message);
  Received.Message = std::move(valueOf(Message));
  return Received;
}

} // namespace magnoliaspread
