#include <magnoliaspread/httpanswer.h>
#include <magnoliaspread/story.h>

#include <boost/beast/http/error.hpp>

#include <vector>

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
      CPPUNIT_ASSERT(!checkAnswerHead(Head, http::verb::get));
      CPPUNIT_ASSERT_EQUAL(Status / 100,
                           static_cast<unsigned>(statusClassOf(Head)));
    }
  });
  section("all others of three digits are none", [&] {
    for (unsigned Status = 0; Status < 1000; ++Status)
      if (Status < 100 || Status >= 600)
        CPPUNIT_ASSERT(checkAnswerHead(headOf(Status), http::verb::get) ==
                       http::error::bad_status);
  });
  section("a body is chunked once at most", [&] {
    const auto Check = [](const std::vector<const char *> &Codings,
                          unsigned Status, http::verb Method) {
      http::response_header<> Head = headOf(Status);
      for (const char *Coding : Codings)
        Head.insert(http::field::transfer_encoding, Coding);
      return checkAnswerHead(Head, Method);
    };
    for (const char *Coding : {"chunked", "Chunked", " ,chunked ,", "", ","})
      CPPUNIT_ASSERT(!Check({Coding}, 200, http::verb::get));
    for (const char *Coding :
         {"gzip", "chunked, gzip", "gzip, chunked", "chunked, chunked",
          "chunked;a=b", "chunked gzip", "\"chunked\"", "identity"}) {
      CPPUNIT_ASSERT(Check({Coding}, 200, http::verb::get) ==
                     http::error::bad_transfer_encoding);
      section("without one, the field says what another answer would have",
              [&] {
                CPPUNIT_ASSERT(!Check({Coding}, 200, http::verb::head));
                CPPUNIT_ASSERT(!Check({Coding}, 304, http::verb::get));
              });
    }
    CPPUNIT_ASSERT(Check({"gzip", "chunked"}, 200, http::verb::get));
    CPPUNIT_ASSERT(Check({"chunked", "chunked"}, 200, http::verb::get));
  });
}
