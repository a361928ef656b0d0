#include "substrings.h"
#include "tables.h"

#include <magnoliaspread/table_csv.h>

#include <magnoliaspread/story.h>

using namespace magnoliaspread;

namespace {

void expectRejected(const std::string &Csv,
                    const std::vector<std::string> &Substrings) {
  auto Read = parseCsv(smallTable(), row_kind::Weight, Csv);
  CPPUNIT_ASSERT_MESSAGE(Csv, failed(Read));
  CPPUNIT_ASSERT(errorOf(Read).Kind == error_kind::BadTable);
  expectSubstrings(errorOf(Read).Detail, Substrings);
}

} // namespace

STORY(rows_survive_a_csv_round_trip) {
  config_table Table = smallTable();
  section("every kind of row", [&] {
    for (int I = 0; I < static_cast<int>(row_kind::Count); ++I) {
      auto Kind = static_cast<row_kind>(I);
      auto Read = parseCsv(Table, Kind, formatCsv(Table, Kind));
      CPPUNIT_ASSERT_MESSAGE(failed(Read) ? errorOf(Read).Detail : "",
                             !failed(Read));
      CPPUNIT_ASSERT(valueOf(Read) == Table);
    }
  });
  section("columns may be moved, quoted and left out", [&] {
    auto Read = parseCsv(Table, row_kind::Weight,
                         "service,\"region\",weight\n"
                         "\"calendar\",porto,0.25\r\n\ncalendar,faro,\"4\"");
    CPPUNIT_ASSERT_MESSAGE(failed(Read) ? errorOf(Read).Detail : "",
                           !failed(Read));
    CPPUNIT_ASSERT(valueOf(Read).Weights ==
                   (std::vector<weight_row>{{"porto", "calendar", "*", 0.25, 0},
                                            {"faro", "calendar", "*", 4, 0}}));
  });
  section("commas and quotes in a cell are quoted", [&] {
    Table.Services[0].Prefix = "/a,\"b\"/";
    std::string Csv = formatCsv(Table, row_kind::Service);
    expectSubstrings(Csv, {"\"/a,\"\"b\"\"/\""});
    auto Read = parseCsv(Table, row_kind::Service, Csv);
    CPPUNIT_ASSERT(!failed(Read) && valueOf(Read) == Table);
  });
}

STORY(bad_csv_is_refused_with_its_line) {
  expectRejected("", {"line 1", "column names"});
  expectRejected("region,service,wait\n", {"line 1", "wait", "weight"});
  expectRejected("region,service,weight\nporto,calendar\n",
                 {"line 2", "2 cells", "3"});
  expectRejected("region,service,weight\nporto,calendar,x\n",
                 {"line 2", "weight", "\"x\"", "number"});
  expectRejected("region,weight\nporto,1\n", {"line 2", "service", "missing"});
  expectRejected("region,service\n\nporto,\"calendar\n", {"line 3", "closed"});
  expectRejected("region,service\nporto,\"calendar\"x\n", {"line 2", "comma"});
  expectRejected("region,service\nporto,calendar\nporto,calendar\n",
                 {"region=porto service=calendar", "twice"});
  expectRejected("region,service,region\nporto,calendar,porto\n",
                 {"line 2", "region", "twice"});
}
