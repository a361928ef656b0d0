/// Property: freePort() hands out ports that child processes can listen on.
#include "process.h"

#include <magnoliaspread/story.h>

#include <netinet/in.h>
#include <set>
#include <sys/socket.h>
#include <unistd.h>

using namespace magnoliaspread;

namespace {

/// Listens with SO_REUSEADDR, as the daemon does. Returns the socket, or -1.
int listenOn(std::uint16_t Port) {
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Address.sin_port = htons(Port);
  if (bind(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)) ==
          0 &&
      listen(Socket, 1) == 0)
    return Socket;
  close(Socket);
  return -1;
}

} // namespace

STORY(reserved_ports) {
  // 500 random draws from some 14,000 ports would repeat without reservation.
  constexpr std::size_t Count = 500;
  std::set<std::uint16_t> Ports;
  section("no port is handed out twice", [&] {
    for (std::size_t I = 0; I < Count; ++I)
      Ports.insert(freePort());
    CPPUNIT_ASSERT_EQUAL(Count, Ports.size());
  });
  section("a program can listen on one, and again after a restart", [&] {
    for (int Start = 0; Start < 2; ++Start) {
      const int Socket = listenOn(*Ports.begin());
      CPPUNIT_ASSERT(Socket >= 0);
      close(Socket);
    }
  });
}
