#include <magnoliaspread/quarantine.h>

#include <algorithm>
#include <numeric>

namespace magnoliaspread {

namespace {

using std::chrono::milliseconds;

/// Peers that are told of others' crashes at a time, and how often after the
/// last news.
constexpr milliseconds PassOnPeriod{250};
constexpr std::size_t PeersAtOnce = 4;
constexpr int TellingsOfNews = 8;
/// A request in quarantine is repeated to one peer this often, for instances
/// that have started or were cut off.
constexpr milliseconds RepeatPeriod{500};
/// One crash alone is told by who has seen it; from two on it is passed on.
constexpr std::size_t RoundsToPassOn = 2;

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
        {Row.Target, ago(Row.SentAt, Now), ago(Row.DiedAt, Now), Row.Alone});
  return Report;
}

/// As many as one message holds, the gravest first.
quarantine_news quarantine::newsOf(std::vector<request_fingerprint> Rows,
                                   steady_time Now) const {
  const auto Weight = [&](request_fingerprint Fingerprint) {
    const suspect &Row = Suspects.at(Fingerprint);
    return std::make_pair(Row.Evidence.rounds(), Now - Row.ToldAt);
  };
  std::sort(Rows.begin(), Rows.end(),
            [&](request_fingerprint One, request_fingerprint Other) {
              return Weight(One) > Weight(Other);
            });
  quarantine_news News;
  std::size_t Size = 0;
  for (const request_fingerprint Fingerprint : Rows) {
    suspect_report Report =
        reportOf(Fingerprint, Suspects.at(Fingerprint), Now);
    // The request itself takes as much as one crash.
    Size += 1 + Report.Crashes.size();
    if (Size > MaxCrashReports)
      break;
    News.Suspects.push_back(std::move(Report));
  }
  return News;
}

quarantine_news quarantine::takeSeen(steady_time Now) {
  std::vector<request_fingerprint> Rows;
  for (const auto &[Fingerprint, Suspect] : Suspects)
    if (Suspect.Seen)
      Rows.push_back(Fingerprint);
  quarantine_news News = newsOf(std::move(Rows), Now);
  for (const suspect_report &Report : News.Suspects) {
    suspect &Suspect = Suspects.at(Report.Fingerprint);
    Suspect.Seen = false;
    Suspect.Tellings = TellingsOfNews;
    Suspect.ToldAt = Now;
  }
  return News;
}

std::optional<suspect_report>
quarantine::report(request_fingerprint Fingerprint, steady_time Now) const {
  const auto Found = Suspects.find(Fingerprint);
  if (Found == Suspects.end())
    return std::nullopt;
  return reportOf(Fingerprint, Found->second, Now);
}

bool quarantine::sawLastCrash(request_fingerprint Fingerprint) const {
  const auto Found = Suspects.find(Fingerprint);
  return Found != Suspects.end() && !Found->second.Evidence.crashes().empty() &&
         Found->second.Evidence.crashes().back().SeenHere;
}

quarantine_news quarantine::current(steady_time Now) const {
  std::vector<request_fingerprint> Rows;
  for (const auto &[Fingerprint, Suspect] : Suspects)
    if (Suspect.Evidence.rounds() >= RoundsToPassOn ||
        sawLastCrash(Fingerprint))
      Rows.push_back(Fingerprint);
  return newsOf(std::move(Rows), Now);
}

std::vector<std::size_t> quarantine::somePeers(std::size_t Peers,
                                               std::size_t Count) {
  std::vector<std::size_t> Chosen;
  for (std::size_t I = 0; I < std::min(Count, Peers); ++I)
    Chosen.push_back(
        std::uniform_int_distribution<std::size_t>(0, Peers - 1)(Random));
  return Chosen;
}

std::vector<quarantine_telling> quarantine::tell(std::size_t Peers,
                                                 steady_time Now) {
  std::vector<quarantine_telling> Tellings;
  // Without a peer it stays to be told.
  quarantine_news Seen = Peers == 0 ? quarantine_news() : takeSeen(Now);
  if (!Seen.Suspects.empty()) {
    std::vector<std::size_t> All(Peers);
    std::iota(All.begin(), All.end(), std::size_t(0));
    Tellings.push_back({std::move(All), std::move(Seen)});
  }
  if (Now < NextPassOn)
    return Tellings;
  NextPassOn = Now + PassOnPeriod;
  forgetExpired(Now);
  const bool Repeats = Now >= NextRepeat;
  if (Repeats)
    NextRepeat = Now + RepeatPeriod;
  std::vector<request_fingerprint> News;
  std::vector<request_fingerprint> Repeated;
  for (const auto &[Fingerprint, Suspect] : Suspects) {
    if (Suspect.ToldAt == Now)
      continue;
    const bool Passes = Suspect.Evidence.rounds() >= RoundsToPassOn ||
                        Suspect.Evidence.crashes().empty();
    if (Suspect.Tellings > 0 && Passes)
      News.push_back(Fingerprint);
    else if (Repeats && quarantinedUntil(Fingerprint, Suspect.Evidence) > Now)
      Repeated.push_back(Fingerprint);
  }
  const auto Tell = [&](std::vector<request_fingerprint> Rows,
                        std::size_t Count) {
    if (Rows.empty() || Peers == 0)
      return;
    quarantine_telling Telling{somePeers(Peers, Count),
                               newsOf(std::move(Rows), Now)};
    for (const suspect_report &Report : Telling.News.Suspects) {
      suspect &Suspect = Suspects.at(Report.Fingerprint);
      Suspect.ToldAt = Now;
      if (Suspect.Tellings > 0)
        --Suspect.Tellings;
    }
    Tellings.push_back(std::move(Telling));
  };
  Tell(std::move(News), PeersAtOnce);
  Tell(std::move(Repeated), 1);
  return Tellings;
}

void quarantine::mergeReport(const suspect_report &Report, steady_time Now) {
  // Ages beyond the longest time that anything is kept tell nothing.
  const milliseconds Oldest = Settings.MaxQuarantine + Settings.SuspectTime;
  const auto Found = Suspects.find(Report.Fingerprint);
  suspect *Suspect = Found == Suspects.end() ? nullptr : &Found->second;
  bool IsNews = false;
  if (Suspect != nullptr && Report.SucceededAgo &&
      *Report.SucceededAgo < Oldest)
    IsNews = Suspect->Evidence.succeeded(Now - *Report.SucceededAgo);
  for (const crash_report &Crash : Report.Crashes) {
    if (Crash.DiedAgo >= Oldest || Crash.SentAgo < Crash.DiedAgo)
      continue;
    const steady_time DiedAt = Now - Crash.DiedAgo;
    noteDeath(Crash.Target, DiedAt);
    if (Suspect == nullptr)
      Suspect = suspectFor(Report.Fingerprint, Now);
    if (Suspect == nullptr)
      continue;
    const bool IsNew = Suspect->Evidence.add(
        {Crash.Target, Now - Crash.SentAgo, DiedAt, Crash.Alone, false});
    IsNews = IsNews || IsNew;
  }
  // A count of crashes that a success has cleared here says nothing.
  const auto IsKnown = [&](const crash_report &Crash) {
    return Suspect->Evidence.knows(Crash.Target);
  };
  if (Suspect != nullptr &&
      std::all_of(Report.Crashes.begin(), Report.Crashes.end(), IsKnown))
    Suspect->Evidence.claim(Report.Rounds);
  if (IsNews)
    Suspect->Tellings = TellingsOfNews;
  for (const crash_report &Crash : Report.Crashes)
    chargeLostOn(Crash.Target, Now - Crash.DiedAgo, Now);
}

std::vector<request_fingerprint> quarantine::merge(const quarantine_news &News,
                                                   steady_time Now) {
  std::vector<request_fingerprint> Guilty;
  for (const suspect_report &Report : News.Suspects) {
    const bool Was = isQuarantined(Report.Fingerprint, Now);
    mergeReport(Report, Now);
    if (!Was && isQuarantined(Report.Fingerprint, Now))
      Guilty.push_back(Report.Fingerprint);
  }
  return Guilty;
}

} // namespace magnoliaspread
