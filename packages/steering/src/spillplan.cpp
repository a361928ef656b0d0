#include <magnoliaspread/spillplan.h>

#include "placermath_p.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <numeric>

namespace magnoliaspread {

namespace {

/// Window in which MaxShift applies.
constexpr std::chrono::seconds ShiftWindow{2};
/// Parts that differ by less are equal.
constexpr double Tiny = 1e-3;
/// After a pause of the process the parts don't catch up at once.
constexpr double MaxStepSeconds = 0.5;

} // namespace

double spillLevel(const std::vector<region_load> &Regions, double Fill) {
  double Demand = 0;
  double Slots = 0;
  for (const region_load &Row : Regions) {
    if (!Row.Known)
      continue;
    Demand += Row.Demand;
    Slots += Row.Slots;
  }
  return Slots > 0 ? std::max(Fill, Demand / Slots) : Fill;
}

spill_matrix planSpill(const std::vector<region_load> &Regions, double Fill) {
  const double Level = spillLevel(Regions, Fill);
  const auto Room = [Level](const region_load &Row) {
    return Row.Known ? std::max(0.0, Level * Row.Slots - Row.Demand) : 0.0;
  };
  double AllRoom = 0;
  for (const region_load &Row : Regions)
    AllRoom += Room(Row);
  spill_matrix Moves(Regions.size(), std::vector<double>(Regions.size()));
  for (std::size_t From = 0; From < Regions.size(); ++From) {
    const region_load &Row = Regions[From];
    const double Need = Row.Demand - Level * Row.Slots;
    if (!Row.Known || Need <= 0 || AllRoom <= 0)
      continue;
    for (std::size_t To = 0; To < Regions.size(); ++To)
      Moves[From][To] = Need * Room(Regions[To]) / AllRoom;
  }
  return Moves;
}

double movedPart(const region_parts &From, const region_parts &To) {
  double Sum = 0;
  for (std::size_t I = 0; I < From.size(); ++I)
    Sum += std::abs(To[I] - From[I]);
  return Sum / 2;
}

namespace {

/// What the own region may take of each other one: its part of the room by its
/// part of the need of all \p Claims. Up to half of what the level leaves free
/// is used before objects move from one region to another.
region_parts takeableRoom(const std::vector<region_load> &Regions,
                          const std::vector<region_load> &Claims,
                          std::size_t Own, double Level) {
  const double Use = std::max(Level, (Level + 1) / 2);
  double AllNeed = 0;
  for (const region_load &Row : Claims)
    if (Row.Known)
      AllNeed += std::max(0.0, Row.Demand - Level * Row.Slots);
  const region_load &Here = Regions[Own];
  const double Need = std::max(0.0, Here.Demand - Level * Here.Slots);
  // Without need, for objects that haven't returned yet.
  const double Share = std::max((AllNeed > 0 ? Need / AllNeed : 0),
                                1 / static_cast<double>(Regions.size()));
  region_parts Room{};
  for (std::size_t I = 0; I < Regions.size(); ++I)
    if (I != Own && Regions[I].Known)
      Room[I] =
          std::max(0.0, Use * Regions[I].Slots - Regions[I].Demand) * Share;
  return Room;
}

bool hasLostSlots(const std::vector<region_load> &Regions, double LossPart) {
  return std::any_of(
      Regions.begin(), Regions.end(), [&](const region_load &Row) {
        return Row.LostSlots > LossPart * (Row.Slots + Row.LostSlots);
      });
}

double sumOf(const region_parts &Parts) {
  return std::accumulate(Parts.begin(), Parts.end(), 0.0);
}

/// \p From moved towards \p To by \p Step; the part of region \p Own first.
region_parts moved(const region_parts &From, const region_parts &To,
                   std::size_t Own, double Step) {
  const double Distance = movedPart(From, To);
  if (Step >= Distance)
    return To;
  const double Change = To[Own] - From[Own];
  const double OwnStep = std::min(std::abs(Change), Step);
  const auto Taken = [&](double OfOwn) {
    const double Others = Distance - std::max(0.0, OfOwn);
    return Others > 0
               ? (Step - std::min(std::max(0.0, OfOwn), OwnStep)) / Others
               : 0;
  };
  const double LossPart = Taken(-Change);
  const double GainPart = Taken(Change);
  region_parts Next = From;
  for (std::size_t I = 0; I < Next.size(); ++I) {
    const double Wanted = To[I] - From[I];
    Next[I] += I == Own ? std::copysign(OwnStep, Change)
                        : Wanted * (Wanted < 0 ? LossPart : GainPart);
  }
  return Next;
}

} // namespace

/// Regions that aren't heard but still have targets count with their last known
/// demand: they may be spilling into the same regions as this one.
std::vector<region_load>
spill_plan::withFormerDemand(const std::vector<region_load> &Regions) {
  std::vector<region_load> Claims = Regions;
  for (std::size_t I = 0; I < Claims.size(); ++I) {
    region_load &Row = Claims[I];
    if (Row.Known)
      FormerDemand[I] = Row.Demand;
    else if (Row.Slots + Row.LostSlots <= 0)
      FormerDemand[I] = 0;
    Row.Demand = FormerDemand[I];
    Row.Known = Row.Known || Row.Demand > 0;
  }
  return Claims;
}

/// The own region's part stays where it is between the plan and its return
/// bound, and the others' parts while they have the room.
region_parts spill_plan::wantedParts(const std::vector<region_load> &Regions,
                                     const std::vector<region_load> &Claims,
                                     const region_parts &Fixed,
                                     const region_parts &Current) const {
  const region_load &Here = Regions[Own];
  const bool Alone =
      std::none_of(Regions.begin(), Regions.end(), [&](const region_load &Row) {
        return &Row != &Here && Row.Known && Row.Slots > 0;
      });
  if (!Here.Known || Here.Demand <= 0 || Alone)
    return Fixed;
  const double Level = spillLevel(Claims, Settings.Fill);
  const region_parts Room = takeableRoom(Regions, Claims, Own, Level);
  const double AllRoom = sumOf(Room);
  const double Most = std::min(1.0, Level * Here.Slots / Here.Demand);
  const double Least =
      std::min(Most, std::clamp(Settings.Fill * Settings.ReturnPart *
                                    Here.Slots / Here.Demand,
                                Settings.LeastLocal, Settings.MostLocal));
  const double Local =
      std::max({std::clamp(Current[Own], Least, Most), Settings.LeastLocal,
                1 - AllRoom / Here.Demand});
  region_parts Parts{};
  for (std::size_t I = 0; I < Regions.size(); ++I)
    Parts[I] = std::min(Current[I], Room[I] / Here.Demand);
  const double Kept = sumOf(Parts);
  const double Away = 1 - Local;
  const double Left = AllRoom / Here.Demand - Kept;
  for (std::size_t I = 0; I < Regions.size(); ++I)
    Parts[I] = Away < Kept ? Parts[I] * Away / Kept
               : Left > 0  ? Parts[I] + (Room[I] / Here.Demand - Parts[I]) *
                                           (Away - Kept) / Left
                          : Parts[I];
  Parts[Own] = 1 - (sumOf(Parts) - Parts[Own]);
  return Parts;
}

bool spill_plan::update(const std::vector<region_load> &Regions,
                        const region_parts &Fixed, steady_time Now) {
  if (Settings.MaxShift <= 0 || Own >= Regions.size() ||
      Regions.size() > MaxRegions)
    return false;
  const double Elapsed =
      std::min(MaxStepSeconds, seconds(Now - UpdatedAt.value_or(Now)));
  UpdatedAt = Now;
  const region_parts Current = InForce.value_or(Fixed);
  Wanted = wantedParts(Regions, withFormerDemand(Regions), Fixed, Current);
  const double Distance = movedPart(Current, Wanted);
  Moving = Distance > (Moving ? Tiny : Settings.DeadBand);
  const double RampPart =
      hasLostSlots(Regions, Settings.LossPart) ? 1 : Settings.RampPart;
  const double Step =
      Settings.MaxShift * RampPart * Elapsed / seconds(ShiftWindow);
  if (!Moving || Step <= 0)
    return false;
  InForce = moved(Current, Wanted, Own, Step);
  return true;
}

} // namespace magnoliaspread
