/// One stand-in target: an HTTP server with a few slots and faults on demand.
#ifndef MAGNOLIASPREAD_TARGET_ENDPOINT_H
#define MAGNOLIASPREAD_TARGET_ENDPOINT_H

#include "record.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <list>
#include <magnoliaspread/table.h>
#include <memory>
#include <optional>
#include <string>

namespace magnoliaspread {

struct endpoint_faults {
  /// Added to the time that each request takes.
  std::chrono::milliseconds Slow{0};
  /// Refuses every request as not run.
  bool Shed = false;
  /// Answers carry the id of another request.
  bool Crossed = false;
  /// Reports no load whatever is running.
  bool Lying = false;
  /// Answers break off in the middle.
  bool CutAnswers = false;
};

struct endpoint_options {
  std::chrono::milliseconds Work{5};
  /// How long a crashed target stays away.
  std::chrono::milliseconds Restart{1000};
  /// Requests beyond the slots that wait for one.
  std::uint32_t Backlog = 2;
};

class endpoint {
public:
  endpoint(boost::asio::io_context &Context, const target_row &Row,
           const endpoint_options &Options, target_record &Record);

  void listen();

  /// Closes every connection and stops listening for the restart time.
  void crash();

  /// Present connections stay open and are never answered again.
  void silence();

  struct connection;

  /// What a request asks of the stand-in, from its query and headers.
  struct order {
    std::string Path;
    std::string RequestId;
    std::string Workspace;
    std::string IdempotencyKey;
    std::string Nonce;
    bool KeyCame = false;
    bool KeepAlive = true;
    std::optional<std::chrono::milliseconds> Work;
    std::size_t AnswerBytes = 0;
    bool Crash = false;
    std::uint64_t BodyBytes = 0;
    std::uint64_t BodyDigest = 0;
  };

  endpoint_faults Faults;

private:
  boost::asio::awaitable<void> acceptAll();
  boost::asio::awaitable<void> serve(std::shared_ptr<connection> Connection);
  boost::asio::awaitable<bool> serveRequest(connection &Connection);
  boost::asio::awaitable<bool> work(connection &Connection,
                                    std::chrono::milliseconds Time);
  boost::asio::awaitable<void> restartLater();
  boost::asio::awaitable<bool> shed(connection &Connection, const order &Order,
                                    bool Keep);
  boost::asio::awaitable<bool>
  takeBody(connection &Connection,
           boost::beast::http::request_parser<boost::beast::http::buffer_body>
               &Parser,
           order &Order);
  boost::asio::awaitable<void> staySilent();
  boost::asio::awaitable<bool> answer(connection &Connection,
                                      const order &Order);
  void recordRun(const order &Order);
  endpoint_record &row() { return Record.Endpoints[Row.Name]; }

  boost::asio::io_context &Context;
  target_row Row;
  const endpoint_options &Options;
  target_record &Record;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::list<std::shared_ptr<connection>> Connections;
};

} // namespace magnoliaspread

#endif
