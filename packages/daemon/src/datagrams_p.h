/// Control datagrams between instances: one UDP socket on the internal port.
#ifndef MAGNOLIASPREAD_DATAGRAMS_P_H
#define MAGNOLIASPREAD_DATAGRAMS_P_H

#include <magnoliaspread/datagram.h>
#include <magnoliaspread/settings.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <vector>

namespace magnoliaspread {

/// Totals since the start of the process, for metrics.
struct datagram_counts {
  std::uint64_t Sent = 0;
  std::uint64_t SentBytes = 0;
  std::uint64_t Received = 0;
  std::uint64_t ReceivedBytes = 0;
  /// Truncated, replayed or malformed.
  std::uint64_t Bad = 0;
  std::uint64_t Forged = 0;
  /// Too large, or rejected by the network stack.
  std::uint64_t Unsent = 0;
};

class datagram_port {
public:
  using handler = std::function<void(const endpoint_address &From,
                                     const received_datagram &Datagram)>;

  datagram_port(boost::asio::io_context &Context, const fleet_key &Key,
                std::uint64_t Incarnation, handler Handler);

  /// BadSettings when the port can't be opened.
  status open(const endpoint_address &Where);

  /// Encodes once and sends to each address.
  void send(const std::vector<endpoint_address> &To,
            const control_message &Message);

  const datagram_counts &counts() const { return Counts; }

private:
  void receive();
  void handleDatagram(std::size_t Bytes);

  datagram_codec Codec;
  handler Handler;
  boost::asio::ip::udp::socket Socket;
  boost::asio::ip::udp::endpoint From;
  std::array<char, MaxDatagramBytes + 1> Buffer{};
  datagram_counts Counts;
};

} // namespace magnoliaspread

#endif
