/// Embeds the decision library: two instances share one fleet-wide rate. In
/// this example both run in one program and messages are function calls; in a
/// real system messages cross the network and may get lost.
#include <magnoliaspread/clock.h>
#include <magnoliaspread/quota.h>

#include <chrono>
#include <cstdio>
#include <vector>

using namespace magnoliaspread;

namespace {

constexpr std::uint32_t HalfPpm = 500000;
constexpr double Rate = 100;
constexpr double Burst = 20;
constexpr std::chrono::milliseconds Tick{20};
constexpr std::chrono::seconds Span{20};

/// One instance: a token pool to spend from and a quota allocator that fills
/// it.
struct instance {
  instance(std::uint64_t Incarnation, const char *Name, steady_time Now)
      : Name(Name), Allocator({Incarnation, Incarnation}, Pool, Now) {}

  const char *Name;
  token_pool Pool;
  quota_allocator Allocator;
  unsigned Admitted = 0;
};

void configure(instance &Instance, const instance &Other, std::uint16_t Share,
               steady_time Now) {
  Instance.Allocator.setLimits(1, {{workspaceLimit("club"), Rate, Burst}}, Now);
  // In a real system share_lease_manager assigns the shares.
  Instance.Allocator.setShares({{Share, HalfPpm, Now, Now + 2 * Span}}, Now);
  Instance.Allocator.setPeers({{Other.Name, true}});
}

/// Sends the borrower's token requests to the lender and applies the grants.
void requestTokens(instance &Borrower, instance &Lender, steady_time Now) {
  for (const outgoing_token_request &Row : Borrower.Allocator.tick(Now))
    if (const auto Grant = Lender.Allocator.answer(Row.Ask, Now))
      Borrower.Allocator.accept(Lender.Name, *Grant, Now);
}

int runExample() {
  fake_clock Clock;
  const steady_time Start = Clock.now();
  instance Busy(1, "busy", Start);
  instance Idle(2, "idle", Start);
  configure(Busy, Idle, 0, Start);
  configure(Idle, Busy, 1, Start);
  // One instance receives all load, at 90% of the fleet-wide rate.
  double Due = 0;
  unsigned Asked = 0;
  while (Clock.now() - Start < Span) {
    Clock.advance(Tick);
    requestTokens(Busy, Idle, Clock.now());
    requestTokens(Idle, Busy, Clock.now());
    Due += 0.9 * Rate * std::chrono::duration<double>(Tick).count();
    for (; Due >= 1; --Due) {
      ++Asked;
      if (Busy.Pool.spend(workspaceLimit("club"), MilliPerToken, Clock.now()))
        ++Busy.Admitted;
    }
  }
  std::printf("asked %u, admitted %u by one instance that mints only half\n",
              Asked, Busy.Admitted);
  return Busy.Admitted > Asked / 2 ? 0 : 1;
}

} // namespace

int main() {
  try {
    return runExample();
  } catch (const std::exception &Problem) {
    std::fputs(Problem.what(), stderr);
    return 1;
  }
}
