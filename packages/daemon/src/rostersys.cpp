#include "rostersys_p.h"

#include <magnoliaspread/log.h>

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace magnoliaspread {

namespace json = boost::json;
using std::chrono::milliseconds;

namespace {

constexpr const char *InstancePrefix = "instances/";
/// All instances register again after a loss of the platform's history, spread
/// over this time.
constexpr milliseconds RegisterSpread{2000};

json::object addressJson(const endpoint_address &Address) {
  return {{"address", Address.Address}, {"port", Address.Port}};
}

std::string textOf(const endpoint_address &Address) {
  return Address.Address + ':' + std::to_string(Address.Port);
}

std::string recordOf(const instance_settings &Settings,
                     std::uint64_t Incarnation, registration_state State) {
  const json::object Record{{"name", Settings.Name},
                            {"data_centre", Settings.DataCentre},
                            {"region", Settings.Region},
                            {"public", addressJson(Settings.Public)},
                            {"internal", addressJson(Settings.Internal)},
                            {"admin", addressJson(Settings.Admin)},
                            {"state", nameOf(State)},
                            {"incarnation", std::to_string(Incarnation)}};
  return json::serialize(Record);
}

/// The string field \p Name; empty if it is missing or no string.
std::string textField(const json::object &Object, std::string_view Name) {
  const json::value *Value = Object.if_contains(Name);
  return Value != nullptr && Value->is_string() ? Value->get_string().c_str()
                                                : std::string();
}

std::optional<endpoint_address> internalAddress(const json::object &Record) {
  const json::value *Internal = Record.if_contains("internal");
  if (Internal == nullptr || !Internal->is_object())
    return std::nullopt;
  const std::string Host = textField(Internal->get_object(), "address");
  const json::value *Port = Internal->get_object().if_contains("port");
  if (Host.empty() || Port == nullptr)
    return std::nullopt;
  boost::system::error_code Failure;
  const auto Number = Port->to_number<std::uint16_t>(Failure);
  if (Failure)
    return std::nullopt;
  return endpoint_address{Host, Number};
}

roster_settings rosterSettings(const instance_settings &Settings,
                               std::uint64_t Incarnation) {
  roster_settings Roster;
  Roster.Instance = Settings.Name;
  Roster.Region = Settings.Region;
  Roster.Address = textOf(Settings.Internal);
  Roster.Incarnation = Incarnation;
  Roster.Leases = Settings.Gateway.has_value();
  Roster.FirstStart = Settings.Gateway && Settings.Gateway->FirstStart;
  return Roster;
}

} // namespace

std::string instanceObjectName(const std::string &Instance) {
  return InstancePrefix + Instance;
}

roster_system::roster_system(object_store &Store, const clock &Clock,
                             const instance_settings &Settings,
                             std::uint64_t Incarnation, std::uint64_t Seed)
    : Store(Store), Clock(Clock), Settings(Settings), Incarnation(Incarnation),
      Random(Seed), Roster(rosterSettings(Settings, Incarnation), Clock.now()) {
}

void roster_system::tick(bool IsReader,
                         const instance_roster::live_predicate &IsLive) {
  const steady_time Now = Clock.now();
  if (Roster.takeRead(IsReader, Now, Clock.boot()))
    Roster.revision() == NoObject ? list() : pollChanges();
  if (const auto Write = Roster.takeOwnWrite(Now))
    writeOwn(*Write);
  if (IsReader)
    if (const auto Write = Roster.takeMark(Now, IsLive))
      mark(*Write);
  logRoster();
}

void roster_system::leave() { Roster.leave(Clock.now()); }

void roster_system::historyLost(store_era Era) {
  std::uniform_int_distribution<std::int64_t> Spread(0, RegisterSpread.count());
  Roster.historyLost(Era, milliseconds(Spread(Random)), Clock.now());
}

/// Keeps a registration; false if it can't be read.
bool roster_system::store(const stored_object &Object) {
  const std::string Name =
      Object.Name.substr(std::string_view(InstancePrefix).size());
  boost::system::error_code Failure;
  const json::value Value = json::parse(Object.Value, Failure);
  const json::object *Record =
      !Failure && Value.is_object() ? &Value.get_object() : nullptr;
  const auto Internal = Record ? internalAddress(*Record) : std::nullopt;
  const auto State =
      Record ? registrationState(textField(*Record, "state")) : std::nullopt;
  if (!Internal || !State) {
    logEvent(log_level::Warning, "registration_unreadable",
             {{"instance", Name}, {"revision", Object.Version}});
    return false;
  }
  registration &Row = Registrations[Name];
  Row = {
      Name,          textField(*Record, "region"), textOf(*Internal), *State, 0,
      Object.Version};
  const std::string Number = textField(*Record, "incarnation");
  std::from_chars(Number.data(), Number.data() + Number.size(),
                  Row.Incarnation);
  Addresses[Name] = {textField(*Record, "data_centre"), *Internal};
  Records[Name] = Object.Value;
  return true;
}

void roster_system::updateSeeds() {
  std::vector<seed_address> Known;
  for (const auto &[Name, Address] : Addresses)
    if (Name != Settings.Name)
      Known.push_back(Address);
  if (Known == Seeds)
    return;
  Seeds = std::move(Known);
  SeedsChanged = true;
}

void roster_system::list() {
  Store.list({InstancePrefix},
             [this, AsOf = Clock.boot()](const result<object_list> &Answer) {
               if (failed(Answer))
                 return Roster.readFailed(Clock.now());
               Registrations.clear();
               Addresses.clear();
               Records.clear();
               for (const stored_object &Object : valueOf(Answer).Objects)
                 store(Object);
               updateSeeds();
               std::vector<registration> All;
               for (const auto &[Name, Row] : Registrations)
                 All.push_back(Row);
               Roster.applyList(All, AsOf, valueOf(Answer).Era,
                                valueOf(Answer).Revision, Clock.now());
             });
}

void roster_system::pollChanges() {
  Store.changes(
      {InstancePrefix, Roster.revision(), milliseconds(0), Roster.era()},
      [this, AsOf = Clock.boot()](const result<changes_answer> &Answer) {
        if (failed(Answer))
          return Roster.readFailed(Clock.now());
        const changes_answer &Read = valueOf(Answer);
        if (Read.HistoryGone || Read.Era != Roster.era()) {
          Roster.forgetRevision();
          return Roster.readFailed(Clock.now());
        }
        std::vector<registration> Changed;
        std::vector<std::string> Removed;
        for (const object_change &Change : Read.Changes) {
          const std::string Name = Change.Object.Name.substr(
              std::string_view(InstancePrefix).size());
          std::erase_if(Changed, [&](const registration &Row) {
            return Row.Name == Name;
          });
          std::erase(Removed, Name);
          if (!Change.Removed && store(Change.Object)) {
            Changed.push_back(Registrations[Name]);
            continue;
          }
          Removed.push_back(Name);
          Registrations.erase(Name);
          Addresses.erase(Name);
          Records.erase(Name);
        }
        updateSeeds();
        Roster.applyChanges(Changed, Removed, AsOf, Read.Revision, Clock.now());
      });
}

void roster_system::writeOwn(const registration_write &Write) {
  put_request Request{instanceObjectName(Settings.Name),
                      recordOf(Settings, Incarnation, *Write.State),
                      Write.IfVersion};
  if (Write.IfVersion != NoObject)
    Request.IfEra = Roster.era();
  Store.put(std::move(Request),
            [this, State = *Write.State](const result<put_answer> &Answer) {
              logEvent(log_level::Info, "registration_written",
                       {{"state", nameOf(State)},
                        {"detail", failed(Answer) ? errorOf(Answer).Detail
                                                  : std::string("ok")},
                        {"revision",
                         failed(Answer) ? NoObject : valueOf(Answer).Version}});
              if (failed(Answer) || valueOf(Answer).Superseded)
                return Roster.ownWriteFailed(Clock.now());
              Roster.ownWritten(valueOf(Answer).Version, State, Clock.now(),
                                Clock.boot());
            });
}

/// Writes what the region's reader found out about another instance.
void roster_system::mark(const registration_write &Write) {
  const auto Known = Records.find(Write.Name);
  if (Known == Records.end())
    return Roster.markEnded();
  const std::string_view State =
      Write.State ? nameOf(*Write.State) : std::string_view("removed");
  const auto Done = [this, Name = Write.Name, State](const error *Failure) {
    logEvent(
        log_level::Warning, "registration_marked",
        {{"instance", Name},
         {"state", State},
         {"detail", Failure == nullptr ? std::string("ok") : Failure->Detail}});
    Roster.markEnded();
  };
  if (!Write.State)
    return Store.remove({instanceObjectName(Write.Name), Write.IfVersion},
                        [Done](const result<std::monostate> &Answer) {
                          Done(failed(Answer) ? &errorOf(Answer) : nullptr);
                        });
  json::value Record = json::parse(Known->second);
  Record.as_object()["state"] = nameOf(*Write.State);
  Store.put({instanceObjectName(Write.Name), json::serialize(Record),
             Write.IfVersion, Roster.era()},
            [Done](const result<put_answer> &Answer) {
              Done(failed(Answer) ? &errorOf(Answer) : nullptr);
            });
}

std::string roster_system::rowsText() const {
  json::array Rows;
  for (const roster_row &Row : Roster.rows())
    Rows.push_back(json::array{Row.Name, nameOf(Row.State)});
  return json::serialize(json::object{{"era", Roster.era()},
                                      {"fleet", Roster.fleetSize()},
                                      {"rows", std::move(Rows)}});
}

status roster_system::applyRowsText(std::string_view Text, boot_time AsOf) {
  const error Malformed{error_kind::BadRequest, "malformed roster", {}};
  boost::system::error_code Failure;
  const json::value Value = json::parse(Text, Failure);
  if (Failure || !Value.is_object())
    return Malformed;
  const json::object &Object = Value.get_object();
  const json::value *Era = Object.if_contains("era");
  const json::value *Fleet = Object.if_contains("fleet");
  const json::value *Rows = Object.if_contains("rows");
  if (Era == nullptr || Fleet == nullptr || Rows == nullptr ||
      !Rows->is_array())
    return Malformed;
  std::vector<roster_row> Read;
  for (const json::value &Row : Rows->get_array()) {
    if (!Row.is_array() || Row.get_array().size() != 2 ||
        !Row.get_array()[0].is_string() || !Row.get_array()[1].is_string())
      return Malformed;
    const auto State =
        registrationState(std::string(Row.get_array()[1].get_string()));
    if (!State)
      return Malformed;
    Read.push_back({Row.get_array()[0].get_string().c_str(), *State});
  }
  const auto EraNumber = Era->to_number<store_era>(Failure);
  const auto FleetSize = Failure ? 0 : Fleet->to_number<std::size_t>(Failure);
  if (Failure)
    return Malformed;
  Roster.applyRows(Read, FleetSize, AsOf, EraNumber, Clock.now());
  return {};
}

/// Logs each change of the roster, and of the own right to mint.
void roster_system::logRoster() {
  const bool Minting = Roster.minting();
  if (!Roster.known() ||
      (Roster.stamp().Hash == LoggedHash && Minting == LoggedMinting))
    return;
  LoggedHash = Roster.stamp().Hash;
  LoggedMinting = Minting;
  std::map<std::string_view, std::size_t> Counts;
  for (const roster_row &Row : Roster.rows())
    ++Counts[nameOf(Row.State)];
  logEvent(log_level::Info, "roster_changed",
           {{"minting", Minting ? "yes" : "no"},
            {"live", Counts["live"]},
            {"joining", Counts["joining"]},
            {"suspect", Counts["suspect"]},
            {"leaving", Counts["leaving"]},
            {"gone", Counts["gone"]},
            {"fleet", Roster.fleetSize()},
            {"hash", LoggedHash}});
}

} // namespace magnoliaspread
