#include "quota_schedule.h"

#include <magnoliaspread/story.h>

#include <thread>

using namespace magnoliaspread;

namespace {

std::uint64_t breachesOf(std::uint64_t Seed, quota_policy Policy) {
  schedule Schedule(Seed, Policy);
  Schedule.Fleet.run(ScheduleSpan);
  return Schedule.Fleet.breaches();
}

std::uint64_t firstSeedCaught(quota_policy Policy, std::uint64_t Max) {
  for (std::uint64_t Seed = 1; Seed <= Max; ++Seed)
    if (breachesOf(Seed, Policy) > 0)
      return Seed;
  return 0;
}

/// Repeatedly, an instance without a share borrows while the buckets of the
/// others fill up, and then all instances spend all their tokens at once.
std::uint64_t breachesWhenHoarding(quota_policy Policy) {
  fleet_options Options;
  Options.Policy = Policy;
  quota_fleet Fleet(Options, configOf(2, TestRate, TestBurst, 1));
  Fleet.run(milliseconds(10000));
  std::size_t Borrower = 0;
  while (Fleet.Processes[Borrower].Leases->heldCount() > 0)
    ++Borrower;
  for (int I = 0; I < 20; ++I) {
    for (int Call = 0; Call < 100; ++Call) {
      Fleet.arrive(Borrower, 0);
      Fleet.run(milliseconds(25));
    }
    Fleet.run(milliseconds(400));
    for (std::size_t P = 0; P < Fleet.Processes.size(); ++P)
      Fleet.spendAll(P, 0);
    Fleet.run(milliseconds(3000));
  }
  return Fleet.breaches();
}

} // namespace

STORY(no_window_admits_more_than_rate_and_burst) {
  section("under random faults, load and edits", [&] {
    const std::uint64_t Count = schedules(150);
    for (std::uint64_t Seed = 1; Seed <= Count; ++Seed)
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(Seed),
                             breachesOf(Seed, quota_policy::Lent) == 0);
  });
}

STORY(the_schedules_detect_faulty_policies) {
  constexpr std::uint64_t Max = 120;
  section("rate divided by the live members that each one sees", [&] {
    CPPUNIT_ASSERT(firstSeedCaught(quota_policy::Divided, Max) != 0);
  });
  section("a lease whose expiry is checked only at its renewal", [&] {
    CPPUNIT_ASSERT(firstSeedCaught(quota_policy::ExpiryIgnored, Max) != 0);
  });
  section("a lender that refills while its tokens are unspent", [&] {
    CPPUNIT_ASSERT(breachesWhenHoarding(quota_policy::RefilledWhileLent) > 0);
    CPPUNIT_ASSERT(breachesWhenHoarding(quota_policy::Lent) == 0);
  });
  section("a new holder that mints immediately", [&] {
    CPPUNIT_ASSERT(firstSeedCaught(quota_policy::NoTakeoverWait, Max) != 0);
  });
  section("a new split that is active before all instances have it", [&] {
    CPPUNIT_ASSERT(firstSeedCaught(quota_policy::SplitAtOnce, Max) != 0);
  });
}

STORY(a_fleet_recovers_when_the_faults_end) {
  constexpr milliseconds RecoveryTime{45000};
  constexpr milliseconds MeasuredTime{20000};
  constexpr double MaxWronglyRefused = 0.01;
  section("every share is held and requests within the limits are admitted",
          [&] {
            std::uint64_t Calls = 0;
            std::uint64_t Wrong = 0;
            for (std::uint64_t Seed = 1; Seed <= 30; ++Seed) {
              schedule Schedule(Seed, quota_policy::Lent);
              quota_fleet &Fleet = Schedule.Fleet;
              Fleet.run(ScheduleSpan);
              Schedule.endFaults();
              Fleet.run(RecoveryTime);
              Fleet.ConformantCalls = 0;
              Fleet.WronglyRefused = 0;
              Fleet.run(MeasuredTime);
              const std::string Text = "seed " + std::to_string(Seed);
              CPPUNIT_ASSERT_MESSAGE(Text, Fleet.breaches() == 0);
              CPPUNIT_ASSERT_MESSAGE(Text, Schedule.allSharesHeld());
              Calls += Fleet.ConformantCalls;
              Wrong += Fleet.WronglyRefused;
            }
            CPPUNIT_ASSERT(static_cast<double>(Wrong) <
                           MaxWronglyRefused * static_cast<double>(Calls));
          });
}

STORY(a_full_bucket_is_not_refilled_for_time_it_was_full) {
  const limit_id Limit = workspaceLimit("clube");
  steady_time Now{std::chrono::hours(1)};
  token_pool Pool;
  quota_allocator Allocator({1, 1}, Pool, Now);
  Allocator.setLimits(1, {{Limit, 10, 5}}, Now);
  Allocator.setShares({{0, 1000000, Now, steady_time::max()}}, Now);
  Now += milliseconds(2000);
  Allocator.tick(Now);
  section("tokens spent at the end of a pause leave the bucket empty", [&] {
    Now += milliseconds(900);
    CPPUNIT_ASSERT(Pool.spend(Limit, 5 * MilliPerToken, Now));
    Allocator.tick(Now);
    CPPUNIT_ASSERT_EQUAL(milli_tokens(0), Allocator.available(Limit));
  });
  section("tokens of the traffic threads expire in a paused process", [&] {
    Now += milliseconds(2000);
    Allocator.tick(Now);
    Now += milliseconds(1000);
    CPPUNIT_ASSERT(!Pool.spend(Limit, MilliPerToken, Now));
  });
}

STORY(lent_tokens) {
  const limit_id Limit = workspaceLimit("clube");
  steady_time Now{std::chrono::hours(1)};
  token_pool LenderPurse;
  quota_allocator Lender({1, 1}, LenderPurse, Now);
  Lender.setLimits(1, {{Limit, 10, 8}}, Now);
  Lender.setShares({{0, 1000000, Now, steady_time::max()}}, Now);
  Now += milliseconds(2000);
  Lender.tick(Now);
  const token_request FirstRequest{7, 1, 0, {{Limit, 3000, 0, 0, 0}}};
  section("count against the lender's burst until they are reported", [&] {
    const auto Grant = Lender.answer(FirstRequest, Now);
    CPPUNIT_ASSERT(Grant && Grant->Rows.front().Tokens == 3000);
    Now += milliseconds(1000);
    Lender.tick(Now);
    CPPUNIT_ASSERT_EQUAL(milli_tokens(5000), Lender.available(Limit));
  });
  section("aren't granted again to a duplicate of the ask",
          [&] { CPPUNIT_ASSERT(!Lender.answer(FirstRequest, Now)); });
  section("are credited at once when the grant was lost", [&] {
    const auto Grant = Lender.answer({7, 2, 0, {}}, Now);
    CPPUNIT_ASSERT(Grant && Grant->Rows.empty());
    CPPUNIT_ASSERT_EQUAL(milli_tokens(8000), Lender.available(Limit));
  });
  section("are credited when returned, and only once", [&] {
    CPPUNIT_ASSERT(Lender.answer({7, 3, 0, {{Limit, 4000, 0, 0, 0}}}, Now));
    CPPUNIT_ASSERT(Lender.answer({7, 4, 3, {{Limit, 0, 0, 1000, 2000}}}, Now));
    CPPUNIT_ASSERT_EQUAL(milli_tokens(6000), Lender.available(Limit));
    CPPUNIT_ASSERT(Lender.answer({7, 5, 3, {{Limit, 0, 0, 0, 2000}}}, Now));
    CPPUNIT_ASSERT_EQUAL(milli_tokens(6000), Lender.available(Limit));
  });
  section("expire at the borrower before they expire at the lender", [&] {
    token_pool Pool;
    quota_allocator Borrower({7, 1}, Pool, Now);
    Borrower.setLimits(1, {{Limit, 10, 8}}, Now);
    Borrower.setPeers({{"lender", true}});
    Pool.addWaiting(Limit, MilliPerToken);
    Now += milliseconds(20);
    const std::vector<outgoing_token_request> Requests = Borrower.tick(Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Requests.size());
    const token_grant Grant{7, 1, 1, 1, {{Limit, 1000, 0, 0, 0}}};
    Borrower.accept("lender", Grant, Now + milliseconds(50));
    Borrower.tick(Now + milliseconds(1500));
    CPPUNIT_ASSERT(!Pool.retry(Limit, MilliPerToken, Now + TokenLife));
    CPPUNIT_ASSERT(Pool.retry(Limit, MilliPerToken, Now + milliseconds(1999)));
    Borrower.accept("lender", Grant, Now + milliseconds(60));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), Borrower.counts().GrantsLate);
  });
}

STORY(traffic_threads_share_one_token_pool) {
  constexpr int Tokens = 20000;
  const limit_id Limit = workspaceLimit("clube");
  steady_time Now{std::chrono::hours(1)};
  token_pool Pool;
  quota_allocator Allocator({1, 1}, Pool, Now);
  Allocator.setLimits(1, {{Limit, Tokens, Tokens}}, Now);
  Allocator.setShares({{0, 1000000, Now, steady_time::max()}}, Now);
  Now += milliseconds(1000);
  Allocator.tick(Now);
  section("no token is spent twice or denied during a tick", [&] {
    std::vector<int> Spent(3, 0);
    std::vector<std::thread> Threads;
    Threads.reserve(Spent.size());
    for (int &Count : Spent)
      Threads.emplace_back([&Pool, &Count, Limit, Now] {
        while (Pool.spend(Limit, MilliPerToken, Now))
          ++Count;
      });
    for (int I = 0; I < 200; ++I)
      Allocator.tick(Now);
    for (std::thread &Thread : Threads)
      Thread.join();
    CPPUNIT_ASSERT_EQUAL(Tokens, Spent[0] + Spent[1] + Spent[2]);
  });
}

STORY(retry_after) {
  const limit_id Limit = workspaceLimit("clube");
  steady_time Now{std::chrono::hours(1)};
  token_pool Pool;
  quota_allocator Allocator({1, 1}, Pool, Now);
  Allocator.setLimits(1, {{Limit, 10, 5}}, Now);
  section("one second without minting or borrowing", [&] {
    CPPUNIT_ASSERT(Allocator.retryAfter(Limit, MilliPerToken, Now) ==
                   milliseconds(1000));
  });
  section("the time to mint the missing tokens", [&] {
    Allocator.setShares({{0, 1000000, Now, steady_time::max()}}, Now);
    Allocator.tick(Now);
    CPPUNIT_ASSERT(Allocator.retryAfter(Limit, 4 * MilliPerToken, Now) ==
                   milliseconds(400));
  });
  section("the maximum for a limit that isn't configured", [&] {
    CPPUNIT_ASSERT(Allocator.retryAfter(1, MilliPerToken, Now) ==
                   milliseconds(10000));
  });
}
