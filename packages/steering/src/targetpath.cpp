#include <magnoliaspread/targetpath.h>

#include <algorithm>

namespace magnoliaspread {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

/// Pause after a suspicion that was wrong.
constexpr milliseconds SuspicionPause{1000};

} // namespace

void target_path::setTargets(std::vector<path_target> Rows) {
  Targets = std::move(Rows);
  std::set<std::uint16_t> Known;
  for (const path_target &Row : Targets)
    Known.insert(Row.Handle.Index);
  std::erase_if(FailedAt,
                [&](const auto &Row) { return !Known.contains(Row.first); });
}

void target_path::sent(target_handle Target, steady_time Now,
                       std::chrono::nanoseconds ExpectedTime) {
  flight &Row = InFlight[Target.Index];
  Row.OverdueAt =
      std::max(Row.OverdueAt, Now + Settings.OverdueFactor * ExpectedTime);
  if (Row.Requests++ == 0)
    Row.Since = Now;
}

void target_path::abandoned(target_handle Target) {
  const auto Found = InFlight.find(Target.Index);
  if (Found != InFlight.end() && --Found->second.Requests == 0)
    InFlight.erase(Found);
}

void target_path::heard(target_handle Target, steady_time Now) {
  abandoned(Target);
  HeardAt = Now;
  ReachedAt = Now;
}

void target_path::failed(target_handle Target, steady_time Now) {
  std::erase_if(FailedAt, [&](const auto &Row) {
    return Now - Row.second >= Settings.FailureMemory;
  });
  if (FailedAt.empty() && State == path_state::Working)
    FailingSince = Now;
  FailedAt[Target.Index] = Now;
}

/// A connection that opens shows that the path works.
void target_path::connected(target_handle, steady_time Now) {
  FailedAt.clear();
  ReachedAt = Now;
}

void target_path::notePeerBroken(steady_time Now) {
  if (!CheckSince)
    CheckSince = Now;
}

std::size_t target_path::recentFailures(steady_time Now) const {
  return static_cast<std::size_t>(
      std::count_if(FailedAt.begin(), FailedAt.end(), [&](const auto &Row) {
        return Now - Row.second < Settings.FailureMemory;
      }));
}

std::size_t target_path::silentTargets() const {
  return static_cast<std::size_t>(
      std::count_if(InFlight.begin(), InFlight.end(), [&](const auto &Row) {
        return Row.second.Since <= HeardAt + Settings.Silence;
      }));
}

/// No target was reached while all that were tried failed, or all requests in
/// flight are overdue.
bool target_path::allFail(steady_time Now) const {
  if (recentFailures(Now) > 0 && Now - FailingSince >= Settings.SparseWait &&
      (!ReachedAt || *ReachedAt < FailingSince))
    return true;
  return !InFlight.empty() &&
         (!ReachedAt || Now - *ReachedAt >= Settings.Silence) &&
         std::all_of(InFlight.begin(), InFlight.end(), [&](const auto &Row) {
           return Now >= Row.second.OverdueAt;
         });
}

/// A peer's announcement has to be checked, as no target was reached since.
bool target_path::checkDue(steady_time Now) {
  if (CheckSince && ReachedAt && *ReachedAt > *CheckSince)
    CheckSince.reset();
  return CheckSince && Now - *CheckSince >= Settings.CheckWait;
}

void target_path::probeForPeers(steady_time Now, path_actions &Actions) {
  if (!PeerAsked || Now < NextPeerProbe)
    return;
  PeerAsked = false;
  NextPeerProbe = Now + Settings.FreshAge;
  Actions.Probes = chooseProbes(1, Now);
}

/// Several targets fail with no connection opened in between, or all are
/// silent.
bool target_path::looksBroken(steady_time Now) const {
  const std::size_t Least =
      std::clamp<std::size_t>(Targets.size(), 1, Settings.MinTargets);
  if (recentFailures(Now) >= Least)
    return true;
  if (Now - HeardAt >= Settings.Silence && silentTargets() >= Least)
    return true;
  return allFail(Now);
}

/// Targets of as many services and data centres as possible, those that have
/// not failed of late first.
std::vector<target_handle> target_path::chooseProbes(std::size_t Count,
                                                     steady_time Now) {
  std::vector<const path_target *> Rows;
  for (const path_target &Row : Targets)
    Rows.push_back(&Row);
  std::shuffle(Rows.begin(), Rows.end(), Random);
  std::stable_partition(Rows.begin(), Rows.end(), [&](const path_target *Row) {
    const auto Failed = FailedAt.find(Row->Handle.Index);
    return Failed == FailedAt.end() ||
           Now - Failed->second >= Settings.FailureMemory;
  });
  std::vector<target_handle> Chosen;
  std::set<std::pair<std::string, std::string>> Places;
  for (const bool Distinct : {true, false})
    for (const path_target *&Row : Rows) {
      if (Chosen.size() >= Count || Row == nullptr ||
          (Distinct && !Places.emplace(Row->Service, Row->DataCentre).second))
        continue;
      Chosen.push_back(Row->Handle);
      Row = nullptr;
    }
  return Chosen;
}

void target_path::suspect(steady_time Now, path_actions &Actions) {
  State = path_state::Suspect;
  SuspectedAt = Now;
  CheckSince.reset();
  if (FailedAt.empty() || HeardAt < FailingSince)
    FailingSince = HeardAt;
  ProbesFailed = 0;
  PeerHears = false;
  Answers = 0;
  Actions.Probes = chooseProbes(Settings.Probes, Now);
  Probing.clear();
  for (const target_handle Target : Actions.Probes)
    Probing.insert(Target.Index);
  ProbesSent = Probing.size();
  Actions.Query = path_query{++Round};
  NextQuery = Now + Settings.QueryPeriod;
}

void target_path::probed(target_handle Target, bool Succeeded,
                         steady_time Now) {
  if (Probing.erase(Target.Index) == 0) {
    // Made for a peer.
    if (Succeeded && State == path_state::Working)
      connected(Target, Now);
    return;
  }
  if (State == path_state::Suspect) {
    if (Succeeded)
      endSuspicion(Now);
    else
      ++ProbesFailed;
  } else if (State == path_state::Broken) {
    Successes = Succeeded ? Successes + 1 : 0;
  }
  if (Succeeded)
    connected(Target, Now);
}

void target_path::endSuspicion(steady_time Now) {
  State = path_state::Working;
  NextSuspicion = Now + SuspicionPause;
  Probing.clear();
}

void target_path::judge(steady_time Now, path_actions &Actions) {
  const auto Waited = Now - SuspectedAt;
  const bool AllFailed = ProbesSent > 0 && (ProbesFailed == ProbesSent ||
                                            Waited >= Settings.ProbeTimeout);
  if (AllFailed && PeerHears)
    return breakPath(Now, Actions);
  if (Waited >= Settings.QueryTimeout)
    return endSuspicion(Now);
  if (PeerHears || Now < NextQuery)
    return;
  Actions.Query = path_query{Round};
  NextQuery = Now + Settings.QueryPeriod;
}

void target_path::breakPath(steady_time Now, path_actions &Actions) {
  State = path_state::Broken;
  Probing.clear();
  const bool Flapping =
      RecoveredOnce && Now - RecoveredAt < Settings.FlapMemory;
  Needed = Flapping ? std::min(2 * Needed, Settings.MostProbesToRecover)
                    : Settings.ProbesToRecover;
  Successes = 0;
  RecoverAt.reset();
  NextProbe = Now + Settings.ProbePeriod;
  Actions.Announcement = path_report{0, State, reachedAge(Now)};
  Actions.FailingSince = FailingSince;
}

void target_path::probeBroken(steady_time Now, path_actions &Actions) {
  if (Successes >= Needed && !RecoverAt) {
    std::uniform_int_distribution<std::int64_t> Delay(
        0, Settings.RecoveryJitter.count());
    RecoverAt = Now + milliseconds(Delay(Random));
  } else if (Successes < Needed) {
    RecoverAt.reset();
  }
  if (RecoverAt && Now >= *RecoverAt)
    return recover(Now, Actions);
  if (Now < NextProbe)
    return;
  // A probe without a result has failed.
  if (!Probing.empty())
    Successes = 0;
  NextProbe =
      Now + std::max(Settings.ProbePeriod,
                     Probing.empty() ? milliseconds(0) : Settings.ProbeTimeout);
  Actions.Probes = chooseProbes(1, Now);
  Probing.clear();
  for (const target_handle Target : Actions.Probes)
    Probing.insert(Target.Index);
}

void target_path::recover(steady_time Now, path_actions &Actions) {
  State = path_state::Working;
  RecoveredOnce = true;
  RecoveredAt = Now;
  NextSuspicion = Now;
  HeardAt = Now;
  ReachedAt = Now;
  CheckSince.reset();
  FailedAt.clear();
  Probing.clear();
  Actions.Announcement = path_report{0, State, milliseconds(0)};
  Actions.FailingSince = FailingSince;
}

path_actions target_path::tick(steady_time Now) {
  path_actions Actions;
  if (!Settings.Enabled || Targets.empty())
    return Actions;
  switch (State) {
  case path_state::Working:
    if (const bool Due = checkDue(Now);
        Now >= NextSuspicion && (Due || looksBroken(Now)))
      suspect(Now, Actions);
    else
      probeForPeers(Now, Actions);
    break;
  case path_state::Suspect:
    judge(Now, Actions);
    break;
  case path_state::Broken:
    probeBroken(Now, Actions);
    break;
  }
  return Actions;
}

std::optional<milliseconds> target_path::reachedAge(steady_time Now) const {
  if (!ReachedAt)
    return std::nullopt;
  return duration_cast<milliseconds>(Now - *ReachedAt);
}

path_evidence target_path::evidence(steady_time Now) const {
  return {recentFailures(Now),
          InFlight.size(),
          duration_cast<milliseconds>(Now - HeardAt),
          ProbesFailed,
          Answers,
          PeerHears};
}

path_report target_path::answer(const path_query &Query, steady_time Now) {
  if (!ReachedAt || Now - *ReachedAt >= Settings.FreshAge)
    PeerAsked = true;
  return {Query.Round, State, reachedAge(Now)};
}

void target_path::receive(const path_report &Report, steady_time Now) {
  if (State == path_state::Suspect && Report.Round == Round)
    ++Answers;
  if (State != path_state::Suspect || Report.Round != Round ||
      Report.State != path_state::Working || !Report.HeardAge)
    return;
  // What a peer heard before may come from targets that have failed since.
  PeerHears = PeerHears || Now - *Report.HeardAge > SuspectedAt;
}

} // namespace magnoliaspread
