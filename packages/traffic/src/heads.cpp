#include "heads_p.h"

#include <array>
#include <charconv>

namespace magnoliaspread {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

constexpr std::array<std::string_view, 10> HopFields{"Connection",
                                                     "Keep-Alive",
                                                     "Proxy-Connection",
                                                     "Proxy-Authenticate",
                                                     "TE",
                                                     "Trailer",
                                                     "Upgrade",
                                                     "Expect",
                                                     "HTTP2-Settings",
                                                     "Proxy-Authorization"};
constexpr std::array<std::string_view, 13> FleetFields{
    "Authorization",   "X-Api-Key",         "X-Workspace",
    "X-Request-Id",    "X-Deadline-Ms",     "X-Repeatable",
    "X-Ticket",        "X-Fleet-Workspace", "X-Fleet-Signature",
    "X-Fleet-Service", "X-Fleet-Sent-Ms"};

request_header copyEndToEnd(const request_header &Head) {
  request_header Copy(Head);
  for (const auto &Field : http::token_list(Head[http::field::connection]))
    Copy.erase(Field);
  for (std::string_view Name : HopFields)
    Copy.erase(Name);
  for (std::string_view Name : FleetFields)
    Copy.erase(Name);
  Copy.version(11);
  return Copy;
}

std::string workspaceName(const admitted_request &Request,
                          const config_index &Index) {
  if (!Request.Workspace.valid())
    return {};
  return Index.Table.Workspaces[Request.Workspace.Index].Name;
}

milliseconds timeLeft(const admitted_request &Request, steady_time Now) {
  return std::max(milliseconds(0),
                  duration_cast<milliseconds>(Request.Deadline - Now));
}

void setCommonFields(request_header &Head, const admitted_request &Request,
                     steady_time Now) {
  Head.set("X-Request-Id", Request.Id);
  Head.set("X-Deadline-Ms", std::to_string(timeLeft(Request, Now).count()));
}

std::int64_t toInteger(std::string_view Text) {
  std::int64_t Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Value;
}

std::uint64_t toUnsigned(std::string_view Text) {
  std::uint64_t Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Value;
}

std::int64_t toMilliseconds(wall_time Wall) {
  return duration_cast<milliseconds>(Wall.time_since_epoch()).count();
}

forwarded_head readForwarded(const request_header &Head) {
  forwarded_head Forwarded;
  Forwarded.Method = Head.method_string();
  Forwarded.Target = Head.target();
  Forwarded.RequestId = Head["X-Request-Id"];
  Forwarded.Workspace = Head["X-Fleet-Workspace"];
  Forwarded.Service = Head["X-Fleet-Service"];
  Forwarded.TimeLeft = milliseconds(toInteger(Head["X-Deadline-Ms"]));
  Forwarded.AtMostOnce = Head["X-Repeatable"] == "no";
  Forwarded.IdempotencyKey = Head["Idempotency-Key"];
  Forwarded.From = Head["X-Fleet-From"];
  Forwarded.CreditGrant = toUnsigned(Head["X-Fleet-Credit"]);
  Forwarded.SentAtMs = toInteger(Head["X-Fleet-Sent-Ms"]);
  return Forwarded;
}

} // namespace

request_head readHead(const request_header &Head) {
  request_head Read;
  Read.Method = Head.method_string();
  Read.Target = Head.target();
  Read.Authorization = Head[http::field::authorization];
  Read.ApiKey = Head["X-Api-Key"];
  Read.RequestId = Head["X-Request-Id"];
  Read.DeadlineMs = Head["X-Deadline-Ms"];
  Read.Repeatable = Head["X-Repeatable"];
  Read.IdempotencyKey = Head["Idempotency-Key"];
  Read.Ticket = Head["X-Ticket"];
  return Read;
}

request_header targetHead(const request_header &Head,
                          const admitted_request &Request,
                          const config_index &Index, steady_time Now) {
  request_header Copy = copyEndToEnd(Head);
  setCommonFields(Copy, Request, Now);
  if (Request.Workspace.valid())
    Copy.set("X-Workspace", workspaceName(Request, Index));
  return Copy;
}

request_header peerHead(const request_header &Head,
                        const admitted_request &Request,
                        const config_index &Index, steady_time Now,
                        const peer_signer &Signer, std::uint64_t CreditGrant) {
  request_header Copy = copyEndToEnd(Head);
  setCommonFields(Copy, Request, Now);
  Copy.set("X-Fleet-Workspace", workspaceName(Request, Index));
  Copy.set("X-Fleet-Service", Index.Table.Services[Request.Service.Index].Name);
  Copy.set("X-Fleet-From", Signer.From);
  Copy.set("X-Fleet-Credit", std::to_string(CreditGrant));
  Copy.set("X-Fleet-Sent-Ms", std::to_string(toMilliseconds(Signer.Wall)));
  if (Request.AtMostOnce)
    Copy.set("X-Repeatable", "no");
  Copy.set("X-Fleet-Signature",
           signForwarded(Signer.Secret, readForwarded(Copy)));
  return Copy;
}

forwarded_origin originOf(const request_header &Head) {
  const forwarded_head Forwarded = readForwarded(Head);
  return {Forwarded.From, Forwarded.CreditGrant};
}

status verifyPeer(const request_header &Head, const fleet_secret &Secret,
                  wall_time Wall) {
  return verifyForwarded(Secret, readForwarded(Head), Head["X-Fleet-Signature"],
                         Wall);
}

result<admitted_request> admitForwarded(const request_header &Head,
                                        const config_index &Index,
                                        const fleet_secret &Secret,
                                        steady_time Now, wall_time Wall) {
  const forwarded_head Forwarded = readForwarded(Head);
  const status Verified =
      verifyForwarded(Secret, Forwarded, Head["X-Fleet-Signature"], Wall);
  if (failed(Verified))
    return errorOf(Verified);
  admitted_request Request;
  Request.Id = Forwarded.RequestId;
  Request.Deadline = Now + Forwarded.TimeLeft;
  Request.AtMostOnce = Forwarded.AtMostOnce;
  Request.IdempotencyKey = Forwarded.IdempotencyKey;
  const auto Service = Index.Services.find(Forwarded.Service);
  if (Service == Index.Services.end())
    return error{error_kind::UnknownRoute, "no service by this name here", {}};
  Request.Service = Service->second;
  if (Forwarded.Workspace.empty())
    return Request;
  const auto Workspace = Index.Workspaces.find(Forwarded.Workspace);
  if (Workspace == Index.Workspaces.end())
    return error{error_kind::KeyUnknown, "no such workspace here", {}};
  Request.Workspace = Workspace->second;
  return Request;
}

} // namespace magnoliaspread
