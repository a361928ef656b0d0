/// Detects requests that crash the targets they run on, and quarantines them.
/// When a target crashes, every request in flight on it becomes a suspect; a
/// success clears it. Instances exchange and merge the crashes of each suspect,
/// so that all reach the same verdict. Pure: time is passed in.
#ifndef MAGNOLIASPREAD_QUARANTINE_H
#define MAGNOLIASPREAD_QUARANTINE_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/crashevidence.h>
#include <magnoliaspread/quarantinemsg.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace magnoliaspread {

struct fingerprint_parts {
  std::string_view Workspace;
  std::string_view Method;
  /// Path and query.
  std::string_view Path;
  std::string_view Body;
};

using request_fingerprint = std::uint64_t;

request_fingerprint fingerprintOf(const fingerprint_parts &Parts);

struct quarantine_settings {
  /// Successive crashes before a request is refused, if it ran alone on at
  /// least one of the targets.
  std::uint32_t CrashesIfAlone = 2;
  /// The same if it never ran alone. A request isn't refused if another suspect
  /// was in flight on all the same targets.
  std::uint32_t CrashesIfShared = 4;
  /// A suspect without a further crash is forgotten after this.
  std::chrono::milliseconds SuspectTime{120000};
  /// First quarantine; doubles with each further crash.
  std::chrono::milliseconds MinQuarantine{60000};
  std::chrono::milliseconds MaxQuarantine{600000};
  /// A request whose connection broke becomes a suspect if the crash of its
  /// target is detected within this time.
  std::chrono::milliseconds AttributionWindow{10000};
  /// Targets restart under the same name: attempts sent after a crash run on a
  /// later start, which may crash again.
  bool TargetsRestart = false;
  std::size_t MaxSuspects = 4096;
  /// Suspects that may run isolated on a target at the same time.
  std::size_t MaxIsolated = 1;
  /// For the random choice of peers.
  std::uint64_t Seed = 1;
};

/// An update and its receivers, as indexes into the caller's list of peers.
struct quarantine_message {
  std::vector<std::size_t> To;
  quarantine_update Update;
};

enum class placement : std::uint8_t {
  Any,
  /// On a target that runs nothing else meanwhile.
  Alone,
  /// Not run yet: another suspect is running alone.
  Later,
  Quarantined,
};

struct placement_decision {
  placement Placement = placement::Any;
  /// When to try again, for Later and Quarantined.
  std::chrono::milliseconds RetryAfter{0};
};

using attempt_id = std::uint64_t;

class quarantine {
public:
  explicit quarantine(const quarantine_settings &Settings)
      : Settings(Settings), Random(Settings.Seed) {}

  /// Where a request may run. Call for each dispatch, right before started().
  placement_decision place(request_fingerprint Fingerprint, steady_time Now);

  /// The first byte of an attempt is sent to \p Target.
  void started(attempt_id Attempt, request_fingerprint Fingerprint,
               target_start Target, steady_time Now);

  /// The attempt succeeded.
  void succeeded(attempt_id Attempt, steady_time Now);

  /// A request with this fingerprint succeeded.
  void clear(request_fingerprint Fingerprint, steady_time Now);

  /// The attempt ended otherwise; a later crash of its target doesn't count.
  void ended(attempt_id Attempt);

  /// The attempt got no answer, so its target may have crashed. True if the
  /// crash is known already.
  bool lost(attempt_id Attempt, steady_time Now);

  /// The target's process crashed; ends its attempts. Returns the newly
  /// quarantined fingerprints.
  std::vector<request_fingerprint> targetCrashed(target_start Target,
                                                 steady_time Now);

  /// The target that ran as \p Crashed runs as \p Started now. Returns the
  /// newly quarantined fingerprints.
  std::vector<request_fingerprint>
  targetRestarted(target_start Crashed, target_start Started, steady_time Now);

  /// Whether an attempt was lost on \p Target, whose crash isn't confirmed.
  bool mayHaveCrashed(target_start Target) const;

  /// Messages due now for \p Peers peers: local crashes go to all of them;
  /// suspects close to quarantine or in it, also those reported by peers, go to
  /// a few random ones. Call every few tens of milliseconds.
  std::vector<quarantine_message> pendingMessages(std::size_t Peers,
                                                  steady_time Now);

  /// Local crashes and successes that were not sent yet, for every peer.
  quarantine_update takeUnsentUpdate(steady_time Now);

  /// Empty if the fingerprint is no suspect.
  std::optional<suspect_report> report(request_fingerprint Fingerprint,
                                       steady_time Now) const;

  /// Whether this instance observed the last crash of the suspect.
  bool isLastCrashLocal(request_fingerprint Fingerprint) const;

  /// Snapshot for an instance that has just started.
  quarantine_update current(steady_time Now) const;

  /// Updates may be duplicated, late or relayed.
  /// Returns the newly quarantined fingerprints.
  std::vector<request_fingerprint> merge(const quarantine_update &Update,
                                         steady_time Now);

  std::size_t suspects() const { return Suspects.size(); }
  std::size_t quarantined(steady_time Now) const;

private:
  struct suspect {
    crash_evidence Evidence;
    /// Has local crashes, or a local success that cleared some, to be sent.
    bool HasUnsent = false;
    int ForwardsLeft = 0;
    steady_time LastSentAt;
  };

  struct attempt {
    request_fingerprint Fingerprint = 0;
    target_start Target = 0;
    steady_time SentAt;
    std::optional<steady_time> LostAt;
  };

  struct lost_attempt {
    attempt_id Id = 0;
    steady_time At;
  };

  struct success {
    request_fingerprint Fingerprint = 0;
    steady_time At;
  };

  /// Slots for recent successes, by fingerprint.
  static constexpr std::size_t SuccessSlots = 4096;

  bool hasCrashes(request_fingerprint Fingerprint) const;
  bool isIsolated(request_fingerprint Fingerprint) const;
  bool isExplained(request_fingerprint Fingerprint,
                   const crash_evidence &Evidence) const;
  steady_time quarantinedUntil(request_fingerprint Fingerprint,
                               const crash_evidence &Evidence) const;
  bool isQuarantined(request_fingerprint Fingerprint, steady_time Now) const;
  steady_time expiryOf(request_fingerprint Fingerprint,
                       const crash_evidence &Evidence) const;
  void forgetExpired(steady_time Now);
  /// Null if the table is full of suspects closer to quarantine.
  suspect *findOrAddSuspect(request_fingerprint Fingerprint, steady_time Now);
  void evictOne(steady_time Now);
  void recordCrash(const attempt &Attempt, bool Alone, steady_time Now);
  void recordCrashTime(target_start Target, steady_time At);
  std::vector<request_fingerprint> endAttemptsOn(target_start Target,
                                                 steady_time Now);
  /// The first start from \p Target on that isn't known to have crashed.
  target_start liveStart(target_start Target) const;
  void mergeReport(const suspect_report &Report, steady_time Now);
  void attributeLostAttempts(target_start Target, steady_time CrashedAt,
                             steady_time Now);
  suspect_report reportOf(request_fingerprint Fingerprint,
                          const suspect &Suspect, steady_time Now) const;
  quarantine_update updateOf(std::vector<request_fingerprint> Rows,
                             steady_time Now) const;
  std::vector<std::size_t> randomPeers(std::size_t Peers, std::size_t Count);

  quarantine_settings Settings;
  std::mt19937_64 Random;
  std::unordered_map<request_fingerprint, suspect> Suspects;
  std::array<success, SuccessSlots> Successes{};
  std::unordered_map<attempt_id, attempt> Attempts;
  std::unordered_map<request_fingerprint, std::size_t> InFlight;
  std::unordered_map<target_start, std::vector<attempt_id>> AttemptsByTarget;
  /// In the order in which they were lost; some have ended since.
  std::deque<lost_attempt> Lost;
  /// Crashes of targets within the last AttributionWindow.
  std::map<target_start, steady_time> CrashTimes;
  /// Suspects in flight, each to run alone on its target.
  std::vector<request_fingerprint> Isolated;
  steady_time NextForward;
  steady_time NextResend;
};

} // namespace magnoliaspread

#endif
