#include <magnoliaspread/quarantine.h>

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace magnoliaspread {

namespace {

using std::chrono::milliseconds;

/// Retry-After of a suspect that waits for another one to finish.
constexpr milliseconds IsolationRetryDelay{100};

/// Keeps the quarantine from overflowing.
constexpr std::size_t MaxDoublings = 16;

} // namespace

request_fingerprint fingerprintOf(const fingerprint_parts &Parts) {
  request_fingerprint Hash = 0;
  for (std::string_view Part :
       {Parts.Workspace, Parts.Method, Parts.Path, Parts.Body}) {
    const std::uint64_t Size = Part.size();
    Hash = XXH64(&Size, sizeof(Size), Hash);
    Hash = XXH64(Part.data(), Part.size(), Hash);
  }
  return Hash;
}

bool quarantine::hasCrashes(request_fingerprint Fingerprint) const {
  const auto Found = Suspects.find(Fingerprint);
  return Found != Suspects.end() && !Found->second.Evidence.crashes().empty();
}

bool quarantine::isIsolated(request_fingerprint Fingerprint) const {
  return std::find(Isolated.begin(), Isolated.end(), Fingerprint) !=
         Isolated.end();
}

bool quarantine::isExplained(request_fingerprint Fingerprint,
                             const crash_evidence &Evidence) const {
  return std::any_of(Suspects.begin(), Suspects.end(), [&](const auto &Row) {
    return Row.first != Fingerprint &&
           Evidence.isExplainedBy(Row.second.Evidence);
  });
}

/// The clock's epoch if the evidence doesn't justify a quarantine.
steady_time quarantine::quarantinedUntil(request_fingerprint Fingerprint,
                                         const crash_evidence &Evidence) const {
  const std::size_t Needed = Evidence.wasEverAlone() ? Settings.CrashesIfAlone
                                                     : Settings.CrashesIfShared;
  const std::size_t Rounds = Evidence.rounds();
  if (Rounds < Needed || isExplained(Fingerprint, Evidence))
    return {};
  const std::size_t Doublings = std::min(Rounds - Needed, MaxDoublings);
  return Evidence.crashes().back().CrashedAt +
         std::min<milliseconds>(Settings.MinQuarantine * (1 << Doublings),
                                Settings.MaxQuarantine);
}

bool quarantine::isQuarantined(request_fingerprint Fingerprint,
                               steady_time Now) const {
  const auto Found = Suspects.find(Fingerprint);
  return Found != Suspects.end() &&
         quarantinedUntil(Fingerprint, Found->second.Evidence) > Now;
}

steady_time quarantine::expiryOf(request_fingerprint Fingerprint,
                                 const crash_evidence &Evidence) const {
  return std::max(Evidence.lastChange(),
                  quarantinedUntil(Fingerprint, Evidence)) +
         Settings.SuspectTime;
}

placement_decision quarantine::place(request_fingerprint Fingerprint,
                                     steady_time Now) {
  const auto Found = Suspects.find(Fingerprint);
  if (Found == Suspects.end() || Found->second.Evidence.crashes().empty())
    return {};
  const crash_evidence &Evidence = Found->second.Evidence;
  const steady_time Until = quarantinedUntil(Fingerprint, Evidence);
  if (Until > Now)
    return {placement::Quarantined,
            std::chrono::ceil<milliseconds>(Until - Now)};
  if (expiryOf(Fingerprint, Evidence) <= Now)
    return {};
  // Attempts sent before the crash will show soon whether it is harmless.
  if (InFlight.contains(Fingerprint) && !isIsolated(Fingerprint))
    return {};
  if (isIsolated(Fingerprint) || Isolated.size() >= Settings.MaxIsolated)
    return {placement::Later, IsolationRetryDelay};
  return {placement::Alone, milliseconds(0)};
}

void quarantine::started(attempt_id Attempt, request_fingerprint Fingerprint,
                         target_start Target, steady_time Now) {
  std::size_t &Count = InFlight[Fingerprint];
  if (Count == 0 && hasCrashes(Fingerprint))
    Isolated.push_back(Fingerprint);
  ++Count;
  const target_start Live = liveStart(Target);
  Attempts[Attempt] = {Fingerprint, Live, Now, std::nullopt};
  AttemptsByTarget[Live].push_back(Attempt);
}

void quarantine::succeeded(attempt_id Attempt, steady_time Now) {
  const auto Found = Attempts.find(Attempt);
  if (Found == Attempts.end())
    return;
  clear(Found->second.Fingerprint, Now);
  ended(Attempt);
}

void quarantine::clear(request_fingerprint Fingerprint, steady_time Now) {
  Successes[Fingerprint % SuccessSlots] = {Fingerprint, Now};
  const auto Found = Suspects.find(Fingerprint);
  if (Found == Suspects.end())
    return;
  suspect &Suspect = Found->second;
  // Peers that know the same crashes may be about to quarantine it.
  constexpr std::size_t MinRoundsToSend = 2;
  const bool MattersToPeers = Suspect.Evidence.rounds() >= MinRoundsToSend;
  if (Suspect.Evidence.succeeded(Now) && MattersToPeers)
    Suspect.HasUnsent = true;
}

void quarantine::ended(attempt_id Attempt) {
  const auto Found = Attempts.find(Attempt);
  if (Found == Attempts.end())
    return;
  const attempt Ended = Found->second;
  Attempts.erase(Found);
  const auto Count = InFlight.find(Ended.Fingerprint);
  if (--Count->second == 0) {
    InFlight.erase(Count);
    std::erase(Isolated, Ended.Fingerprint);
  }
  const auto OnTarget = AttemptsByTarget.find(Ended.Target);
  std::erase(OnTarget->second, Attempt);
  if (OnTarget->second.empty())
    AttemptsByTarget.erase(OnTarget);
}

bool quarantine::lost(attempt_id Attempt, steady_time Now) {
  const auto Found = Attempts.find(Attempt);
  if (Found == Attempts.end())
    return false;
  Found->second.LostAt = Now;
  Lost.push_back({Attempt, Now});
  const target_start Target = Found->second.Target;
  const auto Known = CrashTimes.find(Target);
  if (Known == CrashTimes.end())
    return false;
  attributeLostAttempts(Target, Known->second, Now);
  return true;
}

bool quarantine::mayHaveCrashed(target_start Target) const {
  const auto Found = AttemptsByTarget.find(liveStart(Target));
  return Found != AttemptsByTarget.end() &&
         std::any_of(
             Found->second.begin(), Found->second.end(),
             [&](attempt_id Id) { return Attempts.at(Id).LostAt.has_value(); });
}

void quarantine::forgetExpired(steady_time Now) {
  std::erase_if(Suspects, [&](const auto &Row) {
    return expiryOf(Row.first, Row.second.Evidence) <= Now;
  });
  std::erase_if(CrashTimes, [&](const auto &Row) {
    return Row.second + Settings.AttributionWindow <= Now;
  });
  while (!Lost.empty() && Lost.front().At + Settings.AttributionWindow <= Now) {
    ended(Lost.front().Id);
    Lost.pop_front();
  }
}

/// If the table is full, evicts the suspect with the fewest successive crashes,
/// unless it has two or more.
void quarantine::evictOne(steady_time Now) {
  forgetExpired(Now);
  if (Suspects.size() < Settings.MaxSuspects)
    return;
  const auto Weight = [](const suspect &Row) {
    return std::make_pair(Row.Evidence.rounds(), Row.Evidence.lastChange());
  };
  const auto Least =
      std::min_element(Suspects.begin(), Suspects.end(),
                       [&](const auto &One, const auto &Other) {
                         return Weight(One.second) < Weight(Other.second);
                       });
  if (Least->second.Evidence.rounds() <= 1)
    Suspects.erase(Least);
}

quarantine::suspect *
quarantine::findOrAddSuspect(request_fingerprint Fingerprint, steady_time Now) {
  const auto Found = Suspects.find(Fingerprint);
  if (Found != Suspects.end()) {
    if (expiryOf(Fingerprint, Found->second.Evidence) <= Now)
      Found->second = {};
    return &Found->second;
  }
  evictOne(Now);
  if (Suspects.size() >= Settings.MaxSuspects)
    return nullptr;
  suspect &Suspect = Suspects[Fingerprint];
  const success &Success = Successes[Fingerprint % SuccessSlots];
  if (Success.Fingerprint == Fingerprint && Success.At != steady_time())
    Suspect.Evidence.succeeded(Success.At);
  return &Suspect;
}

void quarantine::recordCrash(const attempt &Attempt, bool Alone,
                             steady_time Now) {
  suspect *Suspect = findOrAddSuspect(Attempt.Fingerprint, Now);
  if (Suspect == nullptr)
    return;
  const crash Crash{Attempt.Target, Attempt.SentAt,
                    Attempt.LostAt.value_or(Now), Alone, true};
  if (Suspect->Evidence.add(Crash))
    Suspect->HasUnsent = true;
}

void quarantine::recordCrashTime(target_start Target, steady_time At) {
  const auto [Row, IsNew] = CrashTimes.emplace(Target, At);
  if (!IsNew)
    Row->second = std::min(Row->second, At);
}

/// Attempts sent to a target after its crash run on its next start, though its
/// registry entry may still name the previous one.
target_start quarantine::liveStart(target_start Target) const {
  while (Settings.TargetsRestart && CrashTimes.contains(Target))
    Target = provisionalStartAfter(Target);
  return Target;
}

std::vector<request_fingerprint> quarantine::targetCrashed(target_start Target,
                                                           steady_time Now) {
  const target_start Live = liveStart(Target);
  // A later start without attempts may not be up yet, so this is no new crash.
  if (Live == Target || AttemptsByTarget.contains(Live))
    recordCrashTime(Live, Now);
  return endAttemptsOn(Live, Now);
}

std::vector<request_fingerprint>
quarantine::targetRestarted(target_start Crashed, target_start Started,
                            steady_time Now) {
  std::vector<request_fingerprint> NewlyQuarantined;
  if (!CrashTimes.contains(Crashed))
    NewlyQuarantined = targetCrashed(Crashed, Now);
  // Moves attempts and crashes from provisional starts to the actual ones.
  target_start Provisional = provisionalStartAfter(Crashed);
  for (target_start Actual = Started;; Actual = provisionalStartAfter(Actual)) {
    if (const auto Moved = AttemptsByTarget.extract(Provisional);
        !Moved.empty())
      for (const attempt_id Id : Moved.mapped()) {
        Attempts.at(Id).Target = Actual;
        AttemptsByTarget[Actual].push_back(Id);
      }
    const auto Known = CrashTimes.find(Provisional);
    if (Known == CrashTimes.end())
      break;
    recordCrashTime(Actual, Known->second);
    Provisional = provisionalStartAfter(Provisional);
  }
  return NewlyQuarantined;
}

std::vector<request_fingerprint> quarantine::endAttemptsOn(target_start Target,
                                                           steady_time Now) {
  const auto OnTarget = AttemptsByTarget.find(Target);
  if (OnTarget == AttemptsByTarget.end())
    return {};
  const std::vector<attempt_id> Ids = OnTarget->second;
  std::map<request_fingerprint, bool> QuarantinedBefore;
  std::vector<attempt> Ended;
  for (const attempt_id Id : Ids) {
    Ended.push_back(Attempts.at(Id));
    QuarantinedBefore.emplace(Ended.back().Fingerprint,
                              isQuarantined(Ended.back().Fingerprint, Now));
    ended(Id);
  }
  for (const attempt &Row : Ended)
    recordCrash(Row, QuarantinedBefore.size() == 1, Now);
  std::vector<request_fingerprint> NewlyQuarantined;
  for (const auto &[Fingerprint, WasQuarantined] : QuarantinedBefore)
    if (!WasQuarantined && isQuarantined(Fingerprint, Now))
      NewlyQuarantined.push_back(Fingerprint);
  return NewlyQuarantined;
}

/// Attempts without a result yet will either be lost or clear their suspect.
void quarantine::attributeLostAttempts(target_start Target,
                                       steady_time CrashedAt, steady_time Now) {
  const auto OnTarget = AttemptsByTarget.find(Target);
  if (OnTarget == AttemptsByTarget.end())
    return;
  std::vector<attempt> Ended;
  const std::vector<attempt_id> Ids = OnTarget->second;
  for (const attempt_id Id : Ids) {
    attempt Row = Attempts.at(Id);
    if (!Row.LostAt)
      continue;
    Row.LostAt = std::min(*Row.LostAt, CrashedAt);
    ended(Id);
    // Later ones were sent to a target that had crashed already.
    if (Row.SentAt <= CrashedAt)
      Ended.push_back(Row);
  }
  for (const attempt &Row : Ended)
    recordCrash(Row, false, Now);
}

std::size_t quarantine::quarantined(steady_time Now) const {
  return static_cast<std::size_t>(
      std::count_if(Suspects.begin(), Suspects.end(), [&](const auto &Row) {
        return quarantinedUntil(Row.first, Row.second.Evidence) > Now;
      }));
}

} // namespace magnoliaspread
