/// Fleet-wide limits of this instance: leases on quota shares, agreed through
/// the platform and the local peers, and the quota allocator with its messages.
#ifndef MAGNOLIASPREAD_QUOTASYS_P_H
#define MAGNOLIASPREAD_QUOTASYS_P_H

#include "datagrams_p.h"

#include <magnoliaspread/clock.h>
#include <magnoliaspread/member.h>
#include <magnoliaspread/platform.h>
#include <magnoliaspread/quota.h>
#include <magnoliaspread/settings.h>
#include <magnoliaspread/share.h>
#include <magnoliaspread/table.h>
#include <magnoliaspread/view.h>

#include <vector>

namespace magnoliaspread {

class quota_system {
public:
  quota_system(object_store &Store, datagram_port &Port,
               const membership &Members, const clock &Clock,
               const instance_settings &Settings, std::uint64_t Incarnation,
               std::uint64_t Seed, token_pool &Pool);

  /// Applies a configuration that was activated.
  void adopt(const config_table &Table);

  void tick();

  void receive(std::uint64_t Sender, const quota_message &Message);

  /// The process with that incarnation is known to have ended.
  void declareDead(std::uint64_t Incarnation);

  /// Releases the shares.
  void leave() { Leases.leave(); }

  /// True when no share is held.
  bool released() const { return Leases.heldCount() == 0; }

  /// True when a held share has minted long enough to have tokens.
  bool minting() const;

  /// Workspaces that are short of tokens on this instance.
  std::vector<token_wait> waits() const;

  const share_lease_manager &leases() const { return Leases; }
  const quota_allocator &allocator() const { return Allocator; }

private:
  void handle(std::uint64_t Sender, const token_request &Request);
  void handle(std::uint64_t Sender, const token_grant &Grant);
  void handle(std::uint64_t Sender, const promise_request &Request);
  void handle(std::uint64_t Sender, const promise_reply &Reply);
  void runShares(steady_time Now);
  void runAllocator(steady_time Now);
  void read(const share_read &Read);
  void write(const share_write &Write);
  void sendTo(std::uint64_t Incarnation, const quota_message &Message);
  void sendTo(const std::string &Name, const quota_message &Message);

  object_store &Store;
  datagram_port &Port;
  const membership &Members;
  const clock &Clock;
  const instance_settings &Settings;
  share_lease_manager Leases;
  quota_allocator Allocator;
  std::vector<std::string> Workspaces;
  std::vector<std::string> DataCentres;
  std::uint64_t Version = 0;
  steady_time NextPeers;
};

} // namespace magnoliaspread

#endif
