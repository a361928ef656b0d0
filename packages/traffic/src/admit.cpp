#include <magnoliaspread/admit.h>

#include <algorithm>
#include <cctype>
#include <charconv>

namespace magnoliaspread {

using std::chrono::milliseconds;

namespace {

constexpr std::size_t MaxCallerIdLength = 64;
constexpr std::size_t MaxKeyLength = 256;
constexpr std::size_t MaxIdempotencyKeyLength = 128;
constexpr milliseconds MaxDeadline{std::chrono::hours(1)};

bool isIdCharacter(char C) {
  return std::isalnum(static_cast<unsigned char>(C)) != 0 || C == '-' ||
         C == '_' || C == '.';
}

bool isValidId(std::string_view Id) {
  return !Id.empty() && Id.size() <= MaxCallerIdLength &&
         std::all_of(Id.begin(), Id.end(), isIdCharacter);
}

/// True when \p Target has a "." or ".." segment, plain or percent-encoded,
/// which a target could resolve to a path of another route.
bool hasDotSegment(std::string_view Target) {
  std::string Path;
  for (std::size_t I = 0; I < Target.size() && Target[I] != '?'; ++I) {
    const std::string_view Rest = Target.substr(I, 3);
    const bool Dot = Rest == "%2e" || Rest == "%2E";
    const bool Slash = Rest == "%2f" || Rest == "%2F" || Rest == "%5c" ||
                       Rest == "%5C" || Rest[0] == '\\';
    Path += Dot ? '.' : Slash ? '/' : Target[I];
    if (Dot || (Slash && Rest[0] == '%'))
      I += 2;
  }
  Path += '/';
  return Path.find("/../") != std::string::npos ||
         Path.find("/./") != std::string::npos;
}

error fail(error_kind Kind, std::string Detail) {
  return {Kind, std::move(Detail), {}};
}

result<workspace_handle> authenticate(const config_index &Index,
                                      const request_head &Head) {
  const std::string_view Key = keyOf(Head);
  if (Key.empty())
    return fail(error_kind::KeyMissing,
                "send the workspace key as Authorization: Bearer or X-Api-Key");
  if (Key.size() > MaxKeyLength)
    return fail(error_kind::KeyUnknown, "key is longer than 256 bytes");
  const auto Found = Index.Keys.find(hashKey(Key));
  if (Found == Index.Keys.end())
    return fail(error_kind::KeyUnknown, "no workspace has this key");
  const key_row &Row = Index.Table.Keys[Found->second];
  if (Row.State == key_state::Withdrawn)
    return fail(error_kind::KeyWithdrawn, "key " + Row.Id + " is withdrawn");
  const auto Workspace = Index.Workspaces.find(Row.Workspace);
  if (Workspace == Index.Workspaces.end())
    return fail(error_kind::KeyUnknown, "the key's workspace was removed");
  return Workspace->second;
}

result<milliseconds> timeAllowed(const service_row &Service,
                                 std::string_view DeadlineMs) {
  if (DeadlineMs.empty())
    return Service.Deadline;
  std::int64_t Count = 0;
  const char *End = DeadlineMs.data() + DeadlineMs.size();
  const auto [Stop, Problem] = std::from_chars(DeadlineMs.data(), End, Count);
  if (Problem != std::errc() || Stop != End || Count > MaxDeadline.count())
    return fail(error_kind::BadRequest,
                "X-Deadline-Ms takes whole milliseconds up to one hour");
  if (Count <= 0)
    return fail(error_kind::DeadlineExpired, "no time was left on arrival");
  return std::min(Service.Deadline, milliseconds(Count));
}

bool isSafeMethod(std::string_view Method) {
  return Method == "GET" || Method == "HEAD" || Method == "OPTIONS";
}

status readRepeatability(const request_head &Head, admitted_request &Request) {
  if (!Head.Repeatable.empty() && Head.Repeatable != "yes" &&
      Head.Repeatable != "no")
    return fail(error_kind::BadRequest, "X-Repeatable takes yes or no");
  Request.AtMostOnce = Head.Repeatable == "no";
  Request.Repeatable = Head.Repeatable == "yes" ||
                       (Head.Repeatable.empty() && isSafeMethod(Head.Method));
  if (Head.IdempotencyKey.size() > MaxIdempotencyKeyLength)
    return fail(error_kind::BadRequest,
                "Idempotency-Key takes at most 128 bytes");
  if (Request.AtMostOnce && Head.IdempotencyKey.empty())
    return fail(error_kind::BadRequest,
                "X-Repeatable: no needs an Idempotency-Key");
  Request.IdempotencyKey = Head.IdempotencyKey;
  Request.Ticket = Head.Ticket;
  return {};
}

} // namespace

std::string_view keyOf(const request_head &Head) {
  constexpr std::string_view Scheme = "Bearer ";
  if (Head.Authorization.starts_with(Scheme))
    return Head.Authorization.substr(Scheme.size());
  return Head.ApiKey;
}

result<admitted_request> admitRequest(const config_index &Index,
                                      const request_head &Head, steady_time Now,
                                      std::string_view FreshId) {
  admitted_request Request;
  Request.Id = isValidId(Head.RequestId)
                   ? std::string(Head.RequestId) + "." + std::string(FreshId)
                   : std::string(FreshId);
  if (hasDotSegment(Head.Target))
    return fail(error_kind::BadRequest, "the path has a . or .. segment");
  Request.Service = routeOf(Index, Head.Target);
  if (!Request.Service.valid())
    return fail(error_kind::UnknownRoute, "no service has this path");
  const service_row &Service = Index.Table.Services[Request.Service.Index];
  if (!Service.Open) {
    const result<workspace_handle> Workspace = authenticate(Index, Head);
    if (failed(Workspace))
      return errorOf(Workspace);
    Request.Workspace = valueOf(Workspace);
  }
  const result<milliseconds> Allowed = timeAllowed(Service, Head.DeadlineMs);
  if (failed(Allowed))
    return errorOf(Allowed);
  Request.Deadline = Now + valueOf(Allowed);
  const status Marks = readRepeatability(Head, Request);
  if (failed(Marks))
    return errorOf(Marks);
  return Request;
}

} // namespace magnoliaspread
