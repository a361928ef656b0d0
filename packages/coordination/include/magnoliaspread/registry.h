/// One instance's view of the targets registered in the platform: which may get
/// requests, which are leaving and which are cold. Time is passed in; no I/O.
#ifndef MAGNOLIASPREAD_REGISTRY_H
#define MAGNOLIASPREAD_REGISTRY_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/handle.h>
#include <magnoliaspread/namemap.h>
#include <magnoliaspread/targetrecord.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace magnoliaspread {

struct registry_settings {
  /// Time for targets to register again after the platform was unreachable: the
  /// required two seconds plus one poll.
  std::chrono::milliseconds ReregistrationTime{2300};
  /// Without an answer for this long the platform counts as unreachable;
  /// targets' entries expire after three heartbeats.
  std::chrono::milliseconds AwayAfter{2500};
  /// How long targets count as cold after an evacuation ends.
  std::chrono::milliseconds ReturnColdTime{4500};
};

struct registered_target {
  target_handle Handle;
  target_record Record;
  /// May get new requests.
  bool Open = true;
  steady_time ColdUntil;
};

class target_registry {
public:
  explicit target_registry(const registry_settings &Settings)
      : Settings(Settings) {}

  /// The platform answered; call before applying the answer.
  void platformAnswered(steady_time Now);

  /// Applies a full list of entries. Returns the changes, without reports that
  /// differ only in sequence or cold time.
  std::vector<target_change>
  replaceAll(const std::vector<target_record> &Records, steady_time Now);
  /// Applies a new or changed entry.
  void upsert(const target_record &Record, steady_time Now);
  /// Applies that an entry was removed or can't be read.
  void remove(std::string_view Name, steady_time Now);

  /// The target announced in an answer that it leaves. This start of it gets no
  /// new requests, whatever its entry or a peer reports: entries lag, and some
  /// targets never report it. False if already known.
  bool noteLeaving(const std::string &Name, std::int64_t StartedAtMs);

  /// Sets the data centres whose targets get no requests.
  void setEvacuated(std::set<std::string> DataCentres, steady_time Now);

  /// The platform lost a part of its history: targets that it lacks are kept
  /// for the time to register again, and entries of removed targets that are
  /// not newer than the removed ones are ignored.
  void historyLost(steady_time Now);

  /// Drops entries that weren't registered again in time.
  void tick(steady_time Now);

  /// Ordered by handle; a handle is stable for one start of the target.
  std::vector<registered_target> targets() const;

  /// The entries as in the platform, for an instance that starts: with the cold
  /// time left at \p Now, without entries missing since the platform's return.
  std::vector<target_record> records(steady_time Now) const;

  /// Increases with each change of targets().
  std::uint64_t revision() const { return Revision; }

private:
  struct entry {
    target_record Record;
    steady_time ColdUntil;
    /// Set while missing after the platform's return: when it is dropped.
    std::optional<steady_time> DropAt;
    bool Used = false;
  };

  /// The last entry of a target that was removed.
  struct removed_entry {
    steady_time RemovedAt;
    std::string Name;
    std::int64_t StartedAtMs = 0;
    std::uint64_t Sequence = 0;
    /// Sequence is that of an entry seen since the loss.
    bool SeenSinceLoss = false;
  };

  entry *find(std::string_view Name);
  /// True for an entry that an older copy brought back, or may have.
  bool isRevived(const target_record &Record, steady_time Now);
  void noteRemoved(const target_record &Record, steady_time Now);
  bool isLeaving(const target_record &Record) const;
  bool isVisibleChange(const target_record &Record, steady_time Now);
  void add(const target_record &Record, steady_time Now);
  void drop(std::string_view Name);
  void removeEntry(std::string_view Name, steady_time Now);

  registry_settings Settings;
  std::vector<entry> Entries;
  name_map<std::uint16_t> Rows;
  std::set<std::string> Evacuated;
  /// Targets that announced that they leave: name and start time.
  std::deque<std::pair<std::string, std::int64_t>> Leaving;
  /// Removed lately; ordered by time.
  std::deque<removed_entry> Removed;
  /// Removed before the last loss of history.
  std::deque<removed_entry> RemovedBeforeLoss;
  std::optional<steady_time> AnsweredAt;
  steady_time RetainUntil;
  std::uint16_t NextRow = 0;
  std::uint64_t Revision = 0;
};

} // namespace magnoliaspread

#endif
