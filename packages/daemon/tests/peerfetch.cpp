#include "peerfetch_p.h"

#include <magnoliaspread/raw_server.h>
#include <magnoliaspread/story.h>

#include <boost/asio/io_context.hpp>

#include <optional>

using namespace magnoliaspread;
using namespace std::chrono_literals;

namespace {

result<std::string> fetch(const std::string &Answer) {
  const raw_server Server(Answer);
  boost::asio::io_context Context;
  const system_clock Clock;
  auto Secret = parseFleetSecret(std::string(64, 'a'));
  CPPUNIT_ASSERT(!failed(Secret));
  std::optional<result<std::string>> Fetched;
  fetchFromPeer(Context, Clock, valueOf(Secret), {"127.0.0.1", Server.port()},
                SnapshotPath, [&](result<std::string> Got) {
                  Fetched.emplace(std::move(Got));
                });
  Context.run_for(3s);
  CPPUNIT_ASSERT(Fetched);
  return *Fetched;
}

const std::string Sound = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";

} // namespace

// Guards against answers of a peer that HTTP doesn't allow or that aren't the
// final ones.
STORY(fetches_get_whole_final_answers) {
  section("a sound one", [&] {
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), valueOf(fetch(Sound)));
  });
  section("behind an interim one", [&] {
    const auto Fetched = fetch("HTTP/1.1 103 Hints\r\n\r\n" + Sound);
    CPPUNIT_ASSERT(!failed(Fetched));
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), valueOf(Fetched));
  });
  section("not one in a coding", [&] {
    CPPUNIT_ASSERT(failed(
        fetch("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nwhole")));
  });
  section("nor without a status code", [&] {
    CPPUNIT_ASSERT(failed(fetch("HTTP/1.1 000 OK" + Sound.substr(15))));
  });
}
