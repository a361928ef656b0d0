/// The command line of magnoliactl.
#ifndef MAGNOLIASPREAD_CLI_P_H
#define MAGNOLIASPREAD_CLI_P_H

#include "context_p.h"

#include <string>
#include <vector>

namespace magnoliaspread {

/// Runs the command that \p Arguments name, without the program's own name.
exit_code runCli(const std::vector<std::string> &Arguments, std::ostream &Out,
                 std::ostream &Err, platform_connector Connect);

} // namespace magnoliaspread

#endif
