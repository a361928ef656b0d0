#include <magnoliaspread/platformview.h>

#include <magnoliaspread/hash.h>

#include <algorithm>

namespace magnoliaspread {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

/// About one change of each target at the size to design for.
constexpr std::size_t MaxLoggedChanges = 1024;
/// Bytes of a change's numbers on the wire, with the lengths of its names.
constexpr std::size_t ChangeOverhead = 60;

std::size_t bytesOf(const target_change &Change) {
  const target_record &Record = Change.Record;
  return ChangeOverhead + Record.Name.size() + Record.Address.Address.size() +
         Record.Service.size() + Record.DataCentre.size();
}

/// Rounded up, so that knowledge isn't taken for newer than it is.
milliseconds ageOf(boot_time AsOf, boot_time Now) {
  return duration_cast<milliseconds>(Now - AsOf) + milliseconds(1);
}

} // namespace

void platform_view::setMates(const std::vector<std::string> &Names) {
  Reader.clear();
  std::uint64_t Least = stableId(Instance);
  for (const std::string &Name : Names) {
    if (stableId(Name) >= Least)
      continue;
    Least = stableId(Name);
    Reader = Name;
  }
}

void platform_view::routesProved(std::uint64_t Newest, boot_time AsOf) {
  if (Newest < Version)
    return;
  Version = Newest;
  RoutesAsOf = std::max(RoutesAsOf, AsOf);
}

void platform_view::targetsRead(std::uint64_t Newest, boot_time AsOf) {
  if (Newest < Revision)
    return;
  Revision = Newest;
  // Parts that answer an earlier question count from another revision.
  Skip = 0;
  AskedAt = {};
  TargetsAsOf = std::max(TargetsAsOf, AsOf);
}

void platform_view::targetChanged(std::uint64_t At, target_change Change) {
  Log.push_back({At, std::move(Change)});
  while (Log.size() > MaxLoggedChanges) {
    LogSince = std::max(LogSince, Log.front().Revision);
    Log.pop_front();
  }
}

void platform_view::forgetChanges(std::uint64_t At) {
  LogSince = std::max(LogSince, At);
  Log.clear();
}

void platform_view::setEvacuated(std::set<std::string> DataCentres) {
  Evacuated = std::move(DataCentres);
}

bool platform_view::targetsDue(boot_time Now) const {
  return Now - TargetsAsOf >= Settings.TargetsLimit;
}

bool platform_view::routesDue(boot_time Now) const {
  return Now - RoutesAsOf >= Settings.RoutesLimit;
}

view_source platform_view::askDue(boot_time Now) {
  if (Now < NextAsk)
    return view_source::None;
  if (Now - RoutesAsOf >= Settings.AnyPeerAfter ||
      Now - TargetsAsOf >= Settings.AnyPeerForTargets) {
    NextAsk = Now + Settings.AskPeriod;
    return view_source::AnyPeer;
  }
  if (isReader())
    return view_source::None;
  NextAsk = Now + Settings.AskPeriod;
  return view_source::Reader;
}

view_ask platform_view::ask(boot_time Now, std::uint64_t To) {
  if (To != PartsFrom)
    Skip = 0;
  PartsFrom = To;
  AskedAt = Now;
  return {Now, Revision, Skip};
}

view_reply platform_view::answer(const view_ask &Ask, boot_time Now) const {
  view_reply Reply;
  Reply.AskedAt = Ask.AskedAt;
  Reply.Version = Version;
  Reply.Age = ageOf(RoutesAsOf, Now);
  Reply.Revision = Revision;
  Reply.TargetsAge = ageOf(TargetsAsOf, Now);
  Reply.Evacuated.assign(Evacuated.begin(), Evacuated.end());
  Reply.Partial = Ask.Revision < LogSince;
  Reply.Skip = Ask.Skip;
  if (Reply.Partial)
    return Reply;
  std::size_t Bytes = 0;
  for (const std::string &Name : Reply.Evacuated)
    Bytes += Name.size() + 1;
  std::uint32_t Passed = 0;
  for (const logged_change &Row : Log) {
    if (Row.Revision <= Ask.Revision || Passed++ < Ask.Skip)
      continue;
    Bytes += bytesOf(Row.Change);
    if (Bytes > MaxViewBytes && !Reply.Changes.empty()) {
      Reply.More = true;
      break;
    }
    Reply.Changes.push_back(Row.Change);
  }
  return Reply;
}

/// Takes a reply that stands for a part of the changes: nothing is known as of
/// the reply's revision before the last part has come.
void platform_view::takePart(const view_reply &Reply, std::uint64_t From,
                             taken &Taken) {
  PartsFrom = From;
  Skip += static_cast<std::uint32_t>(Reply.Changes.size());
  Taken.AskOn = true;
  Taken.Changes = Reply.Changes;
  for (const target_change &Change : Reply.Changes)
    targetChanged(Reply.Revision, Change);
}

/// Whether a reply goes on where the last one ended.
bool platform_view::isExpected(const view_reply &Reply,
                               std::uint64_t From) const {
  return Reply.AskedAt == AskedAt && Reply.Skip == Skip &&
         (PartsFrom == 0 || PartsFrom == From);
}

platform_view::taken platform_view::take(const view_reply &Reply,
                                         std::uint64_t From) {
  taken Taken;
  Taken.FetchRoutes = Reply.Version > Version;
  if (Reply.Version != 0 && Reply.Version == Version)
    RoutesAsOf = std::max(RoutesAsOf, Reply.AskedAt - Reply.Age);
  const boot_time AsOf = Reply.AskedAt - Reply.TargetsAge;
  // Targets that were never read here can't be completed by changes.
  if (Revision == 0 || Reply.Revision < Revision || AsOf < TargetsAsOf)
    return Taken;
  Evacuated = {Reply.Evacuated.begin(), Reply.Evacuated.end()};
  Taken.Evacuated = Evacuated;
  const bool Expected = isExpected(Reply, From);
  if (Reply.More || (Reply.Skip != 0 && !Expected)) {
    if (Expected)
      takePart(Reply, From, Taken);
    return Taken;
  }
  Taken.ReadTargets = Reply.Partial;
  if (Reply.Partial)
    return Taken;
  if (Reply.Revision > Revision) {
    Taken.Changes = Reply.Changes;
    for (const target_change &Change : Reply.Changes)
      targetChanged(Reply.Revision, Change);
  }
  targetsRead(Reply.Revision, AsOf);
  return Taken;
}

} // namespace magnoliaspread
