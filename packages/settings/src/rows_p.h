/// Generic access to the rows of a kind by field names and text values.
#ifndef MAGNOLIASPREAD_ROWS_P_H
#define MAGNOLIASPREAD_ROWS_P_H

#include "schema_p.h"

#include <magnoliaspread/table_edit.h>

#include <algorithm>
#include <string>
#include <vector>

namespace magnoliaspread {

/// Calls \p Visit with the vector of rows of \p Kind.
template <class Table, class Visitor>
void visitKind(Table &T, row_kind Kind, Visitor Visit) {
  auto VisitNamed = [&](std::string_view Name, auto &Rows) {
    if (Name == nameOf(Kind))
      Visit(Rows);
  };
  visitKinds(VisitNamed, T);
}

/// Reads text values into the fields of a row.
class field_setter {
public:
  explicit field_setter(const std::vector<field_value> &Fields)
      : Fields(Fields) {}

  template <class T> void operator()(const field_spec &Field, T &Value) {
    Names.push_back(Field.Name);
    for (const field_value &Given : Fields) {
      if (Given.Field != Field.Name)
        continue;
      T Read{};
      if (fromText(Given.Value, Read) && allows(Field, Read))
        Value = Read;
      else
        setFault(faultText("row", Field.Name, "\"" + Given.Value + "\"",
                           allowedText(Field, Value)));
    }
  }

  /// The first fault, after all fields were visited; empty when there is none.
  std::string fault();

private:
  void setFault(std::string Text);

  const std::vector<field_value> &Fields;
  std::vector<std::string_view> Names;
  std::string Fault;
};

/// Names the first required field that \p Fields leave out.
struct missing_field_visitor {
  const std::vector<field_value> &Fields;
  std::string Missing;

  template <class T> void operator()(const field_spec &Field, const T &Value) {
    bool Needed = Field.Presence == presence::Required ||
                  (Field.Presence == presence::Key && toText(Value).empty());
    auto Given = [&](const field_value &F) { return F.Field == Field.Name; };
    if (Needed && Missing.empty() &&
        std::none_of(Fields.begin(), Fields.end(), Given))
      Missing = Field.Name;
  }
};

/// Sets the named fields of \p R; returns the fault or nothing.
template <class Row>
std::string setFields(Row &R, const std::vector<field_value> &Fields) {
  field_setter Setter(Fields);
  visitFields(Setter, R);
  return Setter.fault();
}

/// The fault when \p Fields are not enough for a new row.
template <class Row>
std::string missingField(const std::vector<field_value> &Fields) {
  missing_field_visitor Visit{Fields, {}};
  const Row Empty;
  visitFields(Visit, Empty);
  if (Visit.Missing.empty())
    return {};
  return "row: field \"" + Visit.Missing + "\" is missing";
}

/// Collects every field as a text value.
struct field_lister {
  std::vector<field_value> Fields;

  template <class T> void operator()(const field_spec &Field, const T &Value) {
    Fields.push_back({std::string(Field.Name), toText(Value)});
  }
};

template <class Row> std::vector<field_value> listFields(const Row &R) {
  field_lister Lister;
  visitFields(Lister, R);
  return std::move(Lister.Fields);
}

/// All fields as "field=value field=value".
template <class Row> std::string rowText(const Row &R) {
  std::string Text;
  for (const field_value &F : listFields(R))
    Text.append(Text.empty() ? "" : " ").append(F.Field + "=" + F.Value);
  return Text;
}

/// The row with that key, or the end.
template <class Rows> auto findRow(Rows &In, const std::string &Key) {
  return std::find_if(In.begin(), In.end(),
                      [&](const auto &R) { return rowKey(R) == Key; });
}

} // namespace magnoliaspread

#endif
