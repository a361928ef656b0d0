#include "edit_session_p.h"

#include <algorithm>

namespace magnoliaspread {
namespace {

/// Writes that may be rejected because of concurrent edits.
constexpr unsigned MaxWrites = 200;
/// Consecutive failed reads while a write's outcome is unknown.
constexpr unsigned MaxReadFailures = 6;

} // namespace

edit_session::edit_session(edit_request Given) : Request(std::move(Given)) {
  Edit.Id = Request.Id;
}

put_request edit_session::write() const {
  return {TableObject, NextValue, ReadVersion};
}

void edit_session::onRead(const result<stored_object> &Read,
                          wall_time PlatformTime) {
  if (failed(Read) && errorOf(Read).Kind == error_kind::NotFound) {
    ReadVersion = NoObject;
    onTable({}, PlatformTime);
    return;
  }
  if (failed(Read)) {
    onReadFailure(errorOf(Read));
    return;
  }
  ReadFailures = 0;
  ReadVersion = valueOf(Read).Version;
  auto Table = parseTable(valueOf(Read).Value);
  if (failed(Table)) {
    error Failure = errorOf(Table);
    Failure.Detail = "the stored table can't be read: " + Failure.Detail;
    fail(std::move(Failure));
    return;
  }
  onTable(valueOf(Table), PlatformTime);
}

void edit_session::onReadFailure(const error &Failure) {
  if (!Uncertain)
    fail(Failure);
  else if (++ReadFailures >= MaxReadFailures)
    failUnknown();
}

void edit_session::onTable(const config_table &Latest, wall_time PlatformTime) {
  if (finishIfRecorded(Latest))
    return;
  if (!Base && !plan(Latest))
    return;
  status Merged = checkMerge(*Base, Latest, Edit);
  if (failed(Merged)) {
    fail(errorOf(Merged));
    return;
  }
  prepareWrite(Latest, PlatformTime);
}

bool edit_session::finishIfRecorded(const config_table &Latest) {
  for (const edit_record &R : Latest.Edits) {
    if (R.Id != Edit.Id)
      continue;
    succeed(R.Version, true);
    return true;
  }
  if (!Uncertain ||
      findEdit(Latest, Edit.Id, UncertainVersion) != edit_presence::Evicted)
    return false;
  failUnknown();
  return true;
}

bool edit_session::plan(const config_table &Latest) {
  if (Request.IfVersion && *Request.IfVersion != Latest.Version) {
    fail({error_kind::VersionConflict,
          "the table has version " + std::to_string(Latest.Version) + ", not " +
              std::to_string(*Request.IfVersion),
          {}});
    return false;
  }
  auto Rows = Request.Plan(Latest);
  if (failed(Rows)) {
    fail(errorOf(Rows));
    return false;
  }
  Edit.Rows = std::move(valueOf(Rows));
  Base = Latest;
  return true;
}

void edit_session::prepareWrite(const config_table &Latest,
                                wall_time PlatformTime) {
  auto Next = applyEdit(Latest, Edit, {PlatformTime, Request.InForce});
  if (failed(Next)) {
    fail(errorOf(Next));
    return;
  }
  if (diffTables(Latest, valueOf(Next)).empty()) {
    succeed(Latest.Version, false);
    return;
  }
  NextValue = formatTable(valueOf(Next));
  NextVersion = valueOf(Next).Version;
  if (NextValue.size() > MaxObjectBytes) {
    fail({error_kind::BadTable,
          "the table has " + std::to_string(NextValue.size()) +
              " bytes, allowed: at most " + std::to_string(MaxObjectBytes),
          {}});
    return;
  }
  Step = edit_step::Write;
}

void edit_session::onWrite(const result<put_answer> &Answer) {
  ++Writes;
  Step = edit_step::Read;
  if (!failed(Answer)) {
    succeed(NextVersion, true);
    return;
  }
  const error &Failure = errorOf(Answer);
  bool Lost = Failure.Kind == error_kind::PlatformUnavailable ||
              Failure.Kind == error_kind::OutcomeUnknown;
  if (Lost && !Uncertain) {
    Uncertain = true;
    UncertainVersion = NextVersion;
  }
  if (!Lost && Failure.Kind != error_kind::VersionConflict)
    fail(Failure);
  else if (Writes >= MaxWrites)
    fail({error_kind::VersionConflict,
          "other edits were written first " + std::to_string(Writes) + " times",
          {}});
}

void edit_session::succeed(std::uint64_t Version, bool Changed) {
  Outcome = edit_outcome{Version, Writes, Changed};
  Step = edit_step::Finished;
}

void edit_session::fail(error Failure) {
  Outcome = std::move(Failure);
  Step = edit_step::Finished;
}

void edit_session::failUnknown() {
  fail({error_kind::OutcomeUnknown,
        "the edit may be in force: a write was not answered; repeat it with "
        "--edit-id " +
            Edit.Id,
        {}});
}

} // namespace magnoliaspread
