#include "cli_p.h"

#include "commands_p.h"

#include <magnoliaspread/placement_policy.h>

#include <CLI/CLI.hpp>

namespace magnoliaspread {
namespace {

constexpr const char *Description =
    "Operates a magnoliaspread fleet: table, keys, drains, status, reports.\n"
    "Exit codes: 0 done, 1 refused or failed, 2 usage, 3 conflict with "
    "another edit,\n4 platform unavailable or outcome unknown.";

/// The values of all options; lives as long as the command runs.
struct cli_state {
  explicit cli_state(ctl_context Given) : Context(std::move(Given)) {}

  ctl_context Context;
  exit_code Code = exit_code::Usage;
  std::string Platform = "127.0.0.1:21900";
  std::vector<std::string> Files;
  std::string Name;
  std::string KeyId;
  std::string Kind;
  std::string Format;
  std::vector<std::string> Fields;
  bool Remove = false;
  bool Create = false;
  std::uint64_t IfVersion = 0;
  edit_options Edit;
  import_options Import;
  export_options Export;
  workspace_options Workspace;
  fleet_options Fleet;
  lookup_options Lookup;
  burn_options Burn;
  model_options Model;
  std::int64_t TimeoutMs = 2000;
};

using command = std::function<exit_code(cli_state &)>;

/// Adds a command that runs \p Run.
CLI::App *addCommand(CLI::App &Parent, cli_state &State, const char *Name,
                     const char *Help, command Run) {
  CLI::App *App = Parent.add_subcommand(Name, Help);
  App->final_callback(
      [&State, Run = std::move(Run)] { State.Code = Run(State); });
  return App;
}

CLI::App *addGroup(CLI::App &Parent, const char *Name, const char *Help) {
  CLI::App *Group = Parent.add_subcommand(Name, Help);
  Group->require_subcommand(1);
  return Group;
}

exit_code usage(cli_state &State, const std::string &Text) {
  State.Context.Err << "magnoliactl: " << Text << "\n";
  return exit_code::Usage;
}

std::string kindNames() {
  std::string Names;
  for (int I = 0; I < static_cast<int>(row_kind::Count); ++I)
    Names.append(I == 0 ? "" : ", ").append(nameOf(static_cast<row_kind>(I)));
  return Names;
}

/// Accepts the names of row kinds.
std::string checkKind(const std::string &Text) {
  if (rowKindOf(Text))
    return {};
  return "\"" + Text + "\" is no kind of row, allowed: " + kindNames();
}

void addKind(CLI::App &App, cli_state &State, const char *Name) {
  App.add_option(Name, State.Kind, "Kind of row: " + kindNames())
      ->check(CLI::Validator(checkKind, "KIND"));
}

void addEditOptions(CLI::App &App, cli_state &State) {
  App.add_option("--edit-id", State.Edit.EditId,
                 "Repeats the edit of this id; it takes effect at most once");
  App.add_option("--if-version", State.IfVersion,
                 "Refuses when the table has another version");
}

void addFleetOptions(CLI::App &App, cli_state &State) {
  App.add_option("--instances", State.Fleet.Addresses,
                 "Admin addresses, ADDRESS:PORT with commas between")
      ->delimiter(',');
  App.add_option("--settings", State.Fleet.SettingsFiles,
                 "Settings files of the instances to ask");
  App.add_option("--timeout-ms", State.TimeoutMs,
                 "Longest wait for an instance")
      ->check(CLI::Range(1, 60000));
}

edit_options editOptions(const cli_state &State, const CLI::App &App) {
  edit_options Options = State.Edit;
  if (App.count("--if-version") > 0)
    Options.IfVersion = State.IfVersion;
  return Options;
}

/// Splits "field=value" arguments; empty when one has no "=".
std::optional<std::vector<field_value>>
splitFields(const std::vector<std::string> &Texts) {
  std::vector<field_value> Fields;
  for (const std::string &Text : Texts) {
    std::size_t Equals = Text.find('=');
    if (Equals == std::string::npos)
      return {};
    Fields.push_back({Text.substr(0, Equals), Text.substr(Equals + 1)});
  }
  return Fields;
}

exit_code runTableEdit(cli_state &State, const CLI::App &App) {
  auto Fields = splitFields(State.Fields);
  if (!Fields)
    return usage(State, "fields are given as field=value");
  row_edit Edit{*rowKindOf(State.Kind), edit_action::Set, std::move(*Fields)};
  if (State.Create)
    Edit.Action = edit_action::Create;
  if (State.Remove)
    Edit.Action = edit_action::Remove;
  return editTable(State.Context, Edit, editOptions(State, App));
}

/// Sets the kind for CSV, or none for JSON. Returns an error text when --kind
/// and --format don't match.
std::string resolveFormat(const cli_state &State,
                          std::optional<row_kind> &CsvKind) {
  if (State.Format == "csv" && State.Kind.empty())
    return "CSV holds one kind of row: give --kind";
  if (State.Format != "csv" && !State.Kind.empty())
    return "--kind requires --format csv";
  CsvKind = rowKindOf(State.Kind);
  return {};
}

void addFormat(CLI::App &App, cli_state &State) {
  App.add_option("--format", State.Format, "json or csv")
      ->check(CLI::IsMember({"json", "csv"}));
  addKind(App, State, "--kind");
}

void addCheckCommands(CLI::App &App, cli_state &State) {
  CLI::App *Check = addGroup(App, "check", "Check files without the platform");
  CLI::App *Settings = addCommand(
      *Check, State, "settings", "Check settings files",
      [](cli_state &S) { return checkSettingsFiles(S.Context, S.Files); });
  Settings->add_option("FILE", State.Files)->required();
  CLI::App *Table = addCommand(
      *Check, State, "table", "Check a table as JSON",
      [](cli_state &S) { return checkTableFile(S.Context, S.Name); });
  Table->add_option("FILE", State.Name, "\"-\" is standard input")->required();
}

void addTableShow(CLI::App &Table, cli_state &State) {
  CLI::App *Show = addCommand(
      Table, State, "show", "Print the table, or one kind of row as CSV",
      [](cli_state &S) { return showTable(S.Context, rowKindOf(S.Kind)); });
  addKind(*Show, State, "--kind");
}

void addTableEdit(CLI::App &Table, cli_state &State) {
  CLI::App *Edit = Table.add_subcommand(
      "edit", "Set fields of one row; the row is created when it is missing");
  addKind(*Edit, State, "KIND");
  Edit->get_option("KIND")->required();
  Edit->add_option("FIELD=VALUE", State.Fields)->required();
  Edit->add_flag("--remove", State.Remove, "Remove the row");
  Edit->add_flag("--create", State.Create, "Refuse when the row exists")
      ->excludes("--remove");
  addEditOptions(*Edit, State);
  Edit->final_callback(
      [&State, Edit] { State.Code = runTableEdit(State, *Edit); });
}

void addTableExport(CLI::App &Table, cli_state &State) {
  CLI::App *Export = addCommand(
      Table, State, "export",
      "Write the table as JSON, or one kind of row as CSV; the version goes to "
      "standard error",
      [](cli_state &S) {
        std::string Fault = resolveFormat(S, S.Export.CsvKind);
        return Fault.empty() ? exportTable(S.Context, S.Export)
                             : usage(S, Fault);
      });
  addFormat(*Export, State);
  Export->add_option("FILE", State.Export.File,
                     "Standard output when left out");
}

void addTableImport(CLI::App &Table, cli_state &State) {
  CLI::App *Import = Table.add_subcommand(
      "import", "Activate a file's rows. With --base, only what differs "
                "from that earlier export is changed");
  addFormat(*Import, State);
  Import->add_option("FILE", State.Import.File, "\"-\" is standard input")
      ->required();
  Import->add_option("--base", State.Import.BaseFile,
                     "The export that FILE was made from");
  addEditOptions(*Import, State);
  Import->final_callback([&State, Import] {
    std::string Fault = resolveFormat(State, State.Import.CsvKind);
    State.Import.Edit = editOptions(State, *Import);
    State.Code = Fault.empty() ? importTable(State.Context, State.Import)
                               : usage(State, Fault);
  });
}

void addWorkspaceCommands(CLI::App &App, cli_state &State) {
  CLI::App *Group = addGroup(App, "workspace", "Create and remove workspaces");
  CLI::App *Create = addCommand(
      *Group, State, "create", "Create a workspace",
      [](cli_state &S) { return createWorkspace(S.Context, S.Workspace); });
  Create->add_option("NAME", State.Workspace.Name)->required();
  Create->add_option("--rate", State.Workspace.Rate, "Requests a second")
      ->required();
  Create->add_option("--burst", State.Workspace.Burst, "Requests at once")
      ->required();
  Create->add_option("--weight", State.Workspace.Weight,
                     "Share of contended slots");
  CLI::App *Remove = addCommand(
      *Group, State, "remove", "Remove a workspace, its keys and its weights",
      [](cli_state &S) { return removeWorkspace(S.Context, S.Name); });
  Remove->add_option("NAME", State.Name)->required();
  addCommand(*Group, State, "list", "List workspaces as CSV", [](cli_state &S) {
    return showTable(S.Context, row_kind::Workspace);
  });
}

void addKeyCommands(CLI::App &App, cli_state &State) {
  CLI::App *Group = addGroup(App, "key", "Issue and withdraw keys");
  CLI::App *Issue = addCommand(
      *Group, State, "issue", "Make a key and print it once",
      [](cli_state &S) { return issueKey(S.Context, S.Name, S.KeyId); });
  Issue->add_option("WORKSPACE", State.Name)->required();
  Issue->add_option("--id", State.KeyId, "Name of the key");
  CLI::App *Withdraw =
      addCommand(*Group, State, "withdraw", "Withdraw a key",
                 [](cli_state &S) { return withdrawKey(S.Context, S.KeyId); });
  Withdraw->add_option("ID", State.KeyId)->required();
  addCommand(*Group, State, "list", "List keys as CSV",
             [](cli_state &S) { return showTable(S.Context, row_kind::Key); });
}

void addDrainCommands(CLI::App &App, cli_state &State, const char *Name,
                      const char *Help, drain_state Drain) {
  CLI::App *Group = addGroup(App, Name, Help);
  auto Add = [&](const char *KindName, row_kind Kind) {
    CLI::App *Command =
        addCommand(*Group, State, KindName, Help, [Kind, Drain](cli_state &S) {
          return setDrain(S.Context, Kind, S.Name, Drain);
        });
    Command->add_option("NAME", State.Name)->required();
  };
  Add("target", row_kind::Target);
  Add("data-centre", row_kind::DataCentre);
  Add("region", row_kind::Region);
}

void addFleetCommands(CLI::App &App, cli_state &State) {
  CLI::App *Status =
      addCommand(App, State, "status", "Ask every instance for its state",
                 [](cli_state &S) {
                   S.Fleet.Timeout = std::chrono::milliseconds(S.TimeoutMs);
                   return showStatus(S.Context, S.Fleet);
                 });
  addFleetOptions(*Status, State);
  CLI::App *Lookup = addCommand(
      App, State, "look-up", "Show the look-up answer of an instance",
      [](cli_state &S) { return lookUp(S.Context, S.Lookup); });
  Lookup->add_option("--service", State.Lookup.Service)->required();
  Lookup->add_option("--client", State.Lookup.Client, "IP number");
  Lookup
      ->add_option("--instance", State.Lookup.Instance,
                   "Public ADDRESS:PORT of the instance")
      ->required();
}

void addReportCommands(CLI::App &App, cli_state &State) {
  CLI::App *Group = addGroup(App, "report", "Report on the fleet's service");
  CLI::App *Burn = addCommand(
      *Group, State, "burn",
      "Error budget burn rate by workspace and service over 5 minutes and an "
      "hour",
      [](cli_state &S) {
        S.Burn.Fleet = S.Fleet;
        S.Burn.Fleet.Timeout = std::chrono::milliseconds(S.TimeoutMs);
        return reportBurn(S.Context, S.Burn);
      });
  addFleetOptions(*Burn, State);
  Burn->add_option("--objective", State.Burn.ObjectivePercent,
                   "Percent of the requests that have to be good")
      ->check(CLI::Range(0.0, 99.9999));
}

void addModelCommand(CLI::App &App, cli_state &State) {
  // A run of the model holds every request in memory.
  constexpr std::uint64_t MaxRuns = 1000;
  const std::vector<std::string> Names(PolicyNames.begin(), PolicyNames.end());
  State.Model.Policies = Names;
  CLI::App *Model = addCommand(
      App, State, "model",
      "Run a load against placement policies in a model, without a network",
      [](cli_state &S) { return comparePolicies(S.Context, S.Model); });
  Model->add_option("LOAD", State.Model.File, "Load plan as JSON")->required();
  Model
      ->add_option("--policy", State.Model.Policies,
                   "Policies to compare, with commas between")
      ->delimiter(',')
      ->check(CLI::IsMember(Names));
  Model
      ->add_option("--set", State.Model.Settings,
                   "FIELD=VALUE of the policy \"holders\", with commas between")
      ->delimiter(',');
  Model->add_option("--seed", State.Model.Seed, "Seed of the first run");
  Model->add_option("--runs", State.Model.Runs, "Runs, each with the next seed")
      ->check(CLI::Range(std::uint64_t{1}, MaxRuns));
}

void addCommands(CLI::App &App, cli_state &State) {
  App.require_subcommand(1);
  // Global options may follow the subcommand.
  App.fallthrough();
  App.set_version_flag("--version", MAGNOLIASPREAD_VERSION);
  App.add_option("--platform", State.Platform, "ADDRESS:PORT of the platform")
      ->envname("MAGNOLIA_PLATFORM")
      ->check([](const std::string &Text) {
        return parseAddress(Text) ? "" : "not ADDRESS:PORT with an IP number";
      });
  App.add_flag("--json", State.Context.Json, "Print JSON");
  addCheckCommands(App, State);
  CLI::App *Table = addGroup(App, "table", "Show and edit the table");
  addTableShow(*Table, State);
  addTableEdit(*Table, State);
  addTableExport(*Table, State);
  addTableImport(*Table, State);
  addWorkspaceCommands(App, State);
  addKeyCommands(App, State);
  addDrainCommands(App, State, "drain",
                   "Stop new requests to a target, data centre or region",
                   drain_state::Draining);
  addDrainCommands(
      App, State, "undrain",
      "Allow new requests to a target, data centre or region again",
      drain_state::Active);
  addFleetCommands(App, State);
  addReportCommands(App, State);
  addModelCommand(App, State);
  App.parse_complete_callback(
      [&State] { State.Context.Platform = *parseAddress(State.Platform); });
}

} // namespace

exit_code runCli(const std::vector<std::string> &Arguments, std::ostream &Out,
                 std::ostream &Err, platform_connector Connect) {
  CLI::App App(Description, "magnoliactl");
  cli_state State(ctl_context{Out, Err, std::move(Connect), {}, false});
  addCommands(App, State);
  // CLI11 expects the arguments in reverse order.
  std::vector<std::string> Reversed(Arguments.rbegin(), Arguments.rend());
  try {
    App.parse(std::move(Reversed));
  } catch (const CLI::ParseError &Failure) {
    int Code = App.exit(Failure, Out, Err);
    return Code == 0 ? exit_code::Ok : exit_code::Usage;
  }
  return State.Code;
}

} // namespace magnoliaspread
