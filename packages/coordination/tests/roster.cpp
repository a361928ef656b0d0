/// Properties: whatever instances are replaced, restarted, killed or cut off,
/// no workspace gets more than its limit allows in any five seconds, and one
/// that stays within its limit is served again once the fleet is calm.
#include <magnoliaspread/hash.h>
#include <magnoliaspread/limiter.h>
#include <magnoliaspread/roster.h>
#include <magnoliaspread/story.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

using namespace magnoliaspread;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds Step{20};
/// From SIGTERM to the end of the process.
constexpr milliseconds DrainTime{3000};
constexpr milliseconds RestartTime{500};
/// An instance that is silent for this long counts as dead elsewhere.
constexpr milliseconds DeathNoticed{6000};
/// RULES, In touch: bounds hold again this long after the last change.
constexpr milliseconds CalmAfter{6000};
constexpr milliseconds TokenWait{300};
/// Until an instance that fell silent, perhaps right after it had objected to
/// being suspected, is marked as gone and its lease is over.
constexpr milliseconds TakeOver{32000};

struct stored_registration {
  registration Row;
  std::uint64_t Revision = 0;
};

struct roster_member {
  std::string Name;
  std::string Region;
  std::uint64_t Incarnation = 0;
  std::unique_ptr<instance_roster> Roster;
  std::unique_ptr<fleet_limiter> Limiter;
  bool Running = false;
  std::optional<steady_time> StopsAt;
  steady_time SilentSince;
  bool CutFromStore = false;
  bool CutFromPeers = false;
  steady_time NextPeerRequest;
  /// Index of the region's reader, as this instance sees it.
  std::size_t Reader = 0;

  bool serves() const { return Running && !StopsAt; }
};

struct served_workspace {
  limit_row Row;
  double PerSecond = 0;
  std::vector<steady_time> AdmittedAt;
  std::size_t Sent = 0;
  std::size_t Refused = 0;
};

/// Instances, a store and callers on one simulated clock.
class roster_fleet {
public:
  roster_fleet(std::size_t Size, std::uint64_t Seed, std::size_t Regions = 3)
      : Random(Seed), Regions(Regions) {
    // Half of them are within their limits, the others far beyond.
    for (int I = 0; I < 6; ++I)
      for (const double Part : {0.25, 2.5})
        Workspaces.push_back(
            {{workspaceLimit("workspace-" + std::to_string(I) +
                             (Part < 1 ? "-within" : "-beyond")),
              Rate, Rate},
             Rate * Part,
             {},
             0,
             0});
    for (std::size_t I = 0; I < Size; ++I)
      start(add(I % Regions), true);
    run(8000ms);
  }

  std::size_t add(std::size_t Region) {
    roster_member &Member = Members.emplace_back();
    Member.Name = "instance-" + std::to_string(Members.size());
    Member.Region = "region-" + std::to_string(Region);
    return Members.size() - 1;
  }

  void start(std::size_t Index, bool FirstStart = false) {
    roster_member &Member = Members[Index];
    roster_settings Settings;
    Settings.Instance = Member.Name;
    Settings.Region = Member.Region;
    Settings.Address = Member.Name;
    Settings.Incarnation = Member.Incarnation = Random() | 1U;
    Settings.FirstStart = FirstStart;
    limiter_settings Limits;
    Limits.Instance = Member.Name;
    Limits.Region = Member.Region;
    Limits.Incarnation = Settings.Incarnation;
    Member.Roster = std::make_unique<instance_roster>(Settings, Now);
    Member.Limiter = std::make_unique<fleet_limiter>(Limits, Now);
    std::vector<limit_row> Rows;
    for (const served_workspace &Workspace : Workspaces)
      Rows.push_back(Workspace.Row);
    Member.Limiter->setLimits(Rows, Now);
    Member.Running = true;
    Member.StopsAt.reset();
    Member.Reader = Index;
  }

  void terminate(std::size_t Index) {
    roster_member &Member = Members[Index];
    Member.Roster->leave(Now);
    Member.Limiter->resign(Now);
    Member.StopsAt = Now + DrainTime;
  }

  void kill(std::size_t Index) {
    Members[Index].Running = false;
    Members[Index].SilentSince = Now;
  }

  void cutFromPeers(std::size_t Index, bool Cut) {
    Members[Index].CutFromPeers = Cut;
    Members[Index].SilentSince = Now;
  }

  /// Replaces \p Old by new instances in the same regions.
  void replace(const std::vector<std::size_t> &Old) {
    for (const std::size_t Index : Old)
      terminate(Index);
    run(DrainTime + RestartTime);
    for (const std::size_t Index : Old)
      start(add(regionOf(Index)));
    run(RestartTime);
  }

  /// The running instances in a random order.
  std::vector<std::size_t> running() {
    std::vector<std::size_t> Indexes;
    for (std::size_t I = 0; I < Members.size(); ++I)
      if (Members[I].serves())
        Indexes.push_back(I);
    std::shuffle(Indexes.begin(), Indexes.end(), Random);
    return Indexes;
  }

  void run(milliseconds Time) {
    const steady_time End = Now + Time;
    while (Now < End)
      step();
  }

  /// The part of the requests within the limits that is served from now on.
  double servedWithin(milliseconds Time) {
    for (served_workspace &Workspace : Workspaces)
      Workspace.Sent = Workspace.Refused = 0;
    run(Time);
    double Least = 1;
    for (const served_workspace &Workspace : Workspaces)
      if (Workspace.PerSecond < Workspace.Row.Rate)
        Least = std::min(Least, 1 - static_cast<double>(Workspace.Refused) /
                                        static_cast<double>(Workspace.Sent));
    return Least;
  }

  void checkLimits() const {
    const double Allowed = (Rate * 5 + Rate) * 1.1 + 20;
    for (const served_workspace &Workspace : Workspaces) {
      std::size_t Most = 0;
      const auto &Times = Workspace.AdmittedAt;
      for (std::size_t I = 0, J = 0; J < Times.size(); ++J) {
        while (Times[J] - Times[I] >= 5s)
          ++I;
        Most = std::max(Most, J - I + 1);
      }
      CPPUNIT_ASSERT_MESSAGE(std::to_string(Most) + " in 5 s, " +
                                 std::to_string(Allowed) + " allowed",
                             static_cast<double>(Most) <= Allowed);
    }
  }

  /// Once calm, workspaces within their limits are served; the others got no
  /// more than theirs at any time.
  void checkCalm() {
    run(CalmAfter);
    const double Served = servedWithin(8000ms);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Served) + " served", Served >= 0.95);
    checkLimits();
  }

  std::size_t registered() const { return Objects.size(); }
  std::size_t size() const { return Members.size(); }

  static constexpr double Rate = 40;
  std::vector<roster_member> Members;
  bool StoreDown = false;
  /// Writes of the store since the start.
  std::size_t Writes = 0;
  std::size_t Reads = 0;

private:
  struct message {
    steady_time At;
    std::size_t From;
    std::string To;
    std::variant<token_request, token_grant> Content;
  };

  struct waiting_request {
    std::size_t Member;
    std::size_t Workspace;
    steady_time Until;
  };

  std::size_t regionOf(std::size_t Index) const {
    return static_cast<std::size_t>(Members[Index].Region.back() - '0');
  }

  boot_time boot() const {
    return boot_time(std::chrono::duration_cast<boot_time::duration>(
        Now.time_since_epoch()));
  }

  bool hear(const roster_member &A, const roster_member &B) const {
    return A.Running && B.Running && !A.CutFromPeers && !B.CutFromPeers;
  }

  bool isLive(const roster_member &By, const std::string &Name) const {
    for (const roster_member &Other : Members)
      if (Other.Name == Name) {
        if (By.CutFromPeers || Other.CutFromPeers)
          return Now -
                     std::max(By.CutFromPeers ? By.SilentSince : steady_time(),
                              Other.CutFromPeers ? Other.SilentSince
                                                 : steady_time()) <
                 DeathNoticed;
        return Other.Running || Now - Other.SilentSince < DeathNoticed;
      }
    return false;
  }

  std::size_t readerFor(std::size_t Index) const {
    const roster_member &Member = Members[Index];
    std::size_t Reader = Index;
    for (std::size_t I = 0; I < Members.size(); ++I)
      if (Members[I].Region == Member.Region && Members[I].serves() &&
          hear(Member, Members[I]) &&
          stableId(Members[I].Name) < stableId(Members[Reader].Name))
        Reader = I;
    return Reader;
  }

  bool storeAnswers(const roster_member &Member) const {
    return !StoreDown && !Member.CutFromStore;
  }

  void read(roster_member &Member) {
    if (!storeAnswers(Member))
      return Member.Roster->readFailed(Now);
    ++Reads;
    instance_roster &Roster = *Member.Roster;
    if (Roster.revision() == 0) {
      std::vector<registration> All;
      for (const auto &[Name, Stored] : Objects)
        All.push_back(Stored.Row);
      return Roster.applyList(All, boot(), 0, Revision, Now);
    }
    std::vector<registration> Changed;
    for (const auto &[Name, Stored] : Objects)
      if (Stored.Revision > Roster.revision())
        Changed.push_back(Stored.Row);
    std::vector<std::string> Gone;
    for (const auto &[At, Name] : Removals)
      if (At > Roster.revision() && !Objects.contains(Name))
        Gone.push_back(Name);
    Roster.applyChanges(Changed, Gone, boot(), Revision, Now);
  }

  /// The new version, or 0 after a conflict.
  std::uint64_t write(const registration_write &Write, registration Row) {
    ++Writes;
    const auto Found = Objects.find(Write.Name);
    const std::uint64_t Version =
        Found == Objects.end() ? 0 : Found->second.Row.Version;
    if (Version != Write.IfVersion)
      return 0;
    ++Revision;
    if (!Write.State) {
      Objects.erase(Found);
      Removals.emplace_back(Revision, Write.Name);
      return Revision;
    }
    Row.State = *Write.State;
    Row.Version = Revision;
    Objects[Write.Name] = {Row, Revision};
    return Revision;
  }

  void runRoster(std::size_t Index) {
    roster_member &Member = Members[Index];
    instance_roster &Roster = *Member.Roster;
    const roster_member &Reader = Members[Member.Reader];
    const bool IsReader = Member.Reader == Index;
    if (Roster.takeRead(IsReader, Now, boot()))
      read(Member);
    if (const auto Write = Roster.takeOwnWrite(Now)) {
      const std::uint64_t Version =
          storeAnswers(Member)
              ? write(*Write, {Member.Name, Member.Region, Member.Name,
                               registration_state::Live, Member.Incarnation, 0})
              : 0;
      if (Version == 0)
        Roster.ownWriteFailed(Now);
      else
        Roster.ownWritten(Version, *Write->State, Now, boot());
    }
    if (IsReader) {
      const auto Mark = Roster.takeMark(
          Now, [&](const std::string &Name) { return isLive(Member, Name); });
      if (Mark) {
        if (storeAnswers(Member))
          if (const auto Old = Objects.find(Mark->Name); Old != Objects.end())
            write(*Mark, Old->second.Row);
        Roster.markEnded();
      }
    } else if (Now >= Member.NextPeerRequest) {
      Member.NextPeerRequest = Now + 500ms;
      if (hear(Member, Reader) && Roster.hearPeer(Reader.Roster->stamp()))
        Roster.applyRows(Reader.Roster->rows(), Reader.Roster->fleetSize(),
                         Reader.Roster->stamp().AsOf, 0, Now);
    }
  }

  void runLimiter(std::size_t Index) {
    roster_member &Member = Members[Index];
    fleet_limiter &Limiter = *Member.Limiter;
    const steady_time LeaseEnd =
        Now + std::chrono::duration_cast<steady_time::duration>(
                  Member.Roster->leaseEnd() - boot());
    Limiter.setRoster(limiterRoster(*Member.Roster), LeaseEnd, Now);
    std::vector<limiter_instance> Remote;
    std::set<std::string> Reachable;
    for (const roster_member &Other : Members) {
      if (!Other.serves() || !hear(Member, Other))
        continue;
      Reachable.insert(Other.Name);
      if (Other.Region != Member.Region)
        Remote.push_back({Other.Name, Other.Region});
    }
    Limiter.setRemoteInstances(std::move(Remote), Regions);
    Limiter.setReachable(std::move(Reachable));
  }

  void send(std::size_t From, std::string To,
            std::variant<token_request, token_grant> Content) {
    const milliseconds Delay(1 + static_cast<int>(Random() % 40));
    Messages.push_back({Now + Delay, From, std::move(To), std::move(Content)});
  }

  void deliver() {
    std::vector<message> Due;
    std::erase_if(Messages, [&](message &Message) {
      if (Message.At > Now)
        return false;
      Due.push_back(std::move(Message));
      return true;
    });
    for (const message &Message : Due)
      for (std::size_t I = 0; I < Members.size(); ++I) {
        roster_member &Member = Members[I];
        if (Member.Name != Message.To || !hear(Member, Members[Message.From]))
          continue;
        if (const auto *Request = std::get_if<token_request>(&Message.Content))
          send(I, Members[Message.From].Name,
               Member.Limiter->answer(*Request, Now));
        else
          Member.Limiter->accept(std::get<token_grant>(Message.Content), Now);
      }
  }

  void admit(std::size_t Workspace) {
    Workspaces[Workspace].AdmittedAt.push_back(Now);
  }

  void arrive(std::size_t Workspace, const std::vector<std::size_t> &Serving) {
    const std::size_t Index = Serving[Random() % Serving.size()];
    served_workspace &Row = Workspaces[Workspace];
    ++Row.Sent;
    fleet_limiter &Limiter = *Members[Index].Limiter;
    if (Limiter.spend(Row.Row.Id, MilliPerToken, Now))
      return admit(Workspace);
    Limiter.addWaiting(Row.Row.Id, MilliPerToken);
    Waiting.push_back({Index, Workspace, Now + TokenWait});
  }

  void retryWaiting() {
    std::deque<waiting_request> Still;
    for (const waiting_request &Request : Waiting) {
      roster_member &Member = Members[Request.Member];
      served_workspace &Row = Workspaces[Request.Workspace];
      const bool Spent = Member.Running &&
                         Member.Limiter->retry(Row.Row.Id, MilliPerToken, Now);
      if (!Spent && Now < Request.Until) {
        Still.push_back(Request);
        continue;
      }
      Member.Limiter->addWaiting(Row.Row.Id, -MilliPerToken);
      if (Spent)
        admit(Request.Workspace);
      else
        ++Row.Refused;
    }
    Waiting = std::move(Still);
  }

  void step() {
    Now += Step;
    deliver();
    const bool PeersDue = Now >= NextPeers;
    if (PeersDue)
      NextPeers = Now + 250ms;
    std::vector<std::size_t> Serving;
    for (std::size_t I = 0; I < Members.size(); ++I) {
      roster_member &Member = Members[I];
      if (Member.StopsAt && Now >= *Member.StopsAt && Member.Running)
        kill(I);
      if (!Member.Running)
        continue;
      if (PeersDue)
        Member.Reader = readerFor(I);
      runRoster(I);
      if (PeersDue)
        runLimiter(I);
      if (Member.serves())
        Serving.push_back(I);
    }
    if (!Serving.empty())
      for (std::size_t W = 0; W < Workspaces.size(); ++W) {
        std::poisson_distribution<int> Arrivals(
            Workspaces[W].PerSecond *
            std::chrono::duration<double>(Step).count());
        for (int I = Arrivals(Random); I > 0; --I)
          arrive(W, Serving);
      }
    retryWaiting();
    for (std::size_t I = 0; I < Members.size(); ++I)
      if (Members[I].Running)
        for (outgoing_token_request &Out : Members[I].Limiter->tick(Now))
          send(I, Out.To, std::move(Out.Ask));
  }

  std::mt19937_64 Random;
  std::size_t Regions;
  steady_time Now{std::chrono::hours(1)};
  steady_time NextPeers;
  std::map<std::string, stored_registration> Objects;
  std::vector<std::pair<std::uint64_t, std::string>> Removals;
  std::uint64_t Revision = 1;
  std::vector<served_workspace> Workspaces;
  std::deque<waiting_request> Waiting;
  std::vector<message> Messages;
};

constexpr std::size_t Sizes[] = {1, 12, 65, 195};

/// Replaces all instances once, a few at a time, so that it takes ten rounds.
void replaceAll(roster_fleet &Fleet, std::size_t AtATime) {
  std::vector<std::size_t> Old = Fleet.running();
  while (!Old.empty()) {
    const std::size_t Count = std::min(AtATime, Old.size());
    const std::vector<std::size_t> Next(
        Old.end() - static_cast<std::ptrdiff_t>(Count), Old.end());
    Old.resize(Old.size() - Count);
    Fleet.replace(Next);
  }
}

} // namespace

// Guards against shares that nobody mints or that two instances mint after
// instances were replaced.
STORY(shares_follow_replaced_instances) {
  for (const std::size_t Size : Sizes)
    section("of " + std::to_string(Size) + " instances", [&] {
      roster_fleet Fleet(Size, Size);
      section("all replaced once", [&] {
        replaceAll(Fleet, std::max<std::size_t>(1, Size / 10));
        Fleet.checkCalm();
      });
      section("and once more, two or more at a time", [&] {
        replaceAll(Fleet, std::max<std::size_t>(2, Size / 6));
        Fleet.checkCalm();
      });
      section("and the registrations of those that left are removed", [&] {
        Fleet.run(60000ms);
        CPPUNIT_ASSERT_EQUAL(Size, Fleet.registered());
      });
    });
}

// Guards against shares that stay with an instance that was killed, and against
// two owners where one is cut off and serves on.
STORY(shares_of_silent_instances_are_taken_over_once) {
  section("killed for good", [&] {
    roster_fleet Fleet(12, 1);
    for (const std::size_t Index : {0, 3, 6, 1, 4, 7})
      Fleet.kill(Index);
    Fleet.run(TakeOver);
    Fleet.checkCalm();
  });
  for (const std::size_t Regions : {1, 3})
    section("cut off from its peers, while others are replaced", [&] {
      roster_fleet Fleet(12, 2, Regions);
      for (const std::size_t Index : {0, 1})
        Fleet.cutFromPeers(Index, true);
      for (const std::size_t Index : {3, 4, 6})
        Fleet.replace({Index});
      Fleet.run(TakeOver);
      Fleet.checkLimits();
      for (const std::size_t Index : {0, 1})
        Fleet.cutFromPeers(Index, false);
      Fleet.checkCalm();
    });
  section("cut off from all, and back after its shares moved", [&] {
    roster_fleet Fleet(12, 3);
    for (const std::size_t Index : {0, 1}) {
      Fleet.cutFromPeers(Index, true);
      Fleet.Members[Index].CutFromStore = true;
    }
    Fleet.run(TakeOver);
    for (const std::size_t Index : {0, 1}) {
      Fleet.cutFromPeers(Index, false);
      Fleet.Members[Index].CutFromStore = false;
    }
    Fleet.checkCalm();
  });
  section("a store that is down for longer than a lease", [&] {
    roster_fleet Fleet(12, 4);
    Fleet.StoreDown = true;
    Fleet.run(9000ms);
    Fleet.StoreDown = false;
    Fleet.checkCalm();
  });
}

// Guards against an outage of all limits while instances restart.
STORY(shares_stay_with_restarted_instances) {
  section("all killed at once: they mint as soon as they are back", [&] {
    for (const std::size_t Size : Sizes) {
      roster_fleet Fleet(Size, 5);
      for (std::size_t I = 0; I < Size; ++I)
        Fleet.kill(I);
      Fleet.run(RestartTime);
      for (std::size_t I = 0; I < Size; ++I)
        Fleet.start(I);
      Fleet.run(1000ms);
      CPPUNIT_ASSERT(Fleet.servedWithin(4000ms) >= 0.95);
      Fleet.checkLimits();
    }
  });
  section("stopped and started in turn", [&] {
    roster_fleet Fleet(12, 6);
    double Least = 1;
    for (std::size_t I = 0; I < 12; ++I) {
      Fleet.terminate(I);
      Least = std::min(Least, Fleet.servedWithin(DrainTime + RestartTime));
      Fleet.start(I);
    }
    // RULES, Starved.
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Least), Least >= 0.25);
    Fleet.checkCalm();
  });
}

STORY(shares_under_random_faults) {
  section("100 seeds, in one region and in three", [&] {
    for (std::uint64_t Seed = 1; Seed <= 100; ++Seed) {
      const bool OneRegion = Seed % 2 == 0;
      roster_fleet Fleet(OneRegion ? 5 : 9, Seed, OneRegion ? 1 : 3);
      std::mt19937 Random(static_cast<std::uint32_t>(Seed));
      for (int Round = 0; Round < 12; ++Round) {
        const std::size_t Index = Random() % Fleet.size();
        roster_member &Member = Fleet.Members[Index];
        switch (Random() % 6) {
        case 0:
          if (Member.serves())
            Fleet.terminate(Index);
          break;
        case 1:
          if (Member.Running)
            Fleet.kill(Index);
          break;
        case 2:
          if (!Member.Running)
            Fleet.start(Index);
          break;
        case 3:
          Fleet.cutFromPeers(Index, !Member.CutFromPeers);
          break;
        case 4:
          Member.CutFromStore = !Member.CutFromStore;
          break;
        default:
          if (Member.serves())
            Fleet.replace({Index});
        }
        Fleet.run(milliseconds(Random() % 6000));
      }
      section("seed " + std::to_string(Seed), [&] { Fleet.checkLimits(); });
      for (std::size_t I = 0; I < Fleet.size(); ++I) {
        Fleet.cutFromPeers(I, false);
        Fleet.Members[I].CutFromStore = false;
      }
      Fleet.run(TakeOver);
      section("seed " + std::to_string(Seed), [&] { Fleet.checkCalm(); });
    }
  });
}
