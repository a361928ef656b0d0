/// Receiver-granted headroom credits.
///
/// An instance divides its free slots among the peers that asked, and a sender
/// spends one credit for each request that it forwards, so senders can't herd
/// onto a peer that looks idle. Credits expire, and aren't granted again
/// before. The receiver alone fills its slots, so whatever credits are lost,
/// late or repeated, none is ever overrun: a request with a valid credit that
/// finds no free slot waits in the receiver's fair queue. Not thread-safe.
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

/// Wish of a sender for credits; the latest one of a peer and service counts.
struct credit_ask {
  service_handle Service;
  std::uint32_t Wanted = 0;
  /// Rises with each ask of the sender; repeated by the grant.
  std::uint64_t Sequence = 0;
};

/// Answer of a receiver.
struct credit_grant {
  service_handle Service;
  std::uint32_t Count = 0;
  /// Names the grant at its receiver; never used twice.
  std::uint64_t Id = 0;
  /// Of the ask that it answers.
  std::uint64_t Sequence = 0;
  /// Counted by the sender from when it asked.
  std::chrono::milliseconds Lifetime{};
};

struct credit_policy {
  /// Lifetime of a grant at the sender, from its ask.
  std::chrono::milliseconds Lifetime{500};
  /// Longer hold of reserved slots at the receiver, for requests on the way.
  std::chrono::milliseconds Grace{150};
  /// Time from one ask to the use of its credits; slots that turn over faster
  /// are granted several times.
  std::chrono::milliseconds Round{250};
  /// Largest number of times that one free slot is granted.
  std::uint32_t LargestTurnover = 8;
  /// Least time between two rounds of asks for one service.
  std::chrono::milliseconds AskPeriod{50};
  /// Peers of the own region, and of others, asked in one round.
  std::uint32_t AskFanOut = 2;
  /// Part of the free slots that is kept for requests that arrive here,
  /// percent.
  std::uint32_t KeptPercent = 10;
  /// Asks and grants held at once.
  std::size_t Capacity = 4096;
};

/// Receiver's side.
struct credit_grantor {
  struct asked_row {
    instance_handle Peer;
    credit_ask Ask;
    steady_time ArrivedAt;
    bool Answered = false;
  };
  struct granted_row {
    instance_handle Peer;
    service_handle Service;
    std::uint64_t Id = 0;
    std::uint32_t Remaining = 0;
    steady_time Until;
  };

  /// \p FirstId has to differ for each start of an instance, as a random
  /// number or its incarnation shifted up.
  credit_grantor(const credit_policy &Policy, std::uint64_t FirstId);

  credit_policy Policy;
  std::uint64_t NextId;
  std::vector<asked_row> Asked;
  std::vector<granted_row> Granted;
};

/// A grant and the peer that gets it.
struct addressed_grant {
  instance_handle Peer;
  credit_grant Grant;
};

/// Notes an ask; older sequences of the same peer are dropped. An ask that
/// isn't granted within the policy's lifetime lapses.
void noteAsk(credit_grantor &Grantor, instance_handle Peer,
             const credit_ask &Ask, steady_time Now);

/// What an instance can offer to others.
struct offered_slots {
  /// Free slots, none while own requests wait.
  std::uint32_t Free = 0;
  /// Mean time that a request holds a slot; zero when unknown.
  std::chrono::nanoseconds SlotTime{};
};

/// Divides the credits that \p Offer is worth, less those still out, max-min
/// fairly among the peers with an unanswered ask. \p Random breaks ties.
std::vector<addressed_grant>
grantCredits(credit_grantor &Grantor, service_handle Service,
             const offered_slots &Offer, steady_time Now, std::uint64_t Random);

/// Unspent and unexpired credits of the service.
std::uint32_t creditsOut(const credit_grantor &Grantor, service_handle Service,
                         steady_time Now);

/// Whether a forwarded request may take a slot or, with a valid credit, wait
/// for one. Spends the credit; without one, \p GrantId 0 included, the request
/// needs a slot beyond the credits that are out. NoCapacity, not run,
/// otherwise.
status admitCredited(credit_grantor &Grantor, service_handle Service,
                     instance_handle Peer, std::uint64_t GrantId,
                     std::uint32_t Free, steady_time Now);

/// Drops asks and grants that have expired.
void dropExpired(credit_grantor &Grantor, steady_time Now);

/// Drops the asks and grants of a peer that is gone.
void dropPeer(credit_grantor &Grantor, instance_handle Peer);

/// One credit to forward one request with.
struct credit {
  instance_handle Peer;
  std::uint64_t GrantId = 0;
};

/// Sender's side.
struct credit_wallet {
  struct sent_ask {
    instance_handle Peer;
    credit_ask Ask;
    steady_time AskedAt;
    bool Answered = false;
  };
  /// Demand of one service that finds no slot here.
  struct shortage {
    /// Requests in the last second or so, decayed.
    double Recent = 0;
    steady_time DecayedAt;
    steady_time AskedAt;
  };
  struct held_row {
    instance_handle Peer;
    service_handle Service;
    std::uint64_t Id = 0;
    std::uint32_t Remaining = 0;
    steady_time Until;
  };

  /// \p FirstSequence has to rise with each start of the instance, as its
  /// incarnation shifted up.
  credit_wallet(const credit_policy &Policy, std::uint64_t FirstSequence);

  credit_policy Policy;
  std::uint64_t NextSequence;
  std::vector<sent_ask> Sent;
  std::vector<held_row> Held;
  /// By service.
  std::vector<shortage> Shortages;
};

/// Notes a request that finds no free slot at this instance.
void noteShortage(credit_wallet &Wallet, service_handle Service,
                  steady_time Now);

/// A peer that may be asked.
struct askable_peer {
  instance_handle Peer;
  /// In the asker's own region.
  bool Near = false;
};

struct addressed_ask {
  instance_handle Peer;
  credit_ask Ask;
};

/// The asks to send now for a service of which \p Waiting requests wait here:
/// to a few random peers, at most once in the policy's ask period, for what
/// recent demand and the wait call for beyond the credits held. \p Random is
/// 64 uniform bits.
std::vector<addressed_ask> planAsks(credit_wallet &Wallet,
                                    service_handle Service,
                                    const std::vector<askable_peer> &Peers,
                                    std::uint32_t Waiting, steady_time Now,
                                    std::uint64_t Random);

/// Makes an ask to send to \p Peer. A grant may answer this one or the one
/// before it.
credit_ask makeAsk(credit_wallet &Wallet, instance_handle Peer,
                   service_handle Service, std::uint32_t Wanted,
                   steady_time Now);

/// Takes a grant in. One that answers no open ask, that is a repeat or that
/// has expired by the time of its ask is ignored; false then.
bool noteGrant(credit_wallet &Wallet, instance_handle Peer,
               const credit_grant &Grant, steady_time Now);

/// Unexpired credits at \p Peer.
std::uint32_t creditsAt(const credit_wallet &Wallet, instance_handle Peer,
                        service_handle Service, steady_time Now);

/// Spends a credit at one of \p Peers, drawn by the credits held at each.
/// NoCapacity, not run, when there is none.
result<credit> spendCredit(credit_wallet &Wallet,
                           const std::vector<instance_handle> &Peers,
                           service_handle Service, steady_time Now,
                           std::uint64_t Random);

/// Drops the credits at a peer that refused a request which carried one, or
/// that is unreachable.
void dropCredits(credit_wallet &Wallet, instance_handle Peer,
                 service_handle Service);

} // namespace magnoliaspread

#endif
