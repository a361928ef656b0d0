/// Choice of the peer that serves requests while the own path is broken.
#include <magnoliaspread/forwardpeers.h>
#include <magnoliaspread/story.h>

#include <map>

using namespace magnoliaspread;
using namespace std::chrono_literals;

namespace {

const steady_time Now{std::chrono::hours(1)};

forward_peer peerAt(const std::string &Name, target_distance Distance,
                    std::uint8_t Region, std::uint32_t Capacity = 100) {
  return {Name, {}, Region, Distance, Capacity, false};
}

std::string nameOf(const std::optional<forward_peer> &Peer) {
  return Peer ? Peer->Name : "none";
}

} // namespace

// Guards against requests that are handed to instances cut off as well.
STORY(requests_are_forwarded_where_targets_are_reached) {
  std::vector<forward_peer> Rows{
      peerAt("beside", target_distance::DataCentre, 0),
      peerAt("region", target_distance::Region, 0),
      peerAt("far", target_distance::Remote, 1)};
  forward_peers Peers(1);
  CPPUNIT_ASSERT(!Peers.any({}, Now));
  Peers.setPeers(Rows);
  section("another data centre of the region first", [&] {
    CPPUNIT_ASSERT_EQUAL(std::string("region"),
                         nameOf(Peers.choose({}, {}, Now)));
  });
  section("then what is left, nearest first", [&] {
    CPPUNIT_ASSERT_EQUAL(std::string("beside"),
                         nameOf(Peers.choose({}, {"region"}, Now)));
    Rows[0].Broken = Rows[1].Broken = true;
    Peers.setPeers(Rows);
    CPPUNIT_ASSERT_EQUAL(std::string("far"), nameOf(Peers.choose({}, {}, Now)));
  });
  section("never outside the homes", [&] {
    CPPUNIT_ASSERT_EQUAL(std::string("none"),
                         nameOf(Peers.choose(home_regions(1), {}, Now)));
    CPPUNIT_ASSERT(!Peers.any(home_regions(1), Now));
    CPPUNIT_ASSERT_EQUAL(std::string("far"),
                         nameOf(Peers.choose(home_regions(2), {}, Now)));
  });
  section("not where it has just failed", [&] {
    Peers.failed("far", Now);
    CPPUNIT_ASSERT(!Peers.any({}, Now + 900ms));
    CPPUNIT_ASSERT(Peers.any({}, Now + 1s));
  });
}

// Guards against one peer that gets the requests of a whole data centre.
STORY(forwarded_requests_are_spread_by_capacity) {
  forward_peers Peers(3);
  Peers.setPeers({peerAt("strong", target_distance::Region, 0, 500),
                  peerAt("strong-2", target_distance::Region, 0, 500),
                  peerAt("weak", target_distance::Region, 0, 100)});
  std::map<std::string, int> Got;
  for (int I = 0; I < 1100; ++I)
    ++Got[nameOf(Peers.choose({}, {}, Now))];
  CPPUNIT_ASSERT(Got["strong"] > 400 && Got["strong"] < 600);
  CPPUNIT_ASSERT(Got["weak"] > 50 && Got["weak"] < 150);
}
