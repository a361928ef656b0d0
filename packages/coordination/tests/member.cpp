#include <magnoliaspread/member.h>
#include <magnoliaspread/story.h>

#include <algorithm>

using namespace magnoliaspread;
using namespace std::chrono_literals;

namespace {

member_identity identity(const std::string &Name, std::uint64_t Incarnation,
                         std::uint64_t Epoch = 100) {
  member_identity Id;
  Id.Name = Name;
  Id.DataCentre = "dc0";
  Id.Region = "r0";
  Id.Incarnation = Incarnation;
  Id.Epoch = Epoch;
  Id.Internal = {"10.0.0." + std::to_string(Name.back() - 'a' + 1), 7000};
  return Id;
}

const endpoint_address AddressB = identity("b", 2).Internal;

member_row rowOf(const member_identity &Id, std::uint64_t Sequence,
                 member_state State = member_state::Alive) {
  member_row Row{Id, {}};
  Row.Report.Sequence = Sequence;
  Row.Report.State = State;
  return Row;
}

heartbeat_message heartbeat(std::uint64_t Incarnation, std::uint64_t Sequence,
                            member_state State = member_state::Alive) {
  heartbeat_message Message;
  Message.Incarnation = Incarnation;
  Message.Report.Sequence = Sequence;
  Message.Report.State = State;
  return Message;
}

bool isNamed(const membership &Members, steady_time Now, const char *Name) {
  const auto Rows = Members.lookupInstances(Now, "dc0");
  return std::any_of(Rows.begin(), Rows.end(), [&](const member_row &Row) {
    return Row.Identity.Name == Name;
  });
}

/// Ticks for \p Time, in steps too short to count as a pause.
steady_time runFor(membership &Members, steady_time From,
                   std::chrono::milliseconds Time) {
  for (auto At = From; At < From + Time; At += 250ms)
    Members.tick(At);
  Members.tick(From + Time);
  return From + Time;
}

} // namespace

STORY(local_peer_silence) {
  steady_time Now{1h};
  membership A(identity("a", 1), 7, Now);
  A.receive(Now, AddressB, rows_message{{rowOf(identity("b", 2), 10)}, true});
  CPPUNIT_ASSERT(isNamed(A, Now, "b"));
  section("causes no suspicion when two heartbeats were lost", [&] {
    Now = runFor(A, Now, 3150ms);
    CPPUNIT_ASSERT(isNamed(A, Now, "b"));
  });
  section("causes suspicion after the third", [&] {
    Now = runFor(A, Now, 400ms);
    CPPUNIT_ASSERT(!isNamed(A, Now, "b"));
    CPPUNIT_ASSERT(A.find("b")->Report.State == member_state::Suspect);
  });
  section("a heartbeat clears the suspicion", [&] {
    A.receive(Now, AddressB, heartbeat(2, 11));
    CPPUNIT_ASSERT(isNamed(A, Now, "b"));
  });
  section("marks the peer dead after six seconds", [&] {
    Now = runFor(A, Now, 6250ms);
    CPPUNIT_ASSERT(A.find("b")->Report.State == member_state::Dead);
  });
  section("late and duplicate messages don't revive it", [&] {
    A.receive(Now, AddressB, heartbeat(2, 11));
    A.receive(Now, AddressB, heartbeat(2, 12));
    A.receive(Now, AddressB, rows_message{{rowOf(identity("b", 2), 12)}, true});
    CPPUNIT_ASSERT(A.find("b")->Report.State == member_state::Dead);
  });
  section("a heartbeat sent after the silence does", [&] {
    A.receive(Now, AddressB, heartbeat(2, 18));
    CPPUNIT_ASSERT(isNamed(A, Now, "b"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, A.counts().Revived);
  });
}

STORY(refused_connection) {
  steady_time Now{1h};
  membership A(identity("a", 1), 7, Now);
  A.receive(Now, AddressB, rows_message{{rowOf(identity("b", 2), 10)}, true});
  section("of another incarnation changes nothing", [&] {
    A.reportRefused(Now, "b", 3);
    CPPUNIT_ASSERT(isNamed(A, Now, "b"));
  });
  section("marks the peer dead at once", [&] {
    A.reportRefused(Now, "b", 2);
    CPPUNIT_ASSERT(!isNamed(A, Now, "b"));
    CPPUNIT_ASSERT(A.takeEndedIncarnations() == std::vector<std::uint64_t>{2});
    CPPUNIT_ASSERT(A.takeEndedIncarnations().empty());
  });
}

STORY(leaving_local_peer) {
  steady_time Now{1h};
  membership A(identity("a", 1), 7, Now);
  A.receive(Now, AddressB, rows_message{{rowOf(identity("b", 2), 10)}, true});
  section("is not returned by look-ups", [&] {
    A.receive(Now, AddressB, heartbeat(2, 11, member_state::Leaving));
    CPPUNIT_ASSERT(!isNamed(A, Now, "b"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, A.liveLocalPeers().size());
  });
  section("stays leaving for its incarnation", [&] {
    A.receive(Now, AddressB, heartbeat(2, 12));
    A.receive(Now, AddressB, heartbeat(2, 10));
    CPPUNIT_ASSERT(!isNamed(A, Now, "b"));
  });
  section("leaving is announced in the same call", [&] {
    const outbox Out = A.leave(Now);
    CPPUNIT_ASSERT(!Out.empty());
    const auto &Message = std::get<heartbeat_message>(Out.front().Message);
    CPPUNIT_ASSERT(Message.Report.State == member_state::Leaving);
    CPPUNIT_ASSERT(!isNamed(A, Now, "a"));
    CPPUNIT_ASSERT(!A.isSpeaker());
  });
}

STORY(later_incarnation) {
  steady_time Now{1h};
  membership A(identity("a", 1), 7, Now);
  const member_row Old = rowOf(identity("b", 9, 100), 500);
  const member_row Newer = rowOf(identity("b", 2, 101), 1);
  A.receive(Now, AddressB, rows_message{{Old}, true});
  section("replaces the former, whatever their sequences are", [&] {
    A.receive(Now, AddressB, rows_message{{Newer}, true});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, A.find("b")->Identity.Incarnation);
    CPPUNIT_ASSERT(A.takeEndedIncarnations() == std::vector<std::uint64_t>{9});
  });
  section("late messages of the former change nothing", [&] {
    A.receive(Now, AddressB, heartbeat(9, 501));
    A.receive(Now, AddressB, rows_message{{Old}, true});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, A.find("b")->Identity.Incarnation);
  });
  section("the former is informed when it sends its row", [&] {
    const outbox Out = A.receive(Now, AddressB, rows_message{{Old}, true});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Out.size());
    const auto &Sent = std::get<rows_message>(Out.front().Message);
    CPPUNIT_ASSERT(Sent.Rows.front().Identity == Newer.Identity);
  });
}

STORY(own_name_elsewhere) {
  const steady_time Start{1h};
  const member_row Other = rowOf(identity("a", 5, 300), 40);
  section("a new process takes over the name, even if the clock stepped back",
          [&] {
            membership A(identity("a", 1, 100), 7, Start);
            A.receive(Start + 1s, AddressB, rows_message{{Other}, true});
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{301}, A.self().Identity.Epoch);
            CPPUNIT_ASSERT(!A.superseded());
          });
  section("a process past its claim window stops", [&] {
    membership A(identity("a", 1, 100), 7, Start);
    runFor(A, Start, 11s);
    A.receive(Start + 11s, AddressB, rows_message{{Other}, true});
    CPPUNIT_ASSERT(A.superseded());
    CPPUNIT_ASSERT(A.self().Report.State == member_state::Leaving);
  });
  section("an earlier incarnation doesn't stop it", [&] {
    membership A(identity("a", 1, 400), 7, Start);
    runFor(A, Start, 11s);
    A.receive(Start + 11s, AddressB, rows_message{{Other}, true});
    CPPUNIT_ASSERT(!A.superseded());
  });
}

STORY(paused_process) {
  steady_time Now{1h};
  membership A(identity("a", 1), 7, Now);
  A.receive(Now, AddressB, rows_message{{rowOf(identity("b", 2), 10)}, true});
  Now = runFor(A, Now, 1s);
  Now += 30s;
  A.tick(Now);
  section("doesn't mark others dead after its own pause", [&] {
    CPPUNIT_ASSERT(A.find("b")->Report.State != member_state::Dead);
  });
  section("returns nobody without a heartbeat since", [&] {
    CPPUNIT_ASSERT(!isNamed(A, Now, "b"));
    CPPUNIT_ASSERT(!A.hasFreshView(Now));
  });
  section("and has a fresh view after two seconds", [&] {
    A.receive(Now, AddressB, heartbeat(2, 40));
    Now = runFor(A, Now, 2s);
    CPPUNIT_ASSERT(isNamed(A, Now, "b"));
    CPPUNIT_ASSERT(A.hasFreshView(Now));
  });
}

STORY(platform_list) {
  steady_time Now{1h};
  membership A(identity("a", 1), 7, Now);
  A.receive(Now, AddressB, rows_message{{rowOf(identity("b", 2), 10)}, true});
  section("that lacks a local peer doesn't mark it dead", [&] {
    A.updateSeeds({});
    A.tick(Now);
    CPPUNIT_ASSERT(isNamed(A, Now, "b"));
  });
  section("with an unknown address adds no live instance", [&] {
    A.updateSeeds({{"dc0", identity("c", 3).Internal}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, A.liveLocalPeers().size());
  });
  section("only leads to a request", [&] {
    bool Requested = false;
    for (auto At = Now; At < Now + 6s; At += 250ms)
      for (const outgoing_message &Item : A.tick(At))
        if (std::holds_alternative<rows_request>(Item.Message))
          Requested |= Item.To.front() == identity("c", 3).Internal;
    CPPUNIT_ASSERT(Requested);
  });
}
