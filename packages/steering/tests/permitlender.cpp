#include <magnoliaspread/permitlender.h>
#include <magnoliaspread/story.h>

#include <cmath>
#include <memory>
#include <string>
#include <vector>

using namespace magnoliaspread;
using namespace std::chrono_literals;

namespace {

constexpr boot_time Start{std::chrono::hours(1)};
constexpr target_start Target = 7;
constexpr double Rate = 10;

/// An instance of the target's region that knows of its limit.
class lending_instance {
public:
  lending_instance(const std::string &Name, boot_time Now,
                   const std::string &Region = "north")
      : Lender(settings(Name, Region), Limits, Now) {
    Lender.setTargets({{Target, "north"}});
    confirm(Now);
  }

  /// An answer of the target announces the limit.
  void confirm(boot_time Now) { Limits.observe(Target, Rate, Now, Now); }

  void see(const std::vector<std::string> &Names, boot_time Now) {
    std::vector<permit_instance> Alive;
    Alive.reserve(Names.size());
    for (const std::string &Name : Names)
      Alive.push_back({Name, "north"});
    Lender.setInstances(std::move(Alive), Now);
  }

  /// Permits that this instance mints within \p Seconds, taken by itself.
  int minted(boot_time Now, int Seconds) {
    constexpr auto Step = 10ms;
    int Count = 0;
    for (const boot_time End = Now + std::chrono::seconds(Seconds); Now < End;
         Now += Step) {
      confirm(Now);
      while (Lender.state(Target, Now) == permit_state::Available) {
        Lender.spend(Target, Now);
        ++Count;
      }
    }
    return Count;
  }

  target_limits Limits;
  permit_lender Lender;

private:
  static permit_settings settings(const std::string &Name,
                                  const std::string &Region) {
    permit_settings Settings;
    Settings.Self = {Name, Region};
    return Settings;
  }
};

/// A request for one permit, as sent by an instance that isn't an owner.
permit_request requestOf(std::uint64_t Sequence, boot_time Now) {
  target_limits Limits;
  Limits.observe(Target, Rate, Now, Now);
  return {Sequence, 1, Limits.report(Target, Now)};
}

/// The two of \p Names that own the limit, the others after them.
std::vector<std::string> ownersFirst(std::vector<std::string> Names) {
  lending_instance Any(Names.back(), Start);
  Any.see({Names.begin(), Names.end() - 1}, Start);
  std::vector<std::string> Sorted = Any.Lender.ownersOf(Target, Start);
  for (const std::string &Name : Names)
    if (std::find(Sorted.begin(), Sorted.end(), Name) == Sorted.end())
      Sorted.push_back(Name);
  return Sorted;
}

bool near(double Found, double Expected) {
  return std::abs(Found - Expected) <= 0.1 * Expected + 1;
}

} // namespace

STORY(limit_owners_mint_its_rate_together) {
  const std::vector<std::string> Names = ownersFirst({"a", "b", "c", "d"});
  const boot_time Now = Start + 5s;
  section("a single instance mints all of it", [&] {
    lending_instance Single("a", Start);
    CPPUNIT_ASSERT(near(Single.minted(Now, 10), 10 * Rate));
  });
  section("two owners mint half each, and others nothing", [&] {
    for (std::size_t I = 0; I < Names.size(); ++I) {
      lending_instance Row(Names[I], Start);
      std::vector<std::string> Others = Names;
      Others.erase(Others.begin() + static_cast<std::ptrdiff_t>(I));
      Row.see(Others, Start);
      CPPUNIT_ASSERT(near(Row.minted(Now, 10), I < 2 ? 10 * Rate / 2 : 0));
    }
  });
  section("an instance that has just started mints nothing yet", [&] {
    lending_instance Single("a", Start);
    CPPUNIT_ASSERT_EQUAL(0, Single.minted(Start, 1));
  });
  section("one that leaves mints no more", [&] {
    lending_instance Owner(Names[0], Start);
    Owner.see({Names[1], Names[2]}, Start);
    Owner.Lender.leave();
    CPPUNIT_ASSERT_EQUAL(0, Owner.minted(Now, 10));
  });
  section("without an instance of the region there is nobody to ask", [&] {
    lending_instance Remote("z", Start, "south");
    CPPUNIT_ASSERT(Remote.Lender.state(Target, Now) == permit_state::Denied);
    CPPUNIT_ASSERT(Remote.Lender.untilAvailable(Target, Now) > 0ms);
  });
}

// Guards against owners on both sides of a partition that mint more than the
// rate together.
STORY(limit_owners_of_a_partition_keep_to_the_rate) {
  const std::vector<std::string> Names = ownersFirst({"a", "b", "c", "d"});
  const boot_time CutAt = Start + 5s;
  /// Permits that the instances of one side mint after the cut.
  const auto MintedBy = [&](const std::vector<std::string> &Side) {
    double Sum = 0;
    for (const std::string &Name : Side) {
      lending_instance Row(Name, Start);
      std::vector<std::string> All;
      std::vector<std::string> Visible;
      for (const std::string &Other : Names)
        if (Other != Name)
          All.push_back(Other);
      for (const std::string &Other : Side)
        if (Other != Name)
          Visible.push_back(Other);
      Row.see(All, Start);
      Row.see(Visible, CutAt);
      Sum += Row.minted(CutAt, 10);
    }
    return Sum;
  };
  section("each side mints in proportion to its instances", [&] {
    CPPUNIT_ASSERT(near(MintedBy({Names[0]}), 10 * Rate / 4));
    CPPUNIT_ASSERT(
        near(MintedBy({Names[1], Names[2], Names[3]}), 10 * Rate * 3 / 4));
  });
  section("an instance that left as planned isn't waited for", [&] {
    lending_instance Owner(Names[0], Start);
    Owner.see({Names[1], Names[2]}, Start);
    Owner.see({Names[1]}, CutAt);
    Owner.Lender.instanceLeft(Names[2]);
    CPPUNIT_ASSERT(near(Owner.minted(CutAt, 10), 10 * Rate / 2));
  });
  section("nor is one that has been away for long", [&] {
    lending_instance Owner(Names[0], Start);
    Owner.see({Names[1], Names[2]}, Start);
    Owner.see({Names[1]}, CutAt);
    CPPUNIT_ASSERT(near(Owner.minted(CutAt + 121s, 10), 10 * Rate / 2));
  });
}

STORY(permits_are_granted_once) {
  const std::vector<std::string> Names = ownersFirst({"a", "b", "c"});
  boot_time Now = Start + 5s;
  lending_instance Owner(Names[0], Start);
  Owner.see({Names[1], Names[2]}, Start);
  lending_instance Borrower(Names[2], Start);
  Borrower.see({Names[0], Names[1]}, Start);
  // The bucket fills from the first use on.
  Owner.Lender.state(Target, Now);
  Now += 1s;
  Owner.confirm(Now);
  Borrower.confirm(Now);
  constexpr std::uint64_t Sender = 77;
  section("a repeated request gets the same grant", [&] {
    const permit_request Request = requestOf(1, Now);
    const permit_grant First = Owner.Lender.answer(Request, Sender, Now);
    CPPUNIT_ASSERT_EQUAL(1U, First.Count);
    const permit_grant Again = Owner.Lender.answer(Request, Sender, Now + 25ms);
    CPPUNIT_ASSERT_EQUAL(1U, Again.Count);
    // Of the bucket's two permits one is left.
    CPPUNIT_ASSERT_EQUAL(
        1U, Owner.Lender.answer(requestOf(2, Now), Sender, Now).Count);
    CPPUNIT_ASSERT_EQUAL(
        0U, Owner.Lender.answer(requestOf(3, Now), Sender, Now).Count);
  });
  section("a denial tells when to ask again", [&] {
    const permit_grant Denied =
        Owner.Lender.answer(requestOf(4, Now), Sender, Now);
    CPPUNIT_ASSERT(Denied.Wait > 0ms && Denied.Wait <= 200ms);
    CPPUNIT_ASSERT_EQUAL(
        1U, Owner.Lender.answer(requestOf(5, Now), Sender, Now + Denied.Wait)
                .Count);
  });
  section("a grant is used once, and expires", [&] {
    CPPUNIT_ASSERT(Borrower.Lender.state(Target, Now) ==
                   permit_state::Obtainable);
    Borrower.Lender.setWaiting(Target, 1);
    const auto Sent = Borrower.Lender.tick(Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Sent.size());
    const permit_grant Grant{Sent[0].Request.Sequence, 1, 0ms,
                             Sent[0].Request.Limit};
    Borrower.Lender.accept(Grant, Now + 2ms);
    Borrower.Lender.accept(Grant, Now + 3ms);
    CPPUNIT_ASSERT(Borrower.Lender.state(Target, Now + 3ms) ==
                   permit_state::Available);
    CPPUNIT_ASSERT(Borrower.Lender.state(Target, Now + 700ms) !=
                   permit_state::Available);
    Borrower.Lender.spend(Target, Now + 3ms);
    CPPUNIT_ASSERT(Borrower.Lender.state(Target, Now + 3ms) !=
                   permit_state::Available);
  });
}

STORY(permit_requests_survive_losses) {
  const std::vector<std::string> Names = ownersFirst({"a", "b", "c"});
  const boot_time Now = Start + 5s;
  lending_instance Borrower(Names[2], Start);
  Borrower.see({Names[0], Names[1]}, Start);
  Borrower.confirm(Now);
  Borrower.Lender.state(Target, Now);
  Borrower.Lender.setWaiting(Target, 1);
  const auto First = Borrower.Lender.tick(Now);
  section("an unanswered request is repeated", [&] {
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), First.size());
    CPPUNIT_ASSERT(Borrower.Lender.tick(Now + 10ms).empty());
    const auto Again = Borrower.Lender.tick(Now + 30ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Again.size());
    CPPUNIT_ASSERT_EQUAL(First[0].Request.Sequence, Again[0].Request.Sequence);
    CPPUNIT_ASSERT_EQUAL(First[0].To, Again[0].To);
  });
  section("then the other owner is asked", [&] {
    const auto Next = Borrower.Lender.tick(Now + 160ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Next.size());
    CPPUNIT_ASSERT(Next[0].To != First[0].To);
  });
  section("while both are silent requests go elsewhere", [&] {
    Borrower.Lender.tick(Now + 320ms);
    CPPUNIT_ASSERT(Borrower.Lender.state(Target, Now + 330ms) ==
                   permit_state::Denied);
    CPPUNIT_ASSERT(Borrower.Lender.untilAvailable(Target, Now + 330ms) > 0ms);
  });
  section("a late answer is ignored", [&] {
    Borrower.Lender.accept(
        {First[0].Request.Sequence, 1, 0ms, First[0].Request.Limit},
        Now + 340ms);
    CPPUNIT_ASSERT(Borrower.Lender.state(Target, Now + 340ms) ==
                   permit_state::Denied);
  });
}

STORY(withdrawn_limits_need_no_permits) {
  const std::vector<std::string> Names = ownersFirst({"a", "b", "c"});
  const boot_time Now = Start + 5s;
  lending_instance Owner(Names[0], Start);
  lending_instance Borrower(Names[2], Start);
  Owner.Limits.observe(Target, {}, Now, Now);
  section("an owner tells it in its answer", [&] {
    const permit_grant Grant =
        Owner.Lender.answer(requestOf(1, Start), 77, Now);
    CPPUNIT_ASSERT_EQUAL(0U, Grant.Count);
    Borrower.Limits.merge({{Grant.Limit}}, Now);
    CPPUNIT_ASSERT(Borrower.Lender.state(Target, Now) ==
                   permit_state::Unlimited);
  });
}
