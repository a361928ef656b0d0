#include <magnoliaspread/registry.h>

#include <magnoliaspread/config.h>

#include <algorithm>

namespace magnoliaspread {

namespace {

/// Age of the oldest copy that the platform may come back from: several times
/// the seconds that it may be old.
constexpr std::chrono::minutes OldestCopy{1};

/// True if \p Record is older than \p Known of the same target.
bool isStale(const target_record &Record, const target_record &Known) {
  if (Record.StartedAtMs != Known.StartedAtMs)
    return Record.StartedAtMs < Known.StartedAtMs;
  return Record.Sequence < Known.Sequence;
}

} // namespace

target_registry::entry *target_registry::find(std::string_view Name) {
  const auto Found = Rows.find(Name);
  return Found == Rows.end() ? nullptr : &Entries[Found->second];
}

void target_registry::platformAnswered(steady_time Now) {
  if (AnsweredAt && Now - *AnsweredAt >= Settings.AwayAfter)
    RetainUntil = Now + Settings.ReregistrationTime;
  AnsweredAt = Now;
}

/// Uses rows in turn, so that a handle isn't reused soon.
void target_registry::add(const target_record &Record, steady_time Now) {
  if (Entries.size() < MaxTargets) {
    NextRow = static_cast<std::uint16_t>(Entries.size());
    Entries.emplace_back();
  } else {
    std::size_t Tries = 0;
    do
      NextRow = static_cast<std::uint16_t>((NextRow + 1U) % MaxTargets);
    while (Entries[NextRow].Used && ++Tries < MaxTargets);
    if (Entries[NextRow].Used)
      return;
  }
  std::erase_if(Removed, [&](const removed_entry &Row) {
    return Row.Name == Record.Name;
  });
  Entries[NextRow] = {Record, Now + Record.ColdLeft, std::nullopt, true};
  Rows.insert_or_assign(Record.Name, NextRow);
  ++Revision;
}

void target_registry::drop(std::string_view Name) {
  const auto Found = Rows.find(Name);
  if (Found == Rows.end())
    return;
  Entries[Found->second].Used = false;
  Rows.erase(Found);
  ++Revision;
}

/// The first entry since the loss can be one that this instance hadn't seen
/// before the target left; a live target reports again, with a higher sequence.
bool target_registry::isRevived(const target_record &Record, steady_time Now) {
  for (removed_entry &Row : RemovedBeforeLoss) {
    if (Row.Name != Record.Name || Record.StartedAtMs > Row.StartedAtMs)
      continue;
    if (Record.StartedAtMs < Row.StartedAtMs || Record.Sequence <= Row.Sequence)
      return true;
    if (Row.SeenSinceLoss || Now >= RetainUntil)
      continue;
    Row.SeenSinceLoss = true;
    Row.Sequence = Record.Sequence;
    return true;
  }
  return false;
}

void target_registry::noteRemoved(const target_record &Record,
                                  steady_time Now) {
  while (!Removed.empty() && (Removed.size() >= MaxTargets ||
                              Now - Removed.front().RemovedAt > OldestCopy))
    Removed.pop_front();
  Removed.push_back({Now, Record.Name, Record.StartedAtMs, Record.Sequence});
}

void target_registry::removeEntry(std::string_view Name, steady_time Now) {
  if (const entry *Known = find(Name))
    noteRemoved(Known->Record, Now);
  drop(Name);
}

void target_registry::historyLost(steady_time Now) {
  RetainUntil = std::max(RetainUntil, Now + Settings.ReregistrationTime);
  for (const removed_entry &Row : Removed)
    if (Now - Row.RemovedAt <= OldestCopy)
      RemovedBeforeLoss.push_back(Row);
  Removed.clear();
  // Missing already, and about to be dropped.
  for (const entry &Row : Entries)
    if (Row.Used && Row.DropAt)
      RemovedBeforeLoss.push_back(
          {Now, Row.Record.Name, Row.Record.StartedAtMs, Row.Record.Sequence});
  while (RemovedBeforeLoss.size() > MaxTargets)
    RemovedBeforeLoss.pop_front();
}

void target_registry::upsert(const target_record &Record, steady_time Now) {
  if (isRevived(Record, Now))
    return;
  entry *Known = find(Record.Name);
  if (Known == nullptr)
    return add(Record, Now);
  if (Record.StartedAtMs > Known->Record.StartedAtMs) {
    drop(Record.Name);
    return add(Record, Now);
  }
  Known->DropAt.reset();
  if (isStale(Record, Known->Record) || Record == Known->Record)
    return;
  Known->Record = Record;
  if (Record.ColdLeft > std::chrono::milliseconds(0))
    Known->ColdUntil = std::max(Known->ColdUntil, Now + Record.ColdLeft);
  ++Revision;
}

void target_registry::remove(std::string_view Name, steady_time Now) {
  entry *Known = find(Name);
  if (Known == nullptr)
    return;
  if (Now >= RetainUntil)
    return removeEntry(Name, Now);
  if (!Known->DropAt)
    Known->DropAt = RetainUntil;
}

/// True if \p Record is new, was missing or changes more than the sequence and
/// the cold time.
bool target_registry::isVisibleChange(const target_record &Record,
                                      steady_time Now) {
  if (isRevived(Record, Now))
    return false;
  const entry *Known = find(Record.Name);
  if (Known == nullptr || Known->DropAt)
    return true;
  if (isStale(Record, Known->Record))
    return false;
  target_record Same = Known->Record;
  Same.Sequence = Record.Sequence;
  Same.ColdLeft = Record.ColdLeft;
  return Record != Same;
}

std::vector<target_change>
target_registry::replaceAll(const std::vector<target_record> &Records,
                            steady_time Now) {
  std::vector<target_change> Changes;
  std::set<std::string_view> Listed;
  for (const target_record &Record : Records) {
    Listed.insert(Record.Name);
    if (isVisibleChange(Record, Now))
      Changes.push_back({Record, false});
    upsert(Record, Now);
  }
  std::vector<std::string> Missing;
  for (const auto &[Name, Row] : Rows)
    if (!Listed.contains(Name))
      Missing.push_back(Name);
  for (const std::string &Name : Missing) {
    target_change Change;
    Change.Record.Name = Name;
    Change.Removed = true;
    Changes.push_back(std::move(Change));
    remove(Name, Now);
  }
  return Changes;
}

bool target_registry::noteLeaving(const std::string &Name,
                                  std::int64_t StartedAtMs) {
  const std::pair<std::string, std::int64_t> Start(Name, StartedAtMs);
  if (std::find(Leaving.begin(), Leaving.end(), Start) != Leaving.end())
    return false;
  // The oldest ones are gone: a table holds at most MaxTargets.
  if (Leaving.size() >= MaxTargets)
    Leaving.pop_front();
  Leaving.push_back(Start);
  ++Revision;
  return true;
}

bool target_registry::isLeaving(const target_record &Record) const {
  return std::any_of(Leaving.begin(), Leaving.end(), [&](const auto &Start) {
    return Start.second == Record.StartedAtMs && Start.first == Record.Name;
  });
}

void target_registry::setEvacuated(std::set<std::string> DataCentres,
                                   steady_time Now) {
  if (DataCentres == Evacuated)
    return;
  for (entry &Entry : Entries)
    if (Entry.Used && Evacuated.contains(Entry.Record.DataCentre) &&
        !DataCentres.contains(Entry.Record.DataCentre))
      Entry.ColdUntil =
          std::max(Entry.ColdUntil, Now + Settings.ReturnColdTime);
  Evacuated = std::move(DataCentres);
  ++Revision;
}

void target_registry::tick(steady_time Now) {
  std::vector<std::string> Gone;
  for (const entry &Entry : Entries)
    if (Entry.Used && Entry.DropAt && Now >= *Entry.DropAt)
      Gone.push_back(Entry.Record.Name);
  for (const std::string &Name : Gone)
    removeEntry(Name, Now);
}

std::vector<target_record> target_registry::records(steady_time Now) const {
  using std::chrono::milliseconds;
  std::vector<target_record> Records;
  for (const entry &Entry : Entries) {
    if (!Entry.Used || Entry.DropAt)
      continue;
    Records.push_back(Entry.Record);
    Records.back().ColdLeft =
        std::max(milliseconds(0),
                 std::chrono::ceil<milliseconds>(Entry.ColdUntil - Now));
  }
  return Records;
}

std::vector<registered_target> target_registry::targets() const {
  std::vector<registered_target> Targets;
  for (std::size_t I = 0; I < Entries.size(); ++I) {
    const entry &Entry = Entries[I];
    if (!Entry.Used)
      continue;
    const bool Open = !Entry.Record.Draining && !isLeaving(Entry.Record) &&
                      !Evacuated.contains(Entry.Record.DataCentre);
    Targets.push_back(
        {handleAt<target_handle>(I), Entry.Record, Open, Entry.ColdUntil});
  }
  return Targets;
}

} // namespace magnoliaspread
