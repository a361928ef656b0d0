#include <magnoliaspread/answerreader.h>
#include <magnoliaspread/story.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <optional>
#include <string>

using namespace magnoliaspread;
using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

/// What is read of \p Bytes, after which the connection ends in order.
read_answer readOf(const std::string &Bytes,
                   http::verb Method = http::verb::get) {
  constexpr std::uint64_t MaxBodyBytes = 1000;
  asio::io_context Context;
  tcp::acceptor Acceptor(Context, {asio::ip::make_address("127.0.0.1"), 0});
  beast::tcp_stream Stream(Context);
  Stream.socket().connect(Acceptor.local_endpoint());
  tcp::socket Far = Acceptor.accept();
  asio::write(Far, asio::buffer(Bytes));
  Far.shutdown(tcp::socket::shutdown_send);
  beast::flat_buffer Buffer;
  std::optional<read_answer> Read;
  asio::co_spawn(Context, readAnswer(Stream, Buffer, Method, MaxBodyBytes),
                 [&](const std::exception_ptr &, read_answer Answer) {
                   Read.emplace(std::move(Answer));
                 });
  Context.run_for(2s);
  CPPUNIT_ASSERT(Read);
  return std::move(*Read);
}

const std::string Sound = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";

} // namespace

STORY(one_whole_answer_is_read) {
  const auto BodyOf = [](const std::string &Bytes) {
    const read_answer Read = readOf(Bytes);
    CPPUNIT_ASSERT_MESSAGE(Read.Failure.message(), !Read.Failure);
    CPPUNIT_ASSERT_EQUAL(200U, Read.Message.result_int());
    return Read.Message.body();
  };
  const std::string Whole = "whole";
  section("with a length", [&] { CPPUNIT_ASSERT_EQUAL(Whole, BodyOf(Sound)); });
  section("in chunks", [&] {
    CPPUNIT_ASSERT_EQUAL(
        Whole, BodyOf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                      "5\r\nwhole\r\n0\r\n\r\n"));
  });
  section("up to the end of its connection", [&] {
    CPPUNIT_ASSERT_EQUAL(Whole, BodyOf("HTTP/1.1 200 OK\r\n\r\nwhole"));
  });
  section("behind interim ones", [&] {
    CPPUNIT_ASSERT_EQUAL(Whole, BodyOf("HTTP/1.1 100 Continue\r\n\r\n"
                                       "HTTP/1.1 103 Hints\r\n\r\n" +
                                       Sound));
  });
  section("without a body", [&] {
    for (const char *Status : {"204", "304"})
      CPPUNIT_ASSERT(!readOf("HTTP/1.1 " + std::string(Status) +
                             " No\r\nContent-Length: 5\r\n\r\n")
                          .Failure);
    CPPUNIT_ASSERT(!readOf("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
                           http::verb::head)
                        .Failure);
  });
}

STORY(broken_answers_are_not_read) {
  std::string Interim;
  for (int I = 0; I < 1000; ++I)
    Interim += "HTTP/1.1 103 Hints\r\n\r\n";
  for (const std::string &Bytes :
       {"HTTP/1.1 000 OK" + Sound.substr(15),
        "HTTP/1.1 600 OK" + Sound.substr(15), Sound.substr(0, Sound.size() - 1),
        std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nwhole"),
        std::string("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "5\r\nwhole\r\n0\r\n\r\n"),
        std::string("HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n") +
            std::string(2000, 'a'),
        std::string("HTTP/1.1 103 Hints\r\n\r\n"), Interim + Sound})
    section(Bytes.substr(0, 60),
            [&] { CPPUNIT_ASSERT(readOf(Bytes).Failure.failed()); });
}
