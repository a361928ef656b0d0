#include "cli_bench.h"
#include "page_server.h"

#include <boost/json.hpp>

using namespace magnoliaspread;

namespace {

const std::string Slo =
    R"({"windows":[{"seconds":300,"covered_seconds":300,"rows":[
{"workspace":"aero","service":"calendar","good":90,"slow":0,"failed":10,
"refused_within_rate":0,"refused":5,"abandoned":0}]},
{"seconds":3600,"covered_seconds":3600,"rows":[
{"workspace":"aero","service":"calendar","good":90,"slow":0,"failed":10,
"refused_within_rate":0,"refused":5,"abandoned":0}]}]})";

} // namespace

STORY(instances_are_queried_over_http) {
  page_server First(
      {{"/status", R"({"name":"a","config_version":7})"},
       {"/slo", Slo},
       {"/v1/lookup?service=calendar&client=10.0.0.1", R"({"instances":[]})"}});
  page_server Second(
      {{"/status", R"({"name":"b","config_version":7})"}, {"/slo", Slo}});
  page_server Broken({{"/status", "silent"}, {"/slo", "{}"}});
  bench Bench;
  section("all answer", [&] {
    Bench.expect(exit_code::Ok, {"status", "--instances",
                                 First.address() + "," + Second.address()});
    CPPUNIT_ASSERT(contains(Bench.Out.str(), "name=b config_version=7"));
    CPPUNIT_ASSERT(contains(Bench.Out.str(), "instances=2 answered=2"));
  });
  section("one doesn't answer", [&] {
    Bench.expect(exit_code::Refused,
                 {"status", "--json", "--timeout-ms", "200", "--instances",
                  First.address() + "," + Broken.address()});
    CPPUNIT_ASSERT(contains(Bench.Out.str(), "\"answered\":1"));
    CPPUNIT_ASSERT(contains(Bench.Out.str(), "peer_unreachable"));
  });
  section("the platform lists them", [&] {
    std::string Port = First.address().substr(First.address().find(':') + 1);
    Bench.Platform.Objects.put(
        {"instances/a",
         R"({"admin":{"address":"127.0.0.1","port":)" + Port + "}}",
         {}});
    Bench.expect(exit_code::Ok, {"status"});
    CPPUNIT_ASSERT(contains(Bench.Out.str(), "instances=1 answered=1"));
  });
  section("the burn report sums over all instances", [&] {
    Bench.expect(exit_code::Ok, {"--json", "report", "burn", "--instances",
                                 First.address() + "," + Second.address()});
    auto Json = boost::json::parse(Bench.Out.str());
    const auto &Row = Json.at("rows").at(0);
    CPPUNIT_ASSERT(Row.at("alert").as_bool());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(100, Row.at("burn_1h").to_number<double>(),
                                 1e-6);
    CPPUNIT_ASSERT_EQUAL(
        std::int64_t(20),
        Row.at("counts_1h").at("failed").to_number<std::int64_t>());
  });
  section("and reports a missing instance", [&] {
    Bench.expect(exit_code::Refused,
                 {"report", "burn", "--instances",
                  First.address() + "," + Broken.address()});
    CPPUNIT_ASSERT(contains(Bench.Err.str(), Broken.address()));
    CPPUNIT_ASSERT(contains(Bench.Out.str(), "instances=1"));
  });
  section("a look-up prints the answer", [&] {
    Bench.expect(exit_code::Ok, {"look-up", "--service", "calendar", "--client",
                                 "10.0.0.1", "--instance", First.address()});
    CPPUNIT_ASSERT_EQUAL(std::string("{\"instances\":[]}\n"), Bench.Out.str());
    Bench.expect(exit_code::Refused, {"look-up", "--service", "a b",
                                      "--instance", First.address()});
  });
}
