/// Fleet-wide limits of this instance: leases on quota shares through the
/// platform and the mates, and the token bank with its messages.
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
               std::uint64_t Seed, purse &Purse);

  /// A configuration has come in force.
  void adopt(const config_table &Table);

  void tick();

  void receive(std::uint64_t Sender, const quota_message &Message);

  /// The process with that incarnation has certainly ended.
  void declareDead(std::uint64_t Incarnation);

  /// Releases the shares.
  void leave() { Keeper.leave(); }

  /// True when no share is held any more.
  bool released() const { return Keeper.heldCount() == 0; }

  /// True when a held share has minted for long enough to have tokens.
  bool minting() const;

  /// Workspaces whose tokens run short here.
  std::vector<token_wait> waits() const;

  const share_keeper &keeper() const { return Keeper; }
  const quota_bank &bank() const { return Bank; }

private:
  void take(std::uint64_t Sender, const token_ask &Ask);
  void take(std::uint64_t Sender, const token_grant &Grant);
  void take(std::uint64_t Sender, const promise_request &Request);
  void take(std::uint64_t Sender, const promise_reply &Reply);
  void runShares(steady_time Now);
  void runBank(steady_time Now);
  void read(const share_read &Read);
  void write(const share_write &Write);
  void sendTo(std::uint64_t Incarnation, const quota_message &Message);
  void sendTo(const std::string &Name, const quota_message &Message);

  object_store &Store;
  datagram_port &Port;
  const membership &Members;
  const clock &Clock;
  const instance_settings &Settings;
  share_keeper Keeper;
  quota_bank Bank;
  std::vector<std::string> Workspaces;
  std::vector<std::string> DataCentres;
  std::uint64_t Version = 0;
  steady_time NextPeers;
};

} // namespace magnoliaspread

#endif
