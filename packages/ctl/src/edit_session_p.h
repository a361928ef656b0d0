/// State machine of one edit of the platform's table: what to read and write,
/// when to merge, and when the outcome is known. Does no I/O.
#ifndef MAGNOLIASPREAD_EDIT_SESSION_P_H
#define MAGNOLIASPREAD_EDIT_SESSION_P_H

#include <magnoliaspread/platform.h>
#include <magnoliaspread/table_edit.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace magnoliaspread {

inline constexpr const char *TableObject = "config/table";

enum class edit_step : std::uint8_t { Read, Write, Finished };

/// Plans the row edits on the table that was read first.
using edit_planner =
    std::function<result<std::vector<row_edit>>(const config_table &Table)>;

struct edit_request {
  /// Unique; see table_edit.
  std::string Id;
  edit_planner Plan;
  weights_in_force InForce;
  /// The table's expected version; another one is a conflict.
  std::optional<std::uint64_t> IfVersion;
};

struct edit_outcome {
  /// A version of the table that contains the edit.
  std::uint64_t Version = 0;
  /// Writes that were sent.
  unsigned Writes = 0;
  /// False when the table already had the edit's values.
  bool Changed = true;
};

class edit_session {
public:
  explicit edit_session(edit_request Request);

  /// What the caller has to do next.
  edit_step step() const { return Step; }

  /// The write to send when step() is Write.
  put_request write() const;

  /// \p PlatformTime is a lower bound on the platform's current time.
  void onRead(const result<stored_object> &Read, wall_time PlatformTime);
  void onWrite(const result<put_answer> &Answer);

  /// Valid when step() is Finished. Errors: VersionConflict (not written),
  /// OutcomeUnknown (may have been written), PlatformUnavailable (not
  /// written), BadTable, NotFound.
  const result<edit_outcome> &outcome() const { return Outcome; }

private:
  void onTable(const config_table &Latest, wall_time PlatformTime);
  bool finishIfRecorded(const config_table &Latest);
  bool plan(const config_table &Latest);
  void prepareWrite(const config_table &Latest, wall_time PlatformTime);
  void onReadFailure(const error &Failure);
  void succeed(std::uint64_t Version, bool Changed);
  void fail(error Failure);
  void failUnknown();

  edit_request Request;
  edit_step Step = edit_step::Read;
  result<edit_outcome> Outcome = error{};
  /// The table that was read first.
  std::optional<config_table> Base;
  table_edit Edit;
  object_version ReadVersion = NoObject;
  std::string NextValue;
  std::uint64_t NextVersion = 0;
  unsigned Writes = 0;
  unsigned ReadFailures = 0;
  /// A write's answer was lost; the edit may be in the table.
  bool Uncertain = false;
  /// Version of the table that the first uncertain write would have produced.
  std::uint64_t UncertainVersion = 0;
};

} // namespace magnoliaspread

#endif
