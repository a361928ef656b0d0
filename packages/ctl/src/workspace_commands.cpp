#include "edit_run_p.h"

#include <sodium.h>

namespace magnoliaspread {
namespace {

constexpr std::size_t KeyBytes = 32;

row_edit removal(row_kind Kind, std::vector<field_value> Fields) {
  return {Kind, edit_action::Remove, std::move(Fields)};
}

/// Edits that remove the workspace's row, its keys and its weights.
std::vector<row_edit> planRemoval(const config_table &Table,
                                  const std::string &Name) {
  std::vector<row_edit> Rows{removal(row_kind::Workspace, {{"name", Name}})};
  for (const key_row &R : Table.Keys)
    if (R.Workspace == Name)
      Rows.push_back(removal(row_kind::Key, {{"id", R.Id}}));
  for (const weight_row &R : Table.Weights)
    if (R.Workspace == Name)
      Rows.push_back(removal(
          row_kind::Weight,
          {{"region", R.Region}, {"service", R.Service}, {"workspace", Name}}));
  return Rows;
}

/// An unpredictable key in clear text.
std::string makeKey() {
  unsigned char Bytes[KeyBytes];
  randombytes_buf(Bytes, sizeof(Bytes));
  char Hex[2 * KeyBytes + 1];
  return sodium_bin2hex(Hex, sizeof(Hex), Bytes, sizeof(Bytes));
}

/// Edits that set the state of a row and, for a target, of all targets at its
/// address.
std::vector<row_edit> planStateEdits(const config_table &Table, row_kind Kind,
                                     const std::string &Name,
                                     const std::string &State) {
  std::vector<std::string> Names{Name};
  for (const target_row &Named : Table.Targets)
    for (const target_row &Other : Table.Targets)
      if (Kind == row_kind::Target && Named.Name == Name &&
          Other.Name != Name && Other.Address == Named.Address &&
          Other.Port == Named.Port)
        Names.push_back(Other.Name);
  std::vector<row_edit> Rows;
  Rows.reserve(Names.size());
  for (const std::string &Each : Names)
    Rows.push_back(
        {Kind, edit_action::Set, {{"name", Each}, {"state", State}}});
  return Rows;
}

} // namespace

exit_code createWorkspace(ctl_context &Context,
                          const workspace_options &Options) {
  return runAndReport(Context, {},
                      fixedPlan({{row_kind::Workspace,
                                  edit_action::Create,
                                  {{"name", Options.Name},
                                   {"rate", Options.Rate},
                                   {"burst", Options.Burst},
                                   {"weight", Options.Weight}}}}));
}

exit_code removeWorkspace(ctl_context &Context, const std::string &Name) {
  return runAndReport(Context, {}, [&](const config_table &Table) {
    return result<std::vector<row_edit>>(planRemoval(Table, Name));
  });
}

exit_code issueKey(ctl_context &Context, const std::string &Workspace,
                   const std::string &Id) {
  std::string KeyId = Id.empty() ? Workspace + "-" + makeId() : Id;
  std::string Key = makeKey();
  auto Outcome = runEdit(Context, {},
                         fixedPlan({{row_kind::Key,
                                     edit_action::Create,
                                     {{"id", KeyId},
                                      {"workspace", Workspace},
                                      {"hash", hashKey(Key)}}}}));
  if (failed(Outcome))
    return report(Context, errorOf(Outcome));
  std::uint64_t Version = valueOf(Outcome).Version;
  std::string Text = "id=" + KeyId + "\nkey=" + Key +
                     "\nversion=" + std::to_string(Version) +
                     "\nThe key is not shown again.\n";
  print(Context, {{"id", KeyId}, {"key", Key}, {"version", Version}}, Text);
  return exit_code::Ok;
}

exit_code withdrawKey(ctl_context &Context, const std::string &Id) {
  return runAndReport(Context, {},
                      fixedPlan({{row_kind::Key,
                                  edit_action::Set,
                                  {{"id", Id}, {"state", "withdrawn"}}}}));
}

exit_code setDrain(ctl_context &Context, row_kind Kind, const std::string &Name,
                   drain_state State) {
  std::string Text = State == drain_state::Active ? "active" : "draining";
  return runAndReport(Context, {}, [&](const config_table &Table) {
    return result<std::vector<row_edit>>(
        planStateEdits(Table, Kind, Name, Text));
  });
}

} // namespace magnoliaspread
