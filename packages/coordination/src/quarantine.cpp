#include <magnoliaspread/quarantine.h>

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace magnoliaspread {

namespace {

using std::chrono::milliseconds;

/// When a suspect that has to wait for its turn may be tried again.
constexpr milliseconds TurnTime{100};

/// Keeps the doubling of quarantines from overflowing.
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

bool quarantine::isAccused(request_fingerprint Fingerprint) const {
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

/// The end of the quarantine that the evidence calls for; the clock's epoch
/// when it calls for none.
steady_time quarantine::quarantinedUntil(request_fingerprint Fingerprint,
                                         const crash_evidence &Evidence) const {
  const std::size_t Needed = Evidence.diedAlone() ? Settings.DeathsWhenAlone
                                                  : Settings.DeathsInCompany;
  const std::size_t Rounds = Evidence.rounds();
  if (Rounds < Needed || isExplained(Fingerprint, Evidence))
    return {};
  const std::size_t Doublings = std::min(Rounds - Needed, MaxDoublings);
  return Evidence.crashes().back().DiedAt +
         std::min<milliseconds>(Settings.MinQuarantine * (1 << Doublings),
                                Settings.MaxQuarantine);
}

bool quarantine::isQuarantined(request_fingerprint Fingerprint,
                               steady_time Now) const {
  const auto Found = Suspects.find(Fingerprint);
  return Found != Suspects.end() &&
         quarantinedUntil(Fingerprint, Found->second.Evidence) > Now;
}

steady_time quarantine::forgetAt(request_fingerprint Fingerprint,
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
  if (forgetAt(Fingerprint, Evidence) <= Now)
    return {};
  // Attempts from before the death will tell soon.
  if (InFlight.contains(Fingerprint) && !isIsolated(Fingerprint))
    return {};
  if (isIsolated(Fingerprint) || Isolated.size() >= Settings.MaxIsolated)
    return {placement::Later, TurnTime};
  return {placement::Alone, milliseconds(0)};
}

void quarantine::started(attempt_id Attempt, request_fingerprint Fingerprint,
                         target_start Target, steady_time Now) {
  std::size_t &Count = InFlight[Fingerprint];
  if (Count == 0 && isAccused(Fingerprint))
    Isolated.push_back(Fingerprint);
  ++Count;
  const target_start Living = livingStart(Target);
  Attempts[Attempt] = {Fingerprint, Living, Now, std::nullopt};
  AttemptsByTarget[Living].push_back(Attempt);
}

void quarantine::succeeded(attempt_id Attempt, steady_time Now) {
  const auto Found = Attempts.find(Attempt);
  if (Found == Attempts.end())
    return;
  clear(Found->second.Fingerprint, Now);
  ended(Attempt);
}

void quarantine::clear(request_fingerprint Fingerprint, steady_time Now) {
  Successes[Fingerprint % SuccessRows] = {Fingerprint, Now};
  const auto Found = Suspects.find(Fingerprint);
  if (Found == Suspects.end())
    return;
  suspect &Suspect = Found->second;
  // Others may refuse it by the same crashes soon.
  constexpr std::size_t RoundsToTell = 2;
  const bool Matters = Suspect.Evidence.rounds() >= RoundsToTell;
  if (Suspect.Evidence.succeeded(Now) && Matters)
    Suspect.Seen = true;
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
  const auto Death = Deaths.find(Target);
  if (Death == Deaths.end())
    return false;
  chargeLostOn(Target, Death->second, Now);
  return true;
}

bool quarantine::isInDoubt(target_start Target) const {
  const auto Found = AttemptsByTarget.find(livingStart(Target));
  return Found != AttemptsByTarget.end() &&
         std::any_of(
             Found->second.begin(), Found->second.end(),
             [&](attempt_id Id) { return Attempts.at(Id).LostAt.has_value(); });
}

void quarantine::forgetExpired(steady_time Now) {
  std::erase_if(Suspects, [&](const auto &Row) {
    return forgetAt(Row.first, Row.second.Evidence) <= Now;
  });
  std::erase_if(Deaths, [&](const auto &Row) {
    return Row.second + Settings.DoubtTime <= Now;
  });
  while (!Lost.empty() && Lost.front().At + Settings.DoubtTime <= Now) {
    ended(Lost.front().Id);
    Lost.pop_front();
  }
}

/// Makes room by the row that is farthest from a quarantine.
void quarantine::makeRoom(steady_time Now) {
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

quarantine::suspect *quarantine::suspectFor(request_fingerprint Fingerprint,
                                            steady_time Now) {
  const auto Found = Suspects.find(Fingerprint);
  if (Found != Suspects.end()) {
    if (forgetAt(Fingerprint, Found->second.Evidence) <= Now)
      Found->second = {};
    return &Found->second;
  }
  makeRoom(Now);
  if (Suspects.size() >= Settings.MaxSuspects)
    return nullptr;
  suspect &Suspect = Suspects[Fingerprint];
  const success &Success = Successes[Fingerprint % SuccessRows];
  if (Success.Fingerprint == Fingerprint && Success.At != steady_time())
    Suspect.Evidence.succeeded(Success.At);
  return &Suspect;
}

void quarantine::charge(const attempt &Attempt, bool Alone, steady_time Now) {
  suspect *Suspect = suspectFor(Attempt.Fingerprint, Now);
  if (Suspect == nullptr)
    return;
  const crash Crash{Attempt.Target, Attempt.SentAt,
                    Attempt.LostAt.value_or(Now), Alone, true};
  if (Suspect->Evidence.add(Crash))
    Suspect->Seen = true;
}

void quarantine::noteDeath(target_start Target, steady_time At) {
  const auto [Row, IsNew] = Deaths.emplace(Target, At);
  if (!IsNew)
    Row->second = std::min(Row->second, At);
}

/// What is sent to a target after its death runs on its next start, though its
/// entry still tells the one before.
target_start quarantine::livingStart(target_start Target) const {
  while (Settings.TargetsRestart && Deaths.contains(Target))
    Target = startAfter(Target);
  return Target;
}

std::vector<request_fingerprint> quarantine::targetDied(target_start Target,
                                                        steady_time Now) {
  const target_start Living = livingStart(Target);
  // A later start that has run nothing may not be up yet.
  if (Living == Target || AttemptsByTarget.contains(Living))
    noteDeath(Living, Now);
  return endAttemptsOn(Living, Now);
}

std::vector<request_fingerprint> quarantine::startedAgain(target_start Died,
                                                          target_start Started,
                                                          steady_time Now) {
  std::vector<request_fingerprint> Guilty;
  if (!Deaths.contains(Died))
    Guilty = targetDied(Died, Now);
  // What ran there before its name was known, also over further deaths.
  target_start Unnamed = startAfter(Died);
  for (target_start Named = Started;; Named = startAfter(Named)) {
    if (const auto Moved = AttemptsByTarget.extract(Unnamed); !Moved.empty())
      for (const attempt_id Id : Moved.mapped()) {
        Attempts.at(Id).Target = Named;
        AttemptsByTarget[Named].push_back(Id);
      }
    const auto Death = Deaths.find(Unnamed);
    if (Death == Deaths.end())
      break;
    noteDeath(Named, Death->second);
    Unnamed = startAfter(Unnamed);
  }
  return Guilty;
}

std::vector<request_fingerprint> quarantine::endAttemptsOn(target_start Target,
                                                           steady_time Now) {
  const auto OnTarget = AttemptsByTarget.find(Target);
  if (OnTarget == AttemptsByTarget.end())
    return {};
  const std::vector<attempt_id> Ids = OnTarget->second;
  std::map<request_fingerprint, bool> Before;
  std::vector<attempt> Ended;
  for (const attempt_id Id : Ids) {
    Ended.push_back(Attempts.at(Id));
    Before.emplace(Ended.back().Fingerprint,
                   isQuarantined(Ended.back().Fingerprint, Now));
    ended(Id);
  }
  for (const attempt &Row : Ended)
    charge(Row, Before.size() == 1, Now);
  std::vector<request_fingerprint> Guilty;
  for (const auto &[Fingerprint, Was] : Before)
    if (!Was && isQuarantined(Fingerprint, Now))
      Guilty.push_back(Fingerprint);
  return Guilty;
}

/// Attempts that still run on the target will be lost, or will clear it.
void quarantine::chargeLostOn(target_start Target, steady_time DiedAt,
                              steady_time Now) {
  const auto OnTarget = AttemptsByTarget.find(Target);
  if (OnTarget == AttemptsByTarget.end())
    return;
  std::vector<attempt> Ended;
  const std::vector<attempt_id> Ids = OnTarget->second;
  for (const attempt_id Id : Ids) {
    attempt Row = Attempts.at(Id);
    if (!Row.LostAt)
      continue;
    Row.LostAt = std::min(*Row.LostAt, DiedAt);
    ended(Id);
    // What was sent later found the target dead.
    if (Row.SentAt <= DiedAt)
      Ended.push_back(Row);
  }
  for (const attempt &Row : Ended)
    charge(Row, false, Now);
}

std::size_t quarantine::quarantined(steady_time Now) const {
  return static_cast<std::size_t>(
      std::count_if(Suspects.begin(), Suspects.end(), [&](const auto &Row) {
        return quarantinedUntil(Row.first, Row.second.Evidence) > Now;
      }));
}

} // namespace magnoliaspread
