/// One exchange on an outbound connection: streams the request's body out and
/// the answer back, with backpressure in both directions.
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

/// The caller's side of one exchange. Buffers the start of the body so that an
/// attempt that failed early can be retried.
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

  /// Buffers up to \p Bytes of the body for bufferedBody(), and rewinds.
  asio::awaitable<error_code> prefetch(std::size_t Bytes);

  /// The start of the body, as far as it was read and is still buffered.
  std::string_view bufferedBody() const {
    return {Replay.data(), Replay.size()};
  }

  /// True while everything read so far is buffered.
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
  /// "100 Continue" has not been sent yet.
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
  /// Null when no limited link is crossed.
  link_meter *UpMeter = nullptr;
  link_meter *DownMeter = nullptr;
  /// Close the caller's connection after the answer.
  bool ClosesCaller = false;
  /// Read the answer to its end even if the caller disconnects.
  bool OutlivesCaller = false;
  /// Longest answer body that is copied for repeats, in bytes.
  std::size_t MaxCopyBytes = 0;
};

/// Copy of a relayed answer, for repeats of its request.
struct answer_copy {
  std::string ContentType;
  std::string Body;
  /// The body is longer than MaxCopyBytes and not copied.
  bool Truncated = false;
};

struct relay_outcome {
  /// The whole answer was sent to the caller.
  bool Answered = false;
  /// The whole answer was received, whether or not the caller got it.
  bool Ran = false;
  answer_copy AnswerCopy;
  /// Valid when not Answered. The run state of its kind holds for this attempt.
  error Error;
  /// A byte of the request may have reached the other end.
  bool Sent = false;
  bool CallerReusable = false;
  bool OutboundReusable = false;
  /// The attempt timed out without an answer.
  bool Unresponsive = false;
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
