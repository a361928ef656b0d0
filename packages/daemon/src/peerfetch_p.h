/// Fetches from a peer instance over its internal port.
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
#include <string_view>

namespace magnoliaspread {

/// Targets and evacuations as the peer knows them, without the configuration.
inline constexpr const char *SnapshotPath = "/-/snapshot";

/// Checks that \p Head is a peer's signed fetch of \p Path. Errors:
/// PeerRejected.
status verifyFetch(const boost::beast::http::request_header<> &Head,
                   std::string_view Path, const fleet_secret &Secret,
                   wall_time Now);

/// Calls \p Done on the context's thread with the body of the peer's answer.
/// Errors: PeerUnreachable, PeerRejected.
void fetchFromPeer(boost::asio::io_context &Context, const clock &Clock,
                   const fleet_secret &Secret, const endpoint_address &Peer,
                   std::string_view Path,
                   std::function<void(result<std::string>)> Done);

} // namespace magnoliaspread

#endif
