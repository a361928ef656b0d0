/// What callers ask is told between instances: the sum of a region has to hold
/// while data centres fall silent and instances die.
#include <magnoliaspread/demandview.h>
#include <magnoliaspread/story.h>

using namespace magnoliaspread;
using namespace std::chrono_literals;

namespace {

constexpr steady_time Start{std::chrono::hours(1)};
const std::map<std::string, std::string> RegionOf{
    {"a-1", "a"}, {"a-2", "a"}, {"b-1", "b"}};

member_row rowOf(const std::string &Name, std::uint64_t Incarnation,
                 std::uint32_t Units) {
  member_row Row;
  Row.Identity.Name = Name;
  Row.Identity.DataCentre = "a-1";
  Row.Identity.Region = "a";
  Row.Identity.Incarnation = Incarnation;
  Row.Identity.Epoch = 1;
  Row.Report.Sequence = 1;
  Row.Report.Load.Demand = {{7, Units}};
  return Row;
}

data_centre_summary summaryOf(const std::string &DataCentre,
                              std::uint32_t Units) {
  data_centre_summary Summary;
  Summary.DataCentre = DataCentre;
  Summary.Speaker = 99;
  Summary.Sequence = 1;
  Summary.Load.Demand = {{7, Units}};
  return Summary;
}

double slotsIn(const std::vector<region_demand> &Regions,
               const std::string &Name) {
  for (const region_demand &Row : Regions)
    if (Row.Region == Name)
      return demandOf(Row.Services, 7);
  return -1;
}

} // namespace

STORY(the_demand_of_regions_adds_up) {
  member_identity Self = rowOf("self", 1, 0).Identity;
  membership Members(Self, 1, Start);
  load_summary Load;
  Load.Demand = {{7, 16}};
  Members.setLoad(Load);
  const endpoint_address From{"10.0.0.9", 7000};
  Members.receive(Start, From, rows_message{{rowOf("peer", 2, 32)}, true});
  section("of the own data centre at first", [&] {
    const auto Regions = regionDemands(Members, RegionOf, Start);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(3, slotsIn(Regions, "a"), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(-1, slotsIn(Regions, "b"), 1e-9);
  });
  section("of all data centres once they are heard, twice or not", [&] {
    for (int Times = 0; Times < 2; ++Times) {
      Members.receive(Start, From, summary_message{summaryOf("a-2", 48), {}});
      Members.receive(Start, From, summary_message{summaryOf("b-1", 80), {}});
    }
    const auto Regions = regionDemands(Members, RegionOf, Start);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(6, slotsIn(Regions, "a"), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(5, slotsIn(Regions, "b"), 1e-9);
  });
  section("without instances that died and regions that fell silent", [&] {
    constexpr steady_time End = Start + SilentAfter + 60s;
    for (steady_time Now = Start; Now <= End; Now += 250ms)
      Members.tick(Now);
    const auto Regions = regionDemands(Members, RegionOf, End);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, slotsIn(Regions, "a"), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(-1, slotsIn(Regions, "b"), 1e-9);
  });
}
