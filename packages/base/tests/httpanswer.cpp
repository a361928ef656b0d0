#include <magnoliaspread/httpanswer.h>
#include <magnoliaspread/story.h>

#include <boost/beast/http/error.hpp>

using namespace magnoliaspread;
namespace http = boost::beast::http;

namespace {

http::response_header<> headOf(unsigned Status) {
  http::response_header<> Head;
  Head.result(Status);
  return Head;
}

} // namespace

STORY(answer_heads_are_checked) {
  section("a number from 100 to 599 is a status code, named or not", [&] {
    for (unsigned Status = 100; Status < 600; ++Status) {
      const http::response_header<> Head = headOf(Status);
      CPPUNIT_ASSERT(!checkAnswerHead(Head));
      CPPUNIT_ASSERT_EQUAL(Status / 100,
                           static_cast<unsigned>(statusClassOf(Head)));
    }
  });
  section("all others of three digits are none", [&] {
    for (unsigned Status = 0; Status < 1000; ++Status)
      if (Status < 100 || Status >= 600)
        CPPUNIT_ASSERT(checkAnswerHead(headOf(Status)) ==
                       http::error::bad_status);
  });
}
