/// A fleet of token banks and share keepers on fake time: network, platform
/// and processes fail as told. An observer checks the limits from outside.
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

/// Estimates of an encoded message without its rows, and of a row.
inline constexpr std::size_t MessageBytes = 40;
inline constexpr std::size_t RowBytes = 18;

/// Lent is the shipped policy; the others are simple versions that the tests
/// have to catch.
enum class quota_policy {
  Lent,
  /// Rate and burst divided by the live members that each instance sees.
  Divided,
  /// The lease is looked at only when the platform answers.
  FenceIgnored,
  /// The lender refills although lent tokens are unspent.
  RefilledWhileLent,
  /// A new holder mints at once.
  NoWait,
  /// A new cut is put in force without waiting for the others.
  CutAtOnce,
};

/// A whole configuration as the tests need it.
struct fleet_config {
  std::uint64_t Version = 1;
  std::vector<limit_row> Limits;
  /// Permille and shares of each data centre.
  std::vector<share_cut> Cuts;
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

/// The tightest bucket that admissions in any window must fit into.
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
  /// Whether a bucket for the whole fleet would admit; spends it if so.
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
    std::unique_ptr<purse> Purse;
    std::unique_ptr<quota_bank> Bank;
    std::unique_ptr<share_keeper> Keeper;
    std::vector<minted_share> Shares;
    std::vector<limit_observer> Divided;
    std::deque<waiting_call> Waiting;
    std::vector<std::function<void()>> Held;
    std::uint64_t Life = 0;
  };

  struct platform_object {
    std::uint64_t Version = 0;
    share_record Record;
  };

  struct mint_mark {
    std::uint64_t Incarnation = 0;
    steady_time At;
  };

  fleet_options Options;
  steady_time Now{std::chrono::hours(1)};
  std::mt19937_64 Random;
  std::vector<process> Processes;
  std::vector<fleet_config> Configs;
  std::vector<limit_observer> Observers;
  std::vector<limit_observer> Ideal;
  std::map<std::pair<std::size_t, std::uint16_t>, platform_object> Objects;
  std::map<std::pair<std::size_t, std::uint16_t>, mint_mark> Mints;
  std::set<std::pair<std::size_t, std::size_t>> Cut;
  std::set<std::size_t> CutFromPlatform;
  bool PlatformUp = true;
  double AnswersLost = 0;
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
  std::chrono::nanoseconds BankTime{0};

  quota_fleet(const fleet_options &Options, const fleet_config &Config)
      : Options(Options), Random(Options.Seed) {
    Configs.push_back(Config);
    for (const limit_row &Row : Config.Limits) {
      Observers.push_back({Row.Rate, Row.Burst, Row.Burst, Now, 0, 0});
      Ideal.push_back({Row.Rate, Row.Burst, Row.Burst, Now, 0, 0});
    }
    for (std::size_t D = 0; D < Options.DataCentres; ++D)
      for (std::size_t I = 0; I < Options.Instances; ++I) {
        Processes.emplace_back();
        Processes.back().Name =
            "dc" + std::to_string(D) + "-" + std::to_string(I);
        Processes.back().DataCentre = D;
        Names[Processes.back().Name] = Processes.size() - 1;
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
    Events.push({When, ++LastEvent, std::move(Run)});
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
    Each.Held.clear();
    ++Each.Life;
    Each.Purse = std::make_unique<purse>();
    Each.Bank = std::make_unique<quota_bank>(
        quota_settings{Each.Incarnation, Random()}, *Each.Purse, Now);
    share_settings Settings;
    Settings.Name = Each.Name;
    Settings.Incarnation = Each.Incarnation;
    Settings.LeaseTtl = Options.LeaseTtl;
    Settings.Seed = Random();
    Each.Keeper = std::make_unique<share_keeper>(Settings, Now);
    putInForce(P, Configs.size() - 1);
    refreshView(P);
    const auto Phase = milliseconds(below(Options.Tick.count()));
    scheduleTick(P, Each.Life, Phase);
  }

  void crash(std::size_t P) {
    Processes[P].Alive = false;
    ++Processes[P].Life;
    observeConfigs();
  }

  /// The mates learn for certain that \p Incarnation has ended.
  void proveDead(std::size_t DataCentre, std::uint64_t Incarnation) {
    for (std::size_t P = 0; P < Processes.size(); ++P)
      if (Processes[P].Alive && Processes[P].DataCentre == DataCentre)
        deliver(P, [this, P, Incarnation] {
          Processes[P].Keeper->declareDead(Incarnation, Now);
        });
  }

  void freeze(std::size_t P, milliseconds Span) {
    process &Each = Processes[P];
    if (!Each.Alive || Now < Each.FrozenUntil)
      return;
    Each.FrozenUntil = Now + Span;
    const std::uint64_t Life = Each.Life;
    at(Each.FrozenUntil, [this, P, Life] {
      process &Thawed = Processes[P];
      if (Thawed.Life != Life)
        return;
      // Traffic comes before any control work.
      for (std::size_t L = 0; L < Observers.size(); ++L)
        drain(P, L);
      std::vector<std::function<void()>> Held = std::move(Thawed.Held);
      Thawed.Held.clear();
      for (const auto &Run : Held)
        Run();
    });
  }

  bool running(std::size_t P) const {
    return Processes[P].Alive && Now >= Processes[P].FrozenUntil;
  }

  /// Spends all that \p P has of a limit.
  void drain(std::size_t P, std::size_t L) {
    while (running(P) && spendNow(P, L, true)) {
    }
  }

  /// One request at \p P.
  void arrive(std::size_t P, std::size_t L) {
    const bool Conformant = Ideal[L].admitIdeal(1, Now);
    ConformantCalls += Conformant ? 1 : 0;
    if (running(P) && spendNow(P, L, true))
      return;
    const milli_tokens One = MilliPerToken;
    if (running(P) && Options.Wait.count() > 0) {
      Processes[P].Purse->addWaiting(id(L), One);
      Processes[P].Waiting.push_back({L, Now + Options.Wait, Conformant});
      return;
    }
    refuse(Conformant);
  }

  /// The operators accept a new configuration.
  void configure(fleet_config Config, milliseconds Spread) {
    Config.Version = Configs.back().Version + 1;
    Configs.push_back(std::move(Config));
    const std::size_t C = Configs.size() - 1;
    for (std::size_t P = 0; P < Processes.size(); ++P)
      after(milliseconds(below(Spread.count() + 1)), [this, P, C] {
        const std::uint64_t Life = Processes[P].Life;
        deliver(P, [this, P, C, Life] {
          if (Processes[P].Life == Life)
            putInForce(P, C);
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

  /// Runs \p Call and adds its duration to BankTime.
  template <class Call> auto timed(const Call &Run) {
    const auto From = std::chrono::steady_clock::now();
    auto Result = Run();
    BankTime += std::chrono::steady_clock::now() - From;
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
      Spent = Each.Purse->spend(id(L), MilliPerToken, Now);
    else
      Spent = Each.Purse->retry(id(L), MilliPerToken, Now);
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
      Each.Purse->addWaiting(id(Call.Limit), -MilliPerToken);
      if (Now > Call.Deadline)
        refuse(Call.Conformant);
    }
    Each.Waiting = std::move(Left);
  }

  /// Runs now, or when the process thaws.
  void deliver(std::size_t P, std::function<void()> Run) {
    process &Each = Processes[P];
    if (!Each.Alive)
      return;
    if (Now < Each.FrozenUntil)
      Each.Held.push_back(std::move(Run));
    else
      Run();
  }

  void scheduleTick(std::size_t P, std::uint64_t Life, milliseconds Delay) {
    after(Delay, [this, P, Life] {
      if (Processes[P].Life == Life)
        deliver(P, [this, P, Life] {
          tick(P);
          scheduleTick(P, Life, Options.Tick);
        });
    });
  }

  void tick(std::size_t P) {
    process &Each = Processes[P];
    if (Options.Policy != quota_policy::Divided) {
      operate(P, timed([&] { return Each.Keeper->tick(Now); }));
      if (Options.Policy != quota_policy::FenceIgnored)
        takeShares(P);
      markMints(P);
      for (outgoing_ask &Ask : timed([&] { return Each.Bank->tick(Now); }))
        ask(P, std::move(Ask));
    }
    retryWaiting(P);
  }

  void takeShares(std::size_t P) {
    process &Each = Processes[P];
    Each.Shares = Each.Keeper->minted(Now);
    for (minted_share &Share : Each.Shares) {
      if (Options.Policy == quota_policy::FenceIgnored)
        Share.Fence = steady_time::max();
      if (Options.Policy == quota_policy::NoWait)
        Share.MintsFrom -= TokenLife;
      if (Options.Policy == quota_policy::CutAtOnce) {
        const share_cut &Cut = Configs[Each.Version - 1].Cuts[Each.DataCentre];
        Share.FractionPpm = Share.Index < Cut.Shares
                                ? Cut.Permille * PpmPerPermille / Cut.Shares
                                : 0;
      }
    }
    Each.Bank->setShares(Each.Shares, Now);
  }

  /// Nobody may mint a share until all tokens of the former holder expired.
  void markMints(std::size_t P) {
    const process &Each = Processes[P];
    for (const minted_share &Share : Each.Shares) {
      if (Now < Share.MintsFrom || Now >= Share.Fence)
        continue;
      mint_mark &Mark = Mints[{Each.DataCentre, Share.Index}];
      if (Mark.Incarnation != 0 && Mark.Incarnation != Each.Incarnation &&
          Now < Mark.At + TokenLife)
        ++DoubleMints;
      Mark = {Each.Incarnation, Now};
    }
  }

  void putInForce(std::size_t P, std::size_t C) {
    process &Each = Processes[P];
    const fleet_config &Config = Configs[C];
    if (!Each.Alive || Config.Version <= Each.Version)
      return;
    Each.Version = Config.Version;
    share_cut Cut = Config.Cuts[Each.DataCentre];
    Cut.Version = Config.Version;
    Each.Keeper->setCut(Cut);
    Each.Bank->setLimits(Config.Version, Config.Limits, Now);
    Each.Divided.resize(Config.Limits.size(), {0, 0, 0, Now, 0, 0});
    divide(P);
    observeConfigs();
  }

  /// Bounds by the largest limits that are in force anywhere.
  void observeConfigs() {
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
          Processes[P].Keeper->confirmEverywhere(Lowest, Now);
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
    return !Cut.contains({std::min(P, Q), std::max(P, Q)});
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
    std::vector<share_mate> Mates;
    std::vector<quota_peer> Peers;
    for (std::size_t Q = 0; Q < Processes.size(); ++Q) {
      if (Q == P || !visible(P, Q))
        continue;
      const process &Other = Processes[Q];
      if (Other.DataCentre == Each.DataCentre)
        Mates.push_back({Other.Name, Other.Incarnation});
      Peers.push_back({Other.Name, region(P) == region(Q)});
    }
    deliver(P, [this, P, Mates, Peers] {
      Processes[P].Keeper->setMates(Mates);
      Processes[P].Bank->setPeers(Peers);
      divide(P);
    });
  }

  void refreshViews() {
    for (std::size_t P = 0; P < Processes.size(); ++P)
      refreshView(P);
    // Those who started after the news hear it too.
    for (std::size_t P = 0; P < Processes.size(); ++P)
      deliver(P, [this, P, C = Confirmed] {
        if (C != 0 && Processes[P].Version >= C)
          Processes[P].Keeper->confirmEverywhere(C, Now);
      });
    after(milliseconds(1000), [this] { refreshViews(); });
  }

  void send(std::size_t P, std::size_t Q, std::size_t Size,
            const std::function<void()> &Run) {
    ++Messages;
    Bytes += Size;
    if (!linked(P, Q))
      return;
    const std::uint64_t Life = Processes[Q].Life;
    const int Copies = uniform() < Options.Duplicates ? 2 : 1;
    for (int I = 0; I < Copies; ++I) {
      if (uniform() < Options.Loss)
        continue;
      auto Delay = std::chrono::milliseconds(1);
      if (region(P) != region(Q))
        Delay = Options.FarDelay;
      if (Options.Reorder.count() > 0)
        Delay += milliseconds(below(Options.Reorder.count()));
      after(Delay, [this, Q, Life, Run] {
        if (Processes[Q].Life == Life)
          deliver(Q, Run);
      });
    }
  }

  std::size_t indexOf(const std::string &Name) const { return Names.at(Name); }

  void ask(std::size_t P, outgoing_ask Out) {
    if (Options.Policy == quota_policy::RefilledWhileLent)
      for (ask_row &Row : Out.Ask.Rows)
        Row.Held = 0;
    const std::size_t Q = indexOf(Out.To);
    const std::size_t Size = MessageBytes + RowBytes * Out.Ask.Rows.size();
    send(P, Q, Size, [this, P, Q, Ask = std::move(Out.Ask)] {
      const auto Grant =
          timed([&] { return Processes[Q].Bank->answer(Ask, Now); });
      if (!Grant)
        return;
      send(Q, P, MessageBytes + RowBytes * Grant->Rows.size(),
           [this, P, Q, Grant] {
             timed([&] {
               Processes[P].Bank->accept(Processes[Q].Name, *Grant, Now);
               return 0;
             });
             retryWaiting(P);
           });
    });
  }

  void operate(std::size_t P, const share_actions &Actions) {
    for (const share_read &Read : Actions.Reads)
      startRead(P, Read);
    for (const share_write &Write : Actions.Writes)
      startWrite(P, Write);
    for (const outgoing_promise_request &Out : Actions.Requests) {
      const std::size_t Q = indexOf(Out.To.Name);
      send(P, Q, 60, [this, P, Q, Out] {
        const promise_reply Reply =
            Processes[Q].Keeper->answer(Out.Request, Now);
        send(Q, P, 60,
             [this, P, Reply] { Processes[P].Keeper->accept(Reply, Now); });
      });
    }
  }

  bool platformReachable(std::size_t P) const {
    return PlatformUp && !CutFromPlatform.contains(P);
  }

  milliseconds platformTrip() {
    return PlatformDelay / 2 +
           milliseconds(below(PlatformDelay.count() / 2 + 1));
  }

  template <class Result, class Finish>
  void reply(std::size_t P, std::uint64_t Life, Result Answer, Finish Done) {
    after(platformTrip(), [this, P, Life, Answer, Done] {
      if (Processes[P].Life == Life)
        deliver(P, [this, P, Answer, Done] {
          Done(Processes[P], Answer);
          if (Options.Policy == quota_policy::FenceIgnored)
            takeShares(P);
        });
    });
  }

  void startRead(std::size_t P, const share_read &Read) {
    ++PlatformReads;
    const std::uint64_t Life = Processes[P].Life;
    const auto Finish = [this](process &Each, const share_read_result &Result) {
      Each.Keeper->finishRead(Result, Now);
    };
    after(platformTrip(), [this, P, Life, Read, Finish] {
      share_read_result Result{
          Read.Ticket, Read.Index, read_outcome::Failed, 0, {}};
      if (platformReachable(P) && uniform() >= AnswersLost) {
        const platform_object &Object =
            Objects[{Processes[P].DataCentre, Read.Index}];
        Result.Outcome =
            Object.Version == 0 ? read_outcome::Missing : read_outcome::Found;
        Result.Version = Object.Version;
        Result.Record = Object.Record;
      }
      reply(P, Life, Result, Finish);
    });
  }

  void startWrite(std::size_t P, const share_write &Write) {
    ++PlatformWrites;
    const std::uint64_t Life = Processes[P].Life;
    const auto Finish = [this](process &Each,
                               const share_write_result &Result) {
      Each.Keeper->finishWrite(Result, Now);
    };
    // Some writes reach the platform long after they were sent.
    milliseconds Delay = platformTrip();
    if (uniform() < AnswersLost)
      Delay += milliseconds(below(15000));
    after(Delay, [this, P, Life, Write, Finish] {
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
        if (uniform() < AnswersLost)
          return;
      }
      reply(P, Life, Result, Finish);
    });
  }

  std::priority_queue<event> Events;
  std::unordered_map<std::string, std::size_t> Names;
  std::uint64_t LastEvent = 0;
};

} // namespace magnoliaspread

#endif
