/// Follows the platform's objects that the gate uses: the routes, the targets
/// and the evacuated data centres. All reads poll, so that an answer confirms
/// what was current at the time of the request.
#ifndef MAGNOLIASPREAD_FOLLOWER_P_H
#define MAGNOLIASPREAD_FOLLOWER_P_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/fleet_platform.h>
#include <magnoliaspread/platform.h>
#include <magnoliaspread/platformview.h>
#include <magnoliaspread/registry.h>

#include <functional>
#include <random>
#include <string>

namespace magnoliaspread {

/// The configuration as stored in the platform.
struct routes_object {
  object_version Version = NoObject;
  std::string Json;
  /// The era of the answer, or of the peer's proof that it is current.
  store_era Era = 0;
  routes_source Source = routes_source::Platform;
};

struct follower_settings {
  /// Pause between two reads of target changes. A drain must be known within
  /// 2.5 s (RULES, DRAIN), so one read may be lost.
  std::chrono::milliseconds PollPeriod{700};
  /// The full list repairs changes that were missed.
  std::chrono::milliseconds ListPeriod{8000};
  /// Pause between two reads of the configuration. Together with a peer's
  /// request period it must be in force within 2.5 s (RULES, CONFIG).
  std::chrono::milliseconds RoutesPeriod{1100};
  /// The same for evacuations, within 5 s (RULES, EVAC).
  std::chrono::milliseconds EvacuationsPeriod{1700};
  /// An instance doesn't read for its region before it knows its regional
  /// peers: several rounds of heartbeats.
  std::chrono::milliseconds SettleTime{1000};
  /// After a loss of the platform's history all instances list the targets,
  /// those that don't read for their region spread over this time.
  std::chrono::milliseconds RelistSpread{800};
};

class platform_follower {
public:
  using routes_handler =
      std::function<void(const routes_object &Object, boot_time AsOf)>;
  using history_handler = std::function<void()>;

  platform_follower(object_store &Store, const fleet_platform &Platform,
                    const clock &Clock, target_registry &Registry,
                    platform_view &View, const follower_settings &Settings,
                    std::uint64_t Seed, routes_handler OnRoutes);

  /// \p Lost is called after the platform lost a part of its history.
  void onHistoryLost(history_handler Lost) { OnHistoryLost = std::move(Lost); }

  /// Starts the reads that are due.
  void tick();

  /// A peer's reply or snapshot names the era that it heard of. Without targets
  /// an era of 0 may also mean that it heard of none.
  void hearPeerEra(const view_reply &Reply);

  /// Allows the first reads, when no peer has sent a snapshot.
  void allowReads() { ReadsAllowed = true; }

  /// Reads everything at the next tick.
  void refresh();

  bool knowsTargets() const { return TargetsRevision != NoObject; }
  /// All known targets and evacuations, for an instance that starts.
  view_reply snapshot(boot_time AskedAt) const;
  /// Applies a peer's snapshot instead of the first reads. False when it is too
  /// old or targets are known already.
  bool applySnapshot(const view_reply &Snapshot);
  /// The configuration was fetched from a peer.
  void setRoutesKnown() { HaveRoutes = true; }

  /// Applies the changes of a peer's reply.
  void applyReply(const platform_view::reply_result &Reply);

private:
  void pollTargets();
  void listTargets();
  void pollChanges();
  void applyChanges(const changes_answer &Answer, boot_time AsOf);
  void readRoutes();
  void readEvacuations();
  void noteRevision(object_version Revision);
  void hearEra(store_era Era, std::string_view Source);
  /// Hears the era of an answer; false if it is of an older one.
  template <class T> bool isOfThisEra(const result<T> &Answer);
  void endRewriting();
  void noteReadResult(std::string_view What, const error *Failure);
  void updateTarget(const stored_object &Object, object_version Revision);
  void removeTarget(const std::string &Name, object_version Revision);
  std::chrono::milliseconds jittered(std::chrono::milliseconds Period);

  object_store &Store;
  const fleet_platform &Platform;
  const clock &Clock;
  target_registry &Registry;
  platform_view &View;
  follower_settings Settings;
  routes_handler OnRoutes;
  history_handler OnHistoryLost;
  std::mt19937_64 Random;
  steady_time StartedAt;
  bool ReadsAllowed = false;
  /// The first targets came from a peer's snapshot.
  bool StartedFromSnapshot = false;
  /// Targets are known as of this revision; NoObject before the first list.
  object_version TargetsRevision = NoObject;
  /// Newest revision seen in an answer of the platform.
  object_version NewestRevision = NoObject;
  bool HaveRoutes = false;
  bool PollingTargets = false;
  /// A peer knew of more changes than it could send.
  bool MissedChanges = false;
  bool ReadingRoutes = false;
  bool ReadingEvacuations = false;
  bool PlatformLost = false;
  /// Operators and targets may still be writing again what was lost.
  bool Rewriting = false;
  steady_time NextPoll;
  steady_time NextList;
  steady_time NextRoutes;
  steady_time NextEvacuations;
};

} // namespace magnoliaspread

#endif
