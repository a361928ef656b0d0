#include "schema_p.h"

#include <magnoliaspread/config.h>

#include <exception>
#include <map>
#include <set>

namespace magnoliaspread {
namespace {

using name_set = std::set<std::string_view>;

/// Finds the first fault of a table.
class table_checker {
public:
  explicit table_checker(const config_table &Table) : Table(Table) {}

  std::string run();

private:
  template <class Row>
  void checkRows(std::string_view Kind, const std::vector<Row> &Rows);
  void checkRowCounts();
  void checkDataCentresAndLinks();
  void checkServices();
  void checkTargets();
  void checkKeys();
  void checkWeights();
  void checkShifts();
  void checkReference(const std::string &Where, std::string_view Field,
                      const std::string &Value, const name_set &Names);
  void checkUnique(name_set &Seen, const std::string &Where,
                   std::string_view Field, const std::string &Value);
  void setFault(std::string Text);

  const config_table &Table;
  std::string Fault;
  name_set Regions, DataCentres, Services, Workspaces;
};

/// Checks the values of one row against their fields.
struct value_checker {
  const std::string &Where;
  std::string Fault;

  template <class T> void operator()(const field_spec &Field, const T &Value) {
    if (Fault.empty() && !allows(Field, Value))
      Fault = faultText(Where, Field.Name, shownValue(Field, toText(Value)),
                        allowedText(Field, Value));
  }
};

template <class Row>
std::string describeRow(std::string_view Kind, const Row &R) {
  return std::string(Kind) + " row " + rowKey(R);
}

void table_checker::setFault(std::string Text) {
  if (Fault.empty())
    Fault = std::move(Text);
}

template <class Row>
void table_checker::checkRows(std::string_view Kind,
                              const std::vector<Row> &Rows) {
  std::set<std::string> Keys;
  for (const Row &R : Rows) {
    std::string Where = describeRow(Kind, R);
    value_checker Check{Where, {}};
    visitFields(Check, R);
    if (!Check.Fault.empty())
      setFault(std::move(Check.Fault));
    if (!Keys.insert(rowKey(R)).second)
      setFault(Where + " appears twice, allowed: once");
  }
}

void table_checker::checkReference(const std::string &Where,
                                   std::string_view Field,
                                   const std::string &Value,
                                   const name_set &Names) {
  if (Names.count(Value))
    return;
  std::string Allowed;
  for (std::string_view Name : Names)
    Allowed.append(Allowed.empty() ? "one of " : ", ").append(Name);
  setFault(
      faultText(Where, Field, "\"" + Value + "\"",
                Allowed.empty() ? "none, as there are no such rows" : Allowed));
}

void table_checker::checkUnique(name_set &Seen, const std::string &Where,
                                std::string_view Field,
                                const std::string &Value) {
  if (!Seen.insert(Value).second)
    setFault(faultText(Where, Field, "\"" + Value + "\"",
                       "a value that no other row has"));
}

void table_checker::checkRowCounts() {
  auto Check = [&](std::string_view Kind, std::size_t Rows, std::size_t Max) {
    if (Rows > Max)
      setFault(std::string(Kind) + " has " + std::to_string(Rows) +
               " rows, allowed: at most " + std::to_string(Max));
  };
  Check("regions", Table.Regions.size(), MaxRegions);
  Check("data_centres", Table.DataCentres.size(), MaxDataCentres);
  Check("services", Table.Services.size(), MaxServices);
  Check("targets", Table.Targets.size(), MaxTargets);
  Check("workspaces", Table.Workspaces.size(), MaxWorkspaces);
  Check("edits", Table.Edits.size(), MaxEditRecords);
}

void table_checker::checkDataCentresAndLinks() {
  std::uint32_t Permille = 0;
  for (const data_centre_row &R : Table.DataCentres) {
    checkReference(describeRow("data_centres", R), "region", R.Region, Regions);
    Permille += R.QuotaPermille;
  }
  if (Permille > MaxPermille)
    setFault("data_centres: the sum of quota_permille is " +
             std::to_string(Permille) + ", allowed: at most 1000");
  for (const link_row &R : Table.Links) {
    std::string Where = describeRow("links", R);
    checkReference(Where, "from", R.From, Regions);
    checkReference(Where, "to", R.To, Regions);
    if (R.From == R.To)
      setFault(faultText(Where, "to", "\"" + R.To + "\"", "another region"));
  }
}

void table_checker::checkServices() {
  name_set Prefixes;
  for (const service_row &R : Table.Services)
    checkUnique(Prefixes, describeRow("services", R), "prefix", R.Prefix);
}

void table_checker::checkTargets() {
  std::map<std::string, std::string> Owners;
  for (const target_row &R : Table.Targets) {
    std::string Where = describeRow("targets", R);
    checkReference(Where, "service", R.Service, Services);
    checkReference(Where, "data_centre", R.DataCentre, DataCentres);
    std::string Endpoint =
        R.Service + " at " + R.Address + ":" + std::to_string(R.Port);
    auto [Other, Inserted] = Owners.emplace(Endpoint, R.Name);
    if (!Inserted)
      setFault(faultText(Where, "port", std::to_string(R.Port),
                         "an address that no other row of service \"" +
                             R.Service + "\" has; row name=" + Other->second +
                             " has it"));
  }
}

void table_checker::checkKeys() {
  name_set Hashes;
  for (const key_row &R : Table.Keys) {
    std::string Where = describeRow("keys", R);
    checkReference(Where, "workspace", R.Workspace, Workspaces);
    checkUnique(Hashes, Where, "hash", R.Hash);
  }
}

void table_checker::checkWeights() {
  std::map<std::string, double> Sums;
  for (const weight_row &R : Table.Weights) {
    std::string Where = describeRow("weights", R);
    checkReference(Where, "region", R.Region, Regions);
    checkReference(Where, "service", R.Service, Services);
    if (R.Workspace != AnyName)
      checkReference(Where, "workspace", R.Workspace, Workspaces);
    Sums["service=" + R.Service + " workspace=" + R.Workspace] += R.Weight;
  }
  for (const auto &[Group, Sum] : Sums)
    if (!(Sum > 0))
      setFault("weights rows " + Group +
               ": the sum of field \"weight\" is 0, allowed: more than 0");
}

void table_checker::checkShifts() {
  for (const shift_row &R : Table.Shifts)
    if (R.Service != AnyName)
      checkReference(describeRow("shifts", R), "service", R.Service, Services);
}

template <class Row> name_set namesOf(const std::vector<Row> &Rows) {
  name_set Names;
  for (const Row &R : Rows)
    Names.insert(R.Name);
  return Names;
}

std::string table_checker::run() {
  Regions = namesOf(Table.Regions);
  DataCentres = namesOf(Table.DataCentres);
  Services = namesOf(Table.Services);
  Workspaces = namesOf(Table.Workspaces);
  auto CheckKind = [&](std::string_view Kind, const auto &Rows) {
    checkRows(Kind, Rows);
  };
  checkRowCounts();
  visitKinds(CheckKind, Table);
  checkRows("origin.from", Table.Origin.From);
  checkRows("edits", Table.Edits);
  checkDataCentresAndLinks();
  checkServices();
  checkTargets();
  checkKeys();
  checkWeights();
  checkShifts();
  return Fault;
}

} // namespace

status checkTable(const config_table &Table) {
  try {
    std::string Fault = table_checker(Table).run();
    if (!Fault.empty())
      return error{error_kind::BadTable, std::move(Fault), {}};
    return {};
  } catch (const std::exception &Fault) {
    return error{error_kind::BadTable, Fault.what(), {}};
  }
}

} // namespace magnoliaspread
