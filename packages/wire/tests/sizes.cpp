/// Every message of membership, views, quotas and quarantine fits in a
/// datagram, also with the longest names and largest numbers.
#include <magnoliaspread/datagram.h>
#include <magnoliaspread/limiter.h>
#include <magnoliaspread/member.h>
#include <magnoliaspread/platformview.h>
#include <magnoliaspread/quarantine.h>
#include <magnoliaspread/story.h>
#include <magnoliaspread/targetlimits.h>

#include <memory>
#include <random>

using namespace magnoliaspread;
using namespace std::chrono_literals;

namespace {

/// The longest allowed name that starts with \p Text.
std::string padded(std::string Text) {
  Text.resize(MaxNameBytes, 'x');
  return Text;
}

const std::string LongAddress = "1111:2222:3333:4444:5555:6666:255.255.255.255";

demand_list longDemand() {
  demand_list Rows;
  for (std::size_t I = 0; I < MaxDemandServices; ++I)
    Rows.push_back({static_cast<std::uint16_t>(0xffff - I), 0x7fffffff});
  return Rows;
}

member_row longRow(std::size_t Centre, std::size_t Index) {
  member_row Row;
  const std::string Suffix =
      std::to_string(Centre) + "." + std::to_string(Index);
  Row.Identity.Name = padded("instance" + Suffix + ".");
  Row.Identity.DataCentre = padded("centre" + std::to_string(Centre) + ".");
  Row.Identity.Region = padded("region");
  Row.Identity.Incarnation = ~std::uint64_t{0} - Centre * 100 - Index;
  Row.Identity.Epoch = 1ull << 62;
  Row.Identity.Internal = {LongAddress, 65535};
  Row.Identity.Public = {LongAddress, 65535};
  Row.Report.Sequence = 1ull << 61;
  Row.Report.Config = {1ull << 62, 0xffffffff};
  Row.Report.Load = {0xffffffff, 0x7fffffff, 0x7fffffff, 0x7fffffff,
                     longDemand()};
  return Row;
}

void checkSizes(const outbox &Out) {
  for (const outgoing_message &Item : Out) {
    datagram_codec Codec(fleet_key{}, 1);
    const auto Datagram = Codec.encode(Item.Message);
    CPPUNIT_ASSERT_MESSAGE(failed(Datagram) ? errorOf(Datagram).Detail : "",
                           !failed(Datagram));
  }
}

data_centre_summary longSummary(std::size_t Centre) {
  data_centre_summary Summary;
  Summary.DataCentre = longRow(Centre, 0).Identity.DataCentre;
  Summary.RowsHash = ~std::uint64_t{0} >> 1;
  Summary.Speaker = longRow(Centre, 0).Identity.Incarnation;
  Summary.Sequence = 1ull << 62;
  Summary.LowestVersion = 1ull << 62;
  Summary.Config = {1ull << 62, 0x7fffffff};
  Summary.Load = {0xffffffff, 0xffffffff, 0xffffffff, 0xffffffff, longDemand()};
  return Summary;
}

} // namespace

STORY(membership_datagrams) {
  steady_time Now{1h};
  membership Members(longRow(0, 0).Identity, 1, Now);
  const endpoint_address From{"10.9.9.9", 7000};
  for (std::size_t LocalPeer = 1; LocalPeer < 10; ++LocalPeer)
    checkSizes(Members.receive(Now, longRow(0, LocalPeer).Identity.Internal,
                               rows_message{{longRow(0, LocalPeer)}, true}));
  for (std::size_t Centre = 1; Centre < 27; ++Centre)
    for (std::size_t I = 0; I < 5; ++I)
      checkSizes(Members.receive(
          Now, From,
          summary_message{longSummary(Centre), {longRow(Centre, I)}}));
  section("sent periodically", [&] {
    for (auto Time = 0ms; Time < 40s; Time += 250ms)
      checkSizes(Members.tick(Now + Time));
    checkSizes(Members.leave(Now + 40s));
    checkSizes(Members.tick(Now + 41s));
  });
  section("sent as replies", [&] {
    const member_row LocalPeer = longRow(0, 1);
    for (std::size_t Centre = 0; Centre < 27; ++Centre)
      checkSizes(Members.receive(
          Now + 41s, From,
          rows_request{LocalPeer, longRow(Centre, 0).Identity.DataCentre}));
  });
}

STORY(view_datagrams) {
  constexpr boot_time Now{std::chrono::hours(1000000)};
  constexpr std::uint64_t Big = 1ull << 62;
  const auto NameOf = [](std::size_t I, std::size_t Length) {
    std::string Name = std::to_string(I);
    Name.resize(Length, 'x');
    return Name;
  };
  // Short names give many rows per datagram, long ones few.
  for (const std::size_t Length : {std::size_t(1), std::size_t(9),
                                   std::size_t(30), std::size_t(MaxNameBytes)})
    section("of names of " + std::to_string(Length) + " bytes", [&] {
      platform_view Reader({}, "reader");
      for (std::size_t I = 0; I < 40; ++I) {
        target_change Change;
        target_record &Record = Change.Record;
        Record.Name = NameOf(I, Length);
        Record.Address = {LongAddress, 65535};
        Record.Service = Record.DataCentre = NameOf(0, Length);
        Record.Slots = 0x7fffffff;
        Record.ColdLeft = std::chrono::milliseconds(0x7fffffff);
        Record.Sequence = Big;
        Record.StartedAtMs = static_cast<std::int64_t>(Big);
        Reader.logTargetChange(Big, Change);
      }
      Reader.confirmRoutes(Big, boot_time{});
      Reader.confirmTargets(Big, boot_time{});
      Reader.setEvacuated({NameOf(1, Length), NameOf(2, Length)}, boot_time{});
      view_reply Reply = Reader.answer({Now, 0, 1}, Now);
      Reply.RosterHash = ~std::uint64_t{0} >> 1;
      Reply.RosterAge = std::chrono::milliseconds(Big);
      Reply.RosterEra = Big;
      CPPUNIT_ASSERT(Reply.More && !Reply.Changes.empty());
      datagram_codec Codec(fleet_key{}, 1);
      const auto Datagram = Codec.encode(Reply);
      CPPUNIT_ASSERT_MESSAGE(failed(Datagram) ? errorOf(Datagram).Detail : "",
                             !failed(Datagram));
    });
}

STORY(limiter_datagrams) {
  // An instance of a small fleet requests tokens of many workspaces at once
  // from one owner.
  constexpr steady_time Now{1h};
  constexpr std::size_t Limits = 500;
  std::vector<limit_row> Rows;
  for (std::size_t I = 0; I < Limits; ++I)
    Rows.push_back(
        {workspaceLimit("workspace-" + std::to_string(I)), 1e6, 1e6});
  const auto Started = [&](const std::string &Name) {
    limiter_settings Settings;
    Settings.Instance = Name;
    Settings.Region = "region";
    Settings.Incarnation = ~std::uint64_t{0} >> 1;
    auto Limiter = std::make_unique<fleet_limiter>(Settings, Now);
    limiter_roster Roster;
    Roster.Contenders = Roster.Lenders = {"a", "b"};
    Roster.Minting = true;
    Limiter->setRoster(Roster, Now + 1h, Now);
    Limiter->setReachable({"a", "b"});
    Limiter->setLimits(Rows, Now);
    return Limiter;
  };
  const auto Requester = Started("a");
  const auto Owner = Started("b");
  constexpr milli_tokens Many = 1000000;
  for (const limit_row &Row : Rows)
    Requester->addWaiting(Row.Id, Many);
  datagram_codec Codec(fleet_key{}, 1);
  std::size_t Requested = 0;
  for (const outgoing_token_request &Outgoing : Requester->tick(Now + 1s)) {
    Requested += Outgoing.Ask.Rows.size();
    for (const quota_message &Message :
         {quota_message(Outgoing.Ask),
          quota_message(Owner->answer(Outgoing.Ask, Now + 1s))}) {
      const auto Datagram = Codec.encode(Message);
      CPPUNIT_ASSERT_MESSAGE(failed(Datagram) ? errorOf(Datagram).Detail : "",
                             !failed(Datagram));
    }
  }
  CPPUNIT_ASSERT(Requested > Limits / 3);
}

STORY(quarantine_datagrams) {
  // Many requests, each in flight on several targets that crashed, at the
  // largest ages.
  quarantine_settings Settings;
  quarantine Quarantine(Settings);
  steady_time Now{1h};
  attempt_id Last = 0;
  constexpr request_fingerprint Requests = 100;
  for (request_fingerprint Request = 0; Request < Requests; ++Request)
    for (std::uint64_t Target = 0; Target <= Request % 8; ++Target) {
      const target_start Start = ~(Request * 8 + Target);
      Quarantine.started(++Last, ~Request, Start, Now);
      Now += 10ms;
      Quarantine.targetCrashed(Start, Now);
    }
  datagram_codec Codec(fleet_key{}, 1);
  std::size_t Sent = 0;
  for (Now += 100s; Sent < Requests; Now += 50ms) {
    const quarantine_update Update = Quarantine.takeUnsentUpdate(Now);
    CPPUNIT_ASSERT(!Update.Suspects.empty());
    Sent += Update.Suspects.size();
    const auto Datagram = Codec.encode(Update);
    CPPUNIT_ASSERT_MESSAGE(failed(Datagram) ? errorOf(Datagram).Detail : "",
                           !failed(Datagram));
  }
}

STORY(target_limit_datagrams) {
  // More targets with limits than fit one message, at the largest ages.
  constexpr std::size_t Targets = 3 * MaxLimitReports + 1;
  constexpr boot_time Start{1h};
  const boot_time Now = Start + 19s;
  target_limits Limits;
  for (std::size_t Target = 0; Target < Targets; ++Target)
    Limits.observe(~Target, 1.0 / 3, Start, Now);
  datagram_codec Codec(fleet_key{}, 1);
  std::size_t Sent = 0;
  for (const limit_message &Message : Limits.pendingMessages(500, Now)) {
    Sent += Message.Update.Limits.size();
    const auto Datagram = Codec.encode(target_limit_message(Message.Update));
    CPPUNIT_ASSERT_MESSAGE(failed(Datagram) ? errorOf(Datagram).Detail : "",
                           !failed(Datagram));
  }
  // As changes, and again as the periodic refresh.
  CPPUNIT_ASSERT_EQUAL(2 * Targets, Sent);
}
