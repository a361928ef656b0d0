#include <magnoliaspread/confsync.h>
#include <magnoliaspread/story.h>

#include <set>
#include <string>

using namespace magnoliaspread;
using namespace std::chrono_literals;

namespace {

config_holder holder(const std::string &Name, std::uint64_t Version,
                     bool SameDataCentre = true) {
  return {Name, {"10.0.0.9", 7000}, SameDataCentre, {Version, 1}};
}

} // namespace

STORY(version_in_force) {
  const steady_time Now{1h};
  config_sync Sync(3, Now);
  CPPUNIT_ASSERT(Sync.classify(Now, {5, 1}, config_source::Platform) ==
                 config_verdict::Accept);
  CPPUNIT_ASSERT(Sync.activate(Now, {5, 1}));
  section("never decreases, even if the platform returns an older one", [&] {
    CPPUNIT_ASSERT(Sync.classify(Now, {4, 1}, config_source::Platform) ==
                   config_verdict::Older);
    CPPUNIT_ASSERT(!Sync.activate(Now, {4, 1}));
    CPPUNIT_ASSERT(Sync.classify(Now, {3, 1}, config_source::Peer) ==
                   config_verdict::Older);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, Sync.inForce().Version);
  });
  section("doesn't change its contents", [&] {
    CPPUNIT_ASSERT(Sync.classify(Now, {5, 2}, config_source::Platform) ==
                   config_verdict::Conflict);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Sync.counts().Conflicts);
  });
  section("isn't replaced by one that failed validation", [&] {
    Sync.setHolders({holder("b", 6)});
    CPPUNIT_ASSERT(Sync.nextFetch(Now, true));
    Sync.reject(Now, {6, 1});
    CPPUNIT_ASSERT(Sync.classify(Now, {6, 1}, config_source::Platform) ==
                   config_verdict::Rejected);
    CPPUNIT_ASSERT(!Sync.nextFetch(Now + 10s, true));
  });
  section("but by a valid one", [&] {
    CPPUNIT_ASSERT(Sync.classify(Now, {7, 1}, config_source::Peer) ==
                   config_verdict::Accept);
    CPPUNIT_ASSERT(Sync.activate(Now, {7, 1}));
  });
}

STORY(config_fetch_from_peers) {
  steady_time Now{1h};
  config_sync Sync(3, Now);
  Sync.activate(Now, {5, 1});
  section("isn't started for the version in force", [&] {
    Sync.setHolders({holder("b", 5), holder("c", 4)});
    CPPUNIT_ASSERT(!Sync.nextFetch(Now, true));
  });
  section("runs one at a time", [&] {
    Sync.setHolders({holder("b", 6), holder("c", 6)});
    CPPUNIT_ASSERT(Sync.nextFetch(Now, false));
    CPPUNIT_ASSERT(!Sync.nextFetch(Now, false));
  });
  section("tries another peer after a failure, then backs off", [&] {
    std::set<std::string> Tried;
    for (int I = 0; I < 2; ++I) {
      Now += FetchTimeout;
      Sync.setHolders({holder("b", 6), holder("c", 6)});
      const auto Fetch = Sync.nextFetch(Now, false);
      if (Fetch)
        Tried.insert(Fetch->Peer);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Tried.size());
  });
  section("counts an older version from the peer as a failure", [&] {
    const std::uint64_t Before = Sync.counts().FetchFailures;
    Sync.classify(Now, {4, 1}, config_source::Peer);
    CPPUNIT_ASSERT_EQUAL(Before + 1, Sync.counts().FetchFailures);
  });
  section("between data centres is left to speakers for a while", [&] {
    config_sync Other(3, Now);
    Other.setHolders({holder("far", 6, false)});
    CPPUNIT_ASSERT(!Other.nextFetch(Now, false));
    CPPUNIT_ASSERT(Other.nextFetch(Now + RemoteFetchDelay, false));
    config_sync Speaker(3, Now);
    Speaker.setHolders({holder("far", 6, false)});
    CPPUNIT_ASSERT(Speaker.nextFetch(Now, true));
  });
}

STORY(platform_polls) {
  steady_time Now{1h};
  config_sync Sync(3, Now);
  section("are frequent without a configuration", [&] {
    CPPUNIT_ASSERT(Sync.platformPollDue(Now, true));
    CPPUNIT_ASSERT(!Sync.platformPollDue(Now, true));
    CPPUNIT_ASSERT(Sync.platformPollDue(Now + 2s, true));
  });
  Sync.activate(Now, {1, 1});
  section("are rare afterwards", [&] {
    int Polls = 0;
    for (auto At = Now; At < Now + 1h; At += 1s)
      Polls += Sync.platformPollDue(At, false) ? 1 : 0;
    CPPUNIT_ASSERT(Polls >= 40 && Polls <= 90);
  });
  section("speakers watch instead", [&] {
    int Polls = 0;
    for (auto At = Now + 1h; At < Now + 2h; At += 1s)
      Polls += Sync.platformPollDue(At, true) ? 1 : 0;
    CPPUNIT_ASSERT_EQUAL(0, Polls);
  });
}

STORY(config_staleness) {
  const steady_time Now{1h};
  config_sync Sync(3, Now);
  CPPUNIT_ASSERT(Sync.staleness(Now + 90s) == 90s);
  Sync.confirmCurrent(Now + 90s);
  CPPUNIT_ASSERT(Sync.staleness(Now + 91s) == 1s);
}
