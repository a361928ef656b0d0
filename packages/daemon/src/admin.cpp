#include "admin_p.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>

namespace magnoliaspread {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr auto Awaited = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::seconds IdleTimeout{30};

admin_answer answerFrom(const std::vector<admin_page> &Pages,
                        std::string_view Path) {
  for (const admin_page &Page : Pages)
    if (Page.Path == Path)
      return Page.Make();
  return {404, "application/json", "{\"error\":\"not_found\"}"};
}

asio::awaitable<void> serve(tcp::socket Socket,
                            admin_port::page_handler Handler) {
  beast::tcp_stream Stream(std::move(Socket));
  beast::flat_buffer Buffer;
  for (;;) {
    Stream.expires_after(IdleTimeout);
    http::request<http::string_body> Request;
    auto [ReadFailure, Read] =
        co_await http::async_read(Stream, Buffer, Request, Awaited);
    if (ReadFailure)
      co_return;
    admin_answer Answer = Handler(Request);
    http::response<http::string_body> Response(
        http::int_to_status(Answer.Status), 11);
    Response.set(http::field::content_type, Answer.ContentType);
    Response.body() = std::move(Answer.Body);
    Response.keep_alive(Request.keep_alive());
    Response.prepare_payload();
    auto [WriteFailure, Written] =
        co_await http::async_write(Stream, Response, Awaited);
    if (WriteFailure || !Response.keep_alive())
      co_return;
  }
}

} // namespace

admin_port::admin_port(asio::io_context &Context, std::vector<admin_page> Pages)
    : admin_port(Context, [Pages = std::move(Pages)](const request &Request) {
        return answerFrom(Pages, Request.target());
      }) {}

admin_port::admin_port(asio::io_context &Context, page_handler Handler)
    : Context(Context), Handler(std::move(Handler)), Acceptor(Context) {}

status admin_port::open(const endpoint_address &Where) {
  boost::system::error_code Failure;
  const auto Address = asio::ip::make_address(Where.Address, Failure);
  const tcp::endpoint Endpoint(Address, Where.Port);
  if (!Failure)
    Acceptor.open(Endpoint.protocol(), Failure);
  if (!Failure)
    Acceptor.set_option(tcp::acceptor::reuse_address(true), Failure);
  if (!Failure)
    Acceptor.bind(Endpoint, Failure);
  if (!Failure)
    Acceptor.listen(tcp::acceptor::max_listen_connections, Failure);
  if (Failure)
    return error{
        error_kind::BadSettings, "admin port: " + Failure.message(), {}};
  accept();
  return {};
}

void admin_port::close() {
  boost::system::error_code Ignored;
  Acceptor.close(Ignored);
}

void admin_port::accept() {
  Acceptor.async_accept(
      [this](boost::system::error_code Failure, tcp::socket Socket) {
        if (Failure == asio::error::operation_aborted || !Acceptor.is_open())
          return;
        if (!Failure)
          asio::co_spawn(Context, serve(std::move(Socket), Handler),
                         asio::detached);
        accept();
      });
}

} // namespace magnoliaspread
