/// Tells a broken path of this instance apart from targets that are down.
///
/// An instance that is cut off from all targets sees each of them fail. Taken
/// for failures of targets, that would pause all of them, count against
/// requests in flight and keep callers at an instance that can't serve them.
/// When several targets fail at once, or none is heard any more, this instance
/// probes other targets and asks peers. Its own path is broken if all probes
/// fail while a peer with a working path still hears targets. If no peer does,
/// the targets are at fault and nothing changes.
///
/// Does no I/O and reads no clock. Not thread-safe.
#ifndef MAGNOLIASPREAD_TARGETPATH_H
#define MAGNOLIASPREAD_TARGETPATH_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/handle.h>
#include <magnoliaspread/pathmsg.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace magnoliaspread {

struct target_path_settings {
  /// Switches the detection on.
  bool Enabled = false;
  /// Distinct targets that fail, or are silent, before the path is suspected.
  std::size_t MinTargets = 3;
  /// They count for this long.
  std::chrono::milliseconds FailureMemory{1000};
  /// Silence of all targets, with requests in flight on MinTargets of them.
  /// Most requests take less time.
  std::chrono::milliseconds Silence{700};
  /// With fewer targets in use, the path is suspected when all of them fail for
  /// this long: what few requests show can't reach a fixed number.
  std::chrono::milliseconds SparseWait{150};
  /// Or when all requests in flight take this many times as long as expected.
  int OverdueFactor = 3;
  /// A peer has announced that its path is broken: unless a target is heard
  /// within this time, the own path is suspected.
  std::chrono::milliseconds CheckWait{150};
  /// Whoever is asked by a peer and hasn't reached a target for this long
  /// probes one.
  std::chrono::milliseconds FreshAge{300};
  /// Targets probed at once when the path is suspected.
  std::size_t Probes = 4;
  /// A probe that has no result by then has failed; above the longest round
  /// trip between regions.
  std::chrono::milliseconds ProbeTimeout{300};
  /// Interval of queries while no peer has heard a target since the suspicion.
  std::chrono::milliseconds QueryPeriod{150};
  /// Suspicion is dropped when no peer has heard a target by then.
  std::chrono::milliseconds QueryTimeout{900};
  /// Interval of probes while the path is broken.
  std::chrono::milliseconds ProbePeriod{150};
  /// Successful probes in a row that end it.
  std::uint32_t ProbesToRecover = 3;
  /// A path that breaks again within this time needs twice as many, up to the
  /// largest number.
  std::chrono::milliseconds FlapMemory{10000};
  std::uint32_t MostProbesToRecover = 24;
  /// Largest random delay of the recovery, so that the instances of a data
  /// centre don't all return at once.
  std::chrono::milliseconds RecoveryJitter{400};
};

/// What the state of the path rests on, for logs.
struct path_evidence {
  std::size_t FailingTargets = 0;
  std::size_t InFlightTargets = 0;
  /// Since a target was last heard.
  std::chrono::milliseconds HeardAge{0};
  std::size_t ProbesFailed = 0;
  /// Peers that have answered since the suspicion.
  std::size_t Answers = 0;
  bool PeerHears = false;
};

struct path_target {
  target_handle Handle;
  std::string Service;
  std::string DataCentre;
};

/// What the owner has to do after tick().
struct path_actions {
  /// Open a connection to each and report the result with probed().
  std::vector<target_handle> Probes;
  /// Send a query of this round to a sample of the peers.
  std::optional<path_query> Query;
  /// The state changed to or from Broken.
  std::optional<path_report> Announcement;
  /// When the failures began that turned out to be the path's; set together
  /// with an announcement. What was noted against targets since then is void.
  steady_time FailingSince;
};

class target_path {
public:
  target_path(const target_path_settings &Settings, std::uint64_t Seed,
              steady_time Now)
      : Settings(Settings), Random(Seed), HeardAt(Now) {}

  void setTargets(std::vector<path_target> Targets);

  /// A request was sent to the target; heard() or failed() follows.
  void sent(target_handle Target, steady_time Now,
            std::chrono::nanoseconds ExpectedTime);
  /// Bytes from the target have arrived.
  void heard(target_handle Target, steady_time Now);
  /// The request ended without an answer and for another reason than the
  /// target or the path.
  void abandoned(target_handle Target);
  /// A connection was refused, reset or timed out.
  void failed(target_handle Target, steady_time Now);
  /// A new connection to the target was opened.
  void connected(target_handle Target, steady_time Now);
  void probed(target_handle Target, bool Succeeded, steady_time Now);

  /// Call every few tens of milliseconds.
  path_actions tick(steady_time Now);

  path_report answer(const path_query &Query, steady_time Now);
  /// A peer has announced that its path is broken.
  void notePeerBroken(steady_time Now);
  void receive(const path_report &Report, steady_time Now);

  path_state state() const { return State; }
  path_evidence evidence(steady_time Now) const;

private:
  struct flight {
    std::uint32_t Requests = 0;
    steady_time Since;
    /// When all of them are overdue.
    steady_time OverdueAt;
  };

  bool looksBroken(steady_time Now) const;
  std::size_t recentFailures(steady_time Now) const;
  std::size_t silentTargets() const;
  bool allFail(steady_time Now) const;
  bool checkDue(steady_time Now);
  void probeForPeers(steady_time Now, path_actions &Actions);
  std::vector<target_handle> chooseProbes(std::size_t Count, steady_time Now);
  void suspect(steady_time Now, path_actions &Actions);
  void judge(steady_time Now, path_actions &Actions);
  void breakPath(steady_time Now, path_actions &Actions);
  void probeBroken(steady_time Now, path_actions &Actions);
  void recover(steady_time Now, path_actions &Actions);
  void endSuspicion(steady_time Now);
  std::optional<std::chrono::milliseconds> reachedAge(steady_time Now) const;

  target_path_settings Settings;
  std::mt19937_64 Random;
  std::vector<path_target> Targets;
  path_state State = path_state::Working;
  /// By target index.
  std::map<std::uint16_t, flight> InFlight;
  /// Last failure by target index since a connection was last opened.
  std::map<std::uint16_t, steady_time> FailedAt;
  steady_time HeardAt;
  /// When a target was last heard or a connection to one opened.
  std::optional<steady_time> ReachedAt;
  /// When the first peer announced a broken path that is not checked yet.
  std::optional<steady_time> CheckSince;
  /// A peer asked while no target had been reached of late.
  bool PeerAsked = false;
  steady_time NextPeerProbe;
  steady_time FailingSince;
  steady_time SuspectedAt;
  steady_time NextSuspicion;
  std::set<std::uint16_t> Probing;
  std::size_t ProbesFailed = 0;
  std::size_t ProbesSent = 0;
  /// A peer has heard a target since the suspicion.
  bool PeerHears = false;
  std::size_t Answers = 0;
  steady_time NextQuery;
  std::uint64_t Round = 0;
  steady_time NextProbe;
  steady_time RecoveredAt;
  bool RecoveredOnce = false;
  std::uint32_t Needed = 0;
  std::uint32_t Successes = 0;
  std::optional<steady_time> RecoverAt;
};

} // namespace magnoliaspread

#endif
