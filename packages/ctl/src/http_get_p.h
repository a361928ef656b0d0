/// Concurrent HTTP GET requests to several addresses.
#ifndef MAGNOLIASPREAD_HTTP_GET_P_H
#define MAGNOLIASPREAD_HTTP_GET_P_H

#include <magnoliaspread/error.h>
#include <magnoliaspread/settings.h>

#include <chrono>
#include <string>
#include <vector>

namespace magnoliaspread {

/// The bodies of the answers with status 200, in the order of \p Addresses.
/// Errors: PeerUnreachable, PeerRejected (another status).
std::vector<result<std::string>>
httpGetAll(const std::vector<endpoint_address> &Addresses,
           const std::string &Target, std::chrono::milliseconds Timeout);

} // namespace magnoliaspread

#endif
