#include <magnoliaspread/retry.h>
#include <magnoliaspread/story.h>

#include <random>

using namespace magnoliaspread;
using namespace std::chrono_literals;

namespace {

attempt_facts freshFacts() {
  attempt_facts Facts;
  Facts.TimeLeft = 1s;
  Facts.UsualTime = 100ms;
  return Facts;
}

struct retry_fixture {
  retry_verdict judge(const attempt_facts &Facts) {
    return mayRetry(Facts, Settings, Budget, Clock.now());
  }

  fake_clock Clock;
  retry_settings Settings;
  retry_budget Budget{Settings, Clock.now()};
};

} // namespace

// Guards against a burst per instance whose sum grows with the fleet: all
// instances may spend their saved tokens at the same time.
STORY(retries_of_a_fleet_stay_within_its_slack) {
  struct fleet_size {
    std::size_t Instances;
    double Slack;
  };
  // Deployments of the users: instances and budgetSlack.
  for (const fleet_size Size :
       {fleet_size{11, 62}, {65, 170}, {84, 208}, {90, 220}, {195, 430}})
    section(std::to_string(Size.Instances) + " instances", [&] {
      fleet_retry_settings Settings;
      Settings.Ratio = 0.2;
      Settings.Slack = Size.Slack;
      std::vector<fleet_retry_budget> Fleet(Size.Instances,
                                            fleet_retry_budget(Settings));
      constexpr int Requests = 100;
      std::size_t Retries = 0;
      for (fleet_retry_budget &Budget : Fleet) {
        Budget.setInstances(Size.Instances);
        for (int I = 0; I < Requests; ++I)
          Budget.countRequest("desk");
        while (Budget.tryTake("desk"))
          ++Retries;
      }
      CPPUNIT_ASSERT(static_cast<double>(Retries) <= Size.Slack);
      CPPUNIT_ASSERT(Retries >= Size.Instances);
    });
  section("a burst saved by few instances isn't spent by many", [&] {
    fleet_retry_budget Budget({0.2, 60, 3});
    Budget.setInstances(10);
    for (int I = 0; I < 100; ++I)
      Budget.countRequest("desk");
    Budget.setInstances(60);
    CPPUNIT_ASSERT(Budget.tryTake("desk"));
    CPPUNIT_ASSERT(!Budget.tryTake("desk"));
  });
  section("a new instance starts without tokens and earns them by requests",
          [&] {
            fleet_retry_budget Budget({0.5, 60, 3});
            CPPUNIT_ASSERT(!Budget.tryTake("desk"));
            Budget.countRequest("desk");
            CPPUNIT_ASSERT(!Budget.tryTake("desk"));
            Budget.countRequest("desk");
            CPPUNIT_ASSERT(Budget.tryTake("desk"));
          });
}

STORY(retries_that_are_safe) {
  retry_fixture Fixture;
  attempt_facts Facts = freshFacts();

  section("a request that was never sent may be retried", [&] {
    CPPUNIT_ASSERT(Fixture.judge(Facts) == retry_verdict::Retry);
  });
  section("after its first byte only a repeatable request may be", [&] {
    Facts.FirstByteSent = true;
    CPPUNIT_ASSERT(Fixture.judge(Facts) == retry_verdict::MayHaveRun);
    Facts.Repeatable = true;
    CPPUNIT_ASSERT(Fixture.judge(Facts) == retry_verdict::Retry);
  });
  section("or one that the target reported as not run", [&] {
    Facts.Repeatable = false;
    Facts.ReportedNotRun = true;
    CPPUNIT_ASSERT(Fixture.judge(Facts) == retry_verdict::Retry);
  });
  section("not without its body, nor after the first byte of the answer", [&] {
    Facts.BodyReplayable = false;
    CPPUNIT_ASSERT(Fixture.judge(Facts) == retry_verdict::NotReplayable);
    Facts = freshFacts();
    Facts.Repeatable = true;
    Facts.AnswerStarted = true;
    CPPUNIT_ASSERT(Fixture.judge(Facts) == retry_verdict::NotReplayable);
  });
  section("not if no answer is likely before the deadline", [&] {
    Facts = freshFacts();
    Facts.TimeLeft = 100ms;
    CPPUNIT_ASSERT(Fixture.judge(Facts) == retry_verdict::NoTime);
  });
  section("not beyond the maximum number of attempts", [&] {
    Facts = freshFacts();
    Facts.Attempts = 3;
    CPPUNIT_ASSERT(Fixture.judge(Facts) == retry_verdict::TooManyAttempts);
  });
}

STORY(retry_budgets) {
  section("if every request fails, retries stay rare", [&] {
    retry_fixture Fixture;
    int Retries = 0;
    for (int I = 0; I < 10000; ++I) {
      Fixture.Clock.advance(10ms);
      Retries += Fixture.judge(freshFacts()) == retry_verdict::Retry ? 1 : 0;
    }
    // A burst of 10, and 0.1 per second for 100 s.
    CPPUNIT_ASSERT(Retries >= 19 && Retries <= 20);
  });
  section("if one in 20 fails, each is retried", [&] {
    retry_fixture Fixture;
    for (int I = 0; I < 10000; ++I) {
      if (I % 20 == 0)
        CPPUNIT_ASSERT(Fixture.judge(freshFacts()) == retry_verdict::Retry);
      else
        Fixture.Budget.succeeded(Fixture.Clock.now());
    }
  });
}

STORY(hedges) {
  retry_fixture Fixture;
  attempt_facts Facts = freshFacts();
  Facts.FirstByteSent = true;
  const auto Hedges = [&](std::chrono::milliseconds Waited) {
    return mayHedge(Facts, Waited, 300ms, Fixture.Settings, Fixture.Budget,
                    Fixture.Clock.now());
  };

  section("never for a request that must not be repeated", [&] {
    CPPUNIT_ASSERT(!Hedges(400ms));
    Facts.ReportedNotRun = true;
    CPPUNIT_ASSERT(!Hedges(400ms));
  });
  section("for a repeatable one that is slower than most", [&] {
    Facts.Repeatable = true;
    CPPUNIT_ASSERT(!Hedges(299ms));
    CPPUNIT_ASSERT(Hedges(300ms));
  });
  section("within the budget", [&] {
    int Count = 0;
    while (Hedges(300ms))
      ++Count;
    CPPUNIT_ASSERT_EQUAL(9, Count);
  });
}
