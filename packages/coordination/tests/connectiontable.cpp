/// Property: when a middlebox drops its connection state, no more requests are
/// sent on the dead connections once the first of them is unresponsive.
#include <magnoliaspread/connectiontable.h>
#include <magnoliaspread/story.h>

#include <random>
#include <set>

using namespace magnoliaspread;
using namespace std::chrono_literals;

namespace {

/// A pool whose connections all become unresponsive at the same time, with
/// sequential requests; counts the requests sent on a dead connection.
class pool_simulation {
public:
  pool_simulation(std::uint64_t Seed, bool UseTable)
      : Random(Seed), UseTable(UseTable) {}

  void run() {
    for (int I = 0; I < 20; ++I)
      open();
    for (int Step = 0; Step < 400; ++Step) {
      Clock.advance(std::chrono::milliseconds(Random() % 40));
      if (Step == 200)
        Dead = Live;
      request(Random() % 3 != 0);
    }
  }

  int RepeatableLost = 0;
  int NonRepeatableLost = 0;

private:
  connection_id open() {
    const connection_id Id = ++LastId;
    Table.opened(Id, Clock.now());
    Live.insert(Id);
    return Id;
  }

  void close(connection_id Id) {
    Table.closed(Id);
    Live.erase(Id);
  }

  void request(bool Repeatable) {
    connection_id Id = chooseConnection(Repeatable);
    Table.sent(Id, Clock.now());
    if (!Dead.contains(Id)) {
      Clock.advance(2ms);
      Table.becameIdle(Id, Clock.now());
      return;
    }
    ++(Repeatable ? RepeatableLost : NonRepeatableLost);
    timeOut(Id);
  }

  void timeOut(connection_id Id) {
    Clock.advance(500ms);
    const std::vector<connection_id> Suspects = Table.becameUnresponsive(Id);
    close(Id);
    if (UseTable)
      for (connection_id Suspect : Suspects)
        close(Suspect);
  }

  connection_id chooseConnection(bool Repeatable) {
    if (!UseTable)
      return Live.empty() ? open() : *Live.begin();
    for (connection_id Id : Table.expired(Clock.now()))
      close(Id);
    const auto Choice = Table.pick(Repeatable, Clock.now());
    if (!Choice)
      return open();
    if (Choice->Verdict == reuse_verdict::Use)
      return Choice->Id;
    Table.sent(Choice->Id, Clock.now());
    if (!Dead.contains(Choice->Id)) {
      Table.becameIdle(Choice->Id, Clock.now());
      return Choice->Id;
    }
    timeOut(Choice->Id);
    return open();
  }

  std::mt19937_64 Random;
  bool UseTable;
  fake_clock Clock;
  connection_table Table{connection_reuse_settings{}};
  std::set<connection_id> Live;
  std::set<connection_id> Dead;
  connection_id LastId = 0;
};

} // namespace

STORY(connections_that_become_unresponsive_together) {
  section("reusing any idle connection loses a request on each", [&] {
    pool_simulation Simulation(1, false);
    Simulation.run();
    CPPUNIT_ASSERT(Simulation.RepeatableLost + Simulation.NonRepeatableLost >=
                   20);
  });
  section("suspecting the others loses at most one", [&] {
    for (std::uint64_t Seed = 1; Seed <= 100; ++Seed) {
      pool_simulation Simulation(Seed, true);
      Simulation.run();
      CPPUNIT_ASSERT_MESSAGE(
          "seed " + std::to_string(Seed),
          Simulation.RepeatableLost + Simulation.NonRepeatableLost <= 1);
    }
  });
}

STORY(reuse_of_one_connection) {
  fake_clock Clock;
  connection_table Table{connection_reuse_settings{}};
  Table.opened(1, Clock.now());
  const auto Verdict = [&](bool Repeatable) {
    return Table.checkReuse(Table.rows().at(0), Repeatable, Clock.now());
  };

  section("a new connection is used without a probe", [&] {
    CPPUNIT_ASSERT(Verdict(true) == reuse_verdict::Use);
    CPPUNIT_ASSERT(Verdict(false) == reuse_verdict::Use);
  });
  section("after a pause it isn't used for requests that must not repeat", [&] {
    Clock.advance(500ms);
    CPPUNIT_ASSERT(Verdict(true) == reuse_verdict::Use);
    CPPUNIT_ASSERT(!Table.pick(false, Clock.now()));
  });
  section("after a longer pause it is probed first", [&] {
    Clock.advance(2s);
    CPPUNIT_ASSERT(Table.pick(true, Clock.now())->Verdict ==
                   reuse_verdict::Probe);
  });
  section("the one that received bytes last is preferred", [&] {
    Table.opened(2, Clock.now());
    CPPUNIT_ASSERT_EQUAL(connection_id(2), Table.pick(true, Clock.now())->Id);
  });
  section("one that answered since is not suspected", [&] {
    Table.sent(1, Clock.now());
    Clock.advance(10ms);
    Table.opened(3, Clock.now());
    Table.becameIdle(2, Clock.now());
    CPPUNIT_ASSERT(Table.becameUnresponsive(1).empty());
    Table.sent(2, Clock.now());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Table.becameUnresponsive(2).size());
  });
  section("after MaxIdle it is closed", [&] {
    Clock.advance(15s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Table.expired(Clock.now()).size());
    CPPUNIT_ASSERT(!Table.pick(true, Clock.now()));
  });
}
