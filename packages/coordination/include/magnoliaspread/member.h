/// Membership of one instance: who is alive in its own data centre and in the
/// others. Holds no socket, reads no clock: time and messages go in, messages
/// and views come out.
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
/// Three periods and the delay and jitter of a heartbeat, so that two lost in
/// a row raise no suspicion.
inline constexpr std::chrono::milliseconds SuspectAfter{3300};
inline constexpr std::chrono::milliseconds DeadAfter{6000};
/// How long a dead row is kept so that late messages can't revive it.
inline constexpr std::chrono::milliseconds DeadHold{600000};
/// A data centre that sent no summary for this long counts as silent; longer
/// where a round of summaries takes longer.
inline constexpr std::chrono::milliseconds SilentAfter{12000};
inline constexpr std::size_t SpeakersPerDataCentre = 2;

/// Where an instance may be found: from the platform's list or the settings.
/// Proof of neither life nor death.
struct seed_address {
  std::string DataCentre;
  endpoint_address Internal;

  bool operator==(const seed_address &) const = default;
};

/// Another data centre as this instance knows it.
struct data_centre_view {
  data_centre_summary Summary;
  /// Nothing has been heard from it for SilentAfter.
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
  /// \p Seed feeds the choice of peers and the jitter.
  membership(member_identity Self, std::uint64_t Seed, steady_time Now);

  /// Sends what is due and ages the rows. Call at least every 250 ms.
  outbox tick(steady_time Now);

  /// Takes in one authentic message that came from \p From.
  outbox receive(steady_time Now, const endpoint_address &From,
                 const member_message &Message);

  /// Replaces the seed addresses.
  void seed(std::vector<seed_address> Addresses);

  /// Forgets data centres that aren't named; call with the data centres of
  /// the configuration in force.
  void retainDataCentres(const std::vector<std::string> &Names);

  /// Marks this instance as leaving and tells everyone at once.
  outbox leave(steady_time Now);

  /// The configuration in force has changed.
  void setConfig(steady_time Now, config_stamp Config);
  void setLoad(load_summary Load) { Own.Load = Load; }
  void setPlatformReachable(bool Reachable) {
    Own.PlatformReachable = Reachable;
  }

  /// A connection to the instance's internal address was refused: it is dead
  /// unless it is heard again.
  void reportRefused(steady_time Now, std::string_view Name,
                     std::uint64_t Incarnation);

  /// This instance's own row.
  member_row self() const { return {Self, Own}; }

  /// Live mates of the own data centre, leaving ones too, without this one.
  std::vector<member_row> matesAlive() const;

  /// Instances of \p DataCentre that look-ups may name, this one included:
  /// neither suspect, leaving nor dead; none of a silent data centre.
  std::vector<member_row> lookupInstances(steady_time Now,
                                          std::string_view DataCentre) const;

  /// The row of \p Name in any data centre, whatever its state.
  std::optional<member_row> find(std::string_view Name) const;
  std::optional<member_row> findIncarnation(std::uint64_t Incarnation) const;

  /// Every known data centre but the own one.
  std::vector<data_centre_view> dataCentres(steady_time Now) const;

  /// The speakers of \p DataCentre, as far as known here.
  std::vector<member_row> speakers(std::string_view DataCentre) const;
  bool isSpeaker() const;

  /// The lowest configuration version that any instance not known dead has in
  /// force, this one included. Silent data centres count with their last
  /// summary, since they may still run. 0 while one is unknown.
  std::uint64_t lowestVersion() const;

  /// Since when lowestVersion() has been at least \p Version; empty if it
  /// isn't.
  std::optional<steady_time> everywhereSince(std::uint64_t Version) const;

  /// Another process was started later under this instance's name: this one
  /// has to stop.
  bool superseded() const { return Superseded; }

  /// Incarnations that have certainly ended since the last call: their address
  /// refused a connection, or a later incarnation answers there.
  std::vector<std::uint64_t> takeEnded() { return std::exchange(Ended, {}); }

  /// False for a while after a pause of this process, when its view of others
  /// is old.
  bool settled(steady_time Now) const { return Now >= SettledAt; }

  const member_counts &counts() const { return Counts; }

private:
  struct summary_mark {
    std::uint64_t Speaker = 0;
    std::uint64_t Sequence = 0;
  };

  /// State of the exchange with one other data centre.
  struct peer_centre {
    std::string Name;
    data_centre_summary Summary;
    /// Newest summaries taken, by speaker, so that late ones are dropped.
    std::array<summary_mark, 2 * SpeakersPerDataCentre> Marks;
    std::size_t NextMark = 0;
    /// Last summary that came from the data centre itself.
    steady_time LastHeard;
    /// Where that came from.
    std::optional<endpoint_address> LastFrom;
    /// Last summary that a mate passed on.
    steady_time LastRelayed;
    /// When a speaker last said that the data centre is silent.
    std::optional<steady_time> SaidSilentAt;
    /// When one last said that it isn't, and which.
    std::optional<steady_time> SaidHeardAt;
    std::uint64_t SaidHeardBy = 0;
    steady_time NextSummary;
    steady_time NextRequest;
    steady_time NextIntroduction;
    std::optional<steady_time> MismatchSince;
    std::uint32_t AnswersSinceMismatch = 0;
    std::uint32_t RequestCount = 0;
    std::uint32_t SummaryCount = 0;
    /// Heartbeats that carry this summary before others.
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

  void takeHeartbeat(steady_time Now, member_entry &Entry,
                     const member_report &Report);
  void takeSilence(steady_time Now, const heartbeat_message &Message);
  static bool isNews(peer_centre &Centre, const data_centre_summary &Summary);
  void takeSummary(steady_time Now, const data_centre_summary &Summary,
                   bool Direct);
  void takeRow(steady_time Now, const endpoint_address &From,
               const member_row &Row, bool Relay, outbox &Out);
  bool mergeRow(steady_time Now, const member_row &Row, bool FromItself);
  bool mergeMate(steady_time Now, member_entry &Entry, const member_row &Row);
  bool mergeRemote(steady_time Now, member_entry &Entry, const member_row &Row);
  bool addRow(steady_time Now, const member_row &Row, bool FromItself);
  void meetOwnName(steady_time Now, const member_row &Row);
  void noteEnded(std::uint64_t Incarnation);
  void markDead(steady_time Now, member_entry &Entry);
  void checkHash(steady_time Now, peer_centre &Centre);
  bool mayAnswer(steady_time Now, std::string_view DataCentre);

  void noticePause(steady_time Now);
  void age(steady_time Now);
  void ageMates(steady_time Now);
  void forgetDead(steady_time Now);
  void dropUnconfirmed(steady_time Now);
  void trackLowest(steady_time Now);

  void sendHeartbeat(steady_time Now, outbox &Out);
  void sendRelays(outbox &Out);
  void sendSummaries(steady_time Now, outbox &Out);
  void sendSummary(steady_time Now, peer_centre &Centre, outbox &Out);
  void sendJoin(steady_time Now, outbox &Out);
  void sendRequests(steady_time Now, outbox &Out);
  void sendRequest(steady_time Now, peer_centre &Centre, outbox &Out);
  void appendRows(steady_time Now, std::string_view DataCentre,
                  const endpoint_address &To, bool Relayed, outbox &Out) const;
  void appendSummaries(const endpoint_address &To, outbox &Out) const;
  void hurrySummaries(steady_time Now);

  bool isOwn(const member_row &Row) const {
    return Row.Identity.DataCentre == Self.DataCentre;
  }
  bool isUnheard(steady_time Now, const peer_centre &Centre) const;
  bool isSilent(steady_time Now, const peer_centre &Centre) const;
  std::vector<endpoint_address> heartbeatAddresses();
  std::vector<std::string> silentCentres(steady_time Now) const;
  std::vector<data_centre_summary> summariesToRelay();
  std::vector<member_row> changedRows(steady_time Now) const;
  data_centre_summary ownSummary();
  std::uint64_t rowsHash(std::string_view DataCentre) const;
  peer_centre *centre(std::string_view Name);
  const peer_centre *centre(std::string_view Name) const;
  /// Null for a name that can't be added.
  peer_centre *centreOrNew(steady_time Now, std::string_view Name);
  std::optional<endpoint_address> pickAddress(steady_time Now,
                                              peer_centre &Centre);
  std::optional<endpoint_address> pickMate();
  std::chrono::milliseconds summaryPeriod() const;
  std::size_t randomBelow(std::size_t Bound);

  member_identity Self;
  member_report Own;
  member_table Table;
  std::vector<peer_centre> Centres;
  std::vector<seed_address> Seeds;
  std::deque<relayed_row> Relays;
  std::deque<version_mark> LowestMarks;
  member_counts Counts;
  std::mt19937_64 Random;
  steady_time Started;
  steady_time SettledAt;
  steady_time LastTick;
  steady_time LastHeartbeat;
  steady_time NextHeartbeat;
  steady_time NextAgeing;
  steady_time NextJoin;
  steady_time NextRequests;
  steady_time NextHurry;
  std::optional<steady_time> SpeakerSince;
  std::optional<steady_time> LeftAt;
  steady_time AnswersRenewed;
  std::size_t RowsAnswered = 0;
  std::uint64_t SummarySequence = 0;
  std::uint64_t HeartbeatCount = 0;
  std::size_t RelayCursor = 0;
  std::size_t SeedCursor = 0;
  std::vector<std::uint64_t> Ended;
  bool HurryWanted = false;
  bool Superseded = false;
};

} // namespace magnoliaspread

#endif
