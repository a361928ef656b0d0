#include <magnoliaspread/story.h>
#include <magnoliaspread/targetlimits.h>

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
