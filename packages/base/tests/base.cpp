#include <magnoliaspread/clock.h>
#include <magnoliaspread/error.h>
#include <magnoliaspread/log.h>
#include <magnoliaspread/story.h>

using namespace magnoliaspread;

STORY(errors) {
  section("every kind is found by its name", [&] {
    for (int I = 0; I < static_cast<int>(error_kind::Count); ++I) {
      const auto Kind = static_cast<error_kind>(I);
      CPPUNIT_ASSERT(errorKindOf(answerOf(Kind).Name) == Kind);
    }
  });
  section("an unknown name has no kind",
          [&] { CPPUNIT_ASSERT(!errorKindOf("no_such_error")); });
}

STORY(log_lines) {
  section("plain values are unquoted", [&] {
    CPPUNIT_ASSERT_EQUAL(std::string("event=start port=80"),
                         formatEvent("start", {{"port", 80}}));
  });
  section("a value can't inject a field or a line", [&] {
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
