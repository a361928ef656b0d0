#include "membersys_p.h"

#include <magnoliaspread/log.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <memory>
#include <utility>

namespace magnoliaspread {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

constexpr const char *InstancePrefix = "instances/";
constexpr milliseconds ListPeriod{60000};
constexpr milliseconds ListRetry{2000};
/// At the fleet's first start the list is read after all have registered:
/// instances start within 0.3 s of each other (DEPLOY), and slow ones take
/// half a second to register.
constexpr milliseconds FirstListAfter{1000};
/// Minimum pause between two lists that are read because of new instances,
/// which start in groups.
constexpr milliseconds ListPause{1500};
constexpr milliseconds RegisterRetry{2000};
/// All instances register again after a loss of the platform's history, spread
/// over this time, and list each other after ListAfterLoss.
constexpr milliseconds RegisterSpread{2000};
constexpr milliseconds ListAfterLoss{5000};
constexpr milliseconds ProbePeriod{500};
constexpr milliseconds ProbeTimeout{1000};

json::object addressJson(const endpoint_address &Address) {
  return {{"address", Address.Address}, {"port", Address.Port}};
}

std::string recordOf(const instance_settings &Settings, bool Leaving) {
  const json::object Record{{"name", Settings.Name},
                            {"data_centre", Settings.DataCentre},
                            {"region", Settings.Region},
                            {"public", addressJson(Settings.Public)},
                            {"internal", addressJson(Settings.Internal)},
                            {"admin", addressJson(Settings.Admin)},
                            {"state", Leaving ? "leaving" : "live"}};
  return json::serialize(Record);
}

/// Adds the internal address of a listed instance; skips what can't be read.
void addSeed(const std::string &Text, std::vector<seed_address> &Seeds) {
  boost::system::error_code Failure;
  const json::value Value = json::parse(Text, Failure);
  if (Failure || !Value.is_object())
    return;
  const json::object &Record = Value.get_object();
  const auto *Centre = Record.if_contains("data_centre");
  const auto *Internal = Record.if_contains("internal");
  if (Centre == nullptr || !Centre->is_string() || Internal == nullptr ||
      !Internal->is_object())
    return;
  const auto *Address = Internal->get_object().if_contains("address");
  const auto *Port = Internal->get_object().if_contains("port");
  if (Address == nullptr || !Address->is_string() || Port == nullptr)
    return;
  const auto Number = Port->to_number<std::uint16_t>(Failure);
  if (!Failure)
    Seeds.push_back({Centre->get_string().c_str(),
                     {Address->get_string().c_str(), Number}});
}

} // namespace

std::string instanceObjectName(const std::string &Instance) {
  return InstancePrefix + Instance;
}

member_system::member_system(asio::io_context &Context, object_store &Store,
                             datagram_port &Port, const clock &Clock,
                             const instance_settings &Settings,
                             const member_identity &Identity,
                             std::uint64_t Seed, death_handler OnDeath)
    : Context(Context), Store(Store), Port(Port), Clock(Clock),
      Settings(Settings), Members(Identity, Seed, Clock.now()),
      OnDeath(std::move(OnDeath)), NextList(Clock.now()),
      NextRegister(Clock.now()), NextProbe(Clock.now()), Random(Seed),
      FirstStart(Settings.Gateway && Settings.Gateway->FirstStart) {
  if (FirstStart)
    NextList = Clock.now() + FirstListAfter;
  updateSeeds();
}

void member_system::updateSeeds() {
  std::vector<seed_address> Seeds = Listed;
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
  // The list shows whether this instance is registered already.
  const bool MayRegister = FirstStart || Leaving || Registrations.has_value();
  if (MayRegister && !Registered && !Registering && Now >= NextRegister)
    registerSelf();
  if (!Listing && Now >= NextList)
    listInstances();
  if (Now >= NextProbe)
    probeSuspects();
}

void member_system::registerSelf() {
  Registering = true;
  put_request Request{
      instanceObjectName(Settings.Name), recordOf(Settings, Leaving), {}};
  if (!ObjectExists)
    Request.IfVersion = NoObject;
  Store.put(std::move(Request), [this](const result<put_answer> &Answer) {
    Registering = false;
    const bool Conflict =
        failed(Answer) && errorOf(Answer).Kind == error_kind::VersionConflict;
    Registered = !failed(Answer) && !std::exchange(RegisterAgain, false);
    NextRegister = Clock.now() + (Conflict ? milliseconds(0) : RegisterRetry);
    // Of two instances that register at the same time, one sees the other in a
    // list that is read after its own registration.
    if (Registered && !ObjectExists && !FirstStart)
      NextList = Clock.now();
    ObjectExists = ObjectExists || Registered || Conflict;
  });
}

bool member_system::isRegistrationCurrent(const object_list &List) const {
  const std::string Name = instanceObjectName(Settings.Name);
  const json::value Record = json::parse(recordOf(Settings, Leaving));
  const auto Own = std::find_if(
      List.Objects.begin(), List.Objects.end(),
      [&](const stored_object &Object) { return Object.Name == Name; });
  boost::system::error_code Failure;
  return Own != List.Objects.end() &&
         json::parse(Own->Value, Failure) == Record && !Failure;
}

void member_system::historyLost() {
  std::uniform_int_distribution<std::int64_t> Spread(0, RegisterSpread.count());
  const milliseconds Wait(Spread(Random));
  Registered = false;
  NextRegister = Clock.now() + Wait;
  NextList = Clock.now() + ListAfterLoss + Wait;
  DropList = Listing;
  // A write in progress may have been made before the loss.
  RegisterAgain = Registering;
}

void member_system::listSoon() {
  NextList = std::min(NextList, std::max(Clock.now(), ListedAt + ListPause));
}

void member_system::listInstances() {
  Listing = true;
  Store.list({InstancePrefix}, [this](const result<object_list> &Answer) {
    Listing = false;
    if (std::exchange(DropList, false))
      return;
    NextList = Clock.now() + (failed(Answer) ? ListRetry : ListPeriod);
    if (failed(Answer))
      return;
    ListedAt = Clock.now();
    Listed.clear();
    Registrations.emplace();
    Registered = Registered || isRegistrationCurrent(valueOf(Answer));
    for (const stored_object &Object : valueOf(Answer).Objects)
      if (Object.Name == instanceObjectName(Settings.Name)) {
        ObjectExists = true;
      } else {
        const std::size_t Before = Listed.size();
        addSeed(Object.Value, Listed);
        if (Listed.size() > Before)
          Registrations->push_back(
              {Object.Name.substr(instanceObjectName({}).size()),
               Listed.back().DataCentre});
      }
    updateSeeds();
  });
}

void member_system::leave() {
  Leaving = true;
  Registered = false;
  NextRegister = Clock.now();
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
