#include "context_p.h"

#include <arpa/inet.h>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <fstream>
#include <iostream>
#include <iterator>

namespace magnoliaspread {

exit_code exitCodeOf(error_kind Kind) {
  switch (Kind) {
  case error_kind::VersionConflict:
    return exit_code::Conflict;
  case error_kind::PlatformUnavailable:
  case error_kind::OutcomeUnknown:
    return exit_code::Unavailable;
  default:
    return exit_code::Refused;
  }
}

exit_code report(ctl_context &Context, const error &Failure) {
  std::string_view Kind = answerOf(Failure.Kind).Name;
  if (Context.Json)
    Context.Out << boost::json::serialize(boost::json::value{
                       {"error", {{"kind", Kind}, {"detail", Failure.Detail}}}})
                << "\n";
  else
    Context.Err << "magnoliactl: " << Kind << ": " << Failure.Detail << "\n";
  return exitCodeOf(Failure.Kind);
}

void print(ctl_context &Context, const boost::json::value &Value,
           std::string_view Text) {
  if (Context.Json)
    Context.Out << boost::json::serialize(Value) << "\n";
  else
    Context.Out << Text;
}

result<std::string> readFile(const std::string &Name) {
  if (Name == "-")
    return std::string{std::istreambuf_iterator<char>(std::cin), {}};
  std::ifstream File(Name, std::ios::binary);
  if (!File)
    return error{error_kind::BadRequest, Name + ": can't be opened", {}};
  return std::string{std::istreambuf_iterator<char>(File), {}};
}

std::optional<endpoint_address> parseAddress(std::string_view Text) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == Text.npos)
    return {};
  std::string_view Host = Text.substr(0, Colon);
  std::string_view PortText = Text.substr(Colon + 1);
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    Host = Host.substr(1, Host.size() - 2);
  endpoint_address Address{std::string(Host), 0};
  unsigned char Bytes[sizeof(in6_addr)];
  if (inet_pton(AF_INET, Address.Address.c_str(), Bytes) != 1 &&
      inet_pton(AF_INET6, Address.Address.c_str(), Bytes) != 1)
    return {};
  const char *End = PortText.data() + PortText.size();
  auto [Stop, Fault] = std::from_chars(PortText.data(), End, Address.Port);
  if (Fault != std::errc() || Stop != End || Address.Port == 0)
    return {};
  return Address;
}

std::string formatAddress(const endpoint_address &Address) {
  bool IsIpv6 = Address.Address.find(':') != std::string::npos;
  std::string Host = IsIpv6 ? "[" + Address.Address + "]" : Address.Address;
  return Host + ":" + std::to_string(Address.Port);
}

} // namespace magnoliaspread
