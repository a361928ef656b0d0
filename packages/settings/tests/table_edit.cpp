#include "substrings.h"
#include "tables.h"

#include <magnoliaspread/table_edit.h>

#include <magnoliaspread/story.h>

using namespace magnoliaspread;

namespace {

const wall_time Noon{std::chrono::milliseconds(1'800'000'000'000)};

row_edit weight(const std::string &Region, const std::string &Value) {
  return {row_kind::Weight,
          edit_action::Set,
          {{"region", Region}, {"service", "calendar"}, {"weight", Value}}};
}

row_edit rate(const std::string &Workspace, const std::string &Value) {
  return {row_kind::Workspace,
          edit_action::Set,
          {{"name", Workspace}, {"rate", Value}}};
}

row_edit withAction(row_edit Edit, edit_action Action) {
  Edit.Action = Action;
  return Edit;
}

config_table applied(const config_table &Table,
                     const std::vector<row_edit> &Rows) {
  auto Next = applyEdit(Table, {"e-3", Rows}, {Noon, {}});
  CPPUNIT_ASSERT_MESSAGE(failed(Next) ? errorOf(Next).Detail : "",
                         !failed(Next));
  return valueOf(Next);
}

void expectRejected(const row_edit &Row, error_kind Kind,
                    const std::vector<std::string> &Substrings) {
  auto Next = applyEdit(smallTable(), {"e-3", {Row}}, {Noon, {}});
  CPPUNIT_ASSERT(failed(Next));
  CPPUNIT_ASSERT(errorOf(Next).Kind == Kind);
  expectSubstrings(errorOf(Next).Detail, Substrings);
}

} // namespace

STORY(an_edit_changes_the_fields_that_it_names) {
  config_table Table = smallTable();
  section("of a row that exists", [&] {
    config_table Next = applied(Table, {rate("aero", "20")});
    CPPUNIT_ASSERT_EQUAL(20.0, Next.Workspaces[0].Rate);
    CPPUNIT_ASSERT_EQUAL(25.0, Next.Workspaces[0].Burst);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(8), Next.Version);
    CPPUNIT_ASSERT(Next.Edits.back() ==
                   (edit_record{"e-3", 8, 1'800'000'000'000}));
    CPPUNIT_ASSERT(Next.Origin == Table.Origin);
  });
  section("of a new row", [&] {
    config_table Next =
        applied(Table, {{row_kind::Workspace,
                         edit_action::Create,
                         {{"name", "new"}, {"rate", "1"}, {"burst", "2"}}}});
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), Next.Workspaces.size());
  });
  section("or removes the row", [&] {
    config_table Next =
        applied(Table, {withAction(weight("faro", "1"), edit_action::Remove)});
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Next.Weights.size());
  });
  section("and the records of edits are bounded", [&] {
    for (std::size_t I = 0; I < 2 * MaxEditRecords; ++I) {
      Table = applied(Table, {});
      Table.Edits.back().Id += std::to_string(I);
    }
    CPPUNIT_ASSERT_EQUAL(MaxEditRecords, Table.Edits.size());
    CPPUNIT_ASSERT(findEdit(Table, "e-3127", 0) == edit_presence::Found);
    CPPUNIT_ASSERT(findEdit(Table, "e-3", 8) == edit_presence::Evicted);
    CPPUNIT_ASSERT(findEdit(Table, "other", Table.Version) ==
                   edit_presence::Absent);
  });
}

STORY(an_edit_of_weights_starts_a_ramp) {
  config_table Table = smallTable();
  section("from the previous weights", [&] {
    config_table Next = applied(Table, {weight("faro", "3")});
    CPPUNIT_ASSERT(Next.Origin.From == Table.Weights);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(1'800'000'000'000),
                         Next.Origin.StartedAtMs);
  });
  section("from the weights in force while another ramp is under way", [&] {
    std::vector<weight_row> Halfway = {{"porto", "calendar", "*", 0.5, 0}};
    auto InForce = [&](const config_table &Before, wall_time At) {
      CPPUNIT_ASSERT(Before == Table);
      CPPUNIT_ASSERT(At == Noon);
      return Halfway;
    };
    auto Next =
        applyEdit(Table, {"e-3", {weight("faro", "3")}}, {Noon, InForce});
    CPPUNIT_ASSERT(!failed(Next));
    CPPUNIT_ASSERT(valueOf(Next).Origin.From == Halfway);
  });
  section("also when only the ramp's speed changes", [&] {
    config_table Next = applied(
        Table, {{row_kind::Shift,
                 edit_action::Set,
                 {{"service", "*"}, {"ramp_percent_per_minute", "99"}}}});
    CPPUNIT_ASSERT_EQUAL(std::int64_t(1'800'000'000'000),
                         Next.Origin.StartedAtMs);
  });
  section("but not for the first table", [&] {
    config_table First = applied({}, diffTables({}, Table));
    CPPUNIT_ASSERT(First.Weights == Table.Weights);
    CPPUNIT_ASSERT(First.Origin == shift_origin{});
  });
  section("never at an earlier time than the last one", [&] {
    wall_time Early{std::chrono::milliseconds(5)};
    auto Next = applyEdit(Table, {"e-3", {weight("faro", "3")}}, {Early, {}});
    CPPUNIT_ASSERT(!failed(Next));
    CPPUNIT_ASSERT_EQUAL(Table.Origin.StartedAtMs,
                         valueOf(Next).Origin.StartedAtMs);
  });
}

STORY(a_wrong_edit_is_refused) {
  expectRejected(weight("faro", "much"), error_kind::BadTable,
                 {"weights", "weight", "\"much\"", "number from 0"});
  expectRejected(weight("braga", "1"), error_kind::BadTable,
                 {"region=braga", "faro, porto"});
  expectRejected(rate("nobody", "1"), error_kind::BadTable,
                 {"burst", "missing", "name=nobody"});
  expectRejected(withAction(rate("aero", "1"), edit_action::Create),
                 error_kind::BadTable, {"name=aero", "exists"});
  expectRejected(withAction(rate("nobody", "1"), edit_action::Remove),
                 error_kind::NotFound, {"workspaces", "name=nobody"});
  expectRejected(withAction(rate("aero", "1"), edit_action::Remove),
                 error_kind::BadTable,
                 {"id=aero-1", "workspace", "club, vela"});
  expectRejected({row_kind::Workspace,
                  edit_action::Set,
                  {{"name", "aero"}, {"speed", "1"}}},
                 error_kind::BadTable, {"speed", "name, rate, burst, weight"});
  expectRejected({row_kind::Workspace,
                  edit_action::Set,
                  {{"name", "aero"}, {"rate", "1"}, {"rate", "2"}}},
                 error_kind::BadTable, {"rate", "twice"});
}

STORY(edits_of_different_rows_merge) {
  config_table Base = smallTable();
  table_edit Mine{"mine", {rate("aero", "20")}};
  section("another row has changed", [&] {
    config_table Latest = applied(Base, {rate("club", "9")});
    CPPUNIT_ASSERT(!failed(checkMerge(Base, Latest, Mine)));
  });
  section("the same row has changed", [&] {
    config_table Latest = applied(Base, {rate("aero", "21")});
    status Merged = checkMerge(Base, Latest, Mine);
    CPPUNIT_ASSERT(failed(Merged));
    CPPUNIT_ASSERT(errorOf(Merged).Kind == error_kind::VersionConflict);
    expectSubstrings(errorOf(Merged).Detail,
                     {"name=aero", "was {name=aero rate=12.5",
                      "is now {name=aero "
                      "rate=21",
                      "wants {name=aero rate=20"});
  });
  section("another field of the same row has changed", [&] {
    config_table Latest =
        applied(Base, {{row_kind::Workspace,
                        edit_action::Set,
                        {{"name", "aero"}, {"burst", "99"}}}});
    CPPUNIT_ASSERT(failed(checkMerge(Base, Latest, Mine)));
  });
  section("the same row already has this edit's values", [&] {
    config_table Latest = applied(Base, {rate("aero", "20")});
    CPPUNIT_ASSERT(!failed(checkMerge(Base, Latest, Mine)));
  });
  section("the row is gone", [&] {
    config_table Latest =
        applied(Base, {withAction(weight("faro", "1"), edit_action::Remove)});
    table_edit Weight{"mine", {weight("faro", "5")}};
    status Merged = checkMerge(Base, Latest, Weight);
    CPPUNIT_ASSERT(failed(Merged));
    expectSubstrings(errorOf(Merged).Detail, {"is now {absent}"});
  });
  section("both create the same row", [&] {
    row_edit Create{row_kind::Workspace,
                    edit_action::Create,
                    {{"name", "new"}, {"rate", "1"}, {"burst", "2"}}};
    config_table Latest = applied(Base, {Create});
    CPPUNIT_ASSERT(failed(checkMerge(Base, Latest, {"mine", {Create}})));
  });
  section("the platform returns an older table", [&] {
    config_table Latest = Base;
    Latest.Version = 6;
    CPPUNIT_ASSERT(failed(checkMerge(Base, Latest, Mine)));
  });
}

STORY(a_difference_of_tables_is_a_list_of_edits) {
  config_table From = smallTable();
  config_table To = From;
  To.Workspaces[1].Rate = 77;
  To.Weights.erase(To.Weights.begin());
  To.Links[0].BytesPerSecond = 5;
  To.Keys.push_back({"new", "vela", hashKey("new"), key_state::Active});
  auto Edits = diffTables(From, To);
  CPPUNIT_ASSERT_EQUAL(std::size_t(4), Edits.size());
  config_table Next = applied(From, Edits);
  CPPUNIT_ASSERT(Next.Workspaces == To.Workspaces);
  CPPUNIT_ASSERT(Next.Weights == To.Weights);
  CPPUNIT_ASSERT(Next.Links == To.Links);
  CPPUNIT_ASSERT(Next.Keys == To.Keys);
  CPPUNIT_ASSERT(diffTables(Next, To).empty());
}
