/// Simulation of the slots of one service under load from several workspaces,
/// with a queue in front, in steps of one millisecond.
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
  /// Ratio of used to fair slot time of the worst-served workspace.
  double Worst = 0;
  /// The same ratio by workspace.
  std::vector<double> Parts;
  /// Ratio of used to available slot time.
  double Utilisation = 0;
  std::uint64_t Served = 0;
  /// Granted after the deadline; must be 0.
  std::uint64_t ServedLate = 0;
  /// Refused by push() or expired in the queue.
  std::uint64_t Refused = 0;
  std::uint64_t Expired = 0;
};

/// Max-min fair slot time of each workspace, given the requested slot times.
inline std::vector<double> fairShares(const fairness_shape &Shape,
                                      const std::vector<double> &Demand,
                                      double Capacity) {
  std::vector<double> FairTime(Demand.size(), 0);
  std::vector<bool> Met(Demand.size(), false);
  for (std::size_t Round = 0; Round < Demand.size(); ++Round) {
    double Weight = 0;
    double Left = Capacity;
    for (std::size_t I = 0; I < Demand.size(); ++I) {
      Weight += Met[I] ? 0 : Shape.Workspaces[I].Weight;
      Left -= Met[I] ? Demand[I] : 0;
    }
    for (std::size_t I = 0; I < Demand.size(); ++I) {
      if (Met[I])
        continue;
      const double Share = Left * Shape.Workspaces[I].Weight / Weight;
      FairTime[I] = std::min(Demand[I], Share);
    }
    for (std::size_t I = 0; I < Demand.size(); ++I)
      Met[I] = Met[I] || FairTime[I] >= Demand[I];
  }
  return FairTime;
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
  std::vector<double> Demand;
  std::vector<double> Used;
  std::uint64_t NextId = 1;
  fairness_result Result;
};

inline void arrive(fairness_model &Model, std::uint16_t Workspace,
                   steady_time Now) {
  const fairness_workspace &Row = Model.Shape.Workspaces[Workspace];
  std::poisson_distribution<int> Count(Row.Rate / 1000);
  for (int I = Count(Model.Random); I > 0; --I) {
    Model.Demand[Workspace] +=
        std::chrono::duration<double>(Row.SlotTime).count();
    const fairq_entry Entry{
        Model.NextId++, {Workspace}, Now + Model.Shape.Deadline};
    const bool Accepted = Model.UseFifo ? push(Model.Fifo, Entry)
                                        : !failed(push(Model.Fair, Entry, Now));
    Model.Result.Refused += Accepted ? 0 : 1;
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
    Model.Used[Workspace] += std::chrono::duration<double>(Time).count();
  }
  Model.Result.Expired += Expired.size();
}

/// Ends requests in order and refills each freed slot at its end time.
inline void finish(fairness_model &Model, steady_time Now) {
  while (!Model.Running.empty() && Model.Running.top().Ends <= Now) {
    const fairness_running Done = Model.Running.top();
    Model.Running.pop();
    if (!Model.UseFifo)
      correctCharge(Model.Fair, Done.Grant, Done.Ends - Done.Began);
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
  const std::vector<double> FairTime =
      fairShares(Shape, Model.Demand, Capacity);
  Model.Result.Worst = 1;
  for (std::size_t I = 0; I < Count; ++I) {
    Model.Result.Parts.push_back(Model.Used[I] / FairTime[I]);
    Model.Result.Worst =
        std::min(Model.Result.Worst, Model.Used[I] / FairTime[I]);
    Model.Result.Utilisation += Model.Used[I] / Capacity;
  }
  return Model.Result;
}

/// Eight workspaces whose fair shares use \p Load of the slots; the last one
/// sends five times its rate.
inline fairness_shape floodedShape(std::uint32_t Slots,
                                   std::chrono::milliseconds SlotTime,
                                   double Load) {
  fairness_shape Shape;
  Shape.Slots = Slots;
  const double TotalRate =
      Slots / std::chrono::duration<double>(SlotTime).count() * Load;
  for (int I = 0; I < 8; ++I)
    Shape.Workspaces.push_back({1, TotalRate / 8, SlotTime});
  Shape.Workspaces.back().Rate *= 5;
  return Shape;
}

} // namespace magnoliaspread

#endif
