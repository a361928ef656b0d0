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
constexpr std::uint32_t MaxDoublings = 16;

milliseconds leftUntil(steady_time Until, steady_time Now) {
  return std::chrono::ceil<milliseconds>(Until - Now);
}

bool contains(const std::vector<target_handle> &Targets, target_handle Target) {
  return std::find(Targets.begin(), Targets.end(), Target) != Targets.end();
}

} // namespace

request_fingerprint fingerprintOf(const fingerprint_parts &Parts) {
  request_fingerprint Hash = 0;
  for (std::string_view Part : {Parts.Workspace, Parts.Method, Parts.Path,
                                Parts.Body.substr(0, FingerprintBodyBytes)}) {
    const std::uint64_t Size = Part.size();
    Hash = XXH64(&Size, sizeof(Size), Hash);
    Hash = XXH64(Part.data(), Part.size(), Hash);
  }
  return Hash;
}

bool quarantine::isAccused(request_fingerprint Fingerprint) const {
  const auto Found = Suspects.find(Fingerprint);
  return Found != Suspects.end() && !Found->second.Cleared;
}

bool quarantine::isIsolated(request_fingerprint Fingerprint) const {
  return std::find(Isolated.begin(), Isolated.end(), Fingerprint) !=
         Isolated.end();
}

placement_decision quarantine::place(request_fingerprint Fingerprint,
                                     steady_time Now) {
  const auto Found = Suspects.find(Fingerprint);
  if (Found == Suspects.end() || Found->second.Cleared)
    return {};
  const suspect &Suspect = Found->second;
  if (Suspect.QuarantinedUntil > Now)
    return {placement::Quarantined, leftUntil(Suspect.QuarantinedUntil, Now)};
  if (Suspect.ForgetAt <= Now)
    return {};
  // Attempts from before the death will tell soon.
  if (InFlight.contains(Fingerprint) && !isIsolated(Fingerprint))
    return {};
  if (isIsolated(Fingerprint) || Isolated.size() >= Settings.MaxIsolated)
    return {placement::Later, TurnTime};
  return {placement::Alone, milliseconds(0)};
}

void quarantine::started(attempt_id Attempt, request_fingerprint Fingerprint,
                         target_handle Target) {
  std::size_t &Count = InFlight[Fingerprint];
  if (Count == 0 && isAccused(Fingerprint))
    Isolated.push_back(Fingerprint);
  ++Count;
  Attempts[Attempt] = {Fingerprint, Target};
  AttemptsByTarget[Target.Index].push_back(Attempt);
}

void quarantine::succeeded(attempt_id Attempt, steady_time Now) {
  const auto Found = Attempts.find(Attempt);
  if (Found == Attempts.end())
    return;
  clear(Found->second.Fingerprint, Now);
  ended(Attempt);
}

void quarantine::ended(attempt_id Attempt) {
  const auto Found = Attempts.find(Attempt);
  if (Found == Attempts.end())
    return;
  const attempt Ended = Found->second;
  Attempts.erase(Found);
  if (--InFlight[Ended.Fingerprint] == 0) {
    InFlight.erase(Ended.Fingerprint);
    std::erase(Isolated, Ended.Fingerprint);
  }
  std::vector<attempt_id> &OnTarget = AttemptsByTarget[Ended.Target.Index];
  std::erase(OnTarget, Attempt);
  if (OnTarget.empty())
    AttemptsByTarget.erase(Ended.Target.Index);
}

/// A success while quarantined is of an attempt from before, and tells nothing.
void quarantine::clear(request_fingerprint Fingerprint, steady_time Now) {
  const auto Found = Suspects.find(Fingerprint);
  if (Found == Suspects.end() || Found->second.QuarantinedUntil > Now)
    return;
  suspect &Suspect = Found->second;
  if (Suspect.OtherDeaths == 0) {
    Suspects.erase(Found);
    return;
  }
  Suspect.Cleared = true;
  Suspect.DeadTargets.clear();
  Suspect.DiedAlone = false;
}

std::vector<request_fingerprint>
quarantine::endAttemptsOn(target_handle Target) {
  std::vector<request_fingerprint> Fingerprints;
  const auto Found = AttemptsByTarget.find(Target.Index);
  if (Found == AttemptsByTarget.end())
    return Fingerprints;
  const std::vector<attempt_id> Ids = Found->second;
  for (attempt_id Id : Ids) {
    Fingerprints.push_back(Attempts.at(Id).Fingerprint);
    ended(Id);
  }
  std::sort(Fingerprints.begin(), Fingerprints.end());
  Fingerprints.erase(std::unique(Fingerprints.begin(), Fingerprints.end()),
                     Fingerprints.end());
  return Fingerprints;
}

void quarantine::forgetExpired(steady_time Now) {
  std::erase_if(Suspects,
                [Now](const auto &Row) { return Row.second.ForgetAt <= Now; });
}

void quarantine::makeRoom(steady_time Now) {
  forgetExpired(Now);
  if (Suspects.size() < Settings.MaxSuspects)
    return;
  auto Oldest = Suspects.end();
  for (auto Row = Suspects.begin(); Row != Suspects.end(); ++Row) {
    if (Row->second.QuarantinedUntil > Now)
      continue;
    if (Oldest == Suspects.end() ||
        Row->second.ForgetAt < Oldest->second.ForgetAt)
      Oldest = Row;
  }
  if (Oldest != Suspects.end())
    Suspects.erase(Oldest);
}

quarantine::suspect *quarantine::suspectFor(request_fingerprint Fingerprint,
                                            steady_time Now) {
  const auto Found = Suspects.find(Fingerprint);
  if (Found != Suspects.end()) {
    if (Found->second.ForgetAt <= Now)
      Found->second = {};
    return &Found->second;
  }
  makeRoom(Now);
  if (Suspects.size() >= Settings.MaxSuspects)
    return nullptr;
  return &Suspects[Fingerprint];
}

void quarantine::accuse(suspect &Suspect, target_handle Target, bool Alone,
                        steady_time Now) const {
  if (Suspect.Cleared) {
    Suspect.Cleared = false;
    Suspect.OtherDeaths = 0;
  }
  if (!contains(Suspect.DeadTargets, Target) &&
      Suspect.DeadTargets.size() < Settings.DeathsInCompany)
    Suspect.DeadTargets.push_back(Target);
  Suspect.DiedAlone = Suspect.DiedAlone || Alone;
  Suspect.ForgetAt = std::max(Suspect.ForgetAt, Now + Settings.SuspectTime);
}

std::size_t quarantine::mostDeathsBeside(
    request_fingerprint Fingerprint,
    const std::vector<request_fingerprint> &All) const {
  std::size_t Most = 0;
  for (request_fingerprint Other : All) {
    const auto Found = Suspects.find(Other);
    if (Other != Fingerprint && Found != Suspects.end())
      Most = std::max(Most, Found->second.DeadTargets.size());
  }
  return Most;
}

bool quarantine::isGuilty(const suspect &Suspect,
                          std::size_t MostBeside) const {
  const std::size_t Deaths = Suspect.DeadTargets.size();
  if (Suspect.DiedAlone)
    return Deaths + Suspect.OtherDeaths >= Settings.DeathsWhenAlone;
  return Deaths >= Settings.DeathsInCompany && Deaths > MostBeside;
}

void quarantine::sentence(suspect &Suspect, steady_time Now) const {
  const std::uint32_t Doublings = std::min(Suspect.Quarantines, MaxDoublings);
  const milliseconds Time = std::min<milliseconds>(
      Settings.MinQuarantine * (1 << Doublings), Settings.MaxQuarantine);
  ++Suspect.Quarantines;
  Suspect.QuarantinedUntil = std::max(Suspect.QuarantinedUntil, Now + Time);
  Suspect.OwnUntil = Now + Time;
  Suspect.ForgetAt = Suspect.QuarantinedUntil + Settings.SuspectTime;
  // One more death alone after the quarantine is enough for the next.
  Suspect.DeadTargets.clear();
  Suspect.DiedAlone = false;
  Suspect.OtherDeaths = Settings.DeathsWhenAlone - 1;
}

std::vector<request_fingerprint> quarantine::targetDied(target_handle Target,
                                                        steady_time Now) {
  const std::vector<request_fingerprint> All = endAttemptsOn(Target);
  for (request_fingerprint Fingerprint : All)
    if (suspect *Suspect = suspectFor(Fingerprint, Now))
      accuse(*Suspect, Target, All.size() == 1, Now);
  std::vector<request_fingerprint> Guilty;
  for (request_fingerprint Fingerprint : All) {
    const auto Found = Suspects.find(Fingerprint);
    if (Found != Suspects.end() && Found->second.QuarantinedUntil <= Now &&
        isGuilty(Found->second, mostDeathsBeside(Fingerprint, All)))
      Guilty.push_back(Fingerprint);
  }
  for (request_fingerprint Fingerprint : Guilty)
    sentence(Suspects.at(Fingerprint), Now);
  return Guilty;
}

std::vector<quarantine_notice> quarantine::notices(std::size_t Limit,
                                                   steady_time Now) {
  forgetExpired(Now);
  std::vector<quarantine_notice> Notices;
  for (const auto &[Fingerprint, Suspect] : Suspects)
    if (Suspect.OwnUntil > Now && Notices.size() < Limit)
      Notices.push_back({Fingerprint, leftUntil(Suspect.OwnUntil, Now),
                         Settings.DeathsWhenAlone});
  for (const auto &[Fingerprint, Suspect] : Suspects)
    if (Suspect.OwnUntil <= Now && !Suspect.Cleared &&
        !Suspect.DeadTargets.empty() && Notices.size() < Limit)
      Notices.push_back({Fingerprint, leftUntil(Suspect.ForgetAt, Now), 1});
  return Notices;
}

void quarantine::merge(const quarantine_notice &Notice, steady_time Now) {
  const milliseconds Left = std::min(Notice.Remaining, Settings.MaxQuarantine);
  if (Left <= milliseconds(0) || Notice.Deaths == 0)
    return;
  suspect *Suspect = suspectFor(Notice.Fingerprint, Now);
  if (Suspect == nullptr)
    return;
  const bool Convicts = Notice.Deaths >= Settings.DeathsWhenAlone;
  if (Suspect->Cleared && !Convicts)
    return;
  Suspect->Cleared = false;
  Suspect->OtherDeaths =
      std::max(Suspect->OtherDeaths,
               std::min(Notice.Deaths, Settings.DeathsWhenAlone - 1));
  if (Convicts)
    Suspect->QuarantinedUntil = std::max(Suspect->QuarantinedUntil, Now + Left);
  Suspect->ForgetAt = std::max(
      Suspect->ForgetAt,
      Convicts ? Suspect->QuarantinedUntil + Settings.SuspectTime : Now + Left);
}

std::size_t quarantine::quarantined(steady_time Now) const {
  return static_cast<std::size_t>(
      std::count_if(Suspects.begin(), Suspects.end(), [Now](const auto &Row) {
        return Row.second.QuarantinedUntil > Now;
      }));
}

} // namespace magnoliaspread
