/// One exchange over an upstream connection: streams the request's body up and
/// the answer down, with back-pressure from both ends.
#ifndef MAGNOLIASPREAD_RELAY_P_H
#define MAGNOLIASPREAD_RELAY_P_H

#include "meter_p.h"
#include "net_p.h"
#include "pool_p.h"
#include "watchdog_p.h"

#include <magnoliaspread/error.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliaspread {

using caller_parser = http::request_parser<http::buffer_body>;

/// The caller's end of one exchange. Keeps the start of the body so that an
/// attempt that failed early can be made again.
class caller_side {
public:
  caller_side(tcp::socket &Socket, beast::flat_buffer &Buffer,
              caller_parser &Parser)
      : Socket(Socket), Buffer(Buffer), Parser(Parser) {}

  struct chunk {
    std::span<const char> Bytes;
    error_code Failure;
  };

  /// The next piece of the body; empty at its end.
  asio::awaitable<chunk> next();

  /// Reads the body up to \p Bytes ahead, so that held() has its start; the
  /// next() after it begins at the start again.
  asio::awaitable<error_code> prefetch(std::size_t Bytes);

  /// The start of the body, as far as it was read and is still kept.
  std::string_view bufferedBody() const {
    return {Replay.data(), Replay.size()};
  }

  /// True when all that was read can still be given again.
  bool canRewind() const { return !Overflowed; }
  void rewind() { Position = 0; }

  bool hasBody() const { return !Parser.is_done() || !Replay.empty(); }
  bool bodyEnded() const {
    return Parser.is_done() && (Overflowed || Position == Replay.size());
  }

  tcp::socket &Socket;
  beast::flat_buffer &Buffer;
  caller_parser &Parser;
  /// Bytes of the answer's header or body were sent to the caller.
  bool AnswerStarted = false;
  /// "100 Continue" is still owed.
  bool ContinuePending = false;

private:
  void bufferForReplay(std::span<const char> Bytes);
  asio::awaitable<error_code> sendContinue();

  std::vector<char> Chunk;
  std::vector<char> Replay;
  std::size_t Position = 0;
  bool Overflowed = false;
};

enum class next_hop : std::uint8_t { Target, Peer };

struct relay_request {
  /// The head to send, already rewritten for the next hop.
  http::request_header<> Head;
  std::string Id;
  next_hop To = next_hop::Target;
  steady_time Deadline;
  std::chrono::milliseconds ProgressTimeout{};
  /// Longest wait for the first byte of the answer; zero waits until the
  /// deadline.
  std::chrono::milliseconds FirstByteTimeout{};
  /// Meter what crosses a link, when it does.
  link_meter *UpMeter = nullptr;
  link_meter *DownMeter = nullptr;
  /// The caller's connection takes no further request.
  bool ClosesCaller = false;
  /// Goes on to the end of the answer when the caller is gone.
  bool OutlivesCaller = false;
  /// Longest body of an answer that is kept for repeats, in bytes.
  std::size_t CacheBytes = 0;
};

/// The answer as it passed through, for repeats of its request.
struct cached_answer {
  std::string ContentType;
  std::string Body;
  /// The body was longer than what is kept.
  bool Truncated = false;
};

struct relay_outcome {
  /// The caller has the whole answer.
  bool Answered = false;
  /// The upstream gave its whole answer, whether or not the caller has it.
  bool Ran = false;
  cached_answer Cached;
  /// What went wrong; meaningful when not Answered. Its kind's run state is
  /// true of this attempt.
  error Error;
  /// A byte of the request may have reached the other end.
  bool Sent = false;
  bool CallerReusable = false;
  bool OutboundReusable = false;
  /// The upstream took the request and then gave no sign of life.
  bool Silent = false;
  /// The connection broke before any answer.
  bool ConnectionLost = false;
  unsigned Status = 0;
  /// Requests in flight that the target reported with its answer.
  std::optional<std::uint32_t> LoadRunning;
  std::uint64_t BytesUp = 0;
  std::uint64_t BytesDown = 0;
};

asio::awaitable<relay_outcome> relayExchange(caller_side &Caller,
                                             outbound_connection &Outbound,
                                             relay_request Request);

} // namespace magnoliaspread

#endif
