#include "pathsys_p.h"

#include <magnoliaspread/log.h>

#include <algorithm>
#include <utility>

namespace magnoliaspread {

using std::chrono::milliseconds;

namespace {

/// Peers asked of the own data centre and of others, at random and again of the
/// busiest.
constexpr std::size_t NearQueries = 1;
constexpr std::size_t FarQueries = 2;
/// Repeated while the path is broken, as datagrams may be lost.
constexpr milliseconds AnnouncementPeriod{700};
/// A peer that doesn't repeat its announcement counts as recovered, or as gone,
/// after this.
constexpr milliseconds AnnouncementLife{2500};

} // namespace

path_system::path_system(gate &Gate, datagram_port &Datagrams,
                         std::string DataCentre, std::uint64_t Seed)
    : Gate(Gate), Datagrams(Datagrams), DataCentre(std::move(DataCentre)),
      Random(Seed) {}

/// Removes the first rows of the own data centre and of others.
std::vector<endpoint_address>
path_system::takePeers(std::vector<const member_row *> &Rows, std::size_t Near,
                       std::size_t Far) const {
  std::vector<endpoint_address> To;
  std::erase_if(Rows, [&](const member_row *Row) {
    std::size_t &Left = Row->Identity.DataCentre == DataCentre ? Near : Far;
    if (Left == 0)
      return false;
    --Left;
    To.push_back(Row->Identity.Internal);
    return true;
  });
  return To;
}

/// Asks peers at random and those that get most requests, who hear targets most
/// often. More of them are elsewhere: a cut often covers a whole data centre.
void path_system::query(const path_query &Query) {
  std::vector<const member_row *> Rows;
  for (const member_row &Row : Peers)
    Rows.push_back(&Row);
  std::shuffle(Rows.begin(), Rows.end(), Random);
  std::vector<endpoint_address> To = takePeers(Rows, NearQueries, FarQueries);
  std::stable_sort(Rows.begin(), Rows.end(),
                   [](const member_row *Left, const member_row *Right) {
                     return Left->Report.Load.Rate > Right->Report.Load.Rate;
                   });
  for (const endpoint_address &Busy : takePeers(Rows, NearQueries, FarQueries))
    To.push_back(Busy);
  Datagrams.send(To, path_message(Query));
}

void path_system::announce(const path_report &Report) {
  std::vector<endpoint_address> To;
  for (const member_row &Row : Peers)
    To.push_back(Row.Identity.Internal);
  Datagrams.send(To, path_message(Report));
}

void path_system::tick(steady_time Now) {
  for (const path_message &Message : Gate.tickPath()) {
    if (const auto *Query = std::get_if<path_query>(&Message)) {
      query(*Query);
      continue;
    }
    announce(std::get<path_report>(Message));
    NextAnnouncement = Now + AnnouncementPeriod;
  }
  if (!Gate.pathBroken() || Now < NextAnnouncement)
    return;
  announce({0, path_state::Broken, {}});
  NextAnnouncement = Now + AnnouncementPeriod;
}

bool path_system::receive(const member_row &Sender, const path_message &Message,
                          steady_time Now) {
  if (const auto *Query = std::get_if<path_query>(&Message)) {
    Datagrams.send({Sender.Identity.Internal},
                   path_message(Gate.answer(*Query)));
    return false;
  }
  const auto &Report = std::get<path_report>(Message);
  const std::string &Name = Sender.Identity.Name;
  const bool WasBroken = isBroken(Name, Now);
  if (Report.State == path_state::Broken)
    Broken[Name] = Now + AnnouncementLife;
  else
    Broken.erase(Name);
  Gate.receive(Report);
  if (isBroken(Name, Now) == WasBroken)
    return false;
  logEvent(log_level::Info, "peer_path_changed",
           {{"peer", Name}, {"broken", WasBroken ? 0 : 1}});
  if (!WasBroken)
    Gate.notePeerBroken();
  return true;
}

std::size_t path_system::brokenCount(steady_time Now) const {
  return static_cast<std::size_t>(
      std::count_if(Broken.begin(), Broken.end(),
                    [&](const auto &Row) { return Now < Row.second; }));
}

bool path_system::isBroken(const std::string &Name, steady_time Now) const {
  const auto Found = Broken.find(Name);
  return Found != Broken.end() && Now < Found->second;
}

} // namespace magnoliaspread
