/// All instances of a region have requests for a cold target while some of
/// them are partitioned from each other or frozen. Without a common view they
/// could exceed the target's cold rate together.
#include <magnoliaspread/coldshare.h>
#include <magnoliaspread/placer.h>
#include <magnoliaspread/story.h>

#include <algorithm>
#include <array>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace magnoliaspread;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr steady_time Start{std::chrono::hours(1)};
constexpr std::uint64_t Target = 99;
/// Cold rate of a target in requests a second, the largest factor by which it
/// may be exceeded, and the additional requests allowed in any second (site
/// file lc-taxi; RULES, FAILBACK).
constexpr double ColdRate = 16;
constexpr double ColdOver = 1.5;
constexpr double ColdSlack = 5;
constexpr milliseconds ColdTime{4500};
constexpr milliseconds Step{10};
constexpr std::size_t Instances = 9;

entry_candidate candidate(std::uint64_t Id, std::uint32_t Capacity = 100) {
  return {Id, Capacity, 0};
}

/// Instances of one region, each with its own membership view and its own
/// placer; records the arrivals at the cold target.
class cold_region {
public:
  explicit cold_region(std::uint64_t Seed) : Random(Seed) {
    for (std::size_t I = 0; I < Instances; ++I)
      Fleet.push_back(std::make_unique<instance>());
    for (std::size_t I = 0; I < Instances; ++I)
      updateView(I);
  }

  /// From now on each instance sees the others except a random \p Part.
  void partition(double Part) {
    for (auto &Row : Fleet)
      for (std::size_t I = 0; I < Instances; ++I)
        Row->Sees[I] = std::bernoulli_distribution(1 - Part)(Random);
  }

  /// Starts the target; every instance has requests for it.
  void startTarget() {
    ColdUntil = Now + ColdTime;
    for (std::size_t I = 0; I < Instances; ++I)
      publish(I);
  }

  void run(milliseconds Time) {
    for (const steady_time End = Now + Time; Now < End; Now += Step) {
      for (std::size_t I = 0; I < Instances; ++I) {
        instance &Row = *Fleet[I];
        // A frozen instance resumes with its old view.
        if (std::bernoulli_distribution(0.002)(Random))
          Row.FrozenUntil = Now + milliseconds(200 + Random() % 1500);
        if (Now < Row.FrozenUntil)
          continue;
        if ((Now - Start) % 250ms == 0ms) {
          updateView(I);
          publish(I);
        }
        for (int Attempt = 0; Attempt < 3; ++Attempt)
          sendRequest(I);
      }
    }
  }

  /// Largest number of requests in any second while the target is cold.
  std::size_t maxPerSecond() const {
    std::size_t MaxRequests = 0;
    for (std::size_t First = 0, Last = 0; Last < Arrived.size(); ++Last) {
      while (Arrived[Last] - Arrived[First] >= 1s)
        ++First;
      MaxRequests = std::max(MaxRequests, Last - First + 1);
    }
    return MaxRequests;
  }

  std::size_t arrived() const { return Arrived.size(); }

private:
  struct instance {
    cold_shares Shares;
    placer Placer{placer_policy()};
    std::array<bool, Instances> Sees = allOf();
    steady_time FrozenUntil;

    static std::array<bool, Instances> allOf() {
      std::array<bool, Instances> All{};
      All.fill(true);
      return All;
    }
  };

  void updateView(std::size_t I) {
    std::vector<entry_candidate> Peers;
    for (std::size_t J = 0; J < Instances; ++J)
      if (J != I && Fleet[I]->Sees[J])
        Peers.push_back(candidate(J + 1));
    Fleet[I]->Shares.setRegionalPeers(Peers, Now);
  }

  void publish(std::size_t I) {
    placer_target Row;
    Row.Handle = {0};
    Row.Service = {0};
    Row.Id = Target;
    Row.Slots = 1000;
    Row.ColdUntil = ColdUntil;
    Row.ColdTime = ColdTime;
    Row.ColdRate = ColdRate * Fleet[I]->Shares.share(Target, candidate(I + 1));
    Fleet[I]->Placer.setTargets({Row}, Now);
  }

  void sendRequest(std::size_t I) {
    place_request Request;
    Request.Id = ++LastId;
    Request.Service = {0};
    Request.Arrived = Now;
    Request.GoodUntil = Now + 400ms;
    Request.Deadline = Now + 2500ms;
    if (!Fleet[I]->Placer.placeNow(Request, Now))
      return;
    if (Now < ColdUntil)
      Arrived.push_back(Now);
    Fleet[I]->Placer.finished({{0}, 0, 0, target_result::Answered, 1ms, {}, {}},
                              Now);
  }

  std::mt19937_64 Random;
  steady_time Now = Start;
  steady_time ColdUntil;
  std::uint64_t LastId = 0;
  std::vector<std::unique_ptr<instance>> Fleet;
  std::vector<steady_time> Arrived;
};

void expectWithinRate(const cold_region &Region, std::uint64_t Seed) {
  const auto MaxRequests = static_cast<double>(Region.maxPerSecond());
  CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(Seed) + ": " +
                             std::to_string(MaxRequests) + " in a second",
                         MaxRequests <= ColdRate * ColdOver + ColdSlack);
}

} // namespace

STORY(cold_rate_is_shared) {
  cold_shares Shares;
  std::vector<entry_candidate> Peers;
  for (std::uint64_t Id = 2; Id <= Instances; ++Id)
    Peers.push_back(candidate(Id));
  section("a single instance gets the whole fraction", [&] {
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.9, Shares.share(Target, candidate(1)), 1e-9);
  });
  section("three strong instances get a third each, the others none", [&] {
    double Sum = 0;
    int Owners = 0;
    for (std::uint64_t Own = 1; Own <= Instances; ++Own) {
      cold_shares One;
      std::vector<entry_candidate> Others{candidate(50, 20)};
      for (std::uint64_t Id = 1; Id <= Instances; ++Id)
        if (Id != Own)
          Others.push_back(candidate(Id));
      One.setRegionalPeers(Others, Start);
      const double Share = One.share(Target, candidate(Own));
      Sum += Share;
      Owners += Share > 0 ? 1 : 0;
      CPPUNIT_ASSERT_EQUAL(0.0, One.share(Target, candidate(Own, 20)));
    }
    CPPUNIT_ASSERT_EQUAL(3, Owners);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.9, Sum, 1e-9);
  });
  section("lost peers keep their share while a target is cold", [&] {
    Shares.setRegionalPeers(Peers, Start);
    const double Before = Shares.share(Target, candidate(1));
    Shares.setRegionalPeers({}, Start + 5s);
    CPPUNIT_ASSERT_EQUAL(Before, Shares.share(Target, candidate(1)));
    Shares.setRegionalPeers({}, Start + 10s);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.9, Shares.share(Target, candidate(1)), 1e-9);
  });
}

STORY(cold_targets_stay_within_their_rate) {
  section("without faults, and the rate is used", [&] {
    cold_region Region(1);
    Region.startTarget();
    Region.run(ColdTime);
    expectWithinRate(Region, 1);
    CPPUNIT_ASSERT(static_cast<double>(Region.arrived()) >
                   ColdRate * 0.5 * 4.5);
  });
  section("while instances are frozen and partitioned", [&] {
    for (std::uint64_t Seed = 1; Seed <= 50; ++Seed) {
      cold_region Region(Seed);
      Region.run(1s);
      Region.partition(static_cast<double>(Seed % 11) / 10);
      Region.run(2s);
      Region.startTarget();
      Region.run(ColdTime);
      expectWithinRate(Region, Seed);
    }
  });
}
