#include <magnoliaspread/pipeline.h>
#include <magnoliaspread/story.h>
#include <magnoliaspread/streamwindow.h>

#include <map>
#include <random>

using namespace magnoliaspread;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Kilobyte = 1024;
constexpr std::size_t Piece = 16 * Kilobyte;
constexpr streaming_limits Limits{64 * Kilobyte, 256 * Kilobyte};
/// Targets cut off an answer that stays unread for some seconds.
constexpr std::chrono::milliseconds Patience = 2s;

std::string randomBytes(std::mt19937 &Random, std::size_t Count) {
  std::string Bytes(Count, '\0');
  for (char &Byte : Bytes)
    Byte = static_cast<char>(Random());
  return Bytes;
}

/// Pushes pieces of a target that sends without end until the window is full.
void fill(stream_window &Window, steady_time Now) {
  const std::string Bytes(Piece, 'a');
  while (Window.hasRoom(Piece, Now))
    Window.push(Bytes);
}

} // namespace

// Load: short answers among long ones, with and without a declared length.
STORY(only_long_answers_are_streamed) {
  section("none unless a length is set", [&] {
    CPPUNIT_ASSERT(!exceeds({}, {1u << 30, 0}));
    CPPUNIT_ASSERT(!exceeds({}, {std::nullopt, 1u << 24}));
  });
  section("by the declared length, before the body is read", [&] {
    CPPUNIT_ASSERT(!exceeds(Limits, {Limits.AboveBytes, 0}));
    CPPUNIT_ASSERT(exceeds(Limits, {Limits.AboveBytes + 1, 0}));
  });
  section("without one, by what was gathered", [&] {
    CPPUNIT_ASSERT(!exceeds(Limits, {std::nullopt, Limits.AboveBytes}));
    CPPUNIT_ASSERT(exceeds(Limits, {std::nullopt, Limits.AboveBytes + 1}));
  });
}

// Load: targets send in pieces of any size, callers read at any pace.
STORY(streamed_bytes_pass_unchanged_in_bounded_memory) {
  for (unsigned Seed = 1; Seed <= 20; ++Seed) {
    std::mt19937 Random(Seed);
    const steady_time Now{1s};
    const std::string Sent = randomBytes(Random, 2048 * Kilobyte);
    std::size_t Count = Random() % Limits.AboveBytes;
    stream_window Window(Limits.WindowBytes, Patience,
                         std::string_view(Sent).substr(0, Count));
    std::string Received;
    while (Received.size() < Sent.size()) {
      const std::size_t Next =
          std::min<std::size_t>(1 + (Random() % Piece), Sent.size() - Count);
      if (Random() % 2 == 0 && Window.hasRoom(Next, Now)) {
        // A block that is being written must stay where it is.
        const std::string_view Writing = Window.front();
        const std::string Before(Writing);
        Window.push(std::string_view(Sent).substr(Count, Next));
        CPPUNIT_ASSERT(Writing == Before);
        Count += Next;
      } else if (!Window.front().empty()) {
        Received += Window.front();
        Window.pop();
      }
      CPPUNIT_ASSERT(Window.held() <= Limits.WindowBytes);
    }
    CPPUNIT_ASSERT(Received == Sent);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Window.held());
  }
}

// Load: a caller reads slowly or not at all.
STORY(a_target_is_not_left_unread_beyond_its_patience) {
  const steady_time Start{1s};
  stream_window Window(Limits.WindowBytes, Patience, {});
  section("a target that pauses is not limited while there is room", [&] {
    CPPUNIT_ASSERT(Window.hasRoom(Piece, Start + 60s));
    CPPUNIT_ASSERT(!Window.unreadUntil());
  });
  section("the time runs from the full window on", [&] {
    fill(Window, Start);
    CPPUNIT_ASSERT(Window.unreadUntil() == Start + Patience);
    CPPUNIT_ASSERT(!Window.hasRoom(Piece, Start + 1s));
    CPPUNIT_ASSERT(Window.unreadUntil() == Start + Patience);
  });
  section("one block read by the caller lets the target send on", [&] {
    CPPUNIT_ASSERT(!Window.front().empty());
    Window.pop();
    CPPUNIT_ASSERT(Window.hasRoom(Piece, Start + 1900ms));
    CPPUNIT_ASSERT(!Window.unreadUntil());
  });
  section("and its time starts again", [&] {
    fill(Window, Start + 1900ms);
    CPPUNIT_ASSERT(Window.unreadUntil() == Start + 1900ms + Patience);
  });
}

// Load: pipelined reads of one connection whose answers are all large; the
// caller takes a block of the oldest every 100 ms.
STORY(pipelined_streams_hold_a_window_each_and_keep_their_order) {
  constexpr std::size_t Requests = 8;
  constexpr auto Period = 100ms;
  pipeline Order({Requests, Requests * Limits.WindowBytes});
  std::map<std::uint64_t, stream_window> Windows;
  steady_time Now{1s};
  const std::string Gathered(Limits.AboveBytes, 'a');
  while (Windows.size() < Requests) {
    const std::uint64_t Number = Order.add(pipeline_order::Concurrent);
    Windows.try_emplace(Number, Limits.WindowBytes, Patience, Gathered);
    Order.answered(Number, Limits.WindowBytes);
  }
  const std::uint64_t Oldest = *Order.nextAnswer();
  std::size_t Written = 0;
  for (const steady_time End = Now + 10s; Now < End; Now += Period) {
    std::size_t Held = 0;
    for (auto &[Number, Window] : Windows) {
      fill(Window, Now);
      Held += Window.held();
    }
    CPPUNIT_ASSERT(Held <= Requests * (Limits.AboveBytes + Limits.WindowBytes));
    CPPUNIT_ASSERT(*Windows.at(Oldest).unreadUntil() > Now);
    Written += Windows.at(Oldest).front().size();
    Windows.at(Oldest).pop();
  }
  section("the oldest never stops", [&] {
    CPPUNIT_ASSERT_EQUAL(100 * Piece, Written);
    CPPUNIT_ASSERT(Order.nextAnswer() == Oldest);
  });
  section("those behind have run out of their target's patience", [&] {
    for (auto &[Number, Window] : Windows)
      CPPUNIT_ASSERT(Number == Oldest || *Window.unreadUntil() <= Now);
  });
}
