/// Distributes the configuration: decides which version to accept, from which
/// peer to fetch a newer one, and when to poll the platform. The version in
/// force never decreases. The caller does the fetching and validating.
#ifndef MAGNOLIASPREAD_CONFSYNC_H
#define MAGNOLIASPREAD_CONFSYNC_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/membermsg.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace magnoliaspread {

inline constexpr std::chrono::milliseconds FetchTimeout{2000};
inline constexpr std::chrono::milliseconds FetchBackoffMin{200};
inline constexpr std::chrono::milliseconds FetchBackoffMax{5000};
/// How long other instances leave fetches between data centres to speakers.
inline constexpr std::chrono::milliseconds RemoteFetchDelay{2000};
/// Mean interval between polls of the platform without a watch.
inline constexpr std::chrono::milliseconds PlatformPollPeriod{60000};
/// The same while no speaker of the data centre reaches the platform.
inline constexpr std::chrono::milliseconds PlatformFallbackPollPeriod{5000};
/// The same for an instance without a configuration.
inline constexpr std::chrono::milliseconds PlatformFirstPollPeriod{1000};

/// Where a configuration came from.
enum class config_source : std::uint8_t { Platform, Peer };

/// Result of checking a configuration that was read.
enum class config_verdict : std::uint8_t {
  /// Newer: must be validated, then activated or rejected.
  Accept,
  /// Already in force.
  Same,
  /// Lower than the version in force: ignored.
  Older,
  /// The version in force with different contents: ignored and counted.
  Conflict,
  /// Failed validation before.
  Rejected,
};

/// An instance that has reported a configuration.
struct config_holder {
  std::string Name;
  endpoint_address Internal;
  bool SameDataCentre = false;
  config_stamp Config;
};

class membership;

/// The live local peers and the speakers of other data centres with the
/// configurations they reported; for config_sync::setHolders().
std::vector<config_holder> configHolders(const membership &Members,
                                         steady_time Now);

/// True if a speaker of the own data centre reports that it reaches the
/// platform.
bool speakersReachPlatform(const membership &Members);

/// True if this instance, a live local peer or a data centre that isn't silent
/// reports that it reaches the platform; for config_sync::confirmCurrent().
bool fleetReachesPlatform(const membership &Members, steady_time Now);

/// A fetch of the whole configuration from a peer, which has at least Config.
struct config_fetch {
  std::string Peer;
  endpoint_address From;
  config_stamp Config;
};

/// Events counted since the start, for metrics.
struct config_counts {
  std::uint64_t Accepted = 0;
  std::uint64_t OlderIgnored = 0;
  std::uint64_t Conflicts = 0;
  std::uint64_t Rejected = 0;
  std::uint64_t Fetches = 0;
  std::uint64_t FetchFailures = 0;
};

class config_sync {
public:
  config_sync(std::uint64_t Seed, steady_time Now);

  /// Replaces the last known configurations of peers.
  void setHolders(std::vector<config_holder> Holders);

  /// The fetch to start now, if any; at most one runs at a time. It fails after
  /// FetchTimeout. All instances fetch from local peers; a \p Speaker also from
  /// other data centres at once, the others only after RemoteFetchDelay.
  std::optional<config_fetch> nextFetch(steady_time Now, bool Speaker);

  /// The fetch from \p Peer failed.
  void fetchFailed(steady_time Now, const std::string &Peer);

  /// Checks a configuration that was read from the platform or a peer.
  config_verdict classify(steady_time Now, config_stamp Config,
                          config_source Source);

  /// Activates \p Config, which has passed validation. False, with nothing
  /// changed, if its version isn't higher than the one in force.
  bool activate(steady_time Now, config_stamp Config);

  /// \p Config has failed validation; it won't be fetched again.
  void reject(steady_time Now, config_stamp Config);

  config_stamp inForce() const { return InForce; }

  /// True if the platform must be polled: rarely and with jitter, as a fallback
  /// for watches. A speaker with a configuration watches instead.
  bool platformPollDue(steady_time Now, bool Speaker);

  /// Sets whether any speaker of the data centre reaches the platform; while
  /// none does, the other instances poll more often.
  void setSpeakersReach(steady_time Now, bool Reach);

  /// The version in force was confirmed current at \p Now, by the platform or
  /// by a report of a peer that reaches it.
  void confirmCurrent(steady_time Now) { LastConfirmed = Now; }

  /// Time since confirmCurrent().
  std::chrono::milliseconds staleness(steady_time Now) const;

  const config_counts &counts() const { return Counts; }

private:
  struct fetch_failure {
    std::string Peer;
    steady_time RetryAt;
    std::chrono::milliseconds Backoff{FetchBackoffMin};
  };

  std::chrono::milliseconds pollPeriod() const;
  bool isCandidate(const config_stamp &Config) const;
  bool wasRejected(const config_stamp &Config) const;
  bool backedOff(steady_time Now, const std::string &Peer) const;
  const config_holder *pickHolder(steady_time Now, bool RemoteToo);
  void expireFetch(steady_time Now);
  void endFetch();

  std::mt19937_64 Random;
  config_stamp InForce;
  std::vector<config_holder> Holders;
  std::vector<config_stamp> RejectedStamps;
  std::vector<fetch_failure> Failures;
  std::optional<config_fetch> RunningFetch;
  steady_time FetchStart;
  std::optional<steady_time> CandidateSince;
  bool SpeakersReachPlatform = true;
  steady_time NextPoll;
  steady_time LastConfirmed;
  config_counts Counts;
};

} // namespace magnoliaspread

#endif
