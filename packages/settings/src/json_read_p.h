/// Reads JSON objects field by field against field_spec descriptions and keeps
/// the first fault.
#ifndef MAGNOLIASPREAD_JSON_READ_P_H
#define MAGNOLIASPREAD_JSON_READ_P_H

#include "field_p.h"

#include <boost/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliaspread {

/// Parses a whole text; a fault names the line.
result<boost::json::value> parseJson(std::string_view Text, error_kind Kind);

/// Converts \p Json to \p Value; false when it is of another type.
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

/// The first fault found in a text; later ones are dropped.
struct read_fault {
  std::string Text;

  bool found() const { return !Text.empty(); }
  void set(std::string Fault);
};

/// Visits the fields of one object. Call finish() after the last field.
class object_reader {
public:
  /// \p Where names the object in faults.
  object_reader(const boost::json::value &Json, std::string Where,
                read_fault &Fault);

  /// Reads one field; an optional one keeps its value when it is left out.
  template <class T> void operator()(const field_spec &Field, T &Value) {
    const boost::json::value *Json = take(Field.Name, Field.Presence);
    if (!Json)
      return;
    T Read{};
    if (fromJson(*Json, Read) && allows(Field, Read))
      Value = Read;
    else
      reject(Field, *Json, allowedText(Field, Value));
  }

  /// The value of field \p Name, or null when it is left out.
  const boost::json::value *take(std::string_view Name, presence Presence);

  /// The array in field \p Name, or null; another type is a fault.
  const boost::json::array *takeArray(std::string_view Name);

  void reject(const field_spec &Field, const boost::json::value &Json,
              std::string_view Allowed);

  /// Faults on any field that was not asked for.
  void finish();

  /// Name of a part of this object in faults.
  std::string nameOf(std::string_view Field) const;

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
  const boost::json::array *Array = Reader.takeArray(Kind);
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
