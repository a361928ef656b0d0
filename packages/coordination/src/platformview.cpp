#include <magnoliaspread/platformview.h>

#include <magnoliaspread/hash.h>

#include <algorithm>

namespace magnoliaspread {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

/// About one change of each target at the largest fleet designed for.
constexpr std::size_t MaxLoggedChanges = 1024;
/// Receivers of a request to any peers.
constexpr std::size_t PeersPerRequest = 3;
/// How long a reader that knew less than others is skipped: several reads of
/// its successor.
constexpr milliseconds ReaderSkipTime{5000};
/// Timeout for the next part of a reply: twice the round trip between the most
/// distant regions (site files, 55 ms one way).
constexpr milliseconds PartTimeout{220};
/// Parts sent per request, about 8 kB: one at a time over a long distance takes
/// longer than a rollout's changes may take.
constexpr std::size_t PartsAtOnce = 8;
/// Encoded bytes of a change's numbers and the lengths of its names.
constexpr std::size_t ChangeOverhead = 70;

std::size_t bytesOf(const target_change &Change) {
  const target_record &Record = Change.Record;
  return ChangeOverhead + Record.Name.size() + Record.Address.Address.size() +
         Record.Service.size() + Record.DataCentre.size();
}

/// Rounded up, so that state never counts as newer than it is.
milliseconds ageOf(boot_time AsOf, boot_time Now) {
  return duration_cast<milliseconds>(Now - AsOf) + milliseconds(1);
}

} // namespace

void platform_view::setRegionalPeers(const std::vector<std::string> &Names) {
  RegionalPeers = Names;
  chooseReader();
}

void platform_view::chooseReader() {
  Reader.clear();
  std::uint64_t LowestId = stableId(Instance);
  for (const std::string &Name : RegionalPeers) {
    if (stableId(Name) >= LowestId || SkippedReaders.contains(Name))
      continue;
    LowestId = stableId(Name);
    Reader = Name;
  }
}

bool platform_view::hearEra(store_era Era, boot_time Now) {
  std::set<std::string> InForce = evacuated();
  if (!History.hear(Era, Now))
    return false;
  KeptEvacuated = std::move(InForce);
  // Parts of a reply belong to the older era.
  Skip = 0;
  Parts.clear();
  AskedAt = {};
  return true;
}

void platform_view::confirmRoutes(std::uint64_t Newest, boot_time AsOf,
                                  store_era Era, routes_source Source) {
  if (Newest < Version)
    return;
  Version = Newest;
  if (Era != History.era() ||
      (Source == routes_source::Platform && AsOf < History.provesFrom()))
    return;
  RoutesAsOf = std::max(RoutesAsOf, AsOf);
  RoutesEra = Era;
}

void platform_view::confirmTargets(std::uint64_t NewestRevision, boot_time AsOf,
                                   store_era Era) {
  const store_version Newest{Era, NewestRevision};
  if (Newest < Revision || Era != History.era())
    return;
  // Parts that answer an earlier request start from another revision.
  if (Revision < Newest) {
    Skip = 0;
    AskedAt = {};
  }
  Revision = Newest;
  TargetsAsOf = std::max(TargetsAsOf, AsOf);
  if (ReaderSuspectedAt && AsOf > *ReaderSuspectedAt - Settings.RequestPeriod)
    skipReader();
}

/// Skips the reader for a while because others knew more.
void platform_view::skipReader() {
  if (!Reader.empty())
    SkippedReaders[Reader] = *ReaderSuspectedAt + ReaderSkipTime;
  ReaderSuspectedAt.reset();
  chooseReader();
}

void platform_view::logTargetChange(std::uint64_t At, target_change Change) {
  if (Change.Revision == 0)
    Change.Revision = At;
  Log.push_back(std::move(Change));
  while (Log.size() > MaxLoggedChanges) {
    LogStart.Revision = std::max(LogStart.Revision, Log.front().Revision);
    Log.pop_front();
  }
}

void platform_view::truncateChangeLog(std::uint64_t At, store_era Era) {
  LogStart = std::max(LogStart, store_version{Era, At});
  Log.clear();
}

void platform_view::setEvacuated(std::set<std::string> DataCentres,
                                 boot_time AsOf, store_era Era) {
  if (Era != History.era())
    return;
  // Of two lists that prove nothing yet neither replaces the other.
  if (AsOf < History.provesFrom())
    KeptEvacuated.insert(DataCentres.begin(), DataCentres.end());
  Evacuated = std::move(DataCentres);
  EvacuatedAsOf = AsOf;
  EvacuatedEra = Era;
}

void platform_view::keepEvacuated(std::set<std::string> DataCentres) {
  KeptEvacuated.merge(DataCentres);
}

std::set<std::string> platform_view::evacuated() const {
  std::set<std::string> All = Evacuated;
  if (!EvacuatedAsOf || *EvacuatedAsOf < History.provesFrom())
    All.insert(KeptEvacuated.begin(), KeptEvacuated.end());
  return All;
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

/// While parts are arriving no new request is sent: it would start with the
/// first part again, and over a long distance the last of many would never
/// arrive.
bool platform_view::isReceivingParts(boot_time Now) const {
  return Skip > 0 && Now - AskedAt < PartTimeout;
}

view_source platform_view::dueRequest(boot_time Now) {
  if (std::erase_if(SkippedReaders,
                    [&](const auto &Row) { return Row.second <= Now; }) > 0)
    chooseReader();
  if (isReceivingParts(Now))
    return view_source::None;
  if (Skip > 0 && PartsFrom != 0 && !PartRetried) {
    PartRetried = true;
    return view_source::SamePeer;
  }
  if (Now >= NextAnyPeerRequest &&
      (Now - RoutesAsOf >= Settings.AnyPeerAfter ||
       Now - TargetsAsOf >= Settings.AnyPeerForTargets)) {
    NextAnyPeerRequest = NextRequest = Now + Settings.RequestPeriod;
    if (Now - TargetsAsOf >= Settings.AnyPeerForTargets)
      ReaderSuspectedAt = Now;
    return view_source::AnyPeer;
  }
  if (Now < NextRequest || isReader())
    return view_source::None;
  NextRequest = Now + Settings.RequestPeriod;
  return view_source::Reader;
}

std::vector<std::string>
platform_view::samplePeers(std::mt19937_64 &Random) const {
  std::vector<std::string> Chosen = RegionalPeers;
  std::vector<std::string> Remote = RemotePeers;
  std::shuffle(Chosen.begin(), Chosen.end(), Random);
  std::shuffle(Remote.begin(), Remote.end(), Random);
  // A whole region can be cut off, so one peer of another region is included.
  Chosen.resize(std::min(Chosen.size(), PeersPerRequest - 1));
  Chosen.insert(Chosen.end(), Remote.begin(), Remote.end());
  Chosen.resize(std::min(Chosen.size(), PeersPerRequest));
  return Chosen;
}

view_request platform_view::makeRequest(boot_time Now, std::uint64_t To) {
  if (To != PartsFrom)
    Skip = 0;
  PartsFrom = To;
  AskedAt = Now;
  if (To == 0)
    MultiRequestAt = Now;
  return {Now, Revision.Revision, Skip, Revision.Era};
}

/// True if a part before this one was lost.
bool platform_view::hasGap(const view_reply &Reply, std::uint64_t From) const {
  return Skip > 0 && Reply.AskedAt == AskedAt && From == PartsFrom &&
         Reply.Skip > Skip;
}

view_reply platform_view::answer(const view_request &Request,
                                 boot_time Now) const {
  view_reply Reply;
  Reply.AskedAt = Request.AskedAt;
  Reply.Version = Version;
  Reply.Age = ageOf(RoutesAsOf, Now);
  Reply.Era = History.era();
  Reply.RoutesEra = RoutesEra;
  Reply.TargetsEra = Revision.Era;
  Reply.EvacuatedEra = EvacuatedEra;
  Reply.Revision = EvacuatedAsOf ? Revision.Revision : 0;
  Reply.TargetsAge = ageOf(TargetsAsOf, Now);
  const std::set<std::string> InForce = evacuated();
  Reply.Evacuated.assign(InForce.begin(), InForce.end());
  if (EvacuatedAsOf)
    Reply.EvacuatedAge = ageOf(*EvacuatedAsOf, Now);
  Reply.ChangesUnknown =
      store_version{Request.Era, Request.Revision} < LogStart;
  Reply.Skip = Request.Skip;
  if (Reply.ChangesUnknown || !EvacuatedAsOf)
    return Reply;
  std::size_t Bytes = 0;
  for (const std::string &Name : Reply.Evacuated)
    Bytes += Name.size() + 1;
  std::uint32_t Skipped = 0;
  for (const target_change &Row : Log) {
    if (Row.Revision <= Request.Revision || Skipped++ < Request.Skip)
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

std::vector<view_reply> platform_view::answers(view_request Request,
                                               boot_time Now) const {
  // A first request may go to several peers, of which only one is continued.
  const std::size_t MaxParts = Request.Skip == 0 ? 1 : PartsAtOnce;
  std::vector<view_reply> Replies{answer(Request, Now)};
  while (Replies.back().More && Replies.size() < MaxParts) {
    Request.Skip += static_cast<std::uint32_t>(Replies.back().Changes.size());
    Replies.back().Follows = true;
    Replies.push_back(answer(Request, Now));
  }
  return Replies;
}

/// Buffers a part of the changes until the last part arrives. Applying it at
/// once would make this instance answer its own peers with some of the changes
/// as if they were all.
void platform_view::bufferPart(const view_reply &Reply, std::uint64_t From,
                               reply_result &Result) {
  if (Skip == 0)
    Parts.clear();
  PartsFrom = From;
  PartRetried = false;
  Skip += static_cast<std::uint32_t>(Reply.Changes.size());
  Result.RequestNextPart = !Reply.Follows;
  Parts.insert(Parts.end(), Reply.Changes.begin(), Reply.Changes.end());
}

/// True if a reply continues where the last one ended.
bool platform_view::isExpected(const view_reply &Reply,
                               std::uint64_t From) const {
  return Reply.AskedAt == AskedAt && Reply.Skip == Skip &&
         (PartsFrom == 0 || PartsFrom == From);
}

platform_view::reply_result platform_view::applyReply(const view_reply &Reply,
                                                      std::uint64_t From) {
  reply_result Result;
  Result.FetchRoutes = Reply.Version > Version;
  Result.RoutesAsOf = Reply.AskedAt - Reply.Age;
  Result.RoutesEra = Reply.RoutesEra;
  if (Reply.Version != 0 && Reply.Version == Version)
    confirmRoutes(Version, Result.RoutesAsOf, Reply.RoutesEra,
                  routes_source::Peer);
  const boot_time EvacuatedAt = Reply.AskedAt - Reply.EvacuatedAge;
  const bool NewerEvacuated = !EvacuatedAsOf ||
                              Reply.EvacuatedEra > EvacuatedEra ||
                              EvacuatedAt > *EvacuatedAsOf;
  if (Reply.Revision != 0 && Reply.EvacuatedEra == History.era() &&
      NewerEvacuated) {
    setEvacuated({Reply.Evacuated.begin(), Reply.Evacuated.end()}, EvacuatedAt,
                 Reply.EvacuatedEra);
    Result.Evacuated = Evacuated;
  }
  const boot_time AsOf = Reply.AskedAt - Reply.TargetsAge;
  // Changes need a base: the targets must have been read here once.
  const store_version Theirs{Reply.TargetsEra, Reply.Revision};
  if (Revision == store_version() || Reply.TargetsEra != History.era() ||
      Theirs < Revision || AsOf < TargetsAsOf)
    return Result;
  Result.Usable = true;
  // Changes of the new era have no base here; a list is due already.
  if (Revision.Era != Reply.TargetsEra)
    return Result;
  const bool Expected = isExpected(Reply, From);
  if (Reply.More || (Reply.Skip != 0 && !Expected)) {
    if (Expected)
      bufferPart(Reply, From, Result);
    else
      Result.RequestNextPart =
          hasGap(Reply, From) ||
          (AskedAt == boot_time() && Reply.AskedAt == MultiRequestAt);
    return Result;
  }
  Result.ReadTargets = Reply.ChangesUnknown;
  if (Reply.ChangesUnknown)
    return Result;
  if (Revision < Theirs) {
    if (Reply.Skip != 0)
      Result.Changes = std::move(Parts);
    Result.Changes.insert(Result.Changes.end(), Reply.Changes.begin(),
                          Reply.Changes.end());
    for (const target_change &Change : Result.Changes)
      logTargetChange(Reply.Revision, Change);
  }
  confirmTargets(Reply.Revision, AsOf, Reply.TargetsEra);
  Result.Current = true;
  return Result;
}

} // namespace magnoliaspread
