#include "quarantinestore_p.h"

#include <magnoliaspread/log.h>

#include <algorithm>
#include <boost/json.hpp>
#include <cstdio>
#include <iterator>

namespace magnoliaspread {

namespace json = boost::json;
using std::chrono::milliseconds;

namespace {

constexpr const char *Prefix = "quarantines/";
constexpr milliseconds RetryPause{2000};
/// Maximum reports that wait while the platform is unreachable.
constexpr std::size_t MaxUnsaved = 64;
/// Objects whose last crash is older than this are removed.
constexpr milliseconds ForgetAfter = std::chrono::hours(2);

std::int64_t msOf(wall_time Time) {
  return std::chrono::duration_cast<milliseconds>(Time.time_since_epoch())
      .count();
}

std::string hexOf(std::uint64_t Number) {
  char Text[17];
  std::snprintf(Text, sizeof(Text), "%016llx",
                static_cast<unsigned long long>(Number));
  return Text;
}

std::uint64_t numberOf(const json::value &Hex) {
  return std::stoull(std::string(Hex.as_string()), nullptr, 16);
}

/// Never negative, even when the wall clock was set back.
milliseconds ageOf(const json::value &At, wall_time Now) {
  return milliseconds(
      std::max<std::int64_t>(0, msOf(Now) - At.to_number<std::int64_t>()));
}

milliseconds lastCrashAgo(const suspect_report &Report) {
  milliseconds Shortest = milliseconds::max();
  for (const crash_report &Row : Report.Crashes)
    Shortest = std::min(Shortest, Row.CrashedAgo);
  return Shortest;
}

} // namespace

std::string encodeSuspect(const suspect_report &Report, wall_time Now) {
  json::array Crashes;
  for (const crash_report &Row : Report.Crashes)
    Crashes.push_back(json::object{{"target", hexOf(Row.Target)},
                                   {"sent_at_ms", msOf(Now - Row.SentAgo)},
                                   {"died_at_ms", msOf(Now - Row.CrashedAgo)},
                                   {"alone", Row.Alone}});
  return json::serialize(
      json::object{{"fingerprint", hexOf(Report.Fingerprint)},
                   {"rounds", Report.Rounds},
                   {"crashes", std::move(Crashes)}});
}

result<suspect_report> decodeSuspect(const std::string &Json, wall_time Now) {
  try {
    const json::value Value = json::parse(Json);
    suspect_report Report;
    Report.Fingerprint = numberOf(Value.at("fingerprint"));
    Report.Rounds = Value.at("rounds").to_number<std::uint32_t>();
    for (const json::value &Row : Value.at("crashes").as_array())
      Report.Crashes.push_back(
          {numberOf(Row.at("target")), ageOf(Row.at("sent_at_ms"), Now),
           ageOf(Row.at("died_at_ms"), Now), Row.at("alone").as_bool()});
    if (Report.Crashes.size() > MaxCrashReports)
      return error{error_kind::BadTable, "too many crashes", {}};
    return Report;
  } catch (const std::exception &Problem) {
    return error{error_kind::BadTable, Problem.what(), {}};
  }
}

void quarantine_store::save(const suspect_report &Report) {
  if (Unsaved.size() >= MaxUnsaved)
    return logEvent(log_level::Warning, "quarantine_not_kept",
                    {{"fingerprint", Report.Fingerprint},
                     {"detail", "too many reports wait for the platform"}});
  Unsaved.push_back({Prefix + hexOf(Report.Fingerprint),
                     encodeSuspect(Report, Clock.wall())});
  writeNext();
}

void quarantine_store::writeNext() {
  if (Saving || Unsaved.empty())
    return;
  Saving = true;
  Store.put({Unsaved.front().Name, Unsaved.front().Value, {}},
            [this](const result<put_answer> &Answer) {
              Saving = false;
              if (!failed(Answer)) {
                logEvent(log_level::Info, "quarantine_kept",
                         {{"object", Unsaved.front().Name}});
                noteSaved();
                return writeNext();
              }
              NextWrite = Clock.now() + RetryPause;
              logEvent(log_level::Warning, "quarantine_not_kept",
                       {{"object", Unsaved.front().Name},
                        {"detail", errorOf(Answer).Detail}});
            });
}

/// Moves the first unsaved object to the saved ones.
void quarantine_store::noteSaved() {
  std::erase_if(Saved, [&](const unsaved &Row) {
    return Row.Name == Unsaved.front().Name;
  });
  Saved.push_back(std::move(Unsaved.front()));
  Unsaved.pop_front();
  if (Saved.size() > MaxUnsaved)
    Saved.pop_front();
}

void quarantine_store::historyLost() {
  std::erase_if(Saved, [&](const unsaved &Old) {
    return std::any_of(
        Unsaved.begin(), Unsaved.end(),
        [&](const unsaved &Newer) { return Newer.Name == Old.Name; });
  });
  std::move(Saved.begin(), Saved.end(), std::back_inserter(Unsaved));
  Saved.clear();
  writeNext();
}

void quarantine_store::load() {
  LoadRequested = true;
  tick();
}

void quarantine_store::tick() {
  const steady_time Now = Clock.now();
  if (Now >= NextWrite)
    writeNext();
  if (!LoadRequested || Loaded || Loading || Now < NextLoad)
    return;
  Loading = true;
  Store.list({Prefix}, [this](const result<object_list> &Answer) {
    Loading = false;
    Loaded = !failed(Answer);
    if (Loaded)
      return applyList(valueOf(Answer));
    NextLoad = Clock.now() + RetryPause;
    logEvent(log_level::Warning, "quarantines_not_read",
             {{"detail", errorOf(Answer).Detail}});
  });
}

void quarantine_store::applyList(const object_list &List) {
  quarantine_update Update;
  for (const stored_object &Object : List.Objects) {
    result<suspect_report> Read = decodeSuspect(Object.Value, Clock.wall());
    if (failed(Read)) {
      logEvent(log_level::Warning, "quarantine_unreadable",
               {{"object", Object.Name}, {"detail", errorOf(Read).Detail}});
    } else if (lastCrashAgo(valueOf(Read)) >= ForgetAfter) {
      Store.remove(
          {Object.Name, Object.Version},
          [Name = Object.Name](const result<std::monostate> &Answer) {
            // Another instance may have removed it already.
            if (failed(Answer))
              logEvent(log_level::Info, "quarantine_not_removed",
                       {{"object", Name}, {"detail", errorOf(Answer).Detail}});
          });
    } else {
      Update.Suspects.push_back(std::move(valueOf(Read)));
    }
  }
  if (!Update.Suspects.empty())
    OnLoaded(Update);
}

} // namespace magnoliaspread
