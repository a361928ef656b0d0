#include "cli_bench.h"

#include <boost/json.hpp>

using namespace magnoliaspread;

namespace {

const std::string Example = EXAMPLES_DIR "/ventania/table.json";

std::string replaced(std::string Text, const std::string &From,
                     const std::string &To) {
  std::size_t At = Text.find(From);
  CPPUNIT_ASSERT_MESSAGE(From, At != Text.npos);
  return Text.replace(At, From.size(), To);
}

} // namespace

STORY(the_command_line_says_how_it_is_used) {
  bench Bench;
  Bench.expect(exit_code::Ok, {"--help"});
  CPPUNIT_ASSERT(contains(Bench.Out.str(), "Exit codes"));
  Bench.expect(exit_code::Ok, {"--version"});
  Bench.expect(exit_code::Usage, {"--nonsense"});
  Bench.expect(exit_code::Usage, {"table"});
  Bench.expect(exit_code::Usage, {"table", "edit", "weight", "x=1"});
  Bench.expect(exit_code::Usage, {"table", "edit", "weights", "x"});
  Bench.expect(exit_code::Usage, {"table", "export", "--format", "csv"});
  Bench.expect(exit_code::Usage, {"table", "show", "--platform", "nowhere"});
}

STORY(files_are_checked_without_the_platform) {
  bench Bench;
  Bench.expect(exit_code::Ok, {"check", "table", Example});
  std::string Bad = Bench.write("bad.json", "{\"version\":1,\"regoins\":[]}");
  Bench.expect(exit_code::Refused, {"check", "table", Bad});
  CPPUNIT_ASSERT(contains(Bench.Err.str(), "regoins"));
  CPPUNIT_ASSERT(contains(Bench.Err.str(), Bad));
  Bench.expect(exit_code::Refused, {"check", "settings", Bad});
  Bench.expect(
      exit_code::Ok,
      {"check", "settings", EXAMPLES_DIR "/ventania/instances/faro-1-a.json"});
}

STORY(policies_are_compared_in_a_model) {
  bench Bench;
  const std::string Load =
      Bench.write("load.json", R"({"length_ms":500,"regions":[{"name":"north"}],
        "pools":[{"service":"calendar","region":"north","targets":4}],
        "kinds":[{"name":"read","service":"calendar","rate":20}]})");
  section("each policy has a row", [&] {
    Bench.expect(exit_code::Ok, {"model", Load});
    for (const char *Name : {"holders", "least_loaded", "spilling"})
      CPPUNIT_ASSERT(contains(Bench.Out.str(), Name));
  });
  section("some policies, fields and seeds can be chosen", [&] {
    Bench.expect(exit_code::Ok,
                 {"--json", "model", Load, "--policy", "holders", "--set",
                  "late_part=0.2,ahead=0", "--seed", "7", "--runs", "2"});
    CPPUNIT_ASSERT(contains(Bench.Out.str(), "\"seed\":8"));
  });
  section("unknown names are refused", [&] {
    Bench.expect(exit_code::Usage, {"model", Load, "--policy", "best"});
    Bench.expect(exit_code::Refused, {"model", Load, "--set", "luck=1"});
    Bench.expect(exit_code::Refused, {"model", Load + ".none"});
  });
}

STORY(an_operator_edits_the_table) {
  bench Bench;
  section("the first import creates it", [&] {
    Bench.expect(exit_code::Ok, {"table", "import", Example});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), Bench.table().Version);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(0), Bench.table().Origin.StartedAtMs);
  });
  section("a row is set, and a ramp starts", [&] {
    Bench.expect(exit_code::Ok, {"table", "edit", "weights", "region=porto",
                                 "service=calendar", "weight=3"});
    config_table Table = Bench.table();
    CPPUNIT_ASSERT_EQUAL(3.0, Table.Weights.back().Weight);
    CPPUNIT_ASSERT(Table.Origin.StartedAtMs > 0);
  });
  section("a bad value changes nothing", [&] {
    Bench.expect(exit_code::Refused,
                 {"table", "edit", "weights", "region=porto",
                  "service=calendar", "weight=-1"});
    CPPUNIT_ASSERT(contains(Bench.Err.str(), "from 0 to"));
    Bench.expect(exit_code::Refused,
                 {"--json", "table", "edit", "regions", "name=porto", "a=b"});
    CPPUNIT_ASSERT(contains(Bench.Out.str(), "\"kind\":\"bad_table\""));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), Bench.table().Version);
  });
  section("an edit repeated by its id takes effect once", [&] {
    for (int Time = 0; Time < 2; ++Time)
      Bench.expect(exit_code::Ok, {"table", "edit", "workspaces", "name=vigo",
                                   "rate=21", "--edit-id", "my-edit"});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), Bench.table().Version);
  });
  section("a row is removed", [&] {
    Bench.expect(exit_code::Ok, {"table", "edit", "weights", "region=porto",
                                 "service=calendar", "--remove"});
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Bench.table().Weights.size());
  });
  section("another version than the operator saw is a conflict", [&] {
    Bench.expect(exit_code::Conflict,
                 {"table", "edit", "workspaces", "name=vigo", "rate=9",
                  "--if-version", "3"});
    Bench.expect(exit_code::Ok, {"table", "edit", "workspaces", "name=vigo",
                                 "rate=9", "--if-version", "4"});
  });
}

STORY(spreadsheets_are_exported_and_imported) {
  bench Bench;
  Bench.expect(exit_code::Ok, {"table", "import", Example});
  std::string Base = Bench.path("base.csv");
  Bench.expect(exit_code::Ok, {"table", "export", "--format", "csv", "--kind",
                               "workspaces", Base});
  CPPUNIT_ASSERT_EQUAL(std::string("version=1\n"), Bench.Err.str());
  std::string Changed = Bench.write(
      "new.csv", replaced(Bench.read("base.csv"), "vigo,20,40", "vigo,25,50"));
  std::vector<std::string> Import = {"table",  "import",     "--format", "csv",
                                     "--kind", "workspaces", Changed};
  auto With = [&](const std::string &Option, const std::string &Value) {
    std::vector<std::string> All = Import;
    All.insert(All.end(), {Option, Value});
    return All;
  };
  section("not without saying what it was made from",
          [&] { Bench.expect(exit_code::Refused, Import); });
  section("beside another operator's edit of another row", [&] {
    Bench.expect(exit_code::Ok,
                 {"table", "edit", "workspaces", "name=braga", "rate=99"});
    Bench.expect(exit_code::Conflict, With("--if-version", "1"));
    Bench.expect(exit_code::Ok, With("--base", Base));
    config_table Table = Bench.table();
    CPPUNIT_ASSERT_EQUAL(25.0, Table.Workspaces.back().Rate);
    CPPUNIT_ASSERT_EQUAL(99.0, Table.Workspaces[6].Rate);
  });
  section("twice without a new version", [&] {
    Bench.expect(exit_code::Ok, With("--base", Base));
    CPPUNIT_ASSERT(contains(Bench.Out.str(), "unchanged version=3"));
  });
  section("but not over another's edit of the same row", [&] {
    Bench.expect(exit_code::Ok,
                 {"table", "edit", "workspaces", "name=vigo", "rate=77"});
    Bench.expect(exit_code::Conflict, With("--base", Base));
    CPPUNIT_ASSERT(contains(Bench.Err.str(), "name=vigo rate=77"));
    CPPUNIT_ASSERT_EQUAL(77.0, Bench.table().Workspaces.back().Rate);
  });
}

STORY(a_whole_table_is_exported_and_imported) {
  bench Bench;
  Bench.expect(exit_code::Ok, {"table", "import", Example});
  std::string Base = Bench.path("base.json");
  Bench.expect(exit_code::Ok, {"table", "export", Base});
  std::string Changed =
      Bench.write("new.json", replaced(Bench.read("base.json"),
                                       "\"name\":\"vigo\",\"rate\":20",
                                       "\"name\":\"vigo\",\"rate\":25"));
  Bench.expect(exit_code::Ok,
               {"table", "edit", "workspaces", "name=braga", "rate=99"});
  section("not over versions that it was not made from", [&] {
    Bench.expect(exit_code::Conflict, {"table", "import", Changed});
  });
  section("with its base, beside other edits", [&] {
    Bench.expect(exit_code::Ok, {"table", "import", Changed, "--base", Base});
    CPPUNIT_ASSERT_EQUAL(25.0, Bench.table().Workspaces.back().Rate);
    CPPUNIT_ASSERT_EQUAL(99.0, Bench.table().Workspaces[6].Rate);
  });
  section("but not over another's edit of the same row", [&] {
    Bench.expect(exit_code::Ok,
                 {"table", "edit", "workspaces", "name=vigo", "rate=77"});
    Bench.expect(exit_code::Conflict,
                 {"table", "import", Changed, "--base", Base});
    CPPUNIT_ASSERT_EQUAL(77.0, Bench.table().Workspaces.back().Rate);
  });
}

STORY(keys_workspaces_and_drains) {
  bench Bench;
  Bench.expect(exit_code::Ok, {"table", "import", Example});
  section("a key is shown once and stored as a hash", [&] {
    Bench.expect(exit_code::Ok,
                 {"--json", "key", "issue", "vigo", "--id", "vigo-new"});
    auto Json = boost::json::parse(Bench.Out.str());
    std::string Key(Json.at("key").as_string());
    config_table Table = Bench.table();
    CPPUNIT_ASSERT_EQUAL(std::string("vigo-new"), Table.Keys.back().Id);
    CPPUNIT_ASSERT_EQUAL(hashKey(Key), Table.Keys.back().Hash);
    Bench.expect(exit_code::Ok, {"table", "show"});
    CPPUNIT_ASSERT(!contains(Bench.Out.str(), Key));
  });
  section("and withdrawn", [&] {
    Bench.expect(exit_code::Ok, {"key", "withdraw", "vigo-new"});
    CPPUNIT_ASSERT(Bench.table().Keys.back().State == key_state::Withdrawn);
    Bench.expect(exit_code::Refused, {"key", "withdraw", "unknown"});
  });
  section("a workspace is created, and removed with its keys", [&] {
    Bench.expect(exit_code::Ok, {"workspace", "create", "tavira", "--rate", "5",
                                 "--burst", "10"});
    Bench.expect(exit_code::Refused, {"workspace", "create", "tavira", "--rate",
                                      "5", "--burst", "10"});
    Bench.expect(exit_code::Ok, {"key", "issue", "tavira"});
    Bench.expect(exit_code::Ok, {"workspace", "remove", "tavira"});
    CPPUNIT_ASSERT_EQUAL(std::size_t(8), Bench.table().Workspaces.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(10), Bench.table().Keys.size());
  });
  section("a target is drained with the others at its address", [&] {
    Bench.expect(exit_code::Ok, {"drain", "target", "pages-lisboa-1-1"});
    unsigned Draining = 0;
    for (const target_row &R : Bench.table().Targets)
      Draining += R.State == drain_state::Draining ? 1 : 0;
    CPPUNIT_ASSERT_EQUAL(2u, Draining);
    Bench.expect(exit_code::Refused, {"drain", "target", "unknown"});
  });
  section("data centres and regions are drained and undrained", [&] {
    Bench.expect(exit_code::Ok, {"drain", "data-centre", "faro-1"});
    Bench.expect(exit_code::Ok, {"drain", "region", "faro"});
    CPPUNIT_ASSERT(Bench.table().Regions.back().State == drain_state::Draining);
    Bench.expect(exit_code::Ok, {"undrain", "region", "faro"});
    CPPUNIT_ASSERT(Bench.table().Regions.back().State == drain_state::Active);
  });
}

STORY(faults_of_the_platform_end_with_the_right_code) {
  bench Bench;
  Bench.expect(exit_code::Ok, {"table", "import", Example});
  section("lost answers don't lose or duplicate edits", [&] {
    memory_store_faults Faults;
    Faults.LoseAnswers = 0.5;
    Bench.Platform.setFaults(Faults);
    for (int Edit = 0; Edit < 20; ++Edit)
      Bench.expect(exit_code::Ok, {"table", "edit", "workspaces", "name=vigo",
                                   "rate=" + std::to_string(100 + Edit)});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(21), Bench.table().Version);
  });
  section("a platform that is down", [&] {
    memory_store_faults Faults;
    Faults.Down = true;
    Bench.Platform.setFaults(Faults);
    Bench.expect(exit_code::Unavailable, {"table", "show"});
    Bench.expect(exit_code::Unavailable, {"key", "issue", "vigo"});
    CPPUNIT_ASSERT(!contains(Bench.Out.str(), "key="));
    Bench.expect(exit_code::Unavailable, {"status"});
  });
  section("instances that don't answer", [&] {
    Bench.expect(exit_code::Refused, {"status", "--instances", "127.0.0.1:1"});
    CPPUNIT_ASSERT(contains(Bench.Out.str(), "answered=0"));
    Bench.expect(exit_code::Refused, {"status", "--instances", "porto"});
    Bench.expect(exit_code::Refused, {"look-up", "--service", "calendar",
                                      "--instance", "127.0.0.1:1"});
  });
}
