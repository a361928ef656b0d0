/// Asio and Beast names that the traffic package's sources share.
#ifndef MAGNOLIASPREAD_NET_P_H
#define MAGNOLIASPREAD_NET_P_H

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace magnoliaspread {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using asio::ip::tcp;
using error_code = boost::system::error_code;

/// Completion token: the operation's error is returned, not thrown.
inline constexpr auto Awaited = asio::as_tuple(asio::use_awaitable);

} // namespace magnoliaspread

#endif
