#include <magnoliaspread/story.h>
#include <magnoliaspread/targetlimits.h>

#include <algorithm>
#include <random>
#include <vector>

using namespace magnoliaspread;
using namespace std::chrono_literals;

namespace {

constexpr boot_time Start{std::chrono::hours(1)};
constexpr target_start Target = 7;

void expectRate(const target_limits &Limits, std::optional<double> Rate,
                boot_time Now) {
  CPPUNIT_ASSERT(Limits.rate(Target, Now) == Rate);
}

} // namespace

STORY(announced_limits_are_ordered_by_request) {
  target_limits Limits;
  boot_time Now = Start;
  section("answers without a limit say nothing new", [&] {
    CPPUNIT_ASSERT(Limits.observe(Target, {}, Now, Now) == limit_change::None);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Limits.size(Now));
  });
  section("a limit holds from its first announcement", [&] {
    CPPUNIT_ASSERT(Limits.observe(Target, 6.4, Now, Now + 100ms) ==
                   limit_change::Announced);
    expectRate(Limits, 6.4, Now + 100ms);
    CPPUNIT_ASSERT(Limits.observe(Target, 6.4, Now + 10ms, Now + 150ms) ==
                   limit_change::None);
  });
  section("it follows its changes", [&] {
    CPPUNIT_ASSERT(Limits.observe(Target, 3.2, Now + 20ms, Now + 150ms) ==
                   limit_change::Changed);
    expectRate(Limits, 3.2, Now + 150ms);
  });
  section("and ends with an answer without it", [&] {
    CPPUNIT_ASSERT(Limits.observe(Target, {}, Now + 500ms, Now + 600ms) ==
                   limit_change::Withdrawn);
    expectRate(Limits, {}, Now + 600ms);
  });
  section("a late answer to an earlier request doesn't restore it", [&] {
    CPPUNIT_ASSERT(Limits.observe(Target, 3.2, Now + 400ms, Now + 700ms) ==
                   limit_change::None);
    expectRate(Limits, {}, Now + 700ms);
  });
  section("a later request may find a new one", [&] {
    CPPUNIT_ASSERT(Limits.observe(Target, 5, Now + 700ms, Now + 800ms) ==
                   limit_change::Announced);
  });
}

STORY(announced_limits_are_bounded) {
  target_limits Limits;
  section("a limit of zero leaves a request every ten seconds", [&] {
    Limits.observe(Target, 0, Start, Start);
    expectRate(Limits, 0.1, Start);
  });
  section("a huge one stays a number", [&] {
    Limits.observe(Target, 1e99, Start + 1s, Start + 1s);
    expectRate(Limits, 1e6, Start + 1s);
  });
  section("one that no answer confirms expires", [&] {
    expectRate(Limits, 1e6, Start + 20s);
    expectRate(Limits, {}, Start + 21s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Limits.size(Start + 21s));
  });
  section("unreadable ones are reported once and change nothing", [&] {
    Limits.observe(Target, 4, Start + 30s, Start + 30s);
    CPPUNIT_ASSERT(Limits.observeUnreadable(Target));
    CPPUNIT_ASSERT(!Limits.observeUnreadable(Target));
    expectRate(Limits, 4, Start + 30s);
    Limits.observe(Target, 4, Start + 31s, Start + 31s);
    CPPUNIT_ASSERT(Limits.observeUnreadable(Target));
  });
  section("the table is bounded, and expired limits give way", [&] {
    target_limit_settings Settings;
    Settings.MaxTargets = 2;
    target_limits Small(Settings);
    Small.observe(1, 1, Start, Start);
    Small.observe(2, 1, Start + 15s, Start + 15s);
    CPPUNIT_ASSERT(Small.observe(3, 1, Start + 15s, Start + 15s) ==
                   limit_change::None);
    CPPUNIT_ASSERT(Small.observe(3, 1, Start + 25s, Start + 25s) ==
                   limit_change::Announced);
    CPPUNIT_ASSERT(Small.rate(2, Start + 25s).has_value());
  });
}

STORY(announced_limits_spread_by_gossip) {
  const boot_time Now = Start;
  target_limits From;
  target_limits To;
  From.observe(Target, 6.4, Now, Now);
  section("a report makes a limit known", [&] {
    const auto Learned = To.merge({{From.report(Target, Now + 1s)}}, Now + 1s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Learned.size());
    CPPUNIT_ASSERT(Learned[0].Change == limit_change::Announced);
    expectRate(To, 6.4, Now + 1s);
  });
  section("an older one doesn't restore a withdrawn limit", [&] {
    To.observe(Target, {}, Now + 2s, Now + 2s);
    CPPUNIT_ASSERT(
        To.merge({{From.report(Target, Now + 3s)}}, Now + 3s).empty());
    expectRate(To, {}, Now + 3s);
  });
  section("a withdrawal overtakes the announcement", [&] {
    target_limits Third;
    Third.merge({{To.report(Target, Now + 3s)}}, Now + 3s);
    Third.merge({{From.report(Target, Now + 3s)}}, Now + 3s);
    expectRate(Third, {}, Now + 3s);
  });
  section("a report without knowledge or from long ago says nothing", [&] {
    target_limits Third;
    Third.merge({{target_limits().report(Target, Now)}}, Now);
    Third.merge({{{Target, 6.4, 20s}}}, Now);
    CPPUNIT_ASSERT(Third.empty());
  });
}

// Guards against gossip that misses instances when messages are lost, or that
// grows with each answer of a target that announces another rate every time.
STORY(limit_gossip_is_fast_and_bounded) {
  constexpr std::size_t Instances = 540;
  constexpr auto Tick = 50ms;
  std::mt19937_64 Random(1);
  std::vector<target_limits> Fleet;
  for (std::size_t I = 0; I < Instances; ++I) {
    target_limit_settings Settings;
    Settings.Seed = I + 1;
    Fleet.emplace_back(Settings);
  }
  boot_time Now = Start;
  std::size_t Messages = 0;
  const auto RunFor = [&](std::chrono::milliseconds Time, double Loss) {
    for (const boot_time End = Now + Time; Now < End; Now += Tick)
      for (std::size_t I = 0; I < Instances; ++I)
        for (const limit_message &Message :
             Fleet[I].pendingMessages(Instances - 1, Now))
          for (const std::size_t To : Message.To) {
            ++Messages;
            if (!std::bernoulli_distribution(Loss)(Random))
              Fleet[To < I ? To : To + 1].merge(Message.Update, Now);
          }
  };
  const auto Informed = [&](std::optional<double> Rate) {
    return std::count_if(Fleet.begin(), Fleet.end(), [&](const auto &Row) {
      return Row.rate(Target, Now) == Rate;
    });
  };
  section("within half a second nearly all know a limit", [&] {
    Fleet[0].observe(Target, 6.4, Now, Now);
    RunFor(500ms, 1.0 / 3);
    CPPUNIT_ASSERT(Informed(6.4) >= 530);
  });
  section("after some seconds all do", [&] {
    RunFor(5s, 1.0 / 3);
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(Instances), Informed(6.4));
  });
  section("a rate that changes with each answer costs few messages", [&] {
    Messages = 0;
    for (int I = 0; I < 40; ++I) {
      Fleet[0].observe(Target, 6 + I % 7, Now, Now);
      RunFor(100ms, 0);
    }
    // Eight in half a second and one refresh a second for each instance.
    CPPUNIT_ASSERT(Messages <= Instances * 4 * (2 * 8 + 1) * 11 / 10);
  });
}
