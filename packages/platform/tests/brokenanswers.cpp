/// A platform whose answers are broken or not the next ones.
#include "store_fixture.h"

#include <magnoliaspread/story.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <deque>
#include <functional>
#include <string>

using namespace magnoliaspread;
namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

std::string withLength(const std::string &Body) {
  return "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

/// Holds one object and distorts the next answers as a test asks.
class raw_platform {
public:
  /// Makes the bytes to send of an answer's body.
  using distortion = std::function<std::string(const std::string &Body)>;

  explicit raw_platform(asio::io_context &Io)
      : Acceptor(Io, {asio::ip::make_address("127.0.0.1"), 0}) {
    asio::co_spawn(Io, accept(), asio::detached);
  }

  std::uint16_t port() const { return Acceptor.local_endpoint().port(); }

  std::deque<distortion> Next;
  std::string Value = "1";
  int Version = 1;
  int Puts = 0;

private:
  static constexpr auto Awaited = asio::as_tuple(asio::use_awaitable);

  asio::awaitable<void> accept() {
    for (;;) {
      auto [Failure, Socket] = co_await Acceptor.async_accept(Awaited);
      if (Failure)
        co_return;
      asio::co_spawn(Acceptor.get_executor(), serve(std::move(Socket)),
                     asio::detached);
    }
  }

  asio::awaitable<void> serve(tcp::socket Socket) {
    boost::beast::flat_buffer Buffer;
    for (;;) {
      http::request<http::string_body> Request;
      auto [Failure, Bytes] =
          co_await http::async_read(Socket, Buffer, Request, Awaited);
      if (Failure)
        co_return;
      if (Request.method() == http::verb::put) {
        Value = Request.body();
        ++Version;
        ++Puts;
      }
      const std::string Body = "{\"name\":\"" +
                               std::string(Request.target().substr(9)) +
                               "\",\"version\":" + std::to_string(Version) +
                               ",\"value\":" + Value + "}";
      std::string Text = "HTTP/1.1 200 OK\r\n" + withLength(Body);
      if (!Next.empty()) {
        Text = Next.front()(Body);
        Next.pop_front();
      }
      co_await asio::async_write(Socket, asio::buffer(Text), Awaited);
    }
  }

  tcp::acceptor Acceptor;
};

struct broken_platform {
  broken_platform() : Raw(Fixture.Io) {
    http_store_settings Settings = Fixture.settings();
    Settings.Platform.Port = Raw.port();
    Store = Fixture.makeStore(Settings);
  }

  store_fixture Fixture;
  raw_platform Raw;
  std::unique_ptr<http_store> Store;
};

raw_platform::distortion withStatus(const std::string &Status) {
  return [Status](const std::string &Body) {
    return "HTTP/1.1 " + Status + " Reason\r\n" + withLength(Body);
  };
}

std::string coded(const std::string &Body) {
  return "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n" + withLength(Body);
}

} // namespace

// Guards against answers that HTTP doesn't allow and that are taken for the
// platform's word.
STORY(broken_answers_of_the_platform_say_nothing) {
  const std::vector<std::pair<const char *, raw_platform::distortion>> Broken{
      {"status 000", withStatus("000")},
      {"status 600", withStatus("600")},
      {"a body in a coding", coded}};
  for (const auto &[What, Distort] : Broken)
    section(What, [&, &Distort = Distort] {
      section("a read is made again", [&] {
        broken_platform Platform;
        Platform.Raw.Next = {Distort};
        const auto Got = Platform.Fixture.get(*Platform.Store, "a");
        CPPUNIT_ASSERT_MESSAGE(failed(Got) ? errorOf(Got).Detail : "",
                               !failed(Got));
        CPPUNIT_ASSERT_EQUAL(std::string("1"), valueOf(Got).Value);
      });
      section("a write is read back, and is not made twice", [&] {
        broken_platform Platform;
        Platform.Raw.Next = {Distort};
        const auto Put =
            Platform.Fixture.put(*Platform.Store, {"a", "2", 1, {}});
        CPPUNIT_ASSERT_MESSAGE(failed(Put) ? errorOf(Put).Detail : "",
                               !failed(Put));
        CPPUNIT_ASSERT_EQUAL(object_version(2), valueOf(Put).Version);
        CPPUNIT_ASSERT_EQUAL(1, Platform.Raw.Puts);
      });
    });
}

STORY(interim_answers_of_the_platform_are_skipped) {
  broken_platform Platform;
  Platform.Raw.Next = {[](const std::string &Body) {
    return "HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\n" + withLength(Body);
  }};
  const auto Got = Platform.Fixture.get(*Platform.Store, "a");
  CPPUNIT_ASSERT_MESSAGE(failed(Got) ? errorOf(Got).Detail : "", !failed(Got));
  CPPUNIT_ASSERT_EQUAL(std::string("1"), valueOf(Got).Value);
}

// Guards against a second copy of an answer that is taken for the next one.
STORY(a_repeated_answer_of_the_platform_is_not_the_next_one) {
  broken_platform Platform;
  Platform.Raw.Next = {[](const std::string &Body) {
    const std::string Text = "HTTP/1.1 200 OK\r\n" + withLength(Body);
    return Text + Text;
  }};
  CPPUNIT_ASSERT(!failed(Platform.Fixture.get(*Platform.Store, "a")));
  Platform.Raw.Value = "2";
  Platform.Raw.Version = 2;
  const auto Got = Platform.Fixture.get(*Platform.Store, "a");
  CPPUNIT_ASSERT(!failed(Got));
  CPPUNIT_ASSERT_EQUAL(std::string("2"), valueOf(Got).Value);
}
