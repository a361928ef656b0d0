/// Generic access to the rows of a kind by field names and text values.
#ifndef MAGNOLIASPREAD_ROWS_P_H
#define MAGNOLIASPREAD_ROWS_P_H

#include "schema_p.h"

#include <magnoliaspread/table_edit.h>

#include <algorithm>
#include <array>
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
        setFault(faultText("row", Field.Name, shownValue(Field, Given.Value),
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

/// Finds the first required field that is missing from \p Fields.
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

/// Sets the given fields of \p R; returns the fault, or an empty text.
template <class Row>
std::string setFields(Row &R, const std::vector<field_value> &Fields) {
  field_setter Setter(Fields);
  visitFields(Setter, R);
  return Setter.fault();
}

/// The fault when \p Fields lack a field that a new row needs.
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

/// Collects pointers to the key fields of a row, which are all strings.
struct key_visitor {
  static constexpr std::size_t MaxKeyFields = 3;

  std::array<const std::string *, MaxKeyFields> Keys{};
  std::size_t Count = 0;

  template <class T> void operator()(const field_spec &Field, const T &Value) {
    if constexpr (std::is_same_v<T, std::string>)
      if (Field.Presence == presence::Key)
        Keys[Count++] = &Value;
  }
};

template <class Row> bool sameKey(const Row &A, const Row &B) {
  key_visitor KeysOfA;
  key_visitor KeysOfB;
  visitFields(KeysOfA, A);
  visitFields(KeysOfB, B);
  for (std::size_t I = 0; I < KeysOfA.Count; ++I)
    if (*KeysOfA.Keys[I] != *KeysOfB.Keys[I])
      return false;
  return true;
}

/// The row with the key of \p Named, or the end.
template <class Rows, class Row> auto findRow(Rows &In, const Row &Named) {
  return std::find_if(In.begin(), In.end(),
                      [&](const Row &R) { return sameKey(R, Named); });
}

} // namespace magnoliaspread

#endif
