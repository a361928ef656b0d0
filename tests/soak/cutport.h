/// A loopback port in front of a target whose connections can be cut.
#ifndef MAGNOLIASPREAD_SOAK_CUTPORT_H
#define MAGNOLIASPREAD_SOAK_CUTPORT_H

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <thread>
#include <vector>

namespace magnoliaspread {

enum class path_cut {
  None,
  /// Open connections are reset and new ones refused.
  Resets,
  /// Bytes and the packets of new connections are dropped. What an open
  /// connection holds is delivered when the cut ends.
  Hangs,
  /// Open connections live on; new ones are refused.
  OnlyNewFail
};

class cut_port {
public:
  explicit cut_port(std::uint16_t ForwardPort);
  ~cut_port();
  cut_port(const cut_port &) = delete;
  cut_port &operator=(const cut_port &) = delete;

  std::uint16_t port() const { return Port; }
  /// Returns when the cut is in effect.
  void apply(path_cut How);

private:
  using tcp = boost::asio::ip::tcp;
  struct link {
    tcp::socket Inbound;
    tcp::socket Outbound;
  };

  void listen();
  void acceptNext();
  void dropNewConnections();
  void set(path_cut How);
  boost::asio::awaitable<void> serve(std::shared_ptr<link> Link);
  boost::asio::awaitable<void> pump(std::shared_ptr<link> Link, bool Requests);

  boost::asio::io_context Context;
  tcp::acceptor Acceptor;
  std::uint16_t Port = 0;
  std::uint16_t ForwardPort;
  path_cut How = path_cut::None;
  std::vector<std::weak_ptr<link>> Links;
  /// Fill the queue of new connections, so that the kernel drops further ones.
  std::vector<tcp::socket> Fillers;
  std::thread Thread;
};

} // namespace magnoliaspread

#endif
