/// A loopback TCP proxy that injects faults into its connections.
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
  /// Delays every chunk of data.
  Delay,
  /// Data is buffered, in both directions or in one.
  StallAll,
  StallRequests,
  StallAnswers,
  /// Resets connections.
  Reset
};

inline constexpr int LinkFaults = 6;

/// Forwards connections to one port of 127.0.0.1. Buffered data is delivered
/// when the fault ends, as after a network partition.
class fault_proxy {
public:
  explicit fault_proxy(std::uint16_t ForwardPort);
  ~fault_proxy();
  fault_proxy(const fault_proxy &) = delete;
  fault_proxy &operator=(const fault_proxy &) = delete;

  std::uint16_t port() const { return Port; }
  void setFault(link_fault Now) { Fault = Now; }

private:
  using tcp = boost::asio::ip::tcp;
  struct link {
    tcp::socket Inbound;
    tcp::socket Outbound;
  };
  enum class direction { Requests, Answers };

  boost::asio::awaitable<void> accept();
  boost::asio::awaitable<void> serve(std::shared_ptr<link> Link);
  boost::asio::awaitable<void> pump(std::shared_ptr<link> Link, direction Way);
  boost::asio::awaitable<void> applyFault(direction Way);

  boost::asio::io_context Context;
  tcp::acceptor Acceptor;
  std::uint16_t Port = 0;
  std::uint16_t ForwardPort;
  std::atomic<link_fault> Fault = link_fault::None;
  std::thread Thread;
};

} // namespace magnoliaspread

#endif
