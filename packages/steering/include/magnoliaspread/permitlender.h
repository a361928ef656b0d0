/// Keeps the requests of all instances to a target within its rate limit.
///
/// Each request needs a permit. In the target's region two live instances own
/// the limit, by rendezvous hash, and mint half of its permits each; the others
/// ask them when a request needs one. With two, the loss of an owner leaves
/// half of the rate until it is noticed. Owners mint in proportion to the
/// instances of their region that they see, so that those on both sides of a
/// partition don't mint more than the rate together. A permit exists once: in
/// an owner's bucket, in one grant, or with one instance for a short time. Does
/// no I/O: the caller passes in the time and received messages and sends the
/// returned ones.
#ifndef MAGNOLIASPREAD_PERMITLENDER_H
#define MAGNOLIASPREAD_PERMITLENDER_H

#include <magnoliaspread/clock.h>
#include <magnoliaspread/hash.h>
#include <magnoliaspread/sendpermits.h>
#include <magnoliaspread/targetlimitmsg.h>
#include <magnoliaspread/targetlimits.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace magnoliaspread {

/// An instance that can own limits.
struct permit_instance {
  std::string Name;
  std::string Region;

  bool operator==(const permit_instance &) const = default;
};

/// A target of the platform.
struct permit_target {
  target_start Start = 0;
  std::string Region;
};

/// Times of a permit request, by the distance of the owner.
struct permit_timing {
  /// An unanswered request is repeated after this.
  std::chrono::milliseconds Repeat{0};
  /// After this it is given up.
  std::chrono::milliseconds Timeout{0};
};

struct permit_settings {
  permit_instance Self;
  /// An instance mints from this long after its start on: by then it sees the
  /// others, and permits that its previous process granted have expired.
  std::chrono::milliseconds StartDelay{1500};
  /// An instance of the region that isn't seen any more counts as partitioned
  /// for this long, then as gone.
  std::chrono::milliseconds PeerMemory{120000};
  /// Bucket of the owner beyond one permit, in seconds of the rate.
  double BurstSeconds = 0.2;
  /// An unused permit expires this long after it was requested.
  std::chrono::milliseconds PermitLife{600};
  permit_timing SameRegion{std::chrono::milliseconds(25),
                           std::chrono::milliseconds(150)};
  permit_timing OtherRegion{std::chrono::milliseconds(150),
                            std::chrono::milliseconds(450)};
  /// After an unanswered request; doubles up to the largest.
  std::chrono::milliseconds FirstBackoff{250};
  std::chrono::milliseconds LargestBackoff{2000};
};

struct outgoing_permit_request {
  /// Name of the instance to send it to.
  std::string To;
  permit_request Request;
};

class permit_lender {
public:
  /// \p Limits outlives the lender.
  permit_lender(permit_settings Settings, target_limits &Limits, boot_time Now);

  void setTargets(const std::vector<permit_target> &Targets);

  /// Sets the live instances of all regions, without this one.
  void setInstances(std::vector<permit_instance> Alive, boot_time Now);

  /// The instance, which is no longer among the live ones, left as planned, so
  /// it isn't partitioned.
  void instanceLeft(const std::string &Name);

  /// This instance leaves: it mints no more.
  void leave();

  permit_state state(target_start Target, boot_time Now);
  std::chrono::milliseconds untilAvailable(target_start Target, boot_time Now);
  void spend(target_start Target, boot_time Now);
  void refund(target_start Target, boot_time Now);
  void setWaiting(target_start Target, std::uint32_t Requests);

  /// Returns the permit requests to send, new ones and repeated ones. Call when
  /// a request begins to wait, and every few tens of milliseconds.
  std::vector<outgoing_permit_request> tick(boot_time Now);

  /// \p Sender is the incarnation of the requesting process. The request's
  /// limit must have been merged before.
  permit_grant answer(const permit_request &Request, std::uint64_t Sender,
                      boot_time Now);

  /// Applies the answer to a permit request of this instance. The grant's limit
  /// must have been merged before.
  void accept(const permit_grant &Grant, boot_time Now);

  /// The live instances that mint the target's permits.
  std::vector<std::string> ownersOf(target_start Target, boot_time Now);

private:
  struct held_permits {
    std::uint32_t Count = 0;
    boot_time Expires;
  };

  struct owner {
    std::string Name;
    boot_time DeniedUntil;
    std::uint32_t Timeouts = 0;
  };

  struct account {
    /// The live instance of the highest rendezvous score first.
    std::vector<owner> Owners;
    /// Value of InstancesRevision for which Owners were chosen.
    std::uint64_t OwnersRevision = 0;
    /// Bucket level, while this instance is an owner.
    double Level = 0;
    boot_time RefilledAt;
    std::vector<held_permits> Held;
    std::uint32_t Waiting = 0;
  };

  struct pending_request {
    std::string To;
    permit_request Request;
    permit_timing Timing;
    boot_time FirstSentAt;
    boot_time LastSentAt;
  };

  /// A grant that may have to be sent again.
  struct sent_grant {
    std::uint64_t Sender = 0;
    std::uint64_t Sequence = 0;
    std::uint32_t Count = 0;
    boot_time At;
  };

  struct region_instance {
    permit_instance Instance;
    std::uint64_t Id = 0;
  };

  void rebuildInstances();
  account &accountOf(target_start Target, boot_time Now);
  std::vector<std::string> chooseOwners(target_start Target) const;
  bool isOwner(const account &Account) const;
  /// Null if the account has no such owner.
  static owner *findOwner(account &Account, const std::string &Name);
  /// The owner to ask; null if there is none or all have denied permits.
  owner *ownerToAsk(target_start Target, account &Account, boot_time Now) const;
  /// Permits per second that this instance mints.
  double mintRate(const account &Account, double Rate, boot_time Now) const;
  void refill(account &Account, double Rate, boot_time Now) const;
  /// Time until this instance has minted another permit.
  std::chrono::milliseconds untilMinted(const account &Account, double Rate,
                                        boot_time Now) const;
  /// Part of the own region's instances that are alive here.
  double visiblePart(boot_time Now) const;
  std::uint32_t held(const account &Account, boot_time Now) const;
  void expireRequests(boot_time Now);
  void requestFor(target_start Target, account &Account, boot_time Now,
                  std::vector<outgoing_permit_request> &Out);

  permit_settings Settings;
  target_limits &Limits;
  boot_time StartedAt;
  std::uint64_t SelfId;
  bool Leaving = false;
  /// Region of each target.
  std::unordered_map<target_start, std::string> Regions;
  /// Live instances without this one.
  std::vector<permit_instance> Peers;
  /// Live instances by region, this one included.
  std::map<std::string, std::vector<region_instance>> Instances;
  std::uint64_t InstancesRevision = 0;
  /// Instances of the own region that are no longer alive, and since when.
  std::map<std::string, boot_time> LostAt;
  std::unordered_map<target_start, account> Accounts;
  std::vector<pending_request> Pending;
  std::deque<sent_grant> Grants;
  std::uint64_t Sequence = 0;
};

} // namespace magnoliaspread

#endif
