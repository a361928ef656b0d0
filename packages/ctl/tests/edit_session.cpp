#include "race.h"

#include <magnoliaspread/story.h>

using namespace magnoliaspread;

namespace {

constexpr std::uint64_t FirstSeed = 1;
constexpr std::uint64_t Seeds = 50;
/// Enough for the faulty tools to fail.
constexpr std::uint64_t FewSeeds = 5;

/// Runs every seed; returns the sum of the reports and the first fault.
race_report runSeeds(race_tool Tool, std::uint64_t Count) {
  race_report Sum;
  for (std::uint64_t Seed = FirstSeed; Seed < FirstSeed + Count; ++Seed) {
    race_settings Settings;
    Settings.Seed = Seed;
    Settings.Tool = Tool;
    race_report Report = runRace(Settings);
    Sum.Succeeded += Report.Succeeded;
    Sum.Conflicts += Report.Conflicts;
    Sum.Unknown += Report.Unknown;
    Sum.Merged += Report.Merged;
    if (Sum.Fault.empty() && !Report.Fault.empty())
      Sum.Fault = "seed " + std::to_string(Seed) + ": " + Report.Fault;
  }
  return Sum;
}

edit_request makeRequest(const std::string &Id, const std::string &Rate) {
  edit_request Request;
  Request.Id = Id;
  Request.Plan = [Rate](const config_table &) -> result<std::vector<row_edit>> {
    return std::vector<row_edit>{
        {row_kind::Workspace,
         edit_action::Set,
         {{"name", "w"}, {"rate", Rate}, {"burst", "1"}}}};
  };
  return Request;
}

stored_object stored(const config_table &Table) {
  return {TableObject, Table.Version + 100, formatTable(Table)};
}

const error Lost{error_kind::PlatformUnavailable, "no answer", {}};
const wall_time Noon{std::chrono::hours(12)};

} // namespace

STORY(racing_operators_lose_no_edit) {
  section("last writer wins does", [&] {
    CPPUNIT_ASSERT(
        !runSeeds(race_tool::LastWriterWins, FewSeeds).Fault.empty());
  });
  section("retrying a write without an answer duplicates edits", [&] {
    CPPUNIT_ASSERT(!runSeeds(race_tool::BlindRetry, FewSeeds).Fault.empty());
  });
  section("edit sessions lose no edit that they report", [&] {
    race_report Report = runSeeds(race_tool::Session, Seeds);
    CPPUNIT_ASSERT_EQUAL(std::string(), Report.Fault);
    CPPUNIT_ASSERT(Report.Merged > 0);
    CPPUNIT_ASSERT(Report.Conflicts > 0);
    CPPUNIT_ASSERT_EQUAL(0u, Report.Unknown);
  });
}

STORY(one_edit_ends_with_a_known_outcome) {
  config_table Empty;
  Empty.Version = 4;
  section("the first table is created", [&] {
    edit_session Session(makeRequest("e1", "5"));
    Session.onRead(error{error_kind::NotFound, "", {}}, Noon);
    CPPUNIT_ASSERT(Session.step() == edit_step::Write);
    CPPUNIT_ASSERT(Session.write().IfVersion == NoObject);
    Session.onWrite(put_answer{1, false});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), valueOf(Session.outcome()).Version);
  });
  section("a read finds the outcome of a lost answer", [&] {
    edit_session Session(makeRequest("e1", "5"));
    Session.onRead(stored(Empty), Noon);
    config_table Written = valueOf(parseTable(Session.write().Value));
    Session.onWrite(Lost);
    CPPUNIT_ASSERT(Session.step() == edit_step::Read);
    Written.Version = 6;
    Written.Edits.push_back({"later", 6, 0});
    Session.onRead(stored(Written), Noon);
    CPPUNIT_ASSERT(Session.step() == edit_step::Finished);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), valueOf(Session.outcome()).Version);
  });
  section("or stays unknown when the platform is unreachable", [&] {
    edit_session Session(makeRequest("e1", "5"));
    Session.onRead(stored(Empty), Noon);
    Session.onWrite(Lost);
    for (int I = 0; I < 100 && Session.step() == edit_step::Read; ++I)
      Session.onRead(Lost, Noon);
    CPPUNIT_ASSERT(errorOf(Session.outcome()).Kind ==
                   error_kind::OutcomeUnknown);
    CPPUNIT_ASSERT(errorOf(Session.outcome()).Detail.find("--edit-id e1") !=
                   std::string::npos);
  });
  section("or when its record may have been evicted", [&] {
    edit_session Session(makeRequest("e1", "5"));
    Session.onRead(stored(Empty), Noon);
    Session.onWrite(Lost);
    config_table Later = Empty;
    Later.Version = 100;
    for (std::uint64_t V = 37; V <= 100; ++V)
      Later.Edits.push_back({"x" + std::to_string(V), V, 0});
    Session.onRead(stored(Later), Noon);
    CPPUNIT_ASSERT(errorOf(Session.outcome()).Kind ==
                   error_kind::OutcomeUnknown);
  });
}

STORY(an_edit_is_checked_against_what_was_read) {
  config_table Empty;
  Empty.Version = 4;
  section("an operator repeats it without duplicating it", [&] {
    config_table Done = Empty;
    Done.Edits = {{"e1", 4, 0}};
    edit_session Session(makeRequest("e1", "5"));
    Session.onRead(stored(Done), Noon);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), valueOf(Session.outcome()).Version);
    CPPUNIT_ASSERT_EQUAL(0u, valueOf(Session.outcome()).Writes);
  });
  section("a version that the operator has not seen is a conflict", [&] {
    edit_request Request = makeRequest("e1", "5");
    Request.IfVersion = 3;
    edit_session Session(std::move(Request));
    Session.onRead(stored(Empty), Noon);
    CPPUNIT_ASSERT(errorOf(Session.outcome()).Kind ==
                   error_kind::VersionConflict);
  });
  section("an unreachable platform is reported", [&] {
    edit_session Session(makeRequest("e1", "5"));
    Session.onRead(Lost, Noon);
    CPPUNIT_ASSERT(errorOf(Session.outcome()).Kind ==
                   error_kind::PlatformUnavailable);
  });
}
