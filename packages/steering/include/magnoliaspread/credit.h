/// Receiver-granted headroom credits.
///
/// An instance divides its free slots among the peers that asked and reserves
/// them until the credits expire. A sender spends one credit for each request
/// that it forwards, so senders can't herd onto a peer that looks idle. The
/// receiver alone admits work, whatever credits are lost, late or repeated.
/// Not thread-safe.
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
  /// Part of the free slots that is kept for requests that arrive here,
  /// percent.
  std::uint32_t KeptPercent = 25;
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

/// Divides \p Free slots of \p Service, without those that are reserved,
/// max-min fairly among the peers with an unanswered ask. \p Random breaks
/// ties.
std::vector<addressed_grant> grantCredits(credit_grantor &Grantor,
                                          service_handle Service,
                                          std::uint32_t Free, steady_time Now,
                                          std::uint64_t Random);

/// Slots of the service that unexpired grants hold back.
std::uint32_t reservedSlots(const credit_grantor &Grantor,
                            service_handle Service, steady_time Now);

/// Whether a request may take one of \p Free slots. One with a valid credit
/// uses a reserved slot and spends the credit; any other, \p GrantId 0
/// included, takes a slot only beyond the reserved ones. NoCapacity, not run,
/// otherwise.
status admit(credit_grantor &Grantor, service_handle Service,
             instance_handle Peer, std::uint64_t GrantId, std::uint32_t Free,
             steady_time Now);

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
};

/// Makes an ask to send to \p Peer; replaces an earlier one.
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
