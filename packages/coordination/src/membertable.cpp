#include <magnoliaspread/membertable.h>

#include <magnoliaspread/config.h>

#include <algorithm>
#include <xxhash.h>

namespace magnoliaspread {

namespace {

const std::vector<instance_handle> NoHandles;

row_order orderReports(const member_report &Known, const member_report &Row) {
  if (Row.Sequence != Known.Sequence)
    return Row.Sequence > Known.Sequence ? row_order::Newer : row_order::Older;
  if (Row.State != Known.State)
    return Row.State > Known.State ? row_order::Newer : row_order::Older;
  return row_order::Same;
}

} // namespace

row_order compareRows(const member_row &Known, const member_row &Row) {
  if (Row.Identity.Incarnation == Known.Identity.Incarnation)
    return orderReports(Known.Report, Row.Report);
  if (Row.Identity.Epoch != Known.Identity.Epoch)
    return Row.Identity.Epoch > Known.Identity.Epoch ? row_order::Replaces
                                                     : row_order::Older;
  return Row.Identity.Incarnation > Known.Identity.Incarnation
             ? row_order::Replaces
             : row_order::Older;
}

std::uint64_t speakerScore(const member_identity &Identity) {
  const std::uint64_t Salt =
      XXH64(Identity.DataCentre.data(), Identity.DataCentre.size(), 0);
  return XXH64(Identity.Name.data(), Identity.Name.size(), Salt);
}

instance_handle member_table::oldestDead() const {
  const member_entry *Oldest = nullptr;
  for (const member_entry &Entry : Entries)
    if (!Entry.live() &&
        (Oldest == nullptr || Entry.ChangedAt < Oldest->ChangedAt))
      Oldest = &Entry;
  return Oldest == nullptr ? instance_handle{}
                           : byName(Oldest->Row.Identity.Name);
}

instance_handle member_table::freeSlot() {
  if (Free.empty() && Entries.size() < MaxInstances) {
    Entries.emplace_back();
    return {static_cast<std::uint16_t>(Entries.size() - 1)};
  }
  if (Free.empty()) {
    const instance_handle Oldest = oldestDead();
    if (!Oldest.valid())
      return {};
    remove(Oldest);
  }
  const instance_handle Slot = Free.back();
  Free.pop_back();
  return Slot;
}

instance_handle member_table::add(const member_row &Row, steady_time Now) {
  const instance_handle Handle = freeSlot();
  if (!Handle.valid())
    return {};
  at(Handle) = {Row, Now, Now, true};
  Names.emplace(Row.Identity.Name, Handle);
  Incarnations[Row.Identity.Incarnation] = Handle;
  Centres[Row.Identity.DataCentre].push_back(Handle);
  return Handle;
}

void member_table::remove(instance_handle Handle) {
  const member_identity Identity = at(Handle).Row.Identity;
  Names.erase(Identity.Name);
  Incarnations.erase(Identity.Incarnation);
  const auto Centre = Centres.find(Identity.DataCentre);
  std::erase(Centre->second, Handle);
  if (Centre->second.empty())
    Centres.erase(Centre);
  at(Handle) = {};
  Free.push_back(Handle);
}

void member_table::replace(instance_handle Handle, const member_row &Row,
                           steady_time Now) {
  remove(Handle);
  add(Row, Now);
}

instance_handle member_table::byName(std::string_view Name) const {
  const auto Found = Names.find(Name);
  return Found == Names.end() ? instance_handle{} : Found->second;
}

instance_handle member_table::byIncarnation(std::uint64_t Incarnation) const {
  const auto Found = Incarnations.find(Incarnation);
  return Found == Incarnations.end() ? instance_handle{} : Found->second;
}

const std::vector<instance_handle> &
member_table::ofDataCentre(std::string_view DataCentre) const {
  const auto Found = Centres.find(DataCentre);
  return Found == Centres.end() ? NoHandles : Found->second;
}

} // namespace magnoliaspread
