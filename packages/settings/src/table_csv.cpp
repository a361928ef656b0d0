#include <magnoliaspread/table_csv.h>

#include "rows_p.h"

#include <exception>

namespace magnoliaspread {
namespace {

struct csv_record {
  std::size_t Line = 0;
  std::vector<std::string> Cells;
};

error badLine(std::size_t Line, const std::string &Fault) {
  return {
      error_kind::BadTable, "line " + std::to_string(Line) + ": " + Fault, {}};
}

/// Splits CSV text into records.
class csv_reader {
public:
  explicit csv_reader(std::string_view Text) : Text(Text) {}

  result<std::vector<csv_record>> run();

private:
  bool atEnd() const { return At == Text.size(); }
  bool skipLineBreak();
  status readCell(std::string &Cell);
  status readQuoted(std::string &Cell);
  status readRecord(csv_record &Record);

  std::string_view Text;
  std::size_t At = 0;
  std::size_t Line = 1;
};

bool csv_reader::skipLineBreak() {
  if (Text.substr(At, 2) == "\r\n")
    At += 2;
  else if (Text.substr(At, 1) == "\n")
    At += 1;
  else
    return false;
  ++Line;
  return true;
}

status csv_reader::readQuoted(std::string &Cell) {
  std::size_t OpenedAt = Line;
  for (++At; !atEnd(); ++At) {
    char C = Text[At];
    if (C == '\n')
      ++Line;
    if (C != '"') {
      Cell.push_back(C);
      continue;
    }
    if (Text.substr(At + 1, 1) != "\"") {
      ++At;
      return {};
    }
    Cell.push_back('"');
    ++At;
  }
  return badLine(OpenedAt, "a quoted cell isn't closed, allowed: a final \"");
}

status csv_reader::readCell(std::string &Cell) {
  if (!atEnd() && Text[At] == '"')
    return readQuoted(Cell);
  std::size_t End = std::min(Text.find_first_of(",\r\n\"", At), Text.size());
  Cell = Text.substr(At, End - At);
  At = End;
  return {};
}

status csv_reader::readRecord(csv_record &Record) {
  Record.Line = Line;
  while (true) {
    status Read = readCell(Record.Cells.emplace_back());
    if (failed(Read))
      return Read;
    if (atEnd() || skipLineBreak())
      return {};
    if (Text[At] != ',')
      return badLine(Line, "a cell is followed by \"" +
                               std::string(1, Text[At]) +
                               "\", allowed: a comma or the line's end");
    ++At;
  }
}

result<std::vector<csv_record>> csv_reader::run() {
  std::vector<csv_record> Records;
  while (!atEnd()) {
    if (skipLineBreak())
      continue;
    status Read = readRecord(Records.emplace_back());
    if (failed(Read))
      return errorOf(Read);
  }
  return Records;
}

std::string quoteCell(const std::string &Cell) {
  if (Cell.find_first_of(",\"\r\n") == Cell.npos)
    return Cell;
  std::string Quoted = "\"";
  for (char C : Cell)
    Quoted.append(C == '"' ? 2 : 1, C);
  return Quoted + "\"";
}

std::string formatLine(const std::vector<std::string> &Cells) {
  std::string Line;
  for (const std::string &Cell : Cells)
    Line.append(&Cell == &Cells.front() ? "" : ",").append(quoteCell(Cell));
  return Line + "\r\n";
}

/// Pairs each cell with the column name at its position in \p Header.
result<std::vector<field_value>> pairCells(const csv_record &Header,
                                           const csv_record &Record) {
  if (Record.Cells.size() != Header.Cells.size())
    return badLine(Record.Line, "has " + std::to_string(Record.Cells.size()) +
                                    " cells, allowed: " +
                                    std::to_string(Header.Cells.size()) +
                                    " as in the line of column names");
  std::vector<field_value> Fields;
  for (std::size_t I = 0; I < Header.Cells.size(); ++I)
    Fields.push_back({Header.Cells[I], Record.Cells[I]});
  return Fields;
}

template <class Row>
status readRow(std::vector<Row> &Rows, const csv_record &Header,
               const csv_record &Record) {
  auto Fields = pairCells(Header, Record);
  if (failed(Fields))
    return errorOf(Fields);
  std::string Fault = missingField<Row>(valueOf(Fields));
  if (Fault.empty())
    Fault = setFields(Rows.emplace_back(), valueOf(Fields));
  if (!Fault.empty())
    return badLine(Record.Line, Fault);
  return {};
}

template <class Row>
status readRows(std::vector<Row> &Rows,
                const std::vector<csv_record> &Records) {
  Rows.clear();
  for (std::size_t I = 1; I < Records.size(); ++I) {
    status Read = readRow(Rows, Records.front(), Records[I]);
    if (failed(Read))
      return Read;
  }
  return {};
}

status checkHeader(row_kind Kind, const csv_record &Header) {
  auto Names = fieldsOf(Kind);
  std::string Known;
  for (std::string_view Name : Names)
    Known.append(Known.empty() ? "" : ", ").append(Name);
  for (const std::string &Cell : Header.Cells) {
    if (std::find(Names.begin(), Names.end(), Cell) != Names.end())
      continue;
    std::string Fault = "unknown column \"";
    Fault.append(Cell).append("\", allowed: ").append(Known);
    return badLine(Header.Line, Fault);
  }
  return {};
}

result<config_table> parseChecked(const config_table &Table, row_kind Kind,
                                  std::string_view Csv) {
  auto Records = csv_reader(Csv).run();
  if (failed(Records))
    return errorOf(Records);
  if (valueOf(Records).empty())
    return badLine(1, "the text is empty, allowed: a line of column names");
  status Result = checkHeader(Kind, valueOf(Records).front());
  config_table Next = Table;
  if (!failed(Result))
    visitKind(Next, Kind,
              [&](auto &Rows) { Result = readRows(Rows, valueOf(Records)); });
  if (!failed(Result))
    Result = checkTable(Next);
  if (failed(Result))
    return errorOf(Result);
  return Next;
}

} // namespace

std::string formatCsv(const config_table &Table, row_kind Kind) {
  std::vector<std::string> Names;
  for (std::string_view Name : fieldsOf(Kind))
    Names.emplace_back(Name);
  std::string Text = formatLine(Names);
  visitKind(Table, Kind, [&](const auto &Rows) {
    for (const auto &R : Rows) {
      std::vector<std::string> Cells;
      for (field_value &F : listFields(R))
        Cells.push_back(std::move(F.Value));
      Text.append(formatLine(Cells));
    }
  });
  return Text;
}

result<config_table> parseCsv(const config_table &Table, row_kind Kind,
                              std::string_view Csv) {
  try {
    return parseChecked(Table, Kind, Csv);
  } catch (const std::exception &Fault) {
    return error{error_kind::BadTable, Fault.what(), {}};
  }
}

} // namespace magnoliaspread
