#include <magnoliaspread/limit.h>
#include <magnoliaspread/region.h>
#include <magnoliaspread/story.h>

#include <random>

using namespace magnoliaspread;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

config_table plainTable() {
  config_table Table;
  for (const char *Region : {"a", "b", "c"}) {
    Table.Regions.push_back({Region, drain_state::Active});
    for (const char *Suffix : {"1", "2"})
      Table.DataCentres.push_back({Region + std::string(Suffix), Region});
  }
  Table.Services = {{"s", "/s/"}, {"t", "/t/"}};
  Table.Workspaces = {{"v"}, {"w"}};
  return Table;
}

struct chooser {
  explicit chooser(const config_table &Table)
      : Names(namesOf(Table)), Plan(valueOf(makePlan(Table, Names, "b"))) {
    adoptPlan(State, Plan, {}, Names);
  }

  result<region_decision> choose(const char *Service, const char *Workspace,
                                 unsigned long Available) {
    Now += milliseconds(10);
    return chooseRegion(
        Plan, State,
        {handleOf<service_handle>(Names.Services, Service),
         handleOf<workspace_handle>(Names.Workspaces, Workspace),
         region_mask(Available)},
        Now, Plan.EditedAt + minutes(100));
  }

  /// Requests of \p Count by the chosen region.
  std::array<int, 3> count(const char *Service, const char *Workspace,
                           unsigned long Available, int Count) {
    std::array<int, 3> Counts{};
    for (int I = 0; I < Count; ++I) {
      const auto Decision = choose(Service, Workspace, Available);
      if (!failed(Decision))
        ++Counts[valueOf(Decision).Region.Index];
    }
    return Counts;
  }

  steering_names Names;
  region_plan Plan;
  region_state State;
  steady_time Now{seconds(100)};
};

} // namespace

STORY(region_weights) {
  section("without weights the own region is chosen", [&] {
    chooser Chooser(plainTable());
    CPPUNIT_ASSERT_EQUAL(100, Chooser.count("s", "v", 7, 100)[1]);
  });
  section("traffic is divided by weight", [&] {
    config_table Table = plainTable();
    Table.Weights = {{"a", "s", "*", 3, 0}, {"c", "s", "*", 1, 0}};
    chooser Chooser(Table);
    const auto Counts = Chooser.count("s", "v", 7, 1000);
    CPPUNIT_ASSERT(Counts[0] >= 745 && Counts[0] <= 755);
    CPPUNIT_ASSERT_EQUAL(0, Counts[1]);
    CPPUNIT_ASSERT_EQUAL(100, Chooser.count("t", "v", 7, 100)[1]);
  });
  section("rows of a workspace override those for any", [&] {
    config_table Table = plainTable();
    Table.Weights = {{"a", "s", "*", 1, 0}, {"c", "s", "w", 1, 0}};
    chooser Chooser(Table);
    CPPUNIT_ASSERT_EQUAL(100, Chooser.count("s", "v", 7, 100)[0]);
    CPPUNIT_ASSERT_EQUAL(100, Chooser.count("s", "w", 7, 100)[2]);
    CPPUNIT_ASSERT_EQUAL(100, Chooser.count("s", "none", 7, 100)[0]);
  });
}

STORY(region_drains) {
  section("a drained region gets nothing", [&] {
    config_table Table = plainTable();
    Table.Regions[1].State = drain_state::Draining;
    chooser Chooser(Table);
    const auto Counts = Chooser.count("s", "v", 7, 100);
    CPPUNIT_ASSERT_EQUAL(0, Counts[1]);
    // The others share its traffic.
    CPPUNIT_ASSERT(Counts[0] >= 40 && Counts[2] >= 40);
  });
  section("a region whose data centres all drain gets nothing", [&] {
    config_table Table = plainTable();
    Table.DataCentres[2].State = drain_state::Draining;
    Table.DataCentres[3].State = drain_state::Draining;
    chooser Chooser(Table);
    CPPUNIT_ASSERT_EQUAL(0, Chooser.count("s", "v", 7, 100)[1]);
  });
  section("peers exclude inactive data centres and leaving instances", [&] {
    config_table Table = plainTable();
    Table.DataCentres[1].State = drain_state::Draining;
    chooser Chooser(Table);
    const std::vector<steering_peer> Peers{{{0}, {0}, false},
                                           {{1}, {1}, false},
                                           {{2}, {0}, true},
                                           {{3}, {2}, false}};
    const auto Found = peersIn(Chooser.Plan, Peers, {0});
    CPPUNIT_ASSERT(Found.size() == 1 && Found[0].Index == 0);
  });
}

STORY(region_edit_during_a_ramp) {
  config_table Table = plainTable();
  Table.Origin.From = {{"a", "s", "*", 1, 0}};
  Table.Origin.StartedAtMs = 60000;
  Table.Weights = {{"b", "s", "*", 1, 0}};
  Table.Shifts = {{"*", 10, 100}};
  const wall_time Later(milliseconds(60000) + minutes(3));
  const std::vector<weight_row> Rows = weightsInForce(Table, Later);
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Rows.size());
  CPPUNIT_ASSERT_DOUBLES_EQUAL(0.7, Rows[0].Weight, 1e-9);
  CPPUNIT_ASSERT_DOUBLES_EQUAL(0.3, Rows[1].Weight, 1e-9);
}

STORY(region_limits) {
  section("parts add up to the limit", [&] {
    for (std::uint32_t Limit = 0; Limit < 50; ++Limit) {
      for (std::uint32_t Parts = 1; Parts < 9; ++Parts) {
        std::uint32_t Sum = 0;
        for (std::uint32_t I = 0; I < Parts; ++I)
          Sum += limitPart(Limit, I, Parts);
        CPPUNIT_ASSERT_EQUAL(Limit, Sum);
      }
    }
  });
  const steady_time Now{seconds(100)};
  section("requests in flight stay within the part", [&] {
    limit_table Table;
    setLimitPart(Table, 0, 2, Now, Now);
    CPPUNIT_ASSERT(!failed(admitLimited(Table, 0, Now)));
    CPPUNIT_ASSERT(!failed(admitLimited(Table, 0, Now)));
    const status Third = admitLimited(Table, 0, Now);
    CPPUNIT_ASSERT(errorOf(Third).Kind == error_kind::NoCapacity);
    releaseLimited(Table, 0);
    CPPUNIT_ASSERT(!failed(admitLimited(Table, 0, Now)));
  });
  section("a smaller part applies at once, a larger one when usable", [&] {
    limit_table Table;
    setLimitPart(Table, 0, 1, Now, Now);
    setLimitPart(Table, 0, 2, Now, Now + seconds(5));
    CPPUNIT_ASSERT(!failed(admitLimited(Table, 0, Now)));
    CPPUNIT_ASSERT(failed(admitLimited(Table, 0, Now + seconds(4))));
    CPPUNIT_ASSERT(!failed(admitLimited(Table, 0, Now + seconds(5))));
    setLimitPart(Table, 0, 1, Now + seconds(5), Now);
    releaseLimited(Table, 0);
    CPPUNIT_ASSERT(failed(admitLimited(Table, 0, Now + seconds(6))));
  });
  section("a row without a limit admits every request", [&] {
    limit_table Table;
    setLimitPart(Table, 3, 0, Now, Now);
    CPPUNIT_ASSERT(failed(admitLimited(Table, 3, Now)));
    clearLimit(Table, 3);
    CPPUNIT_ASSERT(!failed(admitLimited(Table, 3, Now)));
  });
}
