#include "follower_p.h"

#include <magnoliaspread/log.h>

#include <algorithm>

namespace magnoliaspread {

using std::chrono::milliseconds;

namespace {

/// Pause after a read that failed.
constexpr milliseconds RetryPause{300};
/// Pause while no configuration exists: operators write the first one before
/// there are callers.
constexpr milliseconds AbsentPause{1000};
/// The same for an instance that gets it from its region's reader: a few of
/// the reader's pauses.
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

void platform_follower::hearPeerEra(const view_reply &Reply) {
  if (Reply.Era > 0 || Reply.Revision != NoObject)
    hearEra(Reply.Era, "peer");
}

/// What is in force stays; everything is read again.
void platform_follower::hearEra(store_era Era, std::string_view Source) {
  const store_era Before = View.history().era();
  const bool Lost = View.hearEra(Era, Clock.boot());
  Rewriting = View.history().isRewriting(Clock.boot());
  if (!Lost)
    return;
  logEvent(log_level::Warning, "store_era_changed",
           {{"era", Era},
            {"before", Before},
            {"source", Source},
            {"revision", NewestRevision}});
  const steady_time Now = Clock.now();
  NewestRevision = NoObject;
  Registry.historyLost(Now);
  NextList = Now;
  std::uniform_int_distribution<std::int64_t> Spread(
      0, Settings.RelistSpread.count());
  NextPoll = View.isReader() ? Now : Now + milliseconds(Spread(Random));
  NextRoutes = NextEvacuations = NextPoll;
  if (OnHistoryLost)
    OnHistoryLost();
}

template <class T>
bool platform_follower::isOfThisEra(const result<T> &Answer) {
  if (!failed(Answer))
    hearEra(valueOf(Answer).Era, "platform");
  else if (Store.era() > 0)
    hearEra(Store.era(), "platform");
  return failed(Answer) || valueOf(Answer).Era == View.history().era();
}

/// Reads once more what was not proved, and drops evacuations that nobody wrote
/// again.
void platform_follower::endRewriting() {
  Rewriting = false;
  logEvent(log_level::Info, "store_era_settled",
           {{"era", View.history().era()}, {"revision", NewestRevision}});
  NextRoutes = NextEvacuations = Clock.now();
  Registry.setEvacuated(View.evacuated(), Clock.now());
}

void platform_follower::tick() {
  const steady_time Now = Clock.now();
  Registry.tick(Now);
  if (Rewriting && !View.history().isRewriting(Clock.boot()))
    endRewriting();
  if (TargetsRevision == NoObject && !ReadsAllowed)
    return;
  const bool ReadsForRegion =
      View.isReader() && Now - StartedAt >= Settings.SettleTime;
  if (!PollingTargets && Now >= NextPoll &&
      (ReadsForRegion || TargetsRevision == NoObject || MissedChanges ||
       View.targetsEra() != View.history().era() ||
       View.targetsDue(Clock.boot())))
    pollTargets();
  // Anything read before or during the first list would have to be read again
  // for the list's revision.
  if (TargetsRevision == NoObject && !HaveRoutes)
    return;
  if (!ReadingRoutes && Now >= NextRoutes &&
      (ReadsForRegion || !HaveRoutes ||
       (View.routesDue(Clock.boot()) && !Rewriting)))
    readRoutes();
  if (!ReadingEvacuations && Now >= NextEvacuations &&
      (ReadsForRegion || View.evacuationsDue(Clock.boot())))
    readEvacuations();
}

view_reply platform_follower::snapshot(boot_time AskedAt) const {
  view_reply Snapshot = View.answer(
      {AskedAt, View.revision(), 0, View.targetsEra()}, Clock.boot());
  Snapshot.Changes.clear();
  for (target_record &Record : Registry.records(Clock.now()))
    Snapshot.Changes.push_back({std::move(Record), false, Snapshot.Revision});
  return Snapshot;
}

bool platform_follower::applySnapshot(const view_reply &Snapshot) {
  const boot_time AsOf = Snapshot.AskedAt - Snapshot.TargetsAge;
  hearPeerEra(Snapshot);
  if (TargetsRevision != NoObject || Snapshot.Revision == NoObject ||
      Snapshot.TargetsEra != View.history().era() ||
      !View.isCurrent(AsOf, Clock.boot()))
    return false;
  const steady_time Now = Clock.now();
  std::vector<target_record> Records;
  for (const target_change &Row : Snapshot.Changes)
    Records.push_back(Row.Record);
  Registry.platformAnswered(Now);
  Registry.replaceAll(Records, Now);
  TargetsRevision = Snapshot.Revision;
  View.truncateChangeLog(TargetsRevision, Snapshot.TargetsEra);
  View.confirmTargets(TargetsRevision, AsOf, Snapshot.TargetsEra);
  std::set<std::string> Evacuated(Snapshot.Evacuated.begin(),
                                  Snapshot.Evacuated.end());
  if (Snapshot.EvacuatedEra == View.history().era())
    View.setEvacuated(std::move(Evacuated),
                      Snapshot.AskedAt - Snapshot.EvacuatedAge,
                      Snapshot.EvacuatedEra);
  else
    View.keepEvacuated(std::move(Evacuated));
  Registry.setEvacuated(View.evacuated(), Now);
  NewestRevision = TargetsRevision;
  NextList = Now + jittered(Settings.ListPeriod);
  // From here on, reads follow the usual schedule.
  StartedFromSnapshot = ReadsAllowed = true;
  NextRoutes = Now + jittered(Snapshot.Version == 0 ? FollowerAbsentPause
                                                    : Settings.RoutesPeriod);
  NextEvacuations = Now + jittered(Settings.EvacuationsPeriod);
  return true;
}

void platform_follower::noteRevision(object_version Revision) {
  NewestRevision = std::max(NewestRevision, Revision);
}

void platform_follower::applyReply(const platform_view::reply_result &Reply) {
  const steady_time Now = Clock.now();
  if (TargetsRevision == NoObject)
    return;
  MissedChanges = MissedChanges || Reply.ReadTargets;
  if (Reply.ReadTargets)
    NextPoll = std::min(NextPoll, Now);
  if (Reply.Usable)
    Registry.platformAnswered(Now);
  for (const target_change &Change : Reply.Changes)
    if (Change.Removed)
      Registry.remove(Change.Record.Name, Now);
    else
      Registry.upsert(Change.Record, Now);
  if (Reply.Evacuated)
    Registry.setEvacuated(View.evacuated(), Now);
  if (!Reply.Current)
    return;
  TargetsRevision = View.revision();
  NewestRevision = std::max(NewestRevision, TargetsRevision);
  // The reader lists everything for its region.
  NextList = Now + jittered(Settings.ListPeriod);
}

/// Logs when the platform becomes unreachable and when it answers again.
void platform_follower::noteReadResult(std::string_view What,
                                       const error *Failure) {
  if (Failure == nullptr)
    Registry.platformAnswered(Clock.now());
  if ((Failure != nullptr) == PlatformLost)
    return;
  PlatformLost = Failure != nullptr;
  logEvent(PlatformLost ? log_level::Warning : log_level::Info,
           PlatformLost ? "platform_lost" : "platform_regained",
           {{"read", What},
            {"detail", Failure == nullptr ? std::string() : Failure->Detail},
            {"revision", NewestRevision}});
}

void platform_follower::pollTargets() {
  PollingTargets = true;
  MissedChanges = false;
  const steady_time Now = Clock.now();
  NextPoll = Now + jittered(Settings.PollPeriod);
  if (TargetsRevision == NoObject || Now >= NextList)
    listTargets();
  else
    pollChanges();
}

/// \p Revision is that of the platform's answer. An object that the previous
/// answer should have contained is recorded as changed at \p Revision, as peers
/// that applied that answer lack it too.
void platform_follower::updateTarget(const stored_object &Object,
                                     object_version Revision) {
  const std::string Name = Object.Name.substr(Platform.targetsPrefix().size());
  const result<target_record> Read = Platform.readTarget(Name, Object.Value);
  if (!failed(Read)) {
    const bool New =
        Object.Version > TargetsRevision && Object.Version <= Revision;
    View.logTargetChange(
        Revision, {valueOf(Read), false, New ? Object.Version : Revision});
    return Registry.upsert(valueOf(Read), Clock.now());
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
  View.logTargetChange(Revision, std::move(Change));
  Registry.remove(Name, Clock.now());
}

void platform_follower::listTargets() {
  const boot_time AsOf = Clock.boot();
  Store.list({Platform.targetsPrefix()}, [this, AsOf](
                                             const result<object_list> &List) {
    PollingTargets = false;
    noteReadResult("targets", failed(List) ? &errorOf(List) : nullptr);
    if (!isOfThisEra(List) || failed(List)) {
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
      else if (TargetsRevision == NoObject)
        logEvent(log_level::Warning, "target_unreadable",
                 {{"target", Name}, {"detail", errorOf(Read).Detail}});
    }
    // Peers that know an older era list themselves.
    const bool First =
        View.revision() == 0 || View.targetsEra() != valueOf(List).Era;
    std::vector<target_change> Changes =
        Registry.replaceAll(Records, Clock.now());
    TargetsRevision = valueOf(List).Revision;
    if (First)
      View.truncateChangeLog(TargetsRevision, valueOf(List).Era);
    else
      for (target_change &Change : Changes)
        View.logTargetChange(TargetsRevision, std::move(Change));
    View.confirmTargets(TargetsRevision, AsOf, valueOf(List).Era);
    noteRevision(TargetsRevision);
    NextList = Clock.now() + jittered(Settings.ListPeriod);
  });
}

void platform_follower::pollChanges() {
  const boot_time AsOf = Clock.boot();
  Store.changes({Platform.targetsPrefix(), TargetsRevision, milliseconds(0),
                 View.targetsEra()},
                [this, AsOf](const result<changes_answer> &Answer) {
                  PollingTargets = false;
                  noteReadResult("changes",
                                 failed(Answer) ? &errorOf(Answer) : nullptr);
                  if (!isOfThisEra(Answer) || failed(Answer)) {
                    NextPoll = Clock.now() + jittered(RetryPause);
                    return;
                  }
                  applyChanges(valueOf(Answer), AsOf);
                });
}

void platform_follower::applyChanges(const changes_answer &Answer,
                                     boot_time AsOf) {
  // The events are those since another revision of that number. A list follows
  // already, as the era was heard of.
  if (Answer.Era != View.targetsEra())
    return;
  if (Answer.HistoryGone) {
    logEvent(log_level::Info, "history_gone", {{"since", TargetsRevision}});
    // The next poll lists all targets.
    TargetsRevision = NoObject;
    NextPoll = Clock.now();
    return;
  }
  for (const object_change &Change : Answer.Changes) {
    if (Change.Removed)
      removeTarget(Change.Object.Name.substr(Platform.targetsPrefix().size()),
                   Answer.Revision);
    else
      updateTarget(Change.Object, Answer.Revision);
  }
  TargetsRevision = std::max(TargetsRevision, Answer.Revision);
  View.confirmTargets(TargetsRevision, AsOf, Answer.Era);
  noteRevision(Answer.Revision);
}

void platform_follower::readRoutes() {
  ReadingRoutes = true;
  const boot_time AsOf = Clock.boot();
  NextRoutes = Clock.now() + jittered(Settings.RoutesPeriod);
  Store.get({Platform.routesObject()},
            [this, AsOf](const result<stored_object> &Object) {
              ReadingRoutes = false;
              const bool Unanswered =
                  failed(Object) &&
                  errorOf(Object).Kind != error_kind::NotFound;
              noteReadResult("routes", Unanswered ? &errorOf(Object) : nullptr);
              if (!isOfThisEra(Object)) {
                NextRoutes = Clock.now() + jittered(RetryPause);
                return;
              }
              if (failed(Object)) {
                const milliseconds AbsentRetry =
                    StartedFromSnapshot && !View.isReader()
                        ? FollowerAbsentPause
                        : AbsentPause;
                NextRoutes = Clock.now() +
                             jittered(Unanswered ? RetryPause : AbsentRetry);
                return;
              }
              HaveRoutes = true;
              OnRoutes({valueOf(Object).Version, valueOf(Object).Value,
                        valueOf(Object).Era},
                       AsOf);
            });
}

void platform_follower::readEvacuations() {
  ReadingEvacuations = true;
  const boot_time AsOf = Clock.boot();
  NextEvacuations = Clock.now() + jittered(Settings.EvacuationsPeriod);
  Store.list(
      {Platform.evacuationsPrefix()},
      [this, AsOf](const result<object_list> &List) {
        ReadingEvacuations = false;
        noteReadResult("evacuations", failed(List) ? &errorOf(List) : nullptr);
        if (!isOfThisEra(List) || failed(List)) {
          NextEvacuations = Clock.now() + jittered(RetryPause);
          return;
        }
        std::set<std::string> Names;
        for (const stored_object &Object : valueOf(List).Objects)
          Names.insert(Object.Name.substr(Platform.evacuationsPrefix().size()));
        View.setEvacuated(std::move(Names), AsOf, valueOf(List).Era);
        Registry.setEvacuated(View.evacuated(), Clock.now());
      });
}

} // namespace magnoliaspread
