/// Rows of one kind as CSV (RFC 4180) for spreadsheets.
#ifndef MAGNOLIASPREAD_TABLE_CSV_H
#define MAGNOLIASPREAD_TABLE_CSV_H

#include <magnoliaspread/table_edit.h>

#include <string>
#include <string_view>

namespace magnoliaspread {

/// A line of column names, then one line for each row.
std::string formatCsv(const config_table &Table, row_kind Kind);

/// \p Table with the rows of \p Kind replaced by those in \p Csv, checked.
/// Columns may come in any order; optional ones may be left out. BadTable
/// names the line, the field, the value and the allowed values.
result<config_table> parseCsv(const config_table &Table, row_kind Kind,
                              std::string_view Csv);

} // namespace magnoliaspread

#endif
