/// Loads in which some workspaces or kinds ask for far more than the slots of
/// their service bear.
#include "fairload.h"

#include <magnoliaspread/story.h>

#include <string>

using namespace magnoliaspread;
using namespace std::chrono_literals;

namespace {

std::string text(const fair_count &Count) {
  return std::to_string(Count.Answered) + " answered, " +
         std::to_string(Count.Refused) + " refused of " +
         std::to_string(Count.Sent) + ", " + std::to_string(Count.SlotSeconds) +
         " slot seconds, longest wait " +
         std::to_string(Count.LongestWait.count()) + " ms";
}

/// Ten workspaces that fill 80 in 100 of the slots; workspace 1 asks for
/// \p Factor times its part.
std::vector<fair_caller> tenCallers(double Slots, double Factor) {
  std::vector<fair_caller> Callers;
  for (std::uint32_t W = 1; W <= 10; ++W)
    Callers.push_back({W, Slots * 0.8 * (W == 1 ? Factor : 1), 0, 0});
  return Callers;
}

void expectServed(const fair_count &Count, double Slots, double Seconds,
                  const std::string &Who) {
  CPPUNIT_ASSERT_MESSAGE(Who + ": " + text(Count) + "; share " +
                             std::to_string(Slots * Seconds),
                         Count.SlotSeconds >= 0.9 * Slots * Seconds &&
                             Count.SlotSeconds <= 1.1 * Slots * Seconds);
}

} // namespace

// One workspace at 7 times its share for 7 s beside nine others.
STORY(a_flood_of_one_workspace_leaves_the_others_their_slots) {
  fair_load Calm(1, 10, 4, true);
  fair_load Flood(1, 10, 4, true);
  Calm.run(tenCallers(40, 1), 3s);
  Flood.run(tenCallers(40, 1), 3s);
  Calm.forgetCounts();
  Flood.forgetCounts();
  Calm.run(tenCallers(40, 1), 7s);
  Flood.run(tenCallers(40, 7), 7s);
  section("those inside their share see no more refusals", [&] {
    for (std::uint32_t W = 2; W <= 10; ++W)
      CPPUNIT_ASSERT_MESSAGE(std::to_string(W) + ": " + text(Flood.of(W)) +
                                 "; without: " + text(Calm.of(W)),
                             Flood.of(W).Refused <= Calm.of(W).Refused);
  });
  section("and are served all that they ask", [&] {
    for (std::uint32_t W = 2; W <= 10; ++W)
      expectServed(Flood.of(W), 3.2, 7, std::to_string(W));
  });
  section("and the flood gets what they leave",
          [&] { expectServed(Flood.of(1), 40 - 9 * 3.2, 7, "1"); });
}

// Three workspaces at 4 to 7 times their parts beside seven others.
STORY(floods_of_three_workspaces_share_what_is_left) {
  fair_load Load(1, 10, 4, true);
  std::vector<fair_caller> Callers = tenCallers(40, 1);
  Load.run(Callers, 3s);
  Load.forgetCounts();
  Callers[0].Rate *= 4;
  Callers[1].Rate *= 5.5;
  Callers[2].Rate *= 7;
  Load.run(Callers, 7s);
  for (std::uint32_t W = 1; W <= 3; ++W)
    expectServed(Load.of(W), (40 - 7 * 3.2) / 3, 7, std::to_string(W));
  for (std::uint32_t W = 4; W <= 10; ++W) {
    expectServed(Load.of(W), 3.2, 7, std::to_string(W));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Load.of(W).Refused);
  }
}

// A wave of the urgent kind of a workspace at 2.4 times the slots.
STORY(urgent_requests_come_first_and_do_not_shut_out_the_others) {
  fair_load Load(1, 10, 4, true);
  Load.run({{1, 960, 0, 0}, {1, 960, 1, 0}}, 7s);
  const fair_count &Urgent = Load.of(1, 0);
  const fair_count &Other = Load.of(1, 1);
  const std::string Text = text(Urgent) + "; other: " + text(Other);
  section("the urgent kind gets more", [&] {
    CPPUNIT_ASSERT_MESSAGE(Text, Urgent.SlotSeconds > 2 * Other.SlotSeconds);
  });
  section("the other its part by weight", [&] {
    const double Part = 40 * 7 / 5.0;
    CPPUNIT_ASSERT_MESSAGE(Text, Other.SlotSeconds >= 0.9 * Part);
  });
}

// Slots that others don't use are lent.
STORY(a_workspace_alone_uses_all_slots) {
  fair_load Load(1, 10, 4, true);
  Load.run({{1, 1200, 0, 0}}, 2s);
  Load.forgetCounts();
  Load.run({{1, 1200, 0, 0}}, 5s);
  expectServed(Load.of(1), 40, 5, "1");
}

// A flood on few instances beside nine workspaces on all; a third of the
// messages is lost, and an instance is killed.
STORY(shares_add_up_over_instances) {
  for (const std::size_t Instances : {1, 12, 73, 108, 195})
    section(std::to_string(Instances) + " instances", [&] {
      fair_load Load(Instances, 50, 4, true);
      Load.Lost = 1.0 / 3;
      std::vector<fair_caller> Callers = tenCallers(200, 7);
      Callers[0].Instances = std::max<std::size_t>(1, Instances / 12);
      Load.run(Callers, 4s);
      Load.forgetCounts();
      if (Instances > 1)
        Load.kill(Instances - 1);
      Load.run(Callers, 7s);
      expectServed(Load.of(1), 200 - 9 * 16, 7, "1");
      for (std::uint32_t W = 2; W <= 10; ++W)
        expectServed(Load.of(W), 16, 7, std::to_string(W));
    });
}
