/// How current an instance's knowledge of the platform is, and how instances
/// share it so that few of them have to read.
///
/// In each region the live instance that comes first by the hash of its name
/// reads the platform; the others ask it, and read for themselves when they
/// learn nothing in time. Nobody is elected: whoever is cut off from the
/// reader, or asks one that is cut off from the platform, finds its knowledge
/// too old, asks others and reads, and passes that reader over for a while.
/// A reply proves what was current at a time of the asker's
/// own clock, however long it was on its way. Pure: time is passed in.
#ifndef MAGNOLIASPREAD_PLATFORMVIEW_H
#define MAGNOLIASPREAD_PLATFORMVIEW_H

#include <magnoliaspread/clock.h>
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
  /// Pause between two questions to the region's reader. With the reader's own
  /// pause this stays under half of the time in which a drain has to be known
  /// (RULES, DRAIN: 2.5 s).
  std::chrono::milliseconds AskPeriod{500};
  /// Targets known only as of longer ago are read.
  std::chrono::milliseconds TargetsLimit{1600};
  /// The configuration is read when its proof is older. A few reads fit into
  /// the time for which keys are served without proof (RULES, CONFIG: 5 s).
  std::chrono::milliseconds RoutesLimit{2600};
  /// Any peer is asked for a proof when it is older than this, so that one
  /// whose region's reader is cut off need not read.
  std::chrono::milliseconds AnyPeerAfter{2200};
  /// Evacuations known only as of longer ago are read (RULES, EVAC: 5 s).
  std::chrono::milliseconds EvacuationsLimit{3300};
  /// Any peer is asked when the targets are known only as of longer ago: the
  /// region's reader learns nothing, as its own pause of 0.77 s, AskPeriod and
  /// the ways stay under it. Peers know the targets as of up to this time, and
  /// an instance that can't read itself asks twice before a drain has to be
  /// known.
  std::chrono::milliseconds AnyPeerForTargets{1400};
};

/// Whom to ask.
enum class view_source : std::uint8_t {
  None,
  Reader,
  AnyPeer,
  /// The one that part of a reply has come from; see partsFrom().
  SamePeer,
};

class platform_view {
public:
  platform_view(const view_settings &Settings, std::string Instance)
      : Settings(Settings), Instance(std::move(Instance)) {}

  /// Live instances of the region, this one left out.
  void setMates(const std::vector<std::string> &Names);
  /// Live instances of other regions.
  void setOthers(std::vector<std::string> Names) { Others = std::move(Names); }

  /// Reads the platform for the region.
  bool isReader() const { return Reader.empty(); }
  const std::string &reader() const { return Reader; }

  /// \p Version is in force, and was the newest at \p AsOf.
  void routesProved(std::uint64_t Version, boot_time AsOf);
  /// The targets are known as of \p Revision, which was current at \p AsOf.
  void targetsRead(std::uint64_t Revision, boot_time AsOf);
  /// A change, for peers that ask later. One whose revision isn't known
  /// counts as made at \p Revision.
  void targetChanged(std::uint64_t Revision, target_change Change);
  /// Changes up to \p Revision aren't known one by one.
  void forgetChanges(std::uint64_t Revision);
  /// These data centres were evacuated at \p AsOf.
  void setEvacuated(std::set<std::string> DataCentres, boot_time AsOf);

  bool targetsDue(boot_time Now) const;
  /// Whether targets known as of \p AsOf need not be read yet.
  bool isCurrent(boot_time AsOf, boot_time Now) const {
    return Now - AsOf < Settings.TargetsLimit;
  }
  bool routesDue(boot_time Now) const;
  bool evacuationsDue(boot_time Now) const;
  view_source askDue(boot_time Now);
  /// Incarnation of the peer whose parts are being taken.
  std::uint64_t partsFrom() const { return PartsFrom; }
  /// Whom to ask for view_source::AnyPeer.
  std::vector<std::string> drawPeers(std::mt19937_64 &Random) const;

  /// A question to the instance with the incarnation \p To, or to several
  /// with 0. What others have brought in part is asked for anew.
  view_ask ask(boot_time Now, std::uint64_t To);
  /// One part of what a peer asks for.
  view_reply answer(const view_ask &Ask, boot_time Now) const;
  /// To be sent as they are: one part, or several to a peer that asks on.
  std::vector<view_reply> answers(view_ask Ask, boot_time Now) const;

  struct taken {
    /// The peer has a newer configuration, which has to be fetched from it.
    bool FetchRoutes = false;
    /// No configuration newer than that one, or than what the peer has by the
    /// time of the fetch, was in force then.
    boot_time RoutesAsOf;
    /// The peer doesn't know what has changed since the own revision.
    bool ReadTargets = false;
    /// The targets are known as of the reply's time. Not set by a part, nor by
    /// a reply that can't be used.
    bool Current = false;
    /// Further changes are left; ask the same instance again at once.
    bool AskOn = false;
    /// To be applied to the registry; with several parts they come with the
    /// last one.
    std::vector<target_change> Changes;
    /// The reply is no older than what is known here of the targets.
    bool Usable = false;
    /// Set when it is newer than what is known here of them.
    std::optional<std::set<std::string>> Evacuated;
  };
  taken take(const view_reply &Reply, std::uint64_t From);

  std::uint64_t version() const { return Version; }
  boot_time routesProvedAt() const { return RoutesAsOf; }
  std::uint64_t revision() const { return Revision; }

private:
  void chooseReader();
  void passOverReader();
  bool isTakingParts(boot_time Now) const;
  bool isExpected(const view_reply &Reply, std::uint64_t From) const;
  bool isGap(const view_reply &Reply, std::uint64_t From) const;
  void takePart(const view_reply &Reply, std::uint64_t From, taken &Taken);

  view_settings Settings;
  std::string Instance;

  // Who reads for the region.
  std::string Reader;
  std::vector<std::string> Mates;
  std::vector<std::string> Others;
  /// Mates that don't read until then, as they knew less than others did.
  std::map<std::string, boot_time> PassedOver;
  /// What the reader knows was found too old then.
  std::optional<boot_time> SuspectedAt;

  // What is known, and for peers what has changed.
  std::uint64_t Version = 0;
  boot_time RoutesAsOf;
  std::uint64_t Revision = 0;
  boot_time TargetsAsOf;
  std::set<std::string> Evacuated;
  /// None before it has been read, here or by a peer. Until then nothing is
  /// told: an empty list would bring evacuated targets back elsewhere.
  std::optional<boot_time> EvacuatedAsOf;
  std::deque<target_change> Log;
  /// Every change after this revision is in Log.
  std::uint64_t LogSince = 0;

  // Questions, and the parts of the reply that is being taken.
  boot_time NextAsk;
  boot_time NextAskAny;
  /// When several were asked last. A reply to it is followed up although one
  /// that knew less came first.
  boot_time SeveralAskedAt;
  /// When the question was asked whose parts are taken; none after a read.
  boot_time AskedAt;
  /// Incarnation that was asked last; 0 is several.
  std::uint64_t PartsFrom = 0;
  /// Changes after Revision that replies of PartsFrom have brought so far.
  std::uint32_t Skip = 0;
  std::vector<target_change> Parts;
  /// The next part did not come and has been asked for once more.
  bool PartsAskedAgain = false;
};

} // namespace magnoliaspread

#endif
