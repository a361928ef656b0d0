/// Load of several workspaces on one service through several instances, over
/// real placers.
#ifndef MAGNOLIASPREAD_FAIRLOAD_H
#define MAGNOLIASPREAD_FAIRLOAD_H

#include <magnoliaspread/placer.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <random>
#include <variant>
#include <vector>

namespace magnoliaspread {

/// Requests a second of a workspace, sent to the first \p Instances instances
/// (0: to all).
struct fair_caller {
  std::uint32_t Workspace = 0;
  double Rate = 0;
  std::uint32_t Priority = 0;
  std::size_t Instances = 0;
};

struct fair_count {
  std::size_t Sent = 0;
  std::size_t Answered = 0;
  std::size_t Refused = 0;
  double SlotSeconds = 0;
  std::chrono::milliseconds LongestWait{0};
};

class fair_load {
public:
  static constexpr std::chrono::milliseconds Took{100};
  static constexpr service_handle Service{0};

  fair_load(std::size_t Instances, std::uint16_t Targets, std::uint32_t Slots,
            bool Fair, std::size_t MaxWaiting = 512)
      : Slots(static_cast<double>(Targets) * Slots), Running(Targets),
        SlotsEach(Slots), Fair(Fair) {
    std::vector<placer_target> Rows;
    for (std::uint16_t I = 0; I < Targets; ++I) {
      placer_target Row;
      Row.Handle = {I};
      Row.Service = Service;
      Row.Id = 1000U + I;
      Row.Slots = Slots;
      Rows.push_back(Row);
    }
    placer_policy Policy;
    Policy.FairShare.Enabled = Fair;
    Policy.MaxWaiting = MaxWaiting;
    for (std::size_t I = 0; I < Instances; ++I) {
      Placers.emplace_back(Policy);
      Placers.back().setTargets(Rows, Now);
    }
    Told.resize(Instances);
    Alive.assign(Instances, true);
  }

  /// A part of the messages between instances that is lost.
  double Lost = 0;

  /// Runs the callers for \p Time; counts what arrives during it.
  void run(const std::vector<fair_caller> &Callers,
           std::chrono::milliseconds Time) {
    std::vector<double> Due(Callers.size(), 0);
    for (const steady_time End = Now + Time; Now < End;) {
      Now += std::chrono::milliseconds(1);
      finishDue();
      for (std::size_t I = 0; I < Callers.size(); ++I)
        for (Due[I] += Callers[I].Rate / 1000; Due[I] >= 1; Due[I] -= 1)
          arrive(Callers[I]);
      if (++Ticks % 15 == 0)
        for (std::size_t I = 0; I < Placers.size(); ++I)
          poll(I);
      if (Ticks % 50 == 0)
        gossipLoad();
      if (Ticks % 250 == 0)
        gossipDemand();
    }
  }

  void kill(std::size_t Instance) { Alive[Instance] = false; }
  void forgetCounts() { Counts.clear(); }
  const fair_count &of(std::uint32_t Workspace, std::uint32_t Priority = 0) {
    return Counts[{Workspace, Priority}];
  }
  placer &at(std::size_t Instance) { return Placers[Instance]; }
  steady_time now() const { return Now; }

  const double Slots;

private:
  using count_key = std::pair<std::uint32_t, std::uint32_t>;

  struct flight {
    std::size_t Instance = 0;
    target_handle Target;
    count_key Key;
    steady_time Started;
    double Seconds = 0;
  };

  struct row {
    count_key Key;
    steady_time Arrived;
    std::size_t Instance = 0;
  };

  void arrive(const fair_caller &Caller) {
    const std::size_t Reach =
        Caller.Instances == 0 ? Placers.size() : Caller.Instances;
    std::size_t Instance = Random() % Reach;
    while (!Alive[Instance])
      Instance = Random() % Placers.size();
    place_request Request;
    Request.Id = ++NextId;
    Request.Service = Service;
    Request.Kind = 7;
    Request.Workspace = Caller.Workspace;
    Request.Priority = Caller.Priority;
    Request.Arrived = Now;
    Request.Deadline = Now + std::chrono::milliseconds(2500);
    Request.GoodUntil = Now + std::chrono::milliseconds(600);
    const count_key Key{Caller.Workspace, Caller.Priority};
    ++Counts[Key].Sent;
    Known[Request.Id] = {Key, Now, Instance};
    apply(Request.Id, Placers[Instance].place(Request, Now));
  }

  void poll(std::size_t Instance) {
    if (!Alive[Instance])
      return;
    for (const place_grant &Grant : Placers[Instance].poll(Now))
      apply(Grant.Id, Grant.Verdict);
  }

  void apply(std::uint64_t Id, const placement_verdict &Verdict) {
    if (std::holds_alternative<place_wait>(Verdict))
      return;
    const row Row = Known[Id];
    Known.erase(Id);
    fair_count &Count = Counts[Row.Key];
    if (const auto *Send = std::get_if<place_send>(&Verdict)) {
      Count.LongestWait =
          std::max(Count.LongestWait,
                   std::chrono::duration_cast<std::chrono::milliseconds>(
                       Now - Row.Arrived));
      Running[Send->Target.Index].push_back(
          {Row.Instance, Send->Target, Row.Key, Now, 0});
      return;
    }
    ++Count.Refused;
  }

  /// The first requests of a target run; the others wait there.
  void finishDue() {
    std::vector<std::size_t> Freed;
    for (std::vector<flight> &Target : Running) {
      for (std::size_t I = 0; I < Target.size() && I < SlotsEach; ++I)
        Target[I].Seconds += 0.001;
      for (std::size_t I = 0; I < Target.size() && I < SlotsEach;)
        if (Target[I].Seconds >= 0.1) {
          const flight Done = Target[I];
          Target.erase(Target.begin() + static_cast<std::ptrdiff_t>(I));
          finish(Done, Target.size());
          Freed.push_back(Done.Instance);
        } else {
          ++I;
        }
    }
    for (const std::size_t Instance : Freed)
      poll(Instance);
  }

  void finish(const flight &Done, std::size_t Left) {
    fair_count &Count = Counts[Done.Key];
    ++Count.Answered;
    Count.SlotSeconds += Done.Seconds;
    if (!Alive[Done.Instance])
      return;
    target_outcome End;
    End.Target = Done.Target;
    End.Kind = 7;
    End.Took = Now - Done.Started;
    End.Report = target_report{
        static_cast<std::uint32_t>(std::min<std::size_t>(Left, SlotsEach)),
        static_cast<std::uint32_t>(Left > SlotsEach ? Left - SlotsEach : 0),
        SlotsEach,
        {}};
    Placers[Done.Instance].finished(End, Now);
  }

  bool isLost() {
    return std::uniform_real_distribution<double>()(Random) < Lost;
  }

  void gossipLoad() {
    for (std::size_t From = 0; From < Placers.size(); ++From) {
      object_update Update;
      Update.Loads = Placers[From].takeLoadReports();
      Placers[From].takeUpdates();
      if (Update.Loads.empty() || !Alive[From])
        continue;
      for (int I = 0; I < 3; ++I)
        if (const std::size_t To = Random() % Placers.size();
            To != From && !isLost())
          Placers[To].receive(Update, Now);
    }
  }

  /// Each instance tells its claims; a lost message leaves the former ones.
  void gossipDemand() {
    if (!Fair)
      return;
    for (std::size_t I = 0; I < Placers.size(); ++I)
      if (Alive[I] && !isLost())
        Told[I] = Placers[I].queue().shares().uses(Now);
    std::map<std::uint32_t, double> Sums;
    for (std::size_t I = 0; I < Placers.size(); ++I)
      if (Alive[I])
        for (const workspace_use &Use : Told[I])
          Sums[Use.Workspace] += Use.Demand;
    std::vector<workspace_claim> Claims;
    Claims.reserve(Sums.size());
    for (const auto &[Workspace, Demand] : Sums)
      Claims.push_back({Workspace, Demand, 1});
    for (std::size_t I = 0; I < Placers.size(); ++I)
      if (Alive[I])
        Placers[I].updateShares(Service, Claims, Slots, Now);
  }

  std::vector<placer> Placers;
  std::vector<bool> Alive;
  std::vector<std::vector<workspace_use>> Told;
  std::vector<std::vector<flight>> Running;
  std::map<std::uint64_t, row> Known;
  std::map<count_key, fair_count> Counts;
  std::uint32_t SlotsEach;
  bool Fair;
  std::mt19937_64 Random{29};
  std::uint64_t NextId = 0;
  std::uint64_t Ticks = 0;
  steady_time Now{std::chrono::hours(1)};
};

} // namespace magnoliaspread

#endif
