#include "sharejson_p.h"

#include <boost/json.hpp>

namespace magnoliaspread {

namespace json = boost::json;

namespace {

json::object identityJson(const process_identity &Process) {
  return {{"name", Process.Name}, {"incarnation", Process.Incarnation}};
}

process_identity readIdentity(const json::value &Value) {
  return {Value.at("name").as_string().c_str(),
          Value.at("incarnation").to_number<std::uint64_t>()};
}

share_record readRecord(const json::value &Value) {
  share_record Record;
  Record.Holder = readIdentity(Value.at("holder"));
  Record.Renewal = Value.at("renewal").to_number<std::uint64_t>();
  Record.State = Value.at("state").as_string() == "held"
                     ? lease_state::Held
                     : lease_state::Released;
  Record.ConfigVersion = Value.at("config_version").to_number<std::uint64_t>();
  Record.FractionPpm = Value.at("fraction_ppm").to_number<std::uint32_t>();
  for (const json::value &Process : Value.at("roster").as_array())
    Record.Roster.push_back(readIdentity(Process));
  return Record;
}

} // namespace

std::string formatShare(const share_record &Record) {
  json::array Roster;
  for (const process_identity &Process : Record.Roster)
    Roster.push_back(identityJson(Process));
  const json::object Object{
      {"holder", identityJson(Record.Holder)},
      {"renewal", Record.Renewal},
      {"state", Record.State == lease_state::Held ? "held" : "released"},
      {"config_version", Record.ConfigVersion},
      {"fraction_ppm", Record.FractionPpm},
      {"roster", std::move(Roster)}};
  return json::serialize(Object);
}

result<share_record> parseShare(std::string_view Text) {
  boost::system::error_code Failure;
  const json::value Value =
      json::parse(json::string_view(Text.data(), Text.size()), Failure);
  if (Failure)
    return error{error_kind::BadTable, "a share's record is not JSON", {}};
  try {
    return readRecord(Value);
  } catch (const std::exception &Problem) {
    return error{error_kind::BadTable,
                 std::string("a share's record: ") + Problem.what(),
                 {}};
  }
}

} // namespace magnoliaspread
