/// Load traces, accounting of the model, and comparison of the policies.
#include <magnoliaspread/fleet_model.h>
#include <magnoliaspread/story.h>

#include <fstream>
#include <iterator>
#include <string>

using namespace magnoliaspread;
using namespace std::chrono_literals;

namespace {

/// Two regions, 80 slots, 300 requests a second. The targets can carry the load
/// only with warm caches: a request takes 480 ms of a slot on a cold target and
/// 144 ms on a warm one.
load_plan warmPlan() {
  load_plan Plan;
  Plan.Length = 8000ms;
  for (const char *Name : {"north", "south"}) {
    load_region Region;
    Region.Name = Name;
    Plan.Regions.push_back(Region);
    load_pool Pool;
    Pool.Service = "calendar";
    Pool.Region = Name;
    Pool.Targets = 10;
    Plan.Pools.push_back(Pool);
  }
  load_kind Kind;
  Kind.Name = "read";
  Kind.Service = "calendar";
  Kind.Rate = 300;
  Kind.Objects = 60;
  Kind.ColdWork = 480ms;
  Kind.LatencyTarget = 400ms;
  Kind.Deadline = 2500ms;
  Plan.Kinds.push_back(Kind);
  return Plan;
}

load_trouble makeTrouble(trouble_kind Kind, double Part, double Factor = 2) {
  load_trouble Trouble;
  Trouble.Kind = Kind;
  Trouble.At = 3000ms;
  Trouble.Length = 2000ms;
  Trouble.Part = Part;
  Trouble.Factor = Factor;
  return Trouble;
}

model_report runPolicy(const load_plan &Plan, policy_kind Policy,
                       std::uint64_t Seed = 1) {
  model_setup Setup;
  Setup.Policy = Policy;
  Setup.Seed = Seed;
  return runModel(Plan, drawTrace(Plan, Seed), Setup);
}

std::size_t countArrivals(const std::vector<trace_request> &Trace,
                          std::chrono::nanoseconds From,
                          std::chrono::nanoseconds To) {
  std::size_t Count = 0;
  for (const trace_request &Row : Trace)
    Count += Row.At >= From && Row.At < To ? 1 : 0;
  return Count;
}

std::uint64_t outcomes(const model_count &Count) {
  return Count.Good + Count.Late + Count.Refused + Count.Failed;
}

void expectAllCounted(const load_plan &Plan, const model_report &Report,
                      std::uint64_t Seed = 1) {
  const std::uint64_t Requested = drawTrace(Plan, Seed).size();
  CPPUNIT_ASSERT_EQUAL(Requested, Report.All.Offered);
  CPPUNIT_ASSERT_EQUAL(Requested, outcomes(Report.All));
  for (const auto *Rows : {&Report.Regions, &Report.Kinds}) {
    std::uint64_t Sum = 0;
    for (const named_count &Row : *Rows) {
      CPPUNIT_ASSERT_EQUAL(Row.Count.Offered, outcomes(Row.Count));
      Sum += Row.Count.Offered;
    }
    CPPUNIT_ASSERT_EQUAL(Requested, Sum);
  }
}

} // namespace

STORY(load_trace_follows_the_plan) {
  section("the same seed gives the same requests", [&] {
    const auto First = drawTrace(warmPlan(), 5);
    const auto Second = drawTrace(warmPlan(), 5);
    CPPUNIT_ASSERT_EQUAL(First.size(), Second.size());
    for (std::size_t I = 0; I < First.size(); ++I) {
      CPPUNIT_ASSERT(First[I].At == Second[I].At);
      CPPUNIT_ASSERT_EQUAL(First[I].Object, Second[I].Object);
      CPPUNIT_ASSERT(I == 0 || First[I].At >= First[I - 1].At);
    }
    CPPUNIT_ASSERT(drawTrace(warmPlan(), 6).size() != First.size());
  });
  section("a swing moves the rate around its mean", [&] {
    load_plan Plan = warmPlan();
    for (load_region &Region : Plan.Regions) {
      Region.Swing = 0.5;
      Region.Period = 8000ms;
    }
    const auto Trace = drawTrace(Plan, 1);
    // The quarter of a cycle around the peak averages 1.45 times the mean.
    const double Top = static_cast<double>(countArrivals(Trace, 1s, 3s)) / 600;
    const double Bottom =
        static_cast<double>(countArrivals(Trace, 5s, 7s)) / 600;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.45, Top, 0.15);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.55, Bottom, 0.15);
  });
  section("a burst multiplies the rate while it lasts", [&] {
    load_plan Plan = warmPlan();
    Plan.Troubles.push_back(makeTrouble(trouble_kind::Burst, 1, 3));
    const auto Trace = drawTrace(Plan, 1);
    const double Before = static_cast<double>(countArrivals(Trace, 1s, 3s));
    const double During = static_cast<double>(countArrivals(Trace, 3s, 5s));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(3, During / Before, 0.5);
  });
  section("a shift moves callers to the next region, with their objects", [&] {
    load_plan Plan = warmPlan();
    load_trouble Shift = makeTrouble(trouble_kind::Shift, 1);
    Shift.Region = "north";
    Plan.Troubles.push_back(Shift);
    for (const trace_request &Row : drawTrace(Plan, 1))
      if (isActive(Plan.Troubles[0], Row.At))
        CPPUNIT_ASSERT_EQUAL(std::uint16_t(1), Row.Region);
  });
}

STORY(model_counts_each_request_once) {
  for (const policy_kind Policy :
       {policy_kind::Holders, policy_kind::LeastLoaded, policy_kind::Spilling})
    section(PolicyNames.at(static_cast<std::size_t>(Policy)), [&] {
      load_plan Plan = warmPlan();
      expectAllCounted(Plan, runPolicy(Plan, Policy));
      Plan.Kinds[0].Repeatable = false;
      for (const trouble_kind Kind :
           {trouble_kind::LoseTargets, trouble_kind::SlowTargets,
            trouble_kind::LoseInstances})
        Plan.Troubles.push_back(makeTrouble(Kind, 0.5));
      expectAllCounted(Plan, runPolicy(Plan, Policy));
    });
  section("runs are reproducible", [&] {
    const model_report First = runPolicy(warmPlan(), policy_kind::Holders);
    const model_report Second = runPolicy(warmPlan(), policy_kind::Holders);
    CPPUNIT_ASSERT_EQUAL(First.All.Good, Second.All.Good);
    CPPUNIT_ASSERT_EQUAL(First.ColdRuns, Second.ColdRuns);
  });
}

STORY(model_shows_what_troubles_cost) {
  const model_report Baseline = runPolicy(warmPlan(), policy_kind::Holders);
  section("nothing fails without disruptions", [&] {
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), Baseline.All.Failed);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), Baseline.Shed);
  });
  section("a request running on a crashed target fails if not repeatable", [&] {
    load_plan Plan = warmPlan();
    Plan.Kinds[0].Repeatable = false;
    Plan.Troubles.push_back(makeTrouble(trouble_kind::LoseTargets, 0.3));
    const model_report Disrupted = runPolicy(Plan, policy_kind::Holders);
    CPPUNIT_ASSERT(Disrupted.All.Failed > 0);
    CPPUNIT_ASSERT(Disrupted.ColdRuns > Baseline.ColdRuns);
  });
  section("and is retried on another target if repeatable", [&] {
    load_plan Plan = warmPlan();
    Plan.Troubles.push_back(makeTrouble(trouble_kind::LoseTargets, 0.3));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0),
                         runPolicy(Plan, policy_kind::Holders).All.Failed);
  });
  section("requests in flight at a crashed instance fail", [&] {
    load_plan Plan = warmPlan();
    Plan.Troubles.push_back(makeTrouble(trouble_kind::LoseInstances, 1));
    const model_report Disrupted = runPolicy(Plan, policy_kind::Holders);
    CPPUNIT_ASSERT(Disrupted.All.Failed > 0);
    CPPUNIT_ASSERT(Disrupted.All.Refused > 0);
  });
  section("slow targets make answers late", [&] {
    load_plan Plan = warmPlan();
    Plan.Troubles.push_back(makeTrouble(trouble_kind::SlowTargets, 0.5, 5));
    CPPUNIT_ASSERT(runPolicy(Plan, policy_kind::Holders).All.Good <
                   Baseline.All.Good);
  });
}

STORY(holders_serve_more_than_plain_policies) {
  section("when only warm targets can carry the load", [&] {
    for (std::uint64_t Seed = 1; Seed <= 3; ++Seed) {
      const load_plan Plan = warmPlan();
      const double Holders =
          runPolicy(Plan, policy_kind::Holders, Seed).All.creditRatio();
      for (const policy_kind Plain :
           {policy_kind::LeastLoaded, policy_kind::Spilling})
        CPPUNIT_ASSERT(Holders >
                       runPolicy(Plan, Plain, Seed).All.creditRatio());
    }
  });
  section("also with a burst, crashed targets and instances", [&] {
    load_plan Plan = warmPlan();
    Plan.Troubles.push_back(makeTrouble(trouble_kind::Burst, 1, 1.5));
    Plan.Troubles.push_back(makeTrouble(trouble_kind::LoseTargets, 0.2));
    Plan.Troubles.push_back(makeTrouble(trouble_kind::LoseInstances, 0.3));
    const double Holders =
        runPolicy(Plan, policy_kind::Holders).All.creditRatio();
    for (const policy_kind Plain :
         {policy_kind::LeastLoaded, policy_kind::Spilling})
      CPPUNIT_ASSERT(Holders > runPolicy(Plan, Plain).All.creditRatio());
  });
}

STORY(placer_fields_are_set_by_name) {
  placer_policy Policy;
  CPPUNIT_ASSERT(!failed(setPlacerField(Policy, "late_part=0.25")));
  CPPUNIT_ASSERT_EQUAL(0.25, Policy.LatePart);
  CPPUNIT_ASSERT(!failed(setPlacerField(Policy, "leave_margin_ms=80")));
  CPPUNIT_ASSERT(Policy.LeaveMargin == 80ms);
  CPPUNIT_ASSERT(!failed(setPlacerField(Policy, "ahead=2")));
  CPPUNIT_ASSERT_EQUAL(std::uint32_t(2), Policy.Ahead);
  for (const char *Bad : {"late_part", "late_part=", "late_part=x", "late=1",
                          "late_part=-1", "late_part=nan", "=1", ""}) {
    const status Set = setPlacerField(Policy, Bad);
    CPPUNIT_ASSERT_MESSAGE(Bad, failed(Set));
    CPPUNIT_ASSERT(errorOf(Set).Detail.find("late_part") != std::string::npos);
  }
}

STORY(example_loads_can_be_played) {
  for (const char *Name :
       {"ventania-wave", "ventania-peak", "licencias-wave", "licencias-peak"}) {
    const std::string File =
        std::string(EXAMPLES_DIR "/loads/") + Name + ".json";
    std::ifstream Stream(File);
    const std::string Text{std::istreambuf_iterator<char>(Stream), {}};
    auto Plan = parseLoadPlan(Text, File);
    CPPUNIT_ASSERT_MESSAGE(failed(Plan) ? errorOf(Plan).Detail : File,
                           !failed(Plan));
    valueOf(Plan).Length = 1000ms;
    expectAllCounted(valueOf(Plan),
                     runPolicy(valueOf(Plan), policy_kind::Holders));
  }
}
