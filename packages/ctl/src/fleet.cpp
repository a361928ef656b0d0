#include "fleet_p.h"

#include "http_get_p.h"

#include <boost/json.hpp>

namespace magnoliaspread {
namespace {

result<std::vector<endpoint_address>>
readAddresses(const std::vector<std::string> &Texts) {
  std::vector<endpoint_address> Addresses;
  for (const std::string &Text : Texts) {
    auto Address = parseAddress(Text);
    if (!Address)
      return error{error_kind::BadRequest,
                   "\"" + Text + "\" is not ADDRESS:PORT with an IP number",
                   {}};
    Addresses.push_back(*Address);
  }
  return Addresses;
}

result<std::vector<endpoint_address>>
readSettings(const std::vector<std::string> &Files) {
  std::vector<endpoint_address> Addresses;
  for (const std::string &File : Files) {
    auto Settings = loadSettings(File);
    if (failed(Settings))
      return errorOf(Settings);
    Addresses.push_back(valueOf(Settings).Admin);
  }
  return Addresses;
}

/// Reads {"admin":{"address":A,"port":P}}; empty for anything else.
std::optional<endpoint_address> adminOf(const stored_object &Object) {
  boost::system::error_code Fault;
  auto Json = boost::json::parse(Object.Value, Fault);
  if (Fault)
    return {};
  const auto *Address = Json.find_pointer("/admin/address", Fault);
  const auto *Port = Json.find_pointer("/admin/port", Fault);
  if (!Address || !Port || !Address->is_string())
    return {};
  auto Number = Port->to_number<std::uint16_t>(Fault);
  if (Fault)
    return {};
  return endpoint_address{std::string(Address->get_string()), Number};
}

result<std::vector<endpoint_address>> listInstances(ctl_context &Context) {
  auto Link = Context.Connect(Context.Platform);
  auto List = listObjects(*Link, InstancePrefix);
  if (failed(List))
    return errorOf(List);
  std::vector<endpoint_address> Addresses;
  for (const stored_object &Object : valueOf(List).Objects)
    if (auto Address = adminOf(Object))
      Addresses.push_back(*Address);
  if (Addresses.empty())
    return error{error_kind::NotFound,
                 "the platform lists no instance with an admin address; give "
                 "--instances or --settings",
                 {}};
  return Addresses;
}

result<boost::json::value> parsePage(const result<std::string> &Body) {
  if (failed(Body))
    return errorOf(Body);
  boost::system::error_code Fault;
  auto Json = boost::json::parse(valueOf(Body), Fault);
  if (Fault)
    return error{error_kind::PeerRejected, Fault.message(), {}};
  return Json;
}

} // namespace

result<std::vector<endpoint_address>>
findInstances(ctl_context &Context, const fleet_options &Options) {
  if (!Options.Addresses.empty())
    return readAddresses(Options.Addresses);
  if (!Options.SettingsFiles.empty())
    return readSettings(Options.SettingsFiles);
  return listInstances(Context);
}

std::vector<instance_page>
queryInstances(const std::vector<endpoint_address> &Addresses,
               const std::string &Path, std::chrono::milliseconds Timeout) {
  auto Bodies = httpGetAll(Addresses, Path, Timeout);
  std::vector<instance_page> Pages;
  for (std::size_t I = 0; I < Addresses.size(); ++I)
    Pages.push_back({Addresses[I], parsePage(Bodies[I])});
  return Pages;
}

} // namespace magnoliaspread
