/// Spreads the configuration: decides which version to accept, from which
/// peer to fetch a newer one, and when to ask the platform. The version in
/// force only rises. Fetching and validating are the caller's.
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
/// How long instances leave a fetch between data centres to their speakers.
inline constexpr std::chrono::milliseconds RemoteFetchDelay{2000};
/// Mean pause between two polls of the platform without a watch.
inline constexpr std::chrono::milliseconds PlatformPollPeriod{60000};
/// Same while the data centre's speakers don't reach the platform.
inline constexpr std::chrono::milliseconds PlatformStandInPollPeriod{5000};
/// Same for an instance that has no configuration yet.
inline constexpr std::chrono::milliseconds PlatformFirstPollPeriod{1000};

/// Where a configuration came from.
enum class config_source : std::uint8_t { Platform, Peer };

/// What to do with a configuration that was read.
enum class config_verdict : std::uint8_t {
  /// Validate it, then call putInForce() or reject().
  Accept,
  /// Already in force.
  Same,
  /// Lower than the version in force: ignored.
  Older,
  /// The version in force with other contents: ignored and counted.
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

/// The live mates and the speakers of other data centres, with what they
/// reported; for config_sync::setHolders().
std::vector<config_holder> configHolders(const membership &Members,
                                         steady_time Now);

/// True if a speaker of the own data centre reaches the platform.
bool speakersReachPlatform(const membership &Members);

/// True if this instance, a live mate or a data centre that isn't silent
/// reports that it reaches the platform; for config_sync::confirmCurrent().
bool fleetReachesPlatform(const membership &Members, steady_time Now);

/// Fetch the whole configuration from this peer, which has at least Config.
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

  /// Replaces what peers were last heard to hold.
  void setHolders(std::vector<config_holder> Holders);

  /// The fetch to begin now, if any; at most one runs at a time. One that
  /// isn't finished within FetchTimeout counts as failed. Every instance
  /// fetches from mates; \p Speaker ones also from other data centres at
  /// once, the rest only after RemoteFetchDelay.
  std::optional<config_fetch> nextFetch(steady_time Now, bool Speaker);

  /// The fetch from \p Peer ended without a configuration.
  void fetchFailed(steady_time Now, const std::string &Peer);

  /// A configuration was read, from the platform or a peer.
  config_verdict judge(steady_time Now, config_stamp Config,
                       config_source Source);

  /// \p Config has passed validation. False, with nothing changed, if it
  /// isn't higher than the version in force.
  bool putInForce(steady_time Now, config_stamp Config);

  /// \p Config has failed validation; it isn't fetched again.
  void reject(steady_time Now, config_stamp Config);

  config_stamp inForce() const { return InForce; }

  /// True when the platform has to be read without a watch: rarely, with
  /// jitter, as a backstop. A speaker holds a watch in place of polls.
  bool platformPollDue(steady_time Now, bool Speaker);

  /// Whether any speaker of the data centre reports that it reaches the
  /// platform; while none does, the others poll more often.
  void setSpeakersReach(steady_time Now, bool Reach);

  /// The platform answered, or a peer that reaches it reported: the version
  /// in force was current at \p Now.
  void confirmCurrent(steady_time Now) { LastConfirmed = Now; }

  /// How long nothing that reaches the platform has been heard from.
  std::chrono::milliseconds staleness(steady_time Now) const;

  const config_counts &counts() const { return Counts; }

private:
  struct fetch_failure {
    std::string Peer;
    steady_time RetryAt;
    std::chrono::milliseconds Backoff{FetchBackoffMin};
  };

  std::chrono::milliseconds pollPeriod() const;
  bool wanted(const config_stamp &Config) const;
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
  std::optional<config_fetch> Running;
  steady_time RunningSince;
  std::optional<steady_time> WantedSince;
  bool SpeakersReach = true;
  steady_time NextPoll;
  steady_time LastConfirmed;
  config_counts Counts;
};

} // namespace magnoliaspread

#endif
