#include <magnoliaspread/silence.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace magnoliaspread {

using std::chrono::milliseconds;

milliseconds silenceLimit(connection_kind Kind) {
  switch (Kind) {
  case connection_kind::Caller:
    // Outlasts a short cut; frees the answers of callers that are gone.
    return milliseconds(30000);
  case connection_kind::Target:
    // Requests have deadlines of their own; this ends streams and the sending
    // of bodies that have no other limit.
    return milliseconds(10000);
  case connection_kind::Peer:
  case connection_kind::Store:
    // Calls end earlier by their own timeouts; this frees the socket.
    return milliseconds(5000);
  }
  return milliseconds(0);
}

bool limitSilence(int Socket, connection_kind Kind) {
  return limitSilence(Socket, silenceLimit(Kind));
}

bool limitSilence(int Socket, milliseconds Limit) {
  const int Off = 0;
  const auto Time = static_cast<unsigned int>(Limit.count());
  return setsockopt(Socket, SOL_SOCKET, SO_KEEPALIVE, &Off, sizeof(Off)) == 0 &&
         setsockopt(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &Time,
                    sizeof(Time)) == 0;
}

} // namespace magnoliaspread
