#include <magnoliaspread/call_pacer.h>
#include <magnoliaspread/story.h>

using namespace magnoliaspread;
using namespace std::chrono_literals;

STORY(pace_of_calls) {
  fake_clock Clock;
  call_pacer Pacer({10, 3, 50ms, 400ms}, Clock.now(), 1);

  section("a burst, then the configured rate", [&] {
    int Acquired = 0;
    for (int Step = 0; Step < 1000; ++Step) {
      Acquired += Pacer.tryAcquire(Clock.now()) ? 1 : 0;
      Clock.advance(10ms);
    }
    CPPUNIT_ASSERT(Acquired >= 101 && Acquired <= 103);
  });
  section("the time of the next permit is neither early nor much late", [&] {
    for (int Step = 0; Step < 50; ++Step) {
      while (Pacer.tryAcquire(Clock.now()))
        continue;
      const auto Wait = Pacer.nextPermitAt(Clock.now()) - Clock.now();
      CPPUNIT_ASSERT(Wait > 0ms && Wait <= 101ms);
      Clock.advance(Wait);
      CPPUNIT_ASSERT(Pacer.tryAcquire(Clock.now()));
    }
  });
  section("the backoff grows with each failure up to its maximum", [&] {
    Clock.advance(1s);
    for (const std::chrono::milliseconds MaxDelay :
         {50ms, 100ms, 200ms, 400ms, 400ms}) {
      Pacer.callFailed(Clock.now(), Clock.now());
      const auto Wait = Pacer.nextPermitAt(Clock.now()) - Clock.now();
      CPPUNIT_ASSERT(Wait >= MaxDelay / 2 && Wait <= MaxDelay);
      Clock.advance(Wait + 1us);
    }
  });
  section("one call at a time probes during a backoff", [&] {
    Clock.advance(1s);
    CPPUNIT_ASSERT(Pacer.tryAcquire(Clock.now()));
    CPPUNIT_ASSERT(!Pacer.tryAcquire(Clock.now()));
  });
  section("a success ends the backoff for all calls", [&] {
    CPPUNIT_ASSERT(Pacer.callSucceeded());
    CPPUNIT_ASSERT(!Pacer.callSucceeded());
    CPPUNIT_ASSERT(Pacer.tryAcquire(Clock.now()));
  });
  section("failures of concurrent calls count as one", [&] {
    const steady_time Sent = Clock.now();
    Clock.advance(1s);
    for (int I = 0; I < 8; ++I)
      Pacer.callFailed(Sent, Clock.now());
    CPPUNIT_ASSERT(Pacer.nextPermitAt(Clock.now()) - Clock.now() <= 50ms);
  });
}
