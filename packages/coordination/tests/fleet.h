/// A fleet of memberships on a simulated network, in fake time, driven by a
/// seed. Every fault is a call; runs repeat exactly.
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

struct fleet_node {
  std::string Name;
  std::size_t Centre = 0;
  member_identity Identity;
  std::unique_ptr<membership> Members;
  std::unique_ptr<config_sync> Config;
  bool Up = false;
  bool Frozen = false;
  bool PlatformBlocked = false;
  /// A running fetch ends then.
  std::optional<config_fetch> Fetch;
  steady_time FetchEnds;
  steady_time NextLook;
  /// When the process last stopped, by a kill or a leave.
  steady_time StoppedAt;
  std::uint64_t SentBytes = 0;
  std::uint64_t ReceivedBytes = 0;
  std::uint64_t SentDatagrams = 0;
  std::uint64_t PlatformReads = 0;
};

/// The platform as instances see it.
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
        addNode(C);
  }

  std::size_t addNode(std::size_t Centre) {
    fleet_node Node;
    const std::size_t Index = Nodes.size();
    Node.Name = "dc" + std::to_string(Centre) + "-" + std::to_string(Index);
    Node.Centre = Centre;
    Nodes.push_back(std::move(Node));
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

  /// Starts a process under the node's name, seeded with \p Seeds.
  void start(std::size_t Index, const std::vector<std::size_t> &Seeds) {
    fleet_node &Node = Nodes[Index];
    member_identity Id;
    Id.Name = Node.Name;
    Id.DataCentre = centreName(Node.Centre);
    Id.Region = "region" + std::to_string(Node.Centre / 2);
    Id.Incarnation = Random() | 1;
    Id.Epoch = epochNow();
    Id.Internal = addressOf(Index);
    Id.Public = {Id.Internal.Address, 8000};
    Node.Identity = Id;
    Node.Members = std::make_unique<membership>(Id, Random(), Now);
    Node.Config = std::make_unique<config_sync>(Random(), Now);
    Node.Members->seed(seedsOf(Seeds));
    Node.Fetch.reset();
    Node.NextLook = Now;
    Node.Up = true;
    Node.Frozen = false;
  }

  void startAll() {
    std::vector<std::size_t> Everyone;
    for (std::size_t I = 0; I < Nodes.size(); ++I)
      Everyone.push_back(I);
    for (std::size_t I = 0; I < Nodes.size(); ++I)
      start(I, Everyone);
  }

  void kill(std::size_t Index) {
    Nodes[Index].Up = false;
    Nodes[Index].StoppedAt = Now;
  }

  void leave(std::size_t Index) {
    Nodes[Index].StoppedAt = Now;
    send(Index, Nodes[Index].Members->leave(Now));
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

  /// Instances that run and neither freeze nor leave.
  std::set<std::string> serving(std::size_t Centre) const {
    std::set<std::string> Names;
    for (const fleet_node &Node : Nodes)
      if (Node.Centre == Centre && Node.Up && !Node.Frozen &&
          Node.Members->self().Report.State == member_state::Alive)
        Names.insert(Node.Name);
    return Names;
  }

  std::set<std::string> named(std::size_t By, std::size_t Centre) const {
    std::set<std::string> Names;
    for (const member_row &Row :
         Nodes[By].Members->lookupInstances(Now, centreName(Centre)))
      Names.insert(Row.Identity.Name);
    return Names;
  }

  bool active(std::size_t Index) const {
    return Nodes[Index].Up && !Nodes[Index].Frozen;
  }

  /// Every running instance names exactly the serving ones.
  bool viewsAgree() const {
    for (std::size_t C = 0; C < Centres; ++C) {
      const std::set<std::string> Serving = serving(C);
      for (std::size_t I = 0; I < Nodes.size(); ++I)
        if (active(I) && named(I, C) != Serving)
          return false;
    }
    return true;
  }

  bool everyoneHolds(std::uint64_t Version) const {
    for (std::size_t I = 0; I < Nodes.size(); ++I)
      if (active(I) && Nodes[I].Config->inForce().Version < Version)
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
  std::vector<fleet_node> Nodes;
  network_faults Faults;
  fleet_platform Platform;
  std::mt19937_64 Random;
  std::chrono::milliseconds Step{50};
  std::chrono::milliseconds FetchTime{50};
  /// Added to the wall clock that new processes read.
  std::uint64_t EpochSkew = 1000000;
  /// True for a pair of nodes that can't reach each other, in this direction.
  std::function<bool(std::size_t, std::size_t)> Blocked;
  /// Called after every step.
  std::function<void()> Check;
  /// Puts messages on the wire and back; unset, they pass as they are and no
  /// bytes are counted. The index is the sender's or the receiver's.
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

  /// With the headers of IPv4 and UDP.
  std::size_t bytesOf(const packet &Packet) const {
    return Encode ? Packet.Datagram.size() + 28 : 0;
  }

  std::vector<seed_address>
  seedsOf(const std::vector<std::size_t> &Indexes) const {
    std::vector<seed_address> Seeds;
    Seeds.reserve(Indexes.size());
    for (const std::size_t I : Indexes)
      Seeds.push_back({centreName(Nodes[I].Centre), addressOf(I)});
    return Seeds;
  }

  bool chance(double Probability) {
    return std::uniform_real_distribution<double>(0, 1)(Random) < Probability;
  }

  bool cut(std::size_t From, std::size_t To) const {
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
        Nodes[From].SentBytes += bytesOf(*Packet);
        ++Nodes[From].SentDatagrams;
        transmit(From, indexOf(To), Packet);
      }
    }
  }

  std::size_t indexOf(const endpoint_address &Address) {
    if (Addresses.size() != Nodes.size())
      for (std::size_t I = 0; I < Nodes.size(); ++I)
        Addresses[addressOf(I).Address] = I;
    return Addresses.at(Address.Address);
  }

  void transmit(std::size_t From, std::size_t To,
                const std::shared_ptr<const packet> &Packet) {
    if (cut(From, To) || chance(Faults.Loss))
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
    for (std::size_t I = 0; I < Nodes.size(); ++I)
      if (active(I))
        tickNode(I);
  }

  void deliver(const delivery &Item) {
    fleet_node &Node = Nodes[Item.To];
    if (!active(Item.To))
      return;
    Node.ReceivedBytes += bytesOf(*Item.Packet);
    const endpoint_address From = addressOf(Item.From);
    if (!Decode) {
      send(Item.To, Node.Members->receive(Now, From, Item.Packet->Message));
      return;
    }
    const auto Message = Decode(Item.To, Item.Packet->Datagram);
    if (Message)
      send(Item.To, Node.Members->receive(Now, From, *Message));
  }

  void tickNode(std::size_t Index) {
    fleet_node &Node = Nodes[Index];
    send(Index, Node.Members->tick(Now));
    finishFetch(Index);
    if (Now < Node.NextLook)
      return;
    Node.NextLook = Now + std::chrono::milliseconds(100);
    readPlatform(Node);
    Node.Config->setHolders(configHolders(*Node.Members, Now));
    if (Node.Fetch)
      return;
    Node.Fetch = Node.Config->nextFetch(Now, Node.Members->isSpeaker());
    Node.FetchEnds = Now + FetchTime;
  }

  void readPlatform(fleet_node &Node) {
    const bool Reached = Platform.Up && !Node.PlatformBlocked;
    Node.Members->setPlatformReachable(Reached);
    const bool Watch = Node.Members->isSpeaker();
    Node.Config->setSpeakersReach(Now, speakersReachPlatform(*Node.Members));
    const bool Poll = Node.Config->platformPollDue(Now, Watch);
    if (Poll)
      ++Node.PlatformReads;
    if (!Reached || (!Watch && !Poll))
      return;
    Node.Config->confirmCurrent(Now);
    take(Node, Platform.Current, config_source::Platform);
  }

  void finishFetch(std::size_t Index) {
    fleet_node &Node = Nodes[Index];
    if (!Node.Fetch || Now < Node.FetchEnds)
      return;
    const std::size_t Peer = indexOf(Node.Fetch->From);
    const std::string Name = Node.Fetch->Peer;
    Node.Fetch.reset();
    if (!active(Peer) || cut(Index, Peer) || cut(Peer, Index)) {
      Node.Config->fetchFailed(Now, Name);
      return;
    }
    take(Node, Nodes[Peer].Config->inForce(), config_source::Peer);
  }

  void take(fleet_node &Node, config_stamp Stamp, config_source Source) {
    if (Node.Config->judge(Now, Stamp, Source) != config_verdict::Accept)
      return;
    if (Node.Config->putInForce(Now, Stamp))
      Node.Members->setConfig(Now, Stamp);
  }

  std::priority_queue<delivery> Queue;
  std::map<std::string, std::size_t> Addresses;
  std::uint64_t Order = 0;
};

} // namespace magnoliaspread

#endif
