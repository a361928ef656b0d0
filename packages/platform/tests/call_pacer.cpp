#include <magnoliaspread/call_pacer.h>
#include <magnoliaspread/story.h>

using namespace magnoliaspread;
using namespace std::chrono_literals;

STORY(pace_of_calls) {
  fake_clock Clock;
  call_pacer Pacer({10, 3, 50ms, 400ms}, Clock.now(), 1);

  section("a burst, then the rate", [&] {
    int Taken = 0;
    for (int Step = 0; Step < 1000; ++Step) {
      Taken += Pacer.tryTake(Clock.now()) ? 1 : 0;
      Clock.advance(10ms);
    }
    CPPUNIT_ASSERT(Taken >= 101 && Taken <= 103);
  });
  section("the next try is neither early nor much late", [&] {
    for (int Step = 0; Step < 50; ++Step) {
      while (Pacer.tryTake(Clock.now()))
        continue;
      const auto Wait = Pacer.nextTry(Clock.now()) - Clock.now();
      CPPUNIT_ASSERT(Wait > 0ms && Wait <= 101ms);
      Clock.advance(Wait);
      CPPUNIT_ASSERT(Pacer.tryTake(Clock.now()));
    }
  });
  section("failures back off, longer each time up to the longest", [&] {
    Clock.advance(1s);
    for (const std::chrono::milliseconds Longest :
         {50ms, 100ms, 200ms, 400ms, 400ms}) {
      Pacer.callFailed(Clock.now(), Clock.now());
      const auto Wait = Pacer.nextTry(Clock.now()) - Clock.now();
      CPPUNIT_ASSERT(Wait >= Longest / 2 && Wait <= Longest);
      Clock.advance(Wait + 1us);
    }
  });
  section("one call at a time probes during a back-off", [&] {
    Clock.advance(1s);
    CPPUNIT_ASSERT(Pacer.tryTake(Clock.now()));
    CPPUNIT_ASSERT(!Pacer.tryTake(Clock.now()));
  });
  section("a success ends the back-off for all", [&] {
    CPPUNIT_ASSERT(Pacer.callSucceeded());
    CPPUNIT_ASSERT(!Pacer.callSucceeded());
    CPPUNIT_ASSERT(Pacer.tryTake(Clock.now()));
  });
  section("calls that were in flight together fail as one", [&] {
    const steady_time Sent = Clock.now();
    Clock.advance(1s);
    for (int I = 0; I < 8; ++I)
      Pacer.callFailed(Sent, Clock.now());
    CPPUNIT_ASSERT(Pacer.nextTry(Clock.now()) - Clock.now() <= 50ms);
  });
}
