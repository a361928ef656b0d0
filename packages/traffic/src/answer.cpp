#include "answer_p.h"

#include <boost/json.hpp>

namespace magnoliaspread {

using std::chrono::milliseconds;

namespace {

constexpr unsigned HttpVersion11 = 11;

std::optional<milliseconds> retryAfterOf(const error &Error) {
  if (Error.RetryAfter)
    return Error.RetryAfter;
  return answerOf(Error.Kind).RetryAfter;
}

} // namespace

text_response errorResponse(const error &Error, std::string_view RequestId,
                            bool KeepAlive) {
  const error_answer &Answer = answerOf(Error.Kind);
  boost::json::object Body{{"error", Answer.Name},
                           {"run", nameOf(Answer.Run)},
                           {"detail", Error.Detail},
                           {"request_id", RequestId}};
  text_response Response(http::int_to_status(Answer.Status), HttpVersion11);
  Response.set(http::field::content_type, "application/json");
  Response.set("X-Error", Answer.Name);
  Response.set("X-Run-State", nameOf(Answer.Run));
  if (!RequestId.empty())
    Response.set("X-Request-Id", RequestId);
  if (const auto RetryAfter = retryAfterOf(Error)) {
    const auto Seconds = std::chrono::ceil<std::chrono::seconds>(*RetryAfter);
    Response.set(http::field::retry_after, std::to_string(Seconds.count()));
    Response.set("X-Retry-After-Ms", std::to_string(RetryAfter->count()));
    Body["retry_after_ms"] = RetryAfter->count();
  }
  Response.body() = boost::json::serialize(Body);
  Response.keep_alive(KeepAlive);
  Response.prepare_payload();
  return Response;
}

text_response storedResponse(const stored_answer &Answer,
                             std::string_view RequestId, bool KeepAlive) {
  text_response Response(http::int_to_status(Answer.Status), HttpVersion11);
  if (!Answer.ContentType.empty())
    Response.set(http::field::content_type, Answer.ContentType);
  Response.set("X-Run-State", nameOf(run_state::Ran));
  Response.set("X-Repeated-Answer", Answer.HasBody ? "whole" : "status only");
  Response.set("X-Request-Id", RequestId);
  Response.body() = Answer.Body;
  Response.keep_alive(KeepAlive);
  Response.prepare_payload();
  return Response;
}

text_response jsonResponse(std::string Body, bool KeepAlive) {
  text_response Response(http::status::ok, HttpVersion11);
  Response.set(http::field::content_type, "application/json");
  Response.body() = std::move(Body);
  Response.keep_alive(KeepAlive);
  Response.prepare_payload();
  return Response;
}

} // namespace magnoliaspread
