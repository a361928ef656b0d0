/// Maps the header fields of the gate's callers and targets to the values that
/// the gate uses. A dialect only parses and formats; it makes no decisions.
#ifndef MAGNOLIASPREAD_GATE_DIALECT_H
#define MAGNOLIASPREAD_GATE_DIALECT_H

#include <magnoliaspread/error.h>
#include <magnoliaspread/placer.h>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliaspread {

using gate_request_head = boost::beast::http::request_header<>;
using gate_answer_head = boost::beast::http::response_header<>;

/// Parsed head of a caller's request.
struct caller_head {
  std::string_view Host;
  std::string_view Id;
  std::string_view Key;
  /// Affinity key; empty if none.
  std::string_view Object;
  /// Timeout of the caller.
  std::optional<std::chrono::milliseconds> CallerTimeout;
};

/// Fields that the gate adds to a request for a target.
struct target_head {
  std::string_view TargetName;
  /// Empty on routes without one.
  std::string_view Workspace;
  std::chrono::milliseconds TimeLeft{0};
};

/// Parsed head of a target's answer.
struct answer_head {
  /// The answer belongs to another request.
  bool WrongRequestId = false;
  /// The answer names several requests.
  bool Ambiguous = false;
  /// The answer carries a request id. A duplicate without one could be mistaken
  /// for the answer to a later request.
  bool Named = false;
  /// The target did not run the request.
  bool NotRun = false;
  /// Another process than the addressed one answered; the request did not run.
  bool Misdirected = false;
  /// The answer carries a target's signature.
  bool Signed = false;
  std::optional<target_report> Report;
  /// The target leaves and must get no new requests.
  bool Leaving = false;
  /// The target shed the request and wants no other for this long.
  std::optional<std::chrono::milliseconds> PauseFor;
  /// Requests per second that the target accepts from all instances together,
  /// until an answer without it.
  std::optional<double> RateLimit;
  /// The answer has a rate limit that is no number from 0 on.
  bool RateLimitUnreadable = false;
};

/// A caller's query for the instances to use.
struct directory_query {
  std::string Region;
  std::string DataCentre;
};

class gate_dialect {
public:
  gate_dialect() = default;
  gate_dialect(const gate_dialect &) = delete;
  gate_dialect &operator=(const gate_dialect &) = delete;
  virtual ~gate_dialect() = default;

  /// The views are valid as long as \p Head.
  virtual caller_head read(const gate_request_head &Head) const = 0;

  /// Rewrites a caller's head for a target: removes hop-by-hop fields and the
  /// key.
  virtual void rewriteRequest(gate_request_head &Head,
                              const target_head &Target) const = 0;

  /// Removes the fields that concern one connection only.
  virtual void eraseHopByHop(gate_request_head &Head) const = 0;

  virtual answer_head parseAnswerHead(const gate_answer_head &Head,
                                      std::string_view RequestId) const = 0;

  /// Rewrites a target's head for the caller.
  virtual void rewriteAnswer(gate_answer_head &Head) const = 0;

  /// Sets status and fields of an error answer.
  virtual void refuse(gate_answer_head &Head, const error &Error,
                      std::string_view RequestId) const = 0;

  /// Empty when \p Target is not a directory query.
  virtual std::optional<directory_query>
  readDirectory(std::string_view Target) const = 0;
  virtual std::string
  directoryAnswer(const std::vector<std::string> &Addresses,
                  std::chrono::milliseconds TimeToLive) const = 0;

  /// Whether \p Target is the path of the readiness probe.
  virtual bool isReadinessProbe(std::string_view Target) const = 0;
};

} // namespace magnoliaspread

#endif
