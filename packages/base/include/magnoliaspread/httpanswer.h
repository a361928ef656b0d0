/// Checks of HTTP answers that the parser leaves to its users.
#ifndef MAGNOLIASPREAD_HTTPANSWER_H
#define MAGNOLIASPREAD_HTTPANSWER_H

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/verb.hpp>
#include <boost/system/error_code.hpp>

namespace magnoliaspread {

/// Interim answers that a sender may put before the final one.
inline constexpr int MaxInterimAnswers = 8;

/// Class of an answer's status by its number; unknown below 100 and from 600
/// on, where numbers are no status codes (RFC 9110, 15).
boost::beast::http::status_class
statusClassOf(const boost::beast::http::response_header<> &Head);

/// Whether an answer to \p Method has no body, whatever its fields say
/// (RFC 9112, 6.3).
bool hasNoBody(const boost::beast::http::response_header<> &Head,
               boost::beast::http::verb Method);

/// Checks the head of an answer to \p Method. http::error::bad_status if the
/// status is no status code, http::error::bad_transfer_encoding if the body has
/// a transfer coding other than chunked, which is the only one decoded, or an
/// answer of HTTP/1.0 names any (RFC 9112, 6.1).
boost::system::error_code
checkAnswerHead(const boost::beast::http::response_header<> &Head,
                boost::beast::http::verb Method);

} // namespace magnoliaspread

#endif
