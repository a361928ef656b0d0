#include <magnoliaspread/metrics.h>

#include <magnoliaspread/story.h>

#include <thread>

using namespace magnoliaspread;
using namespace std::chrono_literals;

namespace {

void expectLine(const instance_metrics &Metrics, const std::string &Line) {
  std::string Text = Metrics.exposition();
  CPPUNIT_ASSERT_MESSAGE(Line, Text.find(Line + "\n") != std::string::npos);
}

} // namespace

STORY(an_instance_counts_its_requests) {
  instance_metrics Metrics;
  meter_id Aero = Metrics.meterOf("aero", "calendar", 100ms);
  section("by workspace and service", [&] {
    CPPUNIT_ASSERT(Aero == Metrics.meterOf("aero", "calendar", 100ms));
    CPPUNIT_ASSERT(!(Aero == Metrics.meterOf("", "pages", 100ms)));
  });
  section("and by outcome, error kind and latency", [&] {
    Metrics.count(Aero, {{}, 200, 50ms, false});
    Metrics.count(Aero, {{}, 200, 150ms, false});
    Metrics.count(Aero, {error_kind::RateLimited, 429, 0us, false});
    expectLine(Metrics, "magnoliaspread_requests_total{outcome=\"good\","
                        "service=\"calendar\",workspace=\"aero\"} 1");
    expectLine(Metrics, "magnoliaspread_requests_total{outcome=\"slow\","
                        "service=\"calendar\",workspace=\"aero\"} 1");
    expectLine(Metrics, "magnoliaspread_errors_total{kind=\"rate_limited\"} 1");
    expectLine(Metrics, "magnoliaspread_request_seconds_count{service="
                        "\"calendar\",workspace=\"aero\"} 2");
  });
  section("with a latency target that can change", [&] {
    Metrics.meterOf("aero", "calendar", 200ms);
    Metrics.count(Aero, {{}, 200, 150ms, false});
    expectLine(Metrics, "magnoliaspread_requests_total{outcome=\"good\","
                        "service=\"calendar\",workspace=\"aero\"} 2");
  });
  section("and reports its state", [&] {
    Metrics.setGauges({3,   2,   9, 17, 1500ms, true, 0ms, 5, 1, 4, 2,  true,
                       700, 800, 6, 12, 0.25,   31,   6,   3, 2, 5, 44, 9});
    expectLine(Metrics, "magnoliaspread_config_version 17");
    expectLine(Metrics, "magnoliaspread_config_staleness_seconds 1.5");
    expectLine(Metrics, "magnoliaspread_platform_reachable 1");
    expectLine(Metrics, "magnoliaspread_in_flight 3");
    expectLine(Metrics, "magnoliaspread_suspect_requests 5");
    expectLine(Metrics, "magnoliaspread_quarantined_requests 1");
    expectLine(Metrics, "magnoliaspread_limited_targets 4");
    expectLine(Metrics, "magnoliaspread_pipelined 2");
    expectLine(Metrics, "magnoliaspread_path_broken 1");
    expectLine(Metrics, "magnoliaspread_forwarded_requests 9");
    expectLine(Metrics, "magnoliaspread_data_centre_crossed_bytes 700");
    expectLine(Metrics, "magnoliaspread_region_crossed_bytes 800");
    expectLine(Metrics, "magnoliaspread_near_holders 6");
    expectLine(Metrics, "magnoliaspread_slow_targets 12");
    expectLine(Metrics, "magnoliaspread_spilled_part 0.25");
    expectLine(Metrics, "magnoliaspread_object_holders 31");
    expectLine(Metrics, "magnoliaspread_objects_forgotten 6");
    expectLine(Metrics, "magnoliaspread_kinds_measured 3");
    expectLine(Metrics, "magnoliaspread_kinds_spread 2");
    expectLine(Metrics, "magnoliaspread_workspaces_held 5");
    expectLine(Metrics, "magnoliaspread_share_refusals 44");
  });
}

STORY(threads_count_without_losing_any) {
  constexpr int Threads = 4;
  constexpr int RequestsPerThread = 20000;
  instance_metrics Metrics;
  meter_id Meter = Metrics.meterOf("aero", "calendar", 100ms);
  std::vector<std::thread> Running;
  Running.reserve(Threads);
  for (int I = 0; I < Threads; ++I)
    Running.emplace_back([&, I] {
      for (int Count = 0; Count < RequestsPerThread; ++Count) {
        Metrics.count(Meter, {{}, 200, 1ms, false});
        if (Count % 1000 == 0)
          Metrics.meterOf("w" + std::to_string(I * RequestsPerThread + Count),
                          "s", 1ms);
      }
    });
  for (std::thread &Thread : Running)
    Thread.join();
  for (const slo_row &R : Metrics.sums())
    if (R.Workspace == "aero")
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(Threads * RequestsPerThread),
                           R.Counts.of(slo_class::Good));
  expectLine(Metrics, "magnoliaspread_requests_total{outcome=\"good\","
                      "service=\"calendar\",workspace=\"aero\"} 80000");
}

STORY(too_many_pairs_share_one_meter) {
  instance_metrics Metrics;
  meter_id Last;
  for (std::size_t I = 0; I < MaxMeters + 5; ++I)
    Last = Metrics.meterOf("w" + std::to_string(I), "s", 1ms);
  CPPUNIT_ASSERT(Last == meter_id{});
  Metrics.count(Last, {{}, 200, 1ms, false});
  CPPUNIT_ASSERT_EQUAL(MaxMeters, Metrics.sums().size());
}
