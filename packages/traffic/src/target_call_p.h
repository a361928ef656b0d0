/// One request on one connection to a target, with the whole answer.
#ifndef MAGNOLIASPREAD_TARGET_CALL_P_H
#define MAGNOLIASPREAD_TARGET_CALL_P_H

#include "bodymemory_p.h"
#include "net_p.h"
#include "pool_p.h"

#include <magnoliaspread/gate_dialect.h>

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace magnoliaspread {

using whole_request = http::request<http::string_body>;
using whole_answer = http::response<http::string_body>;

struct target_call {
  const whole_request *Request = nullptr;
  std::string_view Id;
  steady_time Deadline;
  /// Wait for the head of the answer after which MayAbandon is asked; zero
  /// waits until the deadline.
  std::chrono::milliseconds HeadTimeout{0};
  /// Whether a target that stays silent may be left for another one.
  std::function<bool()> MayAbandon;
  /// Ends when the caller closes its connection.
  bool CancelWithCaller = false;
  /// Counts the answer's body. An answer that doesn't fit is broken off.
  memory_budget *Memory = nullptr;
};

/// The caller's side of a call.
struct caller_stream {
  tcp::socket &Socket;
  /// Takes what the caller sends before the answer.
  beast::flat_buffer &Pipelined;
};

/// Bytes that are taken of requests sent before the answer to an earlier one.
inline constexpr std::size_t MaxPipelinedBytes = 65536;

enum class call_end : std::uint8_t {
  /// The target gave its whole answer.
  Answered,
  /// The target said that it did not run the request.
  NotRun,
  Misdirected,
  /// Broke off, or what came is no answer to the request.
  Broken,
  /// No answer in HeadTimeout.
  Silent,
  DeadlinePassed,
  CallerGone,
};

struct call_result {
  call_end End = call_end::Broken;
  whole_answer Answer;
  /// Of the answer's body.
  std::optional<memory_reservation> BodyMemory;
  answer_head Head;
  /// The target said that it leaves, in the answer or in an interim one.
  bool Leaving = false;
  /// For people: what broke.
  std::string Detail;
  bool ConnectionReusable = false;
};

/// Sends the request and reads the answer. Of \p Caller nothing is read but
/// what it sends ahead.
asio::awaitable<call_result> callTarget(const gate_dialect &Dialect,
                                        caller_stream Caller,
                                        outbound_connection &Outbound,
                                        target_call Call);

} // namespace magnoliaspread

#endif
