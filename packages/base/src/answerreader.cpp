#include <magnoliaspread/answerreader.h>
#include <magnoliaspread/httpanswer.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

namespace magnoliaspread {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

asio::awaitable<read_answer> readAnswer(beast::tcp_stream &Stream,
                                        beast::flat_buffer &Buffer,
                                        http::verb Method,
                                        std::uint64_t MaxBodyBytes) {
  constexpr auto Awaited = asio::as_tuple(asio::use_awaitable);
  for (int Interim = 0; Interim <= MaxInterimAnswers; ++Interim) {
    http::response_parser<http::string_body> Parser;
    Parser.body_limit(MaxBodyBytes);
    Parser.skip(Method == http::verb::head);
    auto [HeadFailure, HeadBytes] =
        co_await http::async_read_header(Stream, Buffer, Parser, Awaited);
    if (!HeadFailure)
      HeadFailure = checkAnswerHead(Parser.get(), Method);
    if (HeadFailure)
      co_return read_answer{HeadFailure, {}};
    if (statusClassOf(Parser.get()) == http::status_class::informational)
      continue;
    if (!Parser.is_done()) {
      auto [Failure, Bytes] =
          co_await http::async_read(Stream, Buffer, Parser, Awaited);
      if (Failure)
        co_return read_answer{Failure, {}};
    }
    co_return read_answer{{}, Parser.release()};
  }
  co_return read_answer{http::make_error_code(http::error::header_limit), {}};
}

} // namespace magnoliaspread
