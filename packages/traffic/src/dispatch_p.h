/// Where a request is sent: to a target of this data centre or to a peer.
#ifndef MAGNOLIASPREAD_DISPATCH_P_H
#define MAGNOLIASPREAD_DISPATCH_P_H

#include "net_p.h"
#include "relay_p.h"

#include <magnoliaspread/admit.h>
#include <magnoliaspread/view.h>

#include <string>

namespace magnoliaspread {

struct placement {
  upstream_kind Kind = upstream_kind::Target;
  std::string Name;
  endpoint_address Address;
};

struct placement_request {
  const admitted_request *Request = nullptr;
  /// Came from a peer instance: is not forwarded again.
  bool Forwarded = false;
  /// Number of attempts already made.
  unsigned Attempt = 0;
};

class dispatcher {
public:
  dispatcher() = default;
  dispatcher(const dispatcher &) = delete;
  dispatcher &operator=(const dispatcher &) = delete;
  virtual ~dispatcher() = default;

  /// Takes a new view into account.
  virtual void publish(traffic_view_ptr View) = 0;

  /// Waits for a place until the request's deadline at the latest; the error
  /// is final and true: nothing was sent.
  virtual asio::awaitable<result<placement>>
  place(const placement_request &Request) = 0;

  /// Gives the place back.
  virtual void finished(const placement &Place,
                        const relay_outcome &Outcome) = 0;
};

} // namespace magnoliaspread

#endif
