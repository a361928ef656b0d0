/// Row edits of the operators' table and their merge with concurrent edits.
#ifndef MAGNOLIASPREAD_TABLE_EDIT_H
#define MAGNOLIASPREAD_TABLE_EDIT_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/error.h>
#include <magnoliaspread/table.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliaspread {

enum class row_kind : std::uint8_t {
  Region,
  DataCentre,
  Link,
  Service,
  Target,
  Workspace,
  Key,
  Weight,
  Shift,
  Count,
};

/// The kind's name in the table's JSON, such as "data_centres".
std::string_view nameOf(row_kind Kind);

/// The kind of that name; empty when there is none.
std::optional<row_kind> rowKindOf(std::string_view Name);

/// Field names of a kind in column order.
std::vector<std::string_view> fieldsOf(row_kind Kind);

struct field_value {
  std::string Field;
  /// As in CSV: strings without quotes.
  std::string Value;
};

enum class edit_action : std::uint8_t {
  /// Changes the named fields; creates the row when it is missing.
  Set,
  /// Fails when the row exists.
  Create,
  /// Fails when the row doesn't exist.
  Remove,
};

/// The key fields in Fields identify the row.
struct row_edit {
  row_kind Kind = row_kind::Weight;
  edit_action Action = edit_action::Set;
  std::vector<field_value> Fields;
};

/// Rows that change atomically.
struct table_edit {
  /// Unique; letters, digits, '.', '_' or '-'.
  std::string Id;
  std::vector<row_edit> Rows;
};

/// The weights in force at a time; they change during a ramp.
using weights_in_force = std::function<std::vector<weight_row>(
    const config_table &Table, wall_time PlatformTime)>;

/// Time of an edit, and the weights in force from which its ramp starts.
struct edit_context {
  wall_time PlatformTime;
  weights_in_force InForce;
};

/// The next version of \p Table. An edit of weights or shifts starts a new
/// ramp from the weights in force. Errors: BadTable, NotFound (a row to remove
/// or change is missing).
result<config_table> applyEdit(const config_table &Table,
                               const table_edit &Edit,
                               const edit_context &Context);

/// Whether \p Edit, planned on \p Base, can be applied to \p Latest: the rows
/// it touches must be unchanged or already have the edit's values.
/// VersionConflict names the row with its values.
status checkMerge(const config_table &Base, const config_table &Latest,
                  const table_edit &Edit);

enum class edit_presence : std::uint8_t {
  Found,
  Absent,
  /// Later edits may have evicted the record.
  Evicted,
};

/// Whether \p Table records the edit \p Id, which would have produced
/// \p Version.
edit_presence findEdit(const config_table &Table, std::string_view Id,
                       std::uint64_t Version);

/// The row edits that lead from \p From to \p To.
std::vector<row_edit> diffTables(const config_table &From,
                                 const config_table &To);

} // namespace magnoliaspread

#endif
