#include "quota_fleet.h"

#include <magnoliaspread/story.h>

#include <cstdlib>
#include <sstream>

using namespace magnoliaspread;

namespace {

constexpr double TestRate = 60;
constexpr double TestBurst = 40;
constexpr milliseconds ScheduleSpan{40000};

fleet_config configOf(std::size_t DataCentres, double Rate, double Burst,
                      std::uint32_t Shares) {
  fleet_config Config;
  Config.Limits.push_back({workspaceLimit("clube"), Rate, Burst});
  Config.Limits.push_back({linkLimit("lisboa", "porto"), Rate / 3, Burst / 2});
  const auto Permille = static_cast<std::uint32_t>(1000 / DataCentres);
  for (std::size_t D = 0; D < DataCentres; ++D)
    Config.Cuts.push_back({1, Permille, Shares});
  return Config;
}

/// A random schedule of faults, load and edits, all from one seed.
class schedule {
public:
  schedule(std::uint64_t Seed, quota_policy Policy)
      : Fleet(options(Seed, Policy),
              configOf(2 + Seed % 2, TestRate, TestBurst, 1 + Seed % 4)) {
    load();
    const std::size_t Faults = 4 + Fleet.below(8);
    for (std::size_t I = 0; I < Faults; ++I)
      Fleet.after(milliseconds(Fleet.below(ScheduleSpan.count())),
                  [this] { fault(); });
  }

  /// Mends everything and lowers the load to three quarters of the rate.
  void calm() {
    Calm = true;
    Fleet.Cut.clear();
    Fleet.CutFromPlatform.clear();
    Fleet.PlatformUp = true;
    Fleet.AnswersLost = 0;
    Fleet.PlatformDelay = milliseconds(5);
    Fleet.Options.Loss = 0.02;
    Fleet.Options.Reorder = milliseconds(1);
    Fleet.Options.Wait = milliseconds(300);
    const double Rate = Fleet.Configs.back().Limits.front().Rate;
    Gap = milliseconds(static_cast<int>(1000 / (0.75 * Rate)));
  }

  bool allHeld() const {
    std::size_t Held = 0;
    std::size_t Wanted = 0;
    for (const quota_fleet::process &Each : Fleet.Processes)
      Held += Each.Keeper->minted(Fleet.Now).size();
    for (const share_cut &Cut : Fleet.Configs.back().Cuts)
      Wanted += Cut.Shares;
    return Held == Wanted;
  }

  quota_fleet Fleet;

private:
  static fleet_options options(std::uint64_t Seed, quota_policy Policy) {
    fleet_options Options;
    Options.Seed = Seed;
    Options.Policy = Policy;
    Options.DataCentres = 2 + Seed % 2;
    Options.Instances = 2 + Seed / 2 % 2;
    Options.DataCentresPerRegion = 1;
    Options.Tick = milliseconds(50);
    Options.LeaseTtl = milliseconds(3000);
    Options.Loss = Seed % 3 == 0 ? 0.3 : 0.02;
    Options.Duplicates = 0.1;
    Options.Reorder = milliseconds(Seed % 5 * 100 + 1);
    return Options;
  }

  /// Below or above the rate, on a part of the instances that changes; now
  /// and then all instances spend all that they have.
  void load() {
    if (Fleet.uniform() < (Calm ? 0.004 : 0.02))
      Hot = any();
    if (!Calm && Fleet.uniform() < 0.01)
      Gap = milliseconds(Fleet.uniform() < 0.5 ? 8 : 25);
    const std::size_t P = Fleet.uniform() < 0.7 ? Hot : any();
    Fleet.arrive(P, 0);
    if (!Calm)
      Fleet.arrive(P, 1);
    if (!Calm && Fleet.uniform() < 0.004) {
      const std::size_t Limit = Fleet.below(2);
      for (std::size_t Q = 0; Q < Fleet.Processes.size(); ++Q)
        Fleet.drain(Q, Limit);
    }
    // Quiet spells let the buckets fill.
    const bool Quiet = Fleet.uniform() < 0.002;
    Fleet.after(Quiet ? milliseconds(3000) : Gap, [this] { load(); });
  }

  std::size_t any() { return Fleet.below(Fleet.Processes.size()); }
  milliseconds span(int Most) { return milliseconds(100 + Fleet.below(Most)); }

  void fault() {
    using action = void (schedule::*)();
    static constexpr action Actions[] = {
        &schedule::crash,     &schedule::crash,       &schedule::freeze,
        &schedule::freeze,    &schedule::partition,   &schedule::outage,
        &schedule::cutOff,    &schedule::loseAnswers, &schedule::slowPlatform,
        &schedule::configure, &schedule::configure,   &schedule::leave};
    (this->*Actions[Fleet.below(std::size(Actions))])();
  }

  void crash() { crashOne(any(), milliseconds(0)); }

  void crashOne(std::size_t P, milliseconds Delay) {
    Fleet.after(Delay, [this, P] {
      if (!Fleet.Processes[P].Alive)
        return;
      const std::uint64_t Incarnation = Fleet.Processes[P].Incarnation;
      const std::size_t DataCentre = Fleet.Processes[P].DataCentre;
      Fleet.crash(P);
      if (Fleet.uniform() < 0.6)
        Fleet.after(span(2000), [this, DataCentre, Incarnation] {
          Fleet.proveDead(DataCentre, Incarnation);
        });
      Fleet.after(span(8000), [this, P, DataCentre, Incarnation] {
        Fleet.start(P);
        Fleet.proveDead(DataCentre, Incarnation);
      });
    });
  }

  void leave() {
    const std::size_t P = any();
    if (!Fleet.running(P))
      return;
    Fleet.Processes[P].Keeper->leave();
    crashOne(P, span(4000));
  }

  void freeze() { Fleet.freeze(any(), span(9000)); }

  void partition() {
    const std::size_t P = any();
    const std::size_t Q = any();
    if (P == Q)
      return;
    const std::pair Pair{std::min(P, Q), std::max(P, Q)};
    Fleet.Cut.insert(Pair);
    Fleet.after(span(12000), [this, Pair] { Fleet.Cut.erase(Pair); });
  }

  void outage() {
    Fleet.PlatformUp = false;
    Fleet.after(span(15000), [this] { Fleet.PlatformUp = true; });
  }

  void cutOff() {
    const std::size_t P = any();
    Fleet.CutFromPlatform.insert(P);
    Fleet.after(span(15000), [this, P] { Fleet.CutFromPlatform.erase(P); });
  }

  void loseAnswers() {
    Fleet.AnswersLost = 0.4;
    Fleet.after(span(15000), [this] { Fleet.AnswersLost = 0; });
  }

  void slowPlatform() {
    Fleet.PlatformDelay = milliseconds(3000);
    Fleet.after(span(10000), [this] { Fleet.PlatformDelay = milliseconds(5); });
  }

  void configure() {
    const std::size_t DataCentres = Fleet.Options.DataCentres;
    const double Factor = 0.2 + 2 * Fleet.uniform();
    fleet_config Config =
        configOf(DataCentres, TestRate * Factor, TestBurst * Factor,
                 static_cast<std::uint32_t>(1 + Fleet.below(4)));
    // Moves most of the minting to one data centre.
    const std::size_t Main = Fleet.below(DataCentres);
    for (std::size_t D = 0; D < DataCentres; ++D)
      Config.Cuts[D].Permille = D == Main ? 800 : 200 / (DataCentres - 1);
    Fleet.configure(Config, milliseconds(5000));
  }

  std::size_t Hot = 0;
  milliseconds Gap{8};
  bool Calm = false;
};

struct schedule_result {
  std::uint64_t Breaches = 0;
  std::uint64_t DoubleMints = 0;
};

schedule_result runSchedule(std::uint64_t Seed, quota_policy Policy) {
  schedule Schedule(Seed, Policy);
  Schedule.Fleet.run(ScheduleSpan);
  return {Schedule.Fleet.breaches(), Schedule.Fleet.DoubleMints};
}

/// Schedules per run; QUOTA_SCHEDULES asks for more.
std::uint64_t schedules(std::uint64_t Default) {
  const char *Text = std::getenv("QUOTA_SCHEDULES");
  return Text == nullptr ? Default : std::strtoull(Text, nullptr, 10);
}

std::uint64_t firstCaught(quota_policy Policy, std::uint64_t Most) {
  for (std::uint64_t Seed = 1; Seed <= Most; ++Seed)
    if (runSchedule(Seed, Policy).Breaches > 0)
      return Seed;
  return 0;
}

} // namespace

STORY(no_window_admits_more_than_rate_and_burst) {
  section("under random faults, load and edits", [&] {
    const std::uint64_t Count = schedules(150);
    for (std::uint64_t Seed = 1; Seed <= Count; ++Seed) {
      const schedule_result Result = runSchedule(Seed, quota_policy::Lent);
      std::ostringstream Text;
      Text << "seed " << Seed << ": " << Result.Breaches << " breaches, "
           << Result.DoubleMints << " of them mints";
      CPPUNIT_ASSERT_MESSAGE(Text.str(), Result.Breaches == 0);
    }
  });
}

STORY(the_schedules_catch_simple_versions) {
  constexpr std::uint64_t Most = 60;
  section("rate divided by the live members that each one sees", [&] {
    CPPUNIT_ASSERT(firstCaught(quota_policy::Divided, Most) != 0);
  });
  section("a lease that is checked only at its renewal", [&] {
    CPPUNIT_ASSERT(firstCaught(quota_policy::FenceIgnored, Most) != 0);
  });
  section("a lender that refills while its tokens are unspent", [&] {
    CPPUNIT_ASSERT(firstCaught(quota_policy::RefilledWhileLent, Most) != 0);
  });
  section("a new holder that mints at once", [&] {
    CPPUNIT_ASSERT(firstCaught(quota_policy::NoWait, Most) != 0);
  });
  section("a new cut that is in force before all have it", [&] {
    CPPUNIT_ASSERT(firstCaught(quota_policy::CutAtOnce, Most) != 0);
  });
}

STORY(a_fleet_recovers_when_the_faults_end) {
  constexpr milliseconds Calm{45000};
  constexpr milliseconds Watched{20000};
  constexpr double MostWronglyRefused = 0.01;
  section("every share is held and requests within the limits are admitted",
          [&] {
            std::uint64_t Calls = 0;
            std::uint64_t Wrong = 0;
            for (std::uint64_t Seed = 1; Seed <= 30; ++Seed) {
              schedule Schedule(Seed, quota_policy::Lent);
              quota_fleet &Fleet = Schedule.Fleet;
              Fleet.run(ScheduleSpan);
              Schedule.calm();
              Fleet.run(Calm);
              Fleet.ConformantCalls = 0;
              Fleet.WronglyRefused = 0;
              Fleet.run(Watched);
              const std::string Text = "seed " + std::to_string(Seed);
              CPPUNIT_ASSERT_MESSAGE(Text, Fleet.breaches() == 0);
              CPPUNIT_ASSERT_MESSAGE(Text, Schedule.allHeld());
              Calls += Fleet.ConformantCalls;
              Wrong += Fleet.WronglyRefused;
            }
            CPPUNIT_ASSERT(static_cast<double>(Wrong) <
                           MostWronglyRefused * static_cast<double>(Calls));
          });
}

STORY(a_full_bucket_is_not_refilled_for_time_it_was_full) {
  const limit_id Limit = workspaceLimit("clube");
  steady_time Now{std::chrono::hours(1)};
  purse Purse;
  quota_bank Bank({1, 1}, Purse, Now);
  Bank.setLimits(1, {{Limit, 10, 5}}, Now);
  Bank.setShares({{0, 1000000, Now, steady_time::max()}}, Now);
  Now += milliseconds(2000);
  Bank.tick(Now);
  section("tokens spent at the end of a pause leave the bucket empty", [&] {
    Now += milliseconds(900);
    CPPUNIT_ASSERT(Purse.spend(Limit, 5 * MilliPerToken, Now));
    Bank.tick(Now);
    CPPUNIT_ASSERT_EQUAL(milli_tokens(0), Bank.available(Limit));
  });
  section("handed out tokens expire in a paused process", [&] {
    Now += milliseconds(2000);
    Bank.tick(Now);
    Now += milliseconds(1000);
    CPPUNIT_ASSERT(!Purse.spend(Limit, MilliPerToken, Now));
  });
}

STORY(lent_tokens) {
  const limit_id Limit = workspaceLimit("clube");
  steady_time Now{std::chrono::hours(1)};
  purse LenderPurse;
  quota_bank Lender({1, 1}, LenderPurse, Now);
  Lender.setLimits(1, {{Limit, 10, 8}}, Now);
  Lender.setShares({{0, 1000000, Now, steady_time::max()}}, Now);
  Now += milliseconds(2000);
  Lender.tick(Now);
  const token_ask First{7, 1, 0, {{Limit, 3000, 0, 0}}};
  section("count against the lender's burst until they are reported", [&] {
    const auto Grant = Lender.answer(First, Now);
    CPPUNIT_ASSERT(Grant && Grant->Rows.front().Tokens == 3000);
    Now += milliseconds(1000);
    Lender.tick(Now);
    CPPUNIT_ASSERT_EQUAL(milli_tokens(5000), Lender.available(Limit));
  });
  section("aren't granted again to a duplicate of the ask",
          [&] { CPPUNIT_ASSERT(!Lender.answer(First, Now)); });
  section("come back at once when the grant was lost", [&] {
    const auto Grant = Lender.answer({7, 2, 0, {}}, Now);
    CPPUNIT_ASSERT(Grant && Grant->Rows.empty());
    CPPUNIT_ASSERT_EQUAL(milli_tokens(8000), Lender.available(Limit));
  });
  section("come back when they are returned, and once only", [&] {
    CPPUNIT_ASSERT(Lender.answer({7, 3, 0, {{Limit, 4000, 0, 0}}}, Now));
    CPPUNIT_ASSERT(Lender.answer({7, 4, 3, {{Limit, 0, 1000, 2000}}}, Now));
    CPPUNIT_ASSERT_EQUAL(milli_tokens(6000), Lender.available(Limit));
    CPPUNIT_ASSERT(Lender.answer({7, 5, 3, {{Limit, 0, 0, 2000}}}, Now));
    CPPUNIT_ASSERT_EQUAL(milli_tokens(6000), Lender.available(Limit));
  });
  section("expire at the borrower before they do at the lender", [&] {
    purse Purse;
    quota_bank Borrower({7, 1}, Purse, Now);
    Borrower.setLimits(1, {{Limit, 10, 8}}, Now);
    Borrower.setPeers({{"lender", true}});
    Purse.addWaiting(Limit, MilliPerToken);
    Now += milliseconds(20);
    const std::vector<outgoing_ask> Asks = Borrower.tick(Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Asks.size());
    const token_grant Grant{7, 1, 1, 1, {{Limit, 1000, 0, 0}}};
    Borrower.accept("lender", Grant, Now + milliseconds(50));
    Borrower.tick(Now + milliseconds(1500));
    CPPUNIT_ASSERT(!Purse.retry(Limit, MilliPerToken, Now + TokenLife));
    CPPUNIT_ASSERT(Purse.retry(Limit, MilliPerToken, Now + milliseconds(1999)));
    Borrower.accept("lender", Grant, Now + milliseconds(60));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), Borrower.counts().GrantsLate);
  });
}
