#include <magnoliaspread/credit.h>

#include <magnoliaspread/ownership.h>

#include <algorithm>
#include <cmath>

namespace magnoliaspread {

using std::chrono::duration;

namespace {

/// Credit requests to one peer for one service that a grant may still answer.
constexpr std::size_t MaxOpenRequests = 2;
/// Time constant of the decay of recent demand.
constexpr duration<double> DemandMemory{1.0};
/// Requested credits relative to the expected demand.
constexpr double DemandMargin = 1.25;

using request_row = credit_grantor::request_row;
using grant_row = credit_grantor::grant_row;
using credit_row = credit_requester::credit_row;
using sent_request = credit_requester::sent_request;

request_row *findRequest(credit_grantor &Grantor, instance_handle Peer,
                         service_handle Service) {
  for (request_row &Row : Grantor.Requests)
    if (Row.Peer == Peer && Row.Request.Service == Service)
      return &Row;
  return nullptr;
}

/// Credits that can be granted for an offer beyond the outstanding ones.
std::uint32_t grantableCredits(const credit_grantor &Grantor,
                               service_handle Service,
                               const offered_slots &Offer, steady_time Now) {
  const credit_policy &Policy = Grantor.Policy;
  const std::uint32_t Reserved = Offer.Free * Policy.ReservedPercent / 100;
  double Turnover = 1;
  if (Offer.SlotTime.count() > 0)
    Turnover = duration<double>(Policy.Round) / Offer.SlotTime;
  Turnover = std::clamp(Turnover, 1.0, double(Policy.LargestTurnover));
  const auto Credits =
      static_cast<std::uint32_t>((Offer.Free - Reserved) * Turnover);
  const std::uint32_t Outstanding = creditsOut(Grantor, Service, Now);
  return Credits > Outstanding ? Credits - Outstanding : 0;
}

/// Max-min fair division of \p Slots over the requested numbers, in their
/// order.
std::vector<std::uint32_t>
divideFairly(const std::vector<std::uint32_t> &Requested, std::uint32_t Slots) {
  std::vector<std::uint32_t> Parts(Requested.size(), 0);
  std::vector<std::size_t> Unsatisfied(Requested.size());
  for (std::size_t I = 0; I < Unsatisfied.size(); ++I)
    Unsatisfied[I] = I;
  while (Slots > 0 && !Unsatisfied.empty()) {
    const auto Count = static_cast<std::uint32_t>(Unsatisfied.size());
    const std::uint32_t Each = std::max(1U, Slots / Count);
    for (const std::size_t I : Unsatisfied) {
      const std::uint32_t Part =
          std::min({Each, Requested[I] - Parts[I], Slots});
      Parts[I] += Part;
      Slots -= Part;
    }
    std::erase_if(Unsatisfied,
                  [&](std::size_t I) { return Parts[I] == Requested[I]; });
  }
  return Parts;
}

bool usable(const credit_row &Row, service_handle Service, steady_time Now) {
  return Row.Service == Service && Row.Remaining > 0 && Now < Row.Until;
}

bool contains(const std::vector<instance_handle> &Peers, instance_handle Peer) {
  return std::find(Peers.begin(), Peers.end(), Peer) != Peers.end();
}

/// The shortage of a service, decayed to \p Now.
credit_requester::shortage &shortageOf(credit_requester &Requester,
                                       service_handle Service,
                                       steady_time Now) {
  if (Service.Index >= Requester.Shortages.size())
    Requester.Shortages.resize(Service.Index + 1U);
  credit_requester::shortage &Row = Requester.Shortages[Service.Index];
  const double Age = duration<double>(Now - Row.DecayedAt).count();
  Row.Recent *= std::exp(-std::max(0.0, Age) / DemandMemory.count());
  Row.DecayedAt = Now;
  return Row;
}

double creditsAvailable(const credit_requester &Requester,
                        service_handle Service, steady_time Now) {
  double Count = 0;
  for (const credit_row &Row : Requester.Credits)
    Count += usable(Row, Service, Now) ? Row.Remaining : 0;
  return Count;
}

/// Whether a credit request to the peer may still be answered.
bool awaitsGrant(const credit_requester &Requester, instance_handle Peer,
                 service_handle Service, steady_time Now) {
  for (const sent_request &Row : Requester.Sent)
    if (Row.Peer == Peer && Row.Request.Service == Service && !Row.Answered &&
        Now - Row.RequestedAt < Requester.Policy.Round)
      return true;
  return false;
}

/// Random peers, up to the policy's fan-out in the own region and again in
/// others.
std::vector<instance_handle> choosePeers(const credit_requester &Requester,
                                         service_handle Service,
                                         const std::vector<credit_peer> &Peers,
                                         steady_time Now,
                                         std::uint64_t Random) {
  const std::uint32_t FanOut = Requester.Policy.RequestFanOut;
  std::vector<instance_handle> Chosen;
  for (const bool Near : {true, false}) {
    std::vector<instance_handle> Pool;
    for (const credit_peer &Row : Peers)
      if (Row.Near == Near && !awaitsGrant(Requester, Row.Peer, Service, Now))
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

void noteCreditRequest(credit_grantor &Grantor, instance_handle Peer,
                       const credit_request &Request, steady_time Now) {
  if (request_row *Row = findRequest(Grantor, Peer, Request.Service)) {
    if (Request.Sequence > Row->Request.Sequence)
      *Row = {Peer, Request, Now, false};
    return;
  }
  if (Grantor.Requests.size() < Grantor.Policy.Capacity)
    Grantor.Requests.push_back({Peer, Request, Now, false});
}

std::vector<addressed_grant> grantCredits(credit_grantor &Grantor,
                                          service_handle Service,
                                          const offered_slots &Offer,
                                          steady_time Now,
                                          std::uint64_t Random) {
  dropExpired(Grantor, Now);
  std::vector<request_row *> Rows;
  for (request_row &Row : Grantor.Requests)
    if (Row.Request.Service == Service && !Row.Answered &&
        Row.Request.Wanted > 0)
      Rows.push_back(&Row);
  if (Rows.empty())
    return {};
  const auto Offset = static_cast<std::ptrdiff_t>(Random % Rows.size());
  std::rotate(Rows.begin(), Rows.begin() + Offset, Rows.end());
  std::vector<std::uint32_t> Requested;
  Requested.reserve(Rows.size());
  for (const request_row *Row : Rows)
    Requested.push_back(Row->Request.Wanted);
  const std::vector<std::uint32_t> Parts =
      divideFairly(Requested, grantableCredits(Grantor, Service, Offer, Now));
  std::vector<addressed_grant> Grants;
  const credit_policy &Policy = Grantor.Policy;
  for (std::size_t I = 0; I < Rows.size(); ++I) {
    if (Parts[I] == 0 || Grantor.Grants.size() >= Policy.Capacity)
      continue;
    const std::uint64_t Id = Grantor.NextId++;
    const steady_time Until = Now + Policy.Lifetime + Policy.Grace;
    Rows[I]->Answered = true;
    Grantor.Grants.push_back({Rows[I]->Peer, Service, Id, Parts[I], Until});
    Grants.push_back(
        {Rows[I]->Peer,
         {Service, Parts[I], Id, Rows[I]->Request.Sequence, Policy.Lifetime}});
  }
  return Grants;
}

std::uint32_t creditsOut(const credit_grantor &Grantor, service_handle Service,
                         steady_time Now) {
  std::uint32_t Outstanding = 0;
  for (const grant_row &Row : Grantor.Grants)
    if (Row.Service == Service && Now < Row.Until)
      Outstanding += Row.Remaining;
  return Outstanding;
}

status admitCredited(credit_grantor &Grantor, service_handle Service,
                     instance_handle Peer, std::uint64_t GrantId,
                     std::uint32_t Free, steady_time Now) {
  for (grant_row &Row : Grantor.Grants) {
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
  std::erase_if(Grantor.Grants, [&](const grant_row &Row) {
    return Row.Remaining == 0 || Now >= Row.Until;
  });
  std::erase_if(Grantor.Requests, [&](const request_row &Row) {
    return Now - Row.ArrivedAt >= Grantor.Policy.Lifetime;
  });
}

void dropPeer(credit_grantor &Grantor, instance_handle Peer) {
  std::erase_if(Grantor.Requests,
                [&](const request_row &Row) { return Row.Peer == Peer; });
  std::erase_if(Grantor.Grants,
                [&](const grant_row &Row) { return Row.Peer == Peer; });
}

credit_requester::credit_requester(const credit_policy &Policy,
                                   std::uint64_t FirstSequence)
    : Policy(Policy), NextSequence(FirstSequence) {}

void noteShortage(credit_requester &Requester, service_handle Service,
                  steady_time Now) {
  credit_requester::shortage &Row = shortageOf(Requester, Service, Now);
  Row.Recent += 1;
}

std::vector<addressed_request>
planCreditRequests(credit_requester &Requester, service_handle Service,
                   const std::vector<credit_peer> &Peers, std::uint32_t Waiting,
                   steady_time Now, std::uint64_t Random) {
  const credit_policy &Policy = Requester.Policy;
  credit_requester::shortage &Row = shortageOf(Requester, Service, Now);
  if (Now - Row.RequestedAt < Policy.RequestPeriod)
    return {};
  const double Ahead = Row.Recent * duration<double>(Policy.Round).count();
  const double Needed = Waiting + std::ceil(Ahead * DemandMargin);
  const double Missing = Needed - creditsAvailable(Requester, Service, Now);
  if (Missing < 1)
    return {};
  const std::vector<instance_handle> Chosen =
      choosePeers(Requester, Service, Peers, Now, Random);
  if (Chosen.empty())
    return {};
  Row.RequestedAt = Now;
  const auto Each =
      static_cast<std::uint32_t>(std::ceil(Missing / double(Chosen.size())));
  std::vector<addressed_request> Requests;
  Requests.reserve(Chosen.size());
  for (const instance_handle Peer : Chosen)
    Requests.push_back(
        {Peer, makeCreditRequest(Requester, Peer, Service, Each, Now)});
  return Requests;
}

credit_request makeCreditRequest(credit_requester &Requester,
                                 instance_handle Peer, service_handle Service,
                                 std::uint32_t Wanted, steady_time Now) {
  const credit_request Request{Service, Wanted, Requester.NextSequence++};
  sent_request *Oldest = nullptr;
  std::size_t Count = 0;
  for (sent_request &Row : Requester.Sent) {
    if (Row.Peer != Peer || Row.Request.Service != Service)
      continue;
    ++Count;
    if (!Oldest || Row.Request.Sequence < Oldest->Request.Sequence)
      Oldest = &Row;
  }
  if (Count >= MaxOpenRequests) {
    *Oldest = {Peer, Request, Now, false};
    return Request;
  }
  if (Requester.Sent.size() < Requester.Policy.Capacity)
    Requester.Sent.push_back({Peer, Request, Now, false});
  return Request;
}

bool noteGrant(credit_requester &Requester, instance_handle Peer,
               const credit_grant &Grant, steady_time Now) {
  std::erase_if(Requester.Credits, [&](const credit_row &Row) {
    return Row.Remaining == 0 || Now >= Row.Until;
  });
  for (sent_request &Row : Requester.Sent) {
    const bool Same = Row.Peer == Peer &&
                      Row.Request.Service == Grant.Service &&
                      Row.Request.Sequence == Grant.Sequence;
    if (!Same || Row.Answered)
      continue;
    const steady_time Until =
        Row.RequestedAt + std::min(Grant.Lifetime, Requester.Policy.Lifetime);
    if (Now >= Until || Requester.Credits.size() >= Requester.Policy.Capacity)
      return false;
    Row.Answered = true;
    const std::uint32_t Count = std::min(Grant.Count, Row.Request.Wanted);
    Requester.Credits.push_back({Peer, Grant.Service, Grant.Id, Count, Until});
    return true;
  }
  return false;
}

std::uint32_t creditsAt(const credit_requester &Requester, instance_handle Peer,
                        service_handle Service, steady_time Now) {
  std::uint32_t Count = 0;
  for (const credit_row &Row : Requester.Credits)
    if (Row.Peer == Peer && usable(Row, Service, Now))
      Count += Row.Remaining;
  return Count;
}

result<credit> spendCredit(credit_requester &Requester,
                           const std::vector<instance_handle> &Peers,
                           service_handle Service, steady_time Now,
                           std::uint64_t Random) {
  std::uint64_t Sum = 0;
  for (const credit_row &Row : Requester.Credits)
    if (usable(Row, Service, Now) && contains(Peers, Row.Peer))
      Sum += Row.Remaining;
  if (Sum == 0)
    return error{error_kind::NoCapacity, "no credit from a peer", {}};
  std::uint64_t Point = Random % Sum;
  for (credit_row &Row : Requester.Credits) {
    if (!usable(Row, Service, Now) || !contains(Peers, Row.Peer))
      continue;
    if (Point < Row.Remaining) {
      --Row.Remaining;
      return credit{Row.Peer, Row.Id};
    }
    Point -= Row.Remaining;
  }
  return error{error_kind::Internal, "credit count is inconsistent", {}};
}

void dropCredits(credit_requester &Requester, instance_handle Peer,
                 service_handle Service) {
  std::erase_if(Requester.Credits, [&](const credit_row &Row) {
    return Row.Peer == Peer && Row.Service == Service;
  });
}

} // namespace magnoliaspread
