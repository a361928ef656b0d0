#include "codec_p.h"

namespace magnoliaspread {

using std::chrono::milliseconds;

namespace {

milliseconds readAge(std::int64_t From) {
  return milliseconds(readNumber<std::uint32_t>(From));
}

} // namespace

void writeQuarantine(const quarantine_news &News, idl::Datagram &Body) {
  idl::QuarantineNews To;
  for (const suspect_report &Report : News.Suspects) {
    idl::SuspectReport Written;
    Written.fingerprint = static_cast<std::int64_t>(Report.Fingerprint);
    if (Report.SucceededAgo)
      Written.__set_succeededAgoMs(Report.SucceededAgo->count());
    Written.rounds = static_cast<std::int32_t>(Report.Rounds);
    for (const crash_report &Row : Report.Crashes) {
      idl::CrashReport Crash;
      Crash.target = static_cast<std::int64_t>(Row.Target);
      Crash.sentAgoMs = Row.SentAgo.count();
      Crash.diedAgoMs = Row.DiedAgo.count();
      Crash.alone = Row.Alone;
      Written.crashes.push_back(Crash);
    }
    To.suspects.push_back(std::move(Written));
  }
  Body.__set_quarantine(To);
}

quarantine_news readQuarantine(const idl::QuarantineNews &From) {
  quarantine_news News;
  for (const idl::SuspectReport &Written : From.suspects) {
    suspect_report Report;
    Report.Fingerprint = static_cast<std::uint64_t>(Written.fingerprint);
    if (Written.__isset.succeededAgoMs)
      Report.SucceededAgo = readAge(Written.succeededAgoMs);
    Report.Rounds = readNumber<std::uint32_t>(Written.rounds);
    for (const idl::CrashReport &Crash : Written.crashes)
      Report.Crashes.push_back({static_cast<std::uint64_t>(Crash.target),
                                readAge(Crash.sentAgoMs),
                                readAge(Crash.diedAgoMs), Crash.alone});
    News.Suspects.push_back(std::move(Report));
  }
  return News;
}

} // namespace magnoliaspread
