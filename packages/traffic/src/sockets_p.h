/// Socket helpers of the traffic package.
#ifndef MAGNOLIASPREAD_SOCKETS_P_H
#define MAGNOLIASPREAD_SOCKETS_P_H

#include "net_p.h"

#include <magnoliaspread/error.h>
#include <magnoliaspread/settings.h>

#include <functional>

namespace magnoliaspread {

/// Whether acceptors of several threads may share a port.
enum class port_use : std::uint8_t { Alone, Shared };

/// Opens, binds and listens; BadSettings on failure.
status openPort(tcp::acceptor &Acceptor, const endpoint_address &Where,
                port_use Use);

/// Serves each connection in its own coroutine until the acceptor is closed.
asio::awaitable<void>
acceptAll(asio::io_context &Context, tcp::acceptor &Acceptor,
          std::function<asio::awaitable<void>(tcp::socket)> Serve);

/// True when the peer has closed the connection. Consumes no bytes.
bool hasClosed(tcp::socket &Socket);

/// Reads pipelined bytes into \p Pipelined, up to \p MaxBytes in all. True when
/// the peer has closed the connection; a close behind unread bytes can't be
/// seen.
bool readPipelined(tcp::socket &Socket, beast::flat_buffer &Pipelined,
                   std::size_t MaxBytes);

/// True when the peer has neither closed the connection nor sent unexpected
/// bytes.
bool isIdle(tcp::socket &Socket);

} // namespace magnoliaspread

#endif
