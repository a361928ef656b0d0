#include "datagrams_p.h"

#include <boost/asio/buffer.hpp>

namespace magnoliaspread {

namespace asio = boost::asio;
using asio::ip::udp;

datagram_port::datagram_port(asio::io_context &Context, const fleet_key &Key,
                             std::uint64_t Incarnation, handler Handler)
    : Codec(Key, Incarnation), Handler(std::move(Handler)), Socket(Context) {}

status datagram_port::open(const endpoint_address &Where) {
  boost::system::error_code Failure;
  const auto Address = asio::ip::make_address(Where.Address, Failure);
  const udp::endpoint Endpoint(Address, Where.Port);
  if (!Failure)
    Socket.open(Endpoint.protocol(), Failure);
  if (!Failure)
    Socket.bind(Endpoint, Failure);
  if (!Failure)
    Socket.non_blocking(true, Failure);
  if (Failure)
    return error{error_kind::BadSettings,
                 "internal port over UDP: " + Failure.message(),
                 {}};
  receive();
  return {};
}

void datagram_port::send(const std::vector<endpoint_address> &To,
                         const control_message &Message) {
  const result<std::string> Encoded = Codec.encode(Message);
  if (failed(Encoded)) {
    ++Counts.Unsent;
    return;
  }
  const std::string &Bytes = valueOf(Encoded);
  for (const endpoint_address &Where : To) {
    boost::system::error_code Failure;
    const auto Address = asio::ip::make_address(Where.Address, Failure);
    if (!Failure)
      Socket.send_to(asio::buffer(Bytes), udp::endpoint(Address, Where.Port), 0,
                     Failure);
    if (Failure) {
      ++Counts.Unsent;
      continue;
    }
    ++Counts.Sent;
    Counts.SentBytes += Bytes.size();
  }
}

void datagram_port::receive() {
  Socket.async_receive_from(
      asio::buffer(Buffer), From,
      [this](boost::system::error_code Failure, std::size_t Bytes) {
        if (Failure == asio::error::operation_aborted)
          return;
        if (!Failure)
          handleDatagram(Bytes);
        receive();
      });
}

void datagram_port::handleDatagram(std::size_t Bytes) {
  ++Counts.Received;
  Counts.ReceivedBytes += Bytes;
  const result<received_datagram> Decoded =
      Codec.decode(std::string_view(Buffer.data(), Bytes));
  if (failed(Decoded)) {
    const bool Forged = errorOf(Decoded).Kind == error_kind::ForgedDatagram;
    ++(Forged ? Counts.Forged : Counts.Bad);
    return;
  }
  Handler({From.address().to_string(), From.port()}, valueOf(Decoded));
}

} // namespace magnoliaspread
