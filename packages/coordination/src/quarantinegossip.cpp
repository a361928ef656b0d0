#include <magnoliaspread/quarantine.h>

#include <algorithm>
#include <numeric>

namespace magnoliaspread {

namespace {

using std::chrono::milliseconds;

/// Suspects reported by peers are forwarded to a few random peers each period,
/// this many times after their last change.
constexpr milliseconds ForwardPeriod{250};
constexpr std::size_t ForwardFanout = 4;
constexpr int ForwardsPerChange = 8;
/// Quarantined requests are resent to one peer this often, for instances that
/// have just started or were partitioned.
constexpr milliseconds ResendPeriod{500};
/// A single crash is sent only by the instance that observed it.
constexpr std::size_t MinRoundsToForward = 2;

milliseconds ago(steady_time Then, steady_time Now) {
  return std::max(milliseconds(0),
                  std::chrono::duration_cast<milliseconds>(Now - Then));
}

} // namespace

suspect_report quarantine::reportOf(request_fingerprint Fingerprint,
                                    const suspect &Suspect,
                                    steady_time Now) const {
  suspect_report Report;
  Report.Fingerprint = Fingerprint;
  if (Suspect.Evidence.lastSuccess())
    Report.SucceededAgo = ago(*Suspect.Evidence.lastSuccess(), Now);
  Report.Rounds = static_cast<std::uint32_t>(Suspect.Evidence.rounds());
  for (const crash &Row : Suspect.Evidence.crashes())
    Report.Crashes.push_back(
        {Row.Target, ago(Row.SentAt, Now), ago(Row.CrashedAt, Now), Row.Alone});
  return Report;
}

/// As many suspects as fit into one message: those with most rounds first, then
/// those not sent for longest.
quarantine_update quarantine::updateOf(std::vector<request_fingerprint> Rows,
                                       steady_time Now) const {
  const auto Priority = [&](request_fingerprint Fingerprint) {
    const suspect &Row = Suspects.at(Fingerprint);
    return std::make_pair(Row.Evidence.rounds(), Now - Row.LastSentAt);
  };
  std::sort(Rows.begin(), Rows.end(),
            [&](request_fingerprint One, request_fingerprint Other) {
              return Priority(One) > Priority(Other);
            });
  quarantine_update Update;
  std::size_t Size = 0;
  for (const request_fingerprint Fingerprint : Rows) {
    suspect_report Report =
        reportOf(Fingerprint, Suspects.at(Fingerprint), Now);
    // The suspect itself takes about as much space as one crash.
    Size += 1 + Report.Crashes.size();
    if (Size > MaxCrashReports)
      break;
    Update.Suspects.push_back(std::move(Report));
  }
  return Update;
}

quarantine_update quarantine::takeUnsentUpdate(steady_time Now) {
  std::vector<request_fingerprint> Rows;
  for (const auto &[Fingerprint, Suspect] : Suspects)
    if (Suspect.HasUnsent)
      Rows.push_back(Fingerprint);
  quarantine_update Update = updateOf(std::move(Rows), Now);
  for (const suspect_report &Report : Update.Suspects) {
    suspect &Suspect = Suspects.at(Report.Fingerprint);
    Suspect.HasUnsent = false;
    Suspect.ForwardsLeft = ForwardsPerChange;
    Suspect.LastSentAt = Now;
  }
  return Update;
}

std::optional<suspect_report>
quarantine::report(request_fingerprint Fingerprint, steady_time Now) const {
  const auto Found = Suspects.find(Fingerprint);
  if (Found == Suspects.end())
    return std::nullopt;
  return reportOf(Fingerprint, Found->second, Now);
}

bool quarantine::isLastCrashLocal(request_fingerprint Fingerprint) const {
  const auto Found = Suspects.find(Fingerprint);
  return Found != Suspects.end() && !Found->second.Evidence.crashes().empty() &&
         Found->second.Evidence.crashes().back().IsLocal;
}

quarantine_update quarantine::current(steady_time Now) const {
  std::vector<request_fingerprint> Rows;
  for (const auto &[Fingerprint, Suspect] : Suspects)
    if (Suspect.Evidence.rounds() >= MinRoundsToForward ||
        isLastCrashLocal(Fingerprint))
      Rows.push_back(Fingerprint);
  return updateOf(std::move(Rows), Now);
}

std::vector<std::size_t> quarantine::randomPeers(std::size_t Peers,
                                                 std::size_t Count) {
  std::vector<std::size_t> Chosen;
  for (std::size_t I = 0; I < std::min(Count, Peers); ++I)
    Chosen.push_back(
        std::uniform_int_distribution<std::size_t>(0, Peers - 1)(Random));
  return Chosen;
}

std::vector<quarantine_message> quarantine::pendingMessages(std::size_t Peers,
                                                            steady_time Now) {
  std::vector<quarantine_message> Messages;
  // Without a peer, local crashes stay unsent.
  quarantine_update Unsent =
      Peers == 0 ? quarantine_update() : takeUnsentUpdate(Now);
  if (!Unsent.Suspects.empty()) {
    std::vector<std::size_t> All(Peers);
    std::iota(All.begin(), All.end(), std::size_t(0));
    Messages.push_back({std::move(All), std::move(Unsent)});
  }
  if (Now < NextForward)
    return Messages;
  NextForward = Now + ForwardPeriod;
  forgetExpired(Now);
  const bool IsResendDue = Now >= NextResend;
  if (IsResendDue)
    NextResend = Now + ResendPeriod;
  std::vector<request_fingerprint> ToForward;
  std::vector<request_fingerprint> ToResend;
  for (const auto &[Fingerprint, Suspect] : Suspects) {
    if (Suspect.LastSentAt == Now)
      continue;
    const bool IsForwarded = Suspect.Evidence.rounds() >= MinRoundsToForward ||
                             Suspect.Evidence.crashes().empty();
    if (Suspect.ForwardsLeft > 0 && IsForwarded)
      ToForward.push_back(Fingerprint);
    else if (IsResendDue &&
             quarantinedUntil(Fingerprint, Suspect.Evidence) > Now)
      ToResend.push_back(Fingerprint);
  }
  const auto Send = [&](std::vector<request_fingerprint> Rows,
                        std::size_t Count) {
    if (Rows.empty() || Peers == 0)
      return;
    quarantine_message Message{randomPeers(Peers, Count),
                               updateOf(std::move(Rows), Now)};
    for (const suspect_report &Report : Message.Update.Suspects) {
      suspect &Suspect = Suspects.at(Report.Fingerprint);
      Suspect.LastSentAt = Now;
      if (Suspect.ForwardsLeft > 0)
        --Suspect.ForwardsLeft;
    }
    Messages.push_back(std::move(Message));
  };
  Send(std::move(ToForward), ForwardFanout);
  Send(std::move(ToResend), 1);
  return Messages;
}

void quarantine::mergeReport(const suspect_report &Report, steady_time Now) {
  // Older crashes and successes would have been forgotten here.
  const milliseconds MaxAge = Settings.MaxQuarantine + Settings.SuspectTime;
  const auto Found = Suspects.find(Report.Fingerprint);
  suspect *Suspect = Found == Suspects.end() ? nullptr : &Found->second;
  bool Changed = false;
  if (Suspect != nullptr && Report.SucceededAgo &&
      *Report.SucceededAgo < MaxAge)
    Changed = Suspect->Evidence.succeeded(Now - *Report.SucceededAgo);
  for (const crash_report &Crash : Report.Crashes) {
    if (Crash.CrashedAgo >= MaxAge || Crash.SentAgo < Crash.CrashedAgo)
      continue;
    const steady_time CrashedAt = Now - Crash.CrashedAgo;
    recordCrashTime(Crash.Target, CrashedAt);
    if (Suspect == nullptr)
      Suspect = findOrAddSuspect(Report.Fingerprint, Now);
    if (Suspect == nullptr)
      continue;
    const bool IsNew = Suspect->Evidence.add(
        {Crash.Target, Now - Crash.SentAgo, CrashedAt, Crash.Alone, false});
    Changed = Changed || IsNew;
  }
  // Rounds that include crashes cleared here by a success don't count.
  const auto IsRecorded = [&](const crash_report &Crash) {
    return Suspect->Evidence.hasCrashOf(Crash.Target);
  };
  if (Suspect != nullptr &&
      std::all_of(Report.Crashes.begin(), Report.Crashes.end(), IsRecorded))
    Suspect->Evidence.mergeRounds(Report.Rounds);
  if (Changed)
    Suspect->ForwardsLeft = ForwardsPerChange;
  for (const crash_report &Crash : Report.Crashes)
    attributeLostAttempts(Crash.Target, Now - Crash.CrashedAgo, Now);
}

std::vector<request_fingerprint>
quarantine::merge(const quarantine_update &Update, steady_time Now) {
  std::vector<request_fingerprint> NewlyQuarantined;
  for (const suspect_report &Report : Update.Suspects) {
    const bool WasQuarantined = isQuarantined(Report.Fingerprint, Now);
    mergeReport(Report, Now);
    if (!WasQuarantined && isQuarantined(Report.Fingerprint, Now))
      NewlyQuarantined.push_back(Report.Fingerprint);
  }
  return NewlyQuarantined;
}

} // namespace magnoliaspread
