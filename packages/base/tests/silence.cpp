/// Connections over a path that drops everything: a socket filter discards what
/// arrives at the other end, acknowledgements are never sent.
#include <magnoliaspread/silence.h>

#include <magnoliaspread/story.h>

#include <arpa/inet.h>
#include <cerrno>
#include <linux/filter.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace magnoliaspread;
using namespace std::chrono_literals;

namespace {

/// Two connected sockets on loopback.
struct connection {
  connection() {
    const int Listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Length = sizeof(Address);
    auto *Any = reinterpret_cast<sockaddr *>(&Address);
    CPPUNIT_ASSERT_EQUAL(0, bind(Listener, Any, Length));
    CPPUNIT_ASSERT_EQUAL(0, listen(Listener, 1));
    CPPUNIT_ASSERT_EQUAL(0, getsockname(Listener, Any, &Length));
    Near = socket(AF_INET, SOCK_STREAM, 0);
    CPPUNIT_ASSERT_EQUAL(0, connect(Near, Any, Length));
    Far = accept(Listener, nullptr, nullptr);
    close(Listener);
  }
  ~connection() {
    close(Near);
    close(Far);
  }

  void dropEverything() const {
    sock_filter Drop = BPF_STMT(BPF_RET | BPF_K, 0);
    const sock_fprog Program{1, &Drop};
    CPPUNIT_ASSERT_EQUAL(0, setsockopt(Far, SOL_SOCKET, SO_ATTACH_FILTER,
                                       &Program, sizeof(Program)));
  }

  /// The error with which the near end gives up within \p Time; 0 if it
  /// doesn't.
  int errorWithin(std::chrono::milliseconds Time) const {
    pollfd Wait{Near, POLLIN, 0};
    if (poll(&Wait, 1, static_cast<int>(Time.count())) == 0)
      return 0;
    int Error = 0;
    socklen_t Length = sizeof(Error);
    getsockopt(Near, SOL_SOCKET, SO_ERROR, &Error, &Length);
    return Error;
  }

  int Near = -1;
  int Far = -1;
};

} // namespace

// Guards against a path that drops everything: without a limit the kernel sends
// again for a quarter of an hour.
STORY(silent_connections_end_in_time) {
  section("sent bytes that nobody acknowledges end the connection", [&] {
    const connection Connection;
    CPPUNIT_ASSERT(limitSilence(Connection.Near, 500ms));
    Connection.dropEverything();
    CPPUNIT_ASSERT_EQUAL(ssize_t(1), send(Connection.Near, "x", 1, 0));
    CPPUNIT_ASSERT_EQUAL(ETIMEDOUT, Connection.errorWithin(3000ms));
  });
  section("without the limit they don't", [&] {
    const connection Connection;
    Connection.dropEverything();
    CPPUNIT_ASSERT_EQUAL(ssize_t(1), send(Connection.Near, "x", 1, 0));
    CPPUNIT_ASSERT_EQUAL(0, Connection.errorWithin(1500ms));
  });
  section("an idle connection stays", [&] {
    const connection Connection;
    CPPUNIT_ASSERT(limitSilence(Connection.Near, 500ms));
    Connection.dropEverything();
    CPPUNIT_ASSERT_EQUAL(0, Connection.errorWithin(1200ms));
  });
  section("each kind of connection has a limit", [&] {
    for (const connection_kind Kind :
         {connection_kind::Caller, connection_kind::Target,
          connection_kind::Peer, connection_kind::Store}) {
      const connection Connection;
      CPPUNIT_ASSERT(limitSilence(Connection.Near, Kind));
      unsigned int Set = 0;
      socklen_t Length = sizeof(Set);
      getsockopt(Connection.Near, IPPROTO_TCP, TCP_USER_TIMEOUT, &Set, &Length);
      CPPUNIT_ASSERT_EQUAL(
          static_cast<unsigned int>(silenceLimit(Kind).count()), Set);
    }
  });
}
