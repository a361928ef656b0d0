#include <magnoliaspread/credit.h>

#include <magnoliaspread/ownership.h>

#include <algorithm>
#include <cmath>

namespace magnoliaspread {

using std::chrono::duration;

namespace {

/// Asks to one peer for one service that a grant may still answer.
constexpr std::size_t AsksKept = 2;
/// Time constant of the decaying demand.
constexpr duration<double> DemandMemory{1.0};
/// Credits wished for over the demand that is expected.
constexpr double DemandMargin = 1.25;

using asked_row = credit_grantor::asked_row;
using granted_row = credit_grantor::granted_row;
using held_row = credit_wallet::held_row;
using sent_ask = credit_wallet::sent_ask;

asked_row *findAsk(credit_grantor &Grantor, instance_handle Peer,
                   service_handle Service) {
  for (asked_row &Row : Grantor.Asked)
    if (Row.Peer == Peer && Row.Ask.Service == Service)
      return &Row;
  return nullptr;
}

/// Credits that an offer is worth beyond those that are out.
std::uint32_t grantable(const credit_grantor &Grantor, service_handle Service,
                        const offered_slots &Offer, steady_time Now) {
  const credit_policy &Policy = Grantor.Policy;
  const std::uint32_t Kept = Offer.Free * Policy.KeptPercent / 100;
  double Turnover = 1;
  if (Offer.SlotTime.count() > 0)
    Turnover = duration<double>(Policy.Round) / Offer.SlotTime;
  Turnover = std::clamp(Turnover, 1.0, double(Policy.LargestTurnover));
  const auto Worth = static_cast<std::uint32_t>((Offer.Free - Kept) * Turnover);
  const std::uint32_t Out = creditsOut(Grantor, Service, Now);
  return Worth > Out ? Worth - Out : 0;
}

/// Max-min fair division of \p Slots over the wishes, in their order.
std::vector<std::uint32_t> divide(const std::vector<std::uint32_t> &Wishes,
                                  std::uint32_t Slots) {
  std::vector<std::uint32_t> Parts(Wishes.size(), 0);
  std::vector<std::size_t> Open(Wishes.size());
  for (std::size_t I = 0; I < Open.size(); ++I)
    Open[I] = I;
  while (Slots > 0 && !Open.empty()) {
    const auto Count = static_cast<std::uint32_t>(Open.size());
    const std::uint32_t Each = std::max(1U, Slots / Count);
    for (const std::size_t I : Open) {
      const std::uint32_t Part = std::min({Each, Wishes[I] - Parts[I], Slots});
      Parts[I] += Part;
      Slots -= Part;
    }
    std::erase_if(Open, [&](std::size_t I) { return Parts[I] == Wishes[I]; });
  }
  return Parts;
}

bool live(const held_row &Row, service_handle Service, steady_time Now) {
  return Row.Service == Service && Row.Remaining > 0 && Now < Row.Until;
}

bool among(const std::vector<instance_handle> &Peers, instance_handle Peer) {
  return std::find(Peers.begin(), Peers.end(), Peer) != Peers.end();
}

/// The shortage row of a service, decayed to \p Now.
credit_wallet::shortage &shortageOf(credit_wallet &Wallet,
                                    service_handle Service, steady_time Now) {
  if (Service.Index >= Wallet.Shortages.size())
    Wallet.Shortages.resize(Service.Index + 1U);
  credit_wallet::shortage &Row = Wallet.Shortages[Service.Index];
  const double Age = duration<double>(Now - Row.DecayedAt).count();
  Row.Recent *= std::exp(-std::max(0.0, Age) / DemandMemory.count());
  Row.DecayedAt = Now;
  return Row;
}

double creditsHeld(const credit_wallet &Wallet, service_handle Service,
                   steady_time Now) {
  double Count = 0;
  for (const held_row &Row : Wallet.Held)
    Count += live(Row, Service, Now) ? Row.Remaining : 0;
  return Count;
}

/// Whether an answer from the peer may still come.
bool awaits(const credit_wallet &Wallet, instance_handle Peer,
            service_handle Service, steady_time Now) {
  for (const sent_ask &Row : Wallet.Sent)
    if (Row.Peer == Peer && Row.Ask.Service == Service && !Row.Answered &&
        Now - Row.AskedAt < Wallet.Policy.Round)
      return true;
  return false;
}

/// Up to the policy's number of random peers of each kind.
std::vector<instance_handle> choosePeers(const credit_wallet &Wallet,
                                         service_handle Service,
                                         const std::vector<askable_peer> &Peers,
                                         steady_time Now,
                                         std::uint64_t Random) {
  const std::uint32_t FanOut = Wallet.Policy.AskFanOut;
  std::vector<instance_handle> Chosen;
  for (const bool Near : {true, false}) {
    std::vector<instance_handle> Pool;
    for (const askable_peer &Row : Peers)
      if (Row.Near == Near && !awaits(Wallet, Row.Peer, Service, Now))
        Pool.push_back(Row.Peer);
    for (std::uint32_t I = 0; I < FanOut && !Pool.empty(); ++I) {
      Random = rendezvousScore(Random, I + 1);
      std::swap(Pool[Random % Pool.size()], Pool.back());
      Chosen.push_back(Pool.back());
      Pool.pop_back();
    }
  }
  return Chosen;
}

} // namespace

credit_grantor::credit_grantor(const credit_policy &Policy,
                               std::uint64_t FirstId)
    : Policy(Policy), NextId(std::max<std::uint64_t>(FirstId, 1)) {}

void noteAsk(credit_grantor &Grantor, instance_handle Peer,
             const credit_ask &Ask, steady_time Now) {
  if (asked_row *Row = findAsk(Grantor, Peer, Ask.Service)) {
    if (Ask.Sequence > Row->Ask.Sequence)
      *Row = {Peer, Ask, Now, false};
    return;
  }
  if (Grantor.Asked.size() < Grantor.Policy.Capacity)
    Grantor.Asked.push_back({Peer, Ask, Now, false});
}

std::vector<addressed_grant> grantCredits(credit_grantor &Grantor,
                                          service_handle Service,
                                          const offered_slots &Offer,
                                          steady_time Now,
                                          std::uint64_t Random) {
  dropExpired(Grantor, Now);
  std::vector<asked_row *> Rows;
  for (asked_row &Row : Grantor.Asked)
    if (Row.Ask.Service == Service && !Row.Answered && Row.Ask.Wanted > 0)
      Rows.push_back(&Row);
  if (Rows.empty())
    return {};
  const auto Turn = static_cast<std::ptrdiff_t>(Random % Rows.size());
  std::rotate(Rows.begin(), Rows.begin() + Turn, Rows.end());
  std::vector<std::uint32_t> Wishes;
  Wishes.reserve(Rows.size());
  for (const asked_row *Row : Rows)
    Wishes.push_back(Row->Ask.Wanted);
  const std::vector<std::uint32_t> Parts =
      divide(Wishes, grantable(Grantor, Service, Offer, Now));
  std::vector<addressed_grant> Grants;
  const credit_policy &Policy = Grantor.Policy;
  for (std::size_t I = 0; I < Rows.size(); ++I) {
    if (Parts[I] == 0 || Grantor.Granted.size() >= Policy.Capacity)
      continue;
    const std::uint64_t Id = Grantor.NextId++;
    const steady_time Until = Now + Policy.Lifetime + Policy.Grace;
    Rows[I]->Answered = true;
    Grantor.Granted.push_back({Rows[I]->Peer, Service, Id, Parts[I], Until});
    Grants.push_back(
        {Rows[I]->Peer,
         {Service, Parts[I], Id, Rows[I]->Ask.Sequence, Policy.Lifetime}});
  }
  return Grants;
}

std::uint32_t creditsOut(const credit_grantor &Grantor, service_handle Service,
                         steady_time Now) {
  std::uint32_t Out = 0;
  for (const granted_row &Row : Grantor.Granted)
    if (Row.Service == Service && Now < Row.Until)
      Out += Row.Remaining;
  return Out;
}

status admitCredited(credit_grantor &Grantor, service_handle Service,
                     instance_handle Peer, std::uint64_t GrantId,
                     std::uint32_t Free, steady_time Now) {
  for (granted_row &Row : Grantor.Granted) {
    if (Row.Id != GrantId || Row.Peer != Peer || Row.Service != Service)
      continue;
    if (Row.Remaining == 0 || Now >= Row.Until)
      break;
    --Row.Remaining;
    return {};
  }
  if (Free > creditsOut(Grantor, Service, Now))
    return {};
  return error{error_kind::NoCapacity, "no free slot without a credit", {}};
}

void dropExpired(credit_grantor &Grantor, steady_time Now) {
  std::erase_if(Grantor.Granted, [&](const granted_row &Row) {
    return Row.Remaining == 0 || Now >= Row.Until;
  });
  std::erase_if(Grantor.Asked, [&](const asked_row &Row) {
    return Now - Row.ArrivedAt >= Grantor.Policy.Lifetime;
  });
}

void dropPeer(credit_grantor &Grantor, instance_handle Peer) {
  std::erase_if(Grantor.Asked,
                [&](const asked_row &Row) { return Row.Peer == Peer; });
  std::erase_if(Grantor.Granted,
                [&](const granted_row &Row) { return Row.Peer == Peer; });
}

credit_wallet::credit_wallet(const credit_policy &Policy,
                             std::uint64_t FirstSequence)
    : Policy(Policy), NextSequence(FirstSequence) {}

void noteShortage(credit_wallet &Wallet, service_handle Service,
                  steady_time Now) {
  credit_wallet::shortage &Row = shortageOf(Wallet, Service, Now);
  Row.Recent += 1;
}

std::vector<addressed_ask> planAsks(credit_wallet &Wallet,
                                    service_handle Service,
                                    const std::vector<askable_peer> &Peers,
                                    std::uint32_t Waiting, steady_time Now,
                                    std::uint64_t Random) {
  const credit_policy &Policy = Wallet.Policy;
  credit_wallet::shortage &Row = shortageOf(Wallet, Service, Now);
  if (Now - Row.AskedAt < Policy.AskPeriod)
    return {};
  const double Ahead = Row.Recent * duration<double>(Policy.Round).count();
  const double Wish = Waiting + std::ceil(Ahead * DemandMargin);
  const double Missing = Wish - creditsHeld(Wallet, Service, Now);
  if (Missing < 1)
    return {};
  const std::vector<instance_handle> Chosen =
      choosePeers(Wallet, Service, Peers, Now, Random);
  if (Chosen.empty())
    return {};
  Row.AskedAt = Now;
  const auto Each =
      static_cast<std::uint32_t>(std::ceil(Missing / double(Chosen.size())));
  std::vector<addressed_ask> Asks;
  Asks.reserve(Chosen.size());
  for (const instance_handle Peer : Chosen)
    Asks.push_back({Peer, makeAsk(Wallet, Peer, Service, Each, Now)});
  return Asks;
}

credit_ask makeAsk(credit_wallet &Wallet, instance_handle Peer,
                   service_handle Service, std::uint32_t Wanted,
                   steady_time Now) {
  const credit_ask Ask{Service, Wanted, Wallet.NextSequence++};
  sent_ask *Oldest = nullptr;
  std::size_t Count = 0;
  for (sent_ask &Row : Wallet.Sent) {
    if (Row.Peer != Peer || Row.Ask.Service != Service)
      continue;
    ++Count;
    if (!Oldest || Row.Ask.Sequence < Oldest->Ask.Sequence)
      Oldest = &Row;
  }
  if (Count >= AsksKept) {
    *Oldest = {Peer, Ask, Now, false};
    return Ask;
  }
  if (Wallet.Sent.size() < Wallet.Policy.Capacity)
    Wallet.Sent.push_back({Peer, Ask, Now, false});
  return Ask;
}

bool noteGrant(credit_wallet &Wallet, instance_handle Peer,
               const credit_grant &Grant, steady_time Now) {
  std::erase_if(Wallet.Held, [&](const held_row &Row) {
    return Row.Remaining == 0 || Now >= Row.Until;
  });
  for (sent_ask &Row : Wallet.Sent) {
    const bool Same = Row.Peer == Peer && Row.Ask.Service == Grant.Service &&
                      Row.Ask.Sequence == Grant.Sequence;
    if (!Same || Row.Answered)
      continue;
    const steady_time Until =
        Row.AskedAt + std::min(Grant.Lifetime, Wallet.Policy.Lifetime);
    if (Now >= Until || Wallet.Held.size() >= Wallet.Policy.Capacity)
      return false;
    Row.Answered = true;
    const std::uint32_t Count = std::min(Grant.Count, Row.Ask.Wanted);
    Wallet.Held.push_back({Peer, Grant.Service, Grant.Id, Count, Until});
    return true;
  }
  return false;
}

std::uint32_t creditsAt(const credit_wallet &Wallet, instance_handle Peer,
                        service_handle Service, steady_time Now) {
  std::uint32_t Count = 0;
  for (const held_row &Row : Wallet.Held)
    if (Row.Peer == Peer && live(Row, Service, Now))
      Count += Row.Remaining;
  return Count;
}

result<credit> spendCredit(credit_wallet &Wallet,
                           const std::vector<instance_handle> &Peers,
                           service_handle Service, steady_time Now,
                           std::uint64_t Random) {
  std::uint64_t Sum = 0;
  for (const held_row &Row : Wallet.Held)
    if (live(Row, Service, Now) && among(Peers, Row.Peer))
      Sum += Row.Remaining;
  if (Sum == 0)
    return error{error_kind::NoCapacity, "no credit from a peer", {}};
  std::uint64_t Point = Random % Sum;
  for (held_row &Row : Wallet.Held) {
    if (!live(Row, Service, Now) || !among(Peers, Row.Peer))
      continue;
    if (Point < Row.Remaining) {
      --Row.Remaining;
      return credit{Row.Peer, Row.Id};
    }
    Point -= Row.Remaining;
  }
  return error{error_kind::Internal, "credits miscounted", {}};
}

void dropCredits(credit_wallet &Wallet, instance_handle Peer,
                 service_handle Service) {
  std::erase_if(Wallet.Held, [&](const held_row &Row) {
    return Row.Peer == Peer && Row.Service == Service;
  });
}

} // namespace magnoliaspread
