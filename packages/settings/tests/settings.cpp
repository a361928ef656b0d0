#include "substrings.h"

#include <magnoliaspread/settings.h>

#include <magnoliaspread/story.h>

using namespace magnoliaspread;

namespace {

const std::string Secret(64, 'a');

std::string validSettings() {
  return R"({"name":"porto-1-a","region":"porto","data_centre":"porto-1",
"public":{"address":"127.0.0.1","port":21000},
"internal":{"address":"127.0.0.1","port":21001},
"admin":{"address":"::1","port":21002},
"platform":{"address":"127.0.0.1","port":21900},
"traffic_threads":1,"lookup_ttl_ms":1500,"lease_ttl_ms":8000,
"peers":[{"name":"faro-1-a","region":"faro","data_centre":"faro-1",
"internal":{"address":"127.0.0.1","port":21011},
"public":{"address":"127.0.0.1","port":21010}}],
"fleet_secret":")" +
         Secret + "\"}";
}

std::string validSettingsWith(const std::string &From, const std::string &To) {
  std::string Text = validSettings();
  std::size_t At = Text.find(From);
  CPPUNIT_ASSERT_MESSAGE(From, At != Text.npos);
  return Text.replace(At, From.size(), To);
}

void expectFault(const std::string &Json,
                 const std::vector<std::string> &Substrings) {
  auto Read = parseSettings(Json, "porto.json");
  CPPUNIT_ASSERT(failed(Read));
  CPPUNIT_ASSERT(errorOf(Read).Kind == error_kind::BadSettings);
  const std::string &Text = errorOf(Read).Detail;
  CPPUNIT_ASSERT_EQUAL(std::string("porto.json"), Text.substr(0, 10));
  expectSubstrings(Text, Substrings);
}

} // namespace

STORY(an_instance_reads_its_settings) {
  auto Read = parseSettings(validSettings(), "porto.json");
  CPPUNIT_ASSERT_MESSAGE(failed(Read) ? errorOf(Read).Detail : "",
                         !failed(Read));
  const instance_settings &Settings = valueOf(Read);
  section("with the values of the file", [&] {
    CPPUNIT_ASSERT_EQUAL(std::string("porto-1"), Settings.DataCentre);
    CPPUNIT_ASSERT(Settings.Admin == (endpoint_address{"::1", 21002}));
    CPPUNIT_ASSERT(Settings.LookupTtl == std::chrono::milliseconds(1500));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Settings.Peers.size());
    CPPUNIT_ASSERT_EQUAL(std::string("faro"), Settings.Peers[0].Region);
    CPPUNIT_ASSERT_EQUAL(std::uint16_t(21010), Settings.Peers[0].Public.Port);
  });
  section("and the defaults for the rest", [&] {
    CPPUNIT_ASSERT(Settings.ControlTick == std::chrono::milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(16384), Settings.MaxHeaderBytes);
  });
}

STORY(pipelining_is_off_unless_set) {
  const auto Gateway = [](const std::string &Pipelining) {
    return validSettingsWith(
        "\"traffic_threads\":1,",
        "\"gateway\":{\"directory\":\"127.0.0.1:1\",\"ready\":\"127.0.0.1:2\","
        "\"data_centres\":{\"porto-1\":\"porto\"}" +
            Pipelining + "},");
  };
  section("one request at a time by default", [&] {
    const auto Read = parseSettings(Gateway(""), "porto.json");
    CPPUNIT_ASSERT(!failed(Read));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         valueOf(Read).Gateway->PipelinedRequests);
  });
  section("with the bounds of the file", [&] {
    const auto Read = parseSettings(
        Gateway(",\"pipelining\":{\"requests\":8,\"bytes\":65536}"),
        "porto.json");
    CPPUNIT_ASSERT(!failed(Read));
    CPPUNIT_ASSERT_EQUAL(std::size_t(8),
                         valueOf(Read).Gateway->PipelinedRequests);
    CPPUNIT_ASSERT_EQUAL(std::size_t(65536),
                         valueOf(Read).Gateway->PipelinedBytes);
  });
  section("and a wrong bound is named", [&] {
    expectFault(Gateway(",\"pipelining\":{\"requests\":0}"),
                {"gateway.pipelining", "requests", "0"});
  });
}

// The bound on shifts between regions has to come from the deployment.
STORY(placement_by_demand_is_off_unless_set) {
  const auto With = [](const std::string &Fields) {
    return validSettingsWith(
        "\"traffic_threads\":1",
        R"("gateway":{"directory":"127.0.0.1:1","ready":"127.0.0.1:2",
"data_centres":{"porto-1":"porto"})" +
            Fields + R"(},"traffic_threads":1)");
  };
  const auto ShiftOf = [](const std::string &Json) {
    const auto Read = parseSettings(Json, "porto.json");
    CPPUNIT_ASSERT_MESSAGE(failed(Read) ? errorOf(Read).Detail : "",
                           !failed(Read));
    return valueOf(Read).Gateway->MaxRegionShift;
  };
  CPPUNIT_ASSERT_EQUAL(0.0, ShiftOf(With("")));
  CPPUNIT_ASSERT_EQUAL(0.15, ShiftOf(With(R"(,"demand":{"max_shift":0.15})")));
  expectFault(With(R"(,"demand":{"max_shift":1.5})"), {"max_shift", "1.5"});
  expectFault(With(R"(,"demand":{})"), {"max_shift", "missing"});
}

// Failure: affinity switched on, or bounded wrongly, by mistake.
STORY(affinity_is_off_unless_its_object_switches_it_on) {
  const auto With = [](const std::string &Affinity) {
    return validSettingsWith(
        "\"traffic_threads\"",
        R"("gateway":{"directory":"127.0.0.1:1","ready":"127.0.0.1:2",
"data_centres":{"porto-1":"porto"})" +
            Affinity + "},\"traffic_threads\"");
  };
  const auto Read = [&](const std::string &Affinity) {
    auto Settings = parseSettings(With(Affinity), "porto.json");
    CPPUNIT_ASSERT_MESSAGE(failed(Settings) ? errorOf(Settings).Detail : "",
                           !failed(Settings));
    return valueOf(Settings).Gateway->Affinity;
  };
  section("off by default", [&] { CPPUNIT_ASSERT(!Read("").Enabled); });
  section("on with its object", [&] {
    const affinity_settings On = Read(R"(,"affinity":{"load_factor":2})");
    CPPUNIT_ASSERT(On.Enabled);
    CPPUNIT_ASSERT_EQUAL(2.0, On.LoadFactor);
    CPPUNIT_ASSERT_EQUAL(0.15, On.LeastGain);
  });
  section("off if that says so", [&] {
    CPPUNIT_ASSERT(!Read(R"(,"affinity":{"enabled":false})").Enabled);
  });
  section("a factor below the fair part is rejected", [&] {
    expectFault(With(R"(,"affinity":{"load_factor":0.5})"), {"load_factor"});
  });
}

// Failure: admission by forecast switched on by mistake.
STORY(admission_by_forecast_is_off_unless_its_object_switches_it_on) {
  const auto With = [](const std::string &Admission) {
    return validSettingsWith(
        "\"traffic_threads\"",
        R"("gateway":{"directory":"127.0.0.1:1","ready":"127.0.0.1:2",
"data_centres":{"porto-1":"porto"})" +
            Admission + "},\"traffic_threads\"");
  };
  const auto IsOn = [&](const std::string &Admission) {
    const auto Settings = parseSettings(With(Admission), "porto.json");
    CPPUNIT_ASSERT_MESSAGE(failed(Settings) ? errorOf(Settings).Detail : "",
                           !failed(Settings));
    return valueOf(Settings).Gateway->ForecastAdmission;
  };
  section("off by default", [&] { CPPUNIT_ASSERT(!IsOn("")); });
  section("on with its object",
          [&] { CPPUNIT_ASSERT(IsOn(R"(,"admission":{})")); });
  section("off if that says so",
          [&] { CPPUNIT_ASSERT(!IsOn(R"(,"admission":{"enabled":false})")); });
  section("an unknown field is rejected", [&] {
    expectFault(With(R"(,"admission":{"quantile":0.9})"), {"quantile"});
  });
}

// Failure: a cost of crossing where none was set, or one that isn't a cost.
STORY(crossing_costs_nothing_unless_set) {
  const auto With = [](const std::string &Crossing) {
    return validSettingsWith(
        "\"traffic_threads\":1",
        "\"gateway\":{\"directory\":\"127.0.0.1:1\",\"ready\":"
        "\"127.0.0.1:2\",\"data_centres\":{\"porto-1\":\"porto\"}" +
            Crossing + "}");
  };
  const auto None = parseSettings(With(""), "porto.json");
  CPPUNIT_ASSERT_MESSAGE(failed(None) ? errorOf(None).Detail : "",
                         !failed(None));
  CPPUNIT_ASSERT(valueOf(None).Gateway->DataCentreCrossing.count() == 0);
  CPPUNIT_ASSERT(valueOf(None).Gateway->RegionCrossing.count() == 0);
  const auto Some =
      parseSettings(With(",\"crossing\":{\"data_centre_ms_per_mb\":900,"
                         "\"region_ms_per_mb\":1800}"),
                    "porto.json");
  CPPUNIT_ASSERT_MESSAGE(failed(Some) ? errorOf(Some).Detail : "",
                         !failed(Some));
  CPPUNIT_ASSERT(valueOf(Some).Gateway->DataCentreCrossing ==
                 std::chrono::milliseconds(900));
  CPPUNIT_ASSERT(valueOf(Some).Gateway->RegionCrossing ==
                 std::chrono::milliseconds(1800));
  expectFault(With(",\"crossing\":{\"data_centre_ms_per_mb\":-1}"),
              {"crossing", "data_centre_ms_per_mb", "-1"});
  expectFault(With(",\"crossing\":{\"target_ms_per_mb\":1}"),
              {"crossing", "target_ms_per_mb"});
}

STORY(wrong_settings_name_their_file_and_field) {
  section("types and ranges", [&] {
    expectFault(validSettingsWith("\"port\":21000", "\"port\":70000"),
                {"public", "port", "70000", "65535"});
    expectFault(validSettingsWith("\"lookup_ttl_ms\":1500",
                                  "\"lookup_ttl_ms\":\"1500\""),
                {"lookup_ttl_ms", "\"1500\"", "milliseconds"});
    expectFault(
        validSettingsWith("\"traffic_threads\":1", "\"traffic_threads\":0"),
        {"traffic_threads", " 0,", "from 1"});
    expectFault(validSettingsWith("\"address\":\"127.0.0.1\"",
                                  "\"address\":\"localhost\""),
                {"public", "address", "localhost", "IP number"});
  });
  section("fields", [&] {
    expectFault(validSettingsWith("\"lease_ttl_ms\"", "\"lease_ttl\""),
                {"unknown field \"lease_ttl\"", "lease_ttl_ms"});
    expectFault(validSettingsWith("\"region\":\"porto\",", ""),
                {"region", "missing"});
    expectFault(validSettingsWith("\"name\":\"faro-1-a\",", ""),
                {"peers[0]", "name", "missing"});
    expectFault("{", {"line 1"});
    expectFault("7", {"7", "object"});
  });
  section("secrets, without showing them", [&] {
    expectFault(validSettingsWith(Secret, "0badsecret"),
                {"fleet_secret", "64 hex"});
    auto Read = parseSettings(validSettingsWith(Secret, "0badsecret"), "x");
    CPPUNIT_ASSERT(errorOf(Read).Detail.find("0badsecret") ==
                   std::string::npos);
    Read = parseSettings(validSettingsWith("\"" + Secret + "\"", "123456789"),
                         "x");
    CPPUNIT_ASSERT(errorOf(Read).Detail.find("123456789") == std::string::npos);
    expectFault(
        validSettingsWith("\"fleet_secret\":\"" + Secret + "\"",
                          "\"fleet_secret_file\":\"/nonexistent/secret\""),
        {"fleet_secret_file", "/nonexistent/secret"});
  });
  section("a file that is not there", [&] {
    auto Read = loadSettings("/nonexistent/porto.json");
    CPPUNIT_ASSERT(failed(Read));
    CPPUNIT_ASSERT(errorOf(Read).Detail.find("/nonexistent/porto.json") !=
                   std::string::npos);
  });
}
