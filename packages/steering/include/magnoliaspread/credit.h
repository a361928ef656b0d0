/// Receiver-granted headroom credits.
///
/// An instance divides its free slots among the peers that request credits,
/// and a sender spends one credit for each request that it forwards, so
/// senders can't herd onto a peer that looks idle. Credits expire; their slots
/// aren't granted again until then. Only the receiver assigns its slots, so
/// lost, late or duplicated credits can't overrun them: a request with a valid
/// credit waits in the receiver's fair queue if no slot is free. Not
/// thread-safe.
#ifndef MAGNOLIASPREAD_CREDIT_H
#define MAGNOLIASPREAD_CREDIT_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/error.h>
#include <magnoliaspread/handle.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace magnoliaspread {

/// A sender's request for credits; replaces its previous one for the service.
struct credit_request {
  service_handle Service;
  std::uint32_t Wanted = 0;
  /// Increases with each credit request of the sender; echoed by the grant.
  std::uint64_t Sequence = 0;
};

/// A receiver's answer to a credit request.
struct credit_grant {
  service_handle Service;
  std::uint32_t Count = 0;
  /// Identifies the grant at its receiver; never reused.
  std::uint64_t Id = 0;
  /// Sequence of the credit request that it answers.
  std::uint64_t Sequence = 0;
  /// Runs from the time at which the sender sent the credit request.
  std::chrono::milliseconds Lifetime{};
};

struct credit_policy {
  /// Lifetime of a grant at the sender, from its credit request.
  std::chrono::milliseconds Lifetime{500};
  /// Additional lifetime at the receiver, for requests in transit.
  std::chrono::milliseconds Grace{150};
  /// Time from a credit request to the use of its credits; slots that turn over
  /// faster are granted several times.
  std::chrono::milliseconds Round{250};
  /// Largest number of credits granted for one free slot.
  std::uint32_t LargestTurnover = 8;
  /// Smallest time between two rounds of credit requests for one service.
  std::chrono::milliseconds RequestPeriod{50};
  /// Peers asked for credits in one round, in the own region and again in
  /// others.
  std::uint32_t RequestFanOut = 2;
  /// Free slots reserved for requests that arrive here, in percent.
  std::uint32_t ReservedPercent = 10;
  /// Largest number of credit requests, and of grants, that are tracked.
  std::size_t Capacity = 4096;
};

/// Receiver's side: grants credits for its slots.
struct credit_grantor {
  struct request_row {
    instance_handle Peer;
    credit_request Request;
    steady_time ArrivedAt;
    bool Answered = false;
  };
  struct grant_row {
    instance_handle Peer;
    service_handle Service;
    std::uint64_t Id = 0;
    std::uint32_t Remaining = 0;
    steady_time Until;
  };

  /// \p FirstId must differ for each start of an instance: a random number, or
  /// its incarnation shifted left.
  credit_grantor(const credit_policy &Policy, std::uint64_t FirstId);

  credit_policy Policy;
  std::uint64_t NextId;
  std::vector<request_row> Requests;
  std::vector<grant_row> Grants;
};

/// A grant and the peer that gets it.
struct addressed_grant {
  instance_handle Peer;
  credit_grant Grant;
};

/// Records a credit request; older sequences of the same peer are ignored. A
/// request that isn't granted within the policy's lifetime expires.
void noteCreditRequest(credit_grantor &Grantor, instance_handle Peer,
                       const credit_request &Request, steady_time Now);

/// Capacity that an instance offers to its peers.
struct offered_slots {
  /// Free slots; 0 while own requests are queued.
  std::uint32_t Free = 0;
  /// Mean time that a request occupies a slot; zero when unknown.
  std::chrono::nanoseconds SlotTime{};
};

/// Grants the credits for \p Offer, less those outstanding, max-min fairly to
/// the peers with an unanswered request. \p Random breaks ties.
std::vector<addressed_grant>
grantCredits(credit_grantor &Grantor, service_handle Service,
             const offered_slots &Offer, steady_time Now, std::uint64_t Random);

/// Outstanding credits of the service: neither spent nor expired.
std::uint32_t creditsOut(const credit_grantor &Grantor, service_handle Service,
                         steady_time Now);

/// Admits a forwarded request to a slot or, with a valid credit, to the queue
/// for one. Spends the credit. Without one, as with \p GrantId 0, the request
/// needs a free slot beyond the outstanding credits. NoCapacity, not run,
/// otherwise.
status admitCredited(credit_grantor &Grantor, service_handle Service,
                     instance_handle Peer, std::uint64_t GrantId,
                     std::uint32_t Free, steady_time Now);

/// Drops expired credit requests and grants.
void dropExpired(credit_grantor &Grantor, steady_time Now);

/// Drops the credit requests and grants of a peer that is gone.
void dropPeer(credit_grantor &Grantor, instance_handle Peer);

/// Permission to forward one request to a peer.
struct credit {
  instance_handle Peer;
  std::uint64_t GrantId = 0;
};

/// Sender's side: requests credits and spends them.
struct credit_requester {
  struct sent_request {
    instance_handle Peer;
    credit_request Request;
    steady_time RequestedAt;
    bool Answered = false;
  };
  /// Demand of one service that found no free slot here.
  struct shortage {
    /// Requests, exponentially decayed over about a second.
    double Recent = 0;
    steady_time DecayedAt;
    steady_time RequestedAt;
  };
  struct credit_row {
    instance_handle Peer;
    service_handle Service;
    std::uint64_t Id = 0;
    std::uint32_t Remaining = 0;
    steady_time Until;
  };

  /// \p FirstSequence must increase with each start of the instance, like its
  /// incarnation shifted left.
  credit_requester(const credit_policy &Policy, std::uint64_t FirstSequence);

  credit_policy Policy;
  std::uint64_t NextSequence;
  std::vector<sent_request> Sent;
  std::vector<credit_row> Credits;
  /// By service.
  std::vector<shortage> Shortages;
};

/// Counts a request that found no free slot at this instance.
void noteShortage(credit_requester &Requester, service_handle Service,
                  steady_time Now);

/// A peer that may be asked for credits.
struct credit_peer {
  instance_handle Peer;
  /// In the own region.
  bool Near = false;
};

struct addressed_request {
  instance_handle Peer;
  credit_request Request;
};

/// The credit requests to send now for a service with \p Waiting queued
/// requests: to a few random peers, at most once in the policy's request
/// period, for the recent demand and the queue less the credits available.
/// \p Random is 64 uniform bits.
std::vector<addressed_request>
planCreditRequests(credit_requester &Requester, service_handle Service,
                   const std::vector<credit_peer> &Peers, std::uint32_t Waiting,
                   steady_time Now, std::uint64_t Random);

/// Makes a credit request to send to \p Peer. A grant may answer this one or
/// the previous one.
credit_request makeCreditRequest(credit_requester &Requester,
                                 instance_handle Peer, service_handle Service,
                                 std::uint32_t Wanted, steady_time Now);

/// Adds the credits of a grant. Returns false and ignores a grant that answers
/// no open credit request, is a duplicate, or has expired counting from its
/// request.
bool noteGrant(credit_requester &Requester, instance_handle Peer,
               const credit_grant &Grant, steady_time Now);

/// Unexpired credits at \p Peer.
std::uint32_t creditsAt(const credit_requester &Requester, instance_handle Peer,
                        service_handle Service, steady_time Now);

/// Spends a credit at one of \p Peers, chosen at random by the credits
/// available at each. NoCapacity, not run, when there is none.
result<credit> spendCredit(credit_requester &Requester,
                           const std::vector<instance_handle> &Peers,
                           service_handle Service, steady_time Now,
                           std::uint64_t Random);

/// Drops the credits at a peer that is unreachable or refused a request that
/// carried one.
void dropCredits(credit_requester &Requester, instance_handle Peer,
                 service_handle Service);

} // namespace magnoliaspread

#endif
