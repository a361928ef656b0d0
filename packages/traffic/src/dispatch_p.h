/// Where a request is sent: to a target of this data centre or to a peer.
#ifndef MAGNOLIASPREAD_DISPATCH_P_H
#define MAGNOLIASPREAD_DISPATCH_P_H

#include "net_p.h"
#include "regionlimit_p.h"
#include "relay_p.h"

#include <magnoliaspread/admit.h>
#include <magnoliaspread/quarantine.h>
#include <magnoliaspread/view.h>

#include <optional>
#include <string>

namespace magnoliaspread {

struct dispatch_place {
  next_hop Kind = next_hop::Target;
  std::string Name;
  endpoint_address Address;
  /// Id of the peer's credit grant that the request uses; 0 is none.
  std::uint64_t CreditGrant = 0;
  /// Id of the place in its lane; 0 if it was placed without one.
  std::uint64_t Ticket = 0;
  /// Id of the attempt on a target.
  attempt_id Attempt = 0;
  /// The dispatcher's own handles.
  service_handle Service;
  region_handle Region;
  target_handle Target;
  instance_handle Peer;
  limit_handle Limit;
  steady_time Since;
};

/// Origin of a request that a peer instance forwarded.
struct forwarded_origin {
  std::string Peer;
  std::uint64_t CreditGrant = 0;
};

struct placement_request {
  const admitted_request *Request = nullptr;
  /// The configuration that the request's handles belong to.
  config_index_ptr Config;
  /// Set when a peer instance sent it: it is not forwarded again.
  std::optional<forwarded_origin> Forwarded;
  request_fingerprint Fingerprint = 0;
  /// Number of attempts already made.
  unsigned Attempt = 0;
};

class dispatcher {
public:
  dispatcher() = default;
  dispatcher(const dispatcher &) = delete;
  dispatcher &operator=(const dispatcher &) = delete;
  virtual ~dispatcher() = default;

  /// Applies a new view.
  virtual void publish(traffic_view_ptr View) = 0;

  /// Waits for a place, at most until the request's deadline. After an error
  /// nothing was sent.
  virtual asio::awaitable<result<dispatch_place>>
  place(const placement_request &Request) = 0;

  /// Runs periodic work; called once per control tick.
  virtual void tick() = 0;

  /// Adds the dispatcher's figures and messages to a report.
  virtual void fillReport(thread_report &Report) = 0;

  /// Handles a message of a peer.
  virtual void receive(const peer_credit_message &Message) = 0;
  virtual void receive(const quarantine_update &Update) = 0;

  /// Releases the place and records how its request ended.
  virtual void finished(const dispatch_place &Place,
                        const relay_outcome &Outcome) = 0;
};

} // namespace magnoliaspread

#endif
