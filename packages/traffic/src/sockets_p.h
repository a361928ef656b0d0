/// What the package's sources ask of plain sockets.
#ifndef MAGNOLIASPREAD_SOCKETS_P_H
#define MAGNOLIASPREAD_SOCKETS_P_H

#include "net_p.h"

#include <magnoliaspread/error.h>
#include <magnoliaspread/settings.h>

#include <functional>

namespace magnoliaspread {

/// Whether several acceptors of the fleet's threads may share a port.
enum class port_use : std::uint8_t { Alone, Shared };

/// Opens, binds and listens; BadSettings when the port can't be had.
status openPort(tcp::acceptor &Acceptor, const endpoint_address &Where,
                port_use Use);

/// Serves each connection with a coroutine of its own until the acceptor is
/// closed.
asio::awaitable<void>
acceptAll(asio::io_context &Context, tcp::acceptor &Acceptor,
          std::function<asio::awaitable<void>(tcp::socket)> Serve);

/// True when the peer has closed the connection. Takes no bytes.
bool hasClosed(tcp::socket &Socket);

/// Takes what the peer has sent ahead into \p Ahead, up to \p Most bytes in
/// all, and tells whether it has closed the connection: a close that comes
/// behind bytes is seen only when they have been taken.
bool readPipelined(tcp::socket &Socket, beast::flat_buffer &Pipelined,
                   std::size_t MaxBytes);

/// True when the peer has neither closed the connection nor sent bytes that
/// nobody asked for.
bool isIdle(tcp::socket &Socket);

} // namespace magnoliaspread

#endif
