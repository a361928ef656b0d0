/// Fleet-wide limits without consensus. Each instance mints the tokens of the
/// shares that it holds, and instances lend tokens to each other by messages.
/// Does no I/O: ticks and messages go in, messages come out.
#ifndef MAGNOLIASPREAD_QUOTA_H
#define MAGNOLIASPREAD_QUOTA_H

#include <magnoliaspread/purse.h>
#include <magnoliaspread/quotamsg.h>
#include <magnoliaspread/sharemsg.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace magnoliaspread {

/// First pause before a peer without shares is asked again; it doubles.
inline constexpr std::chrono::milliseconds LeastEmptyPause{1000};

/// A rate and a burst that the whole fleet shares.
struct limit_row {
  limit_id Id = 0;
  /// Tokens per second.
  double Rate = 0;
  /// Tokens at once, on top of the rate.
  double Burst = 0;
};

/// An instance that may be asked for tokens.
struct quota_peer {
  std::string Name;
  /// In the same data centre or region: asked before others.
  bool Near = false;
};

struct quota_settings {
  /// Random at each start; never 0.
  std::uint64_t Incarnation = 0;
  std::uint64_t Seed = 0;
};

/// Events counted since the start, for metrics.
struct quota_counts {
  std::uint64_t AsksSent = 0;
  std::uint64_t AskRowsSent = 0;
  std::uint64_t AsksAnswered = 0;
  std::uint64_t GrantRowsSent = 0;
  std::uint64_t AsksTimedOut = 0;
  std::uint64_t GrantsLate = 0;
  std::uint64_t StaleDropped = 0;
};

class quota_bank {
public:
  /// \p Purse is what the traffic threads spend from; it outlives the bank.
  quota_bank(quota_settings Settings, purse &Purse, steady_time Now);

  /// Puts the limits of a newer configuration in force. Limits with the same
  /// id are joined into the smaller one.
  void setLimits(std::uint64_t ConfigVersion,
                 const std::vector<limit_row> &NewLimits, steady_time Now);

  /// What share_keeper::minted() returns; call before each tick.
  void setShares(const std::vector<minted_share> &NewShares, steady_time Now);

  /// Every live instance that may hold a share, without this one.
  void setPeers(const std::vector<quota_peer> &NewPeers);

  /// Settles with the purse and asks peers for tokens.
  std::vector<outgoing_ask> tick(steady_time Now);

  /// Lends tokens. Empty for a duplicate or an ask that a later one closed.
  std::optional<token_grant> answer(const token_ask &Ask, steady_time Now);

  /// Takes in the answer of the peer \p From to an ask.
  void accept(std::string_view From, const token_grant &Grant, steady_time Now);

  /// Time until \p Tokens can be expected here.
  std::chrono::milliseconds retryAfter(limit_id Limit, milli_tokens Tokens,
                                       steady_time Now) const;

  /// Unspent tokens here, own and borrowed.
  milli_tokens available(limit_id Limit) const;

  const quota_counts &counts() const { return Counts; }

private:
  /// Unspent tokens of one accepted grant.
  struct token_pot {
    std::uint16_t Peer = 0;
    milli_tokens Tokens = 0;
    steady_time Expires;
  };

  /// A limit as this instance accounts for it; milli-tokens and seconds.
  struct limit_state {
    limit_id Id = 0;
    double Rate = 0;
    double Burst = 0;
    /// Configuration that last lowered the limit.
    std::uint64_t LoweredIn = 0;
    double Level = 0;
    steady_time RefilledAt;
    /// Level and lent tokens together stay at or under it.
    double Capacity = 0;
    double MintRate = 0;
    milli_tokens Lent = 0;
    std::vector<token_pot> Pots;
    /// Likely to come from asks that aren't answered yet.
    milli_tokens OnOrder = 0;
    double Demand = 0;
    /// Borrowed per second.
    double Inflow = 0;
    /// Seconds from an ask to its grant.
    double LeadTime = 0.04;
    milli_tokens Wanted = 0;
    milli_tokens Missed = 0;
    milli_tokens Waiting = 0;
    milli_tokens Granted = 0;
    milli_tokens Backlog = 0;
    /// The purse may hold tokens.
    bool Offered = false;
  };

  /// Tokens of one limit lent to one borrower.
  struct lent_row {
    std::uint16_t Limit = 0;
    milli_tokens Outstanding = 0;
    /// Part of Outstanding that answered the newest ask.
    milli_tokens Newest = 0;
    milli_tokens Returned = 0;
    steady_time Expires;
  };

  struct borrower_state {
    std::uint64_t Sequence = 0;
    steady_time SeenAt;
    std::vector<lent_row> Rows;
  };

  /// What a peer said last about one limit, and what it is owed.
  struct peer_view {
    bool Known = false;
    milli_tokens Left = 0;
    milli_tokens SparePerSecond = 0;
    milli_tokens MintedPerSecond = 0;
    steady_time SeenAt;
    steady_time NotBefore;
    milli_tokens Ordered = 0;
    /// Part of Ordered that is likely to come.
    milli_tokens Likely = 0;
    milli_tokens Returned = 0;
    milli_tokens ReturnedSent = 0;
    milli_tokens ReturnedKnown = 0;
    milli_tokens Held = 0;
    milli_tokens HeldSent = 0;
    /// What the peer takes for lent, from the last ask that it answered.
    milli_tokens HeldKnown = 0;
    /// Row of the ask that is being built; -1 is none.
    std::int32_t Row = -1;
  };

  struct peer_state {
    std::string Name;
    bool Near = false;
    bool Present = false;
    std::uint64_t Sequence = 0;
    std::uint64_t Accepted = 0;
    bool Open = false;
    steady_time SentAt;
    std::chrono::milliseconds Timeout{200};
    /// No message before, after an ask without an answer.
    steady_time RetryAt;
    /// Answered that it holds shares.
    bool Holder = false;
    /// Holds no share, so there is nothing to ask for before.
    steady_time EmptyUntil;
    std::chrono::milliseconds EmptyPause{LeastEmptyPause};
    std::uint32_t Failures = 0;
    /// When to report tokens that were spent or given back since the last ask.
    std::optional<steady_time> ReportAt;
    bool Sending = false;
    std::vector<peer_view> Views;
    std::vector<ask_row> Rows;
  };

  struct candidate {
    std::uint16_t Peer;
    bool Near;
    bool Holder;
    double Expected;
    /// Random order among equals.
    std::uint32_t Tie;
  };

  // bank.cpp: accounts of minted, lent and borrowed tokens.
  void settle(limit_state &Limit);
  void refill(limit_state &Limit, steady_time Now);
  void mint(limit_state &Limit, steady_time To, steady_time Now);
  void offer(limit_state &Limit, steady_time Now);
  void lower(limit_state &Limit, const limit_row &Row);
  void expirePots(limit_state &Limit, steady_time Now);
  void spendPots(limit_state &Limit, milli_tokens Tokens);
  void noteReport(peer_state &Peer, const limit_state &Limit) const;
  void expireLent(steady_time Now);
  void expireRow(lent_row &Row, steady_time Now);
  void credit(limit_state &Limit, lent_row &Row, milli_tokens Tokens);
  void closeGrants(borrower_state &Borrower, const token_ask &Ask,
                   steady_time Now);
  void applyReport(borrower_state &Borrower, const token_ask &Ask,
                   steady_time Now);
  static lent_row &account(borrower_state &Borrower, std::uint16_t Limit,
                           const ask_row &Asked);
  milli_tokens lend(lent_row &Row, const ask_row &Asked, steady_time Now);
  milli_tokens lendable(const limit_state &Limit) const;
  milli_tokens borrowed(const limit_state &Limit) const;
  limit_state *find(limit_id Id);
  const limit_state *find(limit_id Id) const;

  // quota.cpp: demand and asks.
  void updateDemand(limit_state &Limit, double Seconds);
  void giveBack(limit_state &Limit, steady_time Now);
  void closeAsk(peer_state &Peer);
  void timeOut(steady_time Now);
  void markReports(steady_time Now);
  void orderAll(bool OnlyHungry, steady_time Now);
  void order(std::uint16_t Limit, double Remaining, double Urgent,
             bool OnlySending, steady_time Now);
  void listCandidates(std::uint16_t Limit, double Remaining, double Least,
                      bool OnlySending, steady_time Now);
  double expected(const peer_state &Peer, std::uint16_t Limit, double Remaining,
                  steady_time Now) const;
  void addReports();
  void addReport(peer_state &Peer, std::uint16_t Limit);
  std::vector<outgoing_ask> send(steady_time Now);
  void acceptRow(std::uint16_t Peer, const token_grant &Grant,
                 const grant_row &Row, steady_time Now);
  static double mintedOf(const peer_view &View);
  void noteShortage(peer_view &View, const grant_row &Row, steady_time Now);
  static double horizon(const limit_state &Limit);
  double prefetch(const limit_state &Limit) const;
  double spareToken(const limit_state &Limit) const;
  double position(const limit_state &Limit) const;
  static peer_view &view(peer_state &Peer, std::uint16_t Limit);
  ask_row &rowFor(peer_state &Peer, std::uint16_t Limit);

  quota_settings Settings;
  purse &Purse;
  std::uint64_t ConfigVersion = 0;
  std::vector<limit_state> Limits;
  std::unordered_map<limit_id, std::uint16_t> LimitIndex;
  std::vector<minted_share> Shares;
  std::vector<peer_state> Peers;
  std::unordered_map<std::string, std::uint16_t> PeerIndex;
  std::unordered_map<std::uint64_t, borrower_state> Borrowers;
  std::vector<candidate> Candidates;
  std::mt19937_64 Random;
  steady_time TickedAt;
  steady_time NextExpiry;
  quota_counts Counts;
};

} // namespace magnoliaspread

#endif
