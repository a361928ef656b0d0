#include <magnoliaspread/platformview.h>

#include <magnoliaspread/hash.h>

#include <algorithm>

namespace magnoliaspread {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

/// About one change of each target at the size to design for.
constexpr std::size_t MaxLoggedChanges = 1024;
/// Peers asked for their proof at a time.
constexpr std::size_t AskedPeers = 3;
/// A reader that others knew more than is passed over for this long: several
/// reads of its successor.
constexpr milliseconds PassOverTime{5000};
/// Longest wait for the next part of a reply: twice the way there and back
/// between the regions that lie farthest apart (site files, 55 ms one way).
constexpr milliseconds PartTimeout{220};
/// Parts sent for one question, about 8 kB: over a long way one at a time takes
/// longer than the changes of a rollout may.
constexpr std::size_t PartsAtOnce = 8;
/// Bytes of a change's numbers on the wire, with the lengths of its names.
constexpr std::size_t ChangeOverhead = 70;

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
  Mates = Names;
  chooseReader();
}

void platform_view::chooseReader() {
  Reader.clear();
  std::uint64_t Least = stableId(Instance);
  for (const std::string &Name : Mates) {
    if (stableId(Name) >= Least || PassedOver.contains(Name))
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
  // Parts that answer an earlier question count from another revision.
  if (Newest > Revision) {
    Skip = 0;
    AskedAt = {};
  }
  Revision = Newest;
  TargetsAsOf = std::max(TargetsAsOf, AsOf);
  if (SuspectedAt && AsOf > *SuspectedAt - Settings.AskPeriod)
    passOverReader();
}

/// Others know more than the reader does.
void platform_view::passOverReader() {
  if (!Reader.empty())
    PassedOver[Reader] = *SuspectedAt + PassOverTime;
  SuspectedAt.reset();
  chooseReader();
}

void platform_view::targetChanged(std::uint64_t At, target_change Change) {
  if (Change.Revision == 0)
    Change.Revision = At;
  Log.push_back(std::move(Change));
  while (Log.size() > MaxLoggedChanges) {
    LogSince = std::max(LogSince, Log.front().Revision);
    Log.pop_front();
  }
}

void platform_view::forgetChanges(std::uint64_t At) {
  LogSince = std::max(LogSince, At);
  Log.clear();
}

void platform_view::setEvacuated(std::set<std::string> DataCentres,
                                 boot_time AsOf) {
  Evacuated = std::move(DataCentres);
  EvacuatedAsOf = AsOf;
}

bool platform_view::evacuationsDue(boot_time Now) const {
  return !EvacuatedAsOf || Now - *EvacuatedAsOf >= Settings.EvacuationsLimit;
}

bool platform_view::targetsDue(boot_time Now) const {
  return !isCurrent(TargetsAsOf, Now);
}

bool platform_view::routesDue(boot_time Now) const {
  return Now - RoutesAsOf >= Settings.RoutesLimit;
}

/// A new question would begin with the first part again: over a long way and
/// with many changes the last part would never come.
bool platform_view::isTakingParts(boot_time Now) const {
  return Skip > 0 && Now - AskedAt < PartTimeout;
}

view_source platform_view::askDue(boot_time Now) {
  if (std::erase_if(PassedOver,
                    [&](const auto &Row) { return Row.second <= Now; }) > 0)
    chooseReader();
  if (isTakingParts(Now))
    return view_source::None;
  if (Skip > 0 && PartsFrom != 0 && !PartsAskedAgain) {
    PartsAskedAgain = true;
    return view_source::SamePeer;
  }
  if (Now >= NextAskAny && (Now - RoutesAsOf >= Settings.AnyPeerAfter ||
                            Now - TargetsAsOf >= Settings.AnyPeerForTargets)) {
    NextAskAny = NextAsk = Now + Settings.AskPeriod;
    if (Now - TargetsAsOf >= Settings.AnyPeerForTargets)
      SuspectedAt = Now;
    return view_source::AnyPeer;
  }
  if (Now < NextAsk || isReader())
    return view_source::None;
  NextAsk = Now + Settings.AskPeriod;
  return view_source::Reader;
}

std::vector<std::string>
platform_view::drawPeers(std::mt19937_64 &Random) const {
  std::vector<std::string> Near = Mates;
  std::vector<std::string> Far = Others;
  std::shuffle(Near.begin(), Near.end(), Random);
  std::shuffle(Far.begin(), Far.end(), Random);
  // A whole region can be cut off, so one of another is always among them.
  Near.resize(std::min(Near.size(), AskedPeers - 1));
  Near.insert(Near.end(), Far.begin(), Far.end());
  Near.resize(std::min(Near.size(), AskedPeers));
  return Near;
}

view_ask platform_view::ask(boot_time Now, std::uint64_t To) {
  if (To != PartsFrom)
    Skip = 0;
  PartsFrom = To;
  AskedAt = Now;
  if (To == 0)
    SeveralAskedAt = Now;
  return {Now, Revision, Skip};
}

/// Whether a part before this one was lost.
bool platform_view::isGap(const view_reply &Reply, std::uint64_t From) const {
  return Skip > 0 && Reply.AskedAt == AskedAt && From == PartsFrom &&
         Reply.Skip > Skip;
}

view_reply platform_view::answer(const view_ask &Ask, boot_time Now) const {
  view_reply Reply;
  Reply.AskedAt = Ask.AskedAt;
  Reply.Version = Version;
  Reply.Age = ageOf(RoutesAsOf, Now);
  Reply.Revision = EvacuatedAsOf ? Revision : 0;
  Reply.TargetsAge = ageOf(TargetsAsOf, Now);
  Reply.Evacuated.assign(Evacuated.begin(), Evacuated.end());
  if (EvacuatedAsOf)
    Reply.EvacuatedAge = ageOf(*EvacuatedAsOf, Now);
  Reply.Partial = Ask.Revision < LogSince;
  Reply.Skip = Ask.Skip;
  if (Reply.Partial || !EvacuatedAsOf)
    return Reply;
  std::size_t Bytes = 0;
  for (const std::string &Name : Reply.Evacuated)
    Bytes += Name.size() + 1;
  std::uint32_t Passed = 0;
  for (const target_change &Row : Log) {
    if (Row.Revision <= Ask.Revision || Passed++ < Ask.Skip)
      continue;
    Bytes += bytesOf(Row);
    if (Bytes > MaxViewBytes && !Reply.Changes.empty()) {
      Reply.More = true;
      break;
    }
    Reply.Changes.push_back(Row);
  }
  return Reply;
}

std::vector<view_reply> platform_view::answers(view_ask Ask,
                                               boot_time Now) const {
  // Several peers are asked at a time, and only one of them is asked on.
  const std::size_t Most = Ask.Skip == 0 ? 1 : PartsAtOnce;
  std::vector<view_reply> Replies{answer(Ask, Now)};
  while (Replies.back().More && Replies.size() < Most) {
    Ask.Skip += static_cast<std::uint32_t>(Replies.back().Changes.size());
    Replies.back().Follows = true;
    Replies.push_back(answer(Ask, Now));
  }
  return Replies;
}

/// Takes a reply that stands for a part of the changes. They are held back
/// until the last part has come: a peer that asked for what has changed since
/// the own revision would be told of some of them as if they were all.
void platform_view::takePart(const view_reply &Reply, std::uint64_t From,
                             taken &Taken) {
  if (Skip == 0)
    Parts.clear();
  PartsFrom = From;
  PartsAskedAgain = false;
  Skip += static_cast<std::uint32_t>(Reply.Changes.size());
  Taken.AskOn = !Reply.Follows;
  Parts.insert(Parts.end(), Reply.Changes.begin(), Reply.Changes.end());
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
  Taken.RoutesAsOf = Reply.AskedAt - Reply.Age;
  if (Reply.Version != 0 && Reply.Version == Version)
    RoutesAsOf = std::max(RoutesAsOf, Taken.RoutesAsOf);
  const boot_time EvacuatedAt = Reply.AskedAt - Reply.EvacuatedAge;
  if (Reply.Revision != 0 && (!EvacuatedAsOf || EvacuatedAt > *EvacuatedAsOf)) {
    setEvacuated({Reply.Evacuated.begin(), Reply.Evacuated.end()}, EvacuatedAt);
    Taken.Evacuated = Evacuated;
  }
  const boot_time AsOf = Reply.AskedAt - Reply.TargetsAge;
  // Targets that were never read here can't be completed by changes.
  if (Revision == 0 || Reply.Revision < Revision || AsOf < TargetsAsOf)
    return Taken;
  Taken.Usable = true;
  const bool Expected = isExpected(Reply, From);
  if (Reply.More || (Reply.Skip != 0 && !Expected)) {
    if (Expected)
      takePart(Reply, From, Taken);
    else
      Taken.AskOn = isGap(Reply, From) ||
                    (AskedAt == boot_time() && Reply.AskedAt == SeveralAskedAt);
    return Taken;
  }
  Taken.ReadTargets = Reply.Partial;
  if (Reply.Partial)
    return Taken;
  if (Reply.Revision > Revision) {
    if (Reply.Skip != 0)
      Taken.Changes = std::move(Parts);
    Taken.Changes.insert(Taken.Changes.end(), Reply.Changes.begin(),
                         Reply.Changes.end());
    for (const target_change &Change : Taken.Changes)
      targetChanged(Reply.Revision, Change);
  }
  targetsRead(Reply.Revision, AsOf);
  Taken.Current = true;
  return Taken;
}

} // namespace magnoliaspread
