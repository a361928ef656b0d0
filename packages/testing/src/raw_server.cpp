#include <magnoliaspread/raw_server.h>

#include <boost/asio/write.hpp>

namespace magnoliaspread {

namespace asio = boost::asio;

raw_server::raw_server(std::string Sent)
    : Bytes(std::move(Sent)),
      Acceptor(Context, {asio::ip::make_address("127.0.0.1"), 0}),
      Port(Acceptor.local_endpoint().port()), Serving([this] { serve(); }) {}

raw_server::~raw_server() {
  Stopped = true;
  boost::system::error_code Ignored;
  // Ends the pending accept.
  tcp::socket Last(Context);
  Last.connect({asio::ip::make_address("127.0.0.1"), Port}, Ignored);
  Serving.join();
}

void raw_server::serve() {
  for (;;) {
    boost::system::error_code Failure;
    tcp::socket Socket = Acceptor.accept(Failure);
    if (Failure || Stopped)
      return;
    char Request[4096];
    Socket.read_some(asio::buffer(Request), Failure);
    asio::write(Socket, asio::buffer(Bytes), Failure);
    Socket.shutdown(tcp::socket::shutdown_send, Failure);
    // Until the client closes: a close with unread bytes would reset.
    Socket.read_some(asio::buffer(Request), Failure);
  }
}

} // namespace magnoliaspread
