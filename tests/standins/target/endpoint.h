/// One stand-in target: an HTTP endpoint with slots and injectable faults.
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
  /// Added to the processing time of each request.
  std::chrono::milliseconds Slow{0};
  /// Rejects every request as not run.
  bool Shed = false;
  /// Sends answers with a wrong request id.
  bool WrongRequestId = false;
  /// Reports 0 running requests in every answer.
  bool ReportNoLoad = false;
  /// Closes connections before an answer is complete.
  bool TruncateAnswers = false;
};

struct endpoint_options {
  std::chrono::milliseconds Work{5};
  /// Time until a crashed target listens again.
  std::chrono::milliseconds Restart{1000};
  /// Requests accepted beyond the slots.
  std::uint32_t Backlog = 2;
};

class endpoint {
public:
  endpoint(boost::asio::io_context &Context, const target_row &Row,
           const endpoint_options &Options, target_record &Record);

  void listen();

  /// Closes every connection and stops listening for Options.Restart.
  void crash();

  /// Keeps the current connections open without answering on them.
  void stallConnections();

  struct connection;

  /// One request: its query options, headers and body digest.
  struct parsed_request {
    std::string Path;
    std::string RequestId;
    std::string Workspace;
    std::string IdempotencyKey;
    std::string Nonce;
    bool HasWorkspaceKey = false;
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
  boost::asio::awaitable<bool> shed(connection &Connection,
                                    const parsed_request &Request, bool Keep);
  boost::asio::awaitable<bool>
  readBody(connection &Connection,
           boost::beast::http::request_parser<boost::beast::http::buffer_body>
               &Parser,
           parsed_request &Request);
  boost::asio::awaitable<void> waitForever();
  boost::asio::awaitable<bool> answer(connection &Connection,
                                      const parsed_request &Request);
  void recordRun(const parsed_request &Request);
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
