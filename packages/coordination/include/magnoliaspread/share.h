/// Leases on the quota shares of one data centre, held through conditional
/// writes to the platform, or by promises of the mates while it is down.
/// Does no I/O: ticks and results go in, operations and messages come out.
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

/// Longest life of a token that was lent or handed to a traffic thread.
inline constexpr std::chrono::milliseconds TokenLife{2000};
/// Mates that may take a silent holder's share.
inline constexpr std::size_t TakersPerShare = 3;

struct share_settings {
  std::string Name;
  /// Random at each start; never 0.
  std::uint64_t Incarnation = 0;
  std::chrono::milliseconds LeaseTtl{10000};
  /// Added by takers for differences between clock rates.
  std::chrono::milliseconds LeaseMargin{1000};
  /// An operation without a result for this long counts as failed.
  std::chrono::milliseconds OperationTimeout{2000};
  std::uint64_t Seed = 0;
};

/// Events counted since the start, for metrics.
struct share_counts {
  std::uint64_t Renewed = 0;
  std::uint64_t Acquired = 0;
  std::uint64_t Released = 0;
  /// Leases that ran out here or were found with another holder.
  std::uint64_t Lost = 0;
  std::uint64_t PromisesGiven = 0;
  std::uint64_t PromisesRefused = 0;
};

class share_keeper {
public:
  share_keeper(share_settings Settings, steady_time Now);

  /// Live mates of the data centre, without this instance.
  void setMates(std::vector<share_mate> Mates);

  /// The cut of the data centre's part; versions only rise.
  void setCut(const share_cut &Cut) { Plan.apply(Cut); }

  /// Every instance has \p Version or a newer one in force.
  void confirmEverywhere(std::uint64_t Version, steady_time Now) {
    Plan.confirmEverywhere(Version, Now);
  }

  /// That incarnation has certainly ended: its address refused a connection,
  /// a later incarnation answers there, or an operator declared it.
  void declareDead(std::uint64_t Incarnation, steady_time Now);

  /// Releases every share; none is taken any more.
  void leave() { Leaving = true; }

  /// Operations and messages that are due.
  share_actions tick(steady_time Now);

  void finishRead(const share_read_result &Result, steady_time Now);
  void finishWrite(const share_write_result &Result, steady_time Now);

  promise_reply answer(const promise_request &Request, steady_time Now);
  void accept(const promise_reply &Reply, steady_time Now);

  /// Shares that this instance mints now or will after MintsFrom. Without a
  /// new call it stays right, since each carries the time that it ends.
  std::vector<minted_share> minted(steady_time Now) const;

  /// Shares whose record names this process as holder.
  std::size_t heldCount() const;

  /// True when the last platform operation was answered.
  bool platformAnswers() const { return PlatformAnswers; }

  const share_counts &counts() const { return Counts; }

  /// Pinned shares are taken over only by proof of death or after a release,
  /// and are minted also while the platform and the mates are silent.
  static bool pinned(std::uint16_t Index) { return Index % 2 == 1; }

private:
  /// A mate whose promise is needed while the platform doesn't answer.
  struct confirmer {
    share_mate Mate;
    /// Send time of the newest request that it answered with a promise, or of
    /// the first write that named it as a taker.
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
    /// When the present version was first seen.
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
    /// No write before, after one that failed.
    steady_time RetryAt;
    /// Writes that may still take effect.
    std::vector<sent_write> Unresolved;
    bool Held = false;
    bool Releasing = false;
    /// Send time of the last write that is known to have succeeded.
    steady_time ConfirmedAt;
    steady_time MintsFrom;
    /// Bound on the fraction, from the record that was taken over.
    std::uint32_t RecordedPpm = 0;
    std::vector<confirmer> Confirmers;
    /// Send time of the oldest promise that counts.
    std::optional<steady_time> PromisedAt;
    bool Lapsed = false;
    steady_time NextPromise;
    /// This process will not take the share in silence before.
    steady_time PromisedUntil;
    /// Since when the share may be taken, with a random part.
    std::optional<steady_time> TakeAt;
  };

  struct sent_request {
    std::uint64_t Sequence;
    steady_time SentAt;
  };

  bool isSelf(const share_mate &Mate) const;
  bool isDead(const share_mate &Mate) const;
  bool isReader(const share_row &Row) const;
  void resize();
  void expireOperations(share_row &Row, steady_time Now);
  void adopt(share_row &Row, std::uint64_t Version, const share_record &Record,
             steady_time Now);
  void adoptOwn(share_row &Row, steady_time Now);
  void adoptMissing(share_row &Row);
  void drop(share_row &Row);
  void confirmAll(share_row &Row, steady_time SentAt);
  void addConfirmers(share_row &Row, const std::vector<share_mate> &Roster,
                     steady_time SentAt);
  void updatePromised(share_row &Row);
  steady_time fence(const share_row &Row) const;

  void tickHeld(share_row &Row, steady_time Now, share_actions &Actions);
  void tickFree(share_row &Row, steady_time Now, share_actions &Actions);
  void spread(steady_time Now);
  bool mayTake(const share_row &Row, steady_time Now) const;
  bool silent(const share_row &Row, steady_time Now) const;
  std::size_t fairCount() const;
  std::chrono::milliseconds takePause() const;
  void read(share_row &Row, steady_time Now, share_actions &Actions);
  void write(share_row &Row, steady_time Now, lease_state State,
             share_actions &Actions);
  void requestPromises(steady_time Now, share_actions &Actions);
  std::vector<share_mate> roster(std::uint16_t Index) const;
  std::chrono::milliseconds jitter(std::chrono::milliseconds Most);

  share_settings Settings;
  share_plan Plan{TokenLife};
  std::vector<share_mate> Mates;
  std::unordered_set<std::uint64_t> Dead;
  std::vector<share_row> Rows;
  std::vector<sent_request> Requests;
  std::mt19937_64 Random;
  std::uint64_t LastTicket = 0;
  std::uint64_t LastRenewal = 0;
  std::uint64_t LastRequest = 0;
  steady_time NextSpread;
  bool Leaving = false;
  bool PlatformAnswers = false;
  share_counts Counts;
};

} // namespace magnoliaspread

#endif
