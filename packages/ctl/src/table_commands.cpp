#include "edit_run_p.h"

#include <magnoliaspread/table_csv.h>

#include <boost/json.hpp>
#include <fstream>

namespace magnoliaspread {
namespace {

result<config_table> fetchTable(ctl_context &Context) {
  auto Link = Context.Connect(Context.Platform);
  return readTable(*Link);
}

std::string formatForPeople(const config_table &Table,
                            std::optional<row_kind> Kind) {
  return Kind ? formatCsv(Table, *Kind) : formatTableRows(Table);
}

/// One line of JSON; of one kind, the version and its rows.
std::string formatForPrograms(const config_table &Table,
                              std::optional<row_kind> Kind) {
  if (!Kind)
    return formatTable(Table);
  std::string_view Name = nameOf(*Kind);
  boost::json::value Whole = boost::json::parse(formatTable(Table));
  boost::json::object Part{{"version", Table.Version}, {Name, Whole.at(Name)}};
  return boost::json::serialize(Part);
}

result<config_table> readTableFile(const std::string &File) {
  auto Text = readFile(File);
  if (failed(Text))
    return errorOf(Text);
  auto Table = parseTable(valueOf(Text));
  if (!failed(Table))
    return Table;
  error Failure = errorOf(Table);
  Failure.Detail = File + ": " + Failure.Detail;
  return Failure;
}

/// The edits that lead from \p From to \p To. Fails when \p Current has other
/// changes of the rows that they touch.
result<std::vector<row_edit>> planMerge(const config_table &From,
                                        const config_table &To,
                                        const config_table &Current) {
  table_edit Edit{{}, diffTables(From, To)};
  status Merged = checkMerge(From, Current, Edit);
  if (failed(Merged))
    return errorOf(Merged);
  return std::move(Edit.Rows);
}

/// The edits that lead to the file's rows, from its base or else from the
/// current table.
result<std::vector<row_edit>> planCsv(const import_options &Options,
                                      const std::string &Csv,
                                      const std::string &BaseCsv,
                                      const config_table &Current) {
  config_table From = Current;
  if (!Options.BaseFile.empty()) {
    auto Base = parseCsv(Current, *Options.CsvKind, BaseCsv);
    if (failed(Base))
      return errorOf(Base);
    From = std::move(valueOf(Base));
  }
  auto To = parseCsv(From, *Options.CsvKind, Csv);
  if (failed(To))
    return errorOf(To);
  return planMerge(From, valueOf(To), Current);
}

exit_code importCsv(ctl_context &Context, const import_options &Options) {
  auto Csv = readFile(Options.File);
  if (failed(Csv))
    return report(Context, errorOf(Csv));
  result<std::string> Base = std::string();
  if (!Options.BaseFile.empty())
    Base = readFile(Options.BaseFile);
  if (failed(Base))
    return report(Context, errorOf(Base));
  if (Options.BaseFile.empty() && !Options.Edit.IfVersion)
    return report(Context,
                  {error_kind::BadRequest,
                   "a CSV file doesn't say which version it was made from; "
                   "give --if-version or --base",
                   {}});
  return runAndReport(Context, Options.Edit, [&](const config_table &Current) {
    return planCsv(Options, valueOf(Csv), valueOf(Base), Current);
  });
}

/// Without a base, a file replaces only the version it was made from, or the
/// first one.
result<std::vector<row_edit>> planReplacement(const import_options &Options,
                                              const config_table &Current,
                                              const config_table &To) {
  bool Fits = Current.Version == 0 || Current.Version == To.Version;
  if (Fits || Options.Edit.IfVersion)
    return diffTables(Current, To);
  return error{error_kind::VersionConflict,
               "the table has version " + std::to_string(Current.Version) +
                   ", the file was made from " + std::to_string(To.Version) +
                   "; give --base or --if-version",
               {}};
}

exit_code importJson(ctl_context &Context, const import_options &Options) {
  auto To = readTableFile(Options.File);
  if (failed(To))
    return report(Context, errorOf(To));
  if (Options.BaseFile.empty())
    return runAndReport(Context, Options.Edit,
                        [&](const config_table &Current) {
                          return planReplacement(Options, Current, valueOf(To));
                        });
  auto Base = readTableFile(Options.BaseFile);
  if (failed(Base))
    return report(Context, errorOf(Base));
  return runAndReport(Context, Options.Edit, [&](const config_table &Current) {
    return planMerge(valueOf(Base), valueOf(To), Current);
  });
}

} // namespace

exit_code showTable(ctl_context &Context, std::optional<row_kind> Kind) {
  auto Table = fetchTable(Context);
  if (failed(Table))
    return report(Context, errorOf(Table));
  if (Context.Json)
    Context.Out << formatForPrograms(valueOf(Table), Kind) << "\n";
  else
    Context.Out << formatForPeople(valueOf(Table), Kind);
  return exit_code::Ok;
}

exit_code exportTable(ctl_context &Context, const export_options &Options) {
  auto Table = fetchTable(Context);
  if (failed(Table))
    return report(Context, errorOf(Table));
  std::string Text = formatForPeople(valueOf(Table), Options.CsvKind);
  Context.Err << "version=" << valueOf(Table).Version << "\n";
  if (Options.File.empty()) {
    Context.Out << Text;
    return exit_code::Ok;
  }
  std::ofstream File(Options.File, std::ios::binary);
  File << Text;
  File.close();
  if (!File)
    return report(
        Context,
        {error_kind::BadRequest, Options.File + ": can't be written", {}});
  return exit_code::Ok;
}

exit_code importTable(ctl_context &Context, const import_options &Options) {
  if (Options.CsvKind)
    return importCsv(Context, Options);
  return importJson(Context, Options);
}

exit_code editTable(ctl_context &Context, const row_edit &Edit,
                    const edit_options &Options) {
  return runAndReport(Context, Options, fixedPlan({Edit}));
}

} // namespace magnoliaspread
