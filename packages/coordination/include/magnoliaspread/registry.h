/// The targets that have registered themselves in the platform, as one
/// instance believes them: what may get work, what is leaving, what is cold.
/// Pure: time is passed in.
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
  /// Entries that lapsed while the platform was away are back this soon after
  /// its return: two seconds (LETTER) and the time of one poll.
  std::chrono::milliseconds ReturnTime{2300};
  /// Without an answer for this long the platform counts as away: targets'
  /// entries lapse after three heartbeats.
  std::chrono::milliseconds AwayAfter{2500};
  /// Cold time of targets that come back from an evacuation.
  std::chrono::milliseconds ReturnColdTime{4500};
};

struct registered_target {
  target_handle Handle;
  target_record Record;
  /// May get new work.
  bool Open = true;
  steady_time ColdUntil;
};

class target_registry {
public:
  explicit target_registry(const registry_settings &Settings)
      : Settings(Settings) {}

  /// The platform answered; call before the answer is applied.
  void platformAnswered(steady_time Now);

  /// Takes in a list of all entries. Returns what it has changed, reports
  /// that differ only in their number left out.
  std::vector<target_change>
  replaceAll(const std::vector<target_record> &Records, steady_time Now);
  /// Takes in one entry that is new or changed.
  void put(const target_record &Record, steady_time Now);
  /// Takes in that an entry is gone or can't be read.
  void remove(std::string_view Name, steady_time Now);

  /// The target has said in an answer that it leaves. That start of it gets no
  /// new work any more, whatever its entry or a peer says: entries lag, and
  /// some targets never report that they leave. False when it was known.
  bool noteLeaving(const std::string &Name, std::int64_t StartedAtMs);

  /// Data centres whose targets are to get nothing.
  void setEvacuated(std::set<std::string> DataCentres, steady_time Now);

  /// Drops what has not come back in time.
  void tick(steady_time Now);

  /// In the order of their handles, which stay while a start lasts.
  std::vector<registered_target> targets() const;

  /// The entries as the platform has them, for an instance that starts: their
  /// cold times are those of now, and entries that are missing since the
  /// platform's return are left out.
  std::vector<target_record> records(steady_time Now) const;

  /// Rises with each change of targets().
  std::uint64_t revision() const { return Revision; }

private:
  struct entry {
    target_record Record;
    steady_time ColdUntil;
    /// Missing since the platform's return; dropped then.
    std::optional<steady_time> DropAt;
    bool Used = false;
  };

  entry *find(std::string_view Name);
  bool isLeaving(const target_record &Record) const;
  bool tellsNews(const target_record &Record);
  void add(const target_record &Record, steady_time Now);
  void drop(std::string_view Name);

  registry_settings Settings;
  std::vector<entry> Entries;
  name_map<std::uint16_t> Rows;
  std::set<std::string> Evacuated;
  /// Starts that leave by their own word: name and time of the start.
  std::deque<std::pair<std::string, std::int64_t>> Leaving;
  std::optional<steady_time> AnsweredAt;
  steady_time HoldUntil;
  std::uint16_t NextRow = 0;
  std::uint64_t Revision = 0;
};

} // namespace magnoliaspread

#endif
