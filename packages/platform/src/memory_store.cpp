#include <magnoliaspread/memory_store.h>

#include <algorithm>
#include <memory>
#include <utility>

namespace magnoliaspread {

namespace {

error unavailableError() {
  return {error_kind::PlatformUnavailable, "no answer from the platform", {}};
}

void count(call_counters &Counters, const error *Error) {
  if (Error == nullptr)
    ++Counters.Succeeded;
  else if (Error->Kind == error_kind::NotFound)
    ++Counters.NotFound;
  else if (Error->Kind == error_kind::VersionConflict)
    ++Counters.Conflicts;
  else
    ++Counters.Failed;
}

} // namespace

void memory_platform::setFaults(const memory_store_faults &NewFaults) {
  Faults = NewFaults;
  Random.seed(Faults.Seed);
  if (!Faults.Down)
    return;
  std::vector<pending_watch> Failing;
  Failing.swap(Watches);
  for (const pending_watch &Watch : Failing)
    Watch.Done(unavailableError());
}

void memory_platform::freezeLists() { ListCopy = Objects; }

bool memory_platform::shouldLoseAnswer() {
  return std::uniform_real_distribution<>(0, 1)(Random) < Faults.LoseAnswers;
}

void memory_platform::answerWatch(const pending_watch &Watch, bool Changed) {
  watch_answer Answer;
  Answer.Changed = Changed;
  Answer.Object.Name = Watch.Request.Name;
  if (std::optional<stored_object> Found = Objects.find(Watch.Request.Name))
    Answer.Object = std::move(*Found);
  Watch.Done(std::move(Answer));
}

void memory_platform::completeChangedWatches() {
  const auto Unchanged = [this](const pending_watch &Watch) {
    return Objects.versionOf(Watch.Request.Name) == Watch.Request.Version;
  };
  const auto FirstChanged =
      std::stable_partition(Watches.begin(), Watches.end(), Unchanged);
  std::vector<pending_watch> Changed(std::make_move_iterator(FirstChanged),
                                     std::make_move_iterator(Watches.end()));
  Watches.erase(FirstChanged, Watches.end());
  for (const pending_watch &Watch : Changed)
    answerWatch(Watch, true);
}

void memory_platform::expireWatches() {
  const steady_time Now = Clock.now();
  const auto FirstDue = std::stable_partition(
      Watches.begin(), Watches.end(),
      [Now](const pending_watch &Watch) { return Watch.EndsAt > Now; });
  std::vector<pending_watch> Due(std::make_move_iterator(FirstDue),
                                 std::make_move_iterator(Watches.end()));
  Watches.erase(FirstDue, Watches.end());
  for (const pending_watch &Watch : Due)
    answerWatch(Watch, false);
}

memory_store::memory_store(memory_platform &Platform, const clock &Clock,
                           post_function Post)
    : Platform(Platform), Clock(Clock), Post(std::move(Post)) {}

memory_store::~memory_store() {
  std::erase_if(Platform.Watches,
                [this](const memory_platform::pending_watch &Watch) {
                  return Watch.Owner == this;
                });
}

std::optional<wall_time> memory_store::platformTimeAtLeast() const {
  return LastAnswer;
}

bool memory_store::unavailable() { return Partitioned || Platform.Faults.Down; }

template <class T>
void memory_store::finish(call_kind Kind, const completion<T> &Done,
                          result<T> Result) {
  const error *Error = std::get_if<error>(&Result);
  count(Counters.of(Kind), Error);
  Reachable =
      Error == nullptr || Error->Kind != error_kind::PlatformUnavailable;
  if (Reachable)
    LastAnswer = Clock.wall();
  auto Shared = std::make_shared<result<T>>(std::move(Result));
  Post([Done, Shared] { Done(std::move(*Shared)); });
}

void memory_store::get(get_request Request, completion<stored_object> Done) {
  ++Counters.of(call_kind::Get).Sent;
  if (unavailable())
    return finish<stored_object>(call_kind::Get, Done, unavailableError());
  std::optional<stored_object> Found = Platform.Objects.find(Request.Name);
  if (!Found)
    return finish<stored_object>(call_kind::Get, Done,
                                 error{error_kind::NotFound, Request.Name, {}});
  finish<stored_object>(call_kind::Get, Done, std::move(*Found));
}

void memory_store::changes(changes_request /*Request*/,
                           completion<changes_answer> Done) {
  ++Counters.of(call_kind::Changes).Sent;
  finish<changes_answer>(call_kind::Changes, Done,
                         error{error_kind::BadRequest, "no changes here", {}});
}

void memory_store::put(put_request Request, completion<put_answer> Done) {
  ++Counters.of(call_kind::Put).Sent;
  if (unavailable())
    return finish<put_answer>(call_kind::Put, Done, unavailableError());
  const result<object_version> Written = Platform.Objects.put(Request);
  if (failed(Written))
    return finish<put_answer>(call_kind::Put, Done, errorOf(Written));
  Platform.completeChangedWatches();
  if (Platform.shouldLoseAnswer())
    return finish<put_answer>(call_kind::Put, Done, unavailableError());
  finish<put_answer>(call_kind::Put, Done, put_answer{valueOf(Written), false});
}

void memory_store::remove(remove_request Request,
                          completion<std::monostate> Done) {
  ++Counters.of(call_kind::Remove).Sent;
  if (unavailable())
    return finish<std::monostate>(call_kind::Remove, Done, unavailableError());
  status Removed = Platform.Objects.remove(Request);
  if (!failed(Removed)) {
    Platform.completeChangedWatches();
    if (Platform.shouldLoseAnswer())
      Removed = unavailableError();
  }
  finish<std::monostate>(call_kind::Remove, Done, std::move(Removed));
}

void memory_store::list(list_request Request, completion<object_list> Done) {
  ++Counters.of(call_kind::List).Sent;
  if (unavailable())
    return finish<object_list>(call_kind::List, Done, unavailableError());
  const object_table &Source =
      Platform.Faults.FrozenLists ? Platform.ListCopy : Platform.Objects;
  finish<object_list>(call_kind::List, Done,
                      object_list{Source.list(Request.Prefix)});
}

void memory_store::watch(watch_request Request, completion<watch_answer> Done) {
  ++Counters.of(call_kind::Watch).Sent;
  if (unavailable())
    return finish<watch_answer>(call_kind::Watch, Done, unavailableError());
  ++Counters.WaitingWatches;
  const steady_time EndsAt = Clock.now() + Request.Wait;
  Platform.Watches.push_back(
      {this, std::move(Request), EndsAt,
       [this, Done = std::move(Done)](result<watch_answer> Answer) {
         --Counters.WaitingWatches;
         if (Partitioned)
           Answer = unavailableError();
         finish<watch_answer>(call_kind::Watch, Done, std::move(Answer));
       }});
  Platform.completeChangedWatches();
}

} // namespace magnoliaspread
