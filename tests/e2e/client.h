/// A blocking HTTP client for tests: one exchange at a time.
#ifndef MAGNOLIASPREAD_E2E_CLIENT_H
#define MAGNOLIASPREAD_E2E_CLIENT_H

#include <boost/json.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace magnoliaspread {

struct http_call {
  std::string Method = "GET";
  std::string Target = "/";
  std::map<std::string, std::string> Fields{};
  std::string Body{};
  std::chrono::milliseconds Timeout{10000};
};

struct http_answer {
  /// 0 when no complete answer was received.
  unsigned Status = 0;
  std::map<std::string, std::string> Fields;
  std::string Body;

  boost::json::value json() const;
};

/// Makes one exchange over a new connection to 127.0.0.1.
http_answer call(std::uint16_t Port, const http_call &Call);

/// Sends raw bytes and returns everything received until the connection closes.
std::string exchangeRaw(std::uint16_t Port, const std::string &Bytes);

/// A connection for several exchanges.
class open_connection {
public:
  explicit open_connection(std::uint16_t Port);
  ~open_connection();
  open_connection(const open_connection &) = delete;
  open_connection &operator=(const open_connection &) = delete;

  http_answer call(const http_call &Call);

  /// Sends without waiting for the answers to earlier requests.
  void send(const http_call &Call);
  void sendRaw(const std::string &Bytes);
  /// The next answer, in the order of the requests.
  http_answer receive(std::chrono::milliseconds Timeout);

private:
  struct state;
  state *State;
};

} // namespace magnoliaspread

#endif
