/// One service's slots under load from several workspaces, with a queue in
/// front; arrivals come in
/// steps of one millisecond.
#ifndef MAGNOLIASPREAD_FAIRNESS_H
#define MAGNOLIASPREAD_FAIRNESS_H

#include "baselines.h"

#include <algorithm>
#include <magnoliaspread/fairq.h>

#include <chrono>
#include <queue>
#include <random>
#include <vector>

namespace magnoliaspread {

struct fairness_workspace {
  double Weight = 1;
  /// Requests per second.
  double Rate = 0;
  std::chrono::milliseconds SlotTime{20};
};

struct fairness_shape {
  std::uint32_t Slots = 36;
  std::vector<fairness_workspace> Workspaces;
  std::chrono::milliseconds Length{20000};
  std::chrono::milliseconds Deadline{2000};
};

struct fairness_result {
  /// Slot time got over slot time due, of the worst-served workspace.
  double Worst = 0;
  /// The same by workspace.
  std::vector<double> Parts;
  /// Slot time used over slot time there was.
  double Utilisation = 0;
  std::uint64_t Served = 0;
  /// Granted after the deadline; has to be none.
  std::uint64_t ServedLate = 0;
  /// Refused by push() or expired in the queue.
  std::uint64_t Refused = 0;
  std::uint64_t Expired = 0;
};

/// Max-min fair slot time of each workspace for the slot time it asked for.
inline std::vector<double> fairShares(const fairness_shape &Shape,
                                      const std::vector<double> &Asked,
                                      double Capacity) {
  std::vector<double> Due(Asked.size(), 0);
  std::vector<bool> Met(Asked.size(), false);
  for (std::size_t Round = 0; Round < Asked.size(); ++Round) {
    double Weight = 0;
    double Left = Capacity;
    for (std::size_t I = 0; I < Asked.size(); ++I) {
      Weight += Met[I] ? 0 : Shape.Workspaces[I].Weight;
      Left -= Met[I] ? Asked[I] : 0;
    }
    for (std::size_t I = 0; I < Asked.size(); ++I) {
      if (Met[I])
        continue;
      const double Share = Left * Shape.Workspaces[I].Weight / Weight;
      Due[I] = std::min(Asked[I], Share);
    }
    for (std::size_t I = 0; I < Asked.size(); ++I)
      Met[I] = Met[I] || Due[I] >= Asked[I];
  }
  return Due;
}

struct fairness_running {
  steady_time Ends;
  steady_time Began;
  fairq_grant Grant;
  bool operator>(const fairness_running &Other) const {
    return Ends > Other.Ends;
  }
};

struct fairness_model {
  fairness_shape Shape;
  std::mt19937_64 Random;
  fair_queue Fair;
  fifo_queue Fifo;
  bool UseFifo;
  std::priority_queue<fairness_running, std::vector<fairness_running>,
                      std::greater<>>
      Running;
  std::vector<double> Asked;
  std::vector<double> Got;
  std::uint64_t NextId = 1;
  fairness_result Result;
};

inline void arrive(fairness_model &Model, std::uint16_t Workspace,
                   steady_time Now) {
  const fairness_workspace &Row = Model.Shape.Workspaces[Workspace];
  std::poisson_distribution<int> Count(Row.Rate / 1000);
  for (int I = Count(Model.Random); I > 0; --I) {
    Model.Asked[Workspace] +=
        std::chrono::duration<double>(Row.SlotTime).count();
    const fairq_entry Entry{
        Model.NextId++, {Workspace}, Now + Model.Shape.Deadline};
    const bool Taken = Model.UseFifo ? push(Model.Fifo, Entry)
                                     : !failed(push(Model.Fair, Entry, Now));
    Model.Result.Refused += Taken ? 0 : 1;
  }
}

inline void serve(fairness_model &Model, steady_time Now) {
  std::vector<fairq_entry> Expired;
  while (Model.Running.size() < Model.Shape.Slots) {
    std::optional<fairq_grant> Grant;
    if (!Model.UseFifo)
      Grant = pop(Model.Fair, Now, Expired);
    else if (const auto Entry = pop(Model.Fifo, Now))
      Grant = fairq_grant{*Entry, {}};
    if (!Grant)
      break;
    const std::uint16_t Workspace = Grant->Entry.Workspace.Index;
    Model.Result.ServedLate += Grant->Entry.Deadline <= Now ? 1 : 0;
    ++Model.Result.Served;
    std::exponential_distribution<double> Spread(1);
    const auto Time = std::chrono::duration_cast<std::chrono::nanoseconds>(
        Model.Shape.Workspaces[Workspace].SlotTime *
        std::clamp(Spread(Model.Random), 0.1, 5.0));
    Model.Running.push({Now + Time, Now, *Grant});
    Model.Got[Workspace] += std::chrono::duration<double>(Time).count();
  }
  Model.Result.Expired += Expired.size();
}

/// Ends requests in order, and fills each freed slot at that very moment.
inline void finish(fairness_model &Model, steady_time Now) {
  while (!Model.Running.empty() && Model.Running.top().Ends <= Now) {
    const fairness_running Done = Model.Running.top();
    Model.Running.pop();
    if (!Model.UseFifo)
      settle(Model.Fair, Done.Grant, Done.Ends - Done.Began);
    serve(Model, Done.Ends);
  }
}

inline fairness_result runFairness(const fairness_shape &Shape,
                                   std::uint64_t Seed, bool UseFifo) {
  const std::size_t Count = Shape.Workspaces.size();
  fairness_model Model{Shape,
                       std::mt19937_64(Seed),
                       fair_queue({Count, 4096, 1024}),
                       {},
                       UseFifo,
                       {},
                       std::vector<double>(Count, 0),
                       std::vector<double>(Count, 0),
                       1,
                       {}};
  setSlots(Model.Fair, Shape.Slots);
  for (std::uint16_t I = 0; I < Count; ++I)
    setWeight(Model.Fair, {I}, Shape.Workspaces[I].Weight);
  const steady_time Start{std::chrono::hours(1)};
  for (steady_time Now = Start; Now < Start + Shape.Length;
       Now += std::chrono::milliseconds(1)) {
    finish(Model, Now);
    for (std::uint16_t I = 0; I < Count; ++I)
      arrive(Model, I, Now);
    serve(Model, Now);
  }
  const double Capacity =
      Shape.Slots * std::chrono::duration<double>(Shape.Length).count();
  const std::vector<double> Due = fairShares(Shape, Model.Asked, Capacity);
  Model.Result.Worst = 1;
  for (std::size_t I = 0; I < Count; ++I) {
    Model.Result.Parts.push_back(Model.Got[I] / Due[I]);
    Model.Result.Worst = std::min(Model.Result.Worst, Model.Got[I] / Due[I]);
    Model.Result.Utilisation += Model.Got[I] / Capacity;
  }
  return Model.Result;
}

/// Eight workspaces whose fair shares fill the slots to \p Load, of which the
/// last sends five times its rate.
inline fairness_shape floodedShape(std::uint32_t Slots,
                                   std::chrono::milliseconds SlotTime,
                                   double Load) {
  fairness_shape Shape;
  Shape.Slots = Slots;
  const double Whole =
      Slots / std::chrono::duration<double>(SlotTime).count() * Load;
  for (int I = 0; I < 8; ++I)
    Shape.Workspaces.push_back({1, Whole / 8, SlotTime});
  Shape.Workspaces.back().Rate *= 5;
  return Shape;
}

} // namespace magnoliaspread

#endif
