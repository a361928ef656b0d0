#include "forwardhead_p.h"

#include <charconv>

namespace magnoliaspread {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

constexpr const char *FromField = "X-Fleet-From";
constexpr const char *WaitedField = "X-Fleet-Waited-Ms";
constexpr const char *SendsField = "X-Fleet-Sends";
constexpr const char *SentField = "X-Fleet-Sent-Ms";
constexpr const char *SignatureField = "X-Fleet-Signature";
constexpr const char *RefusedField = "X-Fleet-Refused";
constexpr const char *RetryField = "X-Fleet-Retry-Ms";

template <class Number>
std::optional<Number> readNumber(std::string_view Text) {
  Number Read{};
  const char *End = Text.data() + Text.size();
  const auto [Last, Failure] = std::from_chars(Text.data(), End, Read);
  if (Failure != std::errc() || Last != End)
    return std::nullopt;
  return Read;
}

std::string_view textOf(const http::request_header<> &Head, const char *Name) {
  const auto Found = Head.find(Name);
  return Found == Head.end() ? std::string_view()
                             : std::string_view(Found->value());
}

/// The signed head carries the waiting time and the sends beside the fields
/// that every signed request between instances has.
forwarded_head headOf(const http::request_header<> &Head,
                      const forward_note &Note, std::string_view RequestId,
                      std::int64_t SentAtMs) {
  forwarded_head Signed;
  Signed.Method = Head.method_string();
  Signed.Target = Head.target();
  Signed.RequestId = std::string(RequestId);
  Signed.TimeLeft = Note.Waited;
  Signed.From = Note.From;
  Signed.Service = "gate " + std::to_string(Note.Sends);
  Signed.SentAtMs = SentAtMs;
  return Signed;
}

error rejected(const char *Detail) {
  return {error_kind::PeerRejected, Detail, {}};
}

} // namespace

void writeForwardNote(http::request_header<> &Head, const forward_note &Note,
                      std::string_view RequestId, const fleet_secret &Secret,
                      wall_time Now) {
  const std::int64_t SentAtMs =
      duration_cast<milliseconds>(Now.time_since_epoch()).count();
  Head.set(FromField, Note.From);
  Head.set(WaitedField, std::to_string(Note.Waited.count()));
  Head.set(SendsField, std::to_string(Note.Sends));
  Head.set(SentField, std::to_string(SentAtMs));
  Head.set(SignatureField,
           signForwarded(Secret, headOf(Head, Note, RequestId, SentAtMs)));
}

result<forward_note> takeForwardNote(http::request_header<> &Head,
                                     std::string_view RequestId,
                                     const fleet_secret &Secret,
                                     wall_time Now) {
  const auto Waited = readNumber<std::int64_t>(textOf(Head, WaitedField));
  const auto Sends = readNumber<std::uint32_t>(textOf(Head, SendsField));
  const auto SentAtMs = readNumber<std::int64_t>(textOf(Head, SentField));
  if (!Waited || *Waited < 0 || !Sends || !SentAtMs)
    return rejected("a field of the forwarded head is missing or malformed");
  const forward_note Note{std::string(textOf(Head, FromField)),
                          milliseconds(*Waited), *Sends};
  const status Verified =
      verifyForwarded(Secret, headOf(Head, Note, RequestId, *SentAtMs),
                      textOf(Head, SignatureField), Now);
  if (failed(Verified))
    return errorOf(Verified);
  for (const char *Name :
       {FromField, WaitedField, SendsField, SentField, SignatureField})
    Head.erase(Name);
  return Note;
}

void writeRefusal(http::response_header<> &Head, const error &Error) {
  const error_answer &Row = answerOf(Error.Kind);
  Head.set(RefusedField, Row.Name);
  if (const auto Retry = Error.RetryAfter ? Error.RetryAfter : Row.RetryAfter)
    Head.set(RetryField, std::to_string(Retry->count()));
}

void eraseRefusal(http::response_header<> &Head) {
  Head.erase(RefusedField);
  Head.erase(RetryField);
}

std::optional<error> readRefusal(const http::response_header<> &Head) {
  const auto Refused = Head.find(RefusedField);
  if (Refused == Head.end())
    return std::nullopt;
  error Error{errorKindOf(Refused->value()).value_or(error_kind::TargetFailed),
              "refused by a peer",
              {}};
  const auto Retry = Head.find(RetryField);
  if (Retry != Head.end())
    if (const auto Time = readNumber<std::int64_t>(Retry->value()))
      Error.RetryAfter = milliseconds(*Time);
  return Error;
}

} // namespace magnoliaspread
