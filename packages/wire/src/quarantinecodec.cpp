#include "codec_p.h"

namespace magnoliaspread {

using std::chrono::milliseconds;

namespace {

milliseconds readAge(std::int64_t From) {
  return milliseconds(readNumber<std::uint32_t>(From));
}

} // namespace

void writeQuarantine(const quarantine_update &Update, idl::Datagram &Body) {
  idl::QuarantineNews To;
  for (const suspect_report &Report : Update.Suspects) {
    idl::SuspectReport Suspect;
    Suspect.fingerprint = static_cast<std::int64_t>(Report.Fingerprint);
    if (Report.SucceededAgo)
      Suspect.__set_succeededAgoMs(Report.SucceededAgo->count());
    Suspect.rounds = static_cast<std::int32_t>(Report.Rounds);
    for (const crash_report &Row : Report.Crashes) {
      idl::CrashReport Crash;
      Crash.target = static_cast<std::int64_t>(Row.Target);
      Crash.sentAgoMs = Row.SentAgo.count();
      Crash.diedAgoMs = Row.CrashedAgo.count();
      Crash.alone = Row.Alone;
      Suspect.crashes.push_back(Crash);
    }
    To.suspects.push_back(std::move(Suspect));
  }
  Body.__set_quarantine(To);
}

quarantine_update readQuarantine(const idl::QuarantineNews &From) {
  quarantine_update Update;
  for (const idl::SuspectReport &Suspect : From.suspects) {
    suspect_report Report;
    Report.Fingerprint = static_cast<std::uint64_t>(Suspect.fingerprint);
    if (Suspect.__isset.succeededAgoMs)
      Report.SucceededAgo = readAge(Suspect.succeededAgoMs);
    Report.Rounds = readNumber<std::uint32_t>(Suspect.rounds);
    for (const idl::CrashReport &Crash : Suspect.crashes)
      Report.Crashes.push_back({static_cast<std::uint64_t>(Crash.target),
                                readAge(Crash.sentAgoMs),
                                readAge(Crash.diedAgoMs), Crash.alone});
    Update.Suspects.push_back(std::move(Report));
  }
  return Update;
}

} // namespace magnoliaspread
