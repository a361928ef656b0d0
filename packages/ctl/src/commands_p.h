/// The commands of magnoliactl. Each prints its answer and returns its exit
/// code.
#ifndef MAGNOLIASPREAD_COMMANDS_P_H
#define MAGNOLIASPREAD_COMMANDS_P_H

#include "context_p.h"

#include <magnoliaspread/table_edit.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace magnoliaspread {

/// Options of every command that edits the table.
struct edit_options {
  /// Repeats an earlier edit whose outcome was unknown; empty makes a new id.
  std::string EditId;
  /// The edit fails when the table has another version.
  std::optional<std::uint64_t> IfVersion;
};

struct import_options {
  std::string File;
  /// Empty for JSON of the whole table.
  std::optional<row_kind> CsvKind;
  /// An earlier export that the file was made from.
  std::string BaseFile;
  edit_options Edit;
};

struct export_options {
  /// Standard output when empty.
  std::string File;
  std::optional<row_kind> CsvKind;
};

struct workspace_options {
  std::string Name;
  std::string Rate;
  std::string Burst;
  std::string Weight = "1";
};

/// Source of the instances' admin addresses: the given addresses, else the
/// settings files, else the platform's list of instances.
struct fleet_options {
  std::vector<std::string> Addresses;
  std::vector<std::string> SettingsFiles;
  std::chrono::milliseconds Timeout{2000};
};

struct lookup_options {
  std::string Service;
  std::string Client;
  std::string Instance;
  std::chrono::milliseconds Timeout{2000};
};

exit_code checkSettingsFiles(ctl_context &Context,
                             const std::vector<std::string> &Files);
exit_code checkTableFile(ctl_context &Context, const std::string &File);

exit_code showTable(ctl_context &Context, std::optional<row_kind> Kind);
exit_code exportTable(ctl_context &Context, const export_options &Options);
exit_code importTable(ctl_context &Context, const import_options &Options);
exit_code editTable(ctl_context &Context, const row_edit &Edit,
                    const edit_options &Options);

exit_code createWorkspace(ctl_context &Context,
                          const workspace_options &Options);
exit_code removeWorkspace(ctl_context &Context, const std::string &Name);

exit_code issueKey(ctl_context &Context, const std::string &Workspace,
                   const std::string &Id);
exit_code withdrawKey(ctl_context &Context, const std::string &Id);

/// Sets the state of a target and of all others at its address, of a data
/// centre or of a region.
exit_code setDrain(ctl_context &Context, row_kind Kind, const std::string &Name,
                   drain_state State);

struct burn_options {
  fleet_options Fleet;
  /// Percentage of the requests that must be good.
  double ObjectivePercent = 99.9;
};

struct model_options {
  /// A load plan as JSON.
  std::string File;
  /// Names of policies, see placement_policy.h; empty compares all.
  std::vector<std::string> Policies;
  /// "field=value" of placer_policy, for the policy "holders".
  std::vector<std::string> Settings;
  std::uint64_t Seed = 1;
  std::uint64_t Runs = 1;
};

exit_code showStatus(ctl_context &Context, const fleet_options &Options);
exit_code lookUp(ctl_context &Context, const lookup_options &Options);
exit_code reportBurn(ctl_context &Context, const burn_options &Options);

/// Runs a load against policies in the model and prints the callers' results.
exit_code comparePolicies(ctl_context &Context, const model_options &Options);

} // namespace magnoliaspread

#endif
