#include "cutport.h"

#include <process.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <fcntl.h>
#include <sys/socket.h>

namespace magnoliaspread {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

constexpr auto Awaited = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds PollPause{10};
constexpr std::size_t BufferBytes = 16384;
/// More than a queue of length 0 takes.
constexpr std::size_t FillerCount = 3;

void reset(asio::ip::tcp::socket &Socket) {
  boost::system::error_code Ignored;
  Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  Socket.close(Ignored);
}

} // namespace

cut_port::cut_port(std::uint16_t ForwardPort)
    : Acceptor(Context), Port(freePort()), ForwardPort(ForwardPort) {
  listen();
  Thread = std::thread([this] {
    const auto Work = asio::make_work_guard(Context);
    Context.run();
  });
}

cut_port::~cut_port() {
  Context.stop();
  Thread.join();
}

void cut_port::listen() {
  const tcp::endpoint Address(asio::ip::address_v4::loopback(), Port);
  Acceptor.open(Address.protocol());
  Acceptor.set_option(tcp::acceptor::reuse_address(true));
  // An instance that inherits the socket would keep the port open.
  ::fcntl(Acceptor.native_handle(), F_SETFD, FD_CLOEXEC);
  Acceptor.bind(Address);
  Acceptor.listen();
  acceptNext();
}

void cut_port::acceptNext() {
  Acceptor.async_accept([this](boost::system::error_code Failure,
                               tcp::socket Socket) {
    if (Failure)
      return;
    auto Link =
        std::make_shared<link>(link{std::move(Socket), tcp::socket(Context)});
    Links.push_back(Link);
    asio::co_spawn(Context, serve(std::move(Link)), asio::detached);
    acceptNext();
  });
}

void cut_port::dropNewConnections() {
  boost::system::error_code Ignored;
  Acceptor.cancel(Ignored);
  ::listen(Acceptor.native_handle(), 0);
  for (std::size_t I = 0; I < FillerCount; ++I) {
    tcp::socket &Socket = Fillers.emplace_back(Context);
    Socket.async_connect({asio::ip::address_v4::loopback(), Port}, [](auto) {});
  }
}

void cut_port::apply(path_cut Now) {
  asio::post(Context, asio::use_future([this, Now] { set(Now); })).get();
}

void cut_port::set(path_cut Now) {
  How = Now;
  Fillers.clear();
  boost::system::error_code Ignored;
  switch (How) {
  case path_cut::None:
    Acceptor.close(Ignored);
    return listen();
  case path_cut::Hangs:
    return dropNewConnections();
  case path_cut::Resets:
    for (const std::weak_ptr<link> &Row : Links)
      if (const auto Link = Row.lock()) {
        reset(Link->Inbound);
        reset(Link->Outbound);
      }
    Links.clear();
    [[fallthrough]];
  case path_cut::OnlyNewFail:
    Acceptor.close(Ignored);
  }
}

awaitable<void> cut_port::serve(std::shared_ptr<link> Link) {
  auto [Failure] = co_await Link->Outbound.async_connect(
      {asio::ip::address_v4::loopback(), ForwardPort}, Awaited);
  if (Failure)
    co_return reset(Link->Inbound);
  asio::co_spawn(Context, pump(Link, true), asio::detached);
  co_await pump(Link, false);
}

awaitable<void> cut_port::pump(std::shared_ptr<link> Link, bool Requests) {
  tcp::socket &From = Requests ? Link->Inbound : Link->Outbound;
  tcp::socket &To = Requests ? Link->Outbound : Link->Inbound;
  std::array<char, BufferBytes> Buffer{};
  for (;;) {
    auto [Failure, Count] =
        co_await From.async_read_some(asio::buffer(Buffer), Awaited);
    while (How == path_cut::Hangs) {
      asio::steady_timer Timer(Context, PollPause);
      co_await Timer.async_wait(Awaited);
    }
    if (Failure)
      break;
    auto [WriteFailure, Written] =
        co_await asio::async_write(To, asio::buffer(Buffer, Count), Awaited);
    if (WriteFailure)
      break;
  }
  boost::system::error_code Ignored;
  To.shutdown(tcp::socket::shutdown_send, Ignored);
}

} // namespace magnoliaspread
