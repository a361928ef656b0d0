/// Rate limiter for limits shared by a whole fleet of instances.
///
/// Each region has an equal share of every limit. In each region one instance
/// owns it: the one of the region's roster (roster.h) that a rendezvous hash
/// ranks first. Only owners mint tokens, and only while their roster's lease
/// lasts. The others ask the owner of their region when a request needs one,
/// and an owner that runs short asks those of the other regions. A token is
/// never duplicated: it is in an owner's bucket, in one grant in transit, or
/// with one borrower for a short time; a lost grant is a lost token. Buckets
/// are empty at a start. Does no I/O: the caller passes in the time and
/// received messages and sends the returned ones.
#ifndef MAGNOLIASPREAD_LIMITER_H
#define MAGNOLIASPREAD_LIMITER_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/namemap.h>
#include <magnoliaspread/quota.h>
#include <magnoliaspread/quotamsg.h>
#include <magnoliaspread/roster.h>
#include <magnoliaspread/tokensource.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace magnoliaspread {

struct limiter_settings {
  std::string Instance;
  std::string Region;
  /// Random at each start; never 0.
  std::uint64_t Incarnation = 0;
  /// Borrowed tokens that are unspent for this long are discarded.
  std::chrono::milliseconds TokenLife{1000};
  /// On an instance that doesn't own the limit, a refunded token can be spent
  /// again until this long after it was first spent. Full targets reject
  /// requests within milliseconds.
  std::chrono::milliseconds RefundLife{500};
  /// An unanswered token request is repeated after this long.
  std::chrono::milliseconds RequestTimeout{250};
  /// The bucket of a starting owner is filled with the tokens of this many
  /// seconds plus a constant. Over three owners this adds up to a third of the
  /// overshoot that RULES, QUOTA allows: a tenth plus 20 requests in five
  /// seconds.
  double InitialFillSeconds = 0.3;
  double InitialFillTokens = 2;
  /// The shares of an instance that vanished from the roster, or that is gone,
  /// are minted by others after this delay: its lease has ended by then.
  std::chrono::milliseconds HandoverDelay{6500};
  /// Owners within this time after their start have an initial fill.
  std::chrono::milliseconds StartupWindow{2500};
  /// Tokens for the demand of this time are requested in advance.
  std::chrono::milliseconds PrefetchTime{200};
};

/// Instances of the own region; see roster.h.
struct limiter_roster {
  /// Those that own limits or are about to.
  std::vector<std::string> Contenders;
  /// Those of them that mint.
  std::vector<std::string> Lenders;
  /// Those that gave up their shares by themselves.
  std::vector<std::string> Left;
  /// Those that others found gone, which may mint until their leases end.
  std::vector<std::string> Gone;
  /// This instance is a contender that mints.
  bool Minting = false;

  bool operator==(const limiter_roster &) const = default;
};

/// How the shares of the limits follow from a region's registrations.
limiter_roster limiterRoster(const instance_roster &Roster);

/// An instance of another region.
struct limiter_instance {
  std::string Name;
  std::string Region;

  bool operator==(const limiter_instance &) const = default;
};

class fleet_limiter final : public token_source {
public:
  fleet_limiter(limiter_settings Settings, steady_time Now);

  /// Applies the limits of a configuration.
  void setLimits(const std::vector<limit_row> &Rows, steady_time Now);

  /// Sets the roster of the own region, and when its lease ends.
  void setRoster(limiter_roster Roster, steady_time LeaseEnd, steady_time Now);

  /// The roster was confirmed: its lease ends at \p LeaseEnd.
  void renewLease(steady_time LeaseEnd, steady_time Now);

  /// Sets the live instances of other regions, whose owners can lend, and the
  /// number of regions.
  void setRemoteInstances(std::vector<limiter_instance> Instances,
                          std::size_t Regions);

  /// Stops minting for good. What the buckets hold can still be spent.
  void resign(steady_time Now);

  /// Sets the names of the instances that can be reached.
  void setReachable(std::set<std::string> Names);

  bool spend(limit_id Limit, milli_tokens Tokens, steady_time Now) override;
  bool retry(limit_id Limit, milli_tokens Tokens, steady_time Now) override;
  void refund(limit_id Limit, milli_tokens Tokens, steady_time SpentAt,
              steady_time Now) override;
  void addWaiting(limit_id Limit, milli_tokens Tokens) override;

  /// Returns the token requests to send. Call after a failed spend(), and every
  /// few tens of milliseconds.
  std::vector<outgoing_token_request> tick(steady_time Now);

  token_grant answer(const token_request &Request, steady_time Now);

  /// Applies the answer to a token request of this instance.
  void accept(const token_grant &Grant, steady_time Now);

  /// Estimated time until a token is available on this instance; zero if one
  /// is.
  std::chrono::milliseconds waitFor(limit_id Limit, steady_time Now) const;

  /// Whether this instance owns the region's share.
  bool owns(limit_id Limit) const;
  /// The number of limits whose share this instance mints.
  std::size_t minted(steady_time Now) const;

private:
  struct borrowed_batch {
    milli_tokens Tokens = 0;
    steady_time Expires;
  };

  struct limit_state {
    limit_row Row;
    /// Bucket level of the region's share; 0 unless this instance owns it.
    double Level = 0;
    steady_time RefilledAt;
    std::optional<steady_time> MintsFrom;
    /// Set when another instance became the owner: the end of the lease of the
    /// last roster under which this one was. The new owner starts later.
    std::optional<steady_time> LapsesAt;
    /// In order of preference: the own region's owner first.
    std::vector<std::string> Owners;
    std::size_t NextOwner = 0;
    /// The last request went to the first of them.
    bool AskedFirst = false;
    /// The first of them has answered that it doesn't mint.
    bool FirstIdle = false;
    std::vector<borrowed_batch> Borrowed;
    /// Tokens that waiting requests need.
    milli_tokens Waiting = 0;
    /// Urgent tokens that others requested here and were not granted; reset by
    /// the next request of this instance.
    milli_tokens UnmetTokens = 0;
    milli_tokens Spent = 0;
    /// Milli-tokens per second, as a moving average.
    double Demand = 0;
    steady_time RequestedAt;
    bool RequestPending = false;
    /// Time until a token is available, from the last answer.
    std::chrono::milliseconds Wait{0};
  };

  limit_state *find(limit_id Id);
  const limit_state *find(limit_id Id) const;
  void assignOwners(limit_state &Limit, steady_time Now);
  void assignLenders(limit_state &Limit) const;
  void noteDepartures(const limiter_roster &Next, steady_time Now);
  bool ranksFirst(limit_id Limit) const;
  bool mints(const limit_state &Limit, steady_time Now) const;
  steady_time handoverEnd(limit_id Limit, steady_time Now) const;
  double capacity(const limit_state &Limit) const;
  void refill(limit_state &Limit, steady_time Now) const;
  bool trySpend(limit_state &Limit, milli_tokens Tokens, steady_time Now);
  milli_tokens borrowedTokens(const limit_state &Limit, steady_time Now) const;
  milli_tokens tokensToRequest(const limit_state &Limit, steady_time Now) const;
  const std::string *chooseLender(limit_state &Limit) const;
  void updateDemand(limit_state &Limit, double Seconds) const;

  limiter_settings Settings;
  limiter_roster Roster;
  steady_time LeaseEnd;
  bool Resigned = false;
  /// Instances that may still mint though they aren't contenders any more, and
  /// until when.
  std::map<std::string, steady_time> Departed;
  std::vector<limiter_instance> RemoteInstances;
  std::size_t Regions = 1;
  std::set<std::string> Reachable;
  std::vector<limit_state> Limits;
  std::unordered_map<limit_id, std::size_t> Rows;
  std::uint64_t Sequence = 0;
  steady_time StartedAt;
  steady_time DemandSampledAt;
};

} // namespace magnoliaspread

#endif
