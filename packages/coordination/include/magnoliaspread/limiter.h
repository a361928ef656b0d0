/// Rates and bursts over a whole fleet of many instances and many limits.
///
/// Each region has an equal share of every limit, and in each region one
/// instance owns it: the first by rendezvous hash of the registered ones. Only
/// owners mint tokens; the others ask the owner of their region when a request
/// needs one, and an owner that runs short asks those of the other regions. A
/// token exists once: it is in an owner's bucket, on its way in one grant, or
/// held by one instance for a short time; a lost grant is a lost token. Buckets
/// are empty at a start. Does no I/O: time and messages go in, messages come
/// out.
#ifndef MAGNOLIASPREAD_LIMITER_H
#define MAGNOLIASPREAD_LIMITER_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/namemap.h>
#include <magnoliaspread/quota.h>
#include <magnoliaspread/quotamsg.h>
#include <magnoliaspread/tokensource.h>

#include <chrono>
#include <cstdint>
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
  /// Tokens that are held unspent for this long are given up.
  std::chrono::milliseconds TokenLife{1000};
  /// A token that comes back to an instance which doesn't own the limit can be
  /// spent again for this long after it was spent first: targets that are full
  /// say so within milliseconds.
  std::chrono::milliseconds RefundLife{500};
  /// Pause before an ask without an answer is made again.
  std::chrono::milliseconds AskTimeout{250};
  /// Part of a second's tokens, and tokens besides, with which the bucket of a
  /// starting owner is filled: with three owners a third of what the users'
  /// pages leave (RULES, QUOTA: a tenth and 20 requests in five seconds).
  double StartSeconds = 0.3;
  double StartTokens = 2;
  /// An instance that becomes an owner while the fleet runs mints from then
  /// on: the former owner has learned of it by then.
  std::chrono::milliseconds HandOver{4000};
  /// An owner that knows the registered instances this soon after its start
  /// mints at once. One that learns later who there is may have to guess.
  std::chrono::milliseconds StartTime{2500};
  /// Tokens are asked for ahead of the demand of this time.
  std::chrono::milliseconds Ahead{200};
};

/// An instance that may own limits.
struct limiter_instance {
  std::string Name;
  std::string Region;

  bool operator==(const limiter_instance &) const = default;
};

class fleet_limiter final : public token_source {
public:
  fleet_limiter(limiter_settings Settings, steady_time Now);

  /// Puts the limits of a configuration in force.
  void setLimits(const std::vector<limit_row> &Rows, steady_time Now);

  /// The registered instances, this one included, and the number of regions.
  void setInstances(std::vector<limiter_instance> Instances,
                    std::size_t Regions, steady_time Now);

  /// Names of the instances that can be asked.
  void setReachable(std::set<std::string> Names);

  bool spend(limit_id Limit, milli_tokens Tokens, steady_time Now) override;
  bool retry(limit_id Limit, milli_tokens Tokens, steady_time Now) override;
  void refund(limit_id Limit, milli_tokens Tokens, steady_time SpentAt,
              steady_time Now) override;
  void addWaiting(limit_id Limit, milli_tokens Tokens) override;

  /// Asks that are due. Call after a spend that failed, and every few tens of
  /// milliseconds.
  std::vector<outgoing_ask> tick(steady_time Now);

  token_grant answer(const token_ask &Ask, steady_time Now);

  /// Takes in the answer to an ask of this instance.
  void accept(const token_grant &Grant, steady_time Now);

  /// Time until a token can be expected here; zero when one is at hand.
  std::chrono::milliseconds waitFor(limit_id Limit, steady_time Now) const;

  /// Whether this instance mints the region's share.
  bool owns(limit_id Limit) const;

private:
  struct held_tokens {
    milli_tokens Tokens = 0;
    steady_time Expires;
  };

  struct limit_state {
    limit_row Row;
    /// Bucket of the region's share; only its owner's is filled.
    double Level = 0;
    steady_time RefilledAt;
    std::optional<steady_time> MintsFrom;
    /// By order of preference: the own region's, then the others'.
    std::vector<std::string> Owners;
    std::size_t NextOther = 0;
    std::vector<held_tokens> Held;
    /// Needed by requests that wait.
    milli_tokens Waiting = 0;
    /// Asked for by others in vain, since the last ask.
    milli_tokens Short = 0;
    milli_tokens Spent = 0;
    /// Tokens a second, as a moving average.
    double Demand = 0;
    steady_time AskedAt;
    bool Asked = false;
    /// What the last answer said of the time to come back.
    std::chrono::milliseconds Wait{0};
  };

  limit_state *find(limit_id Id);
  const limit_state *find(limit_id Id) const;
  void assignOwners(limit_state &Limit, steady_time Now);
  double most(const limit_state &Limit) const;
  void refill(limit_state &Limit, steady_time Now) const;
  bool take(limit_state &Limit, milli_tokens Tokens, steady_time Now);
  milli_tokens heldBy(const limit_state &Limit, steady_time Now) const;
  milli_tokens wanted(const limit_state &Limit, steady_time Now) const;
  const std::string *whomToAsk(limit_state &Limit) const;
  void updateDemand(limit_state &Limit, double Seconds) const;

  limiter_settings Settings;
  std::vector<limiter_instance> Instances;
  std::size_t Regions = 1;
  std::set<std::string> Reachable;
  std::vector<limit_state> Limits;
  std::unordered_map<limit_id, std::size_t> Rows;
  std::uint64_t Sequence = 0;
  steady_time StartedAt;
  steady_time DemandAt;
};

} // namespace magnoliaspread

#endif
