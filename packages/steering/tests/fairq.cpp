#include "fairness.h"

#include <magnoliaspread/fairq.h>
#include <magnoliaspread/story.h>

using namespace magnoliaspread;
using std::chrono::milliseconds;

namespace {

constexpr steady_time Start{std::chrono::hours(1)};

fairq_entry entry(std::uint64_t Id, std::uint16_t Workspace,
                  milliseconds Timeout = milliseconds(60000)) {
  return {Id, {Workspace}, Start + Timeout};
}

fair_queue queueOf(std::size_t Total, std::size_t PerWorkspace) {
  fair_queue Queue({4, Total, PerWorkspace});
  setSlots(Queue, 1);
  return Queue;
}

/// Runs one request so that the queue has a measured slot time.
void measure(fair_queue &Queue, std::uint16_t Workspace, milliseconds Used) {
  std::vector<fairq_entry> Expired;
  CPPUNIT_ASSERT(!failed(push(Queue, entry(1u << 30, Workspace), Start)));
  const auto Grant = pop(Queue, Start, Expired);
  CPPUNIT_ASSERT(Grant.has_value());
  correctCharge(Queue, *Grant, Used);
}

} // namespace

STORY(fair_queue_order) {
  std::vector<fairq_entry> Expired;
  section("a workspace with twice the weight is served twice as often", [&] {
    fair_queue Queue = queueOf(400, 100);
    setWeight(Queue, {0}, 2);
    for (std::uint64_t I = 0; I < 90; ++I) {
      CPPUNIT_ASSERT(!failed(push(Queue, entry(2 * I, 0), Start)));
      CPPUNIT_ASSERT(!failed(push(Queue, entry(2 * I + 1, 1), Start)));
    }
    int Served[2] = {0, 0};
    for (int I = 0; I < 60; ++I)
      ++Served[pop(Queue, Start, Expired)->Entry.Workspace.Index];
    CPPUNIT_ASSERT(Served[0] >= 39 && Served[0] <= 41);
  });
  section("an idle workspace accumulates no credit", [&] {
    fair_queue Queue = queueOf(400, 100);
    for (std::uint64_t I = 0; I < 90; ++I)
      CPPUNIT_ASSERT(!failed(push(Queue, entry(I, 0), Start)));
    for (int I = 0; I < 60; ++I)
      pop(Queue, Start, Expired);
    for (std::uint64_t I = 100; I < 130; ++I)
      CPPUNIT_ASSERT(!failed(push(Queue, entry(I, 1), Start)));
    int Late = 0;
    for (int I = 0; I < 20; ++I)
      Late += pop(Queue, Start, Expired)->Entry.Workspace.Index;
    CPPUNIT_ASSERT(Late >= 9 && Late <= 11);
  });
  section("requests that hold slots longer are granted less often", [&] {
    fair_queue Queue = queueOf(400, 100);
    measure(Queue, 0, milliseconds(40));
    measure(Queue, 1, milliseconds(10));
    for (std::uint64_t I = 0; I < 90; ++I) {
      CPPUNIT_ASSERT(!failed(push(Queue, entry(2 * I, 0), Start)));
      CPPUNIT_ASSERT(!failed(push(Queue, entry(2 * I + 1, 1), Start)));
    }
    int Short = 0;
    for (int I = 0; I < 50; ++I)
      Short += pop(Queue, Start, Expired)->Entry.Workspace.Index;
    CPPUNIT_ASSERT(Short >= 38 && Short <= 42);
  });
}

STORY(fair_queue_deadlines) {
  std::vector<fairq_entry> Expired;
  section("an entry past its deadline is refused at once", [&] {
    fair_queue Queue = queueOf(10, 10);
    const status Status = push(Queue, entry(1, 0, milliseconds(0)), Start);
    CPPUNIT_ASSERT(failed(Status));
    CPPUNIT_ASSERT(errorOf(Status).Kind == error_kind::DeadlineExpired);
  });
  section("expired entries are returned and never granted", [&] {
    fair_queue Queue = queueOf(10, 10);
    push(Queue, entry(1, 0, milliseconds(10)), Start);
    push(Queue, entry(2, 0, milliseconds(30)), Start);
    CPPUNIT_ASSERT(nextDeadline(Queue) == Start + milliseconds(10));
    const auto Grant = pop(Queue, Start + milliseconds(10), Expired);
    CPPUNIT_ASSERT(Grant.has_value() && Grant->Entry.Id == 2);
    CPPUNIT_ASSERT(Expired.size() == 1 && Expired[0].Id == 1);
  });
  section("a request that can't meet its deadline gets a retry time", [&] {
    fair_queue Queue = queueOf(100, 100);
    measure(Queue, 0, milliseconds(100));
    for (std::uint64_t I = 1; I <= 10; ++I)
      CPPUNIT_ASSERT(!failed(push(Queue, entry(I, 0), Start)));
    // Ten entries of 100 ms wait for one slot.
    const status Status = push(Queue, entry(11, 0, milliseconds(400)), Start);
    CPPUNIT_ASSERT(failed(Status));
    CPPUNIT_ASSERT(errorOf(Status).Kind == error_kind::NoCapacity);
    const auto Retry = errorOf(Status).RetryAfter;
    CPPUNIT_ASSERT(Retry >= milliseconds(550) && Retry <= milliseconds(650));
    CPPUNIT_ASSERT(
        !failed(push(Queue, entry(12, 1, milliseconds(400)), Start)));
  });
  section("without slots nothing is queued", [&] {
    fair_queue Queue = queueOf(10, 10);
    setSlots(Queue, 0);
    const status Status = push(Queue, entry(1, 0), Start);
    CPPUNIT_ASSERT(errorOf(Status).Kind == error_kind::NoCapacity);
  });
}

STORY(fair_queue_bounds) {
  section("one workspace can't fill the queue", [&] {
    fair_queue Queue = queueOf(64, 64);
    std::uint64_t Id = 0;
    while (!failed(push(Queue, entry(++Id, 0), Start)))
      CPPUNIT_ASSERT(Id < 64);
    const status Full = push(Queue, entry(++Id, 0), Start);
    CPPUNIT_ASSERT(errorOf(Full).Kind == error_kind::QueueFull);
    CPPUNIT_ASSERT(!failed(push(Queue, entry(++Id, 1), Start)));
  });
  section("cancelled entries are removed", [&] {
    fair_queue Queue = queueOf(4, 4);
    CPPUNIT_ASSERT(!failed(push(Queue, entry(7, 0), Start)));
    CPPUNIT_ASSERT(cancel(Queue, 7));
    CPPUNIT_ASSERT(!cancel(Queue, 7));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, waiting(Queue));
  });
  section("a random mix of calls keeps the counts right", [&] {
    std::mt19937_64 Random(11);
    fair_queue Queue = queueOf(32, 16);
    std::vector<fairq_entry> Expired;
    std::size_t Waiting = 0;
    steady_time Now = Start;
    for (std::uint64_t I = 0; I < 20000; ++I) {
      Now += milliseconds(Random() % 3);
      const auto Workspace = static_cast<std::uint16_t>(Random() % 4);
      const fairq_entry Entry{
          I, {Workspace}, Now + milliseconds(Random() % 50)};
      Expired.clear();
      if (Random() % 2 == 0)
        Waiting += failed(push(Queue, Entry, Now)) ? 0 : 1;
      else if (Random() % 4 == 0)
        Waiting -= cancel(Queue, I - Random() % 20) ? 1 : 0;
      else
        Waiting -= pop(Queue, Now, Expired).has_value() ? 1 : 0;
      Waiting -= Expired.size();
      CPPUNIT_ASSERT_EQUAL(Waiting, waiting(Queue));
    }
  });
}

STORY(fair_queue_flood) {
  for (std::uint64_t Seed = 1; Seed <= 4; ++Seed) {
    const fairness_shape Shape = floodedShape(36, milliseconds(20), 0.95);
    const fairness_result Fair = runFairness(Shape, Seed, false);
    const fairness_result Fifo = runFairness(Shape, Seed, true);
    section("seed " + std::to_string(Seed), [&] {
      section("the worst-served workspace gets its share", [&] {
        CPPUNIT_ASSERT_MESSAGE(std::to_string(Fair.Worst), Fair.Worst >= 0.9);
      });
      section("with first come, first served it doesn't",
              [&] { CPPUNIT_ASSERT(Fifo.Worst < 0.9); });
      section("no grant is late and few queued requests expire", [&] {
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, Fair.ServedLate);
        CPPUNIT_ASSERT(Fair.Expired * 20 <= Fair.Served);
      });
    });
  }
  section("a workspace with slow requests gets no more than its share", [&] {
    fairness_shape Shape = floodedShape(36, milliseconds(20), 0.95);
    Shape.Workspaces.back().SlotTime = milliseconds(100);
    CPPUNIT_ASSERT(runFairness(Shape, 5, false).Worst >= 0.9);
    CPPUNIT_ASSERT(runFairness(Shape, 5, true).Worst < 0.9);
  });
}
