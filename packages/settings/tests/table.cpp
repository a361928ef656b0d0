#include "substrings.h"
#include "tables.h"

#include <magnoliaspread/story.h>

#include <functional>
#include <random>

using namespace magnoliaspread;

namespace {

struct fault_case {
  std::string What;
  std::function<void(config_table &)> Break;
  /// All of them occur in the message.
  std::vector<std::string> Substrings;
};

std::string replaced(std::string Text, const std::string &From,
                     const std::string &To) {
  std::size_t At = Text.find(From);
  CPPUNIT_ASSERT(At != Text.npos);
  return Text.replace(At, From.size(), To);
}

std::vector<fault_case> referenceCases() {
  return {
      {"a data centre in no region",
       [](auto &T) { T.DataCentres[0].Region = "braga"; },
       {"name=porto-1", "region", "braga", "faro, porto"}},
      {"a target of no service",
       [](auto &T) { T.Targets[1].Service = "ghost"; },
       {"name=calendar-2", "service", "ghost", "calendar, pages"}},
      {"a target in no data centre",
       [](auto &T) { T.Targets[1].DataCentre = "x"; },
       {"name=calendar-2", "data_centre", "\"x\""}},
      {"a key of no workspace",
       [](auto &T) { T.Keys[0].Workspace = "gone"; },
       {"id=aero-1", "workspace", "gone", "aero, club, vela"}},
      {"a weight for no workspace",
       [](auto &T) { T.Weights[2].Workspace = "gone"; },
       {"region=porto service=calendar workspace=gone", "workspace"}},
      {"a link to its own region",
       [](auto &T) { T.Links[0].To = "porto"; },
       {"from=porto to=porto", "another region"}},
      {"a shift of no service",
       [](auto &T) { T.Shifts[1].Service = "gone"; },
       {"service=gone", "calendar, pages"}},
  };
}

std::vector<fault_case> valueCases() {
  return {
      {"a sum of permille over 1000",
       [](auto &T) { T.DataCentres[0].QuotaPermille = 601; },
       {"quota_permille", "1001", "at most 1000"}},
      {"the same region twice",
       [](auto &T) { T.Regions[1].Name = "porto"; },
       {"regions", "name=porto", "twice"}},
      {"the same weight row twice",
       [](auto &T) { T.Weights[1] = T.Weights[0]; },
       {"weights", "region=porto service=calendar workspace=*", "twice"}},
      {"a prefix without a slash",
       [](auto &T) { T.Services[0].Prefix = "calendar"; },
       {"name=calendar", "prefix", "\"calendar\""}},
      {"two services with one prefix",
       [](auto &T) { T.Services[1].Prefix = "/calendar/"; },
       {"name=pages", "prefix"}},
      {"a host name instead of an address",
       [](auto &T) { T.Targets[0].Address = "localhost"; },
       {"address", "localhost", "IP number"}},
      {"two targets at one address",
       [](auto &T) {
         T.Targets[1].Port = 9001;
         T.Targets[1].Address = "127.0.0.1";
       },
       {"name=calendar-2", "9001", "name=calendar-1"}},
      {"a key's clear text instead of its hash",
       [](auto &T) { T.Keys[0].Hash = "one"; },
       {"id=aero-1", "hash", "64"}},
      {"two keys with one hash",
       [](auto &T) { T.Keys[1].Hash = T.Keys[0].Hash; },
       {"id=club-1", "hash"}},
      {"a negative rate",
       [](auto &T) { T.Workspaces[0].Rate = -1; },
       {"name=aero", "rate", "-1", "from 0 to"}},
      {"weights with a sum of 0",
       [](auto &T) { T.Weights[2].Weight = 0; },
       {"workspace=aero", "weight", "more than 0"}},
      {"a cap over 100 percent",
       [](auto &T) { T.Shifts[0].CapPercent = 101; },
       {"service=*", "cap_percent", "101", "from 0 to 100"}},
  };
}

void expectFaults(const std::vector<fault_case> &Cases) {
  for (const fault_case &Case : Cases) {
    config_table Table = smallTable();
    Case.Break(Table);
    status Checked = checkTable(Table);
    CPPUNIT_ASSERT_MESSAGE(Case.What, failed(Checked));
    CPPUNIT_ASSERT(errorOf(Checked).Kind == error_kind::BadTable);
    expectSubstrings(errorOf(Checked).Detail, Case.Substrings);
    CPPUNIT_ASSERT_MESSAGE(Case.What, failed(parseTable(formatTable(Table))));
  }
}

} // namespace

STORY(a_table_survives_a_json_round_trip) {
  config_table Table = smallTable();
  section("on one line", [&] {
    std::string Text = formatTable(Table);
    CPPUNIT_ASSERT(Text.find('\n') == Text.npos);
    auto Read = parseTable(Text);
    CPPUNIT_ASSERT_MESSAGE(failed(Read) ? errorOf(Read).Detail : "",
                           !failed(Read));
    CPPUNIT_ASSERT(valueOf(Read) == Table);
    CPPUNIT_ASSERT_EQUAL(Text, formatTable(valueOf(Read)));
  });
  section("and on one line for each row", [&] {
    auto Read = parseTable(formatTableRows(Table));
    CPPUNIT_ASSERT(!failed(Read) && valueOf(Read) == Table);
  });
  section("whatever the fractions are", [&] {
    std::mt19937_64 Random(20261204);
    std::uniform_real_distribution<double> Rate(0, 100000);
    for (int Step = 0; Step < 2000; ++Step) {
      Table.Workspaces[0].Rate = Rate(Random);
      auto Once = parseTable(formatTable(Table));
      CPPUNIT_ASSERT(!failed(Once));
      auto Twice = parseTable(formatTable(valueOf(Once)));
      CPPUNIT_ASSERT(!failed(Twice) && valueOf(Once) == valueOf(Twice));
    }
  });
}

STORY(a_bad_table_is_rejected_with_its_location) {
  section("a valid table passes",
          [&] { CPPUNIT_ASSERT(!failed(checkTable(smallTable()))); });
  section("dangling references", [&] { expectFaults(referenceCases()); });
  section("values, sums and duplicates", [&] { expectFaults(valueCases()); });
  section("wrong JSON", [&] {
    std::string Text = formatTable(smallTable());
    auto Expect = [&](const std::string &From, const std::string &To,
                      const std::vector<std::string> &Substrings) {
      auto Read = parseTable(replaced(Text, From, To));
      CPPUNIT_ASSERT_MESSAGE(To, failed(Read));
      expectSubstrings(errorOf(Read).Detail, Substrings);
    };
    Expect("\"slots\":4", "\"slots\":\"4\"",
           {"targets[0]", "slots", "\"4\"", "whole number"});
    Expect("\"slots\":4", "\"slots\":4.5", {"targets[0]", "slots"});
    Expect("\"slots\":4", "\"slotz\":4",
           {"targets[0]", "unknown field \"slotz\"", "slots"});
    Expect("\"port\":9001", "\"port\":70000", {"targets[0]", "port", "70000"});
    Expect("\"version\":7,", "", {"version", "missing"});
    Expect("\"state\":\"draining\"", "\"state\":\"gone\"",
           {"regions[1]", "state", "gone", "draining"});
    Expect("\"links\":[", "\"links\":[7,", {"links[0]", "7", "object"});
    Expect("{\"version\"", "{,\"version\"", {"line 1", "JSON"});
    CPPUNIT_ASSERT(failed(parseTable("")));
    CPPUNIT_ASSERT(failed(parseTable("[]")));
    CPPUNIT_ASSERT(failed(parseTable(Text + "x")));
    CPPUNIT_ASSERT(failed(parseTable(std::string(10000, '['))));
  });
}

STORY(a_key_in_place_of_its_hash_is_not_repeated) {
  config_table Table = smallTable();
  Table.Keys[0].Hash = "clear-key";
  for (const status &Checked :
       {checkTable(Table), status(errorOf(parseTable(formatTable(Table))))}) {
    CPPUNIT_ASSERT(failed(Checked));
    expectSubstrings(errorOf(Checked).Detail, {"hash", "64"});
    CPPUNIT_ASSERT(errorOf(Checked).Detail.find("clear-key") ==
                   std::string::npos);
  }
}

STORY(keys_are_hashed_as_blake2b_256) {
  // RFC 7693 does not list this digest; it is BLAKE2b-256 of "abc".
  CPPUNIT_ASSERT_EQUAL(std::string("bddd813c634239723171ef3fee98579b"
                                   "94964e3bb1cb3e427262c8c068d52319"),
                       hashKey("abc"));
}
