/// Context of the commands of magnoliactl: output streams, the platform and
/// exit codes.
#ifndef MAGNOLIASPREAD_CONTEXT_P_H
#define MAGNOLIASPREAD_CONTEXT_P_H

#include "platform_link_p.h"

#include <magnoliaspread/clock.h>
#include <magnoliaspread/error.h>
#include <magnoliaspread/settings.h>

#include <boost/json/value.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>

namespace magnoliaspread {

enum class exit_code : int {
  Ok = 0,
  /// The input was rejected, or an instance didn't answer.
  Refused = 1,
  Usage = 2,
  /// The edit conflicts with another operator's; nothing was written.
  Conflict = 3,
  /// The platform can't be reached, or an edit's outcome is unknown.
  Unavailable = 4,
};

exit_code exitCodeOf(error_kind Kind);

using platform_connector =
    std::function<std::unique_ptr<platform_link>(const endpoint_address &)>;

struct ctl_context {
  std::ostream &Out;
  std::ostream &Err;
  platform_connector Connect;
  endpoint_address Platform;
  /// Print JSON.
  bool Json = false;
};

/// Prints the failure and returns its exit code.
exit_code report(ctl_context &Context, const error &Failure);

/// Prints \p Value as one line of JSON, or \p Text without --json.
void print(ctl_context &Context, const boost::json::value &Value,
           std::string_view Text);

/// The whole file; BadRequest when it can't be read. "-" is standard input.
result<std::string> readFile(const std::string &Name);

/// Reads "ADDRESS:PORT", with IPv6 addresses in brackets.
std::optional<endpoint_address> parseAddress(std::string_view Text);

std::string formatAddress(const endpoint_address &Address);

} // namespace magnoliaspread

#endif
