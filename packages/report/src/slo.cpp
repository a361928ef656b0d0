#include <magnoliaspread/slo.h>

#include <boost/json.hpp>

namespace magnoliaspread {
namespace {

constexpr unsigned FirstServerError = 500;
constexpr std::chrono::minutes SamplePeriod{1};

constexpr std::array<std::string_view, SloClasses> ClassNames = {
    "good", "slow", "failed", "refused_within_rate", "refused", "abandoned"};

/// Errors for which the caller is responsible, not the fleet.
bool isCallersFault(error_kind Kind) {
  switch (Kind) {
  case error_kind::BadRequest:
  case error_kind::HeaderTooLarge:
  case error_kind::BodyTooLarge:
  case error_kind::KeyMissing:
  case error_kind::KeyUnknown:
  case error_kind::KeyWithdrawn:
  case error_kind::UnknownRoute:
  case error_kind::Quarantined:
  case error_kind::RequestStalled:
  case error_kind::NotFound:
    return true;
  default:
    return false;
  }
}

slo_class classifyError(error_kind Kind, bool WithinRate) {
  if (Kind == error_kind::CallerGone)
    return slo_class::Abandoned;
  if (isCallersFault(Kind))
    return slo_class::Refused;
  if (Kind == error_kind::RateLimited)
    return WithinRate ? slo_class::RefusedWithinRate : slo_class::Refused;
  if (answerOf(Kind).Run == run_state::NotRun)
    return slo_class::RefusedWithinRate;
  return slo_class::Failed;
}

slo_counts difference(const slo_counts &Now, const slo_counts &Before) {
  slo_counts Difference;
  for (std::size_t I = 0; I < SloClasses; ++I)
    Difference.By[I] = Now.By[I] - Before.By[I];
  return Difference;
}

std::vector<slo_counts> countsOf(const std::vector<slo_row> &Rows) {
  std::vector<slo_counts> Counts;
  Counts.reserve(Rows.size());
  for (const slo_row &R : Rows)
    Counts.push_back(R.Counts);
  return Counts;
}

boost::json::array formatRows(const std::vector<slo_row> &Rows) {
  boost::json::array Json;
  for (const slo_row &R : Rows) {
    boost::json::object Row{{"workspace", R.Workspace}, {"service", R.Service}};
    for (std::size_t I = 0; I < SloClasses; ++I)
      Row[ClassNames[I]] = R.Counts.By[I];
    Json.push_back(std::move(Row));
  }
  return Json;
}

boost::json::object formatWindow(const slo_window &Window,
                                 std::chrono::seconds Length) {
  slo_window::sums Sums = Window.over(Length);
  return {{"seconds", Length.count()},
          {"covered_seconds", Sums.Covered.count()},
          {"rows", formatRows(Sums.Rows)}};
}

} // namespace

std::string_view nameOf(slo_class Class) {
  return ClassNames[static_cast<std::size_t>(Class)];
}

slo_class classify(const request_result &Result,
                   std::chrono::milliseconds LatencyTarget) {
  if (Result.Error)
    return classifyError(*Result.Error, Result.WithinRate);
  if (Result.Status >= FirstServerError)
    return slo_class::Failed;
  return Result.Latency > LatencyTarget ? slo_class::Slow : slo_class::Good;
}

std::uint64_t slo_counts::bad() const {
  return of(slo_class::Slow) + of(slo_class::Failed) +
         of(slo_class::RefusedWithinRate);
}

std::uint64_t slo_counts::total() const { return of(slo_class::Good) + bad(); }

slo_counts &slo_counts::operator+=(const slo_counts &Other) {
  for (std::size_t I = 0; I < SloClasses; ++I)
    By[I] += Other.By[I];
  return *this;
}

slo_window::slo_window(steady_time Start) : LatestAt(Start) {
  Samples.push_back({Start, {}});
}

void slo_window::add(steady_time Now, std::vector<slo_row> Totals) {
  LatestAt = Now;
  Latest = std::move(Totals);
  if (Now - Samples.back().At >= SamplePeriod)
    Samples.push_back({Now, countsOf(Latest)});
  // Keep one sample that is at least as old as the longest window.
  while (Samples.size() > 1 && Now - Samples[1].At >= LongWindow)
    Samples.pop_front();
}

slo_window::sums slo_window::over(std::chrono::seconds Length) const {
  const sample *From = &Samples.front();
  for (const sample &Candidate : Samples)
    if (LatestAt - Candidate.At >= Length)
      From = &Candidate;
  sums Sums;
  Sums.Covered =
      std::chrono::duration_cast<std::chrono::seconds>(LatestAt - From->At);
  for (std::size_t I = 0; I < Latest.size(); ++I) {
    const slo_row &R = Latest[I];
    bool InSample = I < From->Counts.size();
    slo_counts Counts =
        InSample ? difference(R.Counts, From->Counts[I]) : R.Counts;
    if (Counts != slo_counts{})
      Sums.Rows.push_back({R.Workspace, R.Service, Counts});
  }
  return Sums;
}

std::string formatSlo(const slo_window &Window) {
  return boost::json::serialize(boost::json::object{
      {"windows", boost::json::array{formatWindow(Window, ShortWindow),
                                     formatWindow(Window, LongWindow)}}});
}

} // namespace magnoliaspread
