#include "json_read_p.h"
#include "schema_p.h"

#include <exception>

namespace magnoliaspread {
namespace {

void readOrigin(object_reader &Reader, shift_origin &Origin,
                read_fault &Fault) {
  const boost::json::value *Json =
      Reader.findField("origin", presence::Optional);
  if (!Json)
    return;
  object_reader OriginReader(*Json, "origin", Fault);
  readRows(OriginReader, "from", Origin.From, Fault);
  OriginReader(
      numberField("started_at_ms", presence::Optional, 0, MaxWholeNumber),
      Origin.StartedAtMs);
  OriginReader.finish();
}

config_table readTable(const boost::json::value &Json, read_fault &Fault) {
  config_table Table;
  object_reader Reader(Json, "table", Fault);
  Reader(numberField("version", presence::Required, 0, MaxWholeNumber),
         Table.Version);
  auto ReadKind = [&](std::string_view Kind, auto &Rows) {
    readRows(Reader, Kind, Rows, Fault);
  };
  visitKinds(ReadKind, Table);
  readOrigin(Reader, Table.Origin, Fault);
  readRows(Reader, "edits", Table.Edits, Fault);
  Reader.finish();
  return Table;
}

result<config_table> parseChecked(std::string_view Text) {
  auto Json = parseJson(Text, error_kind::BadTable);
  if (failed(Json))
    return errorOf(Json);
  read_fault Fault;
  config_table Table = readTable(valueOf(Json), Fault);
  if (Fault.found())
    return error{error_kind::BadTable, Fault.Text, {}};
  status Checked = checkTable(Table);
  if (failed(Checked))
    return errorOf(Checked);
  return Table;
}

} // namespace

result<config_table> parseTable(std::string_view Json) {
  try {
    return parseChecked(Json);
  } catch (const std::exception &Fault) {
    return error{error_kind::BadTable, Fault.what(), {}};
  }
}

} // namespace magnoliaspread
