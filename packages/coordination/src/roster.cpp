#include <magnoliaspread/roster.h>

#include <magnoliaspread/hash.h>

#include <algorithm>
#include <array>
#include <utility>

namespace magnoliaspread {

using std::chrono::milliseconds;

namespace {

struct state_name {
  registration_state State;
  std::string_view Name;
};

constexpr std::array<state_name, 5> StateNames{{
    {registration_state::Joining, "joining"},
    {registration_state::Live, "live"},
    {registration_state::Suspect, "suspect"},
    {registration_state::Leaving, "leaving"},
    {registration_state::Gone, "gone"},
}};

bool hasEnded(registration_state State) {
  return State == registration_state::Leaving ||
         State == registration_state::Gone;
}

} // namespace

std::string_view nameOf(registration_state State) {
  for (const state_name &Row : StateNames)
    if (Row.State == State)
      return Row.Name;
  return {};
}

std::optional<registration_state> registrationState(std::string_view Name) {
  for (const state_name &Row : StateNames)
    if (Row.Name == Name)
      return Row.State;
  return std::nullopt;
}

instance_roster::instance_roster(roster_settings InitialSettings,
                                 steady_time Now)
    : Settings(std::move(InitialSettings)), StartedAt(Now), NextRead(Now),
      LastRead(Now), LastList(Now), NextWrite(Now), NextMark(Now) {
  if (!Settings.FirstStart)
    return;
  Phase = phase::Unwritten;
  Wanted = registration_state::Live;
  NextRead = Now + Settings.FirstReadAfter;
}

void instance_roster::setRows(std::vector<roster_row> NewRows,
                              std::size_t NewFleet) {
  Rows = std::move(NewRows);
  Fleet = NewFleet;
  std::string Text = Settings.Region + '/' + std::to_string(Fleet);
  for (const roster_row &Row : Rows) {
    Text += '/';
    Text += Row.Name;
    Text += ':';
    Text += nameOf(Row.State);
  }
  Hash = stableId(Text);
}

void instance_roster::updateRows() {
  Marked.clear();
  std::vector<roster_row> NewRows;
  std::size_t Count = 0;
  for (const auto &[Name, Object] : Objects) {
    if (Object.Region == Settings.Region)
      NewRows.push_back({Name, Object.State});
    Count += hasEnded(Object.State) ? 0 : 1;
  }
  setRows(std::move(NewRows), Count);
}

void instance_roster::applyList(const std::vector<registration> &All,
                                boot_time ReadAt, store_era ReadEra,
                                std::uint64_t ReadRevision, steady_time Now) {
  Reading = false;
  const bool First = !known();
  if (ReadAt < AsOf || (!First && ReadEra != Era)) {
    NextRead = Now + Settings.RetryPause;
    return;
  }
  Objects.clear();
  for (const registration &Row : All)
    Objects[Row.Name] = Row;
  AsOf = ReadAt;
  Era = ReadEra;
  Revision = ReadRevision;
  LastRead = LastList = Now;
  updateRows();
  checkOwn(Now);
}

void instance_roster::applyChanges(const std::vector<registration> &Changed,
                                   const std::vector<std::string> &Removed,
                                   boot_time ReadAt, std::uint64_t ReadRevision,
                                   steady_time Now) {
  Reading = false;
  if (Revision == 0)
    return;
  for (const registration &Row : Changed)
    Objects[Row.Name] = Row;
  for (const std::string &Name : Removed)
    Objects.erase(Name);
  AsOf = std::max(AsOf, ReadAt);
  Revision = std::max(Revision, ReadRevision);
  LastRead = Now;
  updateRows();
  checkOwn(Now);
}

void instance_roster::readFailed(steady_time Now) {
  Reading = false;
  NextRead = Now + Settings.RetryPause;
}

bool instance_roster::hearPeer(const roster_stamp &Peer) {
  if (!known())
    return true;
  if (Peer.Era != Era || Peer.AsOf <= AsOf)
    return false;
  if (Peer.Hash != Hash)
    return true;
  AsOf = Peer.AsOf;
  return false;
}

void instance_roster::applyRows(const std::vector<roster_row> &NewRows,
                                std::size_t NewFleet, boot_time ReadAt,
                                store_era ReadEra, steady_time Now) {
  if (known() && (ReadEra != Era || ReadAt <= AsOf))
    return;
  AsOf = ReadAt;
  Era = ReadEra;
  // The versions of the objects are unknown.
  Revision = 0;
  Objects.clear();
  setRows(NewRows, NewFleet);
  checkOwnRow(Now);
}

void instance_roster::historyLost(store_era NewEra, milliseconds Wait,
                                  steady_time Now) {
  Era = NewEra;
  Revision = 0;
  Objects.clear();
  Absent.clear();
  NextRead = Now + Wait;
  Continues = Minting;
  OutdatedWrite = Writing;
  if (Phase != phase::Left)
    Phase = phase::Unknown;
}

void instance_roster::leave(steady_time Now) {
  if (Stopping)
    return;
  Stopping = true;
  Minting = false;
  NextWrite = Now;
  if (Phase == phase::Live || Phase == phase::Joining ||
      (Phase == phase::Unwritten && OwnVersion != 0)) {
    Wanted = registration_state::Leaving;
    Phase = phase::Unwritten;
  } else if (Phase == phase::Unwritten && !Writing) {
    Phase = phase::Left;
  }
}

/// A read that began after the own write shows it, unless another instance has
/// changed the registration or the platform lost it.
void instance_roster::checkOwn(steady_time Now) {
  const auto Found = Objects.find(Settings.Instance);
  const registration *Own = Found == Objects.end() ? nullptr : &Found->second;
  if (Writing || Phase == phase::Left)
    return;
  if (Phase == phase::Unknown || Phase == phase::Unwritten)
    return chooseOwnWrite(Own, Now);
  if (AsOf <= OwnWrittenAt)
    return;
  if (Own == nullptr || Own->Version != OwnVersion)
    return chooseOwnWrite(Own, Now);
  if (Phase == phase::Joining && isAlone())
    LiveFrom = Now;
}

/// No other instance of the region mints or will without seeing this one's
/// registration.
bool instance_roster::isAlone() const {
  return std::all_of(Rows.begin(), Rows.end(), [&](const roster_row &Row) {
    return Row.Name == Settings.Instance ||
           Row.State == registration_state::Leaving;
  });
}

/// The same for a peer's rows; the version must be read.
void instance_roster::checkOwnRow(steady_time Now) {
  if (AsOf <= OwnWrittenAt || Phase == phase::Left)
    return;
  const auto Own =
      std::find_if(Rows.begin(), Rows.end(), [&](const roster_row &Row) {
        return Row.Name == Settings.Instance;
      });
  if (Own == Rows.end() || (Own->State != registration_state::Live &&
                            Own->State != registration_state::Suspect))
    Minting = false;
  const registration_state Expected = Phase == phase::Joining
                                          ? registration_state::Joining
                                          : registration_state::Live;
  if (Writing || (Phase != phase::Live && Phase != phase::Joining) ||
      (Own != Rows.end() && Own->State == Expected))
    return;
  Phase = phase::Unknown;
  NextRead = Now;
}

void instance_roster::chooseOwnWrite(const registration *Own, steady_time Now) {
  OwnVersion = Own == nullptr ? 0 : Own->Version;
  Phase = phase::Unwritten;
  if (Stopping) {
    Wanted = registration_state::Leaving;
    if (Own == nullptr || hasEnded(Own->State))
      Phase = phase::Left;
    return;
  }
  const bool OwnProcess =
      Own != nullptr && Own->Incarnation == Settings.Incarnation;
  if (OwnProcess && Own->State == registration_state::Live) {
    Phase = phase::Live;
    Minting = true;
    return;
  }
  if (OwnProcess && Own->State == registration_state::Joining) {
    Phase = phase::Joining;
    LiveFrom = Now + handoverTime();
    return;
  }
  // The process that registered has ended, as this one has its address.
  const bool Registered = Own != nullptr && Own->Address == Settings.Address &&
                          (Own->State == registration_state::Live ||
                           Own->State == registration_state::Suspect);
  const bool FirstStart = Settings.FirstStart && Own == nullptr &&
                          Now - StartedAt < Settings.FirstStartWindow;
  if (!Settings.Leases || Registered || Continues || FirstStart) {
    Wanted = registration_state::Live;
    return;
  }
  Minting = false;
  Wanted = registration_state::Joining;
}

bool instance_roster::takeRead(bool IsReader, steady_time Now, boot_time Boot) {
  if (Reading || Now < NextRead || Phase == phase::Left)
    return false;
  const auto SinceRead = Now - LastRead;
  const bool ForRegion = IsReader && Settings.Leases;
  const bool List = Phase == phase::Unknown || !known() ||
                    Now - LastList >= Settings.ListPeriod;
  const bool Due =
      List || ReadOwn ||
      (Settings.Leases && Boot - AsOf >= Settings.ReadLimit) ||
      (ForRegion && SinceRead >= Settings.ReadPeriod) ||
      (ForRegion && ReadWanted && SinceRead >= Settings.ChangeReadPeriod);
  if (!Due)
    return false;
  if (List)
    Revision = 0;
  Reading = true;
  ReadOwn = ReadWanted = false;
  NextRead = Now;
  return true;
}

std::optional<registration_write>
instance_roster::takeOwnWrite(steady_time Now) {
  if (Writing || Now < NextWrite)
    return std::nullopt;
  if (Phase == phase::Joining && Now >= LiveFrom) {
    Phase = phase::Unwritten;
    Wanted = registration_state::Live;
  }
  if (Phase != phase::Unwritten)
    return std::nullopt;
  if (Settings.FirstStart && Settings.Leases && OwnVersion == 0 &&
      Now - StartedAt >= Settings.FirstStartWindow &&
      Wanted == registration_state::Live && !Continues)
    Wanted = registration_state::Joining;
  Writing = true;
  return registration_write{Settings.Instance, Wanted, OwnVersion};
}

void instance_roster::ownWritten(std::uint64_t Version,
                                 registration_state State, steady_time Now,
                                 boot_time Boot) {
  // The platform may have made it before it lost its history.
  if (std::exchange(OutdatedWrite, false))
    return ownWriteFailed(Now);
  Writing = false;
  Continues = false;
  OwnVersion = Version;
  OwnWrittenAt = Boot;
  if (State == registration_state::Leaving) {
    Phase = phase::Left;
    return;
  }
  if (Stopping) {
    Wanted = registration_state::Leaving;
    Phase = phase::Unwritten;
    return;
  }
  if (State == registration_state::Joining) {
    // Shows who registered meanwhile.
    NextRead = Now;
    ReadOwn = true;
    Phase = phase::Joining;
    LiveFrom = Now + handoverTime();
    return;
  }
  Phase = phase::Live;
  Minting = true;
}

void instance_roster::ownWriteFailed(steady_time Now) {
  Writing = OutdatedWrite = false;
  Phase = phase::Unknown;
  NextWrite = NextRead = Now + Settings.RetryPause;
}

std::optional<registration_state>
instance_roster::nextMark(const registration &Row, absence &Known, bool Alive,
                          steady_time Now) const {
  if (Alive) {
    Known.Since = Now;
    Known.SeenAlive = true;
    return std::nullopt;
  }
  const auto Silence = Now - Known.Since;
  switch (Row.State) {
  case registration_state::Live:
    if (Silence >=
            (Known.SeenAlive ? Settings.SuspectAfter : Settings.UnseenAfter) &&
        Now >= Known.NotBefore)
      return registration_state::Suspect;
    break;
  case registration_state::Suspect:
    if (Silence >= Settings.ObjectionTime)
      return registration_state::Gone;
    break;
  case registration_state::Joining:
    if (Silence >= Settings.JoiningGoneAfter)
      return registration_state::Gone;
    break;
  case registration_state::Leaving:
  case registration_state::Gone:
    break;
  }
  return std::nullopt;
}

bool instance_roster::endedLongAgo(const registration &Row,
                                   const absence &Known,
                                   steady_time Now) const {
  return hasEnded(Row.State) && Now - Known.Since >= Settings.KeepAfterEnd;
}

std::optional<registration_write>
instance_roster::takeMark(steady_time Now, const live_predicate &IsLive) {
  if (Marking || Now < NextMark || Objects.empty() || !Settings.Leases ||
      Phase != phase::Live)
    return std::nullopt;
  NextMark = Now + Settings.MarkPeriod;
  std::erase_if(Absent,
                [&](const auto &Row) { return !Objects.contains(Row.first); });
  for (const auto &[Name, Row] : Objects) {
    if (Row.Region != Settings.Region || Name == Settings.Instance ||
        Marked.contains(Name))
      continue;
    const auto [Found, New] = Absent.try_emplace(Name);
    absence &Known = Found->second;
    if (New || Known.Version != Row.Version) {
      const bool Objected = Known.State == registration_state::Suspect &&
                            Row.State == registration_state::Live;
      if (!New && Objected)
        Known.NotBefore = Now + Settings.ObjectionHolds;
      Known.Version = Row.Version;
      Known.State = Row.State;
      Known.Since = Now;
    }
    const std::optional<registration_state> Mark =
        nextMark(Row, Known, IsLive(Name), Now);
    if (!Mark && !endedLongAgo(Row, Known, Now))
      continue;
    Marking = true;
    Marked.insert(Name);
    return registration_write{Name, Mark, Row.Version};
  }
  return std::nullopt;
}

} // namespace magnoliaspread
