#include "membersys_p.h"

#include <magnoliaspread/log.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <utility>

namespace magnoliaspread {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds ProbePeriod{500};
constexpr milliseconds ProbeTimeout{1000};

} // namespace

member_system::member_system(asio::io_context &Context, object_store &Store,
                             datagram_port &Port, const clock &Clock,
                             const instance_settings &Settings,
                             const member_identity &Identity,
                             std::uint64_t Seed, death_handler OnDeath)
    : Context(Context), Store(Store), Port(Port), Clock(Clock),
      Settings(Settings), Members(Identity, Seed, Clock.now()),
      OnDeath(std::move(OnDeath)),
      Registry(Store, Clock, Settings, Identity.Incarnation, Seed),
      NextProbe(Clock.now()) {
  updateSeeds();
}

void member_system::updateSeeds() {
  std::vector<seed_address> Seeds = Registry.seeds();
  Seeds.insert(Seeds.end(), Hosts.begin(), Hosts.end());
  for (const peer_settings &Peer : Settings.Peers)
    if (Peer.Name != Settings.Name)
      Seeds.push_back({Peer.DataCentre, Peer.Internal});
  Members.updateSeeds(std::move(Seeds));
}

void member_system::addSeedHosts(const std::vector<std::string> &Names,
                                 const std::vector<std::string> &DataCentres) {
  for (const std::string &Host : Names)
    for (const std::string &DataCentre : DataCentres)
      Hosts.push_back({DataCentre, {Host, Settings.Internal.Port}});
  updateSeeds();
}

void member_system::send(const outbox &Messages) {
  for (const outgoing_message &Row : Messages)
    Port.send(Row.To, Row.Message);
}

void member_system::receive(const endpoint_address &From,
                            const member_message &Message) {
  send(Members.receive(Clock.now(), From, Message));
}

void member_system::tick() {
  const steady_time Now = Clock.now();
  Members.setPlatformReachable(Store.reachable());
  send(Members.tick(Now));
  for (const std::uint64_t Ended : Members.takeEndedIncarnations())
    OnDeath(Ended);
  Registry.tick(IsReader, [&](const std::string &Name) {
    return Members.isLive(Now, Name);
  });
  if (Registry.takeSeedsChanged())
    updateSeeds();
  if (Now >= NextProbe)
    probeSuspects();
}

void member_system::leave() {
  Registry.leave();
  send(Members.leave(Clock.now()));
}

/// A refused connection shows that a suspect's process has ended; a timeout
/// shows nothing.
void member_system::probeSuspects() {
  NextProbe = Clock.now() + ProbePeriod;
  for (const member_row &Row : Members.liveLocalPeers())
    if (Row.Report.State == member_state::Suspect &&
        !Probing.contains(Row.Identity.Incarnation))
      probe(Row.Identity);
}

void member_system::probe(const member_identity &Peer) {
  boost::system::error_code Failure;
  const auto Address = asio::ip::make_address(Peer.Internal.Address, Failure);
  if (Failure)
    return;
  Probing.insert(Peer.Incarnation);
  auto Socket = std::make_shared<tcp::socket>(Context);
  auto Timer = std::make_shared<asio::steady_timer>(Context, ProbeTimeout);
  Timer->async_wait([Socket](boost::system::error_code Stopped) {
    if (!Stopped)
      Socket->close(Stopped);
  });
  Socket->async_connect(
      tcp::endpoint(Address, Peer.Internal.Port),
      [this, Peer, Socket, Timer](boost::system::error_code Refused) {
        Timer->cancel();
        Probing.erase(Peer.Incarnation);
        if (Refused != asio::error::connection_refused)
          return;
        logEvent(log_level::Warning, "peer_dead", {{"instance", Peer.Name}});
        Members.reportRefused(Clock.now(), Peer.Name, Peer.Incarnation);
      });
}

} // namespace magnoliaspread
