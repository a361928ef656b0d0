#include "quota_schedule.h"

#include <magnoliaspread/story.h>

using namespace magnoliaspread;

namespace {

/// One keeper and the platform's view of its shares.
struct lone_keeper {
  steady_time Now{std::chrono::hours(1)};
  share_keeper Keeper;
  share_actions Actions;
  std::vector<quota_fleet::platform_object> Objects;
  write_outcome Outcome = write_outcome::Done;
  bool Up = true;

  lone_keeper(const std::string &Name, std::uint64_t Incarnation,
              std::uint32_t Shares = 2)
      : Keeper(settings(Name, Incarnation), Now), Objects(Shares) {
    Keeper.setCut({1, 1000, Shares});
    Keeper.confirmEverywhere(1, Now);
  }

  static share_settings settings(const std::string &Name,
                                 std::uint64_t Incarnation) {
    share_settings Settings;
    Settings.Name = Name;
    Settings.Incarnation = Incarnation;
    return Settings;
  }

  /// Ticks each 100 ms; the platform answers at once.
  void run(milliseconds Span) {
    for (const steady_time End = Now + Span; Now < End;) {
      Now += milliseconds(100);
      Actions = Keeper.tick(Now);
      for (const share_read &Read : Actions.Reads)
        answer(Read);
      for (const share_write &Write : Actions.Writes)
        answer(Write);
    }
  }

  void answer(const share_read &Read) {
    const quota_fleet::platform_object &Object = Objects[Read.Index];
    const read_outcome Found =
        Object.Version == 0 ? read_outcome::Missing : read_outcome::Found;
    Keeper.finishRead({Read.Ticket, Read.Index,
                       Up ? Found : read_outcome::Failed, Object.Version,
                       Object.Record},
                      Now);
  }

  void answer(const share_write &Write) {
    quota_fleet::platform_object &Object = Objects[Write.Index];
    write_outcome Result = write_outcome::NotSent;
    if (Up && Object.Version == Write.ExpectedVersion) {
      Object = {Object.Version + 1, Write.Record};
      Result = Outcome;
    } else if (Up) {
      Result = write_outcome::Conflict;
    }
    Keeper.finishWrite({Write.Ticket, Write.Index, Result, Object.Version},
                       Now);
  }

  /// Another process holds a share.
  void holdElsewhere(std::uint16_t Index, const share_mate &Holder,
                     std::vector<share_mate> Roster) {
    share_record Record{Holder, 1,      lease_state::Held,
                        1,      500000, std::move(Roster)};
    Objects[Index] = {Objects[Index].Version + 1, Record};
  }

  bool mints(std::uint16_t Index) const {
    for (const minted_share &Share : Keeper.minted(Now))
      if (Share.Index == Index && Now >= Share.MintsFrom)
        return true;
    return false;
  }
};

constexpr milliseconds Ttl{10000};
const share_mate Self{"a", 1};
const share_mate Mate{"b", 2};

} // namespace

STORY(one_process_at_a_time_mints_a_share) {
  section("under random faults, with the wait for lent tokens between two",
          [&] {
            const std::uint64_t Count = schedules(2000);
            for (std::uint64_t Seed = 1; Seed <= Count; ++Seed) {
              schedule Schedule(Seed, quota_policy::Lent, false);
              Schedule.Fleet.run(ScheduleSpan);
              CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(Seed),
                                     Schedule.Fleet.DoubleMints == 0);
            }
          });
  section("and a lease looked at only on renewal is caught", [&] {
    std::uint64_t Caught = 0;
    for (std::uint64_t Seed = 1; Seed <= 60; ++Seed) {
      schedule Schedule(Seed, quota_policy::FenceIgnored, false);
      Schedule.Fleet.run(ScheduleSpan);
      Caught += Schedule.Fleet.DoubleMints;
    }
    CPPUNIT_ASSERT(Caught > 0);
  });
}

STORY(a_holder_and_the_platform) {
  lone_keeper One("a", 1, 3);
  One.Keeper.setMates({Mate});
  One.holdElsewhere(2, Mate, {});
  section("takes free shares and mints when lent tokens have expired", [&] {
    One.run(milliseconds(1500));
    CPPUNIT_ASSERT(!One.mints(0));
    One.run(milliseconds(9000));
    CPPUNIT_ASSERT(One.mints(0) && One.mints(1));
    CPPUNIT_ASSERT(One.Objects[0].Record.Roster ==
                   std::vector<share_mate>{Mate});
  });
  section("a write whose answer was lost is read back", [&] {
    One.Outcome = write_outcome::Unknown;
    One.run(Ttl * 3);
    CPPUNIT_ASSERT(One.mints(0));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), One.Keeper.counts().Lost);
    One.Outcome = write_outcome::Done;
  });
  section("with platform and mates silent it stops but for pinned shares", [&] {
    One.Up = false;
    One.run(Ttl + milliseconds(100));
    CPPUNIT_ASSERT(!One.mints(0));
    CPPUNIT_ASSERT(One.mints(1));
  });
  section("a promise of the mate lets it go on", [&] {
    One.run(milliseconds(1000));
    CPPUNIT_ASSERT(!One.Actions.Requests.empty() || !One.mints(0));
    while (One.Actions.Requests.empty())
      One.run(milliseconds(100));
    const promise_request Asked = One.Actions.Requests.front().Request;
    One.Keeper.accept({Mate, Asked.Sequence, {0}}, One.Now);
    CPPUNIT_ASSERT(One.mints(0));
    One.run(Ttl);
    CPPUNIT_ASSERT(!One.mints(0));
  });
  section("a mate that died after the lease ran out still counts", [&] {
    One.Keeper.declareDead(Mate.Incarnation, One.Now);
    CPPUNIT_ASSERT(!One.mints(0));
  });
  section("a renewal in the platform brings the share back", [&] {
    One.Up = true;
    One.run(milliseconds(2000));
    CPPUNIT_ASSERT(One.mints(0));
  });
  section("with every taker proven dead it goes on without the platform", [&] {
    One.Keeper.setMates({});
    One.run(Ttl);
    One.Up = false;
    One.run(Ttl * 3);
    CPPUNIT_ASSERT(One.mints(0));
  });
  section("a record that names another holder stops it at once", [&] {
    One.Up = true;
    One.holdElsewhere(1, {"c", 3}, {});
    One.run(Ttl / 2);
    CPPUNIT_ASSERT(!One.mints(1));
    CPPUNIT_ASSERT(One.mints(0));
  });
}

STORY(taking_over) {
  lone_keeper One("a", 1);
  One.Keeper.setMates({Mate});
  One.holdElsewhere(0, Mate, {Self});
  One.holdElsewhere(1, Mate, {Self});
  section("a silent holder keeps its share for a lease time and a margin", [&] {
    One.run(Ttl + milliseconds(900));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), One.Keeper.heldCount());
  });
  section("a promise holds the take-over up", [&] {
    const promise_reply Reply =
        One.Keeper.answer({Mate, 1, {{0, 1}, {1, 1}}}, One.Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Reply.Indexes.size());
    One.run(Ttl);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), One.Keeper.heldCount());
  });
  section("then the share is taken, but not the pinned one", [&] {
    One.run(Ttl);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), One.Keeper.heldCount());
    CPPUNIT_ASSERT(One.mints(0));
  });
  section("the new holder gives the former one no promise", [&] {
    const promise_reply Reply = One.Keeper.answer({Mate, 2, {{0, 1}}}, One.Now);
    CPPUNIT_ASSERT(Reply.Indexes.empty());
  });
  section("proof of death frees the pinned share too", [&] {
    One.Keeper.declareDead(Mate.Incarnation, One.Now);
    One.Keeper.setMates({});
    One.run(milliseconds(5000));
    CPPUNIT_ASSERT(One.mints(0) && One.mints(1));
  });
  section("a mate without a share is given one", [&] {
    One.Keeper.setMates({{"c", 3}});
    const steady_time End = One.Now + milliseconds(25000);
    while (One.Keeper.heldCount() > 1 && One.Now < End)
      One.run(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), One.Keeper.heldCount());
  });
  section("a graceful leave releases the rest", [&] {
    One.Keeper.leave();
    One.run(milliseconds(2000));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), One.Keeper.heldCount());
    CPPUNIT_ASSERT(One.Objects[0].Record.State == lease_state::Released);
    CPPUNIT_ASSERT(One.Objects[1].Record.State == lease_state::Released);
  });
}

STORY(a_mate_outside_the_roster) {
  lone_keeper One("a", 1);
  One.Keeper.setMates({Mate});
  One.holdElsewhere(0, Mate, {{"c", 3}});
  One.holdElsewhere(1, Mate, {{"a", 99}});
  section("takes nothing on silence, nor under a former incarnation's name",
          [&] {
            One.run(Ttl * 5);
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), One.Keeper.heldCount());
          });
}

STORY(cuts_of_several_versions) {
  share_plan Plan{TokenLife};
  steady_time Now{std::chrono::hours(1)};
  Plan.apply({1, 600, 2});
  section("a new process is bound by the record until all is confirmed", [&] {
    CPPUNIT_ASSERT_EQUAL(0U, Plan.fractionPpm(0, 0));
    CPPUNIT_ASSERT_EQUAL(100000U, Plan.fractionPpm(0, 100000));
    Plan.confirmEverywhere(1, Now);
    Now += TokenLife;
    Plan.pruneSplits(Now);
    CPPUNIT_ASSERT_EQUAL(300000U, Plan.fractionPpm(0, 0));
  });
  section("a decrease counts at once", [&] {
    Plan.apply({2, 200, 2});
    CPPUNIT_ASSERT_EQUAL(100000U, Plan.fractionPpm(0, 0));
  });
  section("a raise counts when tokens of the former cut have expired", [&] {
    Plan.apply({3, 800, 2});
    Plan.confirmEverywhere(3, Now);
    Plan.pruneSplits(Now + TokenLife - milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(100000U, Plan.fractionPpm(0, 0));
    Plan.pruneSplits(Now + TokenLife);
    CPPUNIT_ASSERT_EQUAL(400000U, Plan.fractionPpm(0, 0));
  });
  section("new shares count only then as well", [&] {
    Plan.apply({4, 800, 4});
    CPPUNIT_ASSERT_EQUAL(0U, Plan.fractionPpm(2, 1000000));
    CPPUNIT_ASSERT_EQUAL(200000U, Plan.fractionPpm(0, 1000000));
  });
}
