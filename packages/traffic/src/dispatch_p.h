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
  /// Credit of the peer that the request is sent with; 0 is none.
  std::uint64_t CreditGrant = 0;
  /// Names the place in its lane; 0 when it came from none.
  std::uint64_t Ticket = 0;
  /// Names the attempt on a target.
  attempt_id Attempt = 0;
  /// The dispatcher's own handles.
  service_handle Service;
  region_handle Region;
  target_handle Target;
  instance_handle Peer;
  limit_handle Limit;
  steady_time Since;
};

/// A request that a peer instance has sent on.
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

  /// Takes a new view into account.
  virtual void publish(traffic_view_ptr View) = 0;

  /// Waits for a place until the request's deadline at the latest; the error
  /// is final and true: nothing was sent.
  virtual asio::awaitable<result<dispatch_place>>
  place(const placement_request &Request) = 0;

  /// Runs what is due; called once each control tick.
  virtual void tick() = 0;

  /// Adds the dispatcher's part to a frame.
  virtual void fillReport(traffic_frame &Report) = 0;

  /// Takes in a message of a peer.
  virtual void receive(const peer_credit_message &Message) = 0;
  virtual void receive(const quarantine_news &News) = 0;

  /// Gives the place back.
  virtual void finished(const dispatch_place &Place,
                        const relay_outcome &Outcome) = 0;
};

} // namespace magnoliaspread

#endif
