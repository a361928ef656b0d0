#include "json_read_p.h"

#include <algorithm>

namespace magnoliaspread {
namespace {

/// Bytes of a rejected value that a message shows.
constexpr std::size_t MaxQuotedValue = 80;

std::string quoteValue(const boost::json::value &Json) {
  std::string Text = boost::json::serialize(Json);
  if (Text.size() <= MaxQuotedValue)
    return Text;
  return Text.substr(0, MaxQuotedValue) + "...";
}

} // namespace

result<boost::json::value> parseJson(std::string_view Text, error_kind Kind) {
  boost::json::stream_parser Parser;
  boost::system::error_code Fault;
  std::size_t Used = Parser.write_some(Text, Fault);
  if (!Fault)
    Parser.finish(Fault);
  std::string_view Rest = Text.substr(std::min(Used, Text.size()));
  if (!Fault && Rest.find_first_not_of(" \t\r\n") != Rest.npos)
    Fault = boost::json::error::extra_data;
  if (!Fault)
    return Parser.release();
  auto Line = 1 + std::count(Text.begin(), Text.end() - Rest.size(), '\n');
  return error{Kind,
               "line " + std::to_string(Line) + ": " + Fault.message() +
                   ", allowed: JSON",
               {}};
}

bool fromJson(const boost::json::value &Json, std::string &Value) {
  if (!Json.is_string())
    return false;
  Value = Json.get_string().c_str();
  return Value.size() == Json.get_string().size();
}

bool fromJson(const boost::json::value &Json, bool &Value) {
  if (!Json.is_bool())
    return false;
  Value = Json.get_bool();
  return true;
}

bool fromJson(const boost::json::value &Json, drain_state &Value) {
  return Json.is_string() && fromText(Json.get_string(), Value);
}

bool fromJson(const boost::json::value &Json, key_state &Value) {
  return Json.is_string() && fromText(Json.get_string(), Value);
}

bool fromJson(const boost::json::value &Json, double &Value) {
  if (!Json.is_number())
    return false;
  boost::system::error_code Fault;
  Value = roundNumber(Json.to_number<double>(Fault));
  return !Fault;
}

bool fromJson(const boost::json::value &Json,
              std::chrono::milliseconds &Value) {
  std::int64_t Count = 0;
  if (!fromJson(Json, Count))
    return false;
  Value = std::chrono::milliseconds(Count);
  return true;
}

void read_fault::set(std::string Fault) {
  if (Text.empty())
    Text = std::move(Fault);
}

object_reader::object_reader(const boost::json::value &Json, std::string Where,
                             read_fault &Fault)
    : Object(Json.if_object()), Where(std::move(Where)), Fault(Fault) {
  if (!Object)
    Fault.set(this->Where + " is " + quoteValue(Json) + ", allowed: an object");
}

const boost::json::value *object_reader::findField(std::string_view Name,
                                                   presence Presence) {
  if (!Object)
    return nullptr;
  Known.insert(Name);
  const boost::json::value *Json = Object->if_contains(Name);
  if (!Json && Presence != presence::Optional)
    Fault.set(Where + ": field \"" + std::string(Name) + "\" is missing");
  return Json;
}

const boost::json::array *object_reader::findArray(std::string_view Name) {
  const boost::json::value *Json = findField(Name, presence::Optional);
  if (!Json)
    return nullptr;
  if (!Json->is_array())
    Fault.set(faultText(Where, Name, quoteValue(*Json), "an array"));
  return Json->if_array();
}

void object_reader::reject(const field_spec &Field,
                           const boost::json::value &Json,
                           std::string_view Allowed) {
  std::string Value = isSecret(Field) ? "malformed" : quoteValue(Json);
  Fault.set(faultText(Where, Field.Name, Value, Allowed));
}

void object_reader::finish() {
  if (!Object)
    return;
  for (const auto &Member : *Object) {
    if (Known.count(Member.key()))
      continue;
    std::string Names;
    for (std::string_view Name : Known)
      Names.append(Names.empty() ? "" : ", ").append(Name);
    Fault.set(Where + ": unknown field \"" + std::string(Member.key()) +
              "\", allowed: " + Names);
  }
}

std::string object_reader::pathOf(std::string_view Field) const {
  return Where + "." + std::string(Field);
}

} // namespace magnoliaspread
