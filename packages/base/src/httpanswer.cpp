#include <magnoliaspread/httpanswer.h>

#include <boost/beast/http/error.hpp>

namespace magnoliaspread {

namespace http = boost::beast::http;

http::status_class statusClassOf(const http::response_header<> &Head) {
  // The library's enumeration has no value for codes that it has no name for.
  return http::to_status_class(Head.result_int());
}

boost::system::error_code checkAnswerHead(const http::response_header<> &Head) {
  if (statusClassOf(Head) == http::status_class::unknown)
    return http::make_error_code(http::error::bad_status);
  return {};
}

} // namespace magnoliaspread
