#include "http_get_p.h"

#include <magnoliaspread/raw_server.h>
#include <magnoliaspread/story.h>

using namespace magnoliaspread;
using namespace std::chrono_literals;

namespace {

result<std::string> get(const std::string &Answer) {
  const raw_server Server(Answer);
  return httpGetAll({{"127.0.0.1", Server.port()}}, "/status", 2s).at(0);
}

const std::string Sound = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";

} // namespace

// Guards against answers of an instance that HTTP doesn't allow or that aren't
// the final ones.
STORY(pages_are_whole_final_answers) {
  section("a sound one", [&] {
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), valueOf(get(Sound)));
  });
  section("behind an interim one", [&] {
    const auto Page = get("HTTP/1.1 103 Hints\r\n\r\n" + Sound);
    CPPUNIT_ASSERT(!failed(Page));
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), valueOf(Page));
  });
  section("not one in a coding", [&] {
    CPPUNIT_ASSERT(
        failed(get("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nwhole")));
  });
  section("nor without a status code", [&] {
    CPPUNIT_ASSERT(failed(get("HTTP/1.1 000 OK" + Sound.substr(15))));
  });
}
