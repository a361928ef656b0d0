#include "fleet_p.h"
#include "http_get_p.h"

#include <boost/json.hpp>

namespace magnoliaspread {
namespace {

std::string plainText(const boost::json::value &Value) {
  if (Value.is_string())
    return std::string(Value.get_string());
  return boost::json::serialize(Value);
}

/// One line of key=value pairs.
std::string statusLine(const instance_page &Page) {
  std::string Line = "admin=" + formatAddress(Page.Address);
  if (failed(Page.Page)) {
    const error &Failure = errorOf(Page.Page);
    Line.append(" error=").append(answerOf(Failure.Kind).Name);
    return Line.append(" detail=\"").append(Failure.Detail).append("\"\n");
  }
  if (const auto *Fields = valueOf(Page.Page).if_object())
    for (const auto &Field : *Fields)
      Line.append(" ")
          .append(Field.key())
          .append("=")
          .append(plainText(Field.value()));
  return Line.append("\n");
}

boost::json::object statusJson(const instance_page &Page) {
  boost::json::object Json{{"admin", formatAddress(Page.Address)}};
  if (!failed(Page.Page)) {
    Json["status"] = valueOf(Page.Page);
    return Json;
  }
  const error &Failure = errorOf(Page.Page);
  Json["error"] = {{"kind", answerOf(Failure.Kind).Name},
                   {"detail", Failure.Detail}};
  return Json;
}

std::size_t countAnswers(const std::vector<instance_page> &Pages) {
  std::size_t Answered = 0;
  for (const instance_page &Page : Pages)
    Answered += failed(Page.Page) ? 0 : 1;
  return Answered;
}

/// Names and numbers only, so that the query needs no escapes.
bool isPlain(const std::string &Text) {
  constexpr std::string_view Allowed = "abcdefghijklmnopqrstuvwxyz"
                                       "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                       "0123456789.:_-";
  return Text.find_first_not_of(Allowed) == std::string::npos;
}

} // namespace

exit_code showStatus(ctl_context &Context, const fleet_options &Options) {
  auto Addresses = findInstances(Context, Options);
  if (failed(Addresses))
    return report(Context, errorOf(Addresses));
  auto Pages = queryInstances(valueOf(Addresses), "/status", Options.Timeout);
  std::size_t Answered = countAnswers(Pages);
  boost::json::array Rows;
  std::string Text;
  for (const instance_page &Page : Pages) {
    Rows.push_back(statusJson(Page));
    Text.append(statusLine(Page));
  }
  Text.append("instances=" + std::to_string(Pages.size()) +
              " answered=" + std::to_string(Answered) + "\n");
  print(Context, {{"instances", Rows}, {"answered", Answered}}, Text);
  return Answered == Pages.size() ? exit_code::Ok : exit_code::Refused;
}

exit_code lookUp(ctl_context &Context, const lookup_options &Options) {
  auto Address = parseAddress(Options.Instance);
  if (!Address || !isPlain(Options.Service) || !isPlain(Options.Client))
    return report(Context, {error_kind::BadRequest,
                            "allowed: --instance ADDRESS:PORT, --service NAME, "
                            "--client IP number",
                            {}});
  std::string Target = "/v1/lookup?service=" + Options.Service;
  if (!Options.Client.empty())
    Target += "&client=" + Options.Client;
  auto Bodies = httpGetAll({*Address}, Target, Options.Timeout);
  if (failed(Bodies.front()))
    return report(Context, errorOf(Bodies.front()));
  Context.Out << valueOf(Bodies.front()) << "\n";
  return exit_code::Ok;
}

} // namespace magnoliaspread
