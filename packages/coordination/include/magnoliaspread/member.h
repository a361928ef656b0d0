/// Gossip membership of one instance: which instances are alive in its own data
/// centre and in the others. No I/O and no clock: the caller passes in time and
/// received messages and sends the returned ones.
#ifndef MAGNOLIASPREAD_MEMBER_H
#define MAGNOLIASPREAD_MEMBER_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/membermsg.h>
#include <magnoliaspread/membertable.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace magnoliaspread {

inline constexpr std::chrono::milliseconds HeartbeatPeriod{1000};
/// Three periods plus network delay and jitter, so that two consecutive lost
/// heartbeats cause no suspicion.
inline constexpr std::chrono::milliseconds SuspectAfter{3300};
inline constexpr std::chrono::milliseconds DeadAfter{6000};
/// Dead rows stay in the table for this long so that late messages can't revive
/// them.
inline constexpr std::chrono::milliseconds DeadRowRetention{600000};
/// A data centre that sent no summary for this long counts as silent; longer if
/// two rounds of summaries take longer.
inline constexpr std::chrono::milliseconds SilentAfter{12000};
inline constexpr std::size_t SpeakersPerDataCentre = 2;

/// Possible address of an instance, from the platform's list or the settings.
/// Says nothing about whether the instance is alive.
struct seed_address {
  std::string DataCentre;
  endpoint_address Internal;

  bool operator==(const seed_address &) const = default;
};

/// This instance's view of another data centre.
struct data_centre_view {
  data_centre_summary Summary;
  /// No summary received for SilentAfter.
  bool Silent = true;
};

/// Events counted since the start, for metrics.
struct member_counts {
  std::uint64_t Joined = 0;
  std::uint64_t Died = 0;
  std::uint64_t Revived = 0;
  std::uint64_t StaleDropped = 0;
  std::uint64_t TableFull = 0;
  std::uint64_t Pauses = 0;
};

class membership {
public:
  /// \p Seed is for the random choice of peers and the jitter.
  membership(member_identity Self, std::uint64_t Seed, steady_time Now);

  /// Returns the messages that are due and updates row states by timeout. Call
  /// at least every 250 ms.
  outbox tick(steady_time Now);

  /// Processes one authenticated message from \p From; returns replies.
  outbox receive(steady_time Now, const endpoint_address &From,
                 const member_message &Message);

  /// Replaces the seed addresses; the own address is left out.
  void updateSeeds(std::vector<seed_address> Addresses);

  /// Removes data centres that aren't in \p Names, with their rows; call with
  /// those of the configuration in force.
  void retainDataCentres(const std::vector<std::string> &Names);

  /// Marks this instance as leaving; returns the messages that announce it.
  outbox leave(steady_time Now);

  /// The configuration in force has changed.
  void setConfig(steady_time Now, config_stamp Config);
  void setLoad(load_summary Load) { Own.Load = std::move(Load); }
  void setPlatformReachable(bool Reachable) {
    Own.PlatformReachable = Reachable;
  }

  /// A connection to the instance's internal address was refused: marks it dead
  /// until a later heartbeat arrives.
  void reportRefused(steady_time Now, std::string_view Name,
                     std::uint64_t Incarnation);

  /// This instance's own row.
  member_row self() const { return {Self, Own}; }

  /// Live instances of the own data centre except this one, including leaving
  /// ones.
  std::vector<member_row> liveLocalPeers() const;

  /// Instances of \p DataCentre that look-ups may return, including this one:
  /// alive and not suspect or leaving; none if the data centre is silent.
  std::vector<member_row> lookupInstances(steady_time Now,
                                          std::string_view DataCentre) const;

  /// True if \p Name is known and not dead, and its data centre isn't silent.
  bool isLive(steady_time Now, std::string_view Name) const;

  /// The row of \p Name in any data centre, whatever its state.
  std::optional<member_row> find(std::string_view Name) const;
  std::optional<member_row> findIncarnation(std::uint64_t Incarnation) const;

  /// All known data centres except the own one.
  std::vector<data_centre_view> dataCentres(steady_time Now) const;

  /// The speakers of \p DataCentre according to the local table.
  std::vector<member_row> speakers(std::string_view DataCentre) const;
  bool isSpeaker() const;

  /// The lowest configuration version in force on any instance not known dead,
  /// including this one. Silent data centres count with their last summary,
  /// since they may still run. 0 while one is unknown.
  std::uint64_t lowestVersion() const;

  /// When lowestVersion() reached \p Version; empty if it is lower.
  std::optional<steady_time> everywhereSince(std::uint64_t Version) const;

  /// Another process was started later under this instance's name: this one
  /// must stop.
  bool superseded() const { return Superseded; }

  /// Incarnations that certainly ended since the last call: their address
  /// refused a connection, or a later incarnation uses it.
  std::vector<std::uint64_t> takeEndedIncarnations() {
    return std::exchange(EndedIncarnations, {});
  }

  /// False for 2 s after a pause of this process, while its view is outdated.
  bool hasFreshView(steady_time Now) const { return Now >= ViewFreshAt; }

  const member_counts &counts() const { return Counts; }

private:
  struct summary_mark {
    std::uint64_t Speaker = 0;
    std::uint64_t Sequence = 0;
  };

  /// State of the exchange with one other data centre.
  struct remote_centre {
    std::string Name;
    data_centre_summary Summary;
    /// Last sequence by speaker, so that late summaries are dropped.
    std::array<summary_mark, 2 * SpeakersPerDataCentre> Marks;
    std::size_t NextMark = 0;
    /// Last summary received directly from the data centre.
    steady_time LastReceived;
    /// Sender of that summary.
    std::optional<endpoint_address> LastFrom;
    /// Last summary relayed by a local peer.
    steady_time LastRelayed;
    /// When a local speaker last reported the data centre silent.
    std::optional<steady_time> ReportedSilentAt;
    /// When a local speaker last reported it not silent, and which speaker.
    std::optional<steady_time> ReportedActiveAt;
    std::uint64_t ReportedActiveBy = 0;
    steady_time NextSummary;
    steady_time NextRequest;
    steady_time NextIntroduction;
    std::optional<steady_time> MismatchSince;
    std::uint32_t AnswersSinceMismatch = 0;
    std::uint32_t RequestCount = 0;
    std::uint32_t SummaryCount = 0;
    /// Heartbeats that will carry this changed summary ahead of others.
    std::uint32_t RelaysLeft = 0;
  };

  struct relayed_row {
    member_row Row;
    std::uint32_t TimesLeft = 0;
  };

  struct version_mark {
    std::uint64_t Version = 0;
    steady_time At;
  };

  void receiveHeartbeat(steady_time Now, const endpoint_address &From,
                        const heartbeat_message &Message, outbox &Out);
  void receiveSummary(steady_time Now, const endpoint_address &From,
                      const summary_message &Message, outbox &Out);
  void receiveRows(steady_time Now, const endpoint_address &From,
                   const rows_message &Message, outbox &Out);
  void receiveRequest(steady_time Now, const endpoint_address &From,
                      const rows_request &Message, outbox &Out);

  void applyHeartbeat(steady_time Now, member_entry &Entry,
                      const member_report &Report);
  void applySilenceReport(steady_time Now, const heartbeat_message &Message);
  static bool recordSequence(remote_centre &Centre,
                             const data_centre_summary &Summary);
  void applySummary(steady_time Now, const data_centre_summary &Summary,
                    bool Direct);
  void applyRow(steady_time Now, const endpoint_address &From,
                const member_row &Row, bool Relay, outbox &Out);
  bool mergeRow(steady_time Now, const member_row &Row, bool FromItself);
  bool mergeLocalPeer(steady_time Now, member_entry &Entry,
                      const member_row &Row);
  bool mergeRemote(steady_time Now, member_entry &Entry, const member_row &Row);
  bool addRow(steady_time Now, const member_row &Row, bool FromItself);
  void resolveNameConflict(steady_time Now, const member_row &Row);
  void recordEnded(std::uint64_t Incarnation);
  void markDead(steady_time Now, member_entry &Entry);
  void checkHash(steady_time Now, remote_centre &Centre);
  bool admitAnswer(steady_time Now, std::string_view DataCentre);

  void detectPause(steady_time Now);
  void age(steady_time Now);
  void ageLocalPeers(steady_time Now);
  void forgetDead(steady_time Now);
  void dropUnconfirmed(steady_time Now);
  void trackLowestVersion(steady_time Now);

  void sendHeartbeat(steady_time Now, outbox &Out);
  void sendRelays(outbox &Out);
  void sendSummaries(steady_time Now, outbox &Out);
  void sendSummary(steady_time Now, remote_centre &Centre, outbox &Out);
  void sendJoin(steady_time Now, outbox &Out);
  void sendRequests(steady_time Now, outbox &Out);
  void sendRequest(steady_time Now, remote_centre &Centre, outbox &Out);
  void appendRows(steady_time Now, std::string_view DataCentre,
                  const endpoint_address &To, bool Relayed, outbox &Out) const;
  void appendSummaries(const endpoint_address &To, outbox &Out) const;
  void expediteSummaries(steady_time Now);

  bool isOwn(const member_row &Row) const {
    return Row.Identity.DataCentre == Self.DataCentre;
  }
  bool isOverdue(steady_time Now, const remote_centre &Centre) const;
  bool isSilent(steady_time Now, const remote_centre &Centre) const;
  std::vector<endpoint_address> heartbeatAddresses();
  std::vector<std::string> silentCentres(steady_time Now) const;
  std::vector<data_centre_summary> summariesToRelay();
  std::vector<member_row> changedRows(steady_time Now) const;
  data_centre_summary ownSummary();
  std::uint64_t rowsHash(std::string_view DataCentre) const;
  remote_centre *findCentre(std::string_view Name);
  const remote_centre *findCentre(std::string_view Name) const;
  /// Null if the name can't be added.
  remote_centre *findOrAddCentre(steady_time Now, std::string_view Name);
  std::optional<endpoint_address> pickAddress(steady_time Now,
                                              remote_centre &Centre);
  std::optional<endpoint_address> pickLocalPeer();
  std::chrono::milliseconds summaryPeriod() const;
  std::size_t randomBelow(std::size_t Bound);

  member_identity Self;
  member_report Own;
  member_table Table;
  std::vector<remote_centre> Centres;
  std::vector<seed_address> Seeds;
  std::deque<relayed_row> Relays;
  std::deque<version_mark> LowestMarks;
  member_counts Counts;
  std::mt19937_64 Random;
  steady_time Started;
  steady_time ViewFreshAt;
  steady_time LastTick;
  steady_time LastHeartbeat;
  steady_time NextHeartbeat;
  steady_time NextAgeing;
  steady_time NextJoin;
  steady_time NextRequests;
  steady_time NextExpedite;
  std::optional<steady_time> SpeakerSince;
  std::optional<steady_time> LeftAt;
  steady_time AnswerWindowStart;
  std::size_t RowsAnswered = 0;
  std::uint64_t SummarySequence = 0;
  std::uint64_t HeartbeatCount = 0;
  std::size_t RelayCursor = 0;
  std::size_t SeedCursor = 0;
  std::vector<std::uint64_t> EndedIncarnations;
  bool ExpediteWanted = false;
  bool Superseded = false;
};

} // namespace magnoliaspread

#endif
