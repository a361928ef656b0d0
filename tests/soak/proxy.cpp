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
/// Longer than a target takes for one request.
constexpr milliseconds Delay{120};
constexpr milliseconds PollPause{10};
constexpr std::size_t BufferBytes = 16384;

void resetConnection(asio::ip::tcp::socket &Socket) {
  boost::system::error_code Ignored;
  Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  Socket.close(Ignored);
}

awaitable<void> pauseFor(milliseconds Time) {
  asio::steady_timer Timer(co_await asio::this_coro::executor, Time);
  co_await Timer.async_wait(Awaited);
}

} // namespace

fault_proxy::fault_proxy(std::uint16_t ForwardPort)
    : Acceptor(Context, {asio::ip::address_v4::loopback(), 0}),
      Port(Acceptor.local_endpoint().port()), ForwardPort(ForwardPort) {
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
    co_return resetConnection(Link->Inbound);
  auto [Failure] = co_await Link->Outbound.async_connect(
      {asio::ip::address_v4::loopback(), ForwardPort}, Awaited);
  if (Failure)
    co_return resetConnection(Link->Inbound);
  asio::co_spawn(Context, pump(Link, direction::Requests), asio::detached);
  co_await pump(Link, direction::Answers);
}

awaitable<void> fault_proxy::applyFault(direction Way) {
  const auto Stalled = [this, Way] {
    const link_fault Now = Fault;
    return Now == link_fault::StallAll ||
           (Now == link_fault::StallRequests && Way == direction::Requests) ||
           (Now == link_fault::StallAnswers && Way == direction::Answers);
  };
  if (Fault == link_fault::Delay) {
    co_await pauseFor(Delay);
  }
  while (Stalled()) {
    co_await pauseFor(PollPause);
  }
}

awaitable<void> fault_proxy::pump(std::shared_ptr<link> Link, direction Way) {
  const bool Requests = Way == direction::Requests;
  tcp::socket &From = Requests ? Link->Inbound : Link->Outbound;
  tcp::socket &To = Requests ? Link->Outbound : Link->Inbound;
  std::array<char, BufferBytes> Buffer{};
  for (;;) {
    auto [Failure, Count] =
        co_await From.async_read_some(asio::buffer(Buffer), Awaited);
    co_await applyFault(Way);
    if (Fault == link_fault::Reset)
      break;
    if (Failure) {
      boost::system::error_code Ignored;
      To.shutdown(tcp::socket::shutdown_send, Ignored);
      co_return;
    }
    auto [WriteFailure, Written] =
        co_await asio::async_write(To, asio::buffer(Buffer, Count), Awaited);
    if (WriteFailure)
      break;
  }
  resetConnection(Link->Inbound);
  resetConnection(Link->Outbound);
}

} // namespace magnoliaspread
