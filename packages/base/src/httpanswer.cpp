#include <magnoliaspread/httpanswer.h>

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <string_view>

namespace magnoliaspread {

namespace http = boost::beast::http;

namespace {

std::string_view trim(std::string_view Text) {
  constexpr std::string_view Blanks = " \t";
  const std::size_t First = Text.find_first_not_of(Blanks);
  if (First == Text.npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(Blanks) + 1 - First);
}

/// True if the body has no transfer coding, or is chunked once.
bool isChunkedAtMost(const http::response_header<> &Head) {
  std::size_t Chunked = 0;
  const auto [First, Last] = Head.equal_range(http::field::transfer_encoding);
  for (auto Field = First; Field != Last; ++Field) {
    std::string_view Left = Field->value();
    while (!Left.empty()) {
      const std::size_t Comma = std::min(Left.find(','), Left.size());
      const std::string_view Coding = trim(Left.substr(0, Comma));
      Left.remove_prefix(std::min(Comma + 1, Left.size()));
      // Elements of a list may be empty.
      if (Coding.empty())
        continue;
      if (!boost::beast::iequals(Coding, "chunked"))
        return false;
      ++Chunked;
    }
  }
  return Chunked <= 1;
}

} // namespace

http::status_class statusClassOf(const http::response_header<> &Head) {
  // The library's enumeration has no value for codes that it has no name for.
  return http::to_status_class(Head.result_int());
}

bool hasNoBody(const http::response_header<> &Head, http::verb Method) {
  return Method == http::verb::head ||
         statusClassOf(Head) == http::status_class::informational ||
         Head.result() == http::status::no_content ||
         Head.result() == http::status::not_modified;
}

boost::system::error_code checkAnswerHead(const http::response_header<> &Head,
                                          http::verb Method) {
  if (statusClassOf(Head) == http::status_class::unknown)
    return http::make_error_code(http::error::bad_status);
  constexpr unsigned Http11 = 11;
  // HTTP/1.0 has no transfer codings.
  if (Head.version() < Http11 && Head.count(http::field::transfer_encoding) > 0)
    return http::make_error_code(http::error::bad_transfer_encoding);
  if (!hasNoBody(Head, Method) && !isChunkedAtMost(Head))
    return http::make_error_code(http::error::bad_transfer_encoding);
  return {};
}

} // namespace magnoliaspread
