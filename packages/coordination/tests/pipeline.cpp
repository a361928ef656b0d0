#include <magnoliaspread/pipeline.h>
#include <magnoliaspread/story.h>

#include <random>
#include <vector>

using namespace magnoliaspread;

namespace {

constexpr std::size_t Kilobyte = 1024;

pipeline_limits limits(std::size_t Requests,
                       std::size_t Bytes = 256 * Kilobyte) {
  return {Requests, Bytes};
}

} // namespace

// Load: a caller sends reads on a connection faster than they are answered.
STORY(pipelined_reads_run_together_and_are_answered_in_order) {
  pipeline Pipeline(limits(3));
  const auto Read = [&] {
    CPPUNIT_ASSERT(Pipeline.mayRead());
    return Pipeline.add(pipeline_order::Concurrent);
  };
  const auto First = Read();
  const auto Second = Read();
  const auto Third = Read();

  section("each may start at once, up to the bound", [&] {
    for (const auto Number : {First, Second, Third})
      CPPUNIT_ASSERT(Pipeline.mayStart(Number));
    CPPUNIT_ASSERT(!Pipeline.mayRead());
  });
  section("the answer to a later one waits for the first", [&] {
    Pipeline.answered(Third, Kilobyte);
    CPPUNIT_ASSERT(!Pipeline.nextAnswer());
    CPPUNIT_ASSERT(!Pipeline.mayRead());
    Pipeline.answered(First, Kilobyte);
    CPPUNIT_ASSERT(Pipeline.nextAnswer() == First);
  });
  section("a written answer makes room for one more", [&] {
    Pipeline.written();
    CPPUNIT_ASSERT(!Pipeline.nextAnswer());
    Read();
    CPPUNIT_ASSERT(!Pipeline.mayRead());
  });
  section("those behind the slow one follow without a gap", [&] {
    Pipeline.answered(Second, Kilobyte);
    CPPUNIT_ASSERT(Pipeline.nextAnswer() == Second);
    Pipeline.written();
    CPPUNIT_ASSERT(Pipeline.nextAnswer() == Third);
  });
}

// Load: orders that may be applied once only, between reads of a connection.
STORY(requests_that_run_once_wait_for_their_turn) {
  pipeline Pipeline(limits(8));
  const auto Read = Pipeline.add(pipeline_order::Concurrent);
  const auto Order = Pipeline.add(pipeline_order::Exclusive);

  section("it doesn't start beside a read, nor is one read behind it", [&] {
    CPPUNIT_ASSERT(Pipeline.mayStart(Read));
    CPPUNIT_ASSERT(!Pipeline.mayStart(Order));
    CPPUNIT_ASSERT(!Pipeline.mayRead());
  });
  section("a complete answer before it isn't enough", [&] {
    Pipeline.answered(Read, Kilobyte);
    CPPUNIT_ASSERT(!Pipeline.mayStart(Order));
  });
  section("it starts when that is written", [&] {
    Pipeline.written();
    CPPUNIT_ASSERT(Pipeline.mayStart(Order));
    CPPUNIT_ASSERT(!Pipeline.mayRead());
  });
  section("the next is read when its own is written", [&] {
    Pipeline.answered(Order, 0);
    CPPUNIT_ASSERT(!Pipeline.mayRead());
    Pipeline.written();
    CPPUNIT_ASSERT(Pipeline.mayRead());
  });
}

// Load: a caller pipelines downloads behind one that is slow.
STORY(answers_that_wait_are_bounded_in_bytes) {
  pipeline Pipeline(limits(8, 100 * Kilobyte));
  Pipeline.add(pipeline_order::Concurrent);
  const auto Second = Pipeline.add(pipeline_order::Concurrent);

  section("a request counts with the largest answer so far", [&] {
    Pipeline.answered(Second, 40 * Kilobyte);
    // 40 KB wait, 40 KB are expected of the first.
    CPPUNIT_ASSERT(!Pipeline.mayRead());
  });
  section("reading goes on when they have left", [&] {
    Pipeline.answered(1, 10 * Kilobyte);
    Pipeline.written();
    CPPUNIT_ASSERT(Pipeline.mayRead());
  });
  section("an answer beyond the bound doesn't stop a lone request", [&] {
    Pipeline.written();
    const auto Large = Pipeline.add(pipeline_order::Concurrent);
    Pipeline.answered(Large, 1000 * Kilobyte);
    CPPUNIT_ASSERT(!Pipeline.mayRead());
    Pipeline.written();
    CPPUNIT_ASSERT(Pipeline.mayRead());
    Pipeline.add(pipeline_order::Concurrent);
    CPPUNIT_ASSERT(!Pipeline.mayRead());
  });
}

// Load: deployments that have not asked for pipelining.
STORY(one_request_at_a_time_by_default) {
  pipeline Pipeline{pipeline_limits()};
  const auto Only = Pipeline.add(pipeline_order::Concurrent);
  CPPUNIT_ASSERT(Pipeline.mayStart(Only));
  CPPUNIT_ASSERT(!Pipeline.mayRead());
  Pipeline.answered(Only, 0);
  CPPUNIT_ASSERT(!Pipeline.mayRead());
  Pipeline.written();
  CPPUNIT_ASSERT(Pipeline.mayRead());
}

// Failure: a connection's last request, or a head that can't be read.
STORY(nothing_is_read_behind_the_last_request) {
  pipeline Pipeline(limits(8));
  const auto First = Pipeline.add(pipeline_order::Concurrent);
  const auto Last = Pipeline.add(pipeline_order::Exclusive);
  Pipeline.close();
  Pipeline.answered(Last, 0);
  CPPUNIT_ASSERT(!Pipeline.nextAnswer());
  Pipeline.answered(First, 0);
  Pipeline.written();
  CPPUNIT_ASSERT(Pipeline.nextAnswer() == Last);
  Pipeline.written();
  CPPUNIT_ASSERT(Pipeline.empty() && !Pipeline.mayRead());
}

// Load: reads and orders in any sequence, answered in any sequence.
STORY(any_mixture_keeps_order_and_bounds) {
  constexpr std::size_t Requests = 5;
  constexpr std::size_t Bytes = 64 * Kilobyte;
  for (unsigned Seed = 1; Seed <= 50; ++Seed) {
    std::mt19937 Random(Seed);
    pipeline Pipeline(limits(Requests, Bytes));
    std::vector<std::uint64_t> Running;
    std::vector<std::uint64_t> Waiting;
    std::uint64_t LastWritten = 0;
    bool OrderRuns = false;
    std::uint64_t Exclusive = 0;
    for (int Step = 0; Step < 2000; ++Step) {
      switch (Random() % 3) {
      case 0:
        if (Pipeline.mayRead()) {
          const bool IsOrder = Random() % 4 == 0;
          const auto Number = Pipeline.add(
              IsOrder ? pipeline_order::Exclusive : pipeline_order::Concurrent);
          if (IsOrder)
            Exclusive = Number;
          Waiting.push_back(Number);
        }
        break;
      case 1:
        if (!Running.empty()) {
          const std::size_t Which = Random() % Running.size();
          OrderRuns = OrderRuns && Running[Which] != Exclusive;
          Pipeline.answered(Running[Which], Random() % (16 * Kilobyte));
          Running.erase(Running.begin() + static_cast<std::ptrdiff_t>(Which));
        }
        break;
      default:
        if (const auto Next = Pipeline.nextAnswer()) {
          CPPUNIT_ASSERT_EQUAL(++LastWritten, *Next);
          Pipeline.written();
        }
      }
      for (std::size_t I = 0; I < Waiting.size();) {
        if (!Pipeline.mayStart(Waiting[I])) {
          ++I;
          continue;
        }
        CPPUNIT_ASSERT(!OrderRuns);
        OrderRuns = Waiting[I] == Exclusive;
        CPPUNIT_ASSERT(!OrderRuns || Running.empty());
        Running.push_back(Waiting[I]);
        Waiting.erase(Waiting.begin() + static_cast<std::ptrdiff_t>(I));
      }
      CPPUNIT_ASSERT(Pipeline.size() <= Requests);
    }
    CPPUNIT_ASSERT(LastWritten > 100);
  }
}
