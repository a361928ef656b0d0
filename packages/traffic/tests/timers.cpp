#include "sockets_p.h"
#include "timers_p.h"
#include "watchdog_p.h"

#include <magnoliaspread/story.h>

#include <optional>
#include <string>
#include <thread>

using namespace magnoliaspread;
using namespace std::chrono_literals;

STORY(socket_timeout_ends_with_its_scope) {
  asio::io_context Context;
  tcp::acceptor Acceptor(Context, {asio::ip::make_address("127.0.0.1"), 0});
  tcp::socket Socket(Context);
  Socket.connect(Acceptor.local_endpoint());
  std::optional<error_code> Read;
  char Byte = 0;
  Socket.async_read_some(
      asio::buffer(&Byte, 1),
      [&](error_code Failure, std::size_t) { Read = Failure; });

  section("a timer that expires as its scope ends cancels nothing", [&] {
    const auto End = std::chrono::steady_clock::now() + 20ms;
    // Both expire in one pass of the reactor, so that the handler of the
    // scope's timer is queued when the scope ends.
    asio::steady_timer Ends(Context, End - 1ms);
    std::optional<socket_timeout> Scope;
    Ends.async_wait([&](error_code) { Scope.reset(); });
    Scope.emplace(Socket, End);
    std::this_thread::sleep_for(40ms);
    Context.run_for(50ms);
    CPPUNIT_ASSERT(!Read);
  });
  section("a timer whose scope is open cancels the operation", [&] {
    const socket_timeout Timer(Socket, 10ms);
    Context.run_for(100ms);
    CPPUNIT_ASSERT(Read && *Read == asio::error::operation_aborted);
  });
}

STORY(watchdog_of_a_caller_that_pipelines) {
  asio::io_context Context;
  tcp::acceptor Acceptor(Context, {asio::ip::make_address("127.0.0.1"), 0});
  tcp::socket Client(Context);
  Client.connect(Acceptor.local_endpoint());
  tcp::socket Caller = Acceptor.accept();
  tcp::socket Outbound(Context);
  Outbound.connect(Acceptor.local_endpoint());
  beast::flat_buffer Pipelined;
  constexpr std::size_t MaxBytes = 64;
  watchdog Watchdog(Caller, Outbound);
  Watchdog.watchCaller(Pipelined, MaxBytes);
  const std::string Next = "GET /next HTTP/1.1\r\n\r\n";

  section("pipelined requests are buffered and don't end the call", [&] {
    asio::write(Client, asio::buffer(Next));
    Context.run_for(50ms);
    CPPUNIT_ASSERT(!Watchdog.callerGone());
    CPPUNIT_ASSERT_EQUAL(Next.size(), Pipelined.size());
  });
  section("a close behind them ends it", [&] {
    Client.close();
    Context.restart();
    Context.run_for(50ms);
    CPPUNIT_ASSERT(Watchdog.callerGone());
  });
}

STORY(pipelined_bytes_are_bounded) {
  asio::io_context Context;
  tcp::acceptor Acceptor(Context, {asio::ip::make_address("127.0.0.1"), 0});
  tcp::socket Client(Context);
  Client.connect(Acceptor.local_endpoint());
  tcp::socket Caller = Acceptor.accept();
  beast::flat_buffer Pipelined;
  constexpr std::size_t MaxBytes = 64;
  asio::write(Client, asio::buffer(std::string(1000, 'x')));
  std::this_thread::sleep_for(20ms);
  CPPUNIT_ASSERT(!readPipelined(Caller, Pipelined, MaxBytes));
  CPPUNIT_ASSERT_EQUAL(MaxBytes, Pipelined.size());
}
