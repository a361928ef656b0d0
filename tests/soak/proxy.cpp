#include "proxy.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace magnoliaspread {

namespace asio = boost::asio;
using asio::awaitable;
using std::chrono::milliseconds;

namespace {

constexpr auto Awaited = asio::as_tuple(asio::use_awaitable);
/// Longer than a target's time for one request.
constexpr milliseconds Delay{120};
constexpr milliseconds PollPause{10};
constexpr std::size_t PieceBytes = 16384;

void abandon(asio::ip::tcp::socket &Socket) {
  boost::system::error_code Ignored;
  Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  Socket.close(Ignored);
}

awaitable<void> pauseFor(milliseconds Time) {
  asio::steady_timer Timer(co_await asio::this_coro::executor, Time);
  co_await Timer.async_wait(Awaited);
}

} // namespace

fault_proxy::fault_proxy(std::uint16_t Upstream)
    : Acceptor(Context, {asio::ip::address_v4::loopback(), 0}),
      Port(Acceptor.local_endpoint().port()), Upstream(Upstream) {
  asio::co_spawn(Context, accept(), asio::detached);
  Thread = std::thread([this] { Context.run(); });
}

fault_proxy::~fault_proxy() {
  Context.stop();
  Thread.join();
}

awaitable<void> fault_proxy::accept() {
  for (;;) {
    auto [Failure, Socket] = co_await Acceptor.async_accept(Awaited);
    if (Failure)
      continue;
    auto Link = std::make_shared<link>(
        link{std::move(Socket), tcp::socket(Acceptor.get_executor())});
    asio::co_spawn(Context, serve(std::move(Link)), asio::detached);
  }
}

awaitable<void> fault_proxy::serve(std::shared_ptr<link> Link) {
  if (Fault == link_fault::Reset)
    co_return abandon(Link->Caller);
  auto [Failure] = co_await Link->Server.async_connect(
      {asio::ip::address_v4::loopback(), Upstream}, Awaited);
  if (Failure)
    co_return abandon(Link->Caller);
  asio::co_spawn(Context, pump(Link, direction::Requests), asio::detached);
  co_await pump(Link, direction::Answers);
}

awaitable<void> fault_proxy::waitFor(direction Way) {
  const auto Holds = [this, Way] {
    const link_fault Now = Fault;
    return Now == link_fault::Silent ||
           (Now == link_fault::NoRequests && Way == direction::Requests) ||
           (Now == link_fault::NoAnswers && Way == direction::Answers);
  };
  if (Fault == link_fault::Delay) {
    co_await pauseFor(Delay);
  }
  while (Holds()) {
    co_await pauseFor(PollPause);
  }
}

awaitable<void> fault_proxy::pump(std::shared_ptr<link> Link, direction Way) {
  const bool Requests = Way == direction::Requests;
  tcp::socket &From = Requests ? Link->Caller : Link->Server;
  tcp::socket &To = Requests ? Link->Server : Link->Caller;
  std::array<char, PieceBytes> Piece{};
  for (;;) {
    auto [Failure, Count] =
        co_await From.async_read_some(asio::buffer(Piece), Awaited);
    co_await waitFor(Way);
    if (Fault == link_fault::Reset)
      break;
    if (Failure) {
      boost::system::error_code Ignored;
      To.shutdown(tcp::socket::shutdown_send, Ignored);
      co_return;
    }
    auto [Broken, Written] =
        co_await asio::async_write(To, asio::buffer(Piece, Count), Awaited);
    if (Broken)
      break;
  }
  abandon(Link->Caller);
  abandon(Link->Server);
}

} // namespace magnoliaspread
