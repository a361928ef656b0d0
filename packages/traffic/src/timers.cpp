#include "timers_p.h"

#include <vector>

namespace magnoliaspread {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds LingerTime{1000};
constexpr std::size_t MaxLingerBytes = 1u << 20;

} // namespace

asio::awaitable<void> linger(tcp::socket &Socket) {
  error_code Ignored;
  Socket.shutdown(tcp::socket::shutdown_send, Ignored);
  socket_timeout Timer(Socket, LingerTime);
  std::vector<char> Sink(16384);
  for (std::size_t Taken = 0; Taken < MaxLingerBytes;) {
    auto [Failure, Count] =
        co_await Socket.async_read_some(asio::buffer(Sink), Awaited);
    if (Failure)
      co_return;
    Taken += Count;
  }
}

} // namespace magnoliaspread
