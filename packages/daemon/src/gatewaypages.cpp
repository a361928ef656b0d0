/// Pages of the gateway: directory and readiness for callers and the platform,
/// configuration and snapshots for peers.
#include "gateway_p.h"

#include "peerfetch_p.h"

#include <magnoliaspread/log.h>

#include <algorithm>

namespace magnoliaspread {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds DirectoryLogPeriod{1000};

} // namespace

admin_answer gateway::snapshotPage() const {
  if (!Follower.knowsTargets() || DrainingSince)
    return {503, "application/json", "{\"error\":\"not_ready\"}"};
  result<std::string> Text = encodeSnapshot(Follower.snapshot(Clock.boot()));
  if (failed(Text))
    return {500, "application/json", "{\"error\":\"unreadable\"}"};
  return {200, "application/octet-stream", std::move(valueOf(Text))};
}

admin_answer gateway::peerPage(const admin_port::request &Request) const {
  const std::string_view Path = Request.target();
  if (Path != ConfigPath && Path != SnapshotPath && Path != RosterPath)
    return {404, "application/json", "{\"error\":\"not_found\"}"};
  const status Verified =
      verifyFetch(Request.base(), Path, Secret, Clock.wall());
  if (failed(Verified))
    return {403, "application/json", "{\"error\":\"peer_rejected\"}"};
  if (Path == SnapshotPath)
    return snapshotPage();
  if (Path == RosterPath)
    return {200, "application/json", Members.registry().rowsText()};
  if (InForce == nullptr)
    return {404, "application/json", "{\"error\":\"not_found\"}"};
  return {200, "application/json", Source.Json};
}

bool gateway::serving() const {
  const bool ConfigConfirmed =
      GateSettings.KeyedConfigMaxAge == milliseconds(0) ||
      Clock.boot() - View.routesConfirmedAt() < GateSettings.KeyedConfigMaxAge;
  // A starting instance may have read an older copy of the configuration.
  const bool ConfigProven = View.routesConfirmedAt() != boot_time();
  return InForce != nullptr && Registry.revision() > 0 && ConfigConfirmed &&
         ConfigProven;
}

/// Instances for callers. Those that reach no targets are left out, unless none
/// does.
std::vector<std::string> gateway::directory() const {
  std::vector<std::string> Rows = directoryRows(true);
  return Rows.empty() ? directoryRows(false) : Rows;
}

int gateway::distanceOf(const member_identity &Peer) const {
  if (Peer.DataCentre == Settings.DataCentre)
    return 0;
  return Peer.Region == Settings.Region ? 1 : 2;
}

/// Whether broken paths have taken more than half of this data centre's
/// capacity; the rest may not bear its callers.
bool gateway::lacksCapacity(steady_time Now) const {
  std::uint64_t Working = 0;
  std::uint64_t Lost = 0;
  (Gate.pathBroken() ? Lost : Working) += Load.Capacity;
  for (const member_row &Row : Peers)
    if (distanceOf(Row.Identity) == 0)
      (Paths.isBroken(Row.Identity.Name, Now) ? Lost : Working) +=
          Row.Report.Load.Capacity;
  return Lost > Working;
}

/// Instances of this data centre, else of the region, else of all; of the whole
/// region while this data centre lacks capacity. chooseEntries selects among
/// them by capacity and load.
std::vector<std::string> gateway::directoryRows(bool OnlyWorkingPaths) const {
  std::vector<std::string> Addresses;
  std::vector<entry_candidate> Candidates;
  const steady_time Now = Clock.now();
  const bool IncludesSelf =
      serving() && !DrainingSince && !(OnlyWorkingPaths && Gate.pathBroken());
  if (IncludesSelf) {
    Addresses.push_back(textOf(Settings.Public));
    Candidates.push_back(ownCandidate());
  }
  const int Least = OnlyWorkingPaths && lacksCapacity(Now) ? 1 : 0;
  int Nearest = IncludesSelf ? Least : 3;
  for (const member_row &Row : Peers) {
    if (!Row.Report.PlatformReachable && IncludesSelf)
      continue;
    if (OnlyWorkingPaths && Paths.isBroken(Row.Identity.Name, Now))
      continue;
    const int Distance = std::max(Least, distanceOf(Row.Identity));
    if (Distance > Nearest)
      continue;
    if (Distance < Nearest) {
      Addresses.clear();
      Candidates.clear();
    }
    Nearest = Distance;
    Addresses.push_back(textOf(Row.Identity.Public));
    Candidates.push_back(candidateOf(Row.Identity, Row.Report.Load));
  }
  std::vector<std::string> Chosen;
  for (const std::size_t Row : chooseEntries(Candidates))
    Chosen.push_back(Addresses[Row]);
  return Chosen;
}

/// Logs whom callers are sent to when that has changed, at most once a second.
void gateway::logDirectory(const std::vector<std::string> &Addresses) {
  const steady_time Now = Clock.now();
  if (Addresses == LoggedDirectory || Now < NextDirectoryLog)
    return;
  LoggedDirectory = Addresses;
  NextDirectoryLog = Now + DirectoryLogPeriod;
  std::string Named;
  for (const std::string &Address : Addresses)
    Named += (Named.empty() ? "" : ",") + Address;
  logEvent(log_level::Info, "directory_changed",
           {{"count", Addresses.size()},
            {"left_out", Paths.brokenCount(Now)},
            {"path", Gate.pathBroken() ? "broken" : "working"},
            {"named", Named}});
}

admin_answer gateway::directoryPage(std::string_view Target) {
  if (!Platform.dialect().readDirectory(Target))
    return {404, "application/json", "{\"error\":\"not_found\"}"};
  const std::vector<std::string> Addresses = directory();
  logDirectory(Addresses);
  if (Addresses.empty())
    return {503, "application/json", "{\"error\":\"no_instance\"}"};
  return {200, "application/json",
          Platform.dialect().directoryAnswer(Addresses, Settings.LookupTtl)};
}

admin_answer gateway::readyPage(std::string_view Target) const {
  if (!Platform.dialect().isReadinessProbe(Target))
    return {404, "application/json", "{\"error\":\"not_found\"}"};
  const bool Accepts = serving() && !DrainingSince && !Gate.pathBroken();
  return {Accepts ? 200U : 503U, "application/json",
          Accepts ? "{\"ready\":true}" : "{\"ready\":false}"};
}

} // namespace magnoliaspread
