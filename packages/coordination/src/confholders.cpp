#include <magnoliaspread/confsync.h>
#include <magnoliaspread/member.h>

namespace magnoliaspread {

std::vector<config_holder> configHolders(const membership &Members,
                                         steady_time Now) {
  std::vector<config_holder> Holders;
  for (const member_row &Peer : Members.liveLocalPeers())
    Holders.push_back(
        {Peer.Identity.Name, Peer.Identity.Internal, true, Peer.Report.Config});
  for (const data_centre_view &View : Members.dataCentres(Now)) {
    const std::optional<member_row> Speaker =
        Members.findIncarnation(View.Summary.Speaker);
    if (Speaker && Speaker->Report.State != member_state::Dead)
      Holders.push_back({Speaker->Identity.Name, Speaker->Identity.Internal,
                         false, View.Summary.Config});
  }
  return Holders;
}

bool fleetReachesPlatform(const membership &Members, steady_time Now) {
  if (Members.self().Report.PlatformReachable)
    return true;
  for (const member_row &Peer : Members.liveLocalPeers())
    if (Peer.Report.PlatformReachable)
      return true;
  for (const data_centre_view &View : Members.dataCentres(Now))
    if (View.Summary.PlatformReachable && !View.Silent)
      return true;
  return false;
}

bool speakersReachPlatform(const membership &Members) {
  const std::string Own = Members.self().Identity.DataCentre;
  for (const member_row &Speaker : Members.speakers(Own))
    if (Speaker.Report.PlatformReachable)
      return true;
  return false;
}

} // namespace magnoliaspread
