#include "substrings.h"

#include <magnoliaspread/loadplan.h>
#include <magnoliaspread/story.h>

using namespace magnoliaspread;
using namespace std::chrono_literals;

namespace {

const std::string Regions = R"("regions":[{"name":"north","instances":3}])";
const std::string Pools =
    R"("pools":[{"service":"calendar","region":"north","targets":4}])";
const std::string Kinds =
    R"("kinds":[{"name":"read","service":"calendar","rate":20}])";

std::string plan(const std::string &First, const std::string &Second,
                 const std::string &Third, const std::string &Rest = "") {
  return "{" + First + "," + Second + "," + Third + Rest + "}";
}

struct fault_case {
  std::string What;
  std::string Json;
  /// All of them occur in the message.
  std::vector<std::string> Substrings;
};

std::vector<fault_case> faults() {
  return {
      {"no JSON", "{", {"f.json", "line 1"}},
      {"a wrong field",
       plan(Regions, Pools, Kinds, R"(,"lenght_ms":1)"),
       {"lenght_ms", "length_ms"}},
      {"a wrong type",
       plan(Regions, Pools, Kinds, R"(,"length_ms":"1")"),
       {"length_ms", "from 1 to 600000"}},
      {"no region", plan(R"("regions":[])", Pools, Kinds), {"region"}},
      {"targets of no region",
       plan(Regions, R"("pools":[{"service":"calendar","region":"x"}])", Kinds),
       {"pools", "region", "x"}},
      {"a kind of no service",
       plan(Regions, Pools, R"("kinds":[{"name":"a","service":"y","rate":1}])"),
       {"kinds", "service", "y"}},
      {"a kind without a rate",
       plan(Regions, Pools, R"("kinds":[{"name":"a","service":"calendar"}])"),
       {"rate", "missing"}},
      {"a trouble of no kind",
       plan(Regions, Pools, Kinds, R"(,"troubles":[{"kind":"flood"}])"),
       {"flood", "burst, shift, lose_targets, slow_targets, lose_instances"}},
      {"a trouble in no region",
       plan(Regions, Pools, Kinds,
            R"(,"troubles":[{"kind":"burst","region":"z"}])"),
       {"troubles", "region", "z"}},
  };
}

} // namespace

STORY(a_load_plan_is_read) {
  const auto Read = parseLoadPlan(
      plan(Regions, Pools, Kinds,
           R"(,"troubles":[{"kind":"slow_targets","at_ms":500,"factor":4}])"),
      "f.json");
  CPPUNIT_ASSERT_MESSAGE(failed(Read) ? errorOf(Read).Detail : "",
                         !failed(Read));
  const load_plan &Plan = valueOf(Read);
  CPPUNIT_ASSERT_EQUAL(std::uint32_t(3), Plan.Regions[0].Instances);
  CPPUNIT_ASSERT_EQUAL(std::uint32_t(4), Plan.Pools[0].Targets);
  CPPUNIT_ASSERT_EQUAL(20.0, Plan.Kinds[0].Rate);
  CPPUNIT_ASSERT(Plan.Troubles[0].Kind == trouble_kind::SlowTargets);
  CPPUNIT_ASSERT(Plan.Troubles[0].At == 500ms);
}

STORY(a_bad_load_plan_says_where) {
  for (const fault_case &Case : faults())
    section(Case.What, [&] {
      const auto Read = parseLoadPlan(Case.Json, "f.json");
      CPPUNIT_ASSERT(failed(Read));
      CPPUNIT_ASSERT(errorOf(Read).Kind == error_kind::BadSettings);
      expectSubstrings(errorOf(Read).Detail, Case.Substrings);
    });
}
