/// Finds requests that kill each target they run on, and refuses them for a
/// time. A death makes every request that was in flight on the target a
/// suspect. A suspect that succeeds is cleared; one that comes again is run
/// alone on a target, which tells it apart from requests that were only there.
/// Pure: time is passed in.
#ifndef MAGNOLIASPREAD_QUARANTINE_H
#define MAGNOLIASPREAD_QUARANTINE_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/error.h>
#include <magnoliaspread/handle.h>
#include <magnoliaspread/quarantinemsg.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace magnoliaspread {

/// Bytes of a body that count towards its request's fingerprint.
inline constexpr std::size_t FingerprintBodyBytes = 4096;

struct fingerprint_parts {
  std::string_view Workspace;
  std::string_view Method;
  /// Path and query.
  std::string_view Path;
  /// At most its first FingerprintBodyBytes count.
  std::string_view Body;
};

using request_fingerprint = std::uint64_t;

request_fingerprint fingerprintOf(const fingerprint_parts &Parts);

struct quarantine_settings {
  /// Distinct targets that died with the request in flight, one of them with
  /// no other request.
  std::uint32_t DeathsWhenAlone = 2;
  /// The same when it was never alone, but no other request was in flight on
  /// as many of them.
  std::uint32_t DeathsInCompany = 4;
  /// A suspect that isn't seen on a dying target again is forgotten.
  std::chrono::milliseconds SuspectTime{120000};
  /// First quarantine; each further one of the same request is twice as long.
  std::chrono::milliseconds MinQuarantine{60000};
  std::chrono::milliseconds MaxQuarantine{600000};
  std::size_t MaxSuspects = 4096;
  /// Targets kept free for suspects at once.
  std::size_t MaxIsolated = 1;
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
      : Settings(Settings) {}

  /// Where a request may run. Ask at each dispatch, right before started().
  placement_decision place(request_fingerprint Fingerprint, steady_time Now);

  /// An attempt's first byte goes to \p Target. Each target gets requests from
  /// one instance only, which so knows whether one is alone there.
  void started(attempt_id Attempt, request_fingerprint Fingerprint,
               target_handle Target);

  /// The target answered the attempt whole.
  void succeeded(attempt_id Attempt, steady_time Now);

  /// The attempt ended otherwise, its target still living.
  void ended(attempt_id Attempt);

  /// The target's process died; its attempts end. Returns the fingerprints
  /// that are quarantined by it.
  std::vector<request_fingerprint> targetDied(target_handle Target,
                                              steady_time Now);

  /// At most \p Limit notices of what this instance has seen itself, to tell
  /// every peer. Notices of others are not passed on, so that they end.
  std::vector<quarantine_notice> notices(std::size_t Limit, steady_time Now);

  /// May come twice or late. Deaths below the threshold make a suspect.
  void merge(const quarantine_notice &Notice, steady_time Now);

  std::size_t suspects() const { return Suspects.size(); }
  std::size_t quarantined(steady_time Now) const;

private:
  struct suspect {
    /// Distinct targets that died with it in flight here.
    std::vector<target_handle> DeadTargets;
    /// One of them ran no other request.
    bool DiedAlone = false;
    /// Deaths known otherwise: from peers, or from before a quarantine.
    std::uint32_t OtherDeaths = 0;
    /// It succeeded since; kept so that old notices don't accuse it again.
    bool Cleared = false;
    std::uint32_t Quarantines = 0;
    steady_time QuarantinedUntil;
    /// The same for what this instance decided itself.
    steady_time OwnUntil;
    steady_time ForgetAt;
  };

  struct attempt {
    request_fingerprint Fingerprint = 0;
    target_handle Target;
  };

  bool isAccused(request_fingerprint Fingerprint) const;
  bool isIsolated(request_fingerprint Fingerprint) const;
  void forgetExpired(steady_time Now);
  /// Null when the table is full of quarantined rows.
  suspect *suspectFor(request_fingerprint Fingerprint, steady_time Now);
  void makeRoom(steady_time Now);
  void accuse(suspect &Suspect, target_handle Target, bool Alone,
              steady_time Now) const;
  std::vector<request_fingerprint> endAttemptsOn(target_handle Target);
  std::size_t
  mostDeathsBeside(request_fingerprint Fingerprint,
                   const std::vector<request_fingerprint> &All) const;
  bool isGuilty(const suspect &Suspect, std::size_t MostBeside) const;
  void sentence(suspect &Suspect, steady_time Now) const;
  void clear(request_fingerprint Fingerprint, steady_time Now);

  quarantine_settings Settings;
  std::unordered_map<request_fingerprint, suspect> Suspects;
  std::unordered_map<attempt_id, attempt> Attempts;
  std::unordered_map<request_fingerprint, std::size_t> InFlight;
  /// By Index of the target.
  std::unordered_map<std::uint16_t, std::vector<attempt_id>> AttemptsByTarget;
  /// Suspects that run alone on a target now.
  std::vector<request_fingerprint> Isolated;
};

} // namespace magnoliaspread

#endif
