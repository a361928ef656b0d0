#include "headroom.h"

#include <magnoliaspread/credit.h>
#include <magnoliaspread/story.h>

using namespace magnoliaspread;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr steady_time Start{std::chrono::hours(1)};
constexpr service_handle Service{0};
constexpr instance_handle Sender{1};
constexpr instance_handle Receiver{2};

credit_policy testPolicy() {
  credit_policy Policy;
  Policy.ReservedPercent = 25;
  Policy.Round = milliseconds(150);
  return Policy;
}

std::uint32_t granted(const std::vector<addressed_grant> &Grants) {
  std::uint32_t Count = 0;
  for (const addressed_grant &Grant : Grants)
    Count += Grant.Grant.Count;
  return Count;
}

} // namespace

STORY(credit_grants) {
  section("free slots are divided fairly among requesting peers", [&] {
    credit_grantor Grantor(testPolicy(), 1);
    noteCreditRequest(Grantor, {1}, {Service, 2, 1}, Start);
    noteCreditRequest(Grantor, {2}, {Service, 100, 1}, Start);
    noteCreditRequest(Grantor, {3}, {Service, 100, 1}, Start);
    const auto Grants = grantCredits(Grantor, Service, {24, {}}, Start, 0);
    CPPUNIT_ASSERT_EQUAL(18U, granted(Grants));
    for (const addressed_grant &Grant : Grants)
      CPPUNIT_ASSERT_EQUAL(Grant.Peer.Index == 1 ? 2U : 8U, Grant.Grant.Count);
  });
  section("granted slots aren't granted twice", [&] {
    credit_grantor Grantor(testPolicy(), 1);
    noteCreditRequest(Grantor, {1}, {Service, 100, 1}, Start);
    CPPUNIT_ASSERT_EQUAL(
        6U, granted(grantCredits(Grantor, Service, {8, {}}, Start, 0)));
    noteCreditRequest(Grantor, {2}, {Service, 100, 1}, Start);
    CPPUNIT_ASSERT(grantCredits(Grantor, Service, {8, {}}, Start, 0).empty());
  });
  section("the slots of a lost grant are free when it expires", [&] {
    credit_grantor Grantor(testPolicy(), 1);
    noteCreditRequest(Grantor, {1}, {Service, 100, 1}, Start);
    grantCredits(Grantor, Service, {8, {}}, Start, 0);
    const steady_time Later =
        Start + Grantor.Policy.Lifetime + Grantor.Policy.Grace;
    CPPUNIT_ASSERT_EQUAL(0U, creditsOut(Grantor, Service, Later));
  });
}

STORY(credit_spending) {
  section("a duplicated grant is spent only once", [&] {
    credit_requester Requester(testPolicy(), 1);
    const credit_request Request =
        makeCreditRequest(Requester, Receiver, Service, 3, Start);
    const credit_grant Grant{Service, 2, 9, Request.Sequence,
                             milliseconds(500)};
    CPPUNIT_ASSERT(noteGrant(Requester, Receiver, Grant, Start));
    CPPUNIT_ASSERT(!noteGrant(Requester, Receiver, Grant, Start));
    CPPUNIT_ASSERT_EQUAL(2U, creditsAt(Requester, Receiver, Service, Start));
    CPPUNIT_ASSERT(
        !failed(spendCredit(Requester, {Receiver}, Service, Start, 1)));
    CPPUNIT_ASSERT(
        !failed(spendCredit(Requester, {Receiver}, Service, Start, 2)));
    const auto None = spendCredit(Requester, {Receiver}, Service, Start, 3);
    CPPUNIT_ASSERT(errorOf(None).Kind == error_kind::NoCapacity);
  });
  section("a grant that crosses the next request counts once", [&] {
    credit_requester Requester(testPolicy(), 1);
    const credit_request First =
        makeCreditRequest(Requester, Receiver, Service, 3, Start);
    const credit_request Next =
        makeCreditRequest(Requester, Receiver, Service, 3, Start);
    const credit_grant Grant{Service, 2, 9, First.Sequence, milliseconds(500)};
    CPPUNIT_ASSERT(noteGrant(Requester, Receiver, Grant, Start));
    CPPUNIT_ASSERT(!noteGrant(Requester, Receiver, Grant, Start));
    const credit_grant Other{Service, 1, 10, Next.Sequence, milliseconds(500)};
    CPPUNIT_ASSERT(noteGrant(Requester, Receiver, Other, Start));
    CPPUNIT_ASSERT_EQUAL(3U, creditsAt(Requester, Receiver, Service, Start));
  });
  section("the lifetime at the sender runs from its request", [&] {
    credit_requester Requester(testPolicy(), 1);
    const credit_request Request =
        makeCreditRequest(Requester, Receiver, Service, 3, Start);
    const credit_grant Grant{Service, 2, 9, Request.Sequence,
                             milliseconds(500)};
    const steady_time Late = Start + milliseconds(400);
    CPPUNIT_ASSERT(noteGrant(Requester, Receiver, Grant, Late));
    CPPUNIT_ASSERT_EQUAL(
        0U, creditsAt(Requester, Receiver, Service, Start + milliseconds(500)));
  });
  section("an unrequested grant is ignored, an excessive one reduced", [&] {
    credit_requester Requester(testPolicy(), 1);
    const credit_request Request =
        makeCreditRequest(Requester, Receiver, Service, 3, Start);
    CPPUNIT_ASSERT(!noteGrant(
        Requester, Receiver,
        {Service, 2, 9, Request.Sequence + 1, milliseconds(500)}, Start));
    CPPUNIT_ASSERT(noteGrant(
        Requester, Receiver,
        {Service, 4000, 9, Request.Sequence, milliseconds(500)}, Start));
    CPPUNIT_ASSERT_EQUAL(3U, creditsAt(Requester, Receiver, Service, Start));
  });
}

STORY(credit_turnover) {
  credit_grantor Grantor(testPolicy(), 1);
  section("slots that turn over within a round are granted repeatedly", [&] {
    noteCreditRequest(Grantor, {1}, {Service, 100, 1}, Start);
    const auto Grants =
        grantCredits(Grantor, Service, {8, milliseconds(50)}, Start, 0);
    CPPUNIT_ASSERT_EQUAL(18U, granted(Grants));
  });
  section("but only a bounded number of times", [&] {
    noteCreditRequest(Grantor, {2}, {Service, 1000, 1}, Start);
    const auto Grants =
        grantCredits(Grantor, Service, {8, milliseconds(1)}, Start, 0);
    CPPUNIT_ASSERT_EQUAL(48U - 18U, granted(Grants));
  });
}

STORY(credit_requests) {
  std::vector<credit_peer> Peers;
  for (std::uint16_t I = 0; I < 12; ++I)
    Peers.push_back({{I}, I < 4});
  credit_requester Requester(testPolicy(), 1);
  section("without a shortage no request is sent", [&] {
    CPPUNIT_ASSERT(
        planCreditRequests(Requester, Service, Peers, 0, Start, 5).empty());
  });
  section("a few peers near and far are asked for the missing credits", [&] {
    const auto Requests =
        planCreditRequests(Requester, Service, Peers, 8, Start, 5);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, Requests.size());
    for (const addressed_request &Request : Requests)
      CPPUNIT_ASSERT_EQUAL(2U, Request.Request.Wanted);
  });
  section("rounds are at least one period apart", [&] {
    const steady_time Soon = Start + milliseconds(49);
    CPPUNIT_ASSERT(
        planCreditRequests(Requester, Service, Peers, 8, Soon, 6).empty());
    const steady_time Later = Start + milliseconds(50);
    CPPUNIT_ASSERT(
        !planCreditRequests(Requester, Service, Peers, 8, Later, 6).empty());
  });
}

STORY(credit_admission) {
  credit_grantor Grantor(testPolicy(), 7);
  noteCreditRequest(Grantor, Sender, {Service, 2, 1}, Start);
  const auto Grants = grantCredits(Grantor, Service, {3, {}}, Start, 0);
  CPPUNIT_ASSERT_EQUAL(2U, granted(Grants));
  const std::uint64_t Id = Grants[0].Grant.Id;
  const auto Admitted = [&](instance_handle Peer, std::uint64_t Grant,
                            std::uint32_t Free, steady_time Now) {
    return !failed(admitCredited(Grantor, Service, Peer, Grant, Free, Now));
  };
  section("requests without credit get only slots without credits", [&] {
    CPPUNIT_ASSERT(Admitted(Receiver, 0, 3, Start));
    CPPUNIT_ASSERT(!Admitted(Receiver, 0, 2, Start));
    CPPUNIT_ASSERT(!Admitted(Receiver, Id, 2, Start));
  });
  section("each credit admits one request", [&] {
    CPPUNIT_ASSERT(Admitted(Sender, Id, 0, Start));
    CPPUNIT_ASSERT(Admitted(Sender, Id, 0, Start));
    CPPUNIT_ASSERT(!Admitted(Sender, Id, 0, Start));
  });
  section("an expired credit admits none", [&] {
    noteCreditRequest(Grantor, Sender, {Service, 2, 2}, Start);
    const auto More = grantCredits(Grantor, Service, {3, {}}, Start, 0);
    const steady_time Late = Start + milliseconds(650);
    CPPUNIT_ASSERT(!Admitted(Sender, More[0].Grant.Id, 0, Late));
  });
}

STORY(region_headroom) {
  headroom_shape Shape;
  Shape.Length = milliseconds(4000);
  section("skewed load with a lost region stays within the slots", [&] {
    Shape.LostRegion = 2;
    Shape.Load = 0.6;
    for (std::uint64_t Seed = 1; Seed <= 3; ++Seed) {
      const auto Credits = runHeadroom(Shape, headroom_policy::Credits, Seed);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, Credits.Breaches);
      CPPUNIT_ASSERT(Credits.Worst <= 1);
      const auto Emptiest =
          runHeadroom(Shape, headroom_policy::EmptiestRegion, Seed);
      CPPUNIT_ASSERT(Emptiest.Worst > 1);
      const auto Robin = runHeadroom(Shape, headroom_policy::RoundRobin, Seed);
      CPPUNIT_ASSERT(Robin.Breaches > 0);
    }
  });
  section("also with lost, late, duplicated or false messages and restarts",
          [&] {
            Shape.Loss = 0.1;
            Shape.Repeat = 0.2;
            Shape.Restart = 0.01;
            Shape.Load = 1.3;
            for (const double ReportFactor : {0.0, 1.0, 8.0}) {
              Shape.ReportFactor = ReportFactor;
              for (std::uint64_t Seed = 1; Seed <= 3; ++Seed) {
                const auto Result =
                    runHeadroom(Shape, headroom_policy::Credits, Seed);
                CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, Result.Breaches);
              }
            }
          });
}
