/// Runs one admitted request on targets.
#ifndef MAGNOLIASPREAD_GATE_RUN_P_H
#define MAGNOLIASPREAD_GATE_RUN_P_H

#include "caller_watch_p.h"
#include "gate_p.h"

#include <chrono>
#include <optional>
#include <string>

namespace magnoliaspread {

/// Result of one request.
struct request_outcome {
  std::optional<whole_answer> Answer;
  /// Memory of the answer's body.
  std::optional<memory_reservation> BodyMemory;
  error Error;
  /// Some target may have run it.
  bool MayHaveRun = false;
  std::uint32_t Sends = 0;
  std::uint32_t Unreachable = 0;
  /// Already reserved for the next attempt.
  std::optional<target_handle> Next;
  std::string Target;
  /// The peer that served it last, if any.
  std::string Peer;
  std::chrono::microseconds Waited{0};
};

/// Waits for a token and a target, and sends the request until an attempt ends
/// it. All references outlive the call.
asio::awaitable<request_outcome> runRequest(gate::state &State,
                                            caller_watch &Caller,
                                            const whole_request &Request,
                                            gate_request &Wanted);

/// Has a peer serve the request, while gate::state::canForward(). False when
/// none could be asked or each one has no path either; it has not run then. All
/// references outlive the call.
asio::awaitable<bool> forwardRequest(gate::state &State, caller_watch &Caller,
                                     const whole_request &Request,
                                     const gate_request &Wanted,
                                     request_outcome &Outcome);

} // namespace magnoliaspread

#endif
