/// Simulation of credit senders and receivers of one service in several
/// regions, in steps of one millisecond: delayed, lost, duplicated and false
/// messages, and restarts.
#ifndef MAGNOLIASPREAD_HEADROOM_H
#define MAGNOLIASPREAD_HEADROOM_H

#include <magnoliaspread/credit.h>
#include <magnoliaspread/limit.h>
#include <magnoliaspread/region.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace magnoliaspread {

enum class headroom_policy { Credits, RoundRobin, EmptiestRegion };

struct headroom_shape {
  std::uint16_t Regions = 3;
  std::uint16_t PlacesPerRegion = 2;
  std::uint16_t InstancesPerPlace = 2;
  /// Slots of all targets of the service, spread evenly over instances.
  std::uint32_t Slots = 112;
  /// Offered load relative to all slots.
  double Load = 0.8;
  /// Fraction of the load that arrives in the first region.
  double Skew = 0.7;
  std::chrono::milliseconds SlotTime{50};
  std::chrono::milliseconds RegionDelay{35};
  std::chrono::milliseconds ReportPeriod{1000};
  std::chrono::milliseconds Length{10000};
  /// Longest wait of a request for a slot.
  std::chrono::milliseconds MaxWait{1000};
  /// Region whose instances stop at half of Length; none when past the last.
  std::uint16_t LostRegion = 99;
  /// Fault probabilities: for each message, and of a restart each millisecond.
  double Loss = 0;
  double Repeat = 0;
  double Restart = 0;
  /// Factor on the free capacity that the instances of region 1 report.
  double ReportFactor = 1;
};

struct headroom_result {
  /// Largest ratio of requests in flight to slots in a region.
  double Worst = 0;
  /// Instance milliseconds with more requests in flight than slots.
  std::uint64_t Breaches = 0;
  std::uint64_t Offered = 0;
  std::uint64_t Served = 0;
  std::uint64_t Refused = 0;
  /// Refused by a peer after forwarding, then retried.
  std::uint64_t RefusedLate = 0;
  /// Sum of the times until a slot was assigned, forwarding included.
  std::chrono::nanoseconds Waited{};
  std::uint64_t Messages = 0;

  double servedPart() const {
    return static_cast<double>(Served) / static_cast<double>(Offered);
  }
  double meanWaitMs() const {
    return std::chrono::duration<double, std::milli>(Waited).count() /
           static_cast<double>(std::max<std::uint64_t>(Served, 1));
  }
};

struct headroom_request {
  steady_time ArrivedAt;
};

struct headroom_instance {
  std::uint16_t Region = 0;
  std::uint32_t Slots = 0;
  std::uint32_t InFlight = 0;
  std::uint64_t Incarnation = 0;
  bool Up = true;
  credit_grantor Grantor;
  credit_requester Requester;
  region_state State;
  /// Queued requests of own callers.
  std::deque<headroom_request> Own;
  /// Queued requests from peers.
  std::deque<headroom_request> Forwarded;
};

class headroom_model {
public:
  headroom_model(const headroom_shape &Shape, headroom_policy Policy,
                 std::uint64_t Seed);
  headroom_result run();

private:
  using event = std::function<void()>;
  static constexpr service_handle Service{0};
  static constexpr workspace_handle NoWorkspace{};

  std::uint16_t count() const {
    return static_cast<std::uint16_t>(Instances.size());
  }
  bool chance(double Part) { return Uniform(Random) < Part; }
  void at(std::chrono::milliseconds Delay, const event &Action);
  void send(std::uint16_t From, std::uint16_t To, const event &Action);
  std::uint32_t freeSlots(std::uint16_t Id) const;
  void begin(std::uint16_t Id, const headroom_request &Request);
  void restart(std::uint16_t Id);
  void arrive(std::uint16_t Id);
  void drain(std::uint16_t Id);
  bool steer(std::uint16_t Id);
  bool worthForwarding(const headroom_instance &Instance) const;
  void forward(std::uint16_t Id, const credit &Credit,
               const headroom_request &Request);
  void sendToBaseline(std::uint16_t Id);
  std::uint16_t baselineRegion();
  std::uint16_t anyInstance(std::uint16_t Region);
  void report();
  void exchange();
  void requestCredits(std::uint16_t Id);
  void measure();

  headroom_shape Shape;
  headroom_policy Policy;
  std::mt19937_64 Random;
  std::uniform_real_distribution<double> Uniform{0, 1};
  std::vector<headroom_instance> Instances;
  std::vector<steering_peer> Peers;
  region_plan Plan;
  steering_names Names;
  std::multimap<steady_time, event> Events;
  std::vector<double> ReportedFree;
  std::uint64_t Turn = 0;
  steady_time Now{std::chrono::hours(1)};
  headroom_result Result;
};

inline headroom_model::headroom_model(const headroom_shape &Shape,
                                      headroom_policy Policy,
                                      std::uint64_t Seed)
    : Shape(Shape), Policy(Policy), Random(Seed), ReportedFree(Shape.Regions) {
  config_table Table;
  Table.Services.push_back({"s", "/s/"});
  for (std::uint16_t R = 0; R < Shape.Regions; ++R) {
    const std::string Region(1, static_cast<char>('a' + R));
    Table.Regions.push_back({Region});
    for (std::uint16_t P = 0; P < Shape.PlacesPerRegion; ++P)
      Table.DataCentres.push_back({Region + std::to_string(P), Region});
  }
  Names = namesOf(Table);
  const std::uint16_t Places = Shape.Regions * Shape.PlacesPerRegion;
  const std::uint16_t Count = Places * Shape.InstancesPerPlace;
  for (std::uint16_t Id = 0; Id < Count; ++Id) {
    const std::uint16_t Place = Id / Shape.InstancesPerPlace;
    const std::uint16_t Region = Place / Shape.PlacesPerRegion;
    const std::uint32_t Slots = limitPart(Shape.Slots, Id, Count);
    Instances.push_back({Region,
                         Slots,
                         0,
                         1,
                         true,
                         credit_grantor({}, std::uint64_t{Id} << 48),
                         credit_requester({}, 1),
                         {},
                         {},
                         {}});
    Peers.push_back({{Id}, {Place}, false});
  }
  for (headroom_instance &Instance : Instances) {
    Plan = valueOf(makePlan(Table, Names, Names.Regions[Instance.Region]));
    adoptPlan(Instance.State, Plan, {}, Names);
  }
}

inline void headroom_model::at(std::chrono::milliseconds Delay,
                               const event &Action) {
  Events.emplace(Now + Delay, Action);
}

inline void headroom_model::send(std::uint16_t From, std::uint16_t To,
                                 const event &Action) {
  ++Result.Messages;
  const bool Near = Instances[From].Region == Instances[To].Region;
  const auto Delay = Near ? std::chrono::milliseconds(1) : Shape.RegionDelay;
  const event Deliver = [this, To, Action] {
    if (Instances[To].Up)
      Action();
  };
  if (!chance(Shape.Loss))
    at(Delay, Deliver);
  if (chance(Shape.Repeat))
    at(Delay + std::chrono::milliseconds(Random() % 800), Deliver);
}

inline std::uint32_t headroom_model::freeSlots(std::uint16_t Id) const {
  const headroom_instance &Instance = Instances[Id];
  return Instance.Slots - std::min(Instance.Slots, Instance.InFlight);
}

inline void headroom_model::begin(std::uint16_t Id,
                                  const headroom_request &Request) {
  ++Instances[Id].InFlight;
  ++Result.Served;
  Result.Waited += Now - Request.ArrivedAt;
  std::exponential_distribution<double> Spread(1);
  const double Milliseconds =
      static_cast<double>(Shape.SlotTime.count()) * Spread(Random);
  const std::uint64_t Incarnation = Instances[Id].Incarnation;
  at(std::chrono::milliseconds(1 + static_cast<int>(Milliseconds)),
     [this, Id, Incarnation] {
       if (Instances[Id].Incarnation != Incarnation)
         return;
       --Instances[Id].InFlight;
       if (Policy == headroom_policy::Credits)
         drain(Id);
     });
}

inline void headroom_model::restart(std::uint16_t Id) {
  headroom_instance &Instance = Instances[Id];
  ++Instance.Incarnation;
  Instance.InFlight = 0;
  Result.Refused += Instance.Own.size() + Instance.Forwarded.size();
  Instance.Own.clear();
  Instance.Forwarded.clear();
  const std::uint64_t First = Instance.Incarnation << 32;
  Instance.Grantor = credit_grantor({}, (std::uint64_t{Id} << 48) + First);
  Instance.Requester = credit_requester({}, First);
}

inline void headroom_model::arrive(std::uint16_t Id) {
  ++Result.Offered;
  if (Policy != headroom_policy::Credits)
    return sendToBaseline(Id);
  headroom_instance &Instance = Instances[Id];
  Instance.Own.push_back({Now});
  if (Instance.Own.size() > 1 || freeSlots(Id) == 0)
    noteShortage(Instance.Requester, Service, Now);
  drain(Id);
}

/// Starts or forwards queued requests while there are slots or credits.
inline void headroom_model::drain(std::uint16_t Id) {
  headroom_instance &Instance = Instances[Id];
  for (auto *Queue : {&Instance.Forwarded, &Instance.Own}) {
    while (!Queue->empty() && Now - Queue->front().ArrivedAt >= Shape.MaxWait) {
      Queue->pop_front();
      ++Result.Refused;
    }
  }
  while (!Instance.Forwarded.empty() && freeSlots(Id) > 0) {
    const headroom_request Request = Instance.Forwarded.front();
    Instance.Forwarded.pop_front();
    begin(Id, Request);
  }
  while (!Instance.Own.empty() && steer(Id))
    Instance.Own.pop_front();
}

/// Whether the expected queueing time exceeds the delay to another region.
inline bool
headroom_model::worthForwarding(const headroom_instance &Instance) const {
  return Instance.Own.size() * Shape.SlotTime >
         Instance.Slots * Shape.RegionDelay;
}

/// Tries to start or forward the first queued request.
inline bool headroom_model::steer(std::uint16_t Id) {
  headroom_instance &Instance = Instances[Id];
  const headroom_request Request = Instance.Own.front();
  const bool Here = freeSlots(Id) > 0;
  std::vector<std::vector<instance_handle>> Peered(Shape.Regions);
  region_mask Available;
  for (std::uint16_t R = 0; R < Shape.Regions; ++R) {
    if (R != Instance.Region && !worthForwarding(Instance))
      continue;
    Peered[R] = peersIn(Plan, Peers, {R});
    for (const instance_handle Peer : Peered[R])
      if (creditsAt(Instance.Requester, Peer, Service, Now) > 0)
        Available.set(R);
  }
  if (Here)
    Available.set(Instance.Region);
  Plan.Own = {Instance.Region};
  Plan.Sets[0].Former = {};
  Plan.Sets[0].Former.Share[Instance.Region] = 1;
  Plan.Sets[0].Wanted = Plan.Sets[0].Former;
  const auto Choice = chooseRegion(Plan, Instance.State,
                                   {Service, NoWorkspace, Available}, Now, {});
  if (failed(Choice))
    return false;
  if (Here && valueOf(Choice).Region.Index == Instance.Region) {
    begin(Id, Request);
    return true;
  }
  const auto Credit =
      spendCredit(Instance.Requester, Peered[valueOf(Choice).Region.Index],
                  Service, Now, Random());
  forward(Id, valueOf(Credit), Request);
  return true;
}

inline void headroom_model::forward(std::uint16_t Id, const credit &Credit,
                                    const headroom_request &Request) {
  const std::uint16_t To = Credit.Peer.Index;
  const bool Near = Instances[Id].Region == Instances[To].Region;
  at(Near ? std::chrono::milliseconds(1) : Shape.RegionDelay,
     [this, Id, To, Credit, Request] {
       headroom_instance &Receiver = Instances[To];
       if (Receiver.Up &&
           !failed(admitCredited(Receiver.Grantor, Service, {Id},
                                 Credit.GrantId, freeSlots(To), Now))) {
         Receiver.Forwarded.push_back(Request);
         return drain(To);
       }
       // Refused as not run, so the sender may retry it.
       dropCredits(Instances[Id].Requester, Credit.Peer, Service);
       ++Result.RefusedLate;
       if (Instances[Id].Up)
         Instances[Id].Own.push_front(Request);
       else
         ++Result.Refused;
     });
}

inline std::uint16_t headroom_model::baselineRegion() {
  if (Policy == headroom_policy::RoundRobin)
    return static_cast<std::uint16_t>(Turn++ % Shape.Regions);
  const auto Most = std::max_element(ReportedFree.begin(), ReportedFree.end());
  return static_cast<std::uint16_t>(Most - ReportedFree.begin());
}

inline std::uint16_t headroom_model::anyInstance(std::uint16_t Region) {
  const std::uint16_t Count = Shape.PlacesPerRegion * Shape.InstancesPerPlace;
  return static_cast<std::uint16_t>(std::uint64_t{Region} * Count +
                                    Random() % Count);
}

/// Baseline policies: the receiver runs every request.
inline void headroom_model::sendToBaseline(std::uint16_t Id) {
  const std::uint16_t Region = baselineRegion();
  const std::uint16_t To = anyInstance(Region);
  const bool Near = Instances[Id].Region == Region;
  const headroom_request Request{Now};
  at(Near ? std::chrono::milliseconds(1) : Shape.RegionDelay,
     [this, To, Request] {
       if (Instances[To].Up)
         begin(To, Request);
       else
         ++Result.Refused;
     });
}

inline void headroom_model::report() {
  std::vector<double> Free(Shape.Regions, 0);
  for (std::uint16_t Id = 0; Id < count(); ++Id)
    if (Instances[Id].Up)
      Free[Instances[Id].Region] += freeSlots(Id);
  Free[1] *= Shape.ReportFactor;
  at(Shape.RegionDelay, [this, Free] { ReportedFree = Free; });
}

/// One control tick: credit requests, grants and the requests that can go on.
inline void headroom_model::exchange() {
  for (std::uint16_t Id = 0; Id < count(); ++Id) {
    headroom_instance &Instance = Instances[Id];
    if (!Instance.Up)
      continue;
    drain(Id);
    requestCredits(Id);
    std::uint32_t Free = Instance.Own.empty() ? freeSlots(Id) : 0;
    if (Instance.Region == 1)
      Free = static_cast<std::uint32_t>(Free * Shape.ReportFactor);
    for (const addressed_grant &Grant : grantCredits(
             Instance.Grantor, Service, {Free, Shape.SlotTime}, Now, Random()))
      send(Id, Grant.Peer.Index, [this, Id, Grant] {
        noteGrant(Instances[Grant.Peer.Index].Requester, {Id}, Grant.Grant,
                  Now);
        drain(Grant.Peer.Index);
      });
  }
}

inline void headroom_model::requestCredits(std::uint16_t Id) {
  headroom_instance &Instance = Instances[Id];
  std::vector<credit_peer> Askable;
  for (std::uint16_t To = 0; To < count(); ++To)
    if (To != Id)
      Askable.push_back({{To}, Instances[To].Region == Instance.Region});
  const auto Waiting = static_cast<std::uint32_t>(Instance.Own.size());
  for (const addressed_request &Outgoing : planCreditRequests(
           Instance.Requester, Service, Askable, Waiting, Now, Random()))
    send(Id, Outgoing.Peer.Index, [this, Id, Outgoing] {
      noteCreditRequest(Instances[Outgoing.Peer.Index].Grantor, {Id},
                        Outgoing.Request, Now);
    });
}

inline void headroom_model::measure() {
  std::vector<double> Running(Shape.Regions, 0);
  std::vector<double> Slots(Shape.Regions, 0);
  for (const headroom_instance &Instance : Instances) {
    Running[Instance.Region] += Instance.InFlight;
    Slots[Instance.Region] += Instance.Slots;
    Result.Breaches += Instance.InFlight > Instance.Slots ? 1 : 0;
  }
  for (std::uint16_t R = 0; R < Shape.Regions; ++R)
    Result.Worst = std::max(Result.Worst, Running[R] / Slots[R]);
}

inline headroom_result headroom_model::run() {
  const steady_time Start = Now;
  const double PerMillisecond =
      Shape.Load * Shape.Slots / static_cast<double>(Shape.SlotTime.count());
  std::poisson_distribution<int> Count(PerMillisecond);
  int Step = 0;
  for (; Now < Start + Shape.Length; Now += std::chrono::milliseconds(1)) {
    while (!Events.empty() && Events.begin()->first <= Now) {
      const event Action = Events.begin()->second;
      Events.erase(Events.begin());
      Action();
    }
    if (Now - Start == Shape.Length / 2)
      for (std::uint16_t Id = 0; Id < count(); ++Id)
        if (Instances[Id].Region == Shape.LostRegion) {
          restart(Id);
          Instances[Id].Up = false;
        }
    if (chance(Shape.Restart))
      restart(static_cast<std::uint16_t>(Random() % Instances.size()));
    for (int I = Count(Random); I > 0; --I) {
      const bool First = chance(Shape.Skew);
      const auto Region = static_cast<std::uint16_t>(
          First ? 0 : 1 + Random() % (Shape.Regions - 1U));
      std::uint16_t Id = anyInstance(Region);
      // Callers of a lost region use another one.
      while (!Instances[Id].Up)
        Id = static_cast<std::uint16_t>(Random() % Instances.size());
      arrive(Id);
    }
    if (Step % Shape.ReportPeriod.count() == 0)
      report();
    if (Policy == headroom_policy::Credits && Step % 20 == 0)
      exchange();
    ++Step;
    measure();
  }
  return Result;
}

inline headroom_result runHeadroom(const headroom_shape &Shape,
                                   headroom_policy Policy, std::uint64_t Seed) {
  return headroom_model(Shape, Policy, Seed).run();
}

} // namespace magnoliaspread

#endif
