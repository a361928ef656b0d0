/// Exchanges one request and its whole answer on a connection to a target.
#ifndef MAGNOLIASPREAD_TARGET_CALL_P_H
#define MAGNOLIASPREAD_TARGET_CALL_P_H

#include "bodymemory_p.h"
#include "caller_watch_p.h"
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
  /// Time without the answer's head after which MayAbandon is called; zero
  /// waits until the deadline.
  std::chrono::milliseconds HeadTimeout{0};
  /// Whether an unresponsive target may be abandoned for another one.
  std::function<bool()> MayAbandon;
  /// Cancel the call when the caller leaves.
  bool CancelWithCaller = false;
  /// Budget of the answer's body; an answer that exceeds it is aborted.
  memory_budget *Memory = nullptr;
};

enum class call_end : std::uint8_t {
  /// The whole answer was received.
  Answered,
  /// The target reported that it did not run the request.
  NotRun,
  Misdirected,
  /// The connection broke, or the answer is not one to the request.
  Broken,
  /// No answer within HeadTimeout.
  Unresponsive,
  DeadlinePassed,
  CallerGone,
};

struct call_result {
  call_end End = call_end::Broken;
  whole_answer Answer;
  /// Memory of the answer's body.
  std::optional<memory_reservation> BodyMemory;
  answer_head Head;
  /// The target announced that it leaves, in the final or an interim answer.
  bool Leaving = false;
  /// The target has sent bytes that are no answer, so the path to it works.
  bool Heard = false;
  /// Human-readable cause of a failure.
  std::string Detail;
  bool ConnectionReusable = false;
};

/// Sends the request and reads the answer.
asio::awaitable<call_result> callTarget(const gate_dialect &Dialect,
                                        caller_watch &Caller,
                                        outbound_connection &Outbound,
                                        target_call Call);

} // namespace magnoliaspread

#endif
