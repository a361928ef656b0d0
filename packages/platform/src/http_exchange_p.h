/// HTTP requests to one server over pooled connections, paced and with a
/// timeout.
#ifndef MAGNOLIASPREAD_HTTP_EXCHANGE_P_H
#define MAGNOLIASPREAD_HTTP_EXCHANGE_P_H

#include <magnoliaspread/answerreader.h>
#include <magnoliaspread/http_store.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <list>
#include <string>
#include <unordered_map>

namespace magnoliaspread {

struct exchange_request {
  call_kind Kind = call_kind::Get;
  store_call Call;
  /// For sending the request and receiving the answer.
  std::chrono::milliseconds Timeout{1000};
};

enum class exchange_outcome : std::uint8_t {
  Answered,
  /// No connection, so no byte was sent.
  NotSent,
  /// Sent, but the connection broke, the timeout expired or the server
  /// reported an error of its own.
  NoAnswer,
  /// As NoAnswer, on a reused connection that the server closed while it was
  /// idle; not counted as a failure of the server.
  ClosedWhileIdle,
  /// The answer is of an era before the highest one heard. Its call may have
  /// had an effect that is lost.
  OlderEra,
  /// Not sent: the pacer allows no call before the deadline.
  OutOfTime,
};

struct exchange_reply {
  exchange_outcome Outcome = exchange_outcome::OutOfTime;
  /// HTTP status code.
  unsigned Status = 0;
  std::string Body;
  store_era Era = 0;
};

class http_exchange {
public:
  http_exchange(boost::asio::io_context &Io,
                const http_store_settings &Settings, const clock &Clock,
                std::uint64_t Seed);

  /// Waits for a permit of the pacer, at most until \p Deadline. The object
  /// must outlive the coroutine.
  boost::asio::awaitable<exchange_reply> call(exchange_request Request,
                                              steady_time Deadline);

  /// Cancels all waits and closes all connections.
  void stop();

  bool stopped() const { return Stopped; }
  bool reachable() const { return Reachable; }
  /// The highest era in an answer so far.
  store_era era() const { return Era; }
  /// Lower bound on the server's current time; empty while no answer has
  /// reported one.
  std::optional<wall_time> serverTimeAtLeast() const;

  platform_counters Counters;

private:
  using http_request =
      boost::beast::http::request<boost::beast::http::string_body>;
  using http_response =
      boost::beast::http::response<boost::beast::http::string_body>;

  struct connection {
    explicit connection(boost::asio::io_context &Io) : Stream(Io) {}

    boost::asio::awaitable<read_answer> exchange(const http_request &Request);

    boost::beast::tcp_stream Stream;
    boost::beast::flat_buffer Buffer;
    bool Idle = false;
    /// An answer has been received on it before.
    bool Reused = false;
    steady_time LastUsed;
  };
  using connection_id = std::uint64_t;

  struct server_time {
    steady_time ReceivedAt;
    wall_time Time;
  };

  boost::asio::awaitable<bool> waitForPermit(steady_time Deadline);
  boost::asio::awaitable<void> sleepUntil(steady_time Until);
  /// 0 on failure.
  boost::asio::awaitable<connection_id> openConnection();
  boost::asio::awaitable<exchange_reply>
  exchangeOn(connection_id Id, const http_request &Request,
             std::chrono::milliseconds Timeout);
  /// 0 when no connection is idle.
  connection_id reuseIdle();
  void dropStaleIdle();
  void release(connection_id Id, bool KeepAlive);
  void closeIdle();
  void recordFailure(call_kind Kind, steady_time StartedAt);
  void recordAnswer(const http_response &Response);
  /// The era of \p Response.
  store_era noteEra(const http_response &Response);
  /// Moves the body out of \p Call.
  http_request makeRequest(store_call &Call) const;

  boost::asio::io_context &Io;
  http_store_settings Settings;
  const clock &Clock;
  call_pacer Pacer;
  std::unordered_map<connection_id, connection> Connections;
  connection_id LastConnection = 0;
  std::list<boost::asio::steady_timer> Sleepers;
  std::optional<server_time> ServerTime;
  store_era Era = 0;
  bool MalformedEraLogged = false;
  bool Reachable = true;
  bool Stopped = false;
};

} // namespace magnoliaspread

#endif
