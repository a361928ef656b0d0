#include "envelope_p.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace magnoliaspread {

namespace json = boost::json;

namespace {

constexpr const char *WriteIdField = "write_id";
constexpr const char *PriorField = "prior_write_ids";
constexpr const char *ValueField = "value";

std::vector<std::string> priorWriteIdsIn(const json::object &Object) {
  std::vector<std::string> Ids;
  const json::value *Prior = Object.if_contains(PriorField);
  if (Prior == nullptr || !Prior->is_array())
    return Ids;
  for (const json::value &Id : Prior->get_array())
    if (Id.is_string() && Ids.size() < MaxPriorWrites)
      Ids.emplace_back(Id.get_string());
  return Ids;
}

} // namespace

std::string wrapValue(const envelope &Envelope) {
  json::array Prior;
  for (const std::string &Id : Envelope.PriorWriteIds)
    Prior.emplace_back(Id);
  std::string Text = "{\"write_id\":";
  Text += json::serialize(json::value(Envelope.WriteId));
  Text += ",\"prior_write_ids\":";
  Text += json::serialize(Prior);
  Text += ",\"value\":";
  Text += Envelope.Value;
  Text += '}';
  return Text;
}

envelope unwrapValue(const json::value &Stored) {
  const json::object *Object = Stored.if_object();
  const json::value *Id =
      Object == nullptr ? nullptr : Object->if_contains(WriteIdField);
  const json::value *Value =
      Object == nullptr ? nullptr : Object->if_contains(ValueField);
  if (Id == nullptr || !Id->is_string() || Value == nullptr)
    return {{}, {}, json::serialize(Stored)};
  return {std::string(Id->get_string()), priorWriteIdsIn(*Object),
          json::serialize(*Value)};
}

} // namespace magnoliaspread
