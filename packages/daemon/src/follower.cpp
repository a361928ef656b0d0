#include "follower_p.h"

#include <magnoliaspread/log.h>

#include <algorithm>

namespace magnoliaspread {

using std::chrono::milliseconds;

namespace {

/// Pause after a read that failed.
constexpr milliseconds RetryPause{300};
/// Pause after there was no configuration: operators write the first one
/// before there are callers.
constexpr milliseconds AbsentPause{1000};
/// The same for an instance that learns of it from its region's reader: a few
/// of the reader's pauses.
constexpr milliseconds FollowerAbsentPause{4000};

} // namespace

platform_follower::platform_follower(
    object_store &Store, const fleet_platform &Platform, const clock &Clock,
    target_registry &Registry, platform_view &View,
    const follower_settings &Settings, std::uint64_t Seed,
    routes_handler OnRoutes)
    : Store(Store), Platform(Platform), Clock(Clock), Registry(Registry),
      View(View), Settings(Settings), OnRoutes(std::move(OnRoutes)),
      Random(Seed), StartedAt(Clock.now()), NextPoll(Clock.now()),
      NextList(Clock.now()), NextRoutes(Clock.now()),
      NextEvacuations(Clock.now()) {}

/// Spreads the instances' reads over time.
milliseconds platform_follower::jittered(milliseconds Period) {
  const std::int64_t Spread = Period.count() / 10;
  std::uniform_int_distribution<std::int64_t> Draw(-Spread, Spread);
  return Period + milliseconds(Draw(Random));
}

void platform_follower::refresh() {
  const steady_time Now = Clock.now();
  NextPoll = NextList = NextRoutes = NextEvacuations = Now;
}

void platform_follower::tick() {
  const steady_time Now = Clock.now();
  Registry.tick(Now);
  if (TargetsAt == NoObject && !MayRead)
    return;
  const bool Reads = View.isReader() && Now - StartedAt >= Settings.SettleTime;
  if (!PollingTargets && Now >= NextPoll &&
      (Reads || TargetsAt == NoObject || MissedChanges ||
       View.targetsDue(Clock.boot())))
    pollTargets();
  // What is read before the first list, or beside it, would be read again for
  // the list's revision.
  if (TargetsAt == NoObject && !HaveRoutes)
    return;
  if (!ReadingRoutes && Now >= NextRoutes &&
      (Reads || !HaveRoutes || View.routesDue(Clock.boot())))
    readRoutes();
  if (!ReadingEvacuations && Now >= NextEvacuations &&
      (Reads || View.evacuationsDue(Clock.boot())))
    readEvacuations();
}

view_reply platform_follower::snapshot(boot_time AskedAt) const {
  view_reply Snapshot =
      View.answer({AskedAt, View.revision(), 0}, Clock.boot());
  Snapshot.Changes.clear();
  for (target_record &Record : Registry.records(Clock.now()))
    Snapshot.Changes.push_back({std::move(Record), false, Snapshot.Revision});
  return Snapshot;
}

bool platform_follower::takeSnapshot(const view_reply &Snapshot) {
  const boot_time AsOf = Snapshot.AskedAt - Snapshot.TargetsAge;
  if (TargetsAt != NoObject || Snapshot.Revision == NoObject ||
      !View.isCurrent(AsOf, Clock.boot()))
    return false;
  const steady_time Now = Clock.now();
  std::vector<target_record> Records;
  for (const target_change &Row : Snapshot.Changes)
    Records.push_back(Row.Record);
  Registry.platformAnswered(Now);
  Registry.replaceAll(Records, Now);
  TargetsAt = Snapshot.Revision;
  View.forgetChanges(TargetsAt);
  View.targetsRead(TargetsAt, AsOf);
  std::set<std::string> Evacuated(Snapshot.Evacuated.begin(),
                                  Snapshot.Evacuated.end());
  View.setEvacuated(Evacuated, Snapshot.AskedAt - Snapshot.EvacuatedAge);
  Registry.setEvacuated(std::move(Evacuated), Now);
  Newest = TargetsAt;
  NextList = Now + jittered(Settings.ListPeriod);
  // From now on it reads as any other does.
  LearnedFromPeer = MayRead = true;
  NextRoutes = Now + jittered(Snapshot.Version == 0 ? FollowerAbsentPause
                                                    : Settings.RoutesPeriod);
  NextEvacuations = Now + jittered(Settings.EvacuationsPeriod);
  return true;
}

void platform_follower::noteRevision(object_version Revision) {
  Newest = std::max(Newest, Revision);
}

void platform_follower::take(const platform_view::taken &Taken) {
  const steady_time Now = Clock.now();
  if (TargetsAt == NoObject)
    return;
  MissedChanges = MissedChanges || Taken.ReadTargets;
  if (Taken.ReadTargets)
    NextPoll = std::min(NextPoll, Now);
  if (Taken.Usable)
    Registry.platformAnswered(Now);
  for (const target_change &Change : Taken.Changes)
    if (Change.Removed)
      Registry.remove(Change.Record.Name, Now);
    else
      Registry.put(Change.Record, Now);
  if (Taken.Evacuated)
    Registry.setEvacuated(*Taken.Evacuated, Now);
  if (!Taken.Current)
    return;
  TargetsAt = View.revision();
  Newest = std::max(Newest, TargetsAt);
  // The reader lists everything for its region.
  NextList = Now + jittered(Settings.ListPeriod);
}

/// Logs the loss and the return of the platform, once each.
void platform_follower::noteEnd(std::string_view What, const error *Failure) {
  if (Failure == nullptr)
    Registry.platformAnswered(Clock.now());
  if ((Failure != nullptr) == Lost)
    return;
  Lost = Failure != nullptr;
  logEvent(Lost ? log_level::Warning : log_level::Info,
           Lost ? "platform_lost" : "platform_regained",
           {{"read", What},
            {"detail", Failure == nullptr ? std::string() : Failure->Detail},
            {"revision", Newest}});
}

void platform_follower::pollTargets() {
  PollingTargets = true;
  MissedChanges = false;
  const steady_time Now = Clock.now();
  NextPoll = Now + jittered(Settings.PollPeriod);
  if (TargetsAt == NoObject || Now >= NextList)
    listTargets();
  else
    pollChanges();
}

/// \p Revision is that of the platform's answer. An object that the answer
/// before should have brought counts as changed only now, as those who have
/// taken that answer over miss it, too.
void platform_follower::putTarget(const stored_object &Object,
                                  object_version Revision) {
  const std::string Name = Object.Name.substr(Platform.targetsPrefix().size());
  const result<target_record> Read = Platform.readTarget(Name, Object.Value);
  if (!failed(Read)) {
    const bool New = Object.Version > TargetsAt && Object.Version <= Revision;
    View.targetChanged(Revision,
                       {valueOf(Read), false, New ? Object.Version : Revision});
    return Registry.put(valueOf(Read), Clock.now());
  }
  logEvent(log_level::Warning, "target_unreadable",
           {{"target", Name}, {"detail", errorOf(Read).Detail}});
  removeTarget(Name, Revision);
}

void platform_follower::removeTarget(const std::string &Name,
                                     object_version Revision) {
  target_change Change;
  Change.Record.Name = Name;
  Change.Removed = true;
  View.targetChanged(Revision, std::move(Change));
  Registry.remove(Name, Clock.now());
}

void platform_follower::listTargets() {
  const boot_time AsOf = Clock.boot();
  Store.list({Platform.targetsPrefix()}, [this, AsOf](
                                             const result<object_list> &List) {
    PollingTargets = false;
    noteEnd("targets", failed(List) ? &errorOf(List) : nullptr);
    if (failed(List)) {
      NextPoll = Clock.now() + jittered(RetryPause);
      return;
    }
    std::vector<target_record> Records;
    for (const stored_object &Object : valueOf(List).Objects) {
      const std::string Name =
          Object.Name.substr(Platform.targetsPrefix().size());
      result<target_record> Read = Platform.readTarget(Name, Object.Value);
      if (!failed(Read))
        Records.push_back(std::move(valueOf(Read)));
      else if (TargetsAt == NoObject)
        logEvent(log_level::Warning, "target_unreadable",
                 {{"target", Name}, {"detail", errorOf(Read).Detail}});
    }
    const bool First = View.revision() == 0;
    std::vector<target_change> Changes =
        Registry.replaceAll(Records, Clock.now());
    TargetsAt = valueOf(List).Revision;
    if (First)
      View.forgetChanges(TargetsAt);
    else
      for (target_change &Change : Changes)
        View.targetChanged(TargetsAt, std::move(Change));
    View.targetsRead(TargetsAt, AsOf);
    noteRevision(TargetsAt);
    NextList = Clock.now() + jittered(Settings.ListPeriod);
  });
}

void platform_follower::pollChanges() {
  const boot_time AsOf = Clock.boot();
  Store.changes({Platform.targetsPrefix(), TargetsAt, milliseconds(0)},
                [this, AsOf](const result<changes_answer> &Answer) {
                  PollingTargets = false;
                  noteEnd("changes",
                          failed(Answer) ? &errorOf(Answer) : nullptr);
                  if (failed(Answer)) {
                    NextPoll = Clock.now() + jittered(RetryPause);
                    return;
                  }
                  takeChanges(valueOf(Answer), AsOf);
                });
}

void platform_follower::takeChanges(const changes_answer &Answer,
                                    boot_time AsOf) {
  if (Answer.HistoryGone) {
    logEvent(log_level::Info, "history_gone", {{"since", TargetsAt}});
    TargetsAt = NoObject;
    NextPoll = Clock.now();
    return;
  }
  for (const object_change &Change : Answer.Changes) {
    if (Change.Removed)
      removeTarget(Change.Object.Name.substr(Platform.targetsPrefix().size()),
                   Answer.Revision);
    else
      putTarget(Change.Object, Answer.Revision);
  }
  TargetsAt = std::max(TargetsAt, Answer.Revision);
  View.targetsRead(TargetsAt, AsOf);
  noteRevision(Answer.Revision);
}

void platform_follower::readRoutes() {
  ReadingRoutes = true;
  const boot_time AsOf = Clock.boot();
  NextRoutes = Clock.now() + jittered(Settings.RoutesPeriod);
  Store.get(
      {Platform.routesObject()},
      [this, AsOf](const result<stored_object> &Object) {
        ReadingRoutes = false;
        const bool Unanswered =
            failed(Object) && errorOf(Object).Kind != error_kind::NotFound;
        noteEnd("routes", Unanswered ? &errorOf(Object) : nullptr);
        if (failed(Object)) {
          const milliseconds Absent = LearnedFromPeer && !View.isReader()
                                          ? FollowerAbsentPause
                                          : AbsentPause;
          NextRoutes = Clock.now() + jittered(Unanswered ? RetryPause : Absent);
          return;
        }
        HaveRoutes = true;
        OnRoutes({valueOf(Object).Version, valueOf(Object).Value}, AsOf);
      });
}

void platform_follower::readEvacuations() {
  ReadingEvacuations = true;
  const boot_time AsOf = Clock.boot();
  NextEvacuations = Clock.now() + jittered(Settings.EvacuationsPeriod);
  Store.list({Platform.evacuationsPrefix()},
             [this, AsOf](const result<object_list> &List) {
               ReadingEvacuations = false;
               noteEnd("evacuations", failed(List) ? &errorOf(List) : nullptr);
               if (failed(List)) {
                 NextEvacuations = Clock.now() + jittered(RetryPause);
                 return;
               }
               std::set<std::string> Names;
               for (const stored_object &Object : valueOf(List).Objects)
                 Names.insert(
                     Object.Name.substr(Platform.evacuationsPrefix().size()));
               View.setEvacuated(Names, AsOf);
               Registry.setEvacuated(std::move(Names), Clock.now());
             });
}

} // namespace magnoliaspread
