/// A loopback proxy that spoils the connections which pass through it.
#ifndef MAGNOLIASPREAD_SOAK_PROXY_H
#define MAGNOLIASPREAD_SOAK_PROXY_H

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <cstdint>
#include <memory>
#include <thread>

namespace magnoliaspread {

enum class link_fault {
  None,
  /// Every piece of data comes late.
  Delay,
  /// Data is held back, both ways or one way.
  Silent,
  NoRequests,
  NoAnswers,
  /// Connections are reset.
  Reset
};

inline constexpr int LinkFaults = 6;

/// Passes connections on to one port of 127.0.0.1. Held data goes on once the
/// fault is over, as after a cut of the network.
class fault_proxy {
public:
  explicit fault_proxy(std::uint16_t Upstream);
  ~fault_proxy();
  fault_proxy(const fault_proxy &) = delete;
  fault_proxy &operator=(const fault_proxy &) = delete;

  std::uint16_t port() const { return Port; }
  void setFault(link_fault Now) { Fault = Now; }

private:
  using tcp = boost::asio::ip::tcp;
  struct link {
    tcp::socket Caller;
    tcp::socket Server;
  };
  enum class direction { Requests, Answers };

  boost::asio::awaitable<void> accept();
  boost::asio::awaitable<void> serve(std::shared_ptr<link> Link);
  boost::asio::awaitable<void> pump(std::shared_ptr<link> Link, direction Way);
  boost::asio::awaitable<void> waitFor(direction Way);

  boost::asio::io_context Context;
  tcp::acceptor Acceptor;
  std::uint16_t Port = 0;
  std::uint16_t Upstream;
  std::atomic<link_fault> Fault = link_fault::None;
  std::thread Thread;
};

} // namespace magnoliaspread

#endif
