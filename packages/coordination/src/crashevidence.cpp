#include <magnoliaspread/crashevidence.h>

#include <algorithm>
#include <xxhash.h>

namespace magnoliaspread {

namespace {

using std::chrono::milliseconds;

/// Reported times are late by the transit time of the message: an attempt was
/// sent after a crash reported by a peer only if this gap lies between.
constexpr milliseconds MaxMessageDelay{100};
/// The same gap, between a success and the crashes that it clears.
constexpr milliseconds SuccessMargin{1000};

bool crashedEarlier(const crash &One, const crash &Other) {
  return One.CrashedAt != Other.CrashedAt ? One.CrashedAt < Other.CrashedAt
                                          : One.Target < Other.Target;
}

} // namespace

target_start provisionalStartAfter(target_start Crashed) {
  return XXH64(&Crashed, sizeof(Crashed), 0);
}

bool crash_evidence::add(const crash &Crash) {
  if (SucceededAt && Crash.CrashedAt <= *SucceededAt + SuccessMargin)
    return false;
  const auto Known =
      std::find_if(Crashes.begin(), Crashes.end(), [&](const crash &Row) {
        return Row.Target == Crash.Target;
      });
  const bool IsNew = Known == Crashes.end();
  if (IsNew) {
    Crashes.push_back(Crash);
  } else {
    // Transit time only makes a reported time later.
    Known->CrashedAt = std::min(Known->CrashedAt, Crash.CrashedAt);
    Known->SentAt = std::min(Known->SentAt, Crash.SentAt);
    Known->Alone = Known->Alone || Crash.Alone;
    Known->IsLocal = Known->IsLocal || Crash.IsLocal;
  }
  std::sort(Crashes.begin(), Crashes.end(), crashedEarlier);
  if (Crashes.size() > MaxCrashes)
    evictOne();
  return IsNew;
}

/// Evicts the latest crash that adds no round, or else the oldest crash.
void crash_evidence::evictOne() {
  const std::vector<std::size_t> Successive = successiveCrashes();
  for (std::size_t I = Crashes.size(); I-- > 0;)
    if (std::find(Successive.begin(), Successive.end(), I) ==
        Successive.end()) {
      Crashes.erase(Crashes.begin() + static_cast<std::ptrdiff_t>(I));
      return;
    }
  Crashes.erase(Crashes.begin());
}

bool crash_evidence::succeeded(steady_time At) {
  if (SucceededAt && *SucceededAt >= At)
    return false;
  SucceededAt = At;
  const bool Clears = std::erase_if(Crashes, [&](const crash &Row) {
                        return Row.CrashedAt <= At + SuccessMargin;
                      }) > 0;
  if (Clears)
    ReportedRounds = 0;
  return Clears;
}

void crash_evidence::mergeRounds(std::size_t Rounds) {
  ReportedRounds = std::max(ReportedRounds, Rounds);
}

/// Indexes of the longest series in which each attempt was sent after the
/// previous crash.
std::vector<std::size_t> crash_evidence::successiveCrashes() const {
  std::vector<std::size_t> Successive;
  for (std::size_t I = 0; I < Crashes.size(); ++I) {
    if (Successive.empty()) {
      Successive.push_back(I);
      continue;
    }
    const crash &Last = Crashes[Successive.back()];
    const bool Exact = Last.IsLocal && Crashes[I].IsLocal;
    if (Crashes[I].SentAt >=
        Last.CrashedAt + (Exact ? milliseconds(0) : MaxMessageDelay))
      Successive.push_back(I);
  }
  return Successive;
}

std::size_t crash_evidence::rounds() const {
  return std::max(successiveCrashes().size(),
                  std::min(ReportedRounds, Crashes.size()));
}

bool crash_evidence::hasCrashOf(target_start Target) const {
  return std::any_of(Crashes.begin(), Crashes.end(),
                     [&](const crash &Row) { return Row.Target == Target; });
}

bool crash_evidence::isExplainedBy(const crash_evidence &Other) const {
  return Other.Crashes.size() >= Crashes.size() &&
         std::all_of(Crashes.begin(), Crashes.end(), [&](const crash &Row) {
           return Other.hasCrashOf(Row.Target);
         });
}

bool crash_evidence::wasEverAlone() const {
  return std::any_of(Crashes.begin(), Crashes.end(),
                     [](const crash &Row) { return Row.Alone; });
}

steady_time crash_evidence::lastChange() const {
  steady_time Last = SucceededAt.value_or(steady_time());
  for (const crash &Row : Crashes)
    Last = std::max(Last, Row.CrashedAt);
  return Last;
}

} // namespace magnoliaspread
