/// Follows the platform's objects that the gate works from: the routes, the
/// targets and the evacuated data centres. Every read is made by polling, so
/// that an answer proves what was current when it was asked for.
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

/// The configuration as the platform holds it.
struct routes_object {
  object_version Version = NoObject;
  std::string Json;
};

struct follower_settings {
  /// Pause between two reads of what has changed of the targets. A drain has
  /// to be known in 2.5 s (RULES, DRAIN), so one read may be lost.
  std::chrono::milliseconds PollPeriod{700};
  /// The whole list repairs what changes have left out.
  std::chrono::milliseconds ListPeriod{8000};
  /// Pause between two reads of the configuration. With a peer's pause
  /// between two questions it has to be in force in 2.5 s (RULES, CONFIG).
  std::chrono::milliseconds RoutesPeriod{1100};
  /// The same for evacuations, which have 5 s (RULES, EVAC).
  std::chrono::milliseconds EvacuationsPeriod{1700};
  /// An instance doesn't read for its region before it can know its mates:
  /// several rounds of heartbeats.
  std::chrono::milliseconds SettleTime{1000};
};

class platform_follower {
public:
  using routes_handler =
      std::function<void(const routes_object &Object, boot_time AsOf)>;

  platform_follower(object_store &Store, const fleet_platform &Platform,
                    const clock &Clock, target_registry &Registry,
                    platform_view &View, const follower_settings &Settings,
                    std::uint64_t Seed, routes_handler OnRoutes);

  /// Starts the reads that are due.
  void tick();

  /// Lets the first reads begin: no peer has told what it knows.
  void readAtStart() { MayRead = true; }

  /// Reads everything at the next tick.
  void refresh();

  bool knowsTargets() const { return TargetsAt != NoObject; }
  /// What is known here, for an instance that starts.
  view_reply snapshot(boot_time AskedAt) const;
  /// Takes over a peer's snapshot, in place of the first reads. False when it
  /// is too old or something is known already.
  bool takeSnapshot(const view_reply &Snapshot);
  /// A peer has told the configuration.
  void routesLearned() { HaveRoutes = true; }

  /// Takes over what a peer has read.
  void take(const platform_view::taken &Taken);

private:
  void pollTargets();
  void listTargets();
  void pollChanges();
  void takeChanges(const changes_answer &Answer, boot_time AsOf);
  void readRoutes();
  void readEvacuations();
  void noteRevision(object_version Revision);
  void noteEnd(std::string_view What, const error *Failure);
  void putTarget(const stored_object &Object, object_version Revision);
  void removeTarget(const std::string &Name, object_version Revision);
  std::chrono::milliseconds jittered(std::chrono::milliseconds Period);

  object_store &Store;
  const fleet_platform &Platform;
  const clock &Clock;
  target_registry &Registry;
  platform_view &View;
  follower_settings Settings;
  routes_handler OnRoutes;
  std::mt19937_64 Random;
  steady_time StartedAt;
  bool MayRead = false;
  /// The targets were told by a peer at the start.
  bool LearnedFromPeer = false;
  /// Targets are known as of this revision; NoObject before the first list.
  object_version TargetsAt = NoObject;
  /// Of the platform, as last seen.
  object_version Newest = NoObject;
  bool HaveRoutes = false;
  bool PollingTargets = false;
  /// A peer knew of more changes than it could send.
  bool MissedChanges = false;
  bool ReadingRoutes = false;
  bool ReadingEvacuations = false;
  bool Lost = false;
  steady_time NextPoll;
  steady_time NextList;
  steady_time NextRoutes;
  steady_time NextEvacuations;
};

} // namespace magnoliaspread

#endif
