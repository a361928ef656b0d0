#include <magnoliaspread/memory_store.h>
#include <magnoliaspread/story.h>

#include <deque>

using namespace magnoliaspread;
using namespace std::chrono_literals;

namespace {

struct memory_fixture {
  void runTasks() {
    for (; !Tasks.empty(); Tasks.pop_front())
      Tasks.front()();
  }

  result<put_answer> put(put_request Request) {
    result<put_answer> Answer = error{};
    Store.put(std::move(Request),
              [&](const result<put_answer> &Got) { Answer = Got; });
    runTasks();
    return Answer;
  }

  fake_clock Clock;
  memory_platform Platform{Clock};
  std::deque<std::function<void()>> Tasks;
  memory_store Store{Platform, Clock, [this](std::function<void()> Task) {
                       Tasks.push_back(std::move(Task));
                     }};
};

} // namespace

STORY(memory_store_faults) {
  memory_fixture Fixture;
  memory_platform &Platform = Fixture.Platform;
  memory_store &Store = Fixture.Store;

  section("a lost answer hides a write that took effect", [&] {
    Platform.setFaults({false, 1, false, 1});
    CPPUNIT_ASSERT(failed(Fixture.put({"x", "1", NoObject})));
    CPPUNIT_ASSERT(!Store.reachable());
    CPPUNIT_ASSERT(Platform.Objects.find("x").has_value());
    Platform.setFaults({});
  });
  section("a watch ends with a change or at the end of its wait", [&] {
    int Changes = 0;
    int Ends = 0;
    const auto Count = [&](const result<watch_answer> &Got) {
      ++(valueOf(Got).Changed ? Changes : Ends);
    };
    Store.watch({"x", Platform.Objects.versionOf("x"), 100ms}, Count);
    Fixture.runTasks();
    CPPUNIT_ASSERT_EQUAL(0, Changes);
    CPPUNIT_ASSERT(!failed(Fixture.put({"x", "2", {}})));
    CPPUNIT_ASSERT_EQUAL(1, Changes);
    Store.watch({"x", Platform.Objects.versionOf("x"), 100ms}, Count);
    Fixture.Clock.advance(101ms);
    Platform.expireWatches();
    Fixture.runTasks();
    CPPUNIT_ASSERT_EQUAL(1, Ends);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Store.counters().WaitingWatches);
  });
  section("a write of a partitioned store fails without effect", [&] {
    Store.setPartitioned(true);
    CPPUNIT_ASSERT(failed(Fixture.put({"x", "3", {}})));
    CPPUNIT_ASSERT_EQUAL(std::string("2"), Platform.Objects.find("x")->Value);
    Store.setPartitioned(false);
  });
  section("a destroyed store removes its watches", [&] {
    int Answers = 0;
    {
      memory_store Other(Platform, Fixture.Clock,
                         [](const std::function<void()> &Task) { Task(); });
      Other.watch({"y", NoObject, 100ms},
                  [&](const result<watch_answer> &) { ++Answers; });
    }
    CPPUNIT_ASSERT(!failed(Fixture.put({"y", "1", NoObject})));
    CPPUNIT_ASSERT_EQUAL(0, Answers);
  });
}
