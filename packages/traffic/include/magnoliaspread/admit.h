/// Checks of a request's head: route, key, deadline and repeatability. Pure.
#ifndef MAGNOLIASPREAD_ADMIT_H
#define MAGNOLIASPREAD_ADMIT_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/error.h>
#include <magnoliaspread/index.h>

#include <optional>
#include <string>
#include <string_view>

namespace magnoliaspread {

/// Header fields that the fleet reads, unparsed.
struct request_head {
  std::string_view Method;
  /// Path and query.
  std::string_view Target;
  /// "Authorization: Bearer ..." or "X-Api-Key".
  std::string_view Authorization;
  std::string_view ApiKey;
  std::string_view RequestId;
  std::string_view DeadlineMs;
  std::string_view Repeatable;
  std::string_view IdempotencyKey;
  std::string_view Ticket;
};

/// A request that passed the checks of its head.
struct admitted_request {
  std::string Id;
  service_handle Service;
  /// Invalid on an open route.
  workspace_handle Workspace;
  steady_time Deadline;
  /// May be retried after an attempt that may have run.
  bool Repeatable = false;
  /// Marked as not repeatable: runs at most once.
  bool AtMostOnce = false;
  std::string IdempotencyKey;
  std::string Ticket;
};

/// \p FreshId must be unique; a valid id of the caller is prefixed to it.
result<admitted_request> admitRequest(const config_index &Index,
                                      const request_head &Head, steady_time Now,
                                      std::string_view FreshId);

/// The caller's key without its scheme; empty if none was sent.
std::string_view keyOf(const request_head &Head);

} // namespace magnoliaspread

#endif
