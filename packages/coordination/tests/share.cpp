#include "quota_schedule.h"

#include <magnoliaspread/story.h>

using namespace magnoliaspread;

namespace {

/// One share lease manager and the platform's objects of its shares.
struct lease_fixture {
  steady_time Now{std::chrono::hours(1)};
  share_lease_manager Leases;
  share_actions Actions;
  std::vector<quota_fleet::platform_object> Objects;
  write_outcome Outcome = write_outcome::Done;
  bool PlatformUp = true;

  lease_fixture(const std::string &Name, std::uint64_t Incarnation,
                std::uint32_t Shares = 2)
      : Leases(settings(Name, Incarnation), Now), Objects(Shares) {
    Leases.setSplit({1, 1000, Shares});
    Leases.confirmEverywhere(1, Now);
  }

  static share_settings settings(const std::string &Name,
                                 std::uint64_t Incarnation) {
    share_settings Settings;
    Settings.Name = Name;
    Settings.Incarnation = Incarnation;
    return Settings;
  }

  /// Ticks every 100 ms; the platform answers immediately.
  void run(milliseconds Span) {
    for (const steady_time End = Now + Span; Now < End;) {
      Now += milliseconds(100);
      Actions = Leases.tick(Now);
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
    Leases.finishRead({Read.Ticket, Read.Index,
                       PlatformUp ? Found : read_outcome::Failed,
                       Object.Version, Object.Record},
                      Now);
  }

  void answer(const share_write &Write) {
    quota_fleet::platform_object &Object = Objects[Write.Index];
    write_outcome Result = write_outcome::NotSent;
    if (PlatformUp && Object.Version == Write.ExpectedVersion) {
      Object = {Object.Version + 1, Write.Record};
      Result = Outcome;
    } else if (PlatformUp) {
      Result = write_outcome::Conflict;
    }
    Leases.finishWrite({Write.Ticket, Write.Index, Result, Object.Version},
                       Now);
  }

  /// Makes another process the holder of a share.
  void setOtherHolder(std::uint16_t Index, const process_identity &Holder,
                      std::vector<process_identity> Roster) {
    share_record Record{Holder, 1,      lease_state::Held,
                        1,      500000, std::move(Roster)};
    Objects[Index] = {Objects[Index].Version + 1, Record};
  }

  bool mints(std::uint16_t Index) const {
    for (const minted_share &Share : Leases.minted(Now))
      if (Share.Index == Index && Now >= Share.MintsFrom)
        return true;
    return false;
  }
};

constexpr milliseconds Ttl{10000};
const process_identity Self{"a", 1};
const process_identity Peer{"b", 2};

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
  section("and a lease checked only at its renewal is detected", [&] {
    std::uint64_t Detected = 0;
    for (std::uint64_t Seed = 1; Seed <= 60; ++Seed) {
      schedule Schedule(Seed, quota_policy::ExpiryIgnored, false);
      Schedule.Fleet.run(ScheduleSpan);
      Detected += Schedule.Fleet.DoubleMints;
    }
    CPPUNIT_ASSERT(Detected > 0);
  });
}

STORY(a_holder_and_the_platform) {
  lease_fixture Fixture("a", 1, 3);
  Fixture.Leases.setLocalPeers({Peer});
  Fixture.setOtherHolder(2, Peer, {});
  section("takes free shares and mints when lent tokens have expired", [&] {
    Fixture.run(milliseconds(1500));
    CPPUNIT_ASSERT(!Fixture.mints(0));
    Fixture.run(milliseconds(9000));
    CPPUNIT_ASSERT(Fixture.mints(0) && Fixture.mints(1));
    CPPUNIT_ASSERT(Fixture.Objects[0].Record.Roster ==
                   std::vector<process_identity>{Peer});
  });
  section("reads back a write whose answer was lost", [&] {
    Fixture.Outcome = write_outcome::Unknown;
    Fixture.run(Ttl * 3);
    CPPUNIT_ASSERT(Fixture.mints(0));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), Fixture.Leases.counts().Lost);
    Fixture.Outcome = write_outcome::Done;
  });
  section("mints only pinned shares if platform and peers don't respond", [&] {
    Fixture.PlatformUp = false;
    Fixture.run(Ttl + milliseconds(100));
    CPPUNIT_ASSERT(!Fixture.mints(0));
    CPPUNIT_ASSERT(Fixture.mints(1));
  });
  section("continues to mint after a promise of the local peer", [&] {
    Fixture.run(milliseconds(1000));
    CPPUNIT_ASSERT(!Fixture.Actions.Requests.empty() || !Fixture.mints(0));
    while (Fixture.Actions.Requests.empty())
      Fixture.run(milliseconds(100));
    const promise_request Asked = Fixture.Actions.Requests.front().Request;
    Fixture.Leases.accept({Peer, Asked.Sequence, {0}}, Fixture.Now);
    CPPUNIT_ASSERT(Fixture.mints(0));
    Fixture.run(Ttl);
    CPPUNIT_ASSERT(!Fixture.mints(0));
  });
  section("needs the promise of a peer that died after the lease expired", [&] {
    Fixture.Leases.declareDead(Peer.Incarnation, Fixture.Now);
    CPPUNIT_ASSERT(!Fixture.mints(0));
  });
  section("mints again after a renewal in the platform", [&] {
    Fixture.PlatformUp = true;
    Fixture.run(milliseconds(2000));
    CPPUNIT_ASSERT(Fixture.mints(0));
  });
  section("mints without the platform if the whole roster is dead", [&] {
    Fixture.Leases.setLocalPeers({});
    Fixture.run(Ttl);
    Fixture.PlatformUp = false;
    Fixture.run(Ttl * 3);
    CPPUNIT_ASSERT(Fixture.mints(0));
  });
  section("stops at once when the record names another holder", [&] {
    Fixture.PlatformUp = true;
    Fixture.setOtherHolder(1, {"c", 3}, {});
    Fixture.run(Ttl / 2);
    CPPUNIT_ASSERT(!Fixture.mints(1));
    CPPUNIT_ASSERT(Fixture.mints(0));
  });
}

STORY(a_takeover_from_an_unresponsive_holder) {
  lease_fixture Fixture("a", 1);
  Fixture.Leases.setLocalPeers({Peer});
  Fixture.setOtherHolder(0, Peer, {Self});
  Fixture.setOtherHolder(1, Peer, {Self});
  section("waits for a lease time and a margin", [&] {
    Fixture.run(Ttl + milliseconds(900));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Fixture.Leases.heldCount());
  });
  section("is delayed by a promise", [&] {
    const promise_reply Reply =
        Fixture.Leases.answer({Peer, 1, {{0, 1}, {1, 1}}}, Fixture.Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Reply.Indexes.size());
    Fixture.run(Ttl);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Fixture.Leases.heldCount());
  });
  section("then acquires the share, but not the pinned one", [&] {
    Fixture.run(Ttl);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Fixture.Leases.heldCount());
    CPPUNIT_ASSERT(Fixture.mints(0));
  });
  section("refuses a promise to the former holder", [&] {
    const promise_reply Reply =
        Fixture.Leases.answer({Peer, 2, {{0, 1}}}, Fixture.Now);
    CPPUNIT_ASSERT(Reply.Indexes.empty());
  });
  section("acquires the pinned share of a dead holder", [&] {
    Fixture.Leases.declareDead(Peer.Incarnation, Fixture.Now);
    Fixture.Leases.setLocalPeers({});
    Fixture.run(milliseconds(5000));
    CPPUNIT_ASSERT(Fixture.mints(0) && Fixture.mints(1));
  });
  section("releases a share for a local peer without one", [&] {
    Fixture.Leases.setLocalPeers({{"c", 3}});
    const steady_time End = Fixture.Now + milliseconds(25000);
    while (Fixture.Leases.heldCount() > 1 && Fixture.Now < End)
      Fixture.run(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Fixture.Leases.heldCount());
  });
  section("releases the rest on a graceful leave", [&] {
    Fixture.Leases.leave();
    Fixture.run(milliseconds(2000));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Fixture.Leases.heldCount());
    CPPUNIT_ASSERT(Fixture.Objects[0].Record.State == lease_state::Released);
    CPPUNIT_ASSERT(Fixture.Objects[1].Record.State == lease_state::Released);
  });
}

STORY(a_local_peer_outside_the_roster) {
  lease_fixture Fixture("a", 1);
  Fixture.Leases.setLocalPeers({Peer});
  Fixture.setOtherHolder(0, Peer, {{"c", 3}});
  Fixture.setOtherHolder(1, Peer, {{"a", 99}});
  section("takes over nothing, also if another incarnation of it is listed",
          [&] {
            Fixture.run(Ttl * 5);
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), Fixture.Leases.heldCount());
          });
}

STORY(splits_of_several_versions) {
  share_plan Plan{TokenLife};
  steady_time Now{std::chrono::hours(1)};
  Plan.apply({1, 600, 2});
  section("the record bounds a new process until its version is confirmed",
          [&] {
            CPPUNIT_ASSERT_EQUAL(0U, Plan.fractionPpm(0, 0));
            CPPUNIT_ASSERT_EQUAL(100000U, Plan.fractionPpm(0, 100000));
            Plan.confirmEverywhere(1, Now);
            Now += TokenLife;
            Plan.pruneSplits(Now);
            CPPUNIT_ASSERT_EQUAL(300000U, Plan.fractionPpm(0, 0));
          });
  section("a decrease applies immediately", [&] {
    Plan.apply({2, 200, 2});
    CPPUNIT_ASSERT_EQUAL(100000U, Plan.fractionPpm(0, 0));
  });
  section("an increase applies when tokens of the former split expired", [&] {
    Plan.apply({3, 800, 2});
    Plan.confirmEverywhere(3, Now);
    Plan.pruneSplits(Now + TokenLife - milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(100000U, Plan.fractionPpm(0, 0));
    Plan.pruneSplits(Now + TokenLife);
    CPPUNIT_ASSERT_EQUAL(400000U, Plan.fractionPpm(0, 0));
  });
  section("new shares apply only then as well", [&] {
    Plan.apply({4, 800, 4});
    CPPUNIT_ASSERT_EQUAL(0U, Plan.fractionPpm(2, 1000000));
    CPPUNIT_ASSERT_EQUAL(200000U, Plan.fractionPpm(0, 1000000));
  });
}
