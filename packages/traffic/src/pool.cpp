#include "pool_p.h"

#include <boost/asio/ip/address.hpp>

namespace magnoliaspread {

using std::chrono::milliseconds;

namespace {

constexpr std::size_t MaxIdlePerPeer = 64;
constexpr milliseconds MaxIdleTime{5000};
constexpr milliseconds ConnectTimeout{1000};

std::string keyFor(const endpoint_address &Peer) {
  return Peer.Address + ':' + std::to_string(Peer.Port);
}

/// True when the peer has neither closed the connection nor sent bytes that
/// nobody asked for.
bool isQuiet(tcp::socket &Socket) {
  error_code Failure;
  Socket.non_blocking(true, Failure);
  char Byte = 0;
  Socket.receive(asio::buffer(&Byte, 1), tcp::socket::message_peek, Failure);
  return Failure == asio::error::would_block;
}

} // namespace

upstream_ptr upstream_pool::takeIdle(const endpoint_address &Peer) {
  const auto Found = Idle.find(keyFor(Peer));
  if (Found == Idle.end())
    return nullptr;
  std::vector<upstream_ptr> &Connections = Found->second;
  const steady_time Oldest = Clock.now() - MaxIdleTime;
  while (!Connections.empty()) {
    upstream_ptr Connection = std::move(Connections.back());
    Connections.pop_back();
    if (Connection->LastAnswerAt < Oldest || !isQuiet(Connection->Socket))
      continue;
    Connection->Reused = true;
    return Connection;
  }
  return nullptr;
}

asio::awaitable<result<upstream_ptr>>
upstream_pool::connect(endpoint_address Peer, steady_time Deadline) {
  error_code Failure;
  const auto Address = asio::ip::make_address(Peer.Address, Failure);
  if (Failure)
    co_return error{error_kind::TargetUnreachable, Failure.message(), {}};
  tcp::socket Socket(Context);
  asio::steady_timer Timer(Context);
  Timer.expires_at(std::min(Deadline, Clock.now() + ConnectTimeout));
  Timer.async_wait([&Socket](error_code Stopped) {
    if (!Stopped)
      Socket.close(Stopped);
  });
  std::tie(Failure) =
      co_await Socket.async_connect(tcp::endpoint(Address, Peer.Port), Awaited);
  Timer.cancel();
  if (!Failure)
    Socket.set_option(tcp::no_delay(true), Failure);
  if (Failure)
    co_return error{error_kind::TargetUnreachable,
                    keyFor(Peer) + ": " + Failure.message(),
                    {}};
  co_return std::make_unique<upstream>(std::move(Socket), Clock.now());
}

void upstream_pool::putBack(const endpoint_address &Peer,
                            upstream_ptr Connection) {
  std::vector<upstream_ptr> &Connections = Idle[keyFor(Peer)];
  if (Connections.size() >= MaxIdlePerPeer)
    return;
  Connection->LastAnswerAt = Clock.now();
  Connections.push_back(std::move(Connection));
}

void upstream_pool::dropSilent(const endpoint_address &Peer,
                               steady_time Since) {
  const auto Found = Idle.find(keyFor(Peer));
  if (Found == Idle.end())
    return;
  std::erase_if(Found->second, [&](const upstream_ptr &Connection) {
    return Connection->LastAnswerAt < Since;
  });
}

void upstream_pool::dropIdle(const endpoint_address &Peer) {
  Idle.erase(keyFor(Peer));
}

void upstream_pool::sweep() {
  const steady_time Oldest = Clock.now() - MaxIdleTime;
  for (auto &[Key, Connections] : Idle)
    std::erase_if(Connections, [&](const upstream_ptr &Connection) {
      return Connection->LastAnswerAt < Oldest;
    });
  std::erase_if(Idle, [](const auto &Row) { return Row.second.empty(); });
}

} // namespace magnoliaspread
