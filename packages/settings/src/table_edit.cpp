#include <magnoliaspread/table_edit.h>

#include "rows_p.h"

#include <array>
#include <map>
#include <set>
#include <type_traits>

namespace magnoliaspread {
namespace {

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(row_kind::Count)>
    KindNames = {"regions",    "data_centres", "links",   "services", "targets",
                 "workspaces", "keys",         "weights", "shifts"};

template <class Rows> using row_type = typename std::decay_t<Rows>::value_type;

error badRow(row_kind Kind, const std::string &Fault) {
  return {error_kind::BadTable, std::string(nameOf(Kind)) + " " + Fault, {}};
}

error missingRow(row_kind Kind, const std::string &Key) {
  return {error_kind::NotFound,
          std::string(nameOf(Kind)) + " has no row " + Key,
          {}};
}

template <class Row>
status removeRow(std::vector<Row> &Rows, const row_edit &Edit,
                 const Row &Named) {
  auto Found = findRow(Rows, Named);
  if (Found == Rows.end())
    return missingRow(Edit.Kind, rowKey(Named));
  Rows.erase(Found);
  return {};
}

template <class Row>
status setRow(std::vector<Row> &Rows, const row_edit &Edit, const Row &Named) {
  auto Found = findRow(Rows, Named);
  if (Found == Rows.end()) {
    std::string Missing = missingField<Row>(Edit.Fields);
    if (!Missing.empty())
      return badRow(Edit.Kind, Missing + "; there is no row " + rowKey(Named));
    Rows.push_back(Named);
    return {};
  }
  if (Edit.Action == edit_action::Create)
    return badRow(Edit.Kind, "row " + rowKey(Named) + " exists already");
  setFields(*Found, Edit.Fields);
  return {};
}

status applyRow(config_table &Table, const row_edit &Edit) {
  status Result;
  visitKind(Table, Edit.Kind, [&](auto &Rows) {
    row_type<decltype(Rows)> Named;
    std::string Fault = setFields(Named, Edit.Fields);
    if (!Fault.empty())
      Result = badRow(Edit.Kind, Fault);
    else if (Edit.Action == edit_action::Remove)
      Result = removeRow(Rows, Edit, Named);
    else
      Result = setRow(Rows, Edit, Named);
  });
  return Result;
}

status applyRows(config_table &Table, const table_edit &Edit) {
  for (const row_edit &Row : Edit.Rows) {
    status Applied = applyRow(Table, Row);
    if (failed(Applied))
      return Applied;
  }
  return {};
}

std::int64_t millisecondsOf(wall_time Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             Time.time_since_epoch())
      .count();
}

/// Appends the record of \p Edit to \p Next and starts a ramp when weights or
/// shifts changed.
void recordEdit(const config_table &Before, config_table &Next,
                const table_edit &Edit, const edit_context &Context) {
  std::int64_t AtMs = millisecondsOf(Context.PlatformTime);
  AtMs = std::max(AtMs, Before.Origin.StartedAtMs);
  if (!Before.Edits.empty())
    AtMs = std::max(AtMs, Before.Edits.back().AtMs);
  Next.Version = Before.Version + 1;
  Next.Edits.push_back({Edit.Id, Next.Version, AtMs});
  if (Next.Edits.size() > MaxEditRecords)
    Next.Edits.erase(Next.Edits.begin());
  bool Ramps = Next.Weights != Before.Weights || Next.Shifts != Before.Shifts;
  // Nothing was in force before the first version.
  if (!Ramps || Before.Version == 0)
    return;
  wall_time At{std::chrono::milliseconds(AtMs)};
  Next.Origin.From =
      Context.InForce ? Context.InForce(Before, At) : Before.Weights;
  Next.Origin.StartedAtMs = AtMs;
}

/// The text of the row that \p Edit names, or empty when the table doesn't
/// have it.
std::string findRowText(const config_table &Table, const row_edit &Edit) {
  std::string Text;
  visitKind(Table, Edit.Kind, [&](const auto &Rows) {
    row_type<decltype(Rows)> Named;
    setFields(Named, Edit.Fields);
    auto Found = findRow(Rows, Named);
    if (Found != Rows.end())
      Text = rowText(*Found);
  });
  return Text;
}

std::string textOrAbsent(const std::string &Text) {
  return Text.empty() ? "absent" : Text;
}

std::string namedKey(const row_edit &Edit) {
  std::string Key;
  const config_table Empty;
  visitKind(Empty, Edit.Kind, [&](const auto &Rows) {
    row_type<decltype(Rows)> Named;
    setFields(Named, Edit.Fields);
    Key = rowKey(Named);
  });
  return Key;
}

template <class Row>
void diffRows(row_kind Kind, const std::vector<Row> &From,
              const std::vector<Row> &To, std::vector<row_edit> &Edits) {
  std::map<std::string, const Row *> Old;
  for (const Row &R : From)
    Old.emplace(rowKey(R), &R);
  for (const Row &R : To) {
    auto Found = Old.find(rowKey(R));
    bool Same = Found != Old.end() && *Found->second == R;
    bool IsNew = Found == Old.end();
    if (!IsNew)
      Old.erase(Found);
    if (!Same)
      Edits.push_back({Kind, IsNew ? edit_action::Create : edit_action::Set,
                       listFields(R)});
  }
  for (const Row &R : From)
    if (Old.count(rowKey(R)))
      Edits.push_back({Kind, edit_action::Remove, listFields(R)});
}

struct field_namer {
  std::vector<std::string_view> Names;

  template <class T> void operator()(const field_spec &Field, const T &) {
    Names.push_back(Field.Name);
  }
};

} // namespace

std::string_view nameOf(row_kind Kind) {
  return KindNames[static_cast<std::size_t>(Kind)];
}

std::optional<row_kind> rowKindOf(std::string_view Name) {
  for (std::size_t I = 0; I < KindNames.size(); ++I)
    if (KindNames[I] == Name)
      return static_cast<row_kind>(I);
  return {};
}

std::vector<std::string_view> fieldsOf(row_kind Kind) {
  field_namer Namer;
  const config_table Empty;
  visitKind(Empty, Kind, [&](const auto &Rows) {
    const row_type<decltype(Rows)> Row;
    visitFields(Namer, Row);
  });
  return Namer.Names;
}

std::string field_setter::fault() {
  std::string Known;
  for (std::string_view Name : Names)
    Known.append(Known.empty() ? "" : ", ").append(Name);
  std::set<std::string_view> Seen;
  for (const field_value &Given : Fields) {
    if (std::find(Names.begin(), Names.end(), Given.Field) == Names.end())
      setFault("row: unknown field \"" + Given.Field + "\", allowed: " + Known);
    if (!Seen.insert(Given.Field).second)
      setFault("row: field \"" + Given.Field +
               "\" is given twice, allowed: once");
  }
  return Fault;
}

void field_setter::setFault(std::string Text) {
  if (Fault.empty())
    Fault = std::move(Text);
}

result<config_table> applyEdit(const config_table &Table,
                               const table_edit &Edit,
                               const edit_context &Context) {
  config_table Next = Table;
  status Applied = applyRows(Next, Edit);
  if (failed(Applied))
    return errorOf(Applied);
  recordEdit(Table, Next, Edit, Context);
  status Checked = checkTable(Next);
  if (failed(Checked))
    return errorOf(Checked);
  return Next;
}

status checkMerge(const config_table &Base, const config_table &Latest,
                  const table_edit &Edit) {
  if (Latest.Version < Base.Version)
    return error{error_kind::VersionConflict,
                 "the table went back from version " +
                     std::to_string(Base.Version) + " to " +
                     std::to_string(Latest.Version),
                 {}};
  config_table Wanted = Base;
  status Applied = applyRows(Wanted, Edit);
  if (failed(Applied))
    return Applied;
  for (const row_edit &Row : Edit.Rows) {
    std::string Before = findRowText(Base, Row);
    std::string Current = findRowText(Latest, Row);
    std::string Edited = findRowText(Wanted, Row);
    bool Done = Row.Action == edit_action::Set && Current == Edited;
    if (Current == Before || Done)
      continue;
    return error{error_kind::VersionConflict,
                 std::string(nameOf(Row.Kind)) + " row " + namedKey(Row) +
                     " was changed meanwhile: was {" + textOrAbsent(Before) +
                     "}, is now {" + textOrAbsent(Current) +
                     "}, this edit wants {" + textOrAbsent(Edited) + "}",
                 {}};
  }
  return {};
}

edit_presence findEdit(const config_table &Table, std::string_view Id,
                       std::uint64_t Version) {
  for (const edit_record &R : Table.Edits)
    if (R.Id == Id)
      return edit_presence::Found;
  bool Full = Table.Edits.size() >= MaxEditRecords;
  if (Full && Table.Edits.front().Version > Version)
    return edit_presence::Evicted;
  return edit_presence::Absent;
}

std::vector<row_edit> diffTables(const config_table &From,
                                 const config_table &To) {
  std::vector<row_edit> Edits;
  for (std::size_t I = 0; I < KindNames.size(); ++I) {
    auto Kind = static_cast<row_kind>(I);
    visitKind(From, Kind, [&](const auto &Old) {
      visitKind(To, Kind, [&](const auto &New) {
        if constexpr (std::is_same_v<decltype(Old), decltype(New)>)
          diffRows(Kind, Old, New, Edits);
      });
    });
  }
  return Edits;
}

} // namespace magnoliaspread
