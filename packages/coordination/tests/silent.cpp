/// Property: when a middlebox loses track of connections, requests stop going
/// to the dead ones after the first has fallen silent.
#include <magnoliaspread/silent.h>
#include <magnoliaspread/story.h>

#include <random>
#include <set>

using namespace magnoliaspread;
using namespace std::chrono_literals;

namespace {

/// A pool whose connections all go silent at one moment, with requests one
/// after the other; counts requests put on a dead connection.
class silence_simulation {
public:
  silence_simulation(std::uint64_t Seed, bool UseTable)
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

  int RequestsLost = 0;
  int OnceRequestsLost = 0;

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
    connection_id Id = choose(Repeatable);
    Table.sent(Id, Clock.now());
    if (!Dead.contains(Id)) {
      Clock.advance(2ms);
      Table.becameIdle(Id, Clock.now());
      return;
    }
    ++(Repeatable ? RequestsLost : OnceRequestsLost);
    silent(Id);
  }

  void silent(connection_id Id) {
    Clock.advance(500ms);
    const std::vector<connection_id> Doubted = Table.fellSilent(Id);
    close(Id);
    if (UseTable)
      for (connection_id Sibling : Doubted)
        close(Sibling);
  }

  connection_id choose(bool Repeatable) {
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
    silent(Choice->Id);
    return open();
  }

  std::mt19937_64 Random;
  bool UseTable;
  fake_clock Clock;
  connection_table Table{silence_settings{}};
  std::set<connection_id> Live;
  std::set<connection_id> Dead;
  connection_id LastId = 0;
};

} // namespace

STORY(connections_that_go_silent_together) {
  section("a pool that takes the first loses a request on each", [&] {
    silence_simulation Simulation(1, false);
    Simulation.run();
    CPPUNIT_ASSERT(Simulation.RequestsLost + Simulation.OnceRequestsLost >= 20);
  });
  section("doubting the others loses one at most", [&] {
    for (std::uint64_t Seed = 1; Seed <= 100; ++Seed) {
      silence_simulation Simulation(Seed, true);
      Simulation.run();
      CPPUNIT_ASSERT_MESSAGE(
          "seed " + std::to_string(Seed),
          Simulation.RequestsLost + Simulation.OnceRequestsLost <= 1);
    }
  });
}

STORY(reuse_of_one_connection) {
  fake_clock Clock;
  connection_table Table{silence_settings{}};
  Table.opened(1, Clock.now());
  const auto Verdict = [&](bool Repeatable) {
    return Table.judge(Table.rows().at(0), Repeatable, Clock.now());
  };

  section("a new one is used as it is", [&] {
    CPPUNIT_ASSERT(Verdict(true) == reuse_verdict::Use);
    CPPUNIT_ASSERT(Verdict(false) == reuse_verdict::Use);
  });
  section("after a pause it isn't used for what may not be repeated", [&] {
    Clock.advance(500ms);
    CPPUNIT_ASSERT(Verdict(true) == reuse_verdict::Use);
    CPPUNIT_ASSERT(!Table.pick(false, Clock.now()));
  });
  section("after a longer one it is probed first", [&] {
    Clock.advance(2s);
    CPPUNIT_ASSERT(Table.pick(true, Clock.now())->Verdict ==
                   reuse_verdict::Probe);
  });
  section("the one that proved itself last is preferred", [&] {
    Table.opened(2, Clock.now());
    CPPUNIT_ASSERT_EQUAL(connection_id(2), Table.pick(true, Clock.now())->Id);
  });
  section("one that answered since is not doubted", [&] {
    Table.sent(1, Clock.now());
    Clock.advance(10ms);
    Table.opened(3, Clock.now());
    Table.becameIdle(2, Clock.now());
    CPPUNIT_ASSERT(Table.fellSilent(1).empty());
    Table.sent(2, Clock.now());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Table.fellSilent(2).size());
  });
  section("in the end it is closed", [&] {
    Clock.advance(15s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Table.expired(Clock.now()).size());
    CPPUNIT_ASSERT(!Table.pick(true, Clock.now()));
  });
}
