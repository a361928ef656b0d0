#include "race.h"

#include <algorithm>
#include <map>
#include <set>

namespace magnoliaspread {
namespace {

constexpr unsigned Workspaces = 8;
constexpr std::uint64_t MaxSteps = 200'000;

config_table firstTable() {
  config_table T;
  T.Version = 1;
  T.Regions = {{"porto", drain_state::Active}, {"faro", drain_state::Active}};
  T.Services = {{"calendar", "/calendar/", false, std::chrono::seconds(10),
                 std::chrono::seconds(5)}};
  for (unsigned I = 0; I < Workspaces; ++I)
    T.Workspaces.push_back({"w" + std::to_string(I), 1, 1, 1});
  T.Weights = {{"porto", "calendar", "*", 1, 0},
               {"faro", "calendar", "*", 1, 0}};
  return T;
}

/// An operator and its edit in progress.
struct race_operator {
  unsigned Left = 0;
  std::optional<edit_session> Session;
  table_edit Edit;
  /// Only for the faulty tools.
  bool HasWrite = false;
  put_request Write;
};

struct late_write {
  put_request Write;
  std::uint64_t AppliesAt = 0;
};

struct applied_write {
  config_table Before;
  config_table After;
};

class race {
public:
  explicit race(const race_settings &Settings);

  race_report run();

private:
  bool chance(double Part);
  unsigned randomBelow(unsigned End);
  std::vector<row_edit> randomRows();
  void begin(race_operator &Operator);
  void stepSession(race_operator &Operator);
  void stepFaultyTool(race_operator &Operator);
  result<put_answer> send(const put_request &Write);
  result<put_answer> apply(const put_request &Write);
  void applyLateWrites();
  void finish(race_operator &Operator, const result<edit_outcome> &Outcome);
  void checkAppliedWrites();
  void checkRowsSeen(const applied_write &Write);
  void setFault(const std::string &Text);

  race_settings Settings;
  std::mt19937_64 Random;
  race_report Report;
  stored_object Stored;
  std::vector<race_operator> Operators;
  std::vector<late_write> Late;
  std::vector<applied_write> Applied;
  std::map<std::string, table_edit> Edits;
  /// The table that each edit was planned on.
  std::map<std::string, config_table> FirstReads;
  std::map<std::string, error_kind> Failures;
  std::set<std::string> Successes;
  std::uint64_t Now = 0;
  unsigned NextId = 0;
};

race::race(const race_settings &Given) : Settings(Given), Random(Given.Seed) {
  Stored = {TableObject, 1, formatTable(firstTable())};
  Operators.resize(Settings.Operators);
  for (race_operator &Operator : Operators)
    Operator.Left = Settings.EditsEach;
}

bool race::chance(double Part) {
  return std::uniform_real_distribution<double>(0, 1)(Random) < Part;
}

unsigned race::randomBelow(unsigned End) {
  return static_cast<unsigned>(Random() % End);
}

void race::setFault(const std::string &Text) {
  if (Report.Fault.empty())
    Report.Fault = Text;
}

/// A change of one or two workspaces or of a weight.
std::vector<row_edit> race::randomRows() {
  std::string Value = std::to_string(2 + NextId);
  if (chance(0.2))
    return {{row_kind::Weight,
             edit_action::Set,
             {{"region", chance(0.5) ? "porto" : "faro"},
              {"service", "calendar"},
              {"weight", Value}}}};
  std::vector<row_edit> Rows;
  for (unsigned I = 0; I < 1 + randomBelow(2); ++I)
    Rows.push_back({row_kind::Workspace,
                    edit_action::Set,
                    {{"name", "w" + std::to_string(randomBelow(Workspaces))},
                     {chance(0.5) ? "rate" : "burst", Value}}});
  return Rows;
}

void race::begin(race_operator &Operator) {
  --Operator.Left;
  Operator.Edit = {"e" + std::to_string(++NextId), randomRows()};
  Operator.HasWrite = false;
  Edits[Operator.Edit.Id] = Operator.Edit;
  edit_request Request;
  Request.Id = Operator.Edit.Id;
  Request.Plan = [Rows = Operator.Edit.Rows](
                     const config_table &) -> result<std::vector<row_edit>> {
    return Rows;
  };
  Operator.Session.emplace(std::move(Request));
}

result<put_answer> race::apply(const put_request &Write) {
  if (Write.IfVersion && *Write.IfVersion != Stored.Version)
    return error{error_kind::VersionConflict, "", {}};
  Applied.push_back(
      {valueOf(parseTable(Stored.Value)), valueOf(parseTable(Write.Value))});
  Stored = {Write.Name, Stored.Version + 1, Write.Value};
  return put_answer{Stored.Version, false};
}

result<put_answer> race::send(const put_request &Write) {
  error Lost{error_kind::PlatformUnavailable, "no answer", {}};
  if (chance(Settings.LostWrites))
    return Lost;
  if (chance(Settings.LateWrites)) {
    Late.push_back({Write, Now + 1 + randomBelow(30)});
    return Lost;
  }
  auto Answer = apply(Write);
  if (chance(Settings.LostAnswers))
    return Lost;
  return Answer;
}

void race::applyLateWrites() {
  for (const late_write &Write : Late)
    if (Write.AppliesAt == Now)
      apply(Write.Write);
}

void race::stepSession(race_operator &Operator) {
  edit_session &Session = *Operator.Session;
  wall_time Time{std::chrono::milliseconds(Now)};
  if (Session.step() == edit_step::Read) {
    FirstReads.try_emplace(Operator.Edit.Id, valueOf(parseTable(Stored.Value)));
    Session.onRead(Stored, Time);
  } else {
    Session.onWrite(send(Session.write()));
  }
  if (Session.step() == edit_step::Finished)
    finish(Operator, Session.outcome());
}

void race::stepFaultyTool(race_operator &Operator) {
  if (!Operator.HasWrite) {
    // A tool without records of edits.
    config_table Table = valueOf(parseTable(Stored.Value));
    Table.Edits.clear();
    wall_time Time{std::chrono::milliseconds(Now)};
    auto Next = applyEdit(Table, Operator.Edit, {Time, {}});
    bool Condition = Settings.Tool == race_tool::BlindRetry;
    Operator.Write = {TableObject, formatTable(valueOf(Next)), {}};
    if (Condition)
      Operator.Write.IfVersion = Stored.Version;
    Operator.HasWrite = true;
    return;
  }
  Operator.HasWrite = false;
  auto Answer = send(Operator.Write);
  if (!failed(Answer))
    finish(Operator, edit_outcome{});
}

void race::finish(race_operator &Operator,
                  const result<edit_outcome> &Outcome) {
  const std::string &Id = Operator.Edit.Id;
  if (!failed(Outcome)) {
    ++Report.Succeeded;
    Report.Merged += valueOf(Outcome).Writes > 1 ? 1 : 0;
    if (valueOf(Outcome).Changed)
      Successes.insert(Id);
  } else {
    Failures[Id] = errorOf(Outcome).Kind;
    if (errorOf(Outcome).Kind == error_kind::VersionConflict)
      ++Report.Conflicts;
    else
      ++Report.Unknown;
  }
  Operator.Session.reset();
}

/// The row that \p Edit names, as text.
std::string rowText(const config_table &Table, const row_edit &Edit) {
  const std::string &Name = Edit.Fields.front().Value;
  for (const workspace_row &R : Table.Workspaces)
    if (Edit.Kind == row_kind::Workspace && R.Name == Name)
      return std::to_string(R.Rate) + " " + std::to_string(R.Burst);
  for (const weight_row &R : Table.Weights)
    if (Edit.Kind == row_kind::Weight && R.Region == Name)
      return std::to_string(R.Weight);
  return {};
}

/// An edit replaces only values that its operator has read; writing the value
/// that is already there is allowed.
void race::checkRowsSeen(const applied_write &Write) {
  const std::string &Id = Write.After.Edits.back().Id;
  auto First = FirstReads.find(Id);
  if (First == FirstReads.end())
    return;
  for (const row_edit &Row : Edits[Id].Rows) {
    std::string Before = rowText(Write.Before, Row);
    if (Before != rowText(First->second, Row) &&
        Before != rowText(Write.After, Row))
      setFault("edit " + Id + " replaced a value that it had not read");
  }
}

/// Each applied write makes one edit of the table before it, and nothing else.
void race::checkAppliedWrites() {
  std::set<std::string> Seen;
  for (const applied_write &Write : Applied) {
    const edit_record &Record = Write.After.Edits.back();
    std::string What = "edit " + Record.Id;
    if (!Seen.insert(Record.Id).second)
      setFault(What + " was applied twice");
    if (Write.After.Version != Write.Before.Version + 1)
      setFault(What + " does not follow the version before it");
    checkRowsSeen(Write);
    wall_time At{std::chrono::milliseconds(Record.AtMs)};
    auto Expected = applyEdit(Write.Before, Edits[Record.Id], {At, {}});
    if (failed(Expected) || !diffTables(valueOf(Expected), Write.After).empty())
      setFault(What + " changed rows of other edits");
  }
  for (const std::string &Id : Successes)
    if (!Seen.count(Id))
      setFault("edit " + Id + " was reported done but never applied");
  for (const auto &[Id, Kind] : Failures)
    if (Kind != error_kind::OutcomeUnknown && Seen.count(Id))
      setFault("edit " + Id + " was reported not done but applied");
}

race_report race::run() {
  for (; Now < MaxSteps; ++Now) {
    applyLateWrites();
    std::vector<race_operator *> Busy;
    for (race_operator &Operator : Operators)
      if (Operator.Session || Operator.Left > 0)
        Busy.push_back(&Operator);
    if (Busy.empty())
      break;
    race_operator &Operator =
        *Busy[randomBelow(static_cast<unsigned>(Busy.size()))];
    if (!Operator.Session)
      begin(Operator);
    else if (Settings.Tool == race_tool::Session)
      stepSession(Operator);
    else
      stepFaultyTool(Operator);
  }
  std::uint64_t End = Now + 100;
  for (; Now < End; ++Now)
    applyLateWrites();
  if (Report.Succeeded + Report.Conflicts + Report.Unknown !=
      Settings.Operators * Settings.EditsEach)
    setFault("an edit never finished");
  checkAppliedWrites();
  return Report;
}

} // namespace

race_report runRace(const race_settings &Settings) {
  return race(Settings).run();
}

} // namespace magnoliaspread
