/// Reads JSON objects field by field, checks them against field_spec
/// descriptions and records the first fault.
#ifndef MAGNOLIASPREAD_JSON_READ_P_H
#define MAGNOLIASPREAD_JSON_READ_P_H

#include "field_p.h"

#include <boost/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliaspread {

/// Parses a complete JSON text; an error names the line.
result<boost::json::value> parseJson(std::string_view Text, error_kind Kind);

/// Converts \p Json to \p Value; false when it has another type.
bool fromJson(const boost::json::value &Json, std::string &Value);
bool fromJson(const boost::json::value &Json, bool &Value);
bool fromJson(const boost::json::value &Json, drain_state &Value);
bool fromJson(const boost::json::value &Json, key_state &Value);
bool fromJson(const boost::json::value &Json, double &Value);
bool fromJson(const boost::json::value &Json, std::chrono::milliseconds &Value);
template <whole_number T>
bool fromJson(const boost::json::value &Json, T &Value) {
  boost::system::error_code Fault;
  T Read = Json.to_number<T>(Fault);
  if (Fault || Json.is_double())
    return false;
  Value = Read;
  return true;
}

/// The first fault found in a text; later ones are discarded.
struct read_fault {
  std::string Text;

  bool found() const { return !Text.empty(); }
  void set(std::string Fault);
};

/// Visits the fields of one object. Call finish() after the last field.
class object_reader {
public:
  /// \p Where is the object's path in error messages.
  object_reader(const boost::json::value &Json, std::string Where,
                read_fault &Fault);

  /// Reads one field; an absent optional field leaves \p Value unchanged.
  template <class T> void operator()(const field_spec &Field, T &Value) {
    const boost::json::value *Json = findField(Field.Name, Field.Presence);
    if (!Json)
      return;
    T Read{};
    if (fromJson(*Json, Read) && allows(Field, Read))
      Value = Read;
    else
      reject(Field, *Json, allowedText(Field, Value));
  }

  /// The value of field \p Name, or null when it is absent.
  const boost::json::value *findField(std::string_view Name, presence Presence);

  /// The array in field \p Name, or null; another type is a fault.
  const boost::json::array *findArray(std::string_view Name);

  void reject(const field_spec &Field, const boost::json::value &Json,
              std::string_view Allowed);

  /// Reports fields that were not read as unknown.
  void finish();

  /// Path of \p Field in error messages.
  std::string pathOf(std::string_view Field) const;

private:
  const boost::json::object *Object = nullptr;
  std::string Where;
  read_fault &Fault;
  std::set<std::string_view> Known;
};

/// Reads the array in field \p Kind; rows are described by visitFields().
template <class Row>
void readRows(object_reader &Reader, std::string_view Kind,
              std::vector<Row> &Rows, read_fault &Fault) {
  const boost::json::array *Array = Reader.findArray(Kind);
  if (!Array)
    return;
  Rows.reserve(Array->size());
  for (const boost::json::value &Json : *Array) {
    std::string Where =
        std::string(Kind) + "[" + std::to_string(Rows.size()) + "]";
    object_reader RowReader(Json, std::move(Where), Fault);
    visitFields(RowReader, Rows.emplace_back());
    RowReader.finish();
  }
}

} // namespace magnoliaspread

#endif
