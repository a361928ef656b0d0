/// Prints benchmark measures, one JSON object a line.
#ifndef MAGNOLIASPREAD_BENCH_REPORT_H
#define MAGNOLIASPREAD_BENCH_REPORT_H

#include <cstdio>
#include <exception>
#include <optional>
#include <string>

namespace magnoliaspread {

/// Whether a bound is a maximum or a minimum.
enum class bound_side { AtMost, AtLeast };

/// Whether all measures printed so far are within their bounds.
struct bench_report {
  bool AllOk = true;
};

inline void print(bench_report &Report, const std::string &Measure,
                  double Value, const char *Unit,
                  std::optional<double> Bound = {},
                  bound_side Side = bound_side::AtMost) {
  std::printf("{\"measure\":\"%s\",\"value\":%.6g,\"unit\":\"%s\",",
              Measure.c_str(), Value, Unit);
  if (!Bound) {
    std::printf("\"bound\":null,\"ok\":null}\n");
    return;
  }
  const bool Ok =
      Side == bound_side::AtMost ? Value <= *Bound : Value >= *Bound;
  Report.AllOk = Report.AllOk && Ok;
  std::printf("\"bound\":%.6g,\"ok\":%s}\n", *Bound, Ok ? "true" : "false");
  std::fflush(stdout);
}

/// Runs \p Measure and returns the exit code: 0 when every measure is within
/// its bound, 1 when one isn't, 2 after an exception.
template <class Body> int runBench(const Body &Measure) noexcept {
  bench_report Report;
  try {
    Measure(Report);
  } catch (const std::exception &Error) {
    std::fprintf(stderr, "%s\n", Error.what());
    return 2;
  }
  return Report.AllOk ? 0 : 1;
}

} // namespace magnoliaspread

#endif
