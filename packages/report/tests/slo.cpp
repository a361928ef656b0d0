#include <magnoliaspread/slo.h>

#include <magnoliaspread/burn.h>
#include <magnoliaspread/story.h>

#include <random>

using namespace magnoliaspread;
using namespace std::chrono_literals;

namespace {

slo_row row(const std::string &Workspace, std::uint64_t Good,
            std::uint64_t Failed) {
  slo_row Row{Workspace, "calendar", {}};
  Row.Counts.of(slo_class::Good) = Good;
  Row.Counts.of(slo_class::Failed) = Failed;
  return Row;
}

slo_class classOf(error_kind Kind, bool WithinRate = false) {
  return classify({Kind, 0, 0us, WithinRate}, 100ms);
}

std::uint64_t goodOf(const slo_window::sums &Sums) {
  return Sums.Rows.empty() ? 0 : Sums.Rows[0].Counts.of(slo_class::Good);
}

} // namespace

STORY(each_end_of_a_request_has_its_class) {
  section("answers", [&] {
    CPPUNIT_ASSERT(classify({{}, 200, 100ms, false}, 100ms) == slo_class::Good);
    CPPUNIT_ASSERT(classify({{}, 404, 1ms, false}, 100ms) == slo_class::Good);
    CPPUNIT_ASSERT(classify({{}, 200, 100001us, false}, 100ms) ==
                   slo_class::Slow);
    CPPUNIT_ASSERT(classify({{}, 503, 1ms, false}, 100ms) == slo_class::Failed);
  });
  section("refusals for a fault of the caller", [&] {
    CPPUNIT_ASSERT(classOf(error_kind::RateLimited) == slo_class::Refused);
    CPPUNIT_ASSERT(classOf(error_kind::KeyWithdrawn) == slo_class::Refused);
    CPPUNIT_ASSERT(classOf(error_kind::UnknownRoute) == slo_class::Refused);
    CPPUNIT_ASSERT(classOf(error_kind::CallerGone) == slo_class::Abandoned);
  });
  section("refusals within the workspace's rate", [&] {
    for (error_kind Kind : {error_kind::QueueFull, error_kind::NoCapacity,
                            error_kind::ShiftCapped, error_kind::LinkFull})
      CPPUNIT_ASSERT(classOf(Kind) == slo_class::RefusedWithinRate);
    CPPUNIT_ASSERT(classOf(error_kind::RateLimited, true) ==
                   slo_class::RefusedWithinRate);
  });
  section("failures", [&] {
    CPPUNIT_ASSERT(classOf(error_kind::OutcomeUnknown) == slo_class::Failed);
    CPPUNIT_ASSERT(classOf(error_kind::TargetTimeout) == slo_class::Failed);
  });
}

STORY(a_window_sums_the_latest_minutes) {
  fake_clock Clock;
  slo_window Window(Clock.now());
  std::uint64_t Good = 0;
  auto RunFor = [&](std::chrono::seconds Length, std::uint64_t PerSecond) {
    for (std::chrono::seconds Passed{0}; Passed < Length; Passed += 1s) {
      Clock.advance(1s);
      Good += PerSecond;
      Window.add(Clock.now(), {row("aero", Good, 0)});
    }
  };
  section("is empty at the start",
          [&] { CPPUNIT_ASSERT(Window.over(ShortWindow).Rows.empty()); });
  section("covers the time since a recent start", [&] {
    RunFor(90s, 10);
    CPPUNIT_ASSERT(Window.over(ShortWindow).Covered == 90s);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(900), goodOf(Window.over(LongWindow)));
  });
  section("drops older requests", [&] {
    RunFor(2h, 1);
    auto Short = Window.over(ShortWindow);
    auto Long = Window.over(LongWindow);
    CPPUNIT_ASSERT(Short.Covered >= ShortWindow &&
                   Short.Covered <= ShortWindow + 1min);
    CPPUNIT_ASSERT(Long.Covered >= LongWindow &&
                   Long.Covered <= LongWindow + 1min);
    CPPUNIT_ASSERT_EQUAL(static_cast<std::uint64_t>(Short.Covered.count()),
                         goodOf(Short));
    CPPUNIT_ASSERT_EQUAL(static_cast<std::uint64_t>(Long.Covered.count()),
                         goodOf(Long));
  });
  section("covers a pause of the process", [&] {
    Clock.advance(30min);
    RunFor(10s, 1);
    CPPUNIT_ASSERT(Window.over(ShortWindow).Covered >= 30min);
    CPPUNIT_ASSERT(Window.over(ShortWindow).Covered <= 32min);
  });
}

STORY(no_request_is_counted_twice_or_lost) {
  constexpr std::uint64_t FirstSeed = 1;
  constexpr std::uint64_t Seeds = 40;
  for (std::uint64_t Seed = FirstSeed; Seed < FirstSeed + Seeds; ++Seed) {
    std::mt19937_64 Random(Seed);
    fake_clock Clock;
    slo_window Window(Clock.now());
    std::deque<std::pair<steady_time, std::uint64_t>> Events;
    std::uint64_t Good = 0;
    for (int Step = 0; Step < 500; ++Step) {
      Clock.advance(std::chrono::milliseconds(Random() % 40000));
      std::uint64_t New = Random() % 5;
      Good += New;
      Events.emplace_back(Clock.now(), New);
      Window.add(Clock.now(), {row("aero", Good, 0)});
      auto Sums = Window.over(LongWindow);
      // Sums start at a sample, so exactly the events after it are counted.
      std::uint64_t Min = 0;
      std::uint64_t Max = 0;
      for (const auto &[At, Count] : Events) {
        Min += Clock.now() - At < Sums.Covered ? Count : 0;
        Max += Clock.now() - At < Sums.Covered + 1s ? Count : 0;
      }
      std::uint64_t Actual = goodOf(Sums);
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(Seed),
                             Actual >= Min && Actual <= Max);
    }
  }
}

STORY(damaged_pages_are_refused) {
  slo_window Window(steady_time{});
  Window.add(steady_time{} + 10min, {row("aero", 5, 1)});
  std::string Page = formatSlo(Window);
  for (std::size_t At = 0; At < Page.size(); ++At) {
    CPPUNIT_ASSERT(failed(parseSlo(Page.substr(0, At))));
    std::string Changed = Page;
    Changed[At] = '}';
    auto Parsed = parseSlo(Changed);
    if (failed(Parsed))
      CPPUNIT_ASSERT(errorOf(Parsed).Kind == error_kind::PeerRejected);
  }
}

STORY(burn_is_summed_over_instances) {
  auto Page = [](std::uint64_t Good, std::uint64_t Failed) {
    slo_window Window(steady_time{});
    Window.add(steady_time{} + 10min,
               {row("aero", Good, Failed), row("club", 1000, 0)});
    auto Parsed = parseSlo(formatSlo(Window));
    CPPUNIT_ASSERT(!failed(Parsed));
    return valueOf(Parsed);
  };
  burn_report Report = makeBurnReport({Page(980, 20), Page(1000, 0)}, {});
  section("the highest burn rate first", [&] {
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Report.Rows.size());
    CPPUNIT_ASSERT_EQUAL(std::string("aero"), Report.Rows[0].Workspace);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(10, Report.Rows[0].LongRate, 1e-9);
    CPPUNIT_ASSERT(!Report.Rows[0].Alert);
    CPPUNIT_ASSERT_EQUAL(0.0, Report.Rows[1].LongRate);
    CPPUNIT_ASSERT(Report.Covered == 10min);
  });
  section("an alert from the configured rate on", [&] {
    burn_settings Settings;
    Settings.AlertRate = 10 - 1e-6;
    CPPUNIT_ASSERT(
        makeBurnReport({Page(980, 20), Page(1000, 0)}, Settings).Rows[0].Alert);
  });
  section("nothing is covered without instances",
          [&] { CPPUNIT_ASSERT(makeBurnReport({}, {}).Covered == 0s); });
  section("refusals for a fault of the caller burn no budget", [&] {
    slo_page Refused;
    slo_row Row = row("vela", 0, 0);
    Row.Counts.of(slo_class::Refused) = 100;
    Refused.Long = {Row};
    CPPUNIT_ASSERT_EQUAL(0.0, makeBurnReport({Refused}, {}).Rows[0].LongRate);
  });
  section("tables and JSON contain the rows", [&] {
    CPPUNIT_ASSERT(formatBurnTable(Report).find("aero") != std::string::npos);
    CPPUNIT_ASSERT(formatBurnTable(Report).find("10.00") != std::string::npos);
    CPPUNIT_ASSERT(formatBurnJson(Report).find("\"instances\":2") !=
                   std::string::npos);
  });
  section("malformed pages are rejected", [&] {
    CPPUNIT_ASSERT(failed(parseSlo("")));
    CPPUNIT_ASSERT(failed(parseSlo("[]")));
    CPPUNIT_ASSERT(failed(parseSlo("{\"windows\":[{},{}]}")));
    CPPUNIT_ASSERT(failed(
        parseSlo(R"({"windows":[{"rows":[{"workspace":1}]},{"rows":[]}]})")));
  });
}
