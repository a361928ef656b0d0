#include <magnoliaspread/target.h>

#include <magnoliaspread/config.h>

#include <algorithm>
#include <optional>

namespace magnoliaspread {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

/// Smallest retry time of a refusal.
constexpr milliseconds DefaultRetryAfter{200};
constexpr std::uint32_t MaxDoublings = 16;

target_state *find(target_table &Table, target_handle Target) {
  if (Target.Index >= Table.Rows.size() || !Table.Rows[Target.Index].Present)
    return nullptr;
  return &Table.Rows[Target.Index];
}

/// Also finds a removed target, whose requests in flight still have to be
/// counted.
target_state *findWithRemoved(target_table &Table, target_handle Target) {
  return Target.Index < Table.Rows.size() ? &Table.Rows[Target.Index] : nullptr;
}

void beginSlowStart(target_state &Row, std::uint32_t Floor, steady_time Now) {
  Row.RampFloor = std::max(Floor, 1U);
  Row.RampStart = Now;
}

/// Largest recent load by own requests; bounds what a report is trusted for.
std::uint32_t recentPeak(const target_state &Row, const target_policy &Policy,
                         steady_time Now) {
  const auto Age = Now - Row.PeakSince;
  if (Age >= 2 * Policy.ReportLifetime)
    return Row.InFlight;
  if (Age >= Policy.ReportLifetime)
    return std::max(Row.Peak, Row.InFlight);
  return std::max({Row.Peak, Row.PreviousPeak, Row.InFlight});
}

void notePeak(target_state &Row, const target_policy &Policy, steady_time Now) {
  const auto Age = Now - Row.PeakSince;
  if (Age >= Policy.ReportLifetime) {
    Row.PreviousPeak = Age >= 2 * Policy.ReportLifetime ? 0 : Row.Peak;
    Row.Peak = Row.InFlight;
    Row.PeakSince = Now;
  }
  Row.Peak = std::max(Row.Peak, Row.InFlight);
}

bool inSlowStart(const target_state &Row, const target_policy &Policy,
                 steady_time Now) {
  return Now - Row.RampStart < Policy.SlowStart;
}

/// Requests on the target: the reported number, but at least our own, and at
/// most our recent peak or what a previous owner may have left running.
std::uint32_t loadOf(const target_state &Row, const target_policy &Policy,
                     steady_time Now) {
  if (!Row.HasReport || Now - Row.ReportedAt > Policy.ReportLifetime)
    return Row.InFlight;
  std::uint32_t Plausible = recentPeak(Row, Policy, Now);
  if (inSlowStart(Row, Policy, Now))
    Plausible = std::max(Plausible, Row.Info.Slots);
  return std::max(Row.InFlight, std::min(Row.Reported, Plausible));
}

std::uint32_t rampedSlots(const target_state &Row, const target_policy &Policy,
                          steady_time Now) {
  const std::uint32_t Slots = Row.Info.Slots;
  const std::uint32_t Floor = std::min(Row.RampFloor, Slots);
  if (!inSlowStart(Row, Policy, Now))
    return Slots;
  if (Now <= Row.RampStart)
    return Floor;
  const auto Age = duration_cast<milliseconds>(Now - Row.RampStart).count();
  const auto Rise = static_cast<std::uint64_t>(Slots - Floor) *
                    static_cast<std::uint64_t>(Age) /
                    static_cast<std::uint64_t>(Policy.SlowStart.count());
  return Floor + static_cast<std::uint32_t>(Rise);
}

std::uint32_t slotsOf(const target_table &Table, const target_state &Row,
                      steady_time Now) {
  if (!Row.Present || !Row.Owned || Row.Info.Drain != drain_state::Active)
    return 0;
  if (Now < Row.BackoffUntil)
    return 0;
  if (Row.Health == target_health::Ejected)
    return Now < Row.EjectedUntil ? 0 : 1;
  if (Row.Health == target_health::Probing)
    return 1;
  return rampedSlots(Row, Table.Policy, Now);
}

bool hasFreeSlot(const target_table &Table, const target_state &Row,
                 steady_time Now) {
  return loadOf(Row, Table.Policy, Now) < slotsOf(Table, Row, Now);
}

/// Whether another owned target of the service is healthy and active.
bool hasOtherHealthyTarget(const target_table &Table, target_handle Target) {
  const service_handle Service = Table.Rows[Target.Index].Info.Service;
  for (const target_handle Other : Table.Owned[Service.Index]) {
    const target_state &Row = Table.Rows[Other.Index];
    if (Other != Target && Row.Health == target_health::Healthy &&
        Row.Info.Drain == drain_state::Active)
      return true;
  }
  return false;
}

void eject(const target_policy &Policy, target_state &Row, steady_time Now) {
  const std::uint32_t Doubling = std::min(Row.Ejections, MaxDoublings);
  const milliseconds Time =
      Policy.FirstEjection * (std::int64_t{1} << Doubling);
  Row.Health = target_health::Ejected;
  Row.EjectedUntil = Now + std::min(Time, Policy.LargestEjection);
  ++Row.Ejections;
  Row.Failures = 0;
}

void endRequest(target_state &Row) {
  if (Row.InFlight > 0)
    --Row.InFlight;
}

void setListed(target_table &Table, target_handle Target, bool Listed) {
  const service_handle Service = Table.Rows[Target.Index].Info.Service;
  std::vector<target_handle> &List = Table.Owned[Service.Index];
  std::erase(List, Target);
  if (Listed)
    List.push_back(Target);
}

/// Whether \p A has a smaller fraction of its slots in use than \p B.
bool lessLoaded(const target_table &Table, target_handle A, target_handle B,
                steady_time Now) {
  const target_state &RowA = Table.Rows[A.Index];
  const target_state &RowB = Table.Rows[B.Index];
  const std::uint64_t LoadA = loadOf(RowA, Table.Policy, Now);
  const std::uint64_t LoadB = loadOf(RowB, Table.Policy, Now);
  return LoadA * slotsOf(Table, RowB, Now) < LoadB * slotsOf(Table, RowA, Now);
}

/// Time until the first target of the service ends its backoff or ejection.
milliseconds timeToFirstReturn(const target_table &Table,
                               service_handle Service, steady_time Now) {
  std::optional<steady_time> Earliest;
  for (const target_handle Target : Table.Owned[Service.Index]) {
    const target_state &Row = Table.Rows[Target.Index];
    steady_time Until = Row.BackoffUntil;
    if (Row.Health == target_health::Ejected)
      Until = std::max(Until, Row.EjectedUntil);
    if (Until <= Now)
      return DefaultRetryAfter;
    if (!Earliest || Until < *Earliest)
      Earliest = Until;
  }
  if (!Earliest)
    return DefaultRetryAfter;
  return std::max(DefaultRetryAfter,
                  duration_cast<milliseconds>(*Earliest - Now));
}

/// The \p Nth owned target with a free slot, from 0.
target_handle nthFree(const target_table &Table, service_handle Service,
                      steady_time Now, std::uint64_t Nth) {
  for (const target_handle Target : Table.Owned[Service.Index])
    if (hasFreeSlot(Table, Table.Rows[Target.Index], Now) && Nth-- == 0)
      return Target;
  return {};
}

} // namespace

target_table::target_table(std::size_t Capacity, const target_policy &Policy)
    : Policy(Policy), Rows(Capacity), Owned(MaxServices) {}

status setTarget(target_table &Table, target_handle Target,
                 const target_info &Info, steady_time Now) {
  if (Target.Index >= Table.Rows.size() || Info.Service.Index >= MaxServices)
    return error{error_kind::BadTable, "target or service past capacity", {}};
  target_state &Row = Table.Rows[Target.Index];
  const bool Returning = Row.Info.Drain == drain_state::Draining &&
                         Info.Drain == drain_state::Active;
  const bool Owned = Row.Owned;
  if (!Row.Present || Returning) {
    beginSlowStart(Row, 1, Now);
  } else if (Info.Slots > Row.Info.Slots) {
    beginSlowStart(Row, rampedSlots(Row, Table.Policy, Now), Now);
  }
  if (Owned)
    setListed(Table, Target, false);
  Row.Present = true;
  Row.Info = Info;
  if (Owned)
    setListed(Table, Target, true);
  return {};
}

void removeTarget(target_table &Table, target_handle Target) {
  target_state *Row = find(Table, Target);
  if (!Row)
    return;
  setListed(Table, Target, false);
  const std::uint32_t InFlight = Row->InFlight;
  *Row = {};
  Row->InFlight = InFlight;
}

void setOwned(target_table &Table, target_handle Target, bool Owned,
              steady_time Now) {
  target_state *Row = find(Table, Target);
  if (!Row || Row->Owned == Owned)
    return;
  Row->Owned = Owned;
  setListed(Table, Target, Owned);
  if (Owned)
    beginSlowStart(*Row, 1, Now);
}

std::uint32_t usableSlots(const target_table &Table, target_handle Target,
                          steady_time Now) {
  if (Target.Index >= Table.Rows.size())
    return 0;
  return slotsOf(Table, Table.Rows[Target.Index], Now);
}

slot_count countSlots(const target_table &Table, service_handle Service,
                      steady_time Now) {
  slot_count Count;
  if (Service.Index >= Table.Owned.size())
    return Count;
  for (const target_handle Target : Table.Owned[Service.Index]) {
    const target_state &Row = Table.Rows[Target.Index];
    const std::uint32_t Slots = slotsOf(Table, Row, Now);
    const std::uint32_t Load = loadOf(Row, Table.Policy, Now);
    Count.Usable += Slots;
    Count.Free += Slots > Load ? Slots - Load : 0;
  }
  return Count;
}

result<target_handle> pick(const target_table &Table, service_handle Service,
                           steady_time Now, std::uint64_t Random) {
  if (Service.Index >= Table.Owned.size())
    return error{error_kind::NoCapacity, "unknown service", {}};
  std::uint64_t Free = 0;
  for (const target_handle Target : Table.Owned[Service.Index])
    Free += hasFreeSlot(Table, Table.Rows[Target.Index], Now) ? 1 : 0;
  if (Free == 0)
    return error{error_kind::NoCapacity, "no target with a free slot",
                 timeToFirstReturn(Table, Service, Now)};
  const std::uint64_t First = (Random & 0xFFFFFFFFU) % Free;
  if (Free == 1)
    return nthFree(Table, Service, Now, 0);
  const std::uint64_t Step = 1 + (Random >> 32) % (Free - 1);
  const target_handle A = nthFree(Table, Service, Now, First);
  const target_handle B = nthFree(Table, Service, Now, (First + Step) % Free);
  return lessLoaded(Table, B, A, Now) ? B : A;
}

void started(target_table &Table, target_handle Target, steady_time Now) {
  target_state *Row = find(Table, Target);
  if (!Row)
    return;
  ++Row->InFlight;
  notePeak(*Row, Table.Policy, Now);
  if (Row->Health == target_health::Ejected && Now >= Row->EjectedUntil)
    Row->Health = target_health::Probing;
}

void finished(target_table &Table, target_handle Target, steady_time Now) {
  target_state *Row = findWithRemoved(Table, Target);
  if (!Row)
    return;
  notePeak(*Row, Table.Policy, Now);
  endRequest(*Row);
  Row->Failures = 0;
  if (Row->Health == target_health::Probing) {
    Row->Health = target_health::Healthy;
    beginSlowStart(*Row, 1, Now);
  } else if (Row->Health == target_health::Healthy &&
             !inSlowStart(*Row, Table.Policy, Now)) {
    Row->Ejections = 0;
  }
}

void requestFailed(target_table &Table, target_handle Target, steady_time Now) {
  target_state *Row = findWithRemoved(Table, Target);
  if (!Row)
    return;
  notePeak(*Row, Table.Policy, Now);
  endRequest(*Row);
  ++Row->Failures;
  const bool Probe = Row->Health == target_health::Probing;
  const bool TooMany = Row->Health == target_health::Healthy &&
                       Row->Failures >= Table.Policy.FailuresToEject;
  if (Probe || (TooMany && hasOtherHealthyTarget(Table, Target)))
    eject(Table.Policy, *Row, Now);
}

void abandoned(target_table &Table, target_handle Target, steady_time Now) {
  target_state *Row = findWithRemoved(Table, Target);
  if (!Row)
    return;
  notePeak(*Row, Table.Policy, Now);
  endRequest(*Row);
}

void shed(target_table &Table, target_handle Target, steady_time Now,
          milliseconds RetryAfter) {
  target_state *Row = findWithRemoved(Table, Target);
  if (!Row)
    return;
  const target_policy &Policy = Table.Policy;
  endRequest(*Row);
  const milliseconds Pause =
      std::clamp(RetryAfter, Policy.MinBackoff, Policy.MaxBackoff);
  Row->BackoffUntil = std::max(Row->BackoffUntil, Now + Pause);
  beginSlowStart(*Row, std::min(Row->InFlight, Row->Info.Slots / 2),
                 Row->BackoffUntil);
}

void reportLoad(target_table &Table, target_handle Target, std::uint32_t Load,
                steady_time Now) {
  target_state *Row = find(Table, Target);
  if (!Row)
    return;
  Row->Reported = Load;
  Row->ReportedAt = Now;
  Row->HasReport = true;
}

} // namespace magnoliaspread
