/// Benchmark of steering decisions against baselines: fairness against FIFO,
/// headroom against round robin and the least loaded region, the shift cap, and
/// the cost of decisions.
#include "measures.h"

#include <fairness.h>
#include <headroom.h>

#include <magnoliaspread/ownership.h>
#include <magnoliaspread/target.h>

#include <ctime>

using namespace magnoliaspread;
using std::chrono::milliseconds;

namespace {

constexpr double WorstShare = 0.9;
constexpr std::uint64_t Seeds = 3;

double cpuSeconds() {
  std::timespec Time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Time);
  return static_cast<double>(Time.tv_sec) +
         static_cast<double>(Time.tv_nsec) * 1e-9;
}

void measureFairness(bench_report &Report, const std::string &Name,
                     const fairness_shape &Shape) {
  double Fair = 1;
  double Fifo = 1;
  std::uint64_t Late = 0;
  double Expired = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    const fairness_result Run = runFairness(Shape, Seed, false);
    Fair = std::min(Fair, Run.Worst);
    Late += Run.ServedLate;
    Expired = std::max(Expired, static_cast<double>(Run.Expired) /
                                    static_cast<double>(Run.Served));
    Fifo = std::min(Fifo, runFairness(Shape, Seed, true).Worst);
  }
  print(Report, "worst_workspace_" + Name, Fair, "of its fair share",
        WorstShare, bound_side::AtLeast);
  print(Report, "worst_workspace_fifo_" + Name, Fifo, "of its fair share");
  print(Report, "served_past_deadline_" + Name, static_cast<double>(Late),
        "requests", 0);
  print(Report, "expired_in_queue_" + Name, Expired, "of served");
}

void measureFloods(bench_report &Report) {
  measureFairness(Report, "ventania_media",
                  floodedShape(12 * 3, milliseconds(100), 0.95));
  measureFairness(Report, "ventania_calendar",
                  floodedShape(28 * 4, milliseconds(40), 0.95));
  measureFairness(Report, "licencias_registry",
                  floodedShape(32 * 6, milliseconds(40), 0.95));
  fairness_shape Slow = floodedShape(12 * 3, milliseconds(100), 0.95);
  Slow.Workspaces.back().SlotTime = milliseconds(500);
  measureFairness(Report, "licencias_documents_slow", Slow);
}

headroom_result worstOf(const headroom_shape &Shape, headroom_policy Policy) {
  headroom_result Sum;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    const headroom_result Run = runHeadroom(Shape, Policy, Seed);
    Sum.Worst = std::max(Sum.Worst, Run.Worst);
    Sum.Breaches += Run.Breaches;
    Sum.Offered += Run.Offered;
    Sum.Served += Run.Served;
    Sum.Refused += Run.Refused;
    Sum.Waited += Run.Waited;
    Sum.Messages += Run.Messages;
  }
  return Sum;
}

void printHeadroom(bench_report &Report, const std::string &Name,
                   const headroom_result &Result, bool Bounded) {
  const std::optional<double> LoadBound =
      Bounded ? std::optional(1.0) : std::nullopt;
  const std::optional<double> OverrunBound =
      Bounded ? std::optional(0.0) : std::nullopt;
  print(Report, "worst_region_load_" + Name, Result.Worst, "of its slots",
        LoadBound);
  print(Report, "overrun_moments_" + Name, static_cast<double>(Result.Breaches),
        "instance ms", OverrunBound);
  const double Refused =
      static_cast<double>(Result.Refused) / static_cast<double>(Result.Offered);
  print(Report, "refused_" + Name, Refused, "of offered");
  print(Report, "mean_wait_" + Name, Result.meanWaitMs(), "ms");
}

void measureHeadroom(bench_report &Report, const std::string &Name,
                     const headroom_shape &Shape) {
  const headroom_result Credits = worstOf(Shape, headroom_policy::Credits);
  printHeadroom(Report, "credits_" + Name, Credits, true);
  const double Seconds = std::chrono::duration<double>(Shape.Length).count() *
                         static_cast<double>(Seeds) * 12;
  print(Report, "credit_messages_" + Name,
        static_cast<double>(Credits.Messages) / Seconds, "1/s an instance");
  printHeadroom(Report, "round_robin_" + Name,
                worstOf(Shape, headroom_policy::RoundRobin), false);
  printHeadroom(Report, "emptiest_" + Name,
                worstOf(Shape, headroom_policy::EmptiestRegion), false);
}

headroom_shape shapeOf(std::uint32_t Slots, milliseconds SlotTime,
                       milliseconds RegionDelay, double Load, double Skew) {
  headroom_shape Shape;
  Shape.Slots = Slots;
  Shape.SlotTime = SlotTime;
  Shape.RegionDelay = RegionDelay;
  Shape.Load = Load;
  Shape.Skew = Skew;
  return Shape;
}

void measureDeployments(bench_report &Report) {
  const milliseconds Ventania(35);
  const milliseconds Licencias(55);
  const milliseconds Quick(40);
  const milliseconds Upload(300);
  const double Even = 1.0 / 3;
  measureHeadroom(Report, "ventania_calendar_even",
                  shapeOf(28 * 4, Quick, Ventania, 0.8, Even));
  measureHeadroom(Report, "ventania_calendar_skewed",
                  shapeOf(28 * 4, Quick, Ventania, 0.6, 0.6));
  measureHeadroom(Report, "ventania_media_skewed",
                  shapeOf(12 * 3, Upload, Ventania, 0.6, 0.6));
  measureHeadroom(Report, "licencias_registry_skewed",
                  shapeOf(32 * 6, Quick, Licencias, 0.6, 0.6));
  measureHeadroom(Report, "licencias_documents_skewed",
                  shapeOf(12 * 3, Upload, Licencias, 0.6, 0.6));
  headroom_shape Lost = shapeOf(28 * 4, Quick, Ventania, 0.5, Even);
  Lost.LostRegion = 2;
  measureHeadroom(Report, "ventania_region_lost", Lost);
  Lost = shapeOf(32 * 6, Quick, Licencias, 0.5, Even);
  Lost.LostRegion = 2;
  measureHeadroom(Report, "licencias_region_lost", Lost);
  headroom_shape Faulty = shapeOf(32 * 6, Quick, Licencias, 0.6, 0.6);
  Faulty.Loss = 0.05;
  Faulty.Repeat = 0.05;
  Faulty.ReportFactor = 4;
  measureHeadroom(Report, "licencias_faulty", Faulty);
}

/// Largest excess over the shift cap in any run of decisions while region b has
/// failed.
void measureShift(bench_report &Report) {
  config_table Table;
  for (const char *Region : {"a", "b"}) {
    Table.Regions.push_back({Region});
    Table.DataCentres.push_back({std::string(Region) + "1", Region});
  }
  Table.Services.push_back({"s", "/s/"});
  Table.Shifts.push_back({"*", 100, 20});
  const steering_names Names = namesOf(Table);
  const region_plan Plan = valueOf(makePlan(Table, Names, "b"));
  region_state State;
  adoptPlan(State, Plan, {}, Names);
  constexpr int Decisions = 1000000;
  double Sum = 0;
  double Lowest = 0;
  double Worst = 0;
  const double Begin = cpuSeconds();
  for (int I = 0; I < Decisions; ++I) {
    const steady_time Now{milliseconds(1000 + I)};
    const auto Choice =
        chooseRegion(Plan, State, {{0}, {}, region_mask(1)}, Now, {});
    Sum += (failed(Choice) ? 0 : 1) - 0.2;
    Worst = std::max(Worst, Sum - Lowest);
    Lowest = std::min(Lowest, Sum);
  }
  const double Each = (cpuSeconds() - Begin) / Decisions * 1e9;
  print(Report, "shift_excess_over_cap", Worst, "requests in any window",
        1.000001);
  print(Report, "shift_moved",
        static_cast<double>(State.Budgets[0].Moved) / Decisions, "of requests",
        0.2);
  print(Report, "region_decision", Each, "ns of CPU");
}

void measureQueueCost(bench_report &Report, std::size_t Workspaces) {
  fair_queue Queue({Workspaces, 65536, 65536});
  setSlots(Queue, 100);
  std::vector<fairq_entry> Expired;
  const steady_time Now{std::chrono::hours(1)};
  const steady_time Later = Now + std::chrono::hours(1);
  constexpr std::uint64_t Waiting = 20000;
  constexpr std::uint64_t Count = 300000;
  std::uint64_t Id = 0;
  const auto Next = [&] {
    ++Id;
    return fairq_entry{
        Id, {static_cast<std::uint16_t>(Id % Workspaces)}, Later};
  };
  while (Id < Waiting)
    push(Queue, Next(), Now);
  const double Begin = cpuSeconds();
  for (std::uint64_t I = 0; I < Count; ++I) {
    push(Queue, Next(), Now);
    pop(Queue, Now, Expired);
  }
  print(Report, "queue_push_and_pop_" + std::to_string(Workspaces),
        (cpuSeconds() - Begin) / Count * 1e9, "ns of CPU");
}

void measurePickCost(bench_report &Report, std::uint16_t Targets) {
  target_table Table(4096);
  const steady_time Now{std::chrono::hours(1)};
  for (std::uint16_t I = 0; I < Targets; ++I) {
    setTarget(Table, {I}, {{0}, 6, drain_state::Active}, {});
    setOwned(Table, {I}, true, {});
  }
  constexpr std::uint64_t Count = 100000;
  const double Begin = cpuSeconds();
  for (std::uint64_t I = 0; I < Count; ++I) {
    const auto Target = pick(Table, {0}, Now, rendezvousScore(I, 1));
    started(Table, valueOf(Target), Now);
    finished(Table, valueOf(Target), Now);
  }
  print(Report, "target_pick_" + std::to_string(Targets),
        (cpuSeconds() - Begin) / Count * 1e9, "ns of CPU");
}

} // namespace

int main() {
  return runBench([](bench_report &Report) {
    measureFloods(Report);
    measureDeployments(Report);
    measureShift(Report);
    for (const std::size_t Workspaces : {8U, 64U, 1024U})
      measureQueueCost(Report, Workspaces);
    for (const std::uint16_t Targets : {3, 30, 300})
      measurePickCost(Report, Targets);
  });
}
