/// Instances that share targets, callers that return once, and a load in slots.
#ifndef MAGNOLIASPREAD_ADMISSIONLOAD_H
#define MAGNOLIASPREAD_ADMISSIONLOAD_H

#include <magnoliaspread/placer.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <map>
#include <memory>
#include <random>
#include <utility>
#include <vector>

namespace magnoliaspread {

struct overload_setup {
  std::size_t Instances = 12;
  std::uint16_t Targets = 40;
  std::uint32_t Slots = 3;
  /// Callers wait 20 ms instead of Retry-After, and try six times.
  bool Impatient = false;
};

/// Targets work on as many requests as they have slots and queue the others.
class overload_run {
public:
  static constexpr std::chrono::milliseconds Step{5};
  static constexpr std::chrono::milliseconds Work{280};
  static constexpr std::chrono::milliseconds Good{600};
  static constexpr std::chrono::milliseconds Deadline{2000};

  explicit overload_run(const overload_setup &Setup)
      : Setup(Setup), Queues(Setup.Targets) {
    placer_policy Policy;
    Policy.Admission.Enabled = true;
    std::vector<placer_target> Rows;
    for (std::uint16_t I = 0; I < Setup.Targets; ++I) {
      placer_target Row;
      Row.Handle = {I};
      Row.Service = {0};
      Row.Id = 1000U + I;
      Row.Slots = Setup.Slots;
      Rows.push_back(Row);
    }
    for (std::size_t I = 0; I < Setup.Instances; ++I) {
      Fleet.push_back(std::make_unique<placer>(Policy));
      Fleet.back()->setTargets(Rows, Now);
    }
  }

  double slots() const { return double(Setup.Targets) * Setup.Slots; }

  /// New requests that need \p Load of the slots, \p Kinds kinds by turns.
  void run(double Load, std::chrono::milliseconds Time,
           std::uint64_t Kinds = 1) {
    const double PerStep = Load * slots() / seconds(Work) * seconds(Step);
    Served = Asked = 0;
    BusySteps = Steps = 0;
    for (const steady_time End = Now + Time; Now < End; Now += Step) {
      work();
      const auto Count = std::poisson_distribution<int>(PerStep)(Random);
      for (int I = 0; I < Count; ++I)
        arrive({Now + Deadline, 1 + Random() % Kinds, 0});
      for (auto It = Returns.begin(); It != Returns.end() && It->first <= Now;
           It = Returns.erase(It))
        arrive(It->second);
      for (std::size_t I = 0; I < Fleet.size(); ++I)
        if (Fleet[I])
          for (const place_grant &Grant : Fleet[I]->poll(Now))
            apply(I, Grant.Id, Grant.Verdict);
      if ((Now - Start) % std::chrono::milliseconds(100) ==
          std::chrono::milliseconds(0))
        exchange();
      double Busy = 0;
      for (const std::vector<running> &Queue : Queues)
        Busy += double(std::min<std::size_t>(Queue.size(), Setup.Slots));
      BusySteps += Busy;
      ++Steps;
    }
  }

  /// Part of the slots that worked during the last run().
  double busy() const { return BusySteps / (double(Steps) * slots()); }

  void kill(std::size_t Instance) {
    Fleet[Instance].reset();
    for (std::vector<running> &Queue : Queues)
      std::erase_if(
          Queue, [&](const running &Row) { return Row.Instance == Instance; });
    std::erase_if(Requests, [&](const auto &Row) {
      return Row.second.Instance == Instance;
    });
  }

  std::size_t Served = 0;
  std::size_t Asked = 0;
  /// Since the start.
  std::size_t Admitted = 0;
  std::size_t RejectedLater = 0;
  std::size_t PastDeadline = 0;
  std::size_t LateReturns = 0;

private:
  struct caller {
    steady_time Deadline;
    std::uint64_t Kind = 0;
    int Tries = 0;
  };
  struct placed {
    place_request Request;
    caller Caller;
    std::size_t Instance = 0;
    bool Queued = false;
  };
  struct running {
    std::size_t Instance = 0;
    std::uint64_t Id = 0;
    target_handle Target;
    steady_time Sent;
    double LeftMs = 0;
    bool Waited = false;
  };

  static double seconds(steady_time::duration Time) {
    return std::chrono::duration<double>(Time).count();
  }

  void arrive(caller Caller) {
    std::size_t Instance = Random() % Fleet.size();
    while (!Fleet[Instance])
      Instance = (Instance + 1) % Fleet.size();
    ++Asked;
    place_request Request;
    Request.Id = ++LastId;
    Request.Service = {0};
    Request.Kind = Caller.Kind;
    Request.Arrived = Now;
    Request.Deadline = Caller.Deadline;
    Request.GoodUntil = Now + Good;
    Request.UsualTime = Deadline;
    Requests[Request.Id] = {Request, Caller, Instance, false};
    apply(Instance, Request.Id, Fleet[Instance]->place(Request, Now));
  }

  void apply(std::size_t Instance, std::uint64_t Id,
             const placement_verdict &Verdict) {
    placed &Row = Requests.at(Id);
    if (std::holds_alternative<place_wait>(Verdict)) {
      Row.Queued = true;
      ++Admitted;
      return;
    }
    PastDeadline += Now > Row.Request.Deadline ? 1 : 0;
    if (const auto *Send = std::get_if<place_send>(&Verdict)) {
      Admitted += Row.Queued ? 0 : 1;
      std::lognormal_distribution<double> Size(
          std::log(double(Work.count())) - 0.02, 0.2);
      std::vector<running> &Queue = Queues[Send->Target.Index];
      Queue.push_back({Instance, Id, Send->Target, Now, Size(Random),
                       Queue.size() >= Setup.Slots});
      return;
    }
    RejectedLater += Row.Queued ? 1 : 0;
    giveBack(Row, std::get<error>(Verdict));
    Requests.erase(Id);
  }

  void giveBack(const placed &Row, const error &Error) {
    const auto Left = Row.Request.Deadline - Now;
    const auto After = Error.RetryAfter.value_or(std::chrono::milliseconds(0));
    LateReturns += After > Left / 3 + std::chrono::milliseconds(1) ? 1 : 0;
    const int Tries = Setup.Impatient ? 6 : 1;
    if (Row.Caller.Tries >= Tries)
      return;
    caller Again = Row.Caller;
    ++Again.Tries;
    const steady_time At =
        Now + (Setup.Impatient ? std::chrono::milliseconds(20) : After);
    if (At < Again.Deadline)
      Returns.emplace(At, Again);
  }

  void work() {
    for (std::vector<running> &Queue : Queues) {
      for (std::size_t I = 0;
           I < std::min<std::size_t>(Queue.size(), Setup.Slots); ++I)
        Queue[I].LeftMs -= double(Step.count());
      std::vector<running> Done;
      std::erase_if(Queue, [&](const running &Row) {
        if (Row.LeftMs <= 0)
          Done.push_back(Row);
        return Row.LeftMs <= 0;
      });
      for (const running &Row : Done)
        finish(Row, Queue.size());
    }
  }

  void finish(const running &Row, std::size_t Busy) {
    ++Served;
    target_outcome End;
    End.Target = Row.Target;
    End.Kind = Requests.at(Row.Id).Request.Kind;
    End.Took = Now - Row.Sent;
    const auto Running =
        static_cast<std::uint32_t>(std::min<std::size_t>(Busy, Setup.Slots));
    End.Report = target_report{
        Running, static_cast<std::uint32_t>(Busy) - Running, Setup.Slots, {}};
    Fleet[Row.Instance]->finished(End, Now);
    Requests.erase(Row.Id);
  }

  void exchange() {
    for (std::size_t From = 0; From < Fleet.size(); ++From) {
      if (!Fleet[From])
        continue;
      object_update Update;
      Update.Rows = Fleet[From]->takeUpdates();
      Update.Loads = Fleet[From]->takeLoadReports();
      for (std::size_t To = 0; To < Fleet.size(); ++To)
        if (To != From && Fleet[To])
          Fleet[To]->receive(Update, Now);
    }
  }

  static constexpr steady_time Start{std::chrono::hours(1)};
  overload_setup Setup;
  std::mt19937_64 Random{29};
  steady_time Now = Start;
  std::vector<std::unique_ptr<placer>> Fleet;
  std::vector<std::vector<running>> Queues;
  std::map<std::uint64_t, placed> Requests;
  std::multimap<steady_time, caller> Returns;
  std::uint64_t LastId = 0;
  double BusySteps = 0;
  std::size_t Steps = 0;
};

} // namespace magnoliaspread

#endif
