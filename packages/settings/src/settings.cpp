#include <magnoliaspread/settings.h>

#include "json_read_p.h"
#include "schema_p.h"

#include <exception>
#include <fstream>
#include <iterator>
#include <set>

namespace magnoliaspread {
namespace {

constexpr std::size_t SecretLength = 64;
/// Slots, tickets and credits are owned by one traffic thread.
constexpr double MaxThreads = 1;
constexpr double MinHeaderBytes = 1024;
constexpr double MaxHeaderLimit = 1 << 20;
constexpr double MinTickMs = 1;
constexpr double MaxTickMs = 1000;
constexpr double MinLeaseMs = 500;
constexpr double MaxLeaseMs = 600000;
constexpr double MaxCores = 1024;
/// For drain_ms, config_ms and evacuation_ms; two reads and one request fit.
constexpr double MinBoundMs = 1000;
constexpr double MaxLinkMbps = 1000000;
constexpr double MaxPipelinedRequests = 64;
constexpr double MaxLoadFactor = 100;

/// Parses "address:port" with an IP address; false when malformed.
bool parseEndpoint(std::string_view Text, endpoint_address &Address) {
  const std::size_t Colon = Text.rfind(':');
  std::uint16_t Port = 0;
  if (Colon == Text.npos || !fromText(Text.substr(Colon + 1), Port))
    return false;
  const std::string Host(Text.substr(0, Colon));
  if (!allows(textField("address", presence::Required, text_rule::IpAddress),
              Host))
    return false;
  Address = {Host, Port};
  return true;
}

void readAddress(object_reader &Reader, std::string_view Name,
                 endpoint_address &Address, read_fault &Fault) {
  const boost::json::value *Json = Reader.findField(Name, presence::Required);
  if (!Json)
    return;
  if (Json->is_string()) {
    if (!parseEndpoint(Json->get_string(), Address))
      Reader.reject(textField(Name, presence::Required, text_rule::AnyText),
                    *Json,
                    "an IP number and a port, such as \"127.0.0.1:8080\"");
    return;
  }
  object_reader Nested(*Json, Reader.pathOf(Name), Fault);
  Nested(textField("address", presence::Required, text_rule::IpAddress),
         Address.Address);
  Nested(numberField("port", presence::Required, 0, MaxPort), Address.Port);
  Nested.finish();
}

void readIdentity(object_reader &Reader, std::string &Name, std::string &Region,
                  std::string &DataCentre) {
  Reader(textField("name", presence::Required, text_rule::Name), Name);
  Reader(textField("region", presence::Required, text_rule::Name), Region);
  Reader(textField("data_centre", presence::Required, text_rule::Name),
         DataCentre);
}

void readPeers(object_reader &Reader, std::vector<peer_settings> &Peers,
               read_fault &Fault) {
  const boost::json::array *Array = Reader.findArray("peers");
  if (!Array)
    return;
  std::set<std::string> Names;
  for (const boost::json::value &Json : *Array) {
    std::string Where =
        Reader.pathOf("peers") + "[" + std::to_string(Peers.size()) + "]";
    object_reader Nested(Json, Where, Fault);
    peer_settings &Peer = Peers.emplace_back();
    readIdentity(Nested, Peer.Name, Peer.Region, Peer.DataCentre);
    readAddress(Nested, "internal", Peer.Internal, Fault);
    readAddress(Nested, "public", Peer.Public, Fault);
    Nested.finish();
    if (!Names.insert(Peer.Name).second)
      Fault.set(faultText(Where, "name", "\"" + Peer.Name + "\"",
                          "a name that no other peer has"));
  }
}

void readLimits(object_reader &Reader, instance_settings &Settings) {
  Reader(numberField("traffic_threads", presence::Optional, 1, MaxThreads),
         Settings.TrafficThreads);
  Reader(numberField("lookup_ttl_ms", presence::Optional, 0, MaxMilliseconds),
         Settings.LookupTtl);
  Reader(
      numberField("drain_timeout_ms", presence::Optional, 0, MaxMilliseconds),
      Settings.DrainTimeout);
  Reader(
      numberField("lease_ttl_ms", presence::Optional, MinLeaseMs, MaxLeaseMs),
      Settings.LeaseTtl);
  Reader(
      numberField("control_tick_ms", presence::Optional, MinTickMs, MaxTickMs),
      Settings.ControlTick);
  Reader(numberField("max_header_bytes", presence::Optional, MinHeaderBytes,
                     MaxHeaderLimit),
         Settings.MaxHeaderBytes);
}

void readRegions(object_reader &Reader, gateway_settings &Gateway,
                 read_fault &Fault) {
  const boost::json::value *Json =
      Reader.findField("data_centres", presence::Required);
  if (!Json)
    return;
  const boost::json::object *Rows = Json->if_object();
  if (Rows == nullptr)
    return Reader.reject(
        textField("data_centres", presence::Required, text_rule::AnyText),
        *Json, "an object that maps data centres to regions");
  object_reader Nested(*Json, Reader.pathOf("data_centres"), Fault);
  for (const auto &Row : *Rows)
    Nested(textField(Row.key(), presence::Required, text_rule::Name),
           Gateway.Regions[std::string(Row.key())]);
}

void readSeeds(object_reader &Reader, gateway_settings &Gateway) {
  const boost::json::array *Array = Reader.findArray("seeds");
  if (!Array)
    return;
  for (const boost::json::value &Json : *Array) {
    endpoint_address Seed;
    if (!Json.is_string() || !parseEndpoint(Json.get_string(), Seed))
      Reader.reject(textField("seeds", presence::Optional, text_rule::AnyText),
                    Json, "texts such as \"127.0.0.1:8080\"");
    else
      Gateway.Seeds.push_back(Seed.Address);
  }
}

void readPipelining(object_reader &Reader, gateway_settings &Gateway,
                    read_fault &Fault) {
  const boost::json::value *Json =
      Reader.findField("pipelining", presence::Optional);
  if (!Json)
    return;
  object_reader Nested(*Json, Reader.pathOf("pipelining"), Fault);
  Nested(numberField("requests", presence::Optional, 1, MaxPipelinedRequests),
         Gateway.PipelinedRequests);
  Nested(numberField("bytes", presence::Optional, 0, MaxCount),
         Gateway.PipelinedBytes);
  Nested.finish();
}

void readCrossing(object_reader &Reader, gateway_settings &Gateway,
                  read_fault &Fault) {
  const boost::json::value *Json =
      Reader.findField("crossing", presence::Optional);
  if (!Json)
    return;
  object_reader Nested(*Json, Reader.pathOf("crossing"), Fault);
  Nested(numberField("data_centre_ms_per_mb", presence::Optional, 0,
                     MaxMilliseconds),
         Gateway.DataCentreCrossing);
  Nested(
      numberField("region_ms_per_mb", presence::Optional, 0, MaxMilliseconds),
      Gateway.RegionCrossing);
  Nested.finish();
}

void readDemand(object_reader &Reader, gateway_settings &Gateway,
                read_fault &Fault) {
  const boost::json::value *Json =
      Reader.findField("demand", presence::Optional);
  if (!Json)
    return;
  object_reader Nested(*Json, Reader.pathOf("demand"), Fault);
  Nested(numberField("max_shift", presence::Required, 0, 1),
         Gateway.MaxRegionShift);
  Nested.finish();
}

/// The object switches affinity on unless it says otherwise.
void readAffinity(object_reader &Reader, affinity_settings &Affinity,
                  read_fault &Fault) {
  const boost::json::value *Json =
      Reader.findField("affinity", presence::Optional);
  if (!Json)
    return;
  object_reader Nested(*Json, Reader.pathOf("affinity"), Fault);
  Affinity.Enabled = true;
  Nested(choiceField("enabled"), Affinity.Enabled);
  Nested(numberField("load_factor", presence::Optional, 1, MaxLoadFactor),
         Affinity.LoadFactor);
  Nested(numberField("least_gain", presence::Optional, 0, 1),
         Affinity.LeastGain);
  Nested.finish();
}

/// The object switches fair shares on unless it says otherwise.
void readFairShare(object_reader &Reader, fair_share_settings &FairShare,
                   read_fault &Fault) {
  const boost::json::value *Json =
      Reader.findField("fair_share", presence::Optional);
  if (!Json)
    return;
  object_reader Nested(*Json, Reader.pathOf("fair_share"), Fault);
  FairShare.Enabled = true;
  Nested(choiceField("enabled"), FairShare.Enabled);
  Nested(numberField("queue_part", presence::Optional, 0, 1),
         FairShare.QueuePart);
  Nested.finish();
}

void readGateway(object_reader &Reader, instance_settings &Settings,
                 read_fault &Fault) {
  const boost::json::value *Json =
      Reader.findField("gateway", presence::Optional);
  if (!Json)
    return;
  object_reader Nested(*Json, Reader.pathOf("gateway"), Fault);
  gateway_settings &Gateway = Settings.Gateway.emplace();
  readAddress(Nested, "directory", Gateway.Directory, Fault);
  readAddress(Nested, "ready", Gateway.Ready, Fault);
  readRegions(Nested, Gateway, Fault);
  readSeeds(Nested, Gateway);
  readCrossing(Nested, Gateway, Fault);
  Nested(numberField("revocation_ms", presence::Optional, 0, MaxMilliseconds),
         Gateway.RevocationBound);
  Nested(numberField("retry_ratio", presence::Optional, 0, 1),
         Gateway.RetryRatio);
  Nested(numberField("retry_slack", presence::Optional, 0, MaxCount),
         Gateway.RetrySlack);
  Nested(numberField("target_heartbeat_ms", presence::Optional, 1,
                     MaxMilliseconds),
         Gateway.TargetHeartbeat);
  Nested(
      numberField("drain_ms", presence::Optional, MinBoundMs, MaxMilliseconds),
      Gateway.DrainBound);
  Nested(
      numberField("config_ms", presence::Optional, MinBoundMs, MaxMilliseconds),
      Gateway.ConfigBound);
  Nested(numberField("evacuation_ms", presence::Optional, MinBoundMs,
                     MaxMilliseconds),
         Gateway.EvacuationBound);
  Nested(choiceField("first_start"), Gateway.FirstStart);
  Nested(numberField("grace_ms", presence::Optional, 0, MaxMilliseconds),
         Gateway.Grace);
  Nested(numberField("cpu_share", presence::Optional, 0, MaxCores),
         Gateway.CpuCores);
  Nested(numberField("link_mbps", presence::Optional, 0, MaxLinkMbps),
         Gateway.LinkMbps);
  Nested(choiceField("detect_broken_path"), Gateway.DetectBrokenPath);
  Nested(numberField("forward_port", presence::Optional, 0,
                     std::numeric_limits<std::uint16_t>::max()),
         Gateway.ForwardPort);
  readPipelining(Nested, Gateway, Fault);
  readDemand(Nested, Gateway, Fault);
  readAffinity(Nested, Gateway.Affinity, Fault);
  readFairShare(Nested, Gateway.FairShare, Fault);
  Nested.finish();
}

bool isHexSecret(std::string_view Text) {
  return Text.size() == SecretLength &&
         Text.find_first_not_of("0123456789abcdefABCDEF") == Text.npos;
}

/// Checks or loads the secret; messages never contain its value.
void readSecret(object_reader &Reader, std::string_view FileName,
                instance_settings &Settings, read_fault &Fault) {
  std::string Where(FileName);
  Reader(textField("fleet_secret", presence::Optional, text_rule::Secret),
         Settings.FleetSecret);
  Reader(textField("fleet_secret_file", presence::Optional, text_rule::AnyText),
         Settings.FleetSecretFile);
  std::string_view Field = "fleet_secret";
  if (!Settings.FleetSecretFile.empty()) {
    Field = "fleet_secret_file";
    if (!Settings.FleetSecret.empty())
      return Fault.set(Where + ": fields \"fleet_secret\" and "
                               "\"fleet_secret_file\" are both set, allowed: "
                               "one of them");
    std::ifstream File(Settings.FleetSecretFile);
    if (!(File >> Settings.FleetSecret))
      return Fault.set(faultText(Where, Field,
                                 "\"" + Settings.FleetSecretFile + "\"",
                                 "a file that can be read"));
  }
  if (!isHexSecret(Settings.FleetSecret))
    Fault.set(
        faultText(Where, Field, "malformed", "32 bytes as 64 hex digits"));
}

result<instance_settings> parseChecked(std::string_view Text,
                                       std::string_view FileName) {
  auto Json = parseJson(Text, error_kind::BadSettings);
  if (failed(Json)) {
    error Fault = errorOf(Json);
    Fault.Detail = std::string(FileName) + ": " + Fault.Detail;
    return Fault;
  }
  instance_settings Settings;
  read_fault Fault;
  object_reader Reader(valueOf(Json), std::string(FileName), Fault);
  readIdentity(Reader, Settings.Name, Settings.Region, Settings.DataCentre);
  readAddress(Reader, "public", Settings.Public, Fault);
  readAddress(Reader, "internal", Settings.Internal, Fault);
  readAddress(Reader, "admin", Settings.Admin, Fault);
  readAddress(Reader, "platform", Settings.Platform, Fault);
  readLimits(Reader, Settings);
  readPeers(Reader, Settings.Peers, Fault);
  readGateway(Reader, Settings, Fault);
  readSecret(Reader, FileName, Settings, Fault);
  Reader.finish();
  if (Fault.found())
    return error{error_kind::BadSettings, std::move(Fault.Text), {}};
  return Settings;
}

} // namespace

result<instance_settings> parseSettings(std::string_view Json,
                                        std::string_view FileName) {
  try {
    return parseChecked(Json, FileName);
  } catch (const std::exception &Fault) {
    return error{error_kind::BadSettings,
                 std::string(FileName) + ": " + Fault.what(),
                 {}};
  }
}

result<instance_settings> loadSettings(const std::string &FileName) {
  std::ifstream File(FileName, std::ios::binary);
  if (!File)
    return error{error_kind::BadSettings,
                 FileName + ": can't be opened, allowed: a file to read",
                 {}};
  std::string Text{std::istreambuf_iterator<char>(File), {}};
  return parseSettings(Text, FileName);
}

} // namespace magnoliaspread
