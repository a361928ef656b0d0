/// Table of instances, addressed by handles and found by name or incarnation.
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

/// One row with what only this instance knows of it.
struct member_entry {
  member_row Row;
  /// Last direct heartbeat of a mate; last confirmation by a digest of others.
  steady_time LastHeard;
  /// When the state last changed.
  steady_time ChangedAt;
  bool Used = false;

  bool live() const { return Used && Row.Report.State != member_state::Dead; }
  /// May be named in look-ups and chosen as a speaker.
  bool eligible() const {
    return Used && Row.Report.State == member_state::Alive;
  }
};

/// Outcome of comparing a received row with the known one.
enum class row_order : std::uint8_t { Older, Same, Newer, Replaces };

/// Orders \p Row against \p Known of the same name: first by epoch, then by
/// sequence, then by state.
row_order compareRows(const member_row &Known, const member_row &Row);

/// Weight of an instance in the choice of its data centre's speakers.
std::uint64_t speakerScore(const member_identity &Identity);

class member_table {
public:
  /// Adds a row under a new name. Evicts the oldest dead row when full; an
  /// invalid handle when there is none.
  instance_handle add(const member_row &Row, steady_time Now);
  void remove(instance_handle Handle);
  /// Puts another incarnation in place of the known one.
  void replace(instance_handle Handle, const member_row &Row, steady_time Now);

  instance_handle byName(std::string_view Name) const;
  instance_handle byIncarnation(std::uint64_t Incarnation) const;

  member_entry &at(instance_handle Handle) { return Entries[Handle.Index]; }
  const member_entry &at(instance_handle Handle) const {
    return Entries[Handle.Index];
  }
  /// Handles of one data centre's rows, in the order of arrival.
  const std::vector<instance_handle> &
  ofDataCentre(std::string_view DataCentre) const;

  /// Every slot; those not in use are marked so.
  const std::vector<member_entry> &entries() const { return Entries; }

private:
  instance_handle freeSlot();
  /// Invalid when every row is live.
  instance_handle oldestDead() const;

  std::vector<member_entry> Entries;
  std::vector<instance_handle> Free;
  std::map<std::string, instance_handle, std::less<>> Names;
  std::unordered_map<std::uint64_t, instance_handle> Incarnations;
  std::map<std::string, std::vector<instance_handle>, std::less<>> Centres;
};

} // namespace magnoliaspread

#endif
