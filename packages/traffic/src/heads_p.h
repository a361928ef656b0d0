/// Rewrites request heads for the next hop.
#ifndef MAGNOLIASPREAD_HEADS_P_H
#define MAGNOLIASPREAD_HEADS_P_H

#include "dispatch_p.h"
#include "net_p.h"

#include <magnoliaspread/admit.h>
#include <magnoliaspread/fleetauth.h>

namespace magnoliaspread {

using request_header = http::request_header<>;

/// The fields that the fleet reads; views into \p Head.
request_head readHead(const request_header &Head);

/// The head for a target: without keys, hop-by-hop fields and the fleet's own
/// fields; with the workspace and the time left.
request_header targetHead(const request_header &Head,
                          const admitted_request &Request,
                          const config_index &Index, steady_time Now);

/// Inputs of the signature of a head for a peer instance.
struct peer_signer {
  /// Name of this instance.
  std::string_view From;
  const fleet_secret &Secret;
  wall_time Wall;
};

/// The head for a peer instance, signed.
request_header peerHead(const request_header &Head,
                        const admitted_request &Request,
                        const config_index &Index, steady_time Now,
                        const peer_signer &Signer, std::uint64_t CreditGrant);

/// Sender and credit of a verified head from a peer instance.
forwarded_origin originOf(const request_header &Head);

/// PeerRejected when the head lacks a valid, recent signature of the fleet.
status verifyPeer(const request_header &Head, const fleet_secret &Secret,
                  wall_time Wall);

/// Checks a head from a peer instance. Fails with PeerRejected, or when this
/// instance does not know the workspace or service.
result<admitted_request> admitForwarded(const request_header &Head,
                                        const config_index &Index,
                                        const fleet_secret &Secret,
                                        steady_time Now, wall_time Wall);

} // namespace magnoliaspread

#endif
