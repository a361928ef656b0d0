/// A simulated fleet of quota allocators and share lease managers on fake time,
/// with injected faults of network, platform and processes. Observers check the
/// limits against the admitted requests.
#ifndef MAGNOLIASPREAD_QUOTA_FLEET_H
#define MAGNOLIASPREAD_QUOTA_FLEET_H

#include <magnoliaspread/quota.h>
#include <magnoliaspread/share.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace magnoliaspread {

using milliseconds = std::chrono::milliseconds;

/// Estimated sizes of an encoded message without rows, and of a row.
inline constexpr std::size_t MessageBytes = 40;
inline constexpr std::size_t RowBytes = 18;

/// Lent is the shipped policy; the others are simplified ones, whose faults the
/// tests must detect.
enum class quota_policy {
  Lent,
  /// Rate and burst divided by the live members that each instance sees.
  Divided,
  /// Lease expiry is checked only when the platform answers.
  ExpiryIgnored,
  /// The lender refills its bucket while lent tokens are unspent.
  RefilledWhileLent,
  /// A new holder mints immediately.
  NoTakeoverWait,
  /// A new split is activated before all instances have it.
  SplitAtOnce,
};

/// The parts of a configuration that the tests need.
struct fleet_config {
  std::uint64_t Version = 1;
  std::vector<limit_row> Limits;
  /// Permille and shares of each data centre.
  std::vector<share_split> Splits;
};

struct fleet_options {
  std::size_t DataCentres = 2;
  std::size_t Instances = 2;
  std::size_t DataCentresPerRegion = 2;
  quota_policy Policy = quota_policy::Lent;
  milliseconds Tick{20};
  milliseconds FarDelay{35};
  double Loss = 0.05;
  double Duplicates = 0;
  milliseconds Reorder{0};
  milliseconds LeaseTtl{10000};
  milliseconds Wait{0};
  std::uint64_t Seed = 1;
};

/// Token bucket that counts a breach when more is admitted than rate and burst
/// allow in any window.
struct limit_observer {
  double Rate = 0;
  double Burst = 0;
  double Level = 0;
  steady_time At;
  std::uint64_t Breaches = 0;
  double Worst = 0;

  void advance(steady_time Now) {
    const double Span = std::chrono::duration<double>(Now - At).count();
    Level = std::min(Burst, Level + Rate * Span);
    At = Now;
  }
  void change(double NewRate, double NewBurst, steady_time Now) {
    advance(Now);
    Level += std::max(0.0, NewBurst - Burst);
    Level = std::min(Level, NewBurst);
    Rate = NewRate;
    Burst = NewBurst;
  }
  void admit(double Tokens, steady_time Now) {
    advance(Now);
    Level -= Tokens;
    if (Level > -1e-6)
      return;
    ++Breaches;
    Worst = std::min(Worst, Level);
  }
  /// Spends the tokens if the bucket has them.
  bool admitIdeal(double Tokens, steady_time Now) {
    advance(Now);
    if (Level < Tokens)
      return false;
    Level -= Tokens;
    return true;
  }
};

class quota_fleet {
public:
  struct waiting_call {
    std::size_t Limit;
    steady_time Deadline;
    bool Conformant;
  };

  struct process {
    std::string Name;
    std::size_t DataCentre = 0;
    std::uint64_t Incarnation = 0;
    bool Alive = false;
    steady_time FrozenUntil;
    std::uint64_t Version = 0;
    std::unique_ptr<token_pool> Pool;
    std::unique_ptr<quota_allocator> Allocator;
    std::unique_ptr<share_lease_manager> Leases;
    std::vector<minted_share> Shares;
    std::vector<limit_observer> Divided;
    std::deque<waiting_call> Waiting;
    std::vector<std::function<void()>> Deferred;
    std::uint64_t Generation = 0;
  };

  struct platform_object {
    std::uint64_t Version = 0;
    share_record Record;
  };

  struct last_mint {
    std::uint64_t Incarnation = 0;
    steady_time At;
  };

  fleet_options Options;
  steady_time Now{std::chrono::hours(1)};
  std::mt19937_64 Random;
  std::vector<process> Processes;
  std::vector<fleet_config> Configs;
  std::vector<limit_observer> Observers;
  std::vector<limit_observer> IdealBuckets;
  std::map<std::pair<std::size_t, std::uint16_t>, platform_object> Objects;
  std::map<std::pair<std::size_t, std::uint16_t>, last_mint> LastMints;
  std::set<std::pair<std::size_t, std::size_t>> CutLinks;
  std::set<std::size_t> CutOffFromPlatform;
  bool PlatformUp = true;
  double AnswerLossRate = 0;
  milliseconds PlatformDelay{5};
  std::uint64_t Confirmed = 0;

  std::uint64_t Admitted = 0;
  std::uint64_t Refused = 0;
  std::uint64_t WronglyRefused = 0;
  std::uint64_t ConformantCalls = 0;
  std::uint64_t DoubleMints = 0;
  std::uint64_t Messages = 0;
  std::uint64_t Bytes = 0;
  std::uint64_t PlatformReads = 0;
  std::uint64_t PlatformWrites = 0;
  /// Time spent inside the code under test.
  std::chrono::nanoseconds AllocatorTime{0};

  quota_fleet(const fleet_options &Options, const fleet_config &Config)
      : Options(Options), Random(Options.Seed) {
    Configs.push_back(Config);
    for (const limit_row &Row : Config.Limits) {
      Observers.push_back({Row.Rate, Row.Burst, Row.Burst, Now, 0, 0});
      IdealBuckets.push_back({Row.Rate, Row.Burst, Row.Burst, Now, 0, 0});
    }
    for (std::size_t D = 0; D < Options.DataCentres; ++D)
      for (std::size_t I = 0; I < Options.Instances; ++I) {
        Processes.emplace_back();
        Processes.back().Name =
            "dc" + std::to_string(D) + "-" + std::to_string(I);
        Processes.back().DataCentre = D;
        ProcessIndex[Processes.back().Name] = Processes.size() - 1;
      }
    for (std::size_t P = 0; P < Processes.size(); ++P)
      start(P);
    after(milliseconds(500), [this] { refreshViews(); });
  }

  double uniform() {
    return std::uniform_real_distribution<double>(0, 1)(Random);
  }
  std::size_t below(std::size_t Bound) { return Random() % Bound; }

  void after(milliseconds Delay, std::function<void()> Run) {
    at(Now + Delay, std::move(Run));
  }
  void at(steady_time When, std::function<void()> Run) {
    Events.push({When, ++LastOrder, std::move(Run)});
  }
  void run(milliseconds Span) {
    const steady_time End = Now + Span;
    while (!Events.empty() && Events.top().At <= End) {
      const event Next = std::move(const_cast<event &>(Events.top()));
      Events.pop();
      Now = Next.At;
      Next.Run();
    }
    Now = End;
  }

  std::uint64_t breaches() const {
    std::uint64_t Sum = DoubleMints;
    for (const limit_observer &Each : Observers)
      Sum += Each.Breaches;
    return Sum;
  }

  /// Starts a process with empty memory under the name of \p P.
  void start(std::size_t P) {
    process &Each = Processes[P];
    Each.Incarnation = Random() | 1;
    Each.Alive = true;
    Each.FrozenUntil = Now;
    Each.Version = 0;
    Each.Shares.clear();
    Each.Divided.clear();
    Each.Waiting.clear();
    Each.Deferred.clear();
    ++Each.Generation;
    Each.Pool = std::make_unique<token_pool>();
    Each.Allocator = std::make_unique<quota_allocator>(
        quota_settings{Each.Incarnation, Random()}, *Each.Pool, Now);
    share_settings Settings;
    Settings.Name = Each.Name;
    Settings.Incarnation = Each.Incarnation;
    Settings.LeaseTtl = Options.LeaseTtl;
    Settings.Seed = Random();
    Each.Leases = std::make_unique<share_lease_manager>(Settings, Now);
    activate(P, Configs.size() - 1);
    refreshView(P);
    const auto Phase = milliseconds(below(Options.Tick.count()));
    scheduleTick(P, Each.Generation, Phase);
  }

  void crash(std::size_t P) {
    Processes[P].Alive = false;
    ++Processes[P].Generation;
    updateObservers();
  }

  /// Reports to the local peers that \p Incarnation has certainly ended.
  void reportDead(std::size_t DataCentre, std::uint64_t Incarnation) {
    for (std::size_t P = 0; P < Processes.size(); ++P)
      if (Processes[P].Alive && Processes[P].DataCentre == DataCentre)
        deliver(P, [this, P, Incarnation] {
          Processes[P].Leases->declareDead(Incarnation, Now);
        });
  }

  void freeze(std::size_t P, milliseconds Span) {
    process &Each = Processes[P];
    if (!Each.Alive || Now < Each.FrozenUntil)
      return;
    Each.FrozenUntil = Now + Span;
    const std::uint64_t Generation = Each.Generation;
    at(Each.FrozenUntil, [this, P, Generation] {
      process &Thawed = Processes[P];
      if (Thawed.Generation != Generation)
        return;
      // Traffic resumes before any control work.
      for (std::size_t L = 0; L < Observers.size(); ++L)
        spendAll(P, L);
      std::vector<std::function<void()>> Deferred = std::move(Thawed.Deferred);
      Thawed.Deferred.clear();
      for (const auto &Run : Deferred)
        Run();
    });
  }

  bool running(std::size_t P) const {
    return Processes[P].Alive && Now >= Processes[P].FrozenUntil;
  }

  /// Spends all tokens of a limit that \p P has.
  void spendAll(std::size_t P, std::size_t L) {
    while (running(P) && spendNow(P, L, true)) {
    }
  }

  /// A request arrives at \p P.
  void arrive(std::size_t P, std::size_t L) {
    const bool Conformant = IdealBuckets[L].admitIdeal(1, Now);
    ConformantCalls += Conformant ? 1 : 0;
    if (running(P) && spendNow(P, L, true))
      return;
    const milli_tokens One = MilliPerToken;
    if (running(P) && Options.Wait.count() > 0) {
      Processes[P].Pool->addWaiting(id(L), One);
      Processes[P].Waiting.push_back({L, Now + Options.Wait, Conformant});
      return;
    }
    refuse(Conformant);
  }

  /// Publishes a new configuration; instances activate it within \p Spread.
  void configure(fleet_config Config, milliseconds Spread) {
    Config.Version = Configs.back().Version + 1;
    Configs.push_back(std::move(Config));
    const std::size_t C = Configs.size() - 1;
    for (std::size_t P = 0; P < Processes.size(); ++P)
      after(milliseconds(below(Spread.count() + 1)), [this, P, C] {
        const std::uint64_t Generation = Processes[P].Generation;
        deliver(P, [this, P, C, Generation] {
          if (Processes[P].Generation == Generation)
            activate(P, C);
        });
      });
  }

private:
  struct event {
    steady_time At;
    std::uint64_t Order;
    std::function<void()> Run;

    bool operator<(const event &Other) const {
      return At != Other.At ? At > Other.At : Order > Other.Order;
    }
  };

  /// Calls \p Run and adds its duration to the time inside the code under test.
  template <class Call> auto timed(const Call &Run) {
    const auto From = std::chrono::steady_clock::now();
    auto Result = Run();
    AllocatorTime += std::chrono::steady_clock::now() - From;
    return Result;
  }

  limit_id id(std::size_t L) const { return Configs.front().Limits[L].Id; }

  std::size_t region(std::size_t P) const {
    return Processes[P].DataCentre / Options.DataCentresPerRegion;
  }

  void refuse(bool Conformant) {
    ++Refused;
    WronglyRefused += Conformant ? 1 : 0;
  }

  bool spendNow(std::size_t P, std::size_t L, bool First) {
    process &Each = Processes[P];
    bool Spent = false;
    if (Options.Policy == quota_policy::Divided)
      Spent = Each.Divided[L].admitIdeal(1, Now);
    else if (First)
      Spent = Each.Pool->spend(id(L), MilliPerToken, Now);
    else
      Spent = Each.Pool->retry(id(L), MilliPerToken, Now);
    if (!Spent)
      return false;
    ++Admitted;
    Observers[L].admit(1, Now);
    return true;
  }

  void retryWaiting(std::size_t P) {
    process &Each = Processes[P];
    std::deque<waiting_call> Left;
    for (const waiting_call &Call : Each.Waiting) {
      if (Now <= Call.Deadline && !spendNow(P, Call.Limit, false)) {
        Left.push_back(Call);
        continue;
      }
      Each.Pool->addWaiting(id(Call.Limit), -MilliPerToken);
      if (Now > Call.Deadline)
        refuse(Call.Conformant);
    }
    Each.Waiting = std::move(Left);
  }

  /// Runs now, or when the process is no longer frozen.
  void deliver(std::size_t P, std::function<void()> Run) {
    process &Each = Processes[P];
    if (!Each.Alive)
      return;
    if (Now < Each.FrozenUntil)
      Each.Deferred.push_back(std::move(Run));
    else
      Run();
  }

  void scheduleTick(std::size_t P, std::uint64_t Generation,
                    milliseconds Delay) {
    after(Delay, [this, P, Generation] {
      if (Processes[P].Generation == Generation)
        deliver(P, [this, P, Generation] {
          tick(P);
          scheduleTick(P, Generation, Options.Tick);
        });
    });
  }

  void tick(std::size_t P) {
    process &Each = Processes[P];
    if (Options.Policy != quota_policy::Divided) {
      performActions(P, timed([&] { return Each.Leases->tick(Now); }));
      if (Options.Policy != quota_policy::ExpiryIgnored)
        updateShares(P);
      checkDoubleMints(P);
      for (outgoing_token_request &Out :
           timed([&] { return Each.Allocator->tick(Now); }))
        sendTokenRequest(P, std::move(Out));
    }
    retryWaiting(P);
  }

  void updateShares(std::size_t P) {
    process &Each = Processes[P];
    Each.Shares = Each.Leases->minted(Now);
    for (minted_share &Share : Each.Shares) {
      if (Options.Policy == quota_policy::ExpiryIgnored)
        Share.MintsUntil = steady_time::max();
      if (Options.Policy == quota_policy::NoTakeoverWait)
        Share.MintsFrom -= TokenLife;
      if (Options.Policy == quota_policy::SplitAtOnce) {
        const share_split &Split =
            Configs[Each.Version - 1].Splits[Each.DataCentre];
        Share.FractionPpm = Share.Index < Split.Shares
                                ? Split.Permille * PpmPerPermille / Split.Shares
                                : 0;
      }
    }
    Each.Allocator->setShares(Each.Shares, Now);
  }

  /// A new holder may not mint until all tokens of the former one have expired.
  void checkDoubleMints(std::size_t P) {
    const process &Each = Processes[P];
    for (const minted_share &Share : Each.Shares) {
      if (Now < Share.MintsFrom || Now >= Share.MintsUntil)
        continue;
      last_mint &Last = LastMints[{Each.DataCentre, Share.Index}];
      if (Last.Incarnation != 0 && Last.Incarnation != Each.Incarnation &&
          Now < Last.At + TokenLife)
        ++DoubleMints;
      Last = {Each.Incarnation, Now};
    }
  }

  void activate(std::size_t P, std::size_t C) {
    process &Each = Processes[P];
    const fleet_config &Config = Configs[C];
    if (!Each.Alive || Config.Version <= Each.Version)
      return;
    Each.Version = Config.Version;
    share_split Split = Config.Splits[Each.DataCentre];
    Split.Version = Config.Version;
    Each.Leases->setSplit(Split);
    Each.Allocator->setLimits(Config.Version, Config.Limits, Now);
    Each.Divided.resize(Config.Limits.size(), {0, 0, 0, Now, 0, 0});
    divide(P);
    updateObservers();
  }

  /// Sets the observers to the largest limits in force on any instance.
  void updateObservers() {
    std::uint64_t Lowest = Configs.back().Version;
    for (const process &Each : Processes)
      if (Each.Alive)
        Lowest = std::min(Lowest, Each.Version);
    for (std::size_t L = 0; L < Observers.size(); ++L) {
      double Rate = 0;
      double Burst = 0;
      for (const process &Each : Processes) {
        if (!Each.Alive || Each.Version == 0)
          continue;
        const limit_row &Row = Configs[Each.Version - 1].Limits[L];
        Rate = std::max(Rate, Row.Rate);
        Burst = std::max(Burst, Row.Burst);
      }
      if (Rate > 0)
        Observers[L].change(Rate, Burst, Now);
    }
    if (Lowest <= Confirmed)
      return;
    Confirmed = Lowest;
    after(milliseconds(1000), [this, Lowest] {
      for (std::size_t P = 0; P < Processes.size(); ++P)
        deliver(P, [this, P, Lowest] {
          Processes[P].Leases->confirmEverywhere(Lowest, Now);
        });
    });
  }

  void divide(std::size_t P) {
    process &Each = Processes[P];
    double Live = 1;
    for (std::size_t Q = 0; Q < Processes.size(); ++Q)
      Live += Q != P && visible(P, Q) ? 1 : 0;
    const fleet_config &Config = Configs[Each.Version - 1];
    for (std::size_t L = 0; L < Each.Divided.size(); ++L)
      Each.Divided[L].change(Config.Limits[L].Rate / Live,
                             Config.Limits[L].Burst / Live, Now);
  }

  bool linked(std::size_t P, std::size_t Q) const {
    return !CutLinks.contains({std::min(P, Q), std::max(P, Q)});
  }

  bool visible(std::size_t P, std::size_t Q) const {
    const process &Other = Processes[Q];
    return Other.Alive && linked(P, Q) &&
           Other.FrozenUntil <= Now + milliseconds(6000);
  }

  void refreshView(std::size_t P) {
    process &Each = Processes[P];
    if (!Each.Alive)
      return;
    std::vector<process_identity> LocalPeers;
    std::vector<quota_peer> Peers;
    for (std::size_t Q = 0; Q < Processes.size(); ++Q) {
      if (Q == P || !visible(P, Q))
        continue;
      const process &Other = Processes[Q];
      if (Other.DataCentre == Each.DataCentre)
        LocalPeers.push_back({Other.Name, Other.Incarnation});
      Peers.push_back({Other.Name, region(P) == region(Q)});
    }
    deliver(P, [this, P, LocalPeers, Peers] {
      Processes[P].Leases->setLocalPeers(LocalPeers);
      Processes[P].Allocator->setPeers(Peers);
      divide(P);
    });
  }

  void refreshViews() {
    for (std::size_t P = 0; P < Processes.size(); ++P)
      refreshView(P);
    // Repeat the confirmation for processes that started after it was sent.
    for (std::size_t P = 0; P < Processes.size(); ++P)
      deliver(P, [this, P, C = Confirmed] {
        if (C != 0 && Processes[P].Version >= C)
          Processes[P].Leases->confirmEverywhere(C, Now);
      });
    after(milliseconds(1000), [this] { refreshViews(); });
  }

  void send(std::size_t P, std::size_t Q, std::size_t Size,
            const std::function<void()> &Run) {
    ++Messages;
    Bytes += Size;
    if (!linked(P, Q))
      return;
    const std::uint64_t Generation = Processes[Q].Generation;
    const int Copies = uniform() < Options.Duplicates ? 2 : 1;
    for (int I = 0; I < Copies; ++I) {
      if (uniform() < Options.Loss)
        continue;
      auto Delay = std::chrono::milliseconds(1);
      if (region(P) != region(Q))
        Delay = Options.FarDelay;
      if (Options.Reorder.count() > 0)
        Delay += milliseconds(below(Options.Reorder.count()));
      after(Delay, [this, Q, Generation, Run] {
        if (Processes[Q].Generation == Generation)
          deliver(Q, Run);
      });
    }
  }

  std::size_t indexOf(const std::string &Name) const {
    return ProcessIndex.at(Name);
  }

  void sendTokenRequest(std::size_t P, outgoing_token_request Out) {
    if (Options.Policy == quota_policy::RefilledWhileLent)
      for (token_request_row &Row : Out.Ask.Rows)
        Row.Held = 0;
    const std::size_t Q = indexOf(Out.To);
    const std::size_t Size = MessageBytes + RowBytes * Out.Ask.Rows.size();
    send(P, Q, Size, [this, P, Q, Request = std::move(Out.Ask)] {
      const auto Grant =
          timed([&] { return Processes[Q].Allocator->answer(Request, Now); });
      if (!Grant)
        return;
      send(Q, P, MessageBytes + RowBytes * Grant->Rows.size(),
           [this, P, Q, Grant] {
             timed([&] {
               Processes[P].Allocator->accept(Processes[Q].Name, *Grant, Now);
               return 0;
             });
             retryWaiting(P);
           });
    });
  }

  void performActions(std::size_t P, const share_actions &Actions) {
    for (const share_read &Read : Actions.Reads)
      startRead(P, Read);
    for (const share_write &Write : Actions.Writes)
      startWrite(P, Write);
    for (const outgoing_promise_request &Out : Actions.Requests) {
      const std::size_t Q = indexOf(Out.To.Name);
      send(P, Q, 60, [this, P, Q, Out] {
        const promise_reply Reply =
            Processes[Q].Leases->answer(Out.Request, Now);
        send(Q, P, 60,
             [this, P, Reply] { Processes[P].Leases->accept(Reply, Now); });
      });
    }
  }

  bool platformReachable(std::size_t P) const {
    return PlatformUp && !CutOffFromPlatform.contains(P);
  }

  milliseconds platformTrip() {
    return PlatformDelay / 2 +
           milliseconds(below(PlatformDelay.count() / 2 + 1));
  }

  template <class Result, class Finish>
  void reply(std::size_t P, std::uint64_t Generation, Result Answer,
             Finish Done) {
    after(platformTrip(), [this, P, Generation, Answer, Done] {
      if (Processes[P].Generation == Generation)
        deliver(P, [this, P, Answer, Done] {
          Done(Processes[P], Answer);
          if (Options.Policy == quota_policy::ExpiryIgnored)
            updateShares(P);
        });
    });
  }

  void startRead(std::size_t P, const share_read &Read) {
    ++PlatformReads;
    const std::uint64_t Generation = Processes[P].Generation;
    const auto Finish = [this](process &Each, const share_read_result &Result) {
      Each.Leases->finishRead(Result, Now);
    };
    after(platformTrip(), [this, P, Generation, Read, Finish] {
      share_read_result Result{
          Read.Ticket, Read.Index, read_outcome::Failed, 0, {}};
      if (platformReachable(P) && uniform() >= AnswerLossRate) {
        const platform_object &Object =
            Objects[{Processes[P].DataCentre, Read.Index}];
        Result.Outcome =
            Object.Version == 0 ? read_outcome::Missing : read_outcome::Found;
        Result.Version = Object.Version;
        Result.Record = Object.Record;
      }
      reply(P, Generation, Result, Finish);
    });
  }

  void startWrite(std::size_t P, const share_write &Write) {
    ++PlatformWrites;
    const std::uint64_t Generation = Processes[P].Generation;
    const auto Finish = [this](process &Each,
                               const share_write_result &Result) {
      Each.Leases->finishWrite(Result, Now);
    };
    // Some writes reach the platform long after they were sent.
    milliseconds Delay = platformTrip();
    if (uniform() < AnswerLossRate)
      Delay += milliseconds(below(15000));
    after(Delay, [this, P, Generation, Write, Finish] {
      share_write_result Result{Write.Ticket, Write.Index,
                                write_outcome::Unknown, 0};
      if (platformReachable(P)) {
        platform_object &Object =
            Objects[{Processes[P].DataCentre, Write.Index}];
        Result.Outcome = write_outcome::Conflict;
        if (Object.Version == Write.ExpectedVersion) {
          Object = {Object.Version + 1, Write.Record};
          Result.Outcome = write_outcome::Done;
          Result.Version = Object.Version;
        }
        if (uniform() < AnswerLossRate)
          return;
      }
      reply(P, Generation, Result, Finish);
    });
  }

  std::priority_queue<event> Events;
  std::unordered_map<std::string, std::size_t> ProcessIndex;
  std::uint64_t LastOrder = 0;
};

} // namespace magnoliaspread

#endif
