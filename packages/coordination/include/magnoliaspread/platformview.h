/// Tracks how current an instance's copy of the platform's state is, and lets
/// instances share it so that few of them read the platform.
///
/// In each region the live instance with the lowest name hash reads the
/// platform; the others request its state and read themselves if it isn't
/// confirmed in time. There is no election: an instance that can't reach the
/// reader, or whose reader can't reach the platform, sees its copy become
/// outdated, asks other peers, reads itself and skips that reader for a while.
/// A reply confirms what was current at a time on the requester's own clock,
/// whatever its network delay. Time is passed in; no I/O.
#ifndef MAGNOLIASPREAD_PLATFORMVIEW_H
#define MAGNOLIASPREAD_PLATFORMVIEW_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/storehistory.h>
#include <magnoliaspread/viewmsg.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace magnoliaspread {

struct view_settings {
  /// Interval between requests to the region's reader. Together with the
  /// reader's own interval less than half of the time within which a drain must
  /// be known (RULES, DRAIN: 2.5 s).
  std::chrono::milliseconds RequestPeriod{500};
  /// Targets are read from the platform when last confirmed longer ago.
  std::chrono::milliseconds TargetsLimit{1600};
  /// The configuration is read when last confirmed longer ago. A few reads fit
  /// into the 5 s for which keys are accepted unconfirmed (RULES, CONFIG).
  std::chrono::milliseconds RoutesLimit{2600};
  /// When the configuration was last confirmed longer ago, any peer is asked,
  /// so that an instance whose reader is cut off doesn't have to read.
  std::chrono::milliseconds AnyPeerAfter{2200};
  /// Evacuations are read when last confirmed longer ago (RULES, EVAC: 5 s).
  std::chrono::milliseconds EvacuationsLimit{3300};
  /// When the targets were last confirmed longer ago, any peer is asked: the
  /// region's reader is likely cut off, as its own interval of 0.77 s,
  /// RequestPeriod and the network delay add up to less. Peers' targets may be
  /// this old, which leaves an instance that can't read itself two requests
  /// before a drain must be known.
  std::chrono::milliseconds AnyPeerForTargets{1400};
  history_settings History;
};

/// Origin of a proof that a configuration is current.
enum class routes_source : std::uint8_t { Platform, Peer };

/// Receiver of the next request.
enum class view_source : std::uint8_t {
  None,
  Reader,
  AnyPeer,
  /// The sender of the parts received so far; see partsFrom().
  SamePeer,
};

class platform_view {
public:
  platform_view(const view_settings &Settings, std::string Instance)
      : Settings(Settings), Instance(std::move(Instance)),
        History(Settings.History) {}

  /// Sets the live instances of the region except this one.
  void setRegionalPeers(const std::vector<std::string> &Names);
  /// Sets the live instances of other regions.
  void setRemotePeers(std::vector<std::string> Names) {
    RemotePeers = std::move(Names);
  }

  /// True if this instance reads the platform for the region.
  bool isReader() const { return Reader.empty(); }
  const std::string &reader() const { return Reader; }

  /// An answer of the platform or a peer's reply names \p Era. True if the
  /// platform lost a part of its history. State of an older era is then no
  /// longer accepted; what is known stays, with its age.
  bool hearEra(store_era Era, boot_time Now);
  const store_history &history() const { return History; }

  /// \p Version is in force and was the newest at \p AsOf. No proof if it was
  /// read from the platform before the time to write again was over.
  void confirmRoutes(std::uint64_t Version, boot_time AsOf, store_era Era = 0,
                     routes_source Source = routes_source::Platform);
  /// The targets are known at \p Revision, which was current at \p AsOf.
  void confirmTargets(std::uint64_t Revision, boot_time AsOf,
                      store_era Era = 0);
  /// Logs a change for later requests of peers. If its revision is 0, it counts
  /// as made at \p Revision.
  void logTargetChange(std::uint64_t Revision, target_change Change);
  /// Clears the log: changes up to \p Revision aren't known individually.
  void truncateChangeLog(std::uint64_t Revision, store_era Era = 0);
  /// Sets the data centres that were evacuated at \p AsOf.
  void setEvacuated(std::set<std::string> DataCentres, boot_time AsOf,
                    store_era Era = 0);
  /// Counts these as evacuated until a list was read after the time to write
  /// again.
  void keepEvacuated(std::set<std::string> DataCentres);
  /// Those of the newest list, and those that were evacuated before a loss of
  /// history until a list was read after the time to write again.
  std::set<std::string> evacuated() const;

  bool targetsDue(boot_time Now) const;
  /// True if targets last confirmed at \p AsOf needn't be read yet.
  bool isCurrent(boot_time AsOf, boot_time Now) const {
    return Now - AsOf < Settings.TargetsLimit;
  }
  bool routesDue(boot_time Now) const;
  bool evacuationsDue(boot_time Now) const;
  view_source dueRequest(boot_time Now);
  /// Incarnation of the peer whose parts are being received.
  std::uint64_t partsFrom() const { return PartsFrom; }
  /// Random peers to ask for view_source::AnyPeer.
  std::vector<std::string> samplePeers(std::mt19937_64 &Random) const;

  /// Builds a request to the instance with incarnation \p To, or to several if
  /// 0. Discards parts received from other instances.
  view_request makeRequest(boot_time Now, std::uint64_t To);
  /// Builds one part of the reply to a peer, without the first Request.Skip
  /// changes.
  view_reply answer(const view_request &Request, boot_time Now) const;
  /// The parts to send: one for a first request, several for a request for the
  /// next part.
  std::vector<view_reply> answers(view_request Request, boot_time Now) const;

  struct reply_result {
    /// The peer has a newer configuration, which must be fetched from it.
    bool FetchRoutes = false;
    /// No configuration newer than the peer's, or than the one it has by the
    /// time of the fetch, was in force at this time.
    boot_time RoutesAsOf;
    store_era RoutesEra = 0;
    /// The peer doesn't know the changes since the own revision: the targets
    /// must be read.
    bool ReadTargets = false;
    /// The targets are confirmed as of the reply's time. Not set for a part or
    /// an unusable reply.
    bool Current = false;
    /// More changes are left; send the next request to the same instance at
    /// once.
    bool RequestNextPart = false;
    /// Changes to apply to the registry; those of all parts come with the last
    /// part.
    std::vector<target_change> Changes;
    /// The reply is no older than the local state of the targets.
    bool Usable = false;
    /// Set if the reply is newer than the local list.
    std::optional<std::set<std::string>> Evacuated;
  };
  reply_result applyReply(const view_reply &Reply, std::uint64_t From);

  std::uint64_t version() const { return Version; }
  boot_time routesConfirmedAt() const { return RoutesAsOf; }
  std::uint64_t revision() const { return Revision.Revision; }
  store_era targetsEra() const { return Revision.Era; }

private:
  void chooseReader();
  void skipReader();
  bool isReceivingParts(boot_time Now) const;
  bool isExpected(const view_reply &Reply, std::uint64_t From) const;
  bool hasGap(const view_reply &Reply, std::uint64_t From) const;
  void bufferPart(const view_reply &Reply, std::uint64_t From,
                  reply_result &Result);

  view_settings Settings;
  std::string Instance;

  // Choice of the region's reader; empty if it is this instance.
  std::string Reader;
  std::vector<std::string> RegionalPeers;
  std::vector<std::string> RemotePeers;
  /// Peers not chosen as reader until the given time, because others knew more.
  std::map<std::string, boot_time> SkippedReaders;
  /// When the reader's state was found outdated.
  std::optional<boot_time> ReaderSuspectedAt;

  // Local state, and the log of changes for peers.
  store_history History;
  std::uint64_t Version = 0;
  boot_time RoutesAsOf;
  store_era RoutesEra = 0;
  store_version Revision;
  boot_time TargetsAsOf;
  std::set<std::string> Evacuated;
  std::set<std::string> KeptEvacuated;
  store_era EvacuatedEra = 0;
  /// Empty until the list has been read, here or by a peer. Until then replies
  /// carry no targets: an empty list would bring evacuated ones back elsewhere.
  std::optional<boot_time> EvacuatedAsOf;
  std::deque<target_change> Log;
  /// Log holds all changes after this version, all of its era.
  store_version LogStart;

  // Requests, and the parts of the reply that is being received.
  boot_time NextRequest;
  boot_time NextAnyPeerRequest;
  /// Time of the last request to several peers. Any of their replies may be
  /// continued, even if one with fewer changes came first.
  boot_time MultiRequestAt;
  /// Time of the request whose parts are being received; unset after a read.
  boot_time AskedAt;
  /// Incarnation that the last request went to; 0 for several.
  std::uint64_t PartsFrom = 0;
  /// Number of changes after Revision received from PartsFrom so far.
  std::uint32_t Skip = 0;
  std::vector<target_change> Parts;
  /// The next part was missing and has been requested once more.
  bool PartRetried = false;
};

} // namespace magnoliaspread

#endif
