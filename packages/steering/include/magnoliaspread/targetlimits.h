/// Rate limits that targets announce in their answers: requests per second that
/// a target accepts from all instances together, until an answer without the
/// announcement.
///
/// Answers may overtake each other, so announcements are ordered by the time at
/// which their request was sent. Instances gossip what they learn: changes go
/// to a few random peers, which forward them once, and all limits go to one
/// random peer every second, for those that a message missed or that started
/// later. Does no I/O; the time is passed in, as boot time, so that ages
/// include suspension.
#ifndef MAGNOLIASPREAD_TARGETLIMITS_H
#define MAGNOLIASPREAD_TARGETLIMITS_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/hash.h>
#include <magnoliaspread/targetlimitmsg.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

namespace magnoliaspread {

struct target_limit_settings {
  /// Bounds of an announced rate, in requests per second. At the lowest a
  /// target still gets a request every ten seconds, whose answer tells whether
  /// the limit holds.
  double MinRate = 0.1;
  double MaxRate = 1e6;
  /// A limit that no answer has confirmed for this long is dropped: a target
  /// that gets no requests can't withdraw it.
  std::chrono::milliseconds MaxAge{20000};
  /// Peers that get a change from each instance that learns of it. Two thirds
  /// of these messages reach more than 99 in 100 instances.
  std::size_t Fanout = 8;
  /// Minimum pause between two messages about changes of one limit; a target
  /// may announce another rate in each answer.
  std::chrono::milliseconds ChangePause{500};
  std::chrono::milliseconds RefreshPeriod{1000};
  std::size_t MaxTargets = 1024;
  /// For the random choice of peers.
  std::uint64_t Seed = 1;
};

enum class limit_change : std::uint8_t { None, Announced, Changed, Withdrawn };

/// A change learned from a peer.
struct learned_limit {
  target_start Target = 0;
  limit_change Change = limit_change::None;
  /// Empty when withdrawn.
  std::optional<double> Rate;
};

/// An update and its receivers, as indexes into the caller's list of peers.
struct limit_message {
  std::vector<std::size_t> To;
  limit_update Update;
};

class target_limits {
public:
  explicit target_limits(const target_limit_settings &Settings = {})
      : Settings(Settings), Random(Settings.Seed) {}

  /// An answer to a request sent at \p SentAt announced \p Rate requests per
  /// second, or no limit.
  limit_change observe(target_start Target, std::optional<double> Rate,
                       boot_time SentAt, boot_time Now);

  /// An answer announced a rate that can't be read; the limit stays as it is.
  /// True on the first one since the last readable announcement.
  bool observeUnreadable(target_start Target);

  /// Updates may be duplicated, late or relayed. Returns the changes.
  std::vector<learned_limit> merge(const limit_update &Update, boot_time Now);

  /// The target's limit in requests per second; empty without one.
  std::optional<double> rate(target_start Target, boot_time Now) const;

  /// What is known of the target's limit, for a message; without a rate if
  /// nothing is known.
  limit_report report(target_start Target, boot_time Now) const;

  /// Gossip that is due, for \p Peers peers. Call every few tens of
  /// milliseconds.
  std::vector<limit_message> pendingMessages(std::size_t Peers, boot_time Now);

  /// Targets with a limit.
  std::size_t size(boot_time Now) const;

  bool empty() const { return Limits.empty(); }

private:
  struct limit {
    /// Empty once withdrawn; kept so that an older announcement of a peer
    /// doesn't restore it.
    std::optional<double> Rate;
    /// When the request of the latest announcement was sent.
    boot_time SentAt;
    /// A change not yet sent to peers.
    bool Unsent = true;
    boot_time NextChange;
  };

  bool isCurrent(const limit &Limit, boot_time Now) const {
    return Now - Limit.SentAt < Settings.MaxAge;
  }
  limit_change update(target_start Target, std::optional<double> Rate,
                      boot_time SentAt, boot_time Now);
  bool add(target_start Target, std::optional<double> Rate, boot_time SentAt,
           boot_time Now);
  void evictExpired(boot_time Now);
  std::vector<std::size_t> randomPeers(std::size_t Peers, std::size_t Count);
  std::vector<limit_update> updatesOf(const std::vector<target_start> &Targets,
                                      boot_time Now) const;

  target_limit_settings Settings;
  std::mt19937_64 Random;
  std::unordered_map<target_start, limit> Limits;
  std::set<target_start> Unreadable;
  boot_time NextRefresh;
};

} // namespace magnoliaspread

#endif
