/// Small HTTP pages served on the control thread: the admin port, and the ports
/// for the directory, the readiness page and peers.
#ifndef MAGNOLIASPREAD_ADMIN_P_H
#define MAGNOLIASPREAD_ADMIN_P_H

#include <magnoliaspread/error.h>
#include <magnoliaspread/settings.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <string>
#include <vector>

namespace magnoliaspread {

struct admin_answer {
  unsigned Status = 200;
  std::string ContentType = "application/json";
  std::string Body;
};

struct admin_page {
  std::string Path;
  std::function<admin_answer()> Make;
};

class admin_port {
public:
  using request = boost::beast::http::request<boost::beast::http::string_body>;
  using page_handler = std::function<admin_answer(const request &Request)>;

  admin_port(boost::asio::io_context &Context, std::vector<admin_page> Pages);
  admin_port(boost::asio::io_context &Context, page_handler Handler);

  /// BadSettings when the port can't be opened.
  status open(const endpoint_address &Where);
  void close();

private:
  void accept();

  boost::asio::io_context &Context;
  page_handler Handler;
  boost::asio::ip::tcp::acceptor Acceptor;
};

} // namespace magnoliaspread

#endif
