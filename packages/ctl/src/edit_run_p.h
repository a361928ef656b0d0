/// Runs edit sessions and single reads of the table against the platform.
#ifndef MAGNOLIASPREAD_EDIT_RUN_P_H
#define MAGNOLIASPREAD_EDIT_RUN_P_H

#include "commands_p.h"
#include "edit_session_p.h"

#include <string>

namespace magnoliaspread {

/// The platform's table; an empty one of version 0 when there is none.
result<config_table> readTable(platform_link &Link);

/// An unpredictable name for an edit or a key.
std::string makeId();

/// Runs one edit to completion.
result<edit_outcome> runEdit(ctl_context &Context, const edit_options &Options,
                             edit_planner Plan);

/// Runs one edit and prints its outcome.
exit_code runAndReport(ctl_context &Context, const edit_options &Options,
                       edit_planner Plan);

/// A plan that doesn't depend on the table.
edit_planner fixedPlan(std::vector<row_edit> Rows);

} // namespace magnoliaspread

#endif
