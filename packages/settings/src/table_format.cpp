#include "schema_p.h"

#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>

namespace magnoliaspread {
namespace {

std::string quote(const std::string &Text) {
  return boost::json::serialize(boost::json::string(Text));
}

/// Appends one row as a JSON object.
struct row_writer {
  std::string &Out;
  bool First = true;

  template <class T> void operator()(const field_spec &Field, const T &Value) {
    Out.append(First ? "\"" : ",\"").append(Field.Name).append("\":");
    First = false;
    if constexpr (std::is_enum_v<T> || std::is_same_v<T, std::string>)
      Out.append(quote(toText(Value)));
    else
      Out.append(toText(Value));
  }
};

template <class Row>
void writeRows(std::string &Out, const std::vector<Row> &Rows,
               std::string_view RowBreak) {
  Out.append("[");
  bool First = true;
  for (const Row &R : Rows) {
    Out.append(First ? "" : ",").append(RowBreak).append("{");
    First = false;
    row_writer Write{Out};
    visitFields(Write, R);
    Out.append("}");
  }
  Out.append("]");
}

std::string writeTable(const config_table &Table, std::string_view KindBreak,
                       std::string_view RowBreak) {
  std::string Out = "{\"version\":" + toText(Table.Version);
  auto WriteKind = [&](std::string_view Kind, const auto &Rows) {
    Out.append(",").append(KindBreak).append("\"").append(Kind).append("\":");
    writeRows(Out, Rows, RowBreak);
  };
  visitKinds(WriteKind, Table);
  Out.append(",").append(KindBreak).append("\"origin\":{\"from\":");
  writeRows(Out, Table.Origin.From, RowBreak);
  Out.append(",\"started_at_ms\":").append(toText(Table.Origin.StartedAtMs));
  Out.append("},").append(KindBreak).append("\"edits\":");
  writeRows(Out, Table.Edits, RowBreak);
  return Out.append("}");
}

} // namespace

std::string formatTable(const config_table &Table) {
  return writeTable(Table, "", "");
}

std::string formatTableRows(const config_table &Table) {
  return writeTable(Table, "\n", "\n  ") + "\n";
}

} // namespace magnoliaspread
