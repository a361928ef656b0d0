#include "steerer_p.h"

#include <magnoliaspread/ownership.h>

#include <algorithm>

namespace magnoliaspread {

using std::chrono::milliseconds;

namespace {

/// Least time between credit requests to the same peer.
constexpr milliseconds CreditRequestInterval{50};
/// Peers of a region that are asked for credits at a time.
constexpr std::size_t MaxCreditRequestPeers = 4;

} // namespace

/// Requests one credit per waiting request from each of some peers of the
/// region.
void steerer::requestCredits(service_handle Service, region_handle Region) {
  const steady_time Now = Clock.now();
  std::vector<instance_handle> Candidates = peersOf(Region);
  std::shuffle(Candidates.begin(), Candidates.end(), Random);
  if (Candidates.size() > MaxCreditRequestPeers)
    Candidates.resize(MaxCreditRequestPeers);
  const auto Wanted = static_cast<std::uint32_t>(
      Services[Service.Index].Lanes[Region.Index]->waitingCount());
  for (const instance_handle Peer : Candidates) {
    const auto Asked =
        std::find_if(CreditRequests.begin(), CreditRequests.end(),
                     [&](const credit_request_time &Ask) {
                       return Ask.Peer == Peer && Ask.Service == Service;
                     });
    if (Asked != CreditRequests.end() &&
        Now - Asked->At < CreditRequestInterval)
      continue;
    if (Asked == CreditRequests.end())
      CreditRequests.push_back({Peer, Service, Now});
    else
      Asked->At = Now;
    const credit_request Ask =
        makeCreditRequest(Requester, Peer, Service, Wanted, Now);
    Outgoing.push_back(
        {PeerNames.name(Peer),
         credit_request_message{stableId(Services[Service.Index].Name),
                                Ask.Wanted, Ask.Sequence}});
  }
}

/// Slots offered to peers: none while requests wait here.
offered_slots steerer::offeredSlots(service_handle Service,
                                    steady_time Now) const {
  const service_state &State = Services[Service.Index];
  const auto &Own = State.Lanes[Plan.Own.Index];
  const bool OwnWait = Own != nullptr && Own->waitingCount() > 0;
  const bool PeersWait =
      State.Forwarded != nullptr && State.Forwarded->waitingCount() > 0;
  offered_slots Offer;
  if (!OwnWait && !PeersWait)
    Offer.Free = countSlots(Targets, Service, Now).Free;
  if (Own != nullptr)
    Offer.SlotTime = meanSlotTime(Own->queue());
  return Offer;
}

void steerer::grantCreditsOf(service_handle Service, steady_time Now) {
  for (const addressed_grant &Row : grantCredits(
           Grantor, Service, offeredSlots(Service, Now), Now, Random()))
    Outgoing.push_back(
        {PeerNames.name(Row.Peer),
         credit_grant_message{stableId(Services[Service.Index].Name),
                              Row.Grant.Count, Row.Grant.Id, Row.Grant.Sequence,
                              Row.Grant.Lifetime}});
}

void steerer::receive(const peer_credit_message &Message) {
  const instance_handle Peer = PeerNames.intern(Message.Peer);
  if (!Peer.valid())
    return;
  const steady_time Now = Clock.now();
  const auto ServiceOf = [&](std::uint64_t Id) {
    for (std::size_t I = 0; I < Services.size(); ++I)
      if (stableId(Services[I].Name) == Id)
        return handleAt<service_handle>(I);
    return service_handle{};
  };
  if (const auto *Ask = std::get_if<credit_request_message>(&Message.Message)) {
    const service_handle Service = ServiceOf(Ask->Service);
    if (Service.valid())
      noteCreditRequest(Grantor, Peer, {Service, Ask->Wanted, Ask->Sequence},
                        Now);
    return;
  }
  const auto &Grant = std::get<credit_grant_message>(Message.Message);
  const service_handle Service = ServiceOf(Grant.Service);
  if (!Service.valid())
    return;
  const bool Useful = noteGrant(
      Requester, Peer,
      {Service, Grant.Count, Grant.Id, Grant.Sequence, Grant.Lifetime}, Now);
  if (Useful && Grant.Count > 0)
    pumpService(Service);
}

} // namespace magnoliaspread
