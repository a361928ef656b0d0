#include <magnoliaspread/clock.h>
#include <magnoliaspread/error.h>
#include <magnoliaspread/log.h>
#include <magnoliaspread/story.h>

using namespace magnoliaspread;

STORY(errors) {
  section("every kind has a row whose name leads back to it", [&] {
    for (int I = 0; I < static_cast<int>(error_kind::Count); ++I) {
      const auto Kind = static_cast<error_kind>(I);
      CPPUNIT_ASSERT(errorKindOf(answerOf(Kind).Name) == Kind);
    }
  });
  section("a name outside the list has no kind",
          [&] { CPPUNIT_ASSERT(!errorKindOf("no_such_error")); });
}

STORY(log_lines) {
  section("plain values stand bare", [&] {
    CPPUNIT_ASSERT_EQUAL(std::string("event=start port=80"),
                         formatEvent("start", {{"port", 80}}));
  });
  section("a value can't forge a second field or line", [&] {
    const std::string Line =
        formatEvent("refused", {{"path", "/a b=c\n\"event=x"}});
    CPPUNIT_ASSERT_EQUAL(
        std::string("event=refused path=\"/a b=c \\\"event=x\""), Line);
  });
}

STORY(fake_time) {
  fake_clock Clock;
  const steady_time Start = Clock.now();
  Clock.advance(std::chrono::milliseconds(5));
  CPPUNIT_ASSERT(Clock.now() - Start == std::chrono::milliseconds(5));
}
