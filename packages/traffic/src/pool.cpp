#include "pool_p.h"

#include <magnoliaspread/silence.h>

#include "sockets_p.h"
#include "timers_p.h"

#include <boost/asio/ip/address.hpp>

namespace magnoliaspread {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds ConnectTimeout{1000};
/// Interval between sweeps of idle connections.
constexpr milliseconds SweepPeriod{1000};

std::string keyFor(const endpoint_address &Endpoint) {
  return Endpoint.Address + ':' + std::to_string(Endpoint.Port);
}

} // namespace

void connection_pool::endpoint_pool::close(connection_id Id) {
  Table.closed(Id);
  Idle.erase(Id);
}

connection_pool::endpoint_pool &
connection_pool::poolOf(const endpoint_address &Endpoint) {
  return Pools.try_emplace(keyFor(Endpoint), ReuseSettings).first->second;
}

outbound_ptr connection_pool::takeIdle(const endpoint_address &Endpoint,
                                       bool Repeatable) {
  endpoint_pool &Pool = poolOf(Endpoint);
  const steady_time Now = Clock.now();
  // A repeatable request serves as the probe of a connection that needs one.
  while (const auto Choice = Pool.Table.pick(Repeatable, Now)) {
    const auto Found = Pool.Idle.find(Choice->Id);
    if (Found == Pool.Idle.end() || !isIdle(Found->second->Socket)) {
      Pool.close(Choice->Id);
      continue;
    }
    outbound_ptr Connection = std::move(Found->second);
    Pool.Idle.erase(Found);
    Pool.Table.sent(Connection->Id, Now);
    Connection->Reused = true;
    return Connection;
  }
  return nullptr;
}

asio::awaitable<result<outbound_ptr>>
connection_pool::connect(endpoint_address Endpoint, steady_time Deadline) {
  error_code Failure;
  const auto Address = asio::ip::make_address(Endpoint.Address, Failure);
  if (Failure)
    co_return error{error_kind::TargetUnreachable, Failure.message(), {}};
  tcp::socket Socket(Context);
  {
    const socket_timeout Timer(
        Socket, std::min(Deadline, Clock.now() + ConnectTimeout));
    std::tie(Failure) = co_await Socket.async_connect(
        tcp::endpoint(Address, Endpoint.Port), Awaited);
  }
  const bool Refused = Failure == asio::error::connection_refused;
  if (!Failure)
    Socket.set_option(tcp::no_delay(true), Failure);
  if (!Failure)
    limitSilence(Socket.native_handle(), connection_kind::Target);
  if (Failure)
    co_return error{Refused ? error_kind::TargetDown
                            : error_kind::TargetUnreachable,
                    keyFor(Endpoint) + ": " + Failure.message(),
                    {}};
  const connection_id Id = ++LastId;
  endpoint_pool &Pool = poolOf(Endpoint);
  Pool.Table.opened(Id, Clock.now());
  Pool.Table.sent(Id, Clock.now());
  co_return std::make_unique<outbound_connection>(Id, std::move(Socket));
}

void connection_pool::putBack(const endpoint_address &Endpoint,
                              outbound_ptr Connection) {
  endpoint_pool &Pool = poolOf(Endpoint);
  Pool.Table.becameIdle(Connection->Id, Clock.now());
  Pool.Idle.emplace(Connection->Id, std::move(Connection));
}

void connection_pool::drop(const endpoint_address &Endpoint,
                           outbound_ptr Connection, bool Unresponsive) {
  endpoint_pool &Pool = poolOf(Endpoint);
  if (Unresponsive)
    for (const connection_id Suspect :
         Pool.Table.becameUnresponsive(Connection->Id))
      Pool.close(Suspect);
  Pool.Table.closed(Connection->Id);
}

void connection_pool::dropIdle(const endpoint_address &Endpoint) {
  const auto Found = Pools.find(keyFor(Endpoint));
  if (Found == Pools.end())
    return;
  while (!Found->second.Idle.empty())
    Found->second.close(Found->second.Idle.begin()->first);
}

asio::awaitable<void> connection_pool::sweepAll() {
  asio::steady_timer Timer(Context);
  for (;;) {
    Timer.expires_after(SweepPeriod);
    co_await Timer.async_wait(Awaited);
    sweep();
  }
}

void connection_pool::sweep() {
  for (auto &[Key, Pool] : Pools)
    for (const connection_id Id : Pool.Table.expired(Clock.now()))
      Pool.close(Id);
  std::erase_if(
      Pools, [](const auto &Row) { return Row.second.Table.rows().empty(); });
}

} // namespace magnoliaspread
