/// Checks of a request's head: route, key, deadline and marks. Pure.
#ifndef MAGNOLIASPREAD_ADMIT_H
#define MAGNOLIASPREAD_ADMIT_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/error.h>
#include <magnoliaspread/index.h>

#include <optional>
#include <string>
#include <string_view>

namespace magnoliaspread {

/// Header fields that mean something to the fleet, as the caller sent them.
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

/// A request that may be steered.
struct admitted_request {
  std::string Id;
  service_handle Service;
  /// Invalid on a route that is open to all.
  workspace_handle Workspace;
  steady_time Deadline;
  /// May be sent again after a first attempt that may have run.
  bool Repeatable = false;
  /// Marked not repeatable: runs at most once.
  bool AtMostOnce = false;
  std::string IdempotencyKey;
  std::string Ticket;
};

/// \p FreshId is an id not used before; a valid id of the caller's is put in
/// front of it.
result<admitted_request> admitRequest(const config_index &Index,
                                      const request_head &Head, steady_time Now,
                                      std::string_view FreshId);

/// The caller's key without the scheme in front of it; empty if none came.
std::string_view keyOf(const request_head &Head);

} // namespace magnoliaspread

#endif
