/// Header fields of requests that one gate forwards to another.
#include "forwardhead_p.h"

#include <magnoliaspread/story.h>

#include <string>

using namespace magnoliaspread;
using namespace std::chrono_literals;

namespace {

const fleet_secret Secret(32, 7);
const wall_time Now{std::chrono::hours(500000)};

http::request_header<> signedHead() {
  http::request_header<> Head;
  Head.method(http::verb::post);
  Head.target("/pay/1");
  Head.set(http::field::host, "a.example");
  writeForwardNote(Head, {"north-a-1", 250ms, 1}, "id-1", Secret, Now);
  return Head;
}

} // namespace

// Guards against callers that claim to be an instance of the fleet, and against
// a peer's fields that reach a target.
STORY(forwarded_heads_are_signed) {
  section("what is written is read, once", [] {
    http::request_header<> Head = signedHead();
    const auto Note = takeForwardNote(Head, "id-1", Secret, Now + 1s);
    CPPUNIT_ASSERT(!failed(Note));
    CPPUNIT_ASSERT_EQUAL(std::string("north-a-1"), valueOf(Note).From);
    CPPUNIT_ASSERT(valueOf(Note).Waited == 250ms);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), valueOf(Note).Sends);
    for (const auto &Field : Head)
      CPPUNIT_ASSERT(!Field.name_string().starts_with("X-Fleet-"));
    CPPUNIT_ASSERT(failed(takeForwardNote(Head, "id-1", Secret, Now)));
  });
  section("a changed or foreign head is rejected", [] {
    for (const char *Name : {"X-Fleet-From", "X-Fleet-Waited-Ms",
                             "X-Fleet-Sends", "X-Fleet-Sent-Ms"})
      for (const char *Value : {"2", "-1", "x", ""}) {
        http::request_header<> Head = signedHead();
        Head.set(Name, Value);
        CPPUNIT_ASSERT(failed(takeForwardNote(Head, "id-1", Secret, Now)));
      }
    http::request_header<> Head = signedHead();
    CPPUNIT_ASSERT(failed(takeForwardNote(Head, "id-2", Secret, Now)));
    CPPUNIT_ASSERT(
        failed(takeForwardNote(Head, "id-1", fleet_secret(32, 8), Now)));
    CPPUNIT_ASSERT(failed(takeForwardNote(Head, "id-1", Secret, Now + 10min)));
    Head.target("/pay/2");
    CPPUNIT_ASSERT(failed(takeForwardNote(Head, "id-1", Secret, Now)));
  });
}

// Guards against a target's answer that is taken for a refusal of the peer, and
// against a refusal that loses its promise on the way.
STORY(refusals_of_a_peer_keep_their_kind) {
  http::response_header<> Head;
  CPPUNIT_ASSERT(!readRefusal(Head));
  writeRefusal(Head, {error_kind::RateLimited, "", 700ms});
  const auto Refusal = readRefusal(Head);
  CPPUNIT_ASSERT(Refusal.has_value());
  CPPUNIT_ASSERT(Refusal->Kind == error_kind::RateLimited);
  CPPUNIT_ASSERT(Refusal->RetryAfter == 700ms);
  eraseRefusal(Head);
  CPPUNIT_ASSERT(!readRefusal(Head));
  section("a kind that isn't known promises nothing", [&] {
    Head.set("X-Fleet-Refused", "of another version");
    CPPUNIT_ASSERT(answerOf(readRefusal(Head)->Kind).Run ==
                   run_state::MayHaveRun);
  });
}
