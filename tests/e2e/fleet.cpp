#include "fleet.h"

#include <charconv>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace magnoliaspread {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds ReadyLimit{15000};
constexpr milliseconds PollPause{20};
constexpr const char *Secret =
    "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";

std::string makeFolder() {
  std::string Name =
      (std::filesystem::temp_directory_path() / "fleet-XXXXXX").string();
  if (mkdtemp(Name.data()) == nullptr)
    throw std::runtime_error("no temporary folder");
  return Name;
}

void writeFile(const std::string &Name, const std::string &Text) {
  std::ofstream(Name) << Text;
}

/// Reads the port of a stand-in's line "listening port=N".
std::uint16_t portOf(process &Process) {
  const std::string Line = Process.firstLine();
  const std::size_t Equals = Line.find('=');
  if (Equals == std::string::npos)
    throw std::runtime_error("a stand-in did not start");
  std::uint16_t Port = 0;
  std::from_chars(Line.data() + Equals + 1, Line.data() + Line.size(), Port);
  return Port;
}

boost::json::object addressJson(std::uint16_t Port) {
  return {{"address", "127.0.0.1"}, {"port", Port}};
}

} // namespace

fleet::fleet(const fleet_plan &Plan) : Folder(makeFolder()) {
  makeTable(Plan);
  Plan.Edit(Table);
  makeInstances(Plan);
  startPlatform();
  startTargets(Plan);
  for (fleet_instance &Instance : Instances)
    writeFile(Instance.SettingsFile, settingsText(Instance, Plan));
  for (fleet_instance &Instance : Instances)
    start(Instance);
  for (const fleet_instance &Instance : Instances)
    if (!waitReady(Instance))
      throw std::runtime_error(Instance.Name + " is not ready:\n" + logs());
  for (const fleet_instance &Instance : Instances)
    if (!waitServing(Instance))
      throw std::runtime_error(Instance.Name + " does not serve:\n" + logs());
}

fleet::~fleet() {
  Instances.clear();
  Targets.reset();
  Platform.reset();
  if (std::getenv("KEEP_LOGS") == nullptr)
    std::filesystem::remove_all(Folder);
}

void fleet::makeTable(const fleet_plan &Plan) {
  Table.Version = 1;
  Table.Services.push_back(
      {"work", "/jobs/", false, milliseconds(10000), milliseconds(2000)});
  Table.Services.push_back(
      {"open", "/open/", true, milliseconds(10000), milliseconds(2000)});
  for (const char *Name : {"alpha", "beta"}) {
    Table.Workspaces.push_back({Name, Plan.Rate, Plan.Burst, 1});
    Table.Keys.push_back({std::string(Name) + "-1", Name, hashKey(keyOf(Name)),
                          key_state::Active});
  }
  std::size_t Centres = 0;
  for (const auto &Region : Plan.Regions)
    Centres += Region.DataCentres;
  for (const auto &Region : Plan.Regions) {
    Table.Regions.push_back({Region.Name, drain_state::Active});
    for (std::size_t I = 1; I <= Region.DataCentres; ++I) {
      const std::string Name = Region.Name + "-" + std::to_string(I);
      Table.DataCentres.push_back({Name, Region.Name,
                                   static_cast<std::uint32_t>(1000 / Centres),
                                   4, drain_state::Active});
      for (std::size_t T = 1; T <= Plan.TargetsPerDataCentre; ++T)
        for (const char *Service : {"work", "open"})
          Table.Targets.push_back(
              {std::string(Service) + "-" + Name + "-" + std::to_string(T),
               Service, Name, "127.0.0.1", freePort(), Plan.Slots,
               drain_state::Active});
    }
  }
}

void fleet::makeInstances(const fleet_plan &Plan) {
  for (const data_centre_row &Row : Table.DataCentres)
    for (std::size_t I = 0; I < Plan.InstancesPerDataCentre; ++I) {
      fleet_instance Instance;
      Instance.Name =
          Row.Name + "-" + std::string(1, static_cast<char>('a' + I));
      Instance.DataCentre = Row.Name;
      Instance.Public = freePort();
      Instance.Internal = freePort();
      Instance.Admin = freePort();
      Instance.SettingsFile = Folder + "/" + Instance.Name + ".json";
      Instance.LogFile = Folder + "/" + Instance.Name + ".log";
      Instances.push_back(std::move(Instance));
    }
}

std::string fleet::settingsText(const fleet_instance &Instance,
                                const fleet_plan &Plan) const {
  const auto RegionOf = [&](const std::string &Centre) {
    for (const data_centre_row &Row : Table.DataCentres)
      if (Row.Name == Centre)
        return Row.Region;
    return std::string();
  };
  boost::json::array Peers;
  for (const fleet_instance &Peer : Instances)
    Peers.push_back({{"name", Peer.Name},
                     {"region", RegionOf(Peer.DataCentre)},
                     {"data_centre", Peer.DataCentre},
                     {"internal", addressJson(Peer.Internal)},
                     {"public", addressJson(Peer.Public)}});
  const boost::json::object Settings{
      {"name", Instance.Name},
      {"region", RegionOf(Instance.DataCentre)},
      {"data_centre", Instance.DataCentre},
      {"public", addressJson(Instance.Public)},
      {"internal", addressJson(Instance.Internal)},
      {"admin", addressJson(Instance.Admin)},
      {"platform", addressJson(PlatformPort)},
      {"fleet_secret", Secret},
      {"lookup_ttl_ms", Plan.LookupTtl.count()},
      {"lease_ttl_ms", Plan.LeaseTtl.count()},
      {"drain_timeout_ms", Plan.DrainTimeout.count()},
      {"peers", std::move(Peers)}};
  return boost::json::serialize(Settings);
}

void fleet::startPlatform() {
  const std::string Objects = Folder + "/objects.json";
  writeFile(Objects, "{\"config/table\":" + formatTable(Table) + "}");
  Platform = std::make_unique<process>(
      std::vector<std::string>{PLATFORM_PROGRAM, "--load", Objects},
      Folder + "/platform.log");
  PlatformPort = portOf(*Platform);
}

void fleet::startTargets(const fleet_plan &Plan) {
  const std::string TableFile = Folder + "/table.json";
  writeFile(TableFile, formatTable(Table));
  Targets = std::make_unique<process>(
      std::vector<std::string>{TARGET_PROGRAM, "--table", TableFile,
                               "--work-ms", std::to_string(Plan.Work.count())},
      Folder + "/targets.log");
  TargetPort = portOf(*Targets);
}

void fleet::start(fleet_instance &Instance) {
  Instance.Process = std::make_unique<process>(
      std::vector<std::string>{DAEMON_PROGRAM, "--settings",
                               Instance.SettingsFile},
      Instance.LogFile);
}

bool fleet::waitReady(const fleet_instance &Instance) const {
  return eventually(ReadyLimit, [&] {
    return call(Instance.Admin, {.Target = "/healthz"}).Status == 200;
  });
}

bool fleet::waitServing(const fleet_instance &Instance) const {
  http_call Call{.Target = "/jobs/ready"};
  Call.Fields["X-Api-Key"] = keyOf("alpha");
  return eventually(ReadyLimit,
                    [&] { return call(Instance.Public, Call).Status == 200; });
}

fleet_instance &fleet::instance(const std::string &Name) {
  for (fleet_instance &Instance : Instances)
    if (Instance.Name == Name)
      return Instance;
  throw std::runtime_error("no instance " + Name);
}

std::string fleet::keyOf(const std::string &Workspace) {
  return "test-key-of-" + Workspace;
}

void fleet::putTable() {
  ++Table.Version;
  platform({.Method = "PUT",
            .Target = "/objects/config/table",
            .Body = formatTable(Table)});
}

http_answer fleet::platform(const http_call &Call) const {
  return call(PlatformPort, Call);
}

void fleet::platformFaults(const std::string &Json) const {
  platform({.Method = "POST", .Target = "/faults", .Body = Json});
}

void fleet::targetFaults(const std::string &Json) const {
  call(TargetPort, {.Method = "POST", .Target = "/faults", .Body = Json});
}

boost::json::object fleet::record() const {
  return call(TargetPort, {.Target = "/stats"}).json().as_object();
}

std::uint64_t fleet::runsOf(const std::string &Workspace) const {
  const boost::json::object Record = record();
  const auto *Count =
      Record.at("runs_by_workspace").as_object().if_contains(Workspace);
  return Count == nullptr ? 0 : Count->to_number<std::uint64_t>();
}

std::string fleet::logs() const {
  std::ostringstream Text;
  for (const fleet_instance &Instance : Instances)
    Text << Instance.Name << ":\n" << std::ifstream(Instance.LogFile).rdbuf();
  return Text.str();
}

bool eventually(milliseconds Limit, const std::function<bool()> &Condition) {
  const auto End = std::chrono::steady_clock::now() + Limit;
  for (;;) {
    if (Condition())
      return true;
    if (std::chrono::steady_clock::now() >= End)
      return false;
    std::this_thread::sleep_for(PollPause);
  }
}

} // namespace magnoliaspread
