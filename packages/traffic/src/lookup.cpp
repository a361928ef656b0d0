#include <magnoliaspread/lookup.h>

#include <boost/json.hpp>

namespace magnoliaspread {

namespace {

status readParameter(std::string_view Parameter, lookup_query &Query) {
  const std::size_t Equals = Parameter.find('=');
  const std::string_view Name = Parameter.substr(0, Equals);
  const std::string_view Value = Equals == std::string_view::npos
                                     ? std::string_view()
                                     : Parameter.substr(Equals + 1);
  if (Name == "service")
    Query.Service = Value;
  else if (Name == "client")
    Query.Client = Value;
  else
    return error{error_kind::BadRequest,
                 "unknown parameter " + std::string(Name) +
                     "; allowed: service, client",
                 {}};
  return {};
}

boost::json::object instanceJson(const instance_view &Instance) {
  return {{"name", Instance.Name},
          {"data_centre", Instance.DataCentre},
          {"region", Instance.Region},
          {"address", Instance.Public.Address},
          {"port", Instance.Public.Port}};
}

} // namespace

result<lookup_query> parseLookup(std::string_view Target) {
  lookup_query Query;
  const std::size_t Mark = Target.find('?');
  if (Mark == std::string_view::npos)
    return Query;
  std::string_view Rest = Target.substr(Mark + 1);
  while (!Rest.empty()) {
    const std::size_t End = std::min(Rest.find('&'), Rest.size());
    const status Read = readParameter(Rest.substr(0, End), Query);
    if (failed(Read))
      return errorOf(Read);
    Rest.remove_prefix(std::min(End + 1, Rest.size()));
  }
  return Query;
}

result<std::string> answerLookup(const traffic_view &View,
                                 const lookup_query &Query,
                                 std::chrono::milliseconds TimeToLive,
                                 std::string_view Ticket) {
  if (View.Config == nullptr)
    return error{error_kind::NoCapacity, "no configuration is in force", {}};
  if (!Query.Service.empty() &&
      !View.Config->Services.contains(std::string_view(Query.Service)))
    return error{error_kind::UnknownRoute, "no service " + Query.Service, {}};
  boost::json::array Instances;
  for (const instance_view &Instance : View.Instances)
    Instances.push_back(instanceJson(Instance));
  const boost::json::object Answer{{"instances", std::move(Instances)},
                                   {"ttl_ms", TimeToLive.count()},
                                   {"ticket", Ticket},
                                   {"version", View.Config->Table.Version}};
  return boost::json::serialize(Answer);
}

} // namespace magnoliaspread
