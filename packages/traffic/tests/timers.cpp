#include "caller_input_p.h"
#include "caller_watch_p.h"
#include "timers_p.h"
#include "watchdog_p.h"

#include <boost/asio/read.hpp>

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

namespace {

/// A caller's connection whose input is read ahead.
struct input_fixture {
  input_fixture() {
    Client.connect(Acceptor.local_endpoint());
    Acceptor.accept(Caller);
  }

  void run() {
    Context.restart();
    Context.run_for(50ms);
  }

  asio::io_context Context;
  tcp::acceptor Acceptor{Context, {asio::ip::make_address("127.0.0.1"), 0}};
  tcp::socket Client{Context};
  tcp::socket Caller{Context};
  const system_clock Clock;
  std::size_t Limit = 64;
  int Changes = 0;
  caller_input Input{Caller, Clock, [this] { return Limit; },
                     [this] { ++Changes; }};
};

} // namespace

// Failure: a caller that pipelines leaves while its requests run.
STORY(input_of_a_caller_that_pipelines) {
  input_fixture Fixture;
  Fixture.Input.resume();
  const std::string Next = "GET /next HTTP/1.1\r\n\r\n";

  section("pipelined requests are buffered and aren't a close", [&] {
    asio::write(Fixture.Client, asio::buffer(Next));
    Fixture.run();
    CPPUNIT_ASSERT(!Fixture.Input.closed());
    CPPUNIT_ASSERT_EQUAL(Next.size(), Fixture.Input.buffer().size());
  });
  section("a close behind them is noticed", [&] {
    Fixture.Client.close();
    Fixture.run();
    CPPUNIT_ASSERT(Fixture.Input.closed());
    CPPUNIT_ASSERT(Fixture.Changes >= 2);
  });
}

// Load: a caller that sends without end while nothing may be read.
STORY(input_is_bounded) {
  input_fixture Fixture;
  asio::write(Fixture.Client, asio::buffer(std::string(1000, 'x')));
  std::this_thread::sleep_for(20ms);
  Fixture.Input.resume();
  Fixture.run();
  CPPUNIT_ASSERT(!Fixture.Input.closed());
  CPPUNIT_ASSERT_EQUAL(Fixture.Limit, Fixture.Input.buffer().size());
  section("it goes on when there is room", [&] {
    Fixture.Input.buffer().consume(10);
    Fixture.Input.resume();
    Fixture.run();
    CPPUNIT_ASSERT_EQUAL(Fixture.Limit, Fixture.Input.buffer().size());
  });
}

// Failure: a drain begins; what isn't read may be sent to another instance.
STORY(input_leaves_bytes_unread_when_asked) {
  input_fixture Fixture;
  Fixture.Limit = 0;
  Fixture.Input.resume();
  section("bytes stay with the kernel", [&] {
    asio::write(Fixture.Client, asio::buffer(std::string(10, 'x')));
    Fixture.run();
    CPPUNIT_ASSERT(!Fixture.Input.closed());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Fixture.Input.buffer().size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(10), Fixture.Caller.available());
  });
  section("a close is noticed when none are unread", [&] {
    char Bytes[10];
    asio::read(Fixture.Caller, asio::buffer(Bytes));
    Fixture.Client.close();
    Fixture.Input.resume();
    Fixture.run();
    CPPUNIT_ASSERT(Fixture.Input.closed());
  });
}

// Failure: the caller's connection is watched by its own reader.
STORY(watchdog_is_told_that_the_caller_left) {
  asio::io_context Context;
  tcp::acceptor Acceptor(Context, {asio::ip::make_address("127.0.0.1"), 0});
  tcp::socket Outbound(Context);
  Outbound.connect(Acceptor.local_endpoint());
  watchdog Watchdog(Outbound);
  std::optional<error_code> Read;
  char Byte = 0;
  Outbound.async_read_some(
      asio::buffer(&Byte, 1),
      [&](error_code Failure, std::size_t) { Read = Failure; });
  caller_watch Caller;
  {
    const caller_subscription Ended(Caller, [] { CPPUNIT_FAIL("it ended"); });
  }
  const caller_subscription Running(Caller, [&] { Watchdog.callerLeft(); });
  Caller.leave();
  Context.run_for(50ms);
  CPPUNIT_ASSERT(Caller.gone() && Watchdog.callerGone());
  CPPUNIT_ASSERT(Read && *Read == asio::error::operation_aborted);
}

// Guards against closes by this process that look like the caller's.
STORY(caller_input_tells_a_cancel_from_a_close) {
  asio::io_context Context;
  tcp::acceptor Acceptor(Context, {asio::ip::make_address("127.0.0.1"), 0});
  tcp::socket Caller(Context);
  Caller.connect(Acceptor.local_endpoint());
  tcp::socket Socket = Acceptor.accept();
  const system_clock Clock;
  std::size_t Changes = 0;
  caller_input Input(
      Socket, Clock, [] { return std::size_t{1000}; }, [&] { ++Changes; });
  Input.resume();

  section("a cancel between bytes and their request is no close", [&] {
    Caller.write_some(asio::buffer("GET", 3));
    std::this_thread::sleep_for(5ms);
    Context.poll_one();
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Input.buffer().size());
    Socket.cancel();
    Context.restart();
    Context.poll();
    CPPUNIT_ASSERT(!Input.closed());
  });
  section("the caller's close is one", [&] {
    Input.resume();
    Caller.close();
    std::this_thread::sleep_for(5ms);
    Context.restart();
    Context.poll();
    CPPUNIT_ASSERT(Input.closed());
  });
}
