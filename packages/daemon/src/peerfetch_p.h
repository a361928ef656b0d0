/// Fetches the configuration from a peer instance over its internal port.
#ifndef MAGNOLIASPREAD_PEERFETCH_P_H
#define MAGNOLIASPREAD_PEERFETCH_P_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/error.h>
#include <magnoliaspread/fleetauth.h>
#include <magnoliaspread/settings.h>

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/message.hpp>
#include <functional>
#include <string>

namespace magnoliaspread {

/// Whether \p Head is that of a peer's fetch: PeerRejected if not.
status verifyFetch(const boost::beast::http::request_header<> &Head,
                   const fleet_secret &Secret, wall_time Now);

/// Calls \p Done on the context's thread with the table's JSON text, or with
/// PeerUnreachable or PeerRejected.
void fetchFromPeer(boost::asio::io_context &Context, const clock &Clock,
                   const fleet_secret &Secret, const endpoint_address &Peer,
                   std::function<void(result<std::string>)> Done);

} // namespace magnoliaspread

#endif
