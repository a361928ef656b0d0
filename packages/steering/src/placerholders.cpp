/// Holders of objects as the placer knows them from its own requests and from
/// peers.
#include <magnoliaspread/placer.h>

#include "placermath_p.h"

#include <algorithm>
#include <utility>

namespace magnoliaspread {

namespace {

/// Holder updates queued for peers.
constexpr std::size_t MaxQueuedUpdates = 4096;

} // namespace

placer::holder *placer::holderOf(std::uint64_t Object, target_handle Target) {
  const auto Found = Objects.find(Object);
  if (Found == Objects.end())
    return nullptr;
  for (holder &Row : Found->second)
    if (Row.Target == Target)
      return &Row;
  return nullptr;
}

bool placer::isWarm(target_handle Target, std::uint64_t Object,
                    steady_time Now) const {
  const holder *Row = const_cast<placer *>(this)->holderOf(Object, Target);
  return Row != nullptr && !Row->WarmingSince &&
         Now - Row->Used < Policy.WarmTime;
}

/// Records the target as a holder of the object, warm or warming up.
void placer::recordHolder(std::uint64_t Object, target_handle Target, bool Warm,
                          steady_time Now) {
  if (Object == 0)
    return;
  holder *Known = holderOf(Object, Target);
  // Peers rarely use a limited target themselves and would forget the holder.
  const bool Forgotten = Known != nullptr &&
                         Now - Known->UpdatedAt >= Policy.WarmTime / 4 &&
                         permitOf(Target) != permit_state::Unlimited;
  const bool IsUpdate =
      Known == nullptr || (Known->WarmingSince && Warm) || Forgotten;
  if (IsUpdate)
    queueUpdate({Object, Targets[Target.Index].Info.Id, Warm, 0, false});
  if (Known == nullptr) {
    if (Objects.size() >= Policy.MaxObjects && !Objects.contains(Object))
      Objects.erase(Objects.begin());
    Objects[Object].push_back({Target, Now, Now, std::nullopt});
    Known = &Objects[Object].back();
    if (!Warm)
      Known->WarmingSince = Now;
  }
  Known->Used = Now;
  if (IsUpdate)
    Known->UpdatedAt = Now;
  if (Warm)
    Known->WarmingSince.reset();
}

void placer::queueUpdate(const object_row &Row) {
  if (Updates.size() < MaxQueuedUpdates)
    Updates.push_back(Row);
}

std::vector<object_row> placer::takeUpdates() {
  return std::exchange(Updates, {});
}

void placer::receive(const object_update &Message, steady_time Now) {
  for (const load_row &Row : Message.Loads) {
    const auto Target = ById.find(Row.Target);
    if (Target == ById.end())
      continue;
    target_state &State = Targets[Target->second.Index];
    State.Others =
        std::max(0.0, static_cast<double>(Row.Busy) - State.InFlight);
    State.ReportedAt = Now;
    if (Row.PacePercent > 0)
      Paces.note(Target->second, Row.PacePercent / Percent, Now);
  }
  for (const object_row &Row : Message.Rows) {
    const auto Target = ById.find(Row.Target);
    if (Target == ById.end() || Row.Object == 0)
      continue;
    if (receiveAffinity(Row, Target->second, Now))
      continue;
    holder *Known = holderOf(Row.Object, Target->second);
    if (Known != nullptr && !Row.Warm)
      continue;
    // The sender has informed the other peers.
    const std::size_t Queued = Updates.size();
    recordHolder(Row.Object, Target->second, Row.Warm, Now);
    Updates.resize(Queued);
  }
}

/// Drops a holder whose warm-up request has failed.
void placer::cancelWarming(std::uint64_t Object, target_handle Target) {
  const auto Found = Objects.find(Object);
  if (Found != Objects.end())
    std::erase_if(Found->second, [&](const holder &Row) {
      return Row.Target == Target && Row.WarmingSince;
    });
}

} // namespace magnoliaspread
