/// How the gate's callers and targets put into HTTP what the gate needs to
/// know. A dialect only reads and writes; it decides nothing.
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

/// What a caller says in the head of a request.
struct caller_head {
  std::string_view Host;
  std::string_view Id;
  std::string_view Key;
  /// Requests about one object carry the same text; empty without one.
  std::string_view Object;
  /// How long the caller waits.
  std::optional<std::chrono::milliseconds> Patience;
};

/// What a target is told beside what the caller sent.
struct target_head {
  std::string_view TargetName;
  /// Empty on routes without one.
  std::string_view Workspace;
  std::chrono::milliseconds TimeLeft{0};
};

/// What the head of a target's answer says.
struct answer_head {
  /// It names another request than the one that was sent.
  bool OtherRequest = false;
  /// It names the request. A copy of an answer that names none could pass for
  /// the answer to a later request.
  bool Named = false;
  /// The target did not run the request.
  bool NotRun = false;
  /// Another process than the named one answered; nothing was run.
  bool Misdirected = false;
  /// A target vouches for the answer.
  bool Signed = false;
  std::optional<target_report> Report;
  /// The target leaves: it is to get no new requests.
  bool Leaving = false;
  /// The target turned the request away and wants no other for this long.
  std::optional<std::chrono::milliseconds> HoldFor;
};

/// A caller that asks which instances to use.
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

  /// The views hold as long as \p Head.
  virtual caller_head read(const gate_request_head &Head) const = 0;

  /// Makes a caller's head into the one for a target: fields of one hop and
  /// the key are taken out.
  virtual void address(gate_request_head &Head,
                       const target_head &Target) const = 0;

  virtual answer_head judge(const gate_answer_head &Head,
                            std::string_view RequestId) const = 0;

  /// Makes a target's head into the one for the caller.
  virtual void pass(gate_answer_head &Head) const = 0;

  /// The status and the fields of an answer of the gate's own.
  virtual void refuse(gate_answer_head &Head, const error &Error,
                      std::string_view RequestId) const = 0;

  /// Empty when \p Target is not a question for instances.
  virtual std::optional<directory_query>
  readDirectory(std::string_view Target) const = 0;
  virtual std::string
  directoryAnswer(const std::vector<std::string> &Addresses,
                  std::chrono::milliseconds KeepFor) const = 0;

  /// Whether \p Target asks if this instance takes requests.
  virtual bool isReadiness(std::string_view Target) const = 0;
};

} // namespace magnoliaspread

#endif
