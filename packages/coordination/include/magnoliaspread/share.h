/// Leases on the quota shares of one data centre. They are renewed by
/// conditional writes to the platform or, while it is down, by promises of the
/// local peers not to take the shares over. Does no I/O: the caller passes in
/// the time and results, and performs the returned operations.
#ifndef MAGNOLIASPREAD_SHARE_H
#define MAGNOLIASPREAD_SHARE_H

#include <magnoliaspread/plan.h>
#include <magnoliaspread/sharemsg.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <unordered_set>
#include <vector>

namespace magnoliaspread {

/// Maximum life of a token that was lent or made available to traffic threads.
inline constexpr std::chrono::milliseconds TokenLife{2000};
/// Local peers that may take over the share of an unresponsive holder.
inline constexpr std::size_t RosterSize = 3;

struct share_settings {
  std::string Name;
  /// Random at each start; never 0.
  std::uint64_t Incarnation = 0;
  std::chrono::milliseconds LeaseTtl{10000};
  /// Added before a takeover to allow for clock drift.
  std::chrono::milliseconds LeaseMargin{1000};
  /// A platform operation without a result for this long has failed.
  std::chrono::milliseconds OperationTimeout{2000};
  std::uint64_t Seed = 0;
};

/// Events counted since the start, for metrics.
struct share_counts {
  std::uint64_t Renewed = 0;
  std::uint64_t Acquired = 0;
  std::uint64_t Released = 0;
  /// Leases that expired here or were found to have another holder.
  std::uint64_t Lost = 0;
  std::uint64_t PromisesGiven = 0;
  std::uint64_t PromisesRefused = 0;
};

class share_lease_manager {
public:
  share_lease_manager(share_settings Settings, steady_time Now);

  /// Live instances of the data centre, without this one.
  void setLocalPeers(std::vector<process_identity> NewLocalPeers);

  /// Sets how the data centre's part of the limits is split; lower versions are
  /// ignored.
  void setSplit(const share_split &Split) { Plan.apply(Split); }

  /// Reports that every instance has \p Version or a newer one in force.
  void confirmEverywhere(std::uint64_t Version, steady_time Now) {
    Plan.confirmEverywhere(Version, Now);
  }

  /// Reports that an incarnation has certainly ended: its address refused a
  /// connection, a later incarnation answers there, or an operator declared it.
  void declareDead(std::uint64_t Incarnation, steady_time Now);

  /// Releases all shares and acquires no more.
  void leave() { Leaving = true; }

  /// Returns the operations and messages that are due.
  share_actions tick(steady_time Now);

  void finishRead(const share_read_result &Result, steady_time Now);
  void finishWrite(const share_write_result &Result, steady_time Now);

  promise_reply answer(const promise_request &Request, steady_time Now);
  void accept(const promise_reply &Reply, steady_time Now);

  /// Shares that this instance mints now or from a later MintsFrom. The result
  /// stays valid: each share carries the time at which minting must stop.
  std::vector<minted_share> minted(steady_time Now) const;

  /// Number of shares whose record names this process as the holder.
  std::size_t heldCount() const;

  /// Whether the last platform operation was answered.
  bool platformReachable() const { return PlatformReachable; }

  const share_counts &counts() const { return Counts; }

  /// Pinned shares are taken over only after a release or when the holder is
  /// known to be dead, and are minted even if neither the platform nor the
  /// local peers respond.
  static bool pinned(std::uint16_t Index) { return Index % 2 == 1; }

private:
  /// A peer whose promise is needed while the platform doesn't answer.
  struct required_promise {
    process_identity Peer;
    /// Send time of the newest request that it answered with a promise, or of
    /// the first write with it in the roster.
    steady_time PromisedAt;
  };

  struct sent_write {
    std::uint64_t Ticket = 0;
    steady_time SentAt;
    share_record Record;
  };

  struct share_row {
    std::uint16_t Index = 0;
    bool Known = false;
    std::uint64_t Version = 0;
    share_record Record;
    /// When the current version was first seen.
    steady_time SeenAt;
    std::uint64_t ReadTicket = 0;
    steady_time ReadSentAt;
    /// Send time of the last read that was answered.
    steady_time LastReadSentAt;
    steady_time NextRead;
    /// The record must be read before it is written again.
    bool MustRead = false;
    std::uint64_t WriteTicket = 0;
    /// When the lease is due for renewal.
    steady_time NextWrite;
    /// No write before this time, after a failed one.
    steady_time RetryAt;
    /// Writes that may still take effect.
    std::vector<sent_write> Unresolved;
    bool Held = false;
    bool Releasing = false;
    /// Send time of the last write that is known to have succeeded.
    steady_time ConfirmedAt;
    steady_time MintsFrom;
    /// Upper bound on the fraction, from the record that was taken over.
    std::uint32_t RecordedPpm = 0;
    std::vector<required_promise> RequiredPromises;
    /// Send time of the oldest required promise.
    std::optional<steady_time> OldestPromiseAt;
    /// The lease has expired.
    bool Lapsed = false;
    steady_time NextPromise;
    /// This process promised not to take the share over before this time.
    steady_time NoTakeoverUntil;
    /// When the share became free to acquire, plus jitter.
    std::optional<steady_time> AcquireAt;
  };

  struct sent_request {
    std::uint64_t Sequence;
    steady_time SentAt;
  };

  bool isSelf(const process_identity &Process) const;
  bool isDead(const process_identity &Process) const;
  bool readsFrequently(const share_row &Row) const;
  void addShareRows();
  void expireOperations(share_row &Row, steady_time Now);
  void applyRecord(share_row &Row, std::uint64_t Version,
                   const share_record &Record, steady_time Now);
  void applyOwnRecord(share_row &Row, steady_time Now);
  void applyMissing(share_row &Row);
  void dropShare(share_row &Row);
  void resetRequiredPromises(share_row &Row, steady_time SentAt);
  void addRequiredPromises(share_row &Row,
                           const std::vector<process_identity> &Roster,
                           steady_time SentAt);
  void updateOldestPromise(share_row &Row);
  steady_time mintsUntil(const share_row &Row) const;

  void tickHeld(share_row &Row, steady_time Now, share_actions &Actions);
  void tickNotHeld(share_row &Row, steady_time Now, share_actions &Actions);
  void releaseSurplus(steady_time Now);
  bool canAcquire(const share_row &Row, steady_time Now) const;
  bool holderUnresponsive(const share_row &Row, steady_time Now) const;
  std::size_t fairShareCount() const;
  std::chrono::milliseconds acquireDelay() const;
  void startRead(share_row &Row, steady_time Now, share_actions &Actions);
  void startWrite(share_row &Row, steady_time Now, lease_state State,
                  share_actions &Actions);
  void requestPromises(steady_time Now, share_actions &Actions);
  std::vector<process_identity> roster(std::uint16_t Index) const;
  std::chrono::milliseconds jitter(std::chrono::milliseconds Max);

  share_settings Settings;
  share_plan Plan{TokenLife};
  std::vector<process_identity> LocalPeers;
  std::unordered_set<std::uint64_t> Dead;
  std::vector<share_row> Rows;
  std::vector<sent_request> SentRequests;
  std::mt19937_64 Random;
  std::uint64_t LastTicket = 0;
  std::uint64_t LastRenewal = 0;
  std::uint64_t LastRequestSequence = 0;
  steady_time NextSurplusCheck;
  bool Leaving = false;
  bool PlatformReachable = false;
  share_counts Counts;
};

} // namespace magnoliaspread

#endif
