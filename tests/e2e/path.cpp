/// Property: a request passes through separate processes from look-up to
/// answer, and bad input is refused.
#include "fleet.h"

#include <magnoliaspread/story.h>

using namespace magnoliaspread;

namespace {

http_call workCall(const std::string &Key, const std::string &Target) {
  http_call Call;
  Call.Target = Target;
  if (!Key.empty())
    Call.Fields["X-Api-Key"] = Key;
  Call.Fields["X-Nonce"] = "nonce-1";
  return Call;
}

std::string field(const http_answer &Answer, const char *Name) {
  const auto Found = Answer.Fields.find(Name);
  return Found == Answer.Fields.end() ? "" : Found->second;
}

} // namespace

STORY(whole_path) {
  fleet Fleet{fleet_plan{}};
  const std::string Alpha = fleet::keyOf("alpha");

  section("a caller asks any instance which instances to use", [&] {
    for (const fleet_instance &Instance : Fleet.Instances) {
      const auto Answer = call(Instance.Public, {.Target = "/v1/lookup"});
      CPPUNIT_ASSERT_EQUAL(200U, Answer.Status);
      CPPUNIT_ASSERT(Answer.json().at("ttl_ms").as_int64() > 0);
      CPPUNIT_ASSERT(!Answer.json().at("instances").as_array().empty());
    }
  });

  const std::uint16_t Port = Fleet.Instances[0].Public;
  section("its request gets the target's whole answer", [&] {
    http_call Call = workCall(Alpha, "/jobs/item?size=100000");
    Call.Method = "POST";
    Call.Body = std::string(300000, 'b');
    const auto Answer = call(Port, Call);
    CPPUNIT_ASSERT_EQUAL(200U, Answer.Status);
    CPPUNIT_ASSERT(Answer.Body.size() > 100000);
    CPPUNIT_ASSERT(Answer.Body.find("\"bytes\":300000") != std::string::npos);
    CPPUNIT_ASSERT(Answer.Body.find("\"workspace\":\"alpha\"") !=
                   std::string::npos);
  });

  section("the key never reaches the target", [&] {
    http_call Call = workCall({}, "/jobs/item");
    Call.Fields["Authorization"] = "Bearer " + Alpha;
    CPPUNIT_ASSERT_EQUAL(200U, call(Port, Call).Status);
    CPPUNIT_ASSERT_EQUAL(
        std::uint64_t(0),
        Fleet.record().at("keys_seen").to_number<std::uint64_t>());
  });

  section("the workspace comes from the key, not from the caller", [&] {
    http_call Call = workCall(Alpha, "/jobs/item");
    Call.Fields["X-Workspace"] = "beta";
    CPPUNIT_ASSERT(call(Port, Call).Body.find("\"workspace\":\"alpha\"") !=
                   std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), Fleet.runsOf("beta"));
  });

  section("an open route needs no key", [&] {
    CPPUNIT_ASSERT_EQUAL(200U, call(Port, workCall({}, "/open/page")).Status);
  });
}

STORY(bad_input) {
  const fleet Fleet{fleet_plan{}};
  const std::string Alpha = fleet::keyOf("alpha");
  const std::uint16_t Port = Fleet.Instances[0].Public;

  section("bad input is refused as not run", [&] {
    const auto Missing = call(Port, workCall({}, "/jobs/item"));
    CPPUNIT_ASSERT_EQUAL(401U, Missing.Status);
    CPPUNIT_ASSERT_EQUAL(std::string("key_missing"), field(Missing, "X-Error"));
    CPPUNIT_ASSERT_EQUAL(std::string("not_run"), field(Missing, "X-Run-State"));
    CPPUNIT_ASSERT_EQUAL(
        std::string("key_unknown"),
        field(call(Port, workCall("wrong", "/jobs/item")), "X-Error"));
    CPPUNIT_ASSERT_EQUAL(
        std::string("unknown_route"),
        field(call(Port, workCall(Alpha, "/nowhere")), "X-Error"));
    http_call Late = workCall(Alpha, "/jobs/item");
    Late.Fields["X-Deadline-Ms"] = "0";
    CPPUNIT_ASSERT_EQUAL(std::string("deadline_expired"),
                         field(call(Port, Late), "X-Error"));
    http_call Large = workCall(Alpha, "/jobs/item");
    Large.Fields["X-Large"] = std::string(20000, 'x');
    CPPUNIT_ASSERT_EQUAL(std::string("header_too_large"),
                         field(call(Port, Large), "X-Error"));
    CPPUNIT_ASSERT(exchangeRaw(Port, "NONSENSE\r\n\r\n").find("bad_request") !=
                   std::string::npos);
  });

  section("a path that leaves its route with .. is refused", [&] {
    const auto Answer = call(Port, workCall({}, "/open/../jobs/item"));
    CPPUNIT_ASSERT_EQUAL(std::string("bad_request"), field(Answer, "X-Error"));
  });

  section("the internal port accepts only requests signed by the fleet", [&] {
    http_call Forged = workCall({}, "/jobs/item");
    Forged.Fields["X-Fleet-Workspace"] = "alpha";
    Forged.Fields["X-Fleet-Service"] = "work";
    Forged.Fields["X-Fleet-Signature"] = std::string(64, '0');
    const auto Answer = call(Fleet.Instances[0].Internal, Forged);
    CPPUNIT_ASSERT_EQUAL(std::string("peer_rejected"),
                         field(Answer, "X-Error"));
  });
}
