#include "edit_run_p.h"

#include <magnoliaspread/region.h>

#include <boost/json/value.hpp>
#include <sodium.h>

namespace magnoliaspread {
namespace {

constexpr std::size_t IdBytes = 8;

/// A lower bound on the platform's time; the epoch before its first answer.
wall_time platformTime(platform_link &Link) {
  return Link.store().platformTimeAtLeast().value_or(wall_time{});
}

void runSession(platform_link &Link, edit_session &Session) {
  while (Session.step() != edit_step::Finished) {
    if (Session.step() == edit_step::Read) {
      auto Read = getObject(Link, TableObject);
      Session.onRead(Read, platformTime(Link));
    } else {
      Session.onWrite(putObject(Link, Session.write()));
    }
  }
}

} // namespace

std::string makeId() {
  unsigned char Bytes[IdBytes];
  randombytes_buf(Bytes, sizeof(Bytes));
  char Hex[2 * IdBytes + 1];
  return sodium_bin2hex(Hex, sizeof(Hex), Bytes, sizeof(Bytes));
}

result<config_table> readTable(platform_link &Link) {
  auto Read = getObject(Link, TableObject);
  if (!failed(Read))
    return parseTable(valueOf(Read).Value);
  if (errorOf(Read).Kind == error_kind::NotFound)
    return config_table{};
  return errorOf(Read);
}

result<edit_outcome> runEdit(ctl_context &Context, const edit_options &Options,
                             edit_planner Plan) {
  auto Link = Context.Connect(Context.Platform);
  edit_request Request;
  Request.Id = Options.EditId.empty() ? makeId() : Options.EditId;
  Request.Plan = std::move(Plan);
  Request.InForce = weightsInForce;
  Request.IfVersion = Options.IfVersion;
  edit_session Session(std::move(Request));
  runSession(*Link, Session);
  return Session.outcome();
}

exit_code runAndReport(ctl_context &Context, const edit_options &Options,
                       edit_planner Plan) {
  auto Outcome = runEdit(Context, Options, std::move(Plan));
  if (failed(Outcome))
    return report(Context, errorOf(Outcome));
  const edit_outcome &Edit = valueOf(Outcome);
  std::string Text = Edit.Changed ? "accepted" : "unchanged";
  print(Context, {{"version", Edit.Version}, {"changed", Edit.Changed}},
        Text + " version=" + std::to_string(Edit.Version) + "\n");
  return exit_code::Ok;
}

edit_planner fixedPlan(std::vector<row_edit> Rows) {
  return [Rows = std::move(Rows)](
             const config_table &) -> result<std::vector<row_edit>> {
    return Rows;
  };
}

} // namespace magnoliaspread
