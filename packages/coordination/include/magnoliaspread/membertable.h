/// Table of instances, indexed by handle, name and incarnation.
#ifndef MAGNOLIASPREAD_MEMBERTABLE_H
#define MAGNOLIASPREAD_MEMBERTABLE_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/handle.h>
#include <magnoliaspread/membermsg.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace magnoliaspread {

/// A row and its local state.
struct member_entry {
  member_row Row;
  /// Last heartbeat received from a local peer; for an instance of another data
  /// centre, when its row was last received.
  steady_time LastReceived;
  /// When the state last changed.
  steady_time ChangedAt;
  bool Used = false;

  bool live() const { return Used && Row.Report.State != member_state::Dead; }
  /// May be returned by look-ups and be a speaker.
  bool eligible() const {
    return Used && Row.Report.State == member_state::Alive;
  }
};

/// Outcome of comparing a received row with the known one.
enum class row_order : std::uint8_t { Older, Same, Newer, Replaces };

/// Orders \p Row relative to \p Known of the same name: first by epoch, then by
/// sequence, then by state.
row_order compareRows(const member_row &Known, const member_row &Row);

/// Rendezvous hash weight of an instance; the highest in a data centre are its
/// speakers.
std::uint64_t speakerScore(const member_identity &Identity);

class member_table {
public:
  /// Adds a row under a new name. When full, evicts the row that has been dead
  /// longest; returns an invalid handle if there is none.
  instance_handle add(const member_row &Row, steady_time Now);
  void remove(instance_handle Handle);
  /// Replaces the known incarnation by another one.
  void replace(instance_handle Handle, const member_row &Row, steady_time Now);

  instance_handle byName(std::string_view Name) const;
  instance_handle byIncarnation(std::uint64_t Incarnation) const;

  member_entry &at(instance_handle Handle) { return Entries[Handle.Index]; }
  const member_entry &at(instance_handle Handle) const {
    return Entries[Handle.Index];
  }
  /// Handles of one data centre's rows, in insertion order.
  const std::vector<instance_handle> &
  ofDataCentre(std::string_view DataCentre) const;

  /// All slots, including unused ones.
  const std::vector<member_entry> &entries() const { return Entries; }

private:
  instance_handle freeSlot();
  /// Invalid if every row is live.
  instance_handle oldestDead() const;

  std::vector<member_entry> Entries;
  std::vector<instance_handle> Free;
  std::map<std::string, instance_handle, std::less<>> Names;
  std::unordered_map<std::uint64_t, instance_handle> Incarnations;
  std::map<std::string, std::vector<instance_handle>, std::less<>> Centres;
};

} // namespace magnoliaspread

#endif
