/// Fleet-wide rate limits without consensus. Each instance mints the tokens of
/// the shares that it holds, and instances lend tokens to each other by
/// messages. Does no I/O: the caller passes in the time and received messages
/// and sends the returned ones.
#ifndef MAGNOLIASPREAD_QUOTA_H
#define MAGNOLIASPREAD_QUOTA_H

#include <magnoliaspread/quotamsg.h>
#include <magnoliaspread/sharemsg.h>
#include <magnoliaspread/tokenpool.h>

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

/// First pause before a peer without shares gets a request again; doubles each
/// time.
inline constexpr std::chrono::milliseconds MinNoSharesPause{1000};

/// Rate and burst of a token bucket that the whole fleet shares.
struct limit_row {
  limit_id Id = 0;
  /// Tokens per second.
  double Rate = 0;
  /// Bucket capacity in tokens.
  double Burst = 0;
};

/// An instance that can lend tokens.
struct quota_peer {
  std::string Name;
  /// In the same data centre or region; preferred as lender.
  bool Near = false;
};

struct quota_settings {
  /// Random at each start; never 0.
  std::uint64_t Incarnation = 0;
  std::uint64_t Seed = 0;
};

/// Events counted since the start, for metrics.
struct quota_counts {
  std::uint64_t RequestsSent = 0;
  std::uint64_t RequestRowsSent = 0;
  std::uint64_t RequestsAnswered = 0;
  std::uint64_t GrantRowsSent = 0;
  std::uint64_t RequestsTimedOut = 0;
  std::uint64_t GrantsLate = 0;
  std::uint64_t StaleDropped = 0;
};

class quota_allocator {
public:
  /// The traffic threads spend from the token pool, which must outlive this
  /// object.
  quota_allocator(quota_settings Settings, token_pool &Pool, steady_time Now);

  /// Applies the limits of a newer configuration; an older one is ignored. Of
  /// limits with the same id, the lowest rate and burst count.
  void setLimits(std::uint64_t ConfigVersion,
                 const std::vector<limit_row> &NewLimits, steady_time Now);

  /// Sets the shares that this instance mints of each limit, as returned by
  /// share_lease_manager::minted(). Call before tick().
  void setShares(const std::vector<minted_share> &NewShares, steady_time Now);

  /// All other live instances that may hold a share.
  void setPeers(const std::vector<quota_peer> &NewPeers);

  /// Accounts for spent tokens, refills the buckets and returns the token
  /// requests to send.
  std::vector<outgoing_token_request> tick(steady_time Now);

  /// Lends tokens. Empty for a duplicate, or for an outdated request.
  std::optional<token_grant> answer(const token_request &Request,
                                    steady_time Now);

  /// Applies the answer of the peer \p From to a token request.
  void accept(std::string_view From, const token_grant &Grant, steady_time Now);

  /// Estimated time until \p Tokens are available on this instance.
  std::chrono::milliseconds retryAfter(limit_id Limit, milli_tokens Tokens,
                                       steady_time Now) const;

  /// Unspent tokens on this instance, own and borrowed.
  milli_tokens available(limit_id Limit) const;

  const quota_counts &counts() const { return Counts; }

private:
  /// Unspent tokens of one accepted grant.
  struct borrowed_batch {
    std::uint16_t Peer = 0;
    milli_tokens Tokens = 0;
    steady_time Expires;
  };

  /// This instance's accounts of a limit, in milli-tokens and seconds.
  struct limit_state {
    limit_id Id = 0;
    double Rate = 0;
    double Burst = 0;
    /// Configuration version that last lowered the limit. Grants of lenders
    /// with an older one are dropped.
    std::uint64_t LastLoweredVersion = 0;
    double Level = 0;
    steady_time RefilledAt;
    /// Upper bound on the sum of Level and Lent.
    double Capacity = 0;
    double MintRate = 0;
    milli_tokens Lent = 0;
    std::vector<borrowed_batch> Borrowed;
    /// Tokens expected from unanswered requests.
    milli_tokens PendingTokens = 0;
    /// Moving average of the tokens requested per second.
    double Demand = 0;
    /// Moving average of the tokens borrowed per second.
    double Inflow = 0;
    /// Moving average of the seconds from a request to its grant.
    double GrantLatency = 0.04;
    milli_tokens Attempted = 0;
    milli_tokens Denied = 0;
    milli_tokens Waiting = 0;
    milli_tokens Granted = 0;
    milli_tokens Backlog = 0;
    /// The traffic threads may spend tokens.
    bool PoolFilled = false;
  };

  /// Tokens of one limit lent to one borrower.
  struct loan {
    std::uint16_t Limit = 0;
    milli_tokens Outstanding = 0;
    /// Part of Outstanding that was granted to the newest request.
    milli_tokens FromLastRequest = 0;
    milli_tokens Returned = 0;
    steady_time Expires;
  };

  struct borrower_state {
    std::uint64_t Sequence = 0;
    steady_time SeenAt;
    std::vector<loan> Loans;
  };

  /// What a peer last reported about one limit, and this instance's debt to it.
  struct peer_view {
    bool Known = false;
    milli_tokens Left = 0;
    milli_tokens SparePerSecond = 0;
    milli_tokens MintedPerSecond = 0;
    steady_time SeenAt;
    steady_time NoRequestBefore;
    milli_tokens RequestedTokens = 0;
    /// Part of RequestedTokens that the peer is expected to grant.
    milli_tokens ExpectedTokens = 0;
    /// Tokens returned since the start, and that count as of the last request
    /// sent and the last request answered.
    milli_tokens Returned = 0;
    milli_tokens ReturnedSent = 0;
    milli_tokens ReturnedAtLender = 0;
    milli_tokens Held = 0;
    milli_tokens HeldSent = 0;
    /// What the peer counts as lent, as of the last request that it answered.
    milli_tokens HeldAtLender = 0;
    /// Index in the request that is being built; -1 if there is no row yet.
    std::int32_t Row = -1;
  };

  struct peer_state {
    std::string Name;
    bool Near = false;
    bool Present = false;
    std::uint64_t Sequence = 0;
    std::uint64_t Accepted = 0;
    bool RequestPending = false;
    steady_time SentAt;
    std::chrono::milliseconds Timeout{200};
    /// Backoff after unanswered requests: no message before this time.
    steady_time RetryAt;
    /// The last answer said that it holds shares.
    bool HoldsShares = false;
    /// A peer without shares has no tokens; no request is sent before this
    /// time.
    steady_time NoSharesUntil;
    std::chrono::milliseconds NoSharesPause{MinNoSharesPause};
    std::uint32_t Failures = 0;
    /// When to report tokens that were spent or returned since the last
    /// request.
    std::optional<steady_time> ReportAt;
    /// A request will be sent to it in this tick.
    bool RequestPlanned = false;
    std::vector<peer_view> Views;
    std::vector<token_request_row> Rows;
  };

  struct candidate {
    std::uint16_t Peer;
    bool Near;
    bool HoldsShares;
    double Expected;
    /// Random, to order equal candidates.
    std::uint32_t TieBreaker;
  };

  // Accounting of minted, lent and borrowed tokens.
  void collectSpending(limit_state &Limit);
  void refill(limit_state &Limit, steady_time Now);
  void mint(limit_state &Limit, steady_time To, steady_time Now);
  void updatePool(limit_state &Limit, steady_time Now);
  void updateLimit(limit_state &Limit, const limit_row &Row);
  void returnExpiring(limit_state &Limit, steady_time Now);
  void spendBorrowed(limit_state &Limit, milli_tokens Tokens);
  void scheduleReport(peer_state &Peer, const limit_state &Limit) const;
  void expireLoans(steady_time Now);
  void expireLoan(loan &Loan, steady_time Now);
  void credit(limit_state &Limit, loan &Loan, milli_tokens Tokens);
  void closeLastGrant(borrower_state &Borrower, const token_request &Request,
                      steady_time Now);
  void applyReport(borrower_state &Borrower, const token_request &Request,
                   steady_time Now);
  static loan &loanFor(borrower_state &Borrower, std::uint16_t Limit,
                       const token_request_row &Requested);
  milli_tokens lend(loan &Loan, const token_request_row &Requested,
                    steady_time Now);
  milli_tokens lendable(const limit_state &Limit) const;
  milli_tokens borrowedTokens(const limit_state &Limit) const;
  limit_state *find(limit_id Id);
  const limit_state *find(limit_id Id) const;

  // Demand estimation and token requests.
  void updateDemand(limit_state &Limit, double Seconds);
  void returnExcess(limit_state &Limit, steady_time Now);
  /// Clears the pending request to a peer once it was answered or timed out.
  void closeRequest(peer_state &Peer);
  void expireRequests(steady_time Now);
  void planDueReports(steady_time Now);
  void planRequests(bool OnlyLow, steady_time Now);
  void planRequestsFor(std::uint16_t Limit, double Remaining, double Urgent,
                       bool OnlyPlanned, steady_time Now);
  void listCandidates(std::uint16_t Limit, double Remaining, double MinExpected,
                      bool OnlyPlanned, steady_time Now);
  double estimateLendable(const peer_state &Peer, std::uint16_t Limit,
                          double Remaining, steady_time Now) const;
  void addReports();
  void addReport(peer_state &Peer, std::uint16_t Limit);
  std::vector<outgoing_token_request> buildRequests(steady_time Now);
  void acceptRow(std::uint16_t Peer, const token_grant &Grant,
                 const grant_row &Row, steady_time Now);
  static double expectedSpareRate(const peer_view &View);
  void backOff(peer_view &View, const grant_row &Row, steady_time Now);
  static double horizon(const limit_state &Limit);
  double prefetchLevel(const limit_state &Limit) const;
  double safetyMargin(const limit_state &Limit) const;
  double availableOrPending(const limit_state &Limit) const;
  static peer_view &view(peer_state &Peer, std::uint16_t Limit);
  token_request_row &rowFor(peer_state &Peer, std::uint16_t Limit);

  quota_settings Settings;
  token_pool &Pool;
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
