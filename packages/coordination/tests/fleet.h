/// Simulates a fleet of membership instances and their network in virtual time.
/// Faults are injected by calls; a seed makes runs deterministic.
#ifndef MAGNOLIASPREAD_FLEET_H
#define MAGNOLIASPREAD_FLEET_H

#include <magnoliaspread/confsync.h>
#include <magnoliaspread/member.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace magnoliaspread {

struct network_faults {
  double Loss = 0;
  double Duplication = 0;
  std::chrono::milliseconds DelayMin{1};
  std::chrono::milliseconds DelayMax{5};
};

struct simulated_instance {
  std::string Name;
  std::size_t Centre = 0;
  member_identity Identity;
  std::unique_ptr<membership> Members;
  std::unique_ptr<config_sync> Config;
  bool Up = false;
  bool Frozen = false;
  bool PlatformBlocked = false;
  /// The running fetch; it ends at FetchEnds.
  std::optional<config_fetch> Fetch;
  steady_time FetchEnds;
  steady_time NextControl;
  /// When the process last stopped, by a kill or a leave.
  steady_time StoppedAt;
  std::uint64_t SentBytes = 0;
  std::uint64_t ReceivedBytes = 0;
  std::uint64_t SentDatagrams = 0;
  std::uint64_t PlatformReads = 0;
};

/// The simulated platform.
struct fleet_platform {
  bool Up = true;
  config_stamp Current{1, 1};
};

class fleet {
public:
  fleet(std::size_t Centres, std::size_t PerCentre, std::uint64_t Seed)
      : Centres(Centres), Random(Seed) {
    for (std::size_t C = 0; C < Centres; ++C)
      for (std::size_t I = 0; I < PerCentre; ++I)
        addInstance(C);
  }

  std::size_t addInstance(std::size_t Centre) {
    simulated_instance Instance;
    const std::size_t Index = Instances.size();
    Instance.Name = "dc" + std::to_string(Centre) + "-" + std::to_string(Index);
    Instance.Centre = Centre;
    Instances.push_back(std::move(Instance));
    return Index;
  }

  static std::string centreName(std::size_t Centre) {
    return "dc" + std::to_string(Centre);
  }

  static endpoint_address addressOf(std::size_t Index) {
    return {"10.0." + std::to_string(Index / 250) + "." +
                std::to_string(Index % 250 + 1),
            7000};
  }

  /// Starts a process under the instance's name with the addresses of \p Seeds.
  void start(std::size_t Index, const std::vector<std::size_t> &Seeds) {
    simulated_instance &Instance = Instances[Index];
    member_identity Id;
    Id.Name = Instance.Name;
    Id.DataCentre = centreName(Instance.Centre);
    Id.Region = "region" + std::to_string(Instance.Centre / 2);
    Id.Incarnation = Random() | 1;
    Id.Epoch = epochNow();
    Id.Internal = addressOf(Index);
    Id.Public = {Id.Internal.Address, 8000};
    Instance.Identity = Id;
    Instance.Members = std::make_unique<membership>(Id, Random(), Now);
    Instance.Config = std::make_unique<config_sync>(Random(), Now);
    Instance.Members->updateSeeds(seedsOf(Seeds));
    Instance.Fetch.reset();
    Instance.NextControl = Now;
    Instance.Up = true;
    Instance.Frozen = false;
  }

  void startAll() {
    std::vector<std::size_t> AllIndexes;
    for (std::size_t I = 0; I < Instances.size(); ++I)
      AllIndexes.push_back(I);
    for (std::size_t I = 0; I < Instances.size(); ++I)
      start(I, AllIndexes);
  }

  void kill(std::size_t Index) {
    Instances[Index].Up = false;
    Instances[Index].StoppedAt = Now;
  }

  void leave(std::size_t Index) {
    Instances[Index].StoppedAt = Now;
    send(Index, Instances[Index].Members->leave(Now));
  }

  void run(std::chrono::milliseconds Time) {
    const steady_time End = Now + Time;
    while (Now < End) {
      step();
      if (Check)
        Check();
    }
  }

  /// Runs until \p Done; false after \p Limit.
  bool runUntil(std::chrono::milliseconds Limit,
                const std::function<bool()> &Done) {
    const steady_time End = Now + Limit;
    while (Now < End) {
      if (Done())
        return true;
      step();
      if (Check)
        Check();
    }
    return Done();
  }

  /// Instances that run and are neither frozen nor leaving.
  std::set<std::string> serving(std::size_t Centre) const {
    std::set<std::string> Names;
    for (const simulated_instance &Instance : Instances)
      if (Instance.Centre == Centre && Instance.Up && !Instance.Frozen &&
          Instance.Members->self().Report.State == member_state::Alive)
        Names.insert(Instance.Name);
    return Names;
  }

  std::set<std::string> named(std::size_t By, std::size_t Centre) const {
    std::set<std::string> Names;
    for (const member_row &Row :
         Instances[By].Members->lookupInstances(Now, centreName(Centre)))
      Names.insert(Row.Identity.Name);
    return Names;
  }

  bool active(std::size_t Index) const {
    return Instances[Index].Up && !Instances[Index].Frozen;
  }

  /// True if look-ups on every running instance return exactly the serving
  /// ones.
  bool viewsAgree() const {
    for (std::size_t C = 0; C < Centres; ++C) {
      const std::set<std::string> Serving = serving(C);
      for (std::size_t I = 0; I < Instances.size(); ++I)
        if (active(I) && named(I, C) != Serving)
          return false;
    }
    return true;
  }

  bool allHaveVersion(std::uint64_t Version) const {
    for (std::size_t I = 0; I < Instances.size(); ++I)
      if (active(I) && Instances[I].Config->inForce().Version < Version)
        return false;
    return true;
  }

  std::uint64_t epochNow() const {
    return static_cast<std::uint64_t>(
               std::chrono::duration_cast<std::chrono::seconds>(
                   Now.time_since_epoch())
                   .count()) +
           EpochSkew;
  }

  steady_time Now{std::chrono::hours(1)};
  std::size_t Centres;
  std::vector<simulated_instance> Instances;
  network_faults Faults;
  fleet_platform Platform;
  std::mt19937_64 Random;
  std::chrono::milliseconds Step{50};
  std::chrono::milliseconds FetchTime{50};
  /// Offset of the wall clock that new processes read.
  std::uint64_t EpochSkew = 1000000;
  /// True if the first instance can't reach the second.
  std::function<bool(std::size_t, std::size_t)> Blocked;
  /// Called after every step.
  std::function<void()> Check;
  /// Encode and decode datagrams. If unset, messages are passed unencoded and
  /// no bytes are counted. The index is that of the sender or the receiver.
  std::function<std::string(std::size_t, const member_message &)> Encode;
  std::function<std::optional<member_message>(std::size_t, const std::string &)>
      Decode;

private:
  struct packet {
    member_message Message;
    std::string Datagram;
  };

  struct delivery {
    steady_time At;
    std::uint64_t Order;
    std::size_t From;
    std::size_t To;
    std::shared_ptr<const packet> Packet;

    bool operator<(const delivery &Other) const {
      return At != Other.At ? At > Other.At : Order > Other.Order;
    }
  };

  /// Including the IPv4 and UDP headers.
  std::size_t bytesOf(const packet &Packet) const {
    return Encode ? Packet.Datagram.size() + 28 : 0;
  }

  std::vector<seed_address>
  seedsOf(const std::vector<std::size_t> &Indexes) const {
    std::vector<seed_address> Seeds;
    Seeds.reserve(Indexes.size());
    for (const std::size_t I : Indexes)
      Seeds.push_back({centreName(Instances[I].Centre), addressOf(I)});
    return Seeds;
  }

  bool chance(double Probability) {
    return std::uniform_real_distribution<double>(0, 1)(Random) < Probability;
  }

  bool isBlocked(std::size_t From, std::size_t To) const {
    return Blocked && Blocked(From, To);
  }

  void send(std::size_t From, const outbox &Out) {
    for (const outgoing_message &Item : Out) {
      auto Packet = std::make_shared<packet>();
      if (Encode)
        Packet->Datagram = Encode(From, Item.Message);
      else
        Packet->Message = Item.Message;
      for (const endpoint_address &To : Item.To) {
        Instances[From].SentBytes += bytesOf(*Packet);
        ++Instances[From].SentDatagrams;
        transmit(From, indexOf(To), Packet);
      }
    }
  }

  std::size_t indexOf(const endpoint_address &Address) {
    if (Addresses.size() != Instances.size())
      for (std::size_t I = 0; I < Instances.size(); ++I)
        Addresses[addressOf(I).Address] = I;
    return Addresses.at(Address.Address);
  }

  void transmit(std::size_t From, std::size_t To,
                const std::shared_ptr<const packet> &Packet) {
    if (isBlocked(From, To) || chance(Faults.Loss))
      return;
    enqueue(From, To, Packet);
    if (chance(Faults.Duplication))
      enqueue(From, To, Packet);
  }

  void enqueue(std::size_t From, std::size_t To,
               const std::shared_ptr<const packet> &Packet) {
    const auto Spread = static_cast<std::uint64_t>(
        (Faults.DelayMax - Faults.DelayMin).count() + 1);
    const auto Delay =
        Faults.DelayMin + std::chrono::milliseconds(Random() % Spread);
    Queue.push({Now + Delay, ++Order, From, To, Packet});
  }

  void step() {
    Now += Step;
    while (!Queue.empty() && Queue.top().At <= Now) {
      const delivery Next = Queue.top();
      Queue.pop();
      deliver(Next);
    }
    for (std::size_t I = 0; I < Instances.size(); ++I)
      if (active(I))
        tickInstance(I);
  }

  void deliver(const delivery &Item) {
    simulated_instance &Instance = Instances[Item.To];
    if (!active(Item.To))
      return;
    Instance.ReceivedBytes += bytesOf(*Item.Packet);
    const endpoint_address From = addressOf(Item.From);
    if (!Decode) {
      send(Item.To, Instance.Members->receive(Now, From, Item.Packet->Message));
      return;
    }
    const auto Message = Decode(Item.To, Item.Packet->Datagram);
    if (Message)
      send(Item.To, Instance.Members->receive(Now, From, *Message));
  }

  void tickInstance(std::size_t Index) {
    simulated_instance &Instance = Instances[Index];
    send(Index, Instance.Members->tick(Now));
    finishFetch(Index);
    if (Now < Instance.NextControl)
      return;
    Instance.NextControl = Now + std::chrono::milliseconds(100);
    readPlatform(Instance);
    Instance.Config->setHolders(configHolders(*Instance.Members, Now));
    if (Instance.Fetch)
      return;
    Instance.Fetch =
        Instance.Config->nextFetch(Now, Instance.Members->isSpeaker());
    Instance.FetchEnds = Now + FetchTime;
  }

  void readPlatform(simulated_instance &Instance) {
    const bool Reached = Platform.Up && !Instance.PlatformBlocked;
    Instance.Members->setPlatformReachable(Reached);
    const bool Watch = Instance.Members->isSpeaker();
    Instance.Config->setSpeakersReach(Now,
                                      speakersReachPlatform(*Instance.Members));
    const bool Poll = Instance.Config->platformPollDue(Now, Watch);
    if (Poll)
      ++Instance.PlatformReads;
    if (!Reached || (!Watch && !Poll))
      return;
    Instance.Config->confirmCurrent(Now);
    applyConfig(Instance, Platform.Current, config_source::Platform);
  }

  void finishFetch(std::size_t Index) {
    simulated_instance &Instance = Instances[Index];
    if (!Instance.Fetch || Now < Instance.FetchEnds)
      return;
    const std::size_t Peer = indexOf(Instance.Fetch->From);
    const std::string Name = Instance.Fetch->Peer;
    Instance.Fetch.reset();
    if (!active(Peer) || isBlocked(Index, Peer) || isBlocked(Peer, Index)) {
      Instance.Config->fetchFailed(Now, Name);
      return;
    }
    applyConfig(Instance, Instances[Peer].Config->inForce(),
                config_source::Peer);
  }

  void applyConfig(simulated_instance &Instance, config_stamp Stamp,
                   config_source Source) {
    if (Instance.Config->classify(Now, Stamp, Source) != config_verdict::Accept)
      return;
    if (Instance.Config->activate(Now, Stamp))
      Instance.Members->setConfig(Now, Stamp);
  }

  std::priority_queue<delivery> Queue;
  std::map<std::string, std::size_t> Addresses;
  std::uint64_t Order = 0;
};

} // namespace magnoliaspread

#endif
