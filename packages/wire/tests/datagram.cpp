#include <magnoliaspread/datagram.h>
#include <magnoliaspread/story.h>

#include <algorithm>
#include <limits>
#include <random>
#include <sodium.h>

using namespace magnoliaspread;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t SenderId = 42;

fleet_key keyOf(unsigned char Fill) {
  fleet_key Key;
  Key.fill(Fill);
  return Key;
}

/// Every field differs from its default.
view_reply sampleReply() {
  view_reply Reply;
  Reply.AskedAt = boot_time(2h);
  Reply.Version = 12;
  Reply.Age = 700ms;
  Reply.Revision = 1ull << 61;
  Reply.TargetsAge = 900ms;
  target_record Record;
  Record.Name = "i-1";
  Record.Address = {"10.1.2.3", 8080};
  Record.Service = "calendar";
  Record.DataCentre = "lisboa-1";
  Record.Slots = 4;
  Record.Draining = true;
  Record.ColdLeft = 3000ms;
  Record.Sequence = 77;
  Record.StartedAtMs = 1800000000000;
  Reply.Changes = {{Record, false, 55}, {Record, true, 1ull << 60}};
  Reply.Skip = 24;
  Reply.More = true;
  Reply.Follows = true;
  Reply.ChangesUnknown = true;
  Reply.Evacuated = {"porto-1", "faro-1"};
  Reply.RosterHash = ~std::uint64_t{0};
  Reply.RosterAge = 1100ms;
  Reply.RosterEra = 3;
  return Reply;
}

member_row sampleRow(std::size_t NameBytes = 8) {
  member_row Row;
  Row.Identity.Name = std::string(NameBytes, 'n');
  Row.Identity.DataCentre = std::string(NameBytes, 'd');
  Row.Identity.Region = std::string(NameBytes, 'r');
  Row.Identity.Incarnation = std::numeric_limits<std::uint64_t>::max();
  Row.Identity.Epoch = 1800000000;
  Row.Identity.Internal = {"10.1.2.3", 7000};
  Row.Identity.Public = {"fe80::1", 65535};
  Row.Report.Sequence = 1ull << 40;
  Row.Report.State = member_state::Leaving;
  Row.Report.Config = {77, 0xfedcba98};
  Row.Report.Load = {4000000000u, 3, 250, 40};
  Row.Report.PlatformReachable = true;
  return Row;
}

data_centre_summary sampleSummary() {
  data_centre_summary Summary;
  Summary.DataCentre = "dc1";
  Summary.RowsHash = 0x8000000000000001ull;
  Summary.Speaker = 42;
  Summary.Sequence = 7;
  Summary.LowestVersion = 76;
  Summary.Config = {77, 1};
  Summary.Alive = 20;
  Summary.Load = {100, 5, 750, 90};
  Summary.PlatformReachable = true;
  return Summary;
}

std::vector<control_message> samples() {
  const member_row Row = sampleRow();
  return {
      member_message(heartbeat_message{42, Row.Report, false, {}, {}}),
      member_message(heartbeat_message{
          42, Row.Report, true, {sampleSummary(), {}}, {"dc7", "dc8"}}),
      member_message(summary_message{sampleSummary(), {Row, Row}}),
      member_message(rows_message{{Row, Row, Row}, true}),
      member_message(rows_request{Row, "dc3"}),
      quota_message(
          token_request{9, 8, 7, {{0xffffffff, 5000, 4000, 300, 20}, {}}}),
      quota_message(token_grant{9, 8, 77, 2, {{1, 5000, 40, 3, 1ll << 50}}}),
      quota_message(promise_request{{"a", 9}, 8, {{65535, 77}, {1, 2}}}),
      quota_message(promise_reply{{"a", 9}, 8, {0, 1, 65535}}),
      quarantine_update{{{0xffffffffffffffffull,
                          90000ms,
                          3,
                          {{1ull << 63, 700ms, 600ms, true}, {5, 9ms, 9ms}}},
                         {7, std::nullopt, 0, {}}}},
      object_update{{{1ull << 63, 7, true}, {8, 9, false, 250, true}},
                    {{10, 65535, 0}, {11, 3, 250}}},
      view_request{boot_time(1h), 1ull << 62, 0xffff},
      target_limit_message(
          limit_update{{{1ull << 63, 6.4, 700ms}, {5, std::nullopt, 0ms}}}),
      target_limit_message(permit_request{1ull << 62, 3, {7, 0.5, 20ms}}),
      target_limit_message(permit_grant{9, 2, 156ms, {7, 1e6, 30ms}}),
      path_message(path_query{1ull << 63}),
      path_message(path_report{7, path_state::Broken, 250ms}),
      path_message(path_report{}),
      sampleReply(),
  };
}

template <class T>
bool isError(const std::variant<T, error> &Result, error_kind Kind) {
  return failed(Result) && errorOf(Result).Kind == Kind;
}

std::string encoded(datagram_codec &Codec, const control_message &Message) {
  const result<std::string> Datagram = Codec.encode(Message);
  CPPUNIT_ASSERT(!failed(Datagram));
  return valueOf(Datagram);
}

/// Flips, truncates, repeats or inserts bytes.
std::string mutated(std::string Bytes, std::mt19937_64 &Random) {
  const int Edits = 1 + static_cast<int>(Random() % 4);
  for (int I = 0; I < Edits && !Bytes.empty(); ++I) {
    const std::size_t At = Random() % Bytes.size();
    switch (Random() % 5) {
    case 0:
      Bytes[At] = static_cast<char>(Bytes[At] ^ (1 << (Random() % 8)));
      break;
    case 1:
      Bytes.resize(At);
      break;
    case 2:
      Bytes[At] = static_cast<char>(Random());
      break;
    case 3:
      Bytes.insert(At, 1 + Random() % 8, static_cast<char>(Random()));
      break;
    default:
      Bytes.insert(At, Bytes.substr(At, Random() % 32));
      break;
    }
  }
  return Bytes;
}

} // namespace

STORY(datagram_round_trip) {
  datagram_codec Sender(keyOf(1), 1001);
  datagram_codec Receiver(keyOf(1), 1002);
  std::uint64_t Sequence = 0;
  for (const control_message &Message : samples()) {
    const auto Received = Receiver.decode(encoded(Sender, Message));
    CPPUNIT_ASSERT(!failed(Received));
    CPPUNIT_ASSERT(valueOf(Received).Message == Message);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1001}, valueOf(Received).Sender);
    CPPUNIT_ASSERT_EQUAL(++Sequence, valueOf(Received).Sequence);
  }
}

STORY(datagram_authentication) {
  datagram_codec Sender(keyOf(1), 1001);
  datagram_codec Receiver(keyOf(1), 1002);
  const std::string Datagram = encoded(Sender, samples().front());
  section("a datagram with another fleet's key is a forgery", [&] {
    datagram_codec Other(keyOf(2), 1003);
    CPPUNIT_ASSERT(isError(Receiver.decode(encoded(Other, samples().front())),
                           error_kind::ForgedDatagram));
  });
  section("so is any changed byte after the magic", [&] {
    for (std::size_t I = 2; I < Datagram.size(); ++I) {
      std::string Changed = Datagram;
      Changed[I] = static_cast<char>(Changed[I] ^ 1);
      CPPUNIT_ASSERT(
          isError(Receiver.decode(Changed), error_kind::ForgedDatagram));
    }
  });
  section("forgeries don't advance the replay window",
          [&] { CPPUNIT_ASSERT(!failed(Receiver.decode(Datagram))); });
  section("a duplicate is rejected", [&] {
    CPPUNIT_ASSERT(isError(Receiver.decode(Datagram), error_kind::BadDatagram));
  });
  section("and so is a datagram of the receiving process", [&] {
    const std::string Own = encoded(Receiver, samples().front());
    CPPUNIT_ASSERT(isError(Receiver.decode(Own), error_kind::BadDatagram));
  });
}

STORY(replay_window) {
  replay_filter Filter;
  section("accepts each sequence once, in any order inside the window", [&] {
    CPPUNIT_ASSERT(Filter.accept(1, 300));
    CPPUNIT_ASSERT(Filter.accept(1, 298));
    CPPUNIT_ASSERT(Filter.accept(1, 299));
    CPPUNIT_ASSERT(!Filter.accept(1, 298));
    CPPUNIT_ASSERT(!Filter.accept(1, 300));
  });
  section("rejects sequences behind the window", [&] {
    CPPUNIT_ASSERT(Filter.accept(1, 300 - ReplayWindow + 1));
    CPPUNIT_ASSERT(!Filter.accept(1, 300 - ReplayWindow));
    CPPUNIT_ASSERT(Filter.accept(1, 5000));
    CPPUNIT_ASSERT(!Filter.accept(1, 300));
  });
  section("tracks each sender separately",
          [&] { CPPUNIT_ASSERT(Filter.accept(2, 300)); });
  section("is bounded and evicts idle senders first", [&] {
    for (std::uint64_t I = 10; I < 10 + 2 * MaxReplaySenders; ++I) {
      Filter.accept(I, 1);
      CPPUNIT_ASSERT(!Filter.accept(1, 5000));
      CPPUNIT_ASSERT(Filter.senderCount() <= MaxReplaySenders);
    }
  });
}

STORY(replay_window_against_a_plain_set) {
  std::mt19937_64 Random(5);
  replay_filter Filter;
  std::vector<bool> Seen(20000);
  std::uint64_t Highest = 0;
  for (int I = 0; I < 50000; ++I) {
    const std::uint64_t Base = static_cast<std::uint64_t>(I) * 15000 / 50000;
    const std::uint64_t Sequence = Base + Random() % 400;
    const bool InWindow = Sequence + ReplayWindow > Highest;
    const bool Expected = InWindow && !Seen[Sequence];
    CPPUNIT_ASSERT_EQUAL(Expected, Filter.accept(9, Sequence));
    Seen[Sequence] = true;
    Highest = std::max(Highest, Sequence);
  }
}

STORY(datagram_limits) {
  datagram_codec Sender(keyOf(1), 1001);
  section("a message larger than MaxDatagramBytes isn't encoded", [&] {
    const rows_message Many{std::vector<member_row>(30, sampleRow()), true};
    CPPUNIT_ASSERT(
        isError(Sender.encode(member_message(Many)), error_kind::BadDatagram));
  });
  section("datagrams shorter than the frame or too large are rejected", [&] {
    datagram_codec Receiver(keyOf(1), 1002);
    for (const std::size_t Bytes : {0, 1, 34, 1201, 65535})
      CPPUNIT_ASSERT(isError(Receiver.decode(std::string(Bytes, 'M')),
                             error_kind::BadDatagram));
  });
  section("an empty body is rejected", [&] {
    CPPUNIT_ASSERT(isError(decodeBody(std::string(1, '\0'), SenderId),
                           error_kind::BadDatagram));
    CPPUNIT_ASSERT(isError(decodeBody("", SenderId), error_kind::BadDatagram));
  });
  section("trailing bytes are rejected", [&] {
    const std::string Body = valueOf(encodeBody(samples().front(), SenderId));
    CPPUNIT_ASSERT(!failed(decodeBody(Body, SenderId)));
    CPPUNIT_ASSERT(
        isError(decodeBody(Body + '\0', SenderId), error_kind::BadDatagram));
  });
  section("unknown member states are rejected", [&] {
    member_row Row = sampleRow();
    Row.Report.State = static_cast<member_state>(9);
    const member_message Message = rows_message{{Row}, true};
    CPPUNIT_ASSERT(
        isError(decodeBody(valueOf(encodeBody(Message, SenderId)), SenderId),
                error_kind::BadDatagram));
  });
  section("negative token amounts are rejected", [&] {
    const quota_message Grant = token_grant{9, 8, 77, 2, {{1, -1, 0, 0, 0}}};
    const quota_message Request = token_request{9, 8, 7, {{1, 0, 0, 0, -1}}};
    for (const quota_message &Message : {Grant, Request})
      CPPUNIT_ASSERT(
          isError(decodeBody(valueOf(encodeBody(Message, SenderId)), SenderId),
                  error_kind::BadDatagram));
  });
  section("names longer than MaxNameBytes are rejected", [&] {
    const auto Body = encodeBody(
        member_message(rows_request{sampleRow(MaxNameBytes + 1), ""}),
        SenderId);
    CPPUNIT_ASSERT(
        isError(decodeBody(valueOf(Body), SenderId), error_kind::BadDatagram));
  });
  section("a list that claims more rows than allowed is rejected", [&] {
    // Datagram.rows.rows: a list of 2^31 - 1 structures.
    const std::string Body("\x3c\x19\xfc\xff\xff\xff\xff\x07", 8);
    CPPUNIT_ASSERT(
        isError(decodeBody(Body, SenderId), error_kind::BadDatagram));
  });
}

STORY(fleet_secret) {
  CPPUNIT_ASSERT(!failed(parseFleetKey(std::string(64, 'a'))));
  for (const char *Bad : {"", "aa", "zz"})
    CPPUNIT_ASSERT(isError(parseFleetKey(Bad), error_kind::BadSettings));
  CPPUNIT_ASSERT(
      isError(parseFleetKey(std::string(66, 'a')), error_kind::BadSettings));
}

STORY(fuzzed_bodies) {
  constexpr int Rounds = 60000;
  std::mt19937_64 Random(20261204);
  std::vector<std::string> Bodies;
  for (const control_message &Message : samples())
    Bodies.push_back(valueOf(encodeBody(Message, SenderId)));
  section("mutated bodies are decoded or rejected", [&] {
    int Rejected = 0;
    for (int I = 0; I < Rounds; ++I) {
      const std::string &Base = Bodies[Random() % Bodies.size()];
      const auto Decoded = decodeBody(mutated(Base, Random), SenderId);
      CPPUNIT_ASSERT(!failed(Decoded) ||
                     isError(Decoded, error_kind::BadDatagram));
      Rejected += failed(Decoded) ? 1 : 0;
    }
    CPPUNIT_ASSERT(Rejected > Rounds / 10);
  });
  section("decoded messages survive another round trip", [&] {
    for (int I = 0; I < Rounds / 4; ++I) {
      const std::string &Base = Bodies[Random() % Bodies.size()];
      const auto Decoded = decodeBody(mutated(Base, Random), SenderId);
      if (failed(Decoded))
        continue;
      const auto Again =
          decodeBody(valueOf(encodeBody(valueOf(Decoded), SenderId)), SenderId);
      CPPUNIT_ASSERT(!failed(Again));
      CPPUNIT_ASSERT(valueOf(Again) == valueOf(Decoded));
    }
  });
  section("random bytes are decoded or rejected", [&] {
    for (int I = 0; I < Rounds; ++I) {
      std::string Bytes(Random() % 200, '\0');
      std::generate(Bytes.begin(), Bytes.end(),
                    [&] { return static_cast<char>(Random()); });
      const auto Decoded = decodeBody(Bytes, SenderId);
      CPPUNIT_ASSERT(!failed(Decoded) ||
                     isError(Decoded, error_kind::BadDatagram));
    }
  });
  section("every truncated body is rejected", [&] {
    for (const std::string &Body : Bodies)
      for (std::size_t Size = 0; Size < Body.size(); ++Size)
        CPPUNIT_ASSERT(isError(decodeBody(Body.substr(0, Size), SenderId),
                               error_kind::BadDatagram));
  });
}

STORY(fuzzed_frames) {
  std::mt19937_64 Random(20261205);
  datagram_codec Sender(keyOf(1), 1001);
  datagram_codec Receiver(keyOf(1), 1002);
  const std::vector<control_message> Messages = samples();
  for (int I = 0; I < 20000; ++I) {
    const std::string Good =
        encoded(Sender, Messages[Random() % Messages.size()]);
    const std::string Bad = mutated(Good, Random);
    if (Bad == Good)
      continue;
    const auto Decoded = Receiver.decode(Bad);
    CPPUNIT_ASSERT(isError(Decoded, error_kind::BadDatagram) ||
                   isError(Decoded, error_kind::ForgedDatagram));
  }
}
