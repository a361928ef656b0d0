#include "pool_p.h"

#include "sockets_p.h"
#include "timers_p.h"

#include <boost/asio/ip/address.hpp>

namespace magnoliaspread {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds ConnectTimeout{1000};
/// Between two looks for connections that have been idle for too long.
constexpr milliseconds SweepPeriod{1000};

std::string keyFor(const endpoint_address &Peer) {
  return Peer.Address + ':' + std::to_string(Peer.Port);
}

} // namespace

void upstream_pool::peer_pool::close(connection_id Id) {
  Table.closed(Id);
  Idle.erase(Id);
}

upstream_pool::peer_pool &upstream_pool::poolOf(const endpoint_address &Peer) {
  return Pools.try_emplace(keyFor(Peer), Silence).first->second;
}

upstream_ptr upstream_pool::takeIdle(const endpoint_address &Peer,
                                     bool Repeatable) {
  peer_pool &Pool = poolOf(Peer);
  const steady_time Now = Clock.now();
  // A repeatable request serves as the probe of a connection that needs one.
  while (const auto Choice = Pool.Table.pick(Repeatable, Now)) {
    const auto Found = Pool.Idle.find(Choice->Id);
    if (Found == Pool.Idle.end() || !isQuiet(Found->second->Socket)) {
      Pool.close(Choice->Id);
      continue;
    }
    upstream_ptr Connection = std::move(Found->second);
    Pool.Idle.erase(Found);
    Pool.Table.sent(Connection->Id, Now);
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
  {
    const read_timer Timer(Socket,
                           std::min(Deadline, Clock.now() + ConnectTimeout));
    std::tie(Failure) = co_await Socket.async_connect(
        tcp::endpoint(Address, Peer.Port), Awaited);
  }
  const bool Refused = Failure == asio::error::connection_refused;
  if (!Failure)
    Socket.set_option(tcp::no_delay(true), Failure);
  if (Failure)
    co_return error{Refused ? error_kind::TargetDown
                            : error_kind::TargetUnreachable,
                    keyFor(Peer) + ": " + Failure.message(),
                    {}};
  const connection_id Id = ++LastId;
  peer_pool &Pool = poolOf(Peer);
  Pool.Table.opened(Id, Clock.now());
  Pool.Table.sent(Id, Clock.now());
  co_return std::make_unique<upstream>(Id, std::move(Socket));
}

void upstream_pool::putBack(const endpoint_address &Peer,
                            upstream_ptr Connection) {
  peer_pool &Pool = poolOf(Peer);
  Pool.Table.becameIdle(Connection->Id, Clock.now());
  Pool.Idle.emplace(Connection->Id, std::move(Connection));
}

void upstream_pool::drop(const endpoint_address &Peer, upstream_ptr Connection,
                         bool Silent) {
  peer_pool &Pool = poolOf(Peer);
  if (Silent)
    for (const connection_id Doubted : Pool.Table.fellSilent(Connection->Id))
      Pool.close(Doubted);
  Pool.Table.closed(Connection->Id);
}

void upstream_pool::dropIdle(const endpoint_address &Peer) {
  const auto Found = Pools.find(keyFor(Peer));
  if (Found == Pools.end())
    return;
  while (!Found->second.Idle.empty())
    Found->second.close(Found->second.Idle.begin()->first);
}

asio::awaitable<void> upstream_pool::sweepAll() {
  asio::steady_timer Timer(Context);
  for (;;) {
    Timer.expires_after(SweepPeriod);
    co_await Timer.async_wait(Awaited);
    sweep();
  }
}

void upstream_pool::sweep() {
  for (auto &[Key, Pool] : Pools)
    for (const connection_id Id : Pool.Table.expired(Clock.now()))
      Pool.close(Id);
  std::erase_if(
      Pools, [](const auto &Row) { return Row.second.Table.rows().empty(); });
}

} // namespace magnoliaspread
