#include "client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace magnoliaspread {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

struct open_connection::state {
  asio::io_context Context;
  beast::tcp_stream Stream{Context};
  beast::flat_buffer Buffer;

  /// Runs the started operations until they complete.
  void runToCompletion() {
    Context.restart();
    Context.run();
  }
};

open_connection::open_connection(std::uint16_t Port) : State(new state) {
  State->Stream.expires_after(std::chrono::seconds(5));
  State->Stream.async_connect(
      tcp::endpoint(asio::ip::address_v4::loopback(), Port), [](auto) {});
  State->runToCompletion();
}

open_connection::~open_connection() { delete State; }

namespace {

http::request<http::string_body> requestOf(const http_call &Call) {
  http::request<http::string_body> Request(http::string_to_verb(Call.Method),
                                           Call.Target, 11);
  Request.set(http::field::host, "test");
  for (const auto &[Name, Value] : Call.Fields)
    Request.set(Name, Value);
  Request.body() = Call.Body;
  Request.prepare_payload();
  return Request;
}

http_answer answerOf(const http::response_parser<http::string_body> &Parser) {
  http_answer Answer;
  Answer.Status = Parser.get().result_int();
  for (const auto &Field : Parser.get())
    Answer.Fields[std::string(Field.name_string())] = Field.value();
  Answer.Body = Parser.get().body();
  return Answer;
}

} // namespace

http_answer open_connection::call(const http_call &Call) {
  const auto Request = requestOf(Call);
  http::response_parser<http::string_body> Parser;
  Parser.body_limit(boost::none);
  beast::error_code Failure;
  State->Stream.expires_after(Call.Timeout);
  http::async_write(State->Stream, Request, [&](auto, auto) {});
  http::async_read(State->Stream, State->Buffer, Parser,
                   [&](beast::error_code Problem, auto) { Failure = Problem; });
  State->runToCompletion();
  return Failure ? http_answer() : answerOf(Parser);
}

void open_connection::send(const http_call &Call) {
  const auto Request = requestOf(Call);
  State->Stream.expires_after(Call.Timeout);
  http::async_write(State->Stream, Request, [](auto, auto) {});
  State->runToCompletion();
}

void open_connection::sendRaw(const std::string &Bytes) {
  State->Stream.expires_after(std::chrono::seconds(5));
  asio::async_write(State->Stream, asio::buffer(Bytes), [](auto, auto) {});
  State->runToCompletion();
}

http_answer open_connection::receive(std::chrono::milliseconds Timeout) {
  http::response_parser<http::string_body> Parser;
  Parser.body_limit(boost::none);
  beast::error_code Failure;
  State->Stream.expires_after(Timeout);
  http::async_read(State->Stream, State->Buffer, Parser,
                   [&](beast::error_code Problem, auto) { Failure = Problem; });
  State->runToCompletion();
  return Failure ? http_answer() : answerOf(Parser);
}

boost::json::value http_answer::json() const {
  boost::system::error_code Failure;
  boost::json::value Value = boost::json::parse(Body, Failure);
  return Failure ? boost::json::value() : Value;
}

http_answer call(std::uint16_t Port, const http_call &Call) {
  open_connection Connection(Port);
  return Connection.call(Call);
}

std::string exchangeRaw(std::uint16_t Port, const std::string &Bytes) {
  asio::io_context Context;
  tcp::socket Socket(Context);
  boost::system::error_code Failure;
  Socket.connect(tcp::endpoint(asio::ip::address_v4::loopback(), Port),
                 Failure);
  asio::write(Socket, asio::buffer(Bytes), Failure);
  std::string Answer;
  asio::read(Socket, asio::dynamic_buffer(Answer), Failure);
  return Answer;
}

} // namespace magnoliaspread
