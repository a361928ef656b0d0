#include "sockets_p.h"

#include <magnoliaspread/log.h>

#include <algorithm>
#include <sys/socket.h>

namespace magnoliaspread {

namespace {

constexpr int ListenBacklog = 1024;
/// Pause after a failed accept, such as when out of file descriptors.
constexpr std::chrono::milliseconds AcceptPause{10};

using reuse_port =
    asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

/// Reads the next byte without consuming it.
std::size_t peek(tcp::socket &Socket, error_code &Failure) {
  Socket.non_blocking(true, Failure);
  char Byte = 0;
  return Socket.receive(asio::buffer(&Byte, 1), tcp::socket::message_peek,
                        Failure);
}

} // namespace

status openPort(tcp::acceptor &Acceptor, const endpoint_address &Where,
                port_use Use) {
  error_code Failure;
  const auto Address = asio::ip::make_address(Where.Address, Failure);
  const tcp::endpoint Endpoint(Address, Where.Port);
  if (!Failure)
    Acceptor.open(Endpoint.protocol(), Failure);
  if (!Failure)
    Acceptor.set_option(tcp::acceptor::reuse_address(true), Failure);
  if (!Failure && Use == port_use::Shared)
    Acceptor.set_option(reuse_port(true), Failure);
  if (!Failure)
    Acceptor.bind(Endpoint, Failure);
  if (!Failure)
    Acceptor.listen(ListenBacklog, Failure);
  if (!Failure)
    return {};
  return error{error_kind::BadSettings,
               "can't listen on " + Where.Address + ":" +
                   std::to_string(Where.Port) + ": " + Failure.message(),
               {}};
}

asio::awaitable<void>
acceptAll(asio::io_context &Context, tcp::acceptor &Acceptor,
          std::function<asio::awaitable<void>(tcp::socket)> Serve) {
  for (;;) {
    auto [Failure, Socket] = co_await Acceptor.async_accept(Awaited);
    if (Failure == asio::error::operation_aborted ||
        Failure == asio::error::bad_descriptor)
      co_return;
    if (Failure) {
      logEvent(log_level::Warning, "accept_failed",
               {{"detail", Failure.message()}});
      asio::steady_timer Pause(Context, AcceptPause);
      co_await Pause.async_wait(Awaited);
      continue;
    }
    asio::co_spawn(Context, Serve(std::move(Socket)), asio::detached);
  }
}

bool hasClosed(tcp::socket &Socket) {
  error_code Failure;
  const std::size_t Count = peek(Socket, Failure);
  return Failure != asio::error::would_block && Count == 0;
}

bool readPipelined(tcp::socket &Socket, beast::flat_buffer &Pipelined,
                   std::size_t MaxBytes) {
  constexpr std::size_t PieceBytes = 4096;
  error_code Failure;
  Socket.non_blocking(true, Failure);
  while (!Failure && Pipelined.size() < MaxBytes) {
    const std::size_t Piece = std::min(PieceBytes, MaxBytes - Pipelined.size());
    const std::size_t Count =
        Socket.read_some(Pipelined.prepare(Piece), Failure);
    Pipelined.commit(Count);
  }
  return Failure && Failure != asio::error::would_block;
}

bool isIdle(tcp::socket &Socket) {
  error_code Failure;
  peek(Socket, Failure);
  return Failure == asio::error::would_block;
}

} // namespace magnoliaspread
