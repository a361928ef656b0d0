#include "world.h"

#include <csignal>
#include <fstream>
#include <random>

namespace magnoliaspread {

namespace json = boost::json;
using std::chrono::milliseconds;

namespace {

constexpr unsigned CallerThreads = 8;
constexpr milliseconds CallerPause{15};
/// Over a hundred times a target's time for one request.
constexpr milliseconds CallerDeadline{1500};
/// Requests a second; more than the callers send.
constexpr int ClubRate = 1000;
constexpr int AffinityKeys = 40;
/// Requests a second that a cold target can serve.
constexpr double ColdTargetRate = 30;
/// Callers wait this long after their deadline for an answer.
constexpr milliseconds AnswerMargin{2500};
constexpr milliseconds Work{15};
constexpr milliseconds DownTime{700};
constexpr milliseconds CrashPause{250};
constexpr std::size_t PipelinedRequests = 4;
/// Longer than the grace period.
constexpr milliseconds EndTimeout{8000};
constexpr int InstancesPerDataCentre = 2;
constexpr int TargetsPerDataCentre = 3;
constexpr const char *Secret =
    "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";
/// Regions by data centre.
const std::vector<std::pair<std::string, std::string>> Regions{
    {"north-a", "north"}, {"north-b", "north"}, {"south-a", "south"}};

std::string at(std::uint16_t Port) {
  return "127.0.0.1:" + std::to_string(Port);
}

void setAddresses(soak_instance &Instance, int Host) {
  Instance.InternalHost = "127.0.0." + std::to_string(Host);
  for (std::uint16_t *Port : {&Instance.Public, &Instance.Admin,
                              &Instance.Directory, &Instance.Ready})
    *Port = freePort();
}

std::string fieldOf(const http_answer &Answer, const char *Name) {
  const auto Found = Answer.Fields.find(Name);
  return Found == Answer.Fields.end() ? std::string() : Found->second;
}

} // namespace

soak_world::soak_world(const std::string &Folder) : Folder(Folder) {
  configure(false);
  for (const auto &[DataCentre, Region] : Regions) {
    for (int I = 0; I < TargetsPerDataCentre; ++I) {
      soak_target &Target = Targets.emplace_back();
      Target.DataCentre = DataCentre;
      Target.Target = std::make_unique<target_standin>(
          "i-" + std::to_string(Targets.size()));
      Target.Target->setWorkTime(Work);
      Target.Target->setDownTime(DownTime);
      Target.Link = std::make_unique<fault_proxy>(Target.Target->port());
      putTarget(Target, "ready");
    }
  }
  for (const soak_target &Target : Targets)
    Target.Target->onRestart([this, &Target] { putTarget(Target, "ready"); });
  for (const auto &[DataCentre, Region] : Regions) {
    for (int I = 0; I < InstancesPerDataCentre; ++I) {
      soak_instance &Instance = Instances.emplace_back();
      Instance.Name = DataCentre + "-" + std::to_string(I + 1);
      Instance.DataCentre = DataCentre;
      Instance.Region = Region;
      setAddresses(Instance, NextHost++);
      Instance.Store = std::make_unique<fault_proxy>(Store.port());
    }
  }
  for (soak_instance &Instance : Instances)
    start(Instance);
  FirstStart = false;
}

soak_world::~soak_world() { stopCallers(); }

void soak_world::replace(soak_instance &Instance) {
  Instance.Process->signal(SIGTERM);
  Instance.Process->wait(EndTimeout);
  Instance.Name += "-next";
  setAddresses(Instance, NextHost++);
  start(Instance);
}

std::string soak_world::settingsOf(const soak_instance &Instance) const {
  json::object DataCentres;
  for (const auto &[DataCentre, Region] : Regions)
    DataCentres[DataCentre] = Region;
  json::array Seeds;
  for (const soak_instance &Row : Instances)
    Seeds.emplace_back(Row.InternalHost + ":" + std::to_string(InternalPort));
  return json::serialize(json::object{
      {"name", Instance.Name},
      {"region", Instance.Region},
      {"data_centre", Instance.DataCentre},
      {"public", at(Instance.Public)},
      {"internal", Instance.InternalHost + ":" + std::to_string(InternalPort)},
      {"admin", at(Instance.Admin)},
      {"platform", at(Instance.Store->port())},
      {"fleet_secret", Secret},
      {"lookup_ttl_ms", 1000},
      {"control_tick_ms", 50},
      {"gateway",
       json::object{{"directory", at(Instance.Directory)},
                    {"ready", at(Instance.Ready)},
                    {"data_centres", std::move(DataCentres)},
                    {"seeds", std::move(Seeds)},
                    {"first_start", FirstStart},
                    {"revocation_ms", 5000},
                    {"retry_ratio", 0.2},
                    {"grace_ms", 6000},
                    {"pipelining", json::object{{"requests", 8}}}}}});
}

void soak_world::start(soak_instance &Instance) {
  std::ofstream(Folder + "/" + Instance.Name + ".json") << settingsOf(Instance);
  Instance.Process.emplace(
      std::vector<std::string>{DAEMON_PROGRAM, "--settings",
                               Folder + "/" + Instance.Name + ".json"},
      Folder + "/" + Instance.Name + ".log", true);
  Instance.Paused = false;
  Instance.TerminatedAt.reset();
  Instance.LateExitExcused = false;
}

bool soak_world::ready(const soak_instance &Instance) const {
  return call(Instance.Ready, {.Target = "/magnoliaspread/readiness",
                               .Timeout = milliseconds(500)})
             .Status == 200;
}

bool soak_world::waitAllReady(milliseconds Limit) {
  const soak_time End = std::chrono::steady_clock::now() + Limit;
  for (const soak_instance &Instance : Instances)
    while (!ready(Instance)) {
      if (std::chrono::steady_clock::now() >= End)
        return false;
      std::this_thread::sleep_for(milliseconds(50));
    }
  return true;
}

void soak_world::configure(bool WithoutKey) {
  KeyWithdrawn = KeyWithdrawn || WithoutKey;
  json::array ClubKeys{"key-club"};
  if (!KeyWithdrawn)
    ClubKeys.emplace_back("key-gone");
  json::array Workspaces{standinTenant("club", std::move(ClubKeys), ClubRate),
                         standinTenant("small", {"key-small"}, SmallRate)};
  Workspaces.insert(Workspaces.end(), AddedWorkspaces.begin(),
                    AddedWorkspaces.end());
  Store.put(
      "config", "main",
      standinConfiguration(++Version, ColdTargetRate, std::move(Workspaces)));
  if (WithoutKey && !KeyWithdrawnAt)
    KeyWithdrawnAt = std::chrono::steady_clock::now();
}

void soak_world::addWorkspaces(const std::vector<std::string> &Names,
                               int Rate) {
  for (const std::string &Name : Names)
    AddedWorkspaces.push_back(standinTenant(Name, {"key-" + Name}, Rate));
  configure(false);
}

void soak_world::putTarget(const soak_target &Target,
                           const std::string &State) {
  Store.put(
      "servers", Target.Target->name(),
      Target.Target->entry(State, Target.DataCentre, Target.Link->port()));
}

namespace {

http_call callOf(const sent_request &Request, std::uint64_t Object) {
  return {
      .Method = Request.Repeatable ? "GET" : "POST",
      .Target = (Request.Repeatable ? "/read" : "/pay") +
                std::string(Request.Crashes ? CrashPath : "/1"),
      .Fields = {{"Host", "a.example"},
                 {"Attempt-Id", Request.Id},
                 {"Affinity-Key",
                  std::to_string(Request.Crashes ? 0 : Object % AffinityKeys)},
                 {"Request-Deadline", std::to_string(CallerDeadline.count())},
                 {"Key", Request.Key}},
      .Body = Request.Repeatable ? "" : "sum=3",
      .Timeout = CallerDeadline + AnswerMargin};
}

} // namespace

sent_request soak_world::newRequest(const std::string &Key, bool Repeatable,
                                    bool Crashes) {
  sent_request Request;
  Request.Crashes = Crashes;
  Request.Id = "id-" + std::to_string(++NextId);
  Request.Key = Key;
  Request.Repeatable = Repeatable;
  Request.SentAt = std::chrono::steady_clock::now();
  return Request;
}

void soak_world::record(sent_request &Request, const http_answer &Answer) {
  Request.Status = Answer.Status;
  Request.Signature = fieldOf(Answer, "Server-Signature");
  Request.EchoedId = fieldOf(Answer, "Attempt-Id");
  Request.Body = Answer.Body;
  const std::lock_guard Lock(Mutex);
  Sent.push_back(Request);
}

sent_request soak_world::send(const soak_instance &Instance,
                              const std::string &Key, bool Repeatable,
                              bool Crashes) {
  sent_request Request = newRequest(Key, Repeatable, Crashes);
  record(Request, call(Instance.Public, callOf(Request, NextId)));
  return Request;
}

void soak_world::sendPipelined(const soak_instance &Instance,
                               const std::string &Key, std::size_t Count) {
  open_connection Connection(Instance.Public);
  std::vector<sent_request> Requests;
  for (std::size_t I = 0; I < Count; ++I) {
    Requests.push_back(newRequest(Key, true, false));
    Connection.send(callOf(Requests.back(), NextId));
  }
  bool Lost = false;
  for (sent_request &Request : Requests) {
    http_answer Answer;
    if (!Lost)
      Answer = Connection.receive(CallerDeadline + AnswerMargin);
    Lost = Answer.Status == 0;
    record(Request, Answer);
  }
}

std::vector<sent_request> soak_world::sent() const {
  const std::lock_guard Lock(Mutex);
  return Sent;
}

void soak_world::callerLoop(unsigned Number) {
  std::mt19937 Random(Number);
  const std::vector<std::string> Keys{"key-club", "key-gone", "key-small",
                                      "key-small"};
  while (Calling) {
    const soak_instance &Instance = Instances[Random() % Instances.size()];
    const std::string &Key = Keys[Random() % Keys.size()];
    if (Random() % 8 == 0)
      sendPipelined(Instance, Key, PipelinedRequests);
    else
      send(Instance, Key, Random() % 2 == 0);
    std::this_thread::sleep_for(CallerPause);
  }
}

void soak_world::crashLoop() {
  std::mt19937 Random(0);
  while (Calling) {
    send(Instances[Random() % Instances.size()], "key-club", Random() % 4 == 0,
         true);
    std::this_thread::sleep_for(CrashPause);
  }
}

void soak_world::startCrashes() {
  Callers.emplace_back([this] { crashLoop(); });
}

void soak_world::startCallers() {
  Calling = true;
  for (unsigned I = 0; I < CallerThreads; ++I)
    Callers.emplace_back([this, I] { callerLoop(I); });
}

void soak_world::stopCallers() {
  Calling = false;
  for (std::thread &Caller : Callers)
    Caller.join();
  Callers.clear();
}

} // namespace magnoliaspread
