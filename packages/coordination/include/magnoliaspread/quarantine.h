/// Finds requests that kill each target they run on, and refuses them for a
/// time. A death makes every request that was in flight on the target a
/// suspect, and a success clears it. What instances know of a suspect is merged
/// into one set of crashes, from which each derives the same verdict. Pure:
/// time is passed in.
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
  /// Crashes one after the other before a request is refused, if it was alone
  /// on one of the targets.
  std::uint32_t DeathsWhenAlone = 2;
  /// The same when it was never alone. A request that another one explains,
  /// which was in flight on all the same targets, isn't refused.
  std::uint32_t DeathsInCompany = 4;
  /// A suspect that isn't seen on a dying target again is forgotten.
  std::chrono::milliseconds SuspectTime{120000};
  /// First quarantine; each further crash makes it twice as long.
  std::chrono::milliseconds MinQuarantine{60000};
  std::chrono::milliseconds MaxQuarantine{600000};
  /// A request whose connection broke is charged with the death of its target
  /// if that is noticed in this time.
  std::chrono::milliseconds DoubtTime{10000};
  /// Targets are named by their starts: what one runs after its death, it runs
  /// on a later start, which may die again.
  bool TargetsRestart = false;
  std::size_t MaxSuspects = 4096;
  /// Targets kept free for suspects at once.
  std::size_t MaxIsolated = 1;
  /// Of the choice of peers.
  std::uint64_t Seed = 1;
};

/// News for some peers, by their places in the caller's list.
struct quarantine_telling {
  std::vector<std::size_t> To;
  quarantine_news News;
};

enum class placement : std::uint8_t {
  Any,
  /// On a target that runs nothing else and gets nothing else.
  Alone,
  /// Not now: another suspect is running alone. Not run.
  Later,
  Quarantined,
};

struct placement_decision {
  placement Placement = placement::Any;
  /// Earliest sensible repeat when it is not placed.
  std::chrono::milliseconds RetryAfter{0};
};

using attempt_id = std::uint64_t;

class quarantine {
public:
  explicit quarantine(const quarantine_settings &Settings)
      : Settings(Settings), Random(Settings.Seed) {}

  /// Where a request may run. Ask at each dispatch, right before started().
  placement_decision place(request_fingerprint Fingerprint, steady_time Now);

  /// An attempt's first byte goes to \p Target.
  void started(attempt_id Attempt, request_fingerprint Fingerprint,
               target_start Target, steady_time Now);

  /// The attempt ran to a good end.
  void succeeded(attempt_id Attempt, steady_time Now);

  /// A request of this fingerprint ran to a good end.
  void clear(request_fingerprint Fingerprint, steady_time Now);

  /// The attempt ended otherwise, and its target doesn't matter any more.
  void ended(attempt_id Attempt);

  /// The attempt has no answer: its target may turn out to have died. True when
  /// that is known already.
  bool lost(attempt_id Attempt, steady_time Now);

  /// The target's process died; its attempts end. Returns the fingerprints
  /// that are quarantined by it.
  std::vector<request_fingerprint> targetDied(target_start Target,
                                              steady_time Now);

  /// \p Died is over and its target serves as \p Started. The same return.
  std::vector<request_fingerprint>
  startedAgain(target_start Died, target_start Started, steady_time Now);

  /// Whether an attempt was lost on \p Target and its death isn't known.
  bool isInDoubt(target_start Target) const;

  /// What to tell now to which of \p Peers peers: to all what was seen here,
  /// and to a few by chance what may cost a target soon, whoever saw it. Call
  /// every few tens of milliseconds.
  std::vector<quarantine_telling> tell(std::size_t Peers, steady_time Now);

  /// What was seen here and not told yet, for every peer.
  quarantine_news takeSeen(steady_time Now);

  /// What is known of one suspect; nothing when it is none.
  std::optional<suspect_report> report(request_fingerprint Fingerprint,
                                       steady_time Now) const;

  /// Whether the last crash of a suspect was seen here.
  bool sawLastCrash(request_fingerprint Fingerprint) const;

  /// What an instance that has just started should know.
  quarantine_news current(steady_time Now) const;

  /// May come twice, late or over others.
  /// Returns the fingerprints that are quarantined by it.
  std::vector<request_fingerprint> merge(const quarantine_news &News,
                                         steady_time Now);

  std::size_t suspects() const { return Suspects.size(); }
  std::size_t quarantined(steady_time Now) const;

private:
  struct suspect {
    crash_evidence Evidence;
    /// Has crashes, or the success that clears them, that no peer was told of.
    bool Seen = false;
    /// Times that it is still passed on.
    int Tellings = 0;
    steady_time ToldAt;
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

  /// Rows of the table of successes, by fingerprint.
  static constexpr std::size_t SuccessRows = 4096;

  bool isAccused(request_fingerprint Fingerprint) const;
  bool isIsolated(request_fingerprint Fingerprint) const;
  bool isExplained(request_fingerprint Fingerprint,
                   const crash_evidence &Evidence) const;
  steady_time quarantinedUntil(request_fingerprint Fingerprint,
                               const crash_evidence &Evidence) const;
  bool isQuarantined(request_fingerprint Fingerprint, steady_time Now) const;
  steady_time forgetAt(request_fingerprint Fingerprint,
                       const crash_evidence &Evidence) const;
  void forgetExpired(steady_time Now);
  /// Null when the table is full of worse suspects.
  suspect *suspectFor(request_fingerprint Fingerprint, steady_time Now);
  void makeRoom(steady_time Now);
  void charge(const attempt &Attempt, bool Alone, steady_time Now);
  void noteDeath(target_start Target, steady_time At);
  std::vector<request_fingerprint> endAttemptsOn(target_start Target,
                                                 steady_time Now);
  /// The start that serves after those that are known to have died.
  target_start livingStart(target_start Target) const;
  void mergeReport(const suspect_report &Report, steady_time Now);
  void chargeLostOn(target_start Target, steady_time DiedAt, steady_time Now);
  suspect_report reportOf(request_fingerprint Fingerprint,
                          const suspect &Suspect, steady_time Now) const;
  quarantine_news newsOf(std::vector<request_fingerprint> Rows,
                         steady_time Now) const;
  std::vector<std::size_t> somePeers(std::size_t Peers, std::size_t Count);

  quarantine_settings Settings;
  std::mt19937_64 Random;
  std::unordered_map<request_fingerprint, suspect> Suspects;
  std::array<success, SuccessRows> Successes{};
  std::unordered_map<attempt_id, attempt> Attempts;
  std::unordered_map<request_fingerprint, std::size_t> InFlight;
  std::unordered_map<target_start, std::vector<attempt_id>> AttemptsByTarget;
  /// In the order in which they were lost; some have been charged since.
  std::deque<lost_attempt> Lost;
  /// Deaths of the last DoubtTime.
  std::map<target_start, steady_time> Deaths;
  /// Suspects that run alone on a target now.
  std::vector<request_fingerprint> Isolated;
  steady_time NextPassOn;
  steady_time NextRepeat;
};

} // namespace magnoliaspread

#endif
