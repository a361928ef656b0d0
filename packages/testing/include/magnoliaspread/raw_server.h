/// A server that sends the same bytes to each connection's first request.
#ifndef MAGNOLIASPREAD_RAW_SERVER_H
#define MAGNOLIASPREAD_RAW_SERVER_H

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>
#include <thread>

namespace magnoliaspread {

/// Ends each connection in order behind its bytes. For requests of one piece.
class raw_server {
public:
  explicit raw_server(std::string Bytes);
  ~raw_server();
  raw_server(const raw_server &) = delete;
  raw_server &operator=(const raw_server &) = delete;

  std::uint16_t port() const { return Port; }

private:
  using tcp = boost::asio::ip::tcp;

  void serve();

  std::string Bytes;
  boost::asio::io_context Context;
  tcp::acceptor Acceptor;
  std::uint16_t Port;
  std::atomic<bool> Stopped = false;
  std::thread Serving;
};

} // namespace magnoliaspread

#endif
