/// Edits of single rows of the operators' table, and their merge with edits
/// that others made meanwhile.
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

/// The key fields in Fields say which row.
struct row_edit {
  row_kind Kind = row_kind::Weight;
  edit_action Action = edit_action::Set;
  std::vector<field_value> Fields;
};

/// Rows that change together or not at all.
struct table_edit {
  /// Tells this edit from every other; letters, digits, '.', '_' or '-'.
  std::string Id;
  std::vector<row_edit> Rows;
};

/// The weights that hold at a time, while a ramp may be under way.
using weights_in_force = std::function<std::vector<weight_row>(
    const config_table &Table, wall_time PlatformTime)>;

/// When and from which weights an edit starts.
struct edit_start {
  wall_time PlatformTime;
  weights_in_force InForce;
};

/// The next version of \p Table. An edit of weights or shifts starts a new
/// ramp from the weights in force. Errors: BadTable, NotFound (a row to remove
/// or change is missing).
result<config_table> applyEdit(const config_table &Table,
                               const table_edit &Edit, const edit_start &Start);

/// Whether \p Edit, planned on \p Base, may be applied to \p Latest: the rows
/// it touches must be as they were, or already as the edit wants them.
/// VersionConflict names the row with its values.
status checkMerge(const config_table &Base, const config_table &Latest,
                  const table_edit &Edit);

enum class edit_trace : std::uint8_t {
  Found,
  Absent,
  /// So many edits came later that the record may be gone.
  Forgotten,
};

/// Whether \p Table includes the edit \p Id that was to make \p Version.
edit_trace traceEdit(const config_table &Table, std::string_view Id,
                     std::uint64_t Version);

/// The row edits that lead from \p From to \p To.
std::vector<row_edit> diffTables(const config_table &From,
                                 const config_table &To);

} // namespace magnoliaspread

#endif
