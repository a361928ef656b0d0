/// Reads one whole HTTP answer for a client that gathers it in memory.
#ifndef MAGNOLIASPREAD_ANSWERREADER_H
#define MAGNOLIASPREAD_ANSWERREADER_H

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/verb.hpp>
#include <boost/system/error_code.hpp>
#include <cstdint>

namespace magnoliaspread {

struct read_answer {
  boost::system::error_code Failure;
  /// Valid without a failure.
  boost::beast::http::response<boost::beast::http::string_body> Message;
};

/// Reads the final answer to a request of \p Method and skips interim ones. The
/// time limit is that of \p Stream. Fails as the parser and checkAnswerHead()
/// do, with http::error::body_limit beyond \p MaxBodyBytes, and with
/// http::error::header_limit behind more than MaxInterimAnswers.
boost::asio::awaitable<read_answer>
readAnswer(boost::beast::tcp_stream &Stream, boost::beast::flat_buffer &Buffer,
           boost::beast::http::verb Method, std::uint64_t MaxBodyBytes);

} // namespace magnoliaspread

#endif
