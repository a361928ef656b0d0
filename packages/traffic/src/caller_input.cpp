#include "caller_input_p.h"

#include "pool_p.h"
#include "sockets_p.h"

namespace magnoliaspread {

caller_input::caller_input(tcp::socket &Socket, const clock &Clock,
                           limit_function Limit, std::function<void()> OnChange)
    : Shared(std::make_shared<state>(
          state{Socket, Clock, std::move(Limit), std::move(OnChange),
                beast::flat_buffer(MaxPipelinedBytes + MaxBufferedBytes),
                Clock.now()})) {}

caller_input::~caller_input() { stop(); }

void caller_input::resume() {
  if (Shared->Waiting || Shared->Closed || !Shared->Alive)
    return;
  const std::size_t Limit = Shared->Limit();
  error_code Ignored;
  // Unread bytes would fire the watch at once.
  if (Limit == 0 ? Shared->Socket.available(Ignored) == 0
                 : Shared->Buffer.size() < Limit)
    wait(Shared);
}

void caller_input::wait(const std::shared_ptr<state> &Shared) {
  Shared->Waiting = true;
  Shared->Socket.async_wait(tcp::socket::wait_read,
                            [Shared](error_code Failure) {
                              Shared->Waiting = false;
                              if (!Shared->Alive)
                                return;
                              // Aborted by this process, not by the caller.
                              if (Failure == asio::error::operation_aborted)
                                return;
                              if (Failure)
                                Shared->Closed = true;
                              else
                                handleReadable(Shared);
                              Shared->OnChange();
                            });
}

void caller_input::handleReadable(const std::shared_ptr<state> &Shared) {
  const std::size_t Limit = Shared->Limit();
  if (Limit == 0) {
    Shared->Closed = hasClosed(Shared->Socket);
    return;
  }
  const std::size_t Before = Shared->Buffer.size();
  Shared->Closed = readPipelined(Shared->Socket, Shared->Buffer, Limit);
  if (Shared->Buffer.size() > Before)
    Shared->LastReadAt = Shared->Clock.now();
  if (!Shared->Closed && Shared->Buffer.size() < Limit)
    wait(Shared);
}

} // namespace magnoliaspread
