#include <magnoliaspread/platformview.h>
#include <magnoliaspread/story.h>

#include <algorithm>
#include <random>

using namespace magnoliaspread;
using namespace std::chrono_literals;

namespace {

constexpr boot_time Start{std::chrono::hours(1)};
/// Incarnations of two peers.
constexpr std::uint64_t Peer = 7;
constexpr std::uint64_t OtherPeer = 8;

target_change changeOf(const std::string &Name) {
  target_change Change;
  Change.Record.Name = Name;
  return Change;
}

/// A view that has read that no data centre is evacuated.
platform_view viewOf(const std::string &Name) {
  platform_view View(view_settings{}, Name);
  View.setEvacuated({}, Start);
  return View;
}

} // namespace

STORY(platform_view_before_evacuations_are_known) {
  platform_view Informed = viewOf("a");
  Informed.setEvacuated({"dc-1"}, Start);
  Informed.confirmTargets(5, Start);
  platform_view Starting(view_settings{}, "b");
  Starting.confirmTargets(6, Start);
  section("a reply of an instance without them ends no evacuation", [&] {
    const auto Result = Informed.applyReply(
        Starting.answer({Start, 5, 0}, Start + 10ms), OtherPeer);
    CPPUNIT_ASSERT(!Result.Evacuated);
    CPPUNIT_ASSERT(!Result.Current);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), Informed.revision());
  });
  section("it shares its state once a peer has sent the evacuations", [&] {
    Starting.applyReply(Informed.answer({Start + 1s, 6, 0}, Start + 1s), Peer);
    CPPUNIT_ASSERT(!Starting.evacuationsDue(Start + 1s));
    Starting.confirmTargets(6, Start + 1s);
    Starting.setEvacuated({"dc-1", "dc-2"}, Start + 1s);
    const auto Result = Informed.applyReply(
        Starting.answer({Start + 2s, 5, 0}, Start + 2s), OtherPeer);
    CPPUNIT_ASSERT(Result.Current);
    CPPUNIT_ASSERT(Result.Evacuated->contains("dc-2"));
  });
  section("a copy is as old as the original", [&] {
    platform_view Third(view_settings{}, "c");
    const auto Forwarded = Starting.answer({Start + 3s, 0, 0}, Start + 3s);
    Third.applyReply(Forwarded, Peer);
    CPPUNIT_ASSERT(!Third.evacuationsDue(Start + 4200ms));
    CPPUNIT_ASSERT(Third.evacuationsDue(Start + 4300ms));
  });
}

STORY(platform_view_newer_configuration) {
  platform_view Informed = viewOf("a");
  Informed.confirmRoutes(8, Start);
  platform_view Asks = viewOf("b");
  Asks.confirmRoutes(7, Start);
  const auto Result =
      Asks.applyReply(Informed.answer({Start + 1s, 0, 0}, Start + 1s), Peer);
  section("it is fetched, and its confirmation comes with the reply", [&] {
    CPPUNIT_ASSERT(Result.FetchRoutes);
    CPPUNIT_ASSERT(Result.RoutesAsOf <= Start);
    CPPUNIT_ASSERT(Result.RoutesAsOf > Start - 10ms);
  });
  section("so that it isn't read again after the fetch", [&] {
    CPPUNIT_ASSERT(Asks.routesDue(Start + 2700ms));
    Asks.confirmRoutes(8, Result.RoutesAsOf + 1s);
    CPPUNIT_ASSERT(!Asks.routesDue(Start + 2700ms));
  });
}

STORY(platform_view_readers) {
  section("exactly one of the region's instances reads", [&] {
    const std::vector<std::string> Names{"a", "b", "c", "d"};
    int Readers = 0;
    for (const std::string &Name : Names) {
      platform_view View = viewOf(Name);
      std::vector<std::string> Peers = Names;
      std::erase(Peers, Name);
      View.setRegionalPeers(Peers);
      Readers += View.isReader() ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(1, Readers);
  });
  section("a single instance reads", [&] {
    platform_view View = viewOf("a");
    View.setRegionalPeers({});
    CPPUNIT_ASSERT(View.isReader());
  });
  section("outdated state is read by any instance", [&] {
    platform_view View = viewOf("a");
    View.confirmTargets(5, Start);
    View.confirmRoutes(3, Start);
    CPPUNIT_ASSERT(!View.targetsDue(Start + 1s));
    CPPUNIT_ASSERT(View.targetsDue(Start + 1600ms));
    CPPUNIT_ASSERT(!View.routesDue(Start + 2s));
    CPPUNIT_ASSERT(View.routesDue(Start + 2600ms));
    CPPUNIT_ASSERT(View.dueRequest(Start + 1350ms) == view_source::None);
    CPPUNIT_ASSERT(View.dueRequest(Start + 1400ms) == view_source::AnyPeer);
    View.confirmTargets(6, Start + 3s);
    CPPUNIT_ASSERT(View.dueRequest(Start + 3100ms) == view_source::AnyPeer);
  });
}

STORY(platform_view_proofs) {
  platform_view Reader = viewOf("reader");
  platform_view Requester = viewOf("asker");
  Reader.confirmRoutes(7, Start);
  Reader.confirmTargets(100, Start);
  Requester.confirmRoutes(7, Start - 3s);
  Requester.confirmTargets(100, Start - 3s);
  const view_request Request = Requester.makeRequest(Start + 500ms, Peer);
  section(
      "a reply confirms what was current at a time on the requester's clock",
      [&] {
        const view_reply Reply = Reader.answer(Request, Start + 600ms);
        Requester.applyReply(Reply, Peer);
        CPPUNIT_ASSERT(Requester.routesConfirmedAt() <= Start);
        CPPUNIT_ASSERT(Requester.routesConfirmedAt() > Start - 200ms);
      });
  section("one that arrives seconds late confirms no more", [&] {
    platform_view Frozen = viewOf("frozen");
    Frozen.confirmRoutes(7, Start - 3s);
    const view_reply Reply = Reader.answer(Request, Start + 600ms);
    // The process was paused in between; the reply is as old as its request.
    Frozen.applyReply(Reply, Peer);
    CPPUNIT_ASSERT(Frozen.routesConfirmedAt() <= Start);
  });
  section("another version confirms nothing, and a newer one is fetched", [&] {
    platform_view Old = viewOf("old");
    Old.confirmRoutes(6, Start - 3s);
    const auto Result =
        Old.applyReply(Reader.answer(Request, Start + 600ms), Peer);
    CPPUNIT_ASSERT(Result.FetchRoutes);
    CPPUNIT_ASSERT(Old.routesConfirmedAt() == Start - 3s);
  });
  section("a peer without a configuration confirms nothing", [&] {
    platform_view Empty = viewOf("empty");
    const auto Result =
        Requester.applyReply(Empty.answer(Request, Start + 600ms), Peer);
    CPPUNIT_ASSERT(!Result.FetchRoutes);
  });
}

STORY(platform_view_changes) {
  platform_view Reader = viewOf("reader");
  platform_view Requester = viewOf("asker");
  Reader.confirmTargets(100, Start);
  Reader.truncateChangeLog(100);
  Requester.confirmTargets(100, Start);
  const auto RequestAt = [&](boot_time Now) {
    return Requester.applyReply(
        Reader.answer(Requester.makeRequest(Now, Peer), Now), Peer);
  };
  section("changes since the requested revision are applied", [&] {
    Reader.logTargetChange(101, changeOf("x"));
    Reader.confirmTargets(101, Start + 1s);
    Reader.setEvacuated({"dc"}, Start + 1s);
    const auto Result = RequestAt(Start + 1s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Result.Changes.size());
    CPPUNIT_ASSERT(Result.Evacuated->contains("dc"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(101), Requester.revision());
    CPPUNIT_ASSERT(RequestAt(Start + 2s).Changes.empty());
  });
  section("they can be relayed", [&] {
    platform_view Third = viewOf("third");
    Third.confirmTargets(100, Start);
    const auto Result = Third.applyReply(
        Requester.answer(Third.makeRequest(Start + 2s, Peer), Start + 2s),
        Peer);
    CPPUNIT_ASSERT(Result.ReadTargets || Result.Changes.size() == 1);
  });
  section("changes missing from the log must be read", [&] {
    Reader.truncateChangeLog(110);
    Reader.confirmTargets(110, Start + 3s);
    const auto Result = RequestAt(Start + 3s);
    CPPUNIT_ASSERT(Result.ReadTargets && Result.Changes.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(101), Requester.revision());
  });
  section("evacuated data centres are applied nevertheless", [&] {
    Reader.setEvacuated({"dc", "other"}, Start + 4s);
    const auto Result = RequestAt(Start + 4s);
    CPPUNIT_ASSERT(Result.ReadTargets);
    CPPUNIT_ASSERT(Result.Evacuated && Result.Evacuated->contains("other"));
  });
  section("an older revision is not applied", [&] {
    platform_view Behind = viewOf("behind");
    Behind.confirmTargets(50, Start + 9s);
    const auto Result = Requester.applyReply(
        Behind.answer(Requester.makeRequest(Start + 9s, Peer), Start + 9s),
        Peer);
    CPPUNIT_ASSERT(Result.Changes.empty() && !Result.Evacuated);
  });
}

namespace {

/// A reader that has seen a data centre's targets expire between two polls, and
/// an instance that sends requests to it.
struct many_changes {
  static constexpr std::size_t Count = 120;

  many_changes() : Reader(viewOf("reader")), Requester(viewOf("asker")) {
    Reader.confirmTargets(100, Start);
    Reader.truncateChangeLog(100);
    Requester.confirmTargets(100, Start);
    for (std::size_t I = 0; I < Count; ++I)
      Reader.logTargetChange(150, changeOf("target" + std::to_string(I)));
    Reader.confirmTargets(150, Start + 1s);
    Reader.setEvacuated({"dc"}, Start + 1s);
  }

  view_reply reply(boot_time Now) {
    return Reader.answer(Requester.makeRequest(Now, Peer), Now);
  }

  /// True if there is more to request.
  bool applyReply(const view_reply &Reply) {
    const auto Result = Requester.applyReply(Reply, Peer);
    CPPUNIT_ASSERT(!Result.ReadTargets);
    for (const target_change &Change : Result.Changes)
      Seen.push_back(Change.Record.Name);
    return Result.RequestNextPart;
  }

  void finish(boot_time Now) {
    for (std::size_t I = 0; applyReply(reply(Now)); ++I)
      CPPUNIT_ASSERT(I < Count);
  }

  void checkAll() const {
    CPPUNIT_ASSERT_EQUAL(Count, Seen.size());
    for (std::size_t I = 0; I < Count; ++I)
      CPPUNIT_ASSERT_EQUAL("target" + std::to_string(I), Seen[I]);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(150), Requester.revision());
  }

  platform_view Reader;
  platform_view Requester;
  std::vector<std::string> Seen;
};

} // namespace

STORY(platform_view_many_changes) {
  section("they arrive in parts, each once and in order, without a read", [&] {
    many_changes Case;
    Case.finish(Start + 1100ms);
    Case.checkAll();
  });
  section("nothing is applied before the last part", [&] {
    many_changes Case;
    CPPUNIT_ASSERT(Case.applyReply(Case.reply(Start + 1100ms)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(100), Case.Requester.revision());
    CPPUNIT_ASSERT(Case.Requester.targetsDue(Start + 1600ms));
  });
  section("a lost part is requested again", [&] {
    many_changes Case;
    Case.applyReply(Case.reply(Start + 1100ms));
    Case.reply(Start + 1101ms);
    Case.finish(Start + 1600ms);
    Case.checkAll();
  });
  section("a duplicate part, or one of an earlier request, is ignored", [&] {
    many_changes Case;
    const view_reply First = Case.reply(Start + 1100ms);
    Case.applyReply(First);
    CPPUNIT_ASSERT(!Case.applyReply(First));
    const view_reply Late = Case.reply(Start + 1101ms);
    Case.finish(Start + 1600ms);
    CPPUNIT_ASSERT(!Case.applyReply(Late));
    Case.checkAll();
  });
  section("changes made meanwhile follow at the end", [&] {
    many_changes Case;
    Case.applyReply(Case.reply(Start + 1100ms));
    Case.Reader.logTargetChange(151, changeOf("last"));
    Case.Reader.confirmTargets(151, Start + 2s);
    Case.finish(Start + 2100ms);
    CPPUNIT_ASSERT_EQUAL(Case.Count + 1, Case.Seen.size());
    CPPUNIT_ASSERT_EQUAL(std::string("last"), Case.Seen.back());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(151), Case.Requester.revision());
  });
}

STORY(platform_view_parts_of_others) {
  section("a request to another instance starts from the first part", [&] {
    many_changes Case;
    Case.applyReply(Case.reply(Start + 1100ms));
    for (const std::uint64_t To : {OtherPeer, std::uint64_t(0)}) {
      Case.applyReply(Case.reply(Start + 1200ms));
      CPPUNIT_ASSERT_EQUAL(std::uint32_t(0),
                           Case.Requester.makeRequest(Start + 1300ms, To).Skip);
    }
    Case.Seen.clear();
    Case.finish(Start + 1600ms);
    Case.checkAll();
  });
  section("a part that arrives after an own read is ignored", [&] {
    many_changes Case;
    const view_reply Part = Case.reply(Start + 1100ms);
    // A slow read that started before the reader's ends only now.
    Case.Requester.confirmTargets(149, Start + 900ms);
    CPPUNIT_ASSERT(!Case.applyReply(Part));
    Case.Seen.clear();
    Case.finish(Start + 1600ms);
    Case.checkAll();
  });
  section("of several peers the first that replies is continued", [&] {
    many_changes Case;
    const view_request Request = Case.Requester.makeRequest(Start + 1100ms, 0);
    const view_reply Reply = Case.Reader.answer(Request, Start + 1100ms);
    CPPUNIT_ASSERT(Case.Requester.applyReply(Reply, OtherPeer).RequestNextPart);
    CPPUNIT_ASSERT(!Case.Requester.applyReply(Reply, Peer).RequestNextPart);
    CPPUNIT_ASSERT(Case.Requester.makeRequest(Start + 1101ms, OtherPeer).Skip >
                   0);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(0),
                         Case.Requester.makeRequest(Start + 1101ms, Peer).Skip);
  });
}

STORY(platform_view_parts_at_once) {
  section("the first request returns one part, the next one several", [&] {
    many_changes Case;
    const auto First = Case.Reader.answers(
        Case.Requester.makeRequest(Start + 1100ms, Peer), Start + 1s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), First.size());
    CPPUNIT_ASSERT(Case.applyReply(First[0]));
    const auto Next = Case.Reader.answers(
        Case.Requester.makeRequest(Start + 1101ms, Peer), Start + 1s);
    CPPUNIT_ASSERT(Next.size() > 1 && Next.size() <= 8);
    for (const view_reply &Part : Next)
      CPPUNIT_ASSERT_EQUAL(&Part != &Next.back(), Part.Follows);
  });
  section("only the last of them leads to a request", [&] {
    many_changes Case;
    Case.applyReply(Case.reply(Start + 1100ms));
    for (boot_time Now = Start + 1101ms; Case.Requester.revision() != 150;
         Now += 1ms) {
      CPPUNIT_ASSERT(Now < Start + 1200ms);
      const auto Parts =
          Case.Reader.answers(Case.Requester.makeRequest(Now, Peer), Now);
      for (const view_reply &Part : Parts)
        CPPUNIT_ASSERT_EQUAL(Part.More && !Part.Follows, Case.applyReply(Part));
    }
    Case.checkAll();
  });
  section("a part lost between them is requested at once", [&] {
    many_changes Case;
    Case.applyReply(Case.reply(Start + 1100ms));
    const auto Parts = Case.Reader.answers(
        Case.Requester.makeRequest(Start + 1101ms, Peer), Start + 1s);
    CPPUNIT_ASSERT(Parts.size() > 2);
    Case.applyReply(Parts[0]);
    CPPUNIT_ASSERT(Case.applyReply(Parts[2]));
    Case.finish(Start + 1102ms);
    Case.checkAll();
  });
  section("one lost at the end is requested once more, then others are asked",
          [&] {
            many_changes Case;
            Case.applyReply(Case.reply(Start + 1100ms));
            CPPUNIT_ASSERT(Case.Requester.dueRequest(Start + 1200ms) ==
                           view_source::None);
            CPPUNIT_ASSERT(Case.Requester.dueRequest(Start + 1400ms) ==
                           view_source::SamePeer);
            CPPUNIT_ASSERT_EQUAL(Peer, Case.Requester.partsFrom());
            CPPUNIT_ASSERT(
                Case.Requester.makeRequest(Start + 1400ms, Peer).Skip > 0);
            CPPUNIT_ASSERT(Case.Requester.dueRequest(Start + 1700ms) ==
                           view_source::AnyPeer);
          });
}

STORY(platform_view_readers_that_are_cut_off) {
  // An instance that isn't the reader: a peer has a lower name hash.
  const std::vector<std::string> Names{"a", "b", "c"};
  const auto Behind =
      std::find_if(Names.begin(), Names.end(), [&](const std::string &Name) {
        platform_view View = viewOf(Name);
        std::vector<std::string> Peers = Names;
        std::erase(Peers, Name);
        View.setRegionalPeers(Peers);
        return !View.isReader();
      });
  platform_view View = viewOf(*Behind);
  std::vector<std::string> Peers = Names;
  std::erase(Peers, *Behind);
  View.setRegionalPeers(Peers);
  View.setRemotePeers({"d", "e"});
  View.confirmRoutes(3, Start);
  View.confirmTargets(5, Start);
  const std::string First = View.reader();
  section("two of the region and one of another are asked", [&] {
    CPPUNIT_ASSERT(View.dueRequest(Start + 1400ms) == view_source::AnyPeer);
    std::mt19937_64 Random(1);
    const std::vector<std::string> Sampled = View.samplePeers(Random);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Sampled.size());
    CPPUNIT_ASSERT(Sampled[2] == "d" || Sampled[2] == "e");
  });
  section("a reader stays while no other peer knows more", [&] {
    View.confirmTargets(5, Start + 200ms);
    CPPUNIT_ASSERT_EQUAL(First, View.reader());
  });
  section("and is skipped when one does", [&] {
    View.confirmTargets(6, Start + 1300ms);
    CPPUNIT_ASSERT(View.reader() != First);
    View.setRegionalPeers(Peers);
    CPPUNIT_ASSERT(View.reader() != First);
  });
  section("for five seconds", [&] {
    View.dueRequest(Start + 6300ms);
    CPPUNIT_ASSERT(View.reader() != First);
    View.dueRequest(Start + 6500ms);
    CPPUNIT_ASSERT_EQUAL(First, View.reader());
  });
}
