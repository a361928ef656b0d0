/// Holders by demand: what the placer asks of its affinity module and what it
/// tells peers of it.
#include <magnoliaspread/placer.h>

#include "placermath_p.h"

#include <magnoliaspread/ownership.h>

#include <algorithm>
#include <utility>

namespace magnoliaspread {

using std::chrono::duration;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

namespace {

/// Advantage of the holder whose turn it is, and handicap of a crowded target,
/// in service times.
constexpr double TurnPart = 0.5;
constexpr double CrowdedPart = 0.5;
/// A request warms up an additional holder only if that takes at most this
/// fraction of its time left.
constexpr double ColdRunPart = 0.5;
/// Requests in flight must not make a released target a holder again.
constexpr std::chrono::seconds ReleaseTime{5};
/// Targets remembered for an object of a kind without gain.
constexpr std::size_t MaxQuietHolders = 8;
constexpr std::size_t MaxChanges = 32;
constexpr std::size_t MaxReleased = 256;
/// Largest slot time of one row that is believed, in milliseconds.
constexpr std::uint32_t MaxDemandMs = 10000;
/// Bits for which only kinds with gain follow affinity.
constexpr std::uint64_t NoProbe = UINT64_MAX;

/// The same for each attempt of a request.
std::uint64_t drawOf(const place_request &Request) {
  return rendezvousScore(Request.Id, Request.Object);
}

} // namespace

bool placer::followsAffinity(const place_request &Request) const {
  return !Affinity.enabled() || Request.Object == 0 ||
         Affinity.follows(Request.Kind, drawOf(Request));
}

/// Whether a request that was drawn to measure its kind's gain would measure
/// nothing or wait for it.
bool placer::isIdleProbe(const place_request &Request,
                         const std::optional<choice> &Holder,
                         steady_time Now) const {
  if (!Affinity.enabled() || Request.Object == 0 ||
      Affinity.follows(Request.Kind, NoProbe))
    return false;
  return !Holder || !Holder->HasFreeSlot ||
         loadOf(Holder->Target, Now) >=
             Targets[Holder->Target.Index].Info.Slots;
}

/// The least loaded of a few random targets, for kinds without gain.
std::optional<placer::choice> placer::chooseFreely(const place_request &Request,
                                                   steady_time Now) {
  place_request Free = Request;
  Free.Object = 0;
  listCandidates(Free, std::nullopt, Now);
  std::optional<choice> Best;
  double LeastCost = 0;
  for (const candidate &Row : Candidates) {
    const target_state &State = Targets[Row.Target.Index];
    const double Slots = std::max(1U, State.Info.Slots);
    const double Load = loadOf(Row.Target, Now) + State.Queued;
    const double Service = serviceSeconds(Request, true);
    const double Expected = expected(State, Free, Service, Now);
    const auto Distance = static_cast<std::size_t>(State.Info.Distance);
    const double Cost =
        Expected - seconds(Policy.RoundTrip[Distance]) + Load / Slots * Service;
    if (Best && LeastCost <= Cost)
      continue;
    LeastCost = Cost;
    Best = choice{Row.Target, Expected,
                  loadOf(Row.Target, Now) < Slots + Policy.Ahead};
  }
  return Best;
}

std::vector<target_handle> placer::warmHolders(const place_request &Request,
                                               steady_time Now) {
  std::vector<target_handle> Warm;
  const auto Found = Objects.find(Request.Object);
  if (!Affinity.enabled() || Found == Objects.end())
    return Warm;
  for (const holder &Row : Found->second) {
    const target_state *State = find(Row.Target);
    if (State != nullptr && !Row.WarmingSince &&
        State->Info.Distance != target_distance::Remote &&
        usable(*State, Request, Now))
      Warm.push_back(Row.Target);
  }
  return Warm;
}

/// The holder whose turn it is.
target_handle placer::preferredHolder(const place_request &Request,
                                      steady_time Now) {
  return Affinity.enabled()
             ? Affinity.preferred(Request.Object, warmHolders(Request, Now),
                                  drawOf(Request))
             : target_handle();
}

double placer::holderBias(const place_request &Request, target_handle Target,
                          target_handle Preferred) const {
  return Preferred.valid() && Target == Preferred
             ? -TurnPart * serviceSeconds(Request, true)
             : 0;
}

/// Handicap of a target without room for a further object, in seconds.
double placer::crowding(const place_request &Request, target_handle Target,
                        double ServiceSeconds, steady_time Now) const {
  return Affinity.enabled() && Request.Object != 0 &&
                 !Affinity.hasRoom(Target, Request.Object, 1, Now)
             ? CrowdedPart * ServiceSeconds
             : 0;
}

/// Adds the targets that were given back as candidates: they may still have the
/// object cached.
void placer::listReleased(const place_request &Request, steady_time Now) {
  for (const released_holder &Row : Released) {
    const target_state *State = find(Row.Target);
    if (Row.Object == Request.Object && State != nullptr &&
        State->Info.Service == Request.Service && usable(*State, Request, Now))
      Candidates.push_back({Row.Target, 0});
  }
}

/// Service time of a request on a target that isn't a holder of its object.
double placer::newHolderSeconds(const place_request &Request,
                                target_handle Target) const {
  const bool Warm = Affinity.enabled() && Request.Object != 0 &&
                    Affinity.keepsObject(Target, Request.Object);
  return serviceSeconds(Request, Warm || Request.Object == 0);
}

/// Another holder for an object whose demand exceeds what its holders may get.
std::optional<placer::choice>
placer::additionalHolder(const place_request &Request, const choice &Holder,
                         steady_time Now) {
  if (!Affinity.enabled())
    return std::nullopt;
  std::vector<target_handle> Holders;
  for (const holder &Row : Objects[Request.Object])
    Holders.push_back(Row.Target);
  if (!Affinity.adds(Request.Object, Holders, drawOf(Request), Now))
    return std::nullopt;
  const bool FromRemote =
      find(Holder.Target)->Info.Distance == target_distance::Remote;
  // Candidates by the object's hash would soon all be holders.
  place_request Free = Request;
  Free.Object = 0;
  listCandidates(Free, std::nullopt, Now);
  listReleased(Request, Now);
  const double Left = seconds(Request.Deadline - Now);
  std::optional<choice> Best;
  for (const candidate &Row : Candidates) {
    const target_state &State = Targets[Row.Target.Index];
    const double Load = loadOf(Row.Target, Now);
    const bool Remote = State.Info.Distance == target_distance::Remote;
    if (holderOf(Request.Object, Row.Target) != nullptr ||
        (Remote && !FromRemote) || State.Info.ColdUntil > Now ||
        permitOf(Row.Target) != permit_state::Unlimited ||
        Load + 1 > State.Info.Slots * Policy.SparePart ||
        !Affinity.hasRoom(Row.Target, Request.Object, Holders.size() + 1, Now))
      continue;
    const double Expected =
        expected(State, Request, newHolderSeconds(Request, Row.Target), Now);
    if (Expected > Left * ColdRunPart || (Best && Best->Expected <= Expected))
      continue;
    Best = choice{Row.Target, Expected, true};
  }
  return Best;
}

/// Counts a request that is sent, and gives a holder back when its object has
/// more than it needs.
void placer::noteStart(const place_request &Request, target_handle Target,
                       steady_time Now) {
  if (!Affinity.enabled() || Request.Object == 0)
    return;
  const holder *Known = holderOf(Request.Object, Target);
  const bool Follows = Affinity.follows(Request.Kind, NoProbe);
  affinity_run Run;
  Run.Target = Target;
  Run.Service = Request.Service;
  Run.Object = Request.Object;
  Run.Kind = Request.Kind;
  Run.Follows = Follows;
  Run.Slot = duration_cast<nanoseconds>(
      duration<double>(serviceSeconds(Request, true)));
  if (isWarm(Target, Request.Object, Now))
    Run.Holder = holder_state::Warm;
  else if (Known != nullptr && Known->WarmingSince)
    Run.Holder = holder_state::Warming;
  Affinity.started(Run, Now);
  for (const demand_quantum &Row : Affinity.takeQuanta())
    queueUpdate(
        {Row.Object, Targets[Row.Target.Index].Info.Id,
         Run.Holder == holder_state::Warm,
         static_cast<std::uint32_t>(Policy.Affinity.DemandQuantum.count()),
         false});
  if (!Follows)
    return;
  if (Known == nullptr && Objects.contains(Request.Object)) {
    const std::size_t Holders = Objects[Request.Object].size() + 1;
    Affinity.added(Request.Object, Target, Holders, Now);
    noteChange(Request.Object, Target, true, Holders, Now);
  }
  std::erase_if(Released, [&](const released_holder &Row) {
    return Row.Object == Request.Object && Row.Target == Target;
  });
  releaseHolder(Request, Target, Now);
}

/// The one used least recently is given back.
void placer::releaseHolder(const place_request &Request, target_handle Sent,
                           steady_time Now) {
  const auto Found = Objects.find(Request.Object);
  if (Found == Objects.end())
    return;
  std::vector<holder> &Rows = Found->second;
  std::vector<target_handle> Holders;
  auto Least = Rows.end();
  for (auto Row = Rows.begin(); Row != Rows.end(); ++Row) {
    Holders.push_back(Row->Target);
    if (!Row->WarmingSince && Row->Target != Sent &&
        (Least == Rows.end() || Row->Used < Least->Used))
      Least = Row;
  }
  if (!Affinity.releases(Request.Object, Holders, drawOf(Request), Now) ||
      Least == Rows.end())
    return;
  const target_handle Target = Least->Target;
  Rows.erase(Least);
  noteReleased(Request.Object, Target, Now);
  queueUpdate({Request.Object, Targets[Target.Index].Info.Id, false, 0, true});
  noteChange(Request.Object, Target, false, Rows.size(), Now);
}

void placer::noteReleased(std::uint64_t Object, target_handle Target,
                          steady_time Now) {
  std::erase_if(Released, [&](const released_holder &Row) {
    return Now - Row.At >= Policy.WarmTime ||
           (Row.Object == Object && Row.Target == Target);
  });
  if (Released.size() >= MaxReleased)
    Released.erase(Released.begin());
  Released.push_back({Object, Target, Now});
}

bool placer::isReleased(std::uint64_t Object, target_handle Target,
                        steady_time Now) const {
  return std::any_of(Released.begin(), Released.end(),
                     [&](const released_holder &Row) {
                       return Row.Object == Object && Row.Target == Target &&
                              Now - Row.At < ReleaseTime;
                     });
}

void placer::noteEnd(const target_state &Target, const target_outcome &End,
                     steady_time Now) {
  if (!Affinity.enabled())
    return;
  const bool Waited = End.Report && End.Report->Waiting > 0;
  const bool Measures = End.Result == target_result::Answered && !Waited &&
                        Target.Info.ColdUntil <= Now;
  const auto Distance = static_cast<std::size_t>(Target.Info.Distance);
  const auto Took = std::max<nanoseconds>(
      milliseconds(1), End.Took - Policy.RoundTrip[Distance]);
  Affinity.ended(End.Target, End.Object, End.Kind,
                 Measures ? std::optional(Took) : std::nullopt, Now);
}

/// Records the target as a holder unless it was given back; peers aren't told
/// about kinds without gain.
void placer::recordRun(std::uint64_t Object, std::uint64_t Kind,
                       target_handle Target, bool Warm, steady_time Now) {
  if (!Affinity.enabled())
    return recordHolder(Object, Target, Warm, Now);
  if (isReleased(Object, Target, Now))
    return;
  const std::size_t Queued = Updates.size();
  recordHolder(Object, Target, Warm, Now);
  if (Object == 0 || Affinity.follows(Kind, NoProbe))
    return;
  Updates.resize(std::min(Queued, Updates.size()));
  std::vector<holder> &Rows = Objects[Object];
  if (Rows.size() > MaxQuietHolders)
    Rows.erase(Rows.begin());
}

/// Applies what a peer tells of demand and released holders; true when nothing
/// is left of the row.
bool placer::receiveAffinity(const object_row &Row, target_handle Target,
                             steady_time Now) {
  if (!Affinity.enabled())
    return false;
  if (Row.DemandMs > 0)
    Affinity.told(Row.Object, Target, Targets[Target.Index].Info.Service,
                  milliseconds(std::min(Row.DemandMs, MaxDemandMs)), Now);
  // A peer has chosen the target anew if it is warming up.
  if (!Row.Released)
    return Row.Warm && isReleased(Row.Object, Target, Now);
  const auto Found = Objects.find(Row.Object);
  if (Found != Objects.end())
    std::erase_if(Found->second, [Target](const holder &Known) {
      return Known.Target == Target;
    });
  noteReleased(Row.Object, Target, Now);
  return true;
}

void placer::updatePlan(steady_time Now) {
  if (!Affinity.enabled() || !Affinity.planDue(Now))
    return;
  std::vector<affinity_target> Rows;
  for (const target_state &State : Targets)
    if (State.Present && State.Info.Open)
      Rows.push_back({State.Info.Handle, State.Info.Service, usableSlots(State),
                      State.Info.Distance == target_distance::Remote});
  Affinity.beginPlan(Rows);
  std::vector<target_handle> Holders;
  for (const auto &[Object, Known] : Objects) {
    Holders.clear();
    for (const holder &Row : Known)
      Holders.push_back(Row.Target);
    Affinity.planObject(Object, Holders, Now);
  }
  Affinity.finishPlan(Now);
}

void placer::noteChange(std::uint64_t Object, target_handle Target, bool Gained,
                        std::size_t Holders, steady_time Now) {
  if (Changes.size() >= MaxChanges) {
    ++ChangesOmitted;
    return;
  }
  Changes.push_back(
      {Object, Target, Gained, Holders, Affinity.demand(Object, Now)});
}

std::vector<holder_change> placer::takeHolderChanges(std::uint64_t &Omitted) {
  Omitted += std::exchange(ChangesOmitted, 0);
  return std::exchange(Changes, {});
}

std::size_t placer::holders() const {
  std::size_t Count = 0;
  for (const auto &[Object, Rows] : Objects)
    Count += Rows.size();
  return Count;
}

} // namespace magnoliaspread
